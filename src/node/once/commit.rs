//! Takes buckets of ids over, commits claims in groups and hands buckets over.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use prost::Message;
use tokio::time::{sleep, timeout};

use super::{dispatch::dispatch, refusal, respond_to_all};
use crate::{
    clock::Time,
    codes::Code,
    events::Event,
    kernel::{
        freshness::Freshness,
        once::{
            BUCKET_COUNT, Bucket, ClaimId, GroupDecision, HeadRecord, NextWrite, SegmentRecord,
            Write, WriteOutcome, bucket_prefix, head_key, segment_key,
        },
    },
    node::Node,
    platform::{Kv, PlatformError, Put, Snapshot, Txn},
};

/// Time between two checks for buckets to take or to hand over.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Wait after an attempt to take a bucket, or after losing one, before the next attempt.
const TAKE_BACKOFF: Duration = Duration::from_millis(1_000);

/// Most writes a second that all owners together make for claims.
const MAX_FLEET_WRITES: f64 = 250.0;

/// Takes the buckets that belong to this instance and commits the claims that wait.
pub async fn run(node: Arc<Node>) {
    tokio::spawn(watch_pauses(node.clone()));
    loop {
        // A notification commits claims at once; the interval bounds the wait for buckets to take.
        let _ = timeout(CHECK_INTERVAL, node.once.write_wanted.notified()).await;
        let written = join_all((0..BUCKET_COUNT).map(|bucket| update_bucket(&node, bucket))).await;
        let count = written.into_iter().filter(|written| *written).count();
        sleep(write_pause(&node, count)).await;
    }
}

