//! `cardamomshore serve`: runs one instance.

use std::path::PathBuf;

use lexopt::{Arg, Parser};

use super::{CliError, block_on};
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
pub fn run(mut parser: Parser) -> Result<(), CliError> {
    let mut path: Option<PathBuf> = None;
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
    let path = path.ok_or_else(|| CliError::Usage("serve needs --settings FILE".to_owned()))?;
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
