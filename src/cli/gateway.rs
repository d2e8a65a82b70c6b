//! `cardamomshore gateway`: runs one entry instance on the users' platform.

use std::path::PathBuf;

use lexopt::Parser;

use super::{CliError, args::parse_settings};
use crate::{
    gateway::{Gateway, settings::GatewaySettings},
    telemetry,
};

const HELP: &str = "\
Runs one entry instance on the users' platform until SIGTERM or SIGINT.

Usage: cardamomshore gateway [--settings FILE]

Options:
      --settings FILE  Settings of this process; by default the file that the environment
                       variable CARDAMOMSHORE_CONFIG names
  -h, --help           Print this help
";

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "CARDAMOMSHORE_CONFIG";

/// Runs `cardamomshore gateway`.
pub fn run(parser: Parser) -> Result<(), CliError> {
    let default = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = parse_settings(parser, "gateway", default, HELP)? else { return Ok(()) };
    let to_error = |err: &dyn std::fmt::Display| CliError::Failed(err.to_string());
    let settings = GatewaySettings::load(&path).map_err(|err| to_error(&err))?;
    let _logger =
        telemetry::start_log(&settings.log, std::io::stdout()).map_err(|err| to_error(&err))?;
    telemetry::start_metrics();
    // Entry instances get only a part of one core, so a second thread would only add context
    // switches.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|err| to_error(&err))?;
    runtime.block_on(Gateway::new(settings).run()).map_err(|err| to_error(&err))
}
