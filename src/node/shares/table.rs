//! Reads the share table and writes this instance's changes to it.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::RngExt;
use tokio::time::{Instant, sleep, sleep_until};

use super::{UPDATE_INTERVAL, loans, update_shares};
use crate::{
    clock::Time,
    events::Event,
    kernel::shares::{LOAN_TTL, Membership, ShareTable, Step, TABLE_KEY},
    names::InstanceId,
    node::{Node, config_sync},
    platform::{ListedInstance, ListedState, PlatformError, Put},
};

/// Time between two reads of the table by one instance.
const READ_INTERVAL: Duration = Duration::from_millis(2_000);

/// Time between the first two reads; it doubles with each further read until the instance has a row.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Wait after a write that failed or conflicted with another one, with a random factor.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(150);

/// Time for which a revision that a peer confirmed replaces a read of the table.
const CONFIRMATION_TTL: Duration = Duration::from_millis(3_000);

/// Runs the updates of the shares, the reads and writes of the table, and the loans.
pub async fn run(node: Arc<Node>) {
    tokio::join!(run_updates(&node), run_table(&node), loans::run(&node));
}

/// Updates the shares at an interval.
async fn run_updates(node: &Node) {
    loop {
        update_shares(node);
        sleep(UPDATE_INTERVAL).await;
    }
}

/// Reads the table at an interval, if needed, and writes this instance's changes.
async fn run_table(node: &Node) {
    let mut interval = FIRST_READ_INTERVAL;
    loop {
        let next = Instant::now() + interval.mul_f64(rand::rng().random_range(0.5..1.4));
        if needs_read(node) {
            match read_table(node).await {
                Ok(()) => write_steps(node).await,
                Err(err) => log::debug!("cannot read or write the share table {TABLE_KEY}: {err}"),
            }
            interval = if owns_row(node) { READ_INTERVAL } else { READ_INTERVAL.min(interval * 2) };
        }
        sleep_until(next).await;
    }
}

/// Returns whether this instance reads the table itself instead of relying on peers' heartbeats.
fn needs_read(node: &Node) -> bool {
    if node.config().is_none() || node.list.load().instances.is_empty() {
        return false;
    }
    let owns_row_now = owns_row(node);
    let view = node.shares.table_view.lock();
    let is_confirmed = Time::now().since(view.confirmed_at()) <= CONFIRMATION_TTL;
    let can_skip = owns_row_now && is_confirmed && !view.is_stale() && !view.is_pending();
    drop(view);
    !can_skip || config_sync::is_watcher(node)
}

/// Returns whether the table has a valid row of this process.
fn owns_row(node: &Node) -> bool {
    let view = node.shares.table_view.lock();
    let row = view.table().rows.get(&node.settings.instance);
    row.is_some_and(|row| row.incarnation == node.incarnation && !row.revoked)
}

/// Reads the table and updates the shares.
async fn read_table(node: &Node) -> Result<(), PlatformError> {
    let sent = Time::now();
    let kv = node.platform.get(TABLE_KEY).await?;
    let (table, revision) = match kv {
        Some(kv) => (serde_json::from_slice(&kv.value).unwrap_or_default(), kv.revision),
        None => (ShareTable::default(), 0),
    };
    node.shares.table_view.lock().apply_table(table, revision, sent, Time::now());
    update_shares(node);
    Ok(())
}

/// Writes this instance's changes until none is left; reads the table after each write that failed or conflicted.
async fn write_steps(node: &Node) {
    loop {
        let step = next_step(node);
        if step == Step::Keep {
            return;
        }
        if !write_step(node, &step).await {
            let backoff = CONFLICT_BACKOFF.mul_f64(rand::rng().random_range(0.2..2.0));
            sleep(backoff).await;
            if read_table(node).await.is_err() {
                return;
            }
        }
    }
}

/// Decides which change of the table this instance writes next.
fn next_step(node: &Node) -> Step {
    let members = membership(node);
    let mut lent_parts = 0;
    node.shares.teams.for_each(|_, share| lent_parts = lent_parts.max(share.lent_parts()));
    node.shares.table_view.lock().next_step(&members, lent_parts, Time::now())
}

/// Returns the listed and the live instances, and whether heartbeats of most of them arrive.
fn membership(node: &Node) -> Membership {
    let list = node.list.load();
    let names = |filter: fn(&ListedInstance) -> bool| -> BTreeSet<InstanceId> {
        list.instances.iter().filter(|i| filter(i)).map(|i| i.id.clone()).collect()
    };
    let contact = node.contact();
    let mut live = names(|instance| instance.state == ListedState::Live);
    if node.drain.is_draining() {
        live.remove(&node.settings.instance);
    }
    Membership { listed: names(|_| true), live, majority: contact.heard * 2 > contact.listed }
}

/// Writes a step and returns whether it took effect.
async fn write_step(node: &Node, step: &Step) -> bool {
    let (next, expected) = {
        let mut view = node.shares.table_view.lock();
        view.begin_step(step);
        (view.next_table(step), view.revision())
    };
    // Parts that the step gives up must be out of use before the write is sent.
    update_shares(node);
    let next = ShareTable { nonce: rand::random(), ..next };
    let value = serde_json::to_vec(&next).unwrap_or_default();
    let sent = Time::now();
    let put = Put { key: TABLE_KEY.to_owned(), value, lease: 0 };
    match node.platform.put_if(put, expected).await {
        Ok(reply) if reply.succeeded => {
            node.shares.table_view.lock().apply_table(next, reply.revision, sent, Time::now());
            update_shares(node);
            let subject = node.settings.instance.as_str();
            node.timeline.record(Event::ShareChanged, subject, format!("step={step:?}"));
            true
        }
        Ok(_) => false,
        Err(err) => {
            log::debug!("cannot read or write the share table {TABLE_KEY}: {err}");
            false
        }
    }
}

/// Stops using this instance's parts, and removes its row once all loans from it have ended.
pub async fn hand_over(node: &Node) {
    node.shares.table_view.lock().begin_step(&Step::Leave);
    update_shares(node);
    sleep(LOAN_TTL.mul_f64(1.1)).await;
    if read_table(node).await.is_ok() {
        write_step(node, &Step::Leave).await;
    }
}
