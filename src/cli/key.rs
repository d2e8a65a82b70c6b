//! `cardamomshore key`: gives keys to teams and withdraws them.

use base64::{Engine, prelude::BASE64_URL_SAFE_NO_PAD};
use lexopt::Parser;

use super::{CliError, args::Args, block_on, change, subcommand};
use crate::config::{RawConfig, RawKey, hash_key};

const HELP: &str = "\
Gives a key to a team or withdraws it.

Usage: cardamomshore key give ID --team TEAM --to IP:PORT
       cardamomshore key withdraw ID --to IP:PORT

`give` makes the key and prints it once; only its hash is kept. ID is your own name for the key.
A withdrawn key stops working within seconds.

Options:
      --team TEAM   Team that the key belongs to
      --to IP:PORT  Operators' address of any instance; may be given several times
  -h, --help        Print this help
";

/// Random bytes in a key.
const KEY_BYTES: usize = 32;

/// Runs `cardamomshore key`.
pub fn run(mut parser: Parser) -> Result<(), CliError> {
    let Some(command) = subcommand(&mut parser, HELP)? else { return Ok(()) };
    let Some(args) = Args::parse(parser, &["team"], HELP)? else { return Ok(()) };
    match command.as_str() {
        "give" => give(&args),
        "withdraw" => withdraw(&args),
        other => Err(CliError::Usage(format!("no such command: key {other}"))),
    }
}

/// Creates a key for a team and prints the key, also if it is not known whether the key is in
/// force.
fn give(args: &Args) -> Result<(), CliError> {
    let [id] = args.values(["ID"])?;
    let team = args.option("team").ok_or_else(|| CliError::Usage("missing --team".to_owned()))?;
    let remote = args.remote()?;
    let key = new_key();
    let entry = RawKey { team: team.to_owned(), hash: hash_key(&key) };
    let result = block_on(change::edit(&remote, |config| add_key(config, id, &entry)))?;
    if matches!(result, Ok(()) | Err(CliError::Unknown(_))) {
        println!("key {id} of team {team}: {key}");
        println!("The key is not shown again.");
    }
    result
}

/// Returns a new random key.
pub fn new_key() -> String {
    BASE64_URL_SAFE_NO_PAD.encode(rand::random::<[u8; KEY_BYTES]>())
}

/// Adds a key. Fails if there is no such team, or already a key with this id.
fn add_key(config: &mut RawConfig, id: &str, entry: &RawKey) -> Result<(), CliError> {
    if !config.teams.contains_key(&entry.team) {
        return Err(CliError::Failed(format!("there is no team {}", entry.team)));
    }
    if config.keys.contains_key(id) {
        let reason = format!("there is a key {id} already; choose another ID or withdraw it first");
        return Err(CliError::Failed(reason));
    }
    config.keys.insert(id.to_owned(), entry.clone());
    Ok(())
}

/// Withdraws a key. Fails if there is none with this id.
fn withdraw(args: &Args) -> Result<(), CliError> {
    let [id] = args.values(["ID"])?;
    let remote = args.remote()?;
    block_on(change::edit(&remote, |config| match config.keys.remove(id) {
        Some(_) => Ok(()),
        None => Err(CliError::Failed(format!("there is no key {id}; see `config show`"))),
    }))?
}
