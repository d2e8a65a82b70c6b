//! `cardamomshore config`: checks, shows, compares and applies the configuration.

use lexopt::Parser;

use super::{
    CliError,
    args::Args,
    block_on, change,
    check::{check_document, is_platform_document},
    diff::unified_diff,
    read_file, subcommand,
};
use crate::{config::Config, node::operator::VersionedConfig};

const HELP: &str = "\
Checks, shows, compares and applies the configuration.

Usage: cardamomshore config check FILE [--against FILE|IP:PORT] [--exit-code]
       cardamomshore config show --to IP:PORT
       cardamomshore config diff FILE --to IP:PORT
       cardamomshore config apply FILE --seen VERSION --to IP:PORT

Commands:
  check  Check a file without talking to any instance: the YAML configuration, or the JSON document
         of the users' platform
  show   Print the newest version and its number
  diff   Show what a file would change
  apply  Put a file in force if VERSION is still the newest; VERSION is 0 for the first one

Options:
      --seen VERSION     Version that you changed, as `show` and `diff` print it
      --to IP:PORT       Operators' address of any instance; may be given several times
      --against FILE|IP:PORT
                         Compare a JSON document with another file, or with the document in force
                         in the platform's store at this address, which is only read
      --exit-code        Exit with 6 if the documents differ
  -h, --help             Print this help
";

/// Runs `cardamomshore config`.
pub fn run(mut parser: Parser) -> Result<(), CliError> {
    let Some(command) = subcommand(&mut parser, HELP)? else { return Ok(()) };
    let Some(args) = Args::parse_flags(parser, &["seen", "against"], &["exit-code"], HELP)? else {
        return Ok(());
    };
    let is_comparison = args.option("against").is_some();
    if args.has_flag("exit-code") && !is_comparison {
        return Err(CliError::Usage("--exit-code needs --against".to_owned()));
    }
    if is_comparison && command != "check" {
        return Err(CliError::Usage("--against is an option of `config check`".to_owned()));
    }
    match command.as_str() {
        "check" => check(&args),
        "show" => show(&args),
        "diff" => diff(&args),
        "apply" => apply(&args),
        other => Err(CliError::Usage(format!("no such command: config {other}"))),
    }
}

/// Reads a configuration file and checks it.
fn read_config(path: &str) -> Result<(String, Config), CliError> {
    let text = read_file(path)?;
    let config = parse_config(path, &text)?;
    Ok((text, config))
}

/// Checks the text of a configuration file.
fn parse_config(path: &str, text: &str) -> Result<Config, CliError> {
    let config = Config::parse_new(0, text);
    let config = config.and_then(|config| config.check_duplicates(text).map(|()| config));
    config.map_err(|err| CliError::Failed(format!("{path}: {err}")))
}

/// Checks a file and prints what it contains.
fn check(args: &Args) -> Result<(), CliError> {
    let [path] = args.values(["FILE"])?;
    let text = read_file(path)?;
    if is_platform_document(&text) {
        return check_document(path, &text, args);
    }
    if args.option("against").is_some() {
        let reason = "--against compares JSON documents of the users' platform; use `config diff`";
        return Err(CliError::Usage(reason.to_owned()));
    }
    let config = parse_config(path, &text)?;
    let adapters: usize = config.models.values().map(|model| model.adapters.len()).sum();
    println!(
        "{path}: good, with {} classes, {} teams, {} data centres, {} pools, {} models, \
         {adapters} adapters and {} services",
        config.classes.len(),
        config.teams.len(),
        config.data_centres.len(),
        config.pools.len(),
        config.models.len(),
        config.services.len()
    );
    Ok(())
}

/// Prints the newest configuration and its version.
fn show(args: &Args) -> Result<(), CliError> {
    let [] = args.values([])?;
    let remote = args.remote()?;
    let newest = block_on(remote.show())??;
    if newest.seen == 0 {
        return Err(CliError::Failed("there is no configuration yet".to_owned()));
    }
    println!("# version {}", newest.seen);
    println!("{}", newest.text.trim_end());
    Ok(())
}

/// Prints the differences between the newest configuration and a file.
fn diff(args: &Args) -> Result<(), CliError> {
    let [path] = args.values(["FILE"])?;
    let remote = args.remote()?;
    let (text, _) = read_config(path)?;
    let newest = block_on(remote.show())??;
    let changes = unified_diff((&format!("version {}", newest.seen), &newest.text), (path, &text));
    if changes.is_empty() {
        println!("no difference to version {}", newest.seen);
    } else {
        println!("{}", changes.trim_end());
    }
    Ok(())
}

/// Writes a file in place of the version that the operator saw.
fn apply(args: &Args) -> Result<(), CliError> {
    let [path] = args.values(["FILE"])?;
    let remote = args.remote()?;
    let seen = args.option("seen").ok_or_else(|| {
        CliError::Usage("missing --seen VERSION, as `config diff` prints it".to_owned())
    })?;
    let seen = seen.parse();
    let seen = seen.map_err(|_| CliError::Usage("--seen takes a number".to_owned()))?;
    let (text, _) = read_config(path)?;
    block_on(change::write(&remote, VersionedConfig { seen, text }))?
}
