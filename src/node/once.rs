//! Claims of non-repeatable requests whose buckets this node owns.
//!
//! A claim and its dispatch sit in one process: the owner commits the claim and then sends the
//! request to the endpoint's steward itself.

mod answers;
mod commit;
mod dispatch;

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use self::answers::{ResponseStore, StoredResponse};
pub use self::commit::{hand_over, run};
use super::{Node, exchange::Responder};
use crate::{
    clock::Time,
    codes::{Code, Refusal},
    events::Event,
    kernel::{
        once::{BUCKET_COUNT, Bucket, ClaimDecision, ClaimId, bucket_of, owner_hash},
        stewardship,
    },
    names::InstanceId,
    platform::ListedState,
    wire::{Body, End, PeerRequestBody, StoredResponseRequest, Work},
};

/// Time for which new claims are refused at once after the platform's service failed.
const OUTAGE_BACKOFF: Duration = Duration::from_millis(300);

/// Time after its start for which a node expects listed instances that it has not heard yet.
const START_GRACE: Duration = Duration::from_secs(3);

/// Pause of the process after which another instance may have taken its buckets.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// Buckets owned by this node.
pub struct ClaimBuckets {
    slots: Vec<Mutex<Slot>>,
    write_due: Notify,
    down_until: Mutex<Time>,
    tick: Mutex<Time>,
    started: Time,
}

/// One bucket and what waits for it.
#[derive(Default)]
struct Slot {
    bucket: Option<Bucket>,
    pending: HashMap<ClaimId, Pending>,
    responses: ResponseStore,
    next_attempt: Time,
}

/// A request that was claimed or waits to be.
struct Pending {
    work: Work,
    waiters: Vec<Responder>,
}

/// What to do with a request at once.
enum Step {
    Wait,
    Replay(Arc<StoredResponse>),
    /// Another instance may hold the answer.
    Fetch(InstanceId),
    Refuse(Refusal),
}

impl Default for ClaimBuckets {
    fn default() -> Self {
        Self {
            slots: (0..BUCKET_COUNT).map(|_| Mutex::default()).collect(),
            write_due: Notify::new(),
            down_until: Mutex::default(),
            tick: Mutex::new(Time::now()),
            started: Time::now(),
        }
    }
}

impl ClaimBuckets {
    /// Returns the number of owned buckets.
    pub fn owned_count(&self) -> usize {
        self.owned_mask().count_ones() as usize
    }

    /// Returns the owned buckets as a bit mask.
    pub fn owned_mask(&self) -> u32 {
        let owned = |slot: &Mutex<Slot>| {
            let slot = slot.lock();
            slot.bucket.as_ref().is_some_and(|bucket| bucket.is_owned() && !bucket.is_closing())
        };
        (0..BUCKET_COUNT).filter(|i| owned(&self.slots[*i as usize])).fold(0, |m, i| m | 1 << i)
    }

    /// Notes that the process runs, and doubts every bucket after a pause.
    fn tick(&self) {
        let now = Time::now();
        let last = std::mem::replace(&mut *self.tick.lock(), now);
        if now.since(last) <= MAX_PAUSE {
            return;
        }
        for slot in &self.slots {
            if let Some(bucket) = slot.lock().bucket.as_mut() {
                bucket.doubt_ownership();
            }
        }
    }

    fn is_down(&self) -> bool {
        Time::now() < *self.down_until.lock()
    }

    fn record_outage(&self) {
        *self.down_until.lock() = Time::now() + OUTAGE_BACKOFF;
    }
}

/// Claims the id of a request, runs it and answers.
pub async fn submit(node: Arc<Node>, work: Work, responder: Responder) {
    let id = ClaimId::new(&work.team, &work.service, &work.idempotency_key);
    let request = work.request.clone();
    let bucket = bucket_of(&id);
    node.once.tick();
    let step = {
        let mut slot = node.once.slots[bucket as usize].lock();
        slot.claim(&node, id, work, &responder)
    };
    match step {
        Step::Wait => node.once.write_due.notify_one(),
        Step::Replay(kept) => {
            node.timeline.record(Event::ClaimRepeated, request, format!("bucket={bucket}"));
            kept.send(&responder).await;
        }
        Step::Fetch(peer) => fetch_response(&node, &peer, &id, &responder).await,
        Step::Refuse(refusal) => responder.end(End::from(&refusal)).await,
    }
}

/// Passes on the answer that an earlier owner of the bucket kept.
async fn fetch_response(node: &Arc<Node>, peer: &InstanceId, id: &ClaimId, responder: &Responder) {
    let lost = End::from(&Refusal::unknown(Code::OutcomeUnknown));
    let ask =
        PeerRequestBody::StoredResponse(StoredResponseRequest { claim: id.as_bytes().to_vec() });
    let Ok(mut exchange) = node.open_exchange(peer, ask).await else {
        return responder.end(lost).await;
    };
    while let Some(body) = exchange.next().await {
        let over = matches!(body, Body::End(_));
        if responder.send(body).await.is_err() || over {
            return;
        }
    }
    responder.end(lost).await;
}

/// Answers a later owner of a bucket with what this node kept, or joins what still runs here.
pub async fn handle_stored_request(
    node: Arc<Node>,
    ask: StoredResponseRequest,
    responder: Responder,
) {
    let lost = Refusal::unknown(Code::OutcomeUnknown);
    let Some(id) = ClaimId::from_bytes(&ask.claim) else {
        return responder.end(End::from(&lost)).await;
    };
    let step = {
        let mut slot = node.once.slots[bucket_of(&id) as usize].lock();
        match slot.responses.get(&id) {
            Some(kept) => Step::Replay(kept),
            None => slot.join(&id, &responder),
        }
    };
    match step {
        Step::Replay(kept) => kept.send(&responder).await,
        Step::Refuse(_) => responder.end(End::from(&lost)).await,
        Step::Wait | Step::Fetch(_) => {}
    }
}

