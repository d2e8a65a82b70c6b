//! `cardamomshore data-centre`: takes a data centre out of service or returns it to service.

use lexopt::Parser;

use super::{CliError, args::Args, block_on, change, subcommand};
use crate::config::RawConfig;

const HELP: &str = "\
Takes a data centre out of service or returns it.

Usage: cardamomshore data-centre out NAME --to IP:PORT
       cardamomshore data-centre return NAME --to IP:PORT

After `out`, new work to the data centre stops within seconds; what runs there is completed.
After `return` its endpoints start from their cold limits.

Options:
      --to IP:PORT  Operators' address of any instance; may be given several times
  -h, --help        Print this help
";

/// Runs `cardamomshore data-centre`.
pub fn run(mut parser: Parser) -> Result<(), CliError> {
    let Some(command) = subcommand(&mut parser, HELP)? else { return Ok(()) };
    let out = match command.as_str() {
        "out" => true,
        "return" => false,
        other => return Err(CliError::Usage(format!("no such command: data-centre {other}"))),
    };
    let Some(args) = Args::parse(parser, &[], HELP)? else { return Ok(()) };
    let [name] = args.values(["NAME"])?;
    let remote = args.remote()?;
    block_on(change::edit(&remote, |config| set_out(config, name, out)))?
}

/// Sets whether a data centre is out of service. Fails if there is none of that name.
fn set_out(config: &mut RawConfig, name: &str, out: bool) -> Result<(), CliError> {
    let known: Vec<&str> = config.data_centres.keys().map(String::as_str).collect();
    let known = known.join(", ");
    match config.data_centres.get_mut(name) {
        Some(data_centre) => {
            data_centre.out = out;
            Ok(())
        }
        None => Err(CliError::Failed(format!("there is no data centre {name}, only {known}"))),
    }
}
