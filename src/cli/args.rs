//! Arguments of the commands.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::PathBuf,
};

use lexopt::{Arg, Parser, ValueExt};

use super::{CliError, remote::Remote};

/// Parses the arguments of a command whose only option is `--settings FILE`; `default` is the file if
/// the option is not given. If help is requested, prints it and returns `None`.
pub fn parse_settings(
    mut parser: Parser,
    command: &str,
    default: Option<PathBuf>,
    help: &str,
) -> Result<Option<PathBuf>, CliError> {
    let mut path = default;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => path = Some(parser.value()?.into()),
            Arg::Short('h') | Arg::Long("help") => {
                print!("{help}");
                return Ok(None);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    match path {
        Some(path) => Ok(Some(path)),
        None => Err(CliError::Usage(format!("{command} needs --settings FILE"))),
    }
}

/// Arguments of a command that connects to a running instance.
#[derive(Debug, Default)]
pub struct Args {
    /// Arguments that are not options.
    values: Vec<String>,
    /// Values of the options, by the options' names without `--`.
    options: BTreeMap<&'static str, String>,
    /// Options without a value that are given.
    flags: BTreeSet<&'static str>,
    /// Addresses of `--to`.
    addresses: Vec<SocketAddr>,
}

impl Args {
    /// Parses the arguments that are left. If they ask for help, prints it and returns `None`.
    pub fn parse(
        parser: Parser,
        options: &[&'static str],
        help: &str,
    ) -> Result<Option<Self>, CliError> {
        Self::parse_flags(parser, options, &[], help)
    }

    /// Parses the arguments as [`Args::parse`] does; `flags` are options without a value.
    pub fn parse_flags(
        mut parser: Parser,
        options: &[&'static str],
        flags: &[&'static str],
        help: &str,
    ) -> Result<Option<Self>, CliError> {
        let mut args = Args::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Short('h') | Arg::Long("help") => {
                    print!("{help}");
                    return Ok(None);
                }
                Arg::Long("to") => args.addresses.push(parser.value()?.parse()?),
                Arg::Long(name) => {
                    if let Some(option) = options.iter().find(|option| **option == name) {
                        args.options.insert(option, parser.value()?.string()?);
                    } else if let Some(flag) = flags.iter().find(|flag| **flag == name) {
                        args.flags.insert(flag);
                    } else {
                        return Err(arg.unexpected().into());
                    }
                }
                Arg::Value(value) => args.values.push(value.string()?),
                Arg::Short(_) => return Err(arg.unexpected().into()),
            }
        }
        Ok(Some(args))
    }

    /// Returns the arguments that are not options. Fails unless there is exactly one for each of
    /// `names`.
    pub fn values<const N: usize>(&self, names: [&str; N]) -> Result<[&str; N], CliError> {
        if self.values.len() > N {
            return Err(CliError::Usage(format!("unexpected argument: {}", self.values[N])));
        }
        let mut values = [""; N];
        for (index, name) in names.iter().enumerate() {
            let value = self.values.get(index);
            values[index] = value.ok_or_else(|| CliError::Usage(format!("missing {name}")))?;
        }
        Ok(values)
    }

    /// Returns the value of an option; `None` if the option is not given.
    pub fn option(&self, name: &str) -> Option<&str> {
        self.options.get(name).map(String::as_str)
    }

    /// Returns whether an option without a value is given.
    pub fn has_flag(&self, name: &str) -> bool {
        self.flags.contains(name)
    }

    /// Returns a client of the instances at the addresses of `--to`. Fails if there is none.
    pub fn remote(&self) -> Result<Remote, CliError> {
        if self.addresses.is_empty() {
            let reason = "missing --to IP:PORT, the operators' address of any instance";
            return Err(CliError::Usage(reason.to_owned()));
        }
        Ok(Remote::new(self.addresses.clone()))
    }
}
