//! Follows the table of parts and writes this instance's steps.

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

/// Time between the first reads, which doubles until the instance has a row.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a write that lost a race, with a random factor.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(150);

/// Time for which the peers' news of the table replace an own read.
const CONFIRMATION_TTL: Duration = Duration::from_millis(3_000);

/// Keeps the parts, the table and the loans up to date.
pub async fn run(node: Arc<Node>) {
    tokio::join!(run_updates(&node), run_table(&node), loans::run(&node));
}

async fn run_updates(node: &Node) {
    loop {
        update_shares(node);
        sleep(UPDATE_INTERVAL).await;
    }
}

async fn run_table(node: &Node) {
    let mut period = FIRST_READ_INTERVAL;
    loop {
        let next = Instant::now() + period.mul_f64(rand::rng().random_range(0.5..1.4));
        if needs_read(node) {
            match read_table(node).await {
                Ok(()) => write_steps(node).await,
                Err(err) => log::debug!("share table: {err}"),
            }
            period = if owns_row(node) { READ_INTERVAL } else { READ_INTERVAL.min(period * 2) };
        }
        sleep_until(next).await;
    }
}

/// Returns whether this node reads the table itself instead of hearing of it from peers.
fn needs_read(node: &Node) -> bool {
    if node.config().is_none() || node.list.load().instances.is_empty() {
        return false;
    }
    let own = owns_row(node);
    let custody = node.shares.table_view.lock();
    let young = Time::now().since(custody.confirmed_at()) <= CONFIRMATION_TTL;
    let quiet = own && young && !custody.is_stale() && !custody.is_pending();
    drop(custody);
    !quiet || config_sync::is_watcher(node)
}

fn owns_row(node: &Node) -> bool {
    let custody = node.shares.table_view.lock();
    let row = custody.table().rows.get(&node.settings.instance);
    row.is_some_and(|row| row.incarnation == node.incarnation && !row.revoked)
}

async fn read_table(node: &Node) -> Result<(), PlatformError> {
    let asked = Time::now();
    let kv = node.platform.get(TABLE_KEY).await?;
    let (table, revision) = match kv {
        Some(kv) => (serde_json::from_slice(&kv.value).unwrap_or_default(), kv.revision),
        None => (ShareTable::default(), 0),
    };
    node.shares.table_view.lock().apply_table(table, revision, asked, Time::now());
    update_shares(node);
    Ok(())
}

/// Writes the own steps until there is none, or a race with another writer is lost.
async fn write_steps(node: &Node) {
    loop {
        let step = next_step(node);
        if step == Step::Keep {
            return;
        }
        if !write_step(node, &step).await {
            let pause = CONFLICT_BACKOFF.mul_f64(rand::rng().random_range(0.2..2.0));
            sleep(pause).await;
            if read_table(node).await.is_err() {
                return;
            }
        }
    }
}

fn next_step(node: &Node) -> Step {
    let census = membership(node);
    let mut lent = 0;
    node.shares.teams.for_each(|_, share| lent = lent.max(share.lent_parts()));
    node.shares.table_view.lock().next_step(&census, lent, Time::now())
}

fn membership(node: &Node) -> Membership {
    let list = node.list.load();
    let names = |keep: fn(&ListedInstance) -> bool| -> BTreeSet<InstanceId> {
        list.instances.iter().filter(|i| keep(i)).map(|i| i.id.clone()).collect()
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
        let mut custody = node.shares.table_view.lock();
        custody.begin_step(step);
        (custody.next_table(step), custody.revision())
    };
    // Parts that are given up are out of use before the write is sent.
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
            log::debug!("share table: {err}");
            false
        }
    }
}

/// Gives the own parts up once all loans out of them have ended.
pub async fn hand_over(node: &Node) {
    node.shares.table_view.lock().begin_step(&Step::Leave);
    update_shares(node);
    sleep(LOAN_TTL.mul_f64(1.1)).await;
    if read_table(node).await.is_ok() {
        write_step(node, &Step::Leave).await;
    }
}
