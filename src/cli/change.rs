//! Changes of the configuration and their confirmation.

use std::time::{Duration, Instant};

use super::{
    CliError,
    diff::unified,
    remote::{ApplyResult, Remote},
};
use crate::{
    config::RawConfig,
    names::InstanceId,
    node::operator::{Confirmation, VersionedConfig},
};

/// Longest wait for more than half of the instances to confirm a version.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest wait for the other instances once most of them confirmed a version.
const REMAINING_TIMEOUT: Duration = Duration::from_secs(4);

/// Time between two looks at the confirmations.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Changes that are tried again after a conflict.
const MAX_ATTEMPTS: usize = 8;

/// Time before a change is tried again after a conflict.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Writes a document over the version that the operator saw and waits for its confirmation.
pub async fn write(remote: &Remote, apply: VersionedConfig) -> Result<(), CliError> {
    match remote.apply(&apply).await {
        ApplyResult::Done(version) => wait_for_confirmation(remote, version).await,
        ApplyResult::Conflict(current) => Err(conflict_error(&apply, &current)),
        ApplyResult::Refused(reason) => Err(CliError::Failed(reason)),
        ApplyResult::Unknown(reason) => Err(unknown_error(&reason)),
    }
}

/// Changes the newest document, again where another operator's change comes between.
pub async fn edit(
    remote: &Remote,
    edit: impl Fn(&mut RawConfig) -> Result<(), CliError>,
) -> Result<(), CliError> {
    for _ in 0..MAX_ATTEMPTS {
        let newest = remote.show().await?;
        let mut raw = parse_newest(&newest)?;
        edit(&mut raw)?;
        let text = serde_saphyr::to_string(&raw);
        let text = text.map_err(|err| CliError::Failed(err.to_string()))?;
        match write(remote, VersionedConfig { seen: newest.seen, text }).await {
            Err(CliError::Conflict(_)) => tokio::time::sleep(RETRY_BACKOFF).await,
            other => return other,
        }
    }
    let reason = "other operators change the configuration all the time; try again later";
    Err(CliError::Conflict(reason.to_owned()))
}

fn parse_newest(newest: &VersionedConfig) -> Result<RawConfig, CliError> {
    if newest.seen == 0 {
        let reason = "there is no configuration yet; write one with `config apply`";
        return Err(CliError::Failed(reason.to_owned()));
    }
    serde_saphyr::from_str(&newest.text).map_err(|err| CliError::Failed(err.to_string()))
}

fn conflict_error(apply: &VersionedConfig, current: &VersionedConfig) -> CliError {
    let old = format!("version {} in force", current.seen);
    let diff = unified((&old, &current.text), ("your document", &apply.text));
    CliError::Conflict(format!(
        "conflict: you changed version {}, and version {} is in force now. Nothing was written.\n\
         Your document against it:\n{diff}\
         Take the other change over, then apply with --seen {}.",
        apply.seen, current.seen, current.seen
    ))
}

fn unknown_error(reason: &str) -> CliError {
    CliError::Unknown(format!(
        "unknown: {reason}\nThe change may have been written. See with `config show` and \
         `config diff`, then apply again if need be."
    ))
}

/// Waits until more than half of the listed instances have the version in force.
async fn wait_for_confirmation(remote: &Remote, version: u64) -> Result<(), CliError> {
    let start = Instant::now();
    let mut accepted = None;
    let mut last = Confirmation::default();
    while start.elapsed() < ACCEPT_TIMEOUT {
        // The instance that was asked may have ended; another one answers the next time.
        if let Ok(found) = remote.confirmation().await
            && found.version >= version
        {
            if found.is_accepted() {
                accepted.get_or_insert_with(Instant::now);
            }
            last = found;
        }
        let waited = accepted.is_some_and(|since: Instant| since.elapsed() >= REMAINING_TIMEOUT);
        if accepted.is_some() && (waited || last.missing.is_empty()) {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    report(version, &last, start.elapsed())
}

fn report(version: u64, found: &Confirmation, elapsed: Duration) -> Result<(), CliError> {
    let confirmed = found.confirmed.len();
    let listed = confirmed + found.missing.len();
    let missing = join_names(&found.missing);
    if !found.is_accepted() {
        return Err(CliError::Unknown(format!(
            "unknown: version {version} was written, but only {confirmed} of {listed} listed \
             instances confirmed it. Not confirmed: {missing}.\nSee `status`; the others take it \
             over when they can be reached."
        )));
    }
    println!(
        "version {version} accepted: {confirmed} of {listed} instances confirmed it within {:.1} s",
        elapsed.as_secs_f64()
    );
    if !found.missing.is_empty() {
        println!("not confirmed: {missing}");
    }
    Ok(())
}

fn join_names(instances: &[InstanceId]) -> String {
    let names: Vec<&str> = instances.iter().map(InstanceId::as_str).collect();
    names.join(", ")
}
