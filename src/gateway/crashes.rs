//! Shares the causes of crashes that are refused.
//!
//! The leader finds the causes, since it knows all runs. It sends them to its peers, which refuse them
//! if there is no leader, and records them in the store for instances that start later. A peer tells
//! a new leader what it knows.

use std::{collections::HashSet, sync::Arc, time::Duration};

use prost::Message;
use tokio::time::sleep;

use super::{
    Gateway,
    leader::{LEADER_KEY, PREFIX},
    messages::{Content, CrashesFrame},
};
use crate::{
    clock::Time,
    kernel::grants::Cause,
    platform::store::{Item, Put, PutResult},
};

/// Key of the record of the causes, below [`PREFIX`].
const CAUSES_NAME: &str = "crash-causes";

/// Interval at which the causes are compared with those that were shared last.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);

/// Wait before the causes are recorded again, after the store has not recorded them.
const RECORD_BACKOFF: Duration = Duration::from_secs(1);

/// Versions of the causes that were shared last.
#[derive(Default)]
struct Shared {
    /// Version that was logged, and sent to the peers if this instance led.
    seen: u64,
    /// Version that the store has, and the era in which it was recorded.
    recorded: (u64, u64),
    /// When the causes may be recorded again.
    record_from: Time,
}

/// Shares the causes after each change while this instance leads, and logs the changes.
pub async fn run(gateway: Arc<Gateway>) {
    let mut shared = Shared::default();
    let mut logged = HashSet::new();
    loop {
        sleep(SHARE_INTERVAL).await;
        let version = gateway.scheduler.lock().crash_version();
        if version != shared.seen {
            log_changes(&gateway, &mut logged);
            if gateway.leads() {
                gateway.peers.broadcast(&gateway.crashes_content());
            }
            shared.seen = version;
        }
        // A new era of the store may have lost the record.
        let current = (version, gateway.store.era());
        let is_due = version > 0 && current != shared.recorded && Time::now() >= shared.record_from;
        if !is_due || !gateway.leads() {
            continue;
        }
        match record(&gateway).await {
            true => shared.recorded = current,
            false => shared.record_from = Time::now() + RECORD_BACKOFF,
        }
    }
}

/// Logs the causes that were found or cleared since the last call.
fn log_changes(gateway: &Gateway, logged: &mut HashSet<Cause>) {
    let records = gateway.scheduler.lock().refused_causes();
    let refused: HashSet<Cause> = records.iter().map(|record| record.cause).collect();
    for record in records.iter().filter(|record| !logged.contains(&record.cause)) {
        let (kind, hash) = describe(record.cause);
        let crashes = record.crashes.len();
        log::warn!("event=crash_cause_found kind={kind} hash={hash:x} crashes={crashes}");
    }
    for cause in logged.difference(&refused) {
        let (kind, hash) = describe(*cause);
        log::info!("event=crash_cause_cleared kind={kind} hash={hash:x}");
    }
    metrics::gauge!("cardamomshore_crash_causes").set(refused.len() as f64);
    *logged = refused;
}

/// Returns the kind and the hash of a cause, for the log.
fn describe(cause: Cause) -> (&'static str, u64) {
    match cause {
        Cause::Request(fingerprint) => ("request", fingerprint),
        Cause::PromptPart(hash) => ("part", hash),
    }
}

/// Returns the key of the record of the causes.
fn causes_key() -> String {
    format!("{PREFIX}{CAUSES_NAME}")
}

/// Records the causes in the store; returns whether they are recorded.
async fn record(gateway: &Gateway) -> bool {
    if !gateway.leadership.lock().holds_lease(Time::now()) {
        return false;
    }
    let revision = gateway.leadership.lock().revision();
    let records = gateway.scheduler.lock().refused_causes();
    let value = CrashesFrame::from(records).encode_to_vec();
    let key = causes_key();
    let put = Put { key: &key, value: &value, lease: None };
    match gateway.store.put_if(LEADER_KEY, revision, &[put]).await {
        Ok(PutResult::Done(_)) => true,
        Ok(PutResult::Conflict | PutResult::NoLease) => false,
        Err(err) => {
            log::info!("event=crash_causes_not_recorded reason={err}");
            false
        }
    }
}

impl Gateway {
    /// Returns the content of a frame with the causes that are refused.
    pub(super) fn crashes_content(&self) -> Content {
        Content::Crashes(self.scheduler.lock().refused_causes().into())
    }

    /// Adds the causes that a peer knows.
    pub(super) fn merge_crashes(&self, frame: CrashesFrame) {
        self.scheduler.lock().merge_crashes(frame.into(), Time::now());
    }

    /// Applies the leader's causes.
    pub(super) fn handle_crashes(&self, frame: CrashesFrame) {
        self.scheduler.lock().replace_refused_causes(frame.into(), Time::now());
    }

    /// Applies a record of the store if it holds causes. A leader, and an instance that is linked to
    /// one, know newer ones.
    pub(super) fn apply_crashes_record(&self, item: &Item) {
        if item.key != causes_key() || self.leads() || self.uplink.is_open() {
            return;
        }
        match CrashesFrame::decode(item.value.clone()) {
            Ok(frame) => self.merge_crashes(frame),
            Err(err) => log::warn!("event=crash_causes_unreadable reason={err}"),
        }
    }
}
