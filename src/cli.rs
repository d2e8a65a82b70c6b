//! The command line: parses the arguments, runs a command and returns its exit code.

mod args;
pub(crate) mod change;
mod check;
mod config;
mod data_centre;
mod demo;
mod diff;
mod gateway;
pub(crate) mod key;
mod measure;
pub(crate) mod remote;
mod serve;
mod soak;
mod standin;
mod status;
mod timeline;

use std::{ffi::OsString, process::ExitCode};

use lexopt::{Arg, Parser, ValueExt};

/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 1;

/// Exit code of a command line that is not valid.
const EXIT_USAGE: u8 = 2;

/// Exit code of a change that another operator's change has overtaken.
const EXIT_CONFLICT: u8 = 3;

/// Exit code of a change that may be in force or may come into force.
const EXIT_UNKNOWN: u8 = 4;

/// Exit code of a check that found warnings and no errors.
const EXIT_WARNED: u8 = 5;

/// Exit code of a check that found a difference from the document in force, where the operator asks
/// for it.
const EXIT_DIFFERS: u8 = 6;

const HELP: &str = "\
Serves many models on fewer accelerators.

Usage: cardamomshore COMMAND [OPTIONS]

Commands:
  serve        Run one instance
  gateway      Run one entry instance on the users' platform
  demo         Run a small fleet with stand-ins in one process
  config       Check, show, compare and apply the configuration
  key          Give a key to a team or withdraw it
  data-centre  Take a data centre out of service or return it
  status       Show all instances
  timeline     Show the recent events of all instances
  measure      Measure the policies under seeded demand
  soak         Run gateways under load and faults and check their promises
  standin      Run a stand-in of the platform, an engine or a service

Options:
  -h, --help     Print this help; `COMMAND --help` tells more
  -V, --version  Print the version

Exit codes:
  0  Done
  1  Not done
  2  The command line cannot be understood
  3  Conflict: the configuration changed since it was read
  4  Unknown: the change may be in force, or may come into force
  5  Checked: there are warnings and no errors
  6  Checked: the document differs from the one in force (only with --exit-code)
";

/// Why a command failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CliError {
    /// The command line is not valid.
    #[error("{0}\nTry `cardamomshore --help`.")]
    Usage(String),
    /// The command could not be carried out.
    #[error("{0}")]
    Failed(String),
    /// Another operator's change came first, so nothing was written.
    #[error("{0}")]
    Conflict(String),
    /// It is not known whether the change is or will be in force.
    #[error("{0}")]
    Unknown(String),
    /// A check found warnings and no errors.
    #[error("{0}")]
    Warned(String),
    /// A document differs from the one in force.
    #[error("{0}")]
    Differs(String),
}

impl CliError {
    /// Returns the exit code of the process.
    fn exit_code(&self) -> u8 {
        match self {
            CliError::Usage(_) => EXIT_USAGE,
            CliError::Failed(_) => EXIT_FAILED,
            CliError::Conflict(_) => EXIT_CONFLICT,
            CliError::Unknown(_) => EXIT_UNKNOWN,
            CliError::Warned(_) => EXIT_WARNED,
            CliError::Differs(_) => EXIT_DIFFERS,
        }
    }

    /// Returns the word with which the message begins.
    fn label(&self) -> &'static str {
        match self {
            CliError::Warned(_) => "warning",
            CliError::Differs(_) => "note",
            _ => "error",
        }
    }
}

impl From<lexopt::Error> for CliError {
    fn from(err: lexopt::Error) -> Self {
        CliError::Usage(err.to_string())
    }
}

/// Runs the command that the process's arguments name, and prints its error.
pub fn main() -> ExitCode {
    match run(Parser::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{}: {err}", err.label());
            ExitCode::from(err.exit_code())
        }
    }
}

/// Handles the options that stand before a command, and runs the command.
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

/// Runs a command with the arguments that follow.
fn dispatch(command: OsString, parser: Parser) -> Result<(), CliError> {
    match command.string()?.as_str() {
        "serve" => serve::run(parser),
        "gateway" => gateway::run(parser),
        "measure" => measure::run(parser),
        "demo" => demo::run(parser),
        "config" => config::run(parser),
        "key" => key::run(parser),
        "data-centre" => data_centre::run(parser),
        "status" => status::run(parser),
        "timeline" => timeline::run(parser),
        "soak" => soak::run(parser),
        "standin" => standin::run(parser),
        other => Err(CliError::Usage(format!("no such command: {other}"))),
    }
}

/// Returns the name of the subcommand. If there is none, or help is requested, prints the help and
/// returns `None`.
fn subcommand(parser: &mut Parser, help: &str) -> Result<Option<String>, CliError> {
    match parser.next()? {
        None | Some(Arg::Short('h') | Arg::Long("help")) => {
            print!("{help}");
            Ok(None)
        }
        Some(Arg::Value(command)) => Ok(Some(command.string()?)),
        Some(arg) => Err(arg.unexpected().into()),
    }
}

/// Reads a file. Fails with its path if it cannot be read.
fn read_file(path: &str) -> Result<String, CliError> {
    std::fs::read_to_string(path)
        .map_err(|err| CliError::Failed(format!("cannot read {path}: {err}")))
}

/// Runs a future to its end on a runtime with several threads.
fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CliError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    Ok(runtime.map_err(|err| CliError::Failed(err.to_string()))?.block_on(future))
}