/// Detects pauses of the process at an interval, also while a write waits for its response.
async fn watch_pauses(node: Arc<Node>) {
    loop {
        node.once.tick();
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the wait after a round of `writes` that keeps all owners within [`MAX_FLEET_WRITES`].
fn write_pause(node: &Node, writes: usize) -> Duration {
    let owners = node.list.load().instances.len().clamp(1, BUCKET_COUNT as usize);
    Duration::from_secs_f64((writes * owners) as f64 / MAX_FLEET_WRITES)
}

/// Reads one bucket in order to take it, closes it or writes it as needed, and returns whether a write was sent.
async fn update_bucket(node: &Arc<Node>, bucket: u32) -> bool {
    let may_read = {
        let slot = node.once.slots[bucket as usize].lock();
        slot.bucket.is_none() && slot.next_attempt <= Time::now()
    };
    if may_read && should_take(node, bucket) {
        read_bucket(node, bucket).await;
    }
    doubt_if_taken(node, bucket);
    close_if_misplaced(node, bucket);
    commit(node, bucket).await
}

/// Returns whether this instance should take a bucket that it does not own.
fn should_take(node: &Node, bucket: u32) -> bool {
    node.config().is_some()
        && !node.drain.is_draining()
        && node.freshness() == Freshness::Fresh
        && node.preferred_owner(bucket).as_ref() == Some(&node.settings.instance)
}

/// Reads the records of a bucket; unless its owner is alive, the next write takes it.
async fn read_bucket(node: &Node, bucket: u32) {
    let slot = &node.once.slots[bucket as usize];
    slot.lock().next_attempt = Time::now() + TAKE_BACKOFF;
    let Ok(snapshot) = node.platform.range(&bucket_prefix(bucket)).await else { return };
    match parse_bucket(bucket, snapshot) {
        Ok((head, _)) if is_owner_alive(node, head.as_ref()) => {}
        Ok((head, sealed)) => {
            let owner = node.settings.instance.as_str();
            let new_bucket =
                Bucket::from_records(owner, node.incarnation, head, sealed, Time::now());
            slot.lock().bucket = Some(new_bucket);
        }
        Err(err) => log::error!("cannot decode the records of bucket {bucket}: {err}"),
    }
}

/// The head of a bucket with its revision, and the sealed segments by number.
type ParsedBucket = (Option<(HeadRecord, i64)>, BTreeMap<u64, SegmentRecord>);

/// Parses the records of a bucket; fails if one of them cannot be decoded.
fn parse_bucket(bucket: u32, snapshot: Snapshot) -> Result<ParsedBucket, prost::DecodeError> {
    let mut head = None;
    let mut sealed = BTreeMap::new();
    let head_key = head_key(bucket);
    for Kv { key, value, revision, .. } in snapshot.kvs {
        if key == head_key {
            head = Some((HeadRecord::parse(&value)?, revision));
        } else if let Some(number) = key.rsplit('-').next().and_then(|n| n.parse().ok()) {
            sealed.insert(number, SegmentRecord::decode(value.as_slice())?);
        }
    }
    Ok((head, sealed))
}

/// Returns whether the process that owns a bucket sends heartbeats and is not cut off.
fn is_owner_alive(node: &Node, head: Option<&(HeadRecord, i64)>) -> bool {
    let Some((head, _)) = head else { return false };
    let id = head.owner.as_str().into();
    let peer = node.members.peer(&id);
    peer.is_some_and(|peer| {
        peer.heartbeat.incarnation == head.incarnation && !peer.heartbeat.cut_off
    })
}

/// Marks the ownership of a bucket as unconfirmed if a peer says that it owns the bucket.
///
/// The outcome of the next write shows which instance is the owner.
fn doubt_if_taken(node: &Node, bucket: u32) {
    if node.members.bucket_owner(bucket).is_none() {
        return;
    }
    if let Some(bucket) = node.once.slots[bucket as usize].lock().bucket.as_mut() {
        bucket.doubt_ownership();
    }
}

/// Closes an owned bucket if another instance should own it.
fn close_if_misplaced(node: &Node, bucket: u32) {
    let preferred = node.preferred_owner(bucket);
    let elsewhere = preferred.is_some_and(|preferred| preferred != node.settings.instance);
    if !elsewhere || node.freshness() != Freshness::Fresh {
        return;
    }
    let mut slot = node.once.slots[bucket as usize].lock();
    if let Some(bucket) = slot.bucket.as_mut().filter(|bucket| bucket.is_owned()) {
        bucket.close();
    }
}

/// Sends the next write of a bucket, if there is one, and returns whether a write was sent.
async fn commit(node: &Arc<Node>, bucket: u32) -> bool {
    let next = {
        let mut slot = node.once.slots[bucket as usize].lock();
        slot.bucket.as_mut().map(|bucket| bucket.next_write(Time::now(), rand::random()))
    };
    let Some(NextWrite::Write(write)) = next else { return false };
    let outcome = send_write(node, bucket, &write).await;
    apply_outcome(node, bucket, &write, outcome);
    true
}

/// Sends a write and returns its outcome.
async fn send_write(node: &Node, bucket: u32, write: &Write) -> WriteOutcome {
    let txn = txn_of(bucket, write);
    match node.platform.txn(&txn).await {
        Ok(reply) if reply.succeeded => WriteOutcome::Done(reply.revision),
        Ok(reply) => conflict_with(reply.current.first()),
        Err(PlatformError::NotSent(_) | PlatformError::Refused(_)) => WriteOutcome::NotSent,
        Err(PlatformError::Unknown(_)) => read_back(node, bucket, write).await,
    }
}

/// Returns the transaction of a write, which expects the head's revision.
fn txn_of(bucket: u32, write: &Write) -> Txn {
    let put = |key: String, value: Vec<u8>| Put { key, value, lease: 0 };
    let mut puts = vec![put(head_key(bucket), write.head.encode_to_vec())];
    if let Some((number, segment)) = &write.sealed {
        puts.push(put(segment_key(bucket, *number), segment.encode_to_vec()));
    }
    let deletes = write.pruned.iter().map(|number| segment_key(bucket, *number)).collect();
    Txn { expect: vec![(head_key(bucket), write.expected)], puts, deletes }
}

/// Returns the outcome of a write that failed since the head had another revision than expected.
fn conflict_with(current: Option<&Kv>) -> WriteOutcome {
    let Some(kv) = current else { return WriteOutcome::Conflict { nonce: 0, revision: 0 } };
    let nonce = HeadRecord::parse(&kv.value).map_or(0, |head| head.nonce);
    WriteOutcome::Conflict { nonce, revision: kv.revision }
}

/// Reads the head back after a lost response, and compares its nonce with the write's.
async fn read_back(node: &Node, bucket: u32, write: &Write) -> WriteOutcome {
    match node.platform.get(&head_key(bucket)).await {
        Ok(Some(kv)) if kv.revision != write.expected => match conflict_with(Some(&kv)) {
            WriteOutcome::Conflict { nonce, revision } if nonce == write.head.nonce => {
                WriteOutcome::Done(revision)
            }
            other => other,
        },
        _ => WriteOutcome::Unknown,
    }
}

/// Applies the outcome of a write: dispatches or refuses its claims, or drops the bucket.
fn apply_outcome(node: &Arc<Node>, index: u32, write: &Write, outcome: WriteOutcome) {
    let mut slot = node.once.slots[index as usize].lock();
    let Some(bucket) = slot.bucket.as_mut() else { return };
    let was_owned = bucket.is_owned();
    let decision = bucket.handle_write_outcome(write, outcome, Time::now());
    let closed = bucket.is_closing() && matches!(outcome, WriteOutcome::Done(_));
    if !was_owned && bucket.is_owned() {
        node.timeline.record(Event::BucketTaken, format!("bucket-{index}"), "");
    }
    drop(slot);
    match decision {
        GroupDecision::Dispatch(ids) => {
            ids.into_iter().for_each(|id| start_dispatch(node, index, id))
        }
        GroupDecision::Retry => node.once.write_wanted.notify_one(),
        GroupDecision::Refuse(ids) => {
            node.once.record_outage();
            refuse_claims(node, index, &ids, Code::PlatformDown);
        }
        GroupDecision::Dropped(ids) => {
            refuse_claims(node, index, &ids, Code::NotOwner);
            discard_bucket(node, index);
        }
    }
    if closed {
        discard_bucket(node, index);
    }
}

/// Spawns the dispatch of a committed claim.
fn start_dispatch(node: &Arc<Node>, index: u32, id: ClaimId) {
    let slot = node.once.slots[index as usize].lock();
    let Some(pending) = slot.pending.get(&id) else { return };
    let work = pending.work.clone();
    drop(slot);
    node.timeline.record(Event::ClaimCommitted, &*work.request, format!("bucket={index}"));
    tokio::spawn(dispatch(node.clone(), index, id, work));
}

/// Refuses the pending requests of claims.
fn refuse_claims(node: &Node, index: u32, ids: &[ClaimId], code: Code) {
    let mut slot = node.once.slots[index as usize].lock();
    for id in ids {
        let may_have_run = slot.bucket.as_ref().is_some_and(|bucket| bucket.may_have_run(id));
        let Some(pending) = slot.pending.remove(id) else { continue };
        tokio::spawn(respond_to_all(pending.waiters, Err(refusal(code, may_have_run))));
    }
}

/// Drops a bucket that belongs to another owner.
///
/// Running requests continue until they end, and the new owner fetches their responses.
fn discard_bucket(node: &Node, index: u32) {
    let mut slot = node.once.slots[index as usize].lock();
    slot.bucket = None;
    slot.next_attempt = Time::now() + TAKE_BACKOFF;
}

/// Hands every owned bucket over before the process ends.
pub async fn hand_over(node: &Arc<Node>) {
    for bucket in 0..BUCKET_COUNT {
        let closing = {
            let mut slot = node.once.slots[bucket as usize].lock();
            slot.bucket.as_mut().is_some_and(|bucket| bucket.is_owned() && bucket.close())
        };
        if closing {
            commit(node, bucket).await;
        }
    }
}
