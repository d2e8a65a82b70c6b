//! `cardamomshore demo`: a small fleet in one process.

use lexopt::{Arg, Parser};

use super::{CliError, block_on};
use crate::{demo, settings::LogSettings, telemetry};

const HELP: &str = "\
Runs a small fleet with stand-ins in this process, on loopback, and checks what it promises.

Usage: cardamomshore demo [--keep]

Options:
      --keep  Leave the fleet running, with commands to try
  -h, --help  Print this help
";

/// Log level of the demo, whose own output tells the rest.
const LOG_SPEC: &str = "off";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), CliError> {
    let mut keep = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("keep") => keep = true,
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let log = LogSettings { spec: LOG_SPEC.to_owned(), json: false };
    let _logger = telemetry::start_log(&log, std::io::stderr())
        .map_err(|err| CliError::Failed(err.to_string()))?;
    telemetry::start_metrics();
    match block_on(demo::run(keep))? {
        Ok(true) => Ok(()),
        Ok(false) => Err(CliError::Failed("not every check held".to_owned())),
        Err(err) => Err(CliError::Failed(err.to_string())),
    }
}
