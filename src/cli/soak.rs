//! `cardamomshore soak`: runs gateways under load and faults and checks their promises.

use std::{fs::File, path::PathBuf, time::Duration};

use lexopt::{Arg, Parser, ValueExt};

use super::{CliError, block_on};
use crate::{
    settings::LogSettings,
    soak::{self, Options},
    telemetry,
};

const HELP: &str = "\
Runs gateway processes under load and faults, and checks what they promise from what callers and
endpoints have seen. The store and the endpoints are stand-ins.

Usage: cardamomshore soak [OPTIONS]

Options:
      --seed N      Seed of the faults [default: 1]
      --seeds N     Number of soaks, with this seed and the following ones [default: 1]
      --seconds S   Length of each soak [default: 40]
      --gateways N  Number of gateway processes [default: 6]
      --engines N   Number of engines [default: 6]
      --folder DIR  Folder for settings and logs [default: soak]
  -h, --help        Print this help
";

/// Arguments of the command.
struct Args {
    seed: u64,
    seeds: u64,
    seconds: u64,
    gateways: usize,
    engines: usize,
    folder: PathBuf,
    help: bool,
}

/// Runs `cardamomshore soak`. Fails if a promise is broken.
pub fn run(parser: Parser) -> Result<(), CliError> {
    let args = parse(parser)?;
    if args.help {
        print!("{HELP}");
        return Ok(());
    }
    let failed = |err: &dyn std::fmt::Display| CliError::Failed(err.to_string());
    std::fs::create_dir_all(&args.folder).map_err(|err| failed(&err))?;
    let name = format!("faults-{}.log", args.seed);
    let log = File::create(args.folder.join(name)).map_err(|err| failed(&err))?;
    let settings = LogSettings { spec: "info".to_owned(), json: false };
    let _logger = telemetry::start_log(&settings, log).map_err(|err| failed(&err))?;
    let mut broken = 0;
    for seed in args.seed..args.seed + args.seeds {
        broken += run_seed(&args, seed)?;
    }
    match broken {
        0 => Ok(()),
        _ => Err(CliError::Failed(format!("{broken} promises broken"))),
    }
}

/// Runs one soak and prints its report; returns the number of broken promises.
fn run_seed(args: &Args, seed: u64) -> Result<usize, CliError> {
    let failed = |err: &dyn std::fmt::Display| CliError::Failed(err.to_string());
    let options = Options {
        seed,
        length: Duration::from_secs(args.seconds),
        gateways: args.gateways.max(1),
        engines: args.engines.max(1),
        binary: std::env::current_exe().map_err(|err| failed(&err))?,
        folder: args.folder.join(seed.to_string()),
    };
    let report = block_on(soak::run(&options))?.map_err(|err| failed(&err))?;
    let broken = report.violations.len();
    println!(
        "seed={seed} requests={} served={} faults={} broken={broken}",
        report.requests, report.served, report.faults
    );
    for violation in &report.violations {
        println!("  {violation}");
    }
    Ok(broken)
}

/// Parses the arguments.
fn parse(mut parser: Parser) -> Result<Args, CliError> {
    let mut args = Args {
        seed: 1,
        seeds: 1,
        seconds: 40,
        gateways: 6,
        engines: 6,
        folder: PathBuf::from("soak"),
        help: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seed") => args.seed = parser.value()?.parse()?,
            Arg::Long("seeds") => args.seeds = parser.value()?.parse()?,
            Arg::Long("seconds") => args.seconds = parser.value()?.parse()?,
            Arg::Long("gateways") => args.gateways = parser.value()?.parse()?,
            Arg::Long("engines") => args.engines = parser.value()?.parse()?,
            Arg::Long("folder") => args.folder = parser.value()?.into(),
            Arg::Short('h') | Arg::Long("help") => args.help = true,
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(args)
}
