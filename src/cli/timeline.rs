//! `cardamomshore timeline`: shows the recent events of all instances.

use lexopt::Parser;

use super::{CliError, args::Args, block_on};
use crate::{
    node::operator::GatherResponse,
    timeline::{Entry, format_line, merge},
};

const HELP: &str = "\
Shows the recent events of all instances, causes before their effects.

Usage: cardamomshore timeline [--filter ID] --to IP:PORT

Options:
      --filter ID   Only events about this request, order, endpoint, instance or version
      --to IP:PORT  Operators' address of any instance; may be given several times
  -h, --help        Print this help
";

/// Runs `cardamomshore timeline`.
pub fn run(parser: Parser) -> Result<(), CliError> {
    let Some(args) = Args::parse(parser, &["filter"], HELP)? else { return Ok(()) };
    let [] = args.values([])?;
    let remote = args.remote()?;
    let filter = args.option("filter").unwrap_or_default();
    let gathered = block_on(remote.gather("timeline", filter))??;
    let missing = gathered.silent.clone();
    for entry in merge(parse_entries(gathered)) {
        println!("{}", format_line(&entry));
    }
    for instance in missing {
        eprintln!("warning: {instance} does not answer; its events are missing");
    }
    Ok(())
}

/// Returns the events of each instance.
fn parse_entries(gathered: GatherResponse) -> impl Iterator<Item = Vec<Entry>> {
    gathered
        .answers
        .into_iter()
        .map(|instance| serde_json::from_value(instance.document).unwrap_or_default())
}
