//! `cardamomshore serve`: runs one instance.

use lexopt::Parser;

use super::{CliError, args::parse_settings, block_on};
use crate::{
    node::{Listeners, Node},
    settings::Settings,
    telemetry,
};

const HELP: &str = "\
Runs one instance until SIGTERM or SIGINT.

Usage: cardamomshore serve --settings FILE

Options:
      --settings FILE  Settings of this process, see docs/CONFIG.md
  -h, --help           Print this help
";

/// Runs `cardamomshore serve`.
pub fn run(parser: Parser) -> Result<(), CliError> {
    let Some(path) = parse_settings(parser, "serve", None, HELP)? else { return Ok(()) };
    let settings = Settings::load(&path).map_err(|err| CliError::Failed(err.to_string()))?;
    let _logger = telemetry::start_log(&settings.log, std::io::stdout())
        .map_err(|err| CliError::Failed(format!("log.level: {err}")))?;
    telemetry::start_metrics();
    block_on(async {
        let listeners = Listeners::bind(&settings).await;
        let listeners =
            listeners.map_err(|err| CliError::Failed(format!("cannot listen: {err}")))?;
        let result = Node::new(settings).run(listeners).await;
        result.map_err(|err| CliError::Failed(err.to_string()))
    })?
}
