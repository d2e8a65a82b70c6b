//! `cardamomshore gateway`: runs one entry instance on the users' platform.

use std::path::PathBuf;

use lexopt::{Arg, Parser};

use super::CliError;
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
pub fn run(mut parser: Parser) -> Result<(), CliError> {
    let mut path: Option<PathBuf> = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => path = Some(parser.value()?.into()),
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let path = path.ok_or_else(|| CliError::Usage("gateway needs --settings FILE".to_owned()))?;
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
