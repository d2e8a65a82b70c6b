//! `cardamomshore status`: shows all instances.

use lexopt::Parser;
use serde_json::Value;

use super::{CliError, args::Args, block_on};
use crate::node::operator::{GatherResponse, InstanceDocument};

const HELP: &str = "\
Shows all instances, as one of them sees them.

Usage: cardamomshore status --to IP:PORT

Options:
      --to IP:PORT  Operators' address of any instance; may be given several times
  -h, --help        Print this help
";

/// Columns of the table: heading, field of the instance's status, and width in characters.
const COLUMNS: &[(&str, &str, usize)] = &[
    ("instance", "instance", 16),
    ("data-centre", "data_centre", 14),
    ("version", "version", 8),
    ("freshness", "freshness", 13),
    ("draining", "draining", 9),
    ("running", "running", 8),
    ("stewards", "stewards", 9),
    ("buckets", "buckets", 8),
    ("planner", "planner", 8),
];

/// Runs `cardamomshore status`.
pub fn run(parser: Parser) -> Result<(), CliError> {
    let Some(args) = Args::parse(parser, &[], HELP)? else { return Ok(()) };
    let [] = args.values([])?;
    let remote = args.remote()?;
    let gathered = block_on(remote.gather("status", ""))??;
    print!("{}", format_table(&gathered));
    Ok(())
}

/// Returns the table of all instances, with a note for each that does not answer.
fn format_table(gathered: &GatherResponse) -> String {
    let mut text =
        format_line(COLUMNS.iter().map(|(heading, _, width)| ((*heading).to_owned(), *width)));
    for instance in &gathered.answers {
        text.push_str(&format_row(instance));
    }
    for silent in &gathered.silent {
        text.push_str(&format!("{silent:<16} does not answer\n"));
    }
    text
}

/// Returns the line of an instance.
fn format_row(instance: &InstanceDocument) -> String {
    format_line(
        COLUMNS.iter().map(|(_, field, width)| (format_value(&instance.document[field]), *width)),
    )
}

/// Returns a line with cells of the given widths.
fn format_line(cells: impl Iterator<Item = (String, usize)>) -> String {
    let cells: Vec<String> = cells.map(|(cell, width)| format!("{cell:<width$}")).collect();
    format!("{}\n", cells.join(" ").trim_end())
}

/// Returns a value of the status as the operator reads it.
fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
