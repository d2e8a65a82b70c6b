//! `cardamomshore measure`: measures the policies under seeded demand.

use std::path::PathBuf;

use lexopt::{Arg, Parser, ValueExt};

use super::CliError;
use crate::{
    config::Config,
    measure::{self, Options, json_lines, plot, table, variants},
};

const HELP: &str = "\
Measures the policies against baselines under seeded demand, in virtual time.

Usage: cardamomshore measure --deployment FILE [OPTIONS]

Options:
      --deployment FILE  Configuration document, for example deploy/harmattan.yaml
      --seed N           Seed of the demand [default: 1]
      --policy NAME      Measure this row only
      --svg FILE         Draw attainment over time
      --json             Print lines of JSON in place of the table
  -h, --help             Print this help
";

/// Arguments of the command.
#[derive(Default)]
struct Args {
    deployment: Option<PathBuf>,
    seed: Option<u64>,
    policy: Option<String>,
    svg: Option<PathBuf>,
    json: bool,
    help: bool,
}

/// Runs `cardamomshore measure`.
pub fn run(parser: Parser) -> Result<(), CliError> {
    let args = parse(parser)?;
    if args.help {
        print!("{HELP}");
        return Ok(());
    }
    let path = args
        .deployment
        .as_ref()
        .ok_or_else(|| CliError::Usage("measure needs --deployment FILE".to_owned()))?;
    let text = std::fs::read_to_string(path)
        .map_err(|err| CliError::Failed(format!("{}: {err}", path.display())))?;
    let config = Config::parse(1, &text).map_err(|err| CliError::Failed(err.to_string()))?;
    measure(&config, &args)
}

/// Parses the arguments.
fn parse(mut parser: Parser) -> Result<Args, CliError> {
    let mut args = Args::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("deployment") => args.deployment = Some(parser.value()?.into()),
            Arg::Long("seed") => args.seed = Some(parser.value()?.parse()?),
            Arg::Long("policy") => args.policy = Some(parser.value()?.string()?),
            Arg::Long("svg") => args.svg = Some(parser.value()?.into()),
            Arg::Long("json") => args.json = true,
            Arg::Short('h') | Arg::Long("help") => args.help = true,
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(args)
}

/// Measures the selected policies and prints the results.
fn measure(config: &Config, args: &Args) -> Result<(), CliError> {
    let options = Options::new(args.seed.unwrap_or(1));
    let mut selected = variants();
    if let Some(name) = &args.policy {
        selected.retain(|variant| variant.name == name.as_str());
        if selected.is_empty() {
            let names: Vec<&str> = variants().iter().map(|variant| variant.name).collect();
            let reason = format!("no such policy: {name}; there are {}", names.join(", "));
            return Err(CliError::Usage(reason));
        }
    }
    let rows: Vec<_> =
        selected.iter().map(|variant| measure::run(config, &options, variant)).collect();
    print!("{}", if args.json { json_lines(&rows) } else { table(&rows) });
    if let Some(path) = &args.svg {
        let result = plot(&rows, &options.schedule, path);
        result.map_err(|err| CliError::Failed(err.to_string()))?;
    }
    Ok(())
}
