//! Writes changes of the configuration and waits until they are in force.

use std::time::{Duration, Instant};

use super::{
    CliError,
    diff::unified_diff,
    remote::{ApplyResult, Remote},
};
use crate::{
    config::RawConfig,
    names::InstanceId,
    node::operator::{Confirmation, VersionedConfig},
};

/// Timeout for more than half of the instances to confirm a version.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout for the other instances once more than half have confirmed a version.
const REMAINING_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which the confirmations are fetched.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Attempts to write a change while other operators write theirs.
const MAX_ATTEMPTS: usize = 8;

/// Wait before a change is retried after a conflict.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Writes a document in place of the version that the operator saw, and waits until the instances
/// confirm the new version. Fails with a conflict if the version that the operator saw is no longer
/// the newest.
pub async fn write(remote: &Remote, config: VersionedConfig) -> Result<(), CliError> {
    match remote.apply(&config).await {
        ApplyResult::Done(version) => wait_for_confirmation(remote, version).await,
        ApplyResult::Conflict(current) => Err(conflict_error(&config, &current)),
        ApplyResult::Refused(reason) => Err(CliError::Failed(reason)),
        ApplyResult::Unknown(reason) => Err(unknown_error(&reason)),
    }
}

/// Changes the newest document with `edit`, and retries if another operator writes a change first.
pub async fn edit(
    remote: &Remote,
    edit: impl Fn(&mut RawConfig) -> Result<(), CliError>,
) -> Result<(), CliError> {
    for _ in 0..MAX_ATTEMPTS {
        let newest = remote.show().await?;
        let mut config = parse_newest(&newest)?;
        edit(&mut config)?;
        let text = serde_saphyr::to_string(&config);
        let text = text.map_err(|err| CliError::Failed(err.to_string()))?;
        match write(remote, VersionedConfig { seen: newest.seen, text }).await {
            Err(CliError::Conflict(_)) => tokio::time::sleep(RETRY_BACKOFF).await,
            other => return other,
        }
    }
    let reason = "other operators change the configuration all the time; try again later";
    Err(CliError::Conflict(reason.to_owned()))
}

/// Parses the newest document. Fails if there is none yet.
fn parse_newest(newest: &VersionedConfig) -> Result<RawConfig, CliError> {
    if newest.seen == 0 {
        let reason = "there is no configuration yet; write one with `config apply`";
        return Err(CliError::Failed(reason.to_owned()));
    }
    serde_saphyr::from_str(&newest.text).map_err(|err| CliError::Failed(err.to_string()))
}

/// Returns the error of a change that another one has overtaken, with the differences.
fn conflict_error(config: &VersionedConfig, current: &VersionedConfig) -> CliError {
    let old_name = format!("version {} in force", current.seen);
    let diff = unified_diff((&old_name, &current.text), ("your document", &config.text));
    CliError::Conflict(format!(
        "conflict: you changed version {}, and version {} is in force now. Nothing was written.\n\
         Your document against it:\n{diff}\
         Take the other change over, then apply with --seen {}.",
        config.seen, current.seen, current.seen
    ))
}

/// Returns the error of a change that may have been written.
fn unknown_error(reason: &str) -> CliError {
    CliError::Unknown(format!(
        "unknown: {reason}\nThe change may have been written. Check with `config show` and \
         `config diff`, then apply it again if necessary."
    ))
}

/// Waits until more than half of the listed instances have confirmed the version, and then at most
/// [`REMAINING_TIMEOUT`] for the others.
async fn wait_for_confirmation(remote: &Remote, version: u64) -> Result<(), CliError> {
    let start = Instant::now();
    let mut accepted_at = None;
    let mut last = Confirmation::default();
    while start.elapsed() < ACCEPT_TIMEOUT {
        // The instance that was asked may have stopped; the next call goes to another one.
        if let Ok(confirmation) = remote.confirmation().await
            && confirmation.version >= version
        {
            if confirmation.is_accepted() {
                accepted_at.get_or_insert_with(Instant::now);
            }
            last = confirmation;
        }
        let timed_out =
            accepted_at.is_some_and(|since: Instant| since.elapsed() >= REMAINING_TIMEOUT);
        if accepted_at.is_some() && (timed_out || last.missing.is_empty()) {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    report(version, &last, start.elapsed())
}

/// Prints how many instances have confirmed the version and names the others. Fails if not more
/// than half have confirmed it.
fn report(version: u64, confirmation: &Confirmation, elapsed: Duration) -> Result<(), CliError> {
    let confirmed = confirmation.confirmed.len();
    let listed = confirmed + confirmation.missing.len();
    let missing = join_names(&confirmation.missing);
    if !confirmation.is_accepted() {
        return Err(CliError::Unknown(format!(
            "unknown: version {version} was written, but only {confirmed} of {listed} listed \
             instances confirmed it. Not confirmed: {missing}.\nSee `status`; the others put it \
             in force when they can be reached."
        )));
    }
    println!(
        "version {version} accepted: {confirmed} of {listed} instances confirmed it within {:.1} s",
        elapsed.as_secs_f64()
    );
    if !confirmation.missing.is_empty() {
        println!("not confirmed: {missing}");
    }
    Ok(())
}

/// Returns the names of the instances, separated by commas.
fn join_names(instances: &[InstanceId]) -> String {
    let names: Vec<&str> = instances.iter().map(InstanceId::as_str).collect();
    names.join(", ")
}