impl Slot {
    fn claim(&mut self, node: &Node, id: ClaimId, work: Work, responder: &Responder) -> Step {
        let Some(bucket) = self.bucket.as_mut().filter(|bucket| !bucket.is_closing()) else {
            return Step::Refuse(Refusal::not_run(Code::NotOwner));
        };
        if self.responses.get(&id).is_none() {
            bucket.forget_response(&id);
        }
        match bucket.claim(id, fingerprint(&work), node.dedupes(&work)) {
            ClaimDecision::Queued if node.once.is_down() => {
                let run = bucket.may_have_run(&id);
                bucket.withdraw(&id);
                Step::Refuse(refusal(Code::PlatformDown, run))
            }
            ClaimDecision::Queued => {
                self.pending.insert(id, Pending { work, waiters: vec![responder.clone()] });
                Step::Wait
            }
            ClaimDecision::Join => self.join(&id, responder),
            ClaimDecision::Replay => match self.responses.get(&id) {
                Some(kept) => Step::Replay(kept),
                None => Step::Refuse(Refusal::unknown(Code::OutcomeUnknown)),
            },
            ClaimDecision::Unknown => self.find_earlier_response(node, &id),
            ClaimDecision::Reused => Step::Refuse(Refusal::not_run(Code::IdReused)),
        }
    }

    /// Looks for the answer of a claim that an earlier owner, perhaps this one, committed.
    fn find_earlier_response(&self, node: &Node, id: &ClaimId) -> Step {
        if let Some(kept) = self.responses.get(id) {
            return Step::Replay(kept);
        }
        let hash = self.bucket.as_ref().and_then(|bucket| bucket.committed_by(id));
        let list = node.list.load();
        let earlier = |peer: &InstanceId| Some(owner_hash(peer.as_str())) == hash;
        let earlier = list.instances.iter().map(|i| &i.id).find(|id| earlier(id));
        match earlier {
            Some(peer) if *peer != node.settings.instance => Step::Fetch(peer.clone()),
            _ => Step::Refuse(Refusal::unknown(Code::OutcomeUnknown)),
        }
    }

    fn join(&mut self, id: &ClaimId, responder: &Responder) -> Step {
        match self.pending.get_mut(id) {
            Some(pending) => {
                pending.waiters.push(responder.clone());
                Step::Wait
            }
            None => Step::Refuse(Refusal::unknown(Code::InProgress)),
        }
    }
}

/// Returns the refusal of a request that this attempt did not send.
fn refusal(code: Code, may_have_run: bool) -> Refusal {
    let refusal = if may_have_run { Refusal::unknown(code) } else { Refusal::not_run(code) };
    refusal.retry_after(RETRY_AFTER_MS)
}

const RETRY_AFTER_MS: u64 = 1_000;

/// Returns the hash by which a reused id is told from a repeat.
fn fingerprint(work: &Work) -> u64 {
    let line = format!("{} {}\n", work.method, work.path);
    xxh3_64(line.as_bytes()) ^ xxh3_64(&work.body).rotate_left(1)
}

/// Sends one answer to everybody who waits for it.
async fn respond_to_all(waiters: Vec<Responder>, result: Result<Arc<StoredResponse>, Refusal>) {
    for responder in waiters {
        match &result {
            Ok(kept) => kept.send(&responder).await,
            Err(refusal) => responder.end(End::from(refusal)).await,
        }
    }
}

impl StoredResponse {
    async fn send(&self, responder: &Responder) {
        for body in [Body::Head(self.head.clone()), Body::Chunk(self.chunk.clone())] {
            if responder.send(body).await.is_err() {
                return;
            }
        }
        responder.end(End::completed(0)).await;
    }
}

impl Node {
    /// Returns whether the service of a request recognizes a repeated idempotency key itself.
    fn dedupes(&self, work: &Work) -> bool {
        let config = self.config();
        let service = config.as_ref().and_then(|c| c.services.get(work.service.as_str()));
        service.is_some_and(|service| service.dedupes)
    }

    /// Returns the instance to ask about a bucket: its owner, or the one that should take it.
    pub fn bucket_owner(&self, bucket: u32) -> Option<InstanceId> {
        if self.once.owned_mask() & (1 << bucket) != 0 {
            return Some(self.settings.instance.clone());
        }
        self.members.bucket_owner(bucket).or_else(|| self.preferred_owner(bucket))
    }

    /// Returns the first instance in rendezvous order that is heard, or expected, and stays.
    fn preferred_owner(&self, bucket: u32) -> Option<InstanceId> {
        let subject = format!("once-{bucket}");
        let list = self.list.load();
        let stays = |id: &InstanceId| {
            if *id == self.settings.instance {
                return !self.drain.is_draining();
            }
            match self.members.peer(id).map(|seen| seen.heartbeat) {
                Some(beat) => !beat.leaving && !beat.cut_off,
                None => Time::now().since(self.once.started) < START_GRACE,
            }
        };
        let live = list.instances.iter().filter(|i| i.state == ListedState::Live && stays(&i.id));
        live.map(|i| &i.id).max_by_key(|id| stewardship::weight(&subject, id)).cloned()
    }
}
