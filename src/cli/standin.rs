//! `cardamomshore standin`: runs a stand-in for tests.

use std::net::SocketAddr;

use lexopt::{Arg, Parser, ValueExt};

use super::{CliError, block_on, read_file};
use crate::{
    standin::{engine, platform, service},
    yaml,
};

const HELP: &str = "\
Runs one of the project's stand-ins, for tests and trials.

Usage: cardamomshore standin platform|engine|service --listen IP:PORT [--settings FILE]

Options:
      --listen IP:PORT  Address at which to listen
      --settings FILE   What an engine is like, as YAML
  -h, --help            Print this help
";

/// Runs `cardamomshore standin`.
pub fn run(mut parser: Parser) -> Result<(), CliError> {
    let mut kind: Option<String> = None;
    let mut listen: Option<SocketAddr> = None;
    let mut settings = engine::EngineSettings::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => listen = Some(parser.value()?.parse()?),
            Arg::Long("settings") => settings = read_settings(&parser.value()?.string()?)?,
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            Arg::Value(value) if kind.is_none() => kind = Some(value.string()?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let listen = listen.ok_or_else(|| CliError::Usage("standin needs --listen".to_owned()))?;
    let result = match kind.as_deref() {
        Some("platform") => block_on(platform::run_at(listen))?,
        Some("engine") => block_on(engine::run_at(listen, settings))?,
        Some("service") => block_on(service::run_at(listen))?,
        _ => return Err(CliError::Usage("name platform, engine or service".to_owned())),
    };
    result.map_err(|err| CliError::Failed(err.to_string()))
}

/// Reads the settings of an engine. Fails with the path of the file.
fn read_settings(path: &str) -> Result<engine::EngineSettings, CliError> {
    let text = read_file(path)?;
    yaml::parse(&text).map_err(|err| CliError::Failed(format!("{path}: {err}")))
}
