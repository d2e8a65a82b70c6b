//! The command line.

mod measure;
mod serve;
mod standin;

use std::{ffi::OsString, process::ExitCode};

use lexopt::{Arg, Parser, ValueExt};

/// Exit code for a command that could not do what it was asked.
const EXIT_FAILED: u8 = 1;

/// Exit code for a command line that cannot be understood.
const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
Serves many models on fewer accelerators.

Usage: cardamomshore COMMAND [OPTIONS]

Commands:
  serve     Run one instance
  measure   Measure the policies under seeded demand
  standin   Run a stand-in of the platform, an engine or a service

Options:
  -h, --help     Print this help
  -V, --version  Print the version
";

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The command line cannot be understood.
    #[error("{0}\nTry `cardamomshore --help`.")]
    Usage(String),
    /// The command could not do what it was asked.
    #[error("{0}")]
    Failed(String),
}

impl From<lexopt::Error> for CliError {
    fn from(err: lexopt::Error) -> Self {
        CliError::Usage(err.to_string())
    }
}

/// Runs the command line of this process.
pub fn main() -> ExitCode {
    match run(Parser::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::from(match err {
                CliError::Usage(_) => EXIT_USAGE,
                CliError::Failed(_) => EXIT_FAILED,
            })
        }
    }
}

fn run(mut parser: Parser) -> Result<(), CliError> {
    match parser.next()? {
        None | Some(Arg::Short('h') | Arg::Long("help")) => {
            print!("{HELP}");
            Ok(())
        }
        Some(Arg::Short('V') | Arg::Long("version")) => {
            println!("cardamomshore {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(Arg::Value(command)) => dispatch(command, parser),
        Some(arg) => Err(arg.unexpected().into()),
    }
}

fn dispatch(command: OsString, parser: Parser) -> Result<(), CliError> {
    match command.string()?.as_str() {
        "serve" => serve::run(parser),
        "measure" => measure::run(parser),
        "standin" => standin::run(parser),
        other => Err(CliError::Usage(format!("no such command: {other}"))),
    }
}

/// Runs a future on a runtime with several threads.
fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CliError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    Ok(runtime.map_err(|err| CliError::Failed(err.to_string()))?.block_on(future))
}
