//! `cardamomshore demo`: runs several instances with stand-ins in one process.

use lexopt::{Arg, Parser};

use super::{CliError, block_on};
use crate::{demo, settings::LogSettings, telemetry};

const HELP: &str = "\
Runs a small fleet with stand-ins in this process, on loopback, and checks what it guarantees.

Usage: cardamomshore demo [--keep]

Options:
      --keep  Leave the fleet running, and print commands to try
  -h, --help  Print this help
";

/// Log specification of the demo: no log lines, since the demo prints its own output.
const LOG_SPEC: &str = "off";

/// Runs `cardamomshore demo`.
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
        Ok(false) => Err(CliError::Failed("not every check passed".to_owned())),
        Err(err) => Err(CliError::Failed(err.to_string())),
    }
}
