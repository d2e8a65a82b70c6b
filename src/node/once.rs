//! Claims of non-repeatable requests, for the buckets of ids that this instance owns.
//!
//! An entry instance sends a non-repeatable request to the owner of its bucket. The owner commits
//! the claim and then sends the request to the endpoint's steward itself, so that the claim and its
//! dispatch happen in one process.

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

/// Time after a failure of the platform's service for which new claims are refused immediately.
const OUTAGE_BACKOFF: Duration = Duration::from_millis(300);

/// Time after the start for which listed instances count as alive although they sent no heartbeat yet.
const START_GRACE: Duration = Duration::from_secs(3);

/// Longest pause of the process within which no other instance can have taken its buckets.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// The buckets of ids, with the state of those that this instance owns or tries to take.
pub struct ClaimBuckets {
    /// One slot for each bucket, by its number.
    slots: Vec<Mutex<Slot>>,
    /// Notified when claims wait to be committed.
    write_wanted: Notify,
    /// Until when new claims are refused after a failure of the platform's service.
    down_until: Mutex<Time>,
    /// When [`ClaimBuckets::tick`] was last called, by which a pause of the process is detected.
    last_tick: Mutex<Time>,
    /// When this process started.
    started: Time,
}

/// One bucket with its pending requests and its stored responses.
#[derive(Default)]
struct Slot {
    /// The bucket, or `None` while this instance neither owns it nor tries to take it.
    bucket: Option<Bucket>,
    pending: HashMap<ClaimId, Pending>,
    responses: ResponseStore,
    /// Earliest time of the next attempt to take the bucket.
    next_attempt: Time,
}

/// A request that runs under its claim or waits for its claim to be committed.
struct Pending {
    work: Work,
    /// Responders of all exchanges that wait for the response.
    waiters: Vec<Responder>,
}

/// What to do with a request after its id was claimed.
enum Step {
    /// The exchange waits until the request has ended.
    Wait,
    /// The request gets a stored response.
    Replay(Arc<StoredResponse>),
    /// The response is fetched from an instance that may have stored it.
    Fetch(InstanceId),
    /// The request is refused.
    Refuse(Refusal),
}

impl Default for ClaimBuckets {
    fn default() -> Self {
        Self {
            slots: (0..BUCKET_COUNT).map(|_| Mutex::default()).collect(),
            write_wanted: Notify::new(),
            down_until: Mutex::default(),
            last_tick: Mutex::new(Time::now()),
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

    /// Records that the process runs; after a long pause another instance may own any of the buckets.
    fn tick(&self) {
        let now = Time::now();
        let last = std::mem::replace(&mut *self.last_tick.lock(), now);
        if now.since(last) <= MAX_PAUSE {
            return;
        }
        for slot in &self.slots {
            if let Some(bucket) = slot.lock().bucket.as_mut() {
                bucket.doubt_ownership();
            }
        }
    }

    /// Returns whether the platform's service failed recently.
    fn is_down(&self) -> bool {
        Time::now() < *self.down_until.lock()
    }

    /// Records a failure of the platform's service.
    fn record_outage(&self) {
        *self.down_until.lock() = Time::now() + OUTAGE_BACKOFF;
    }
}

/// Claims the id of a request, runs the request if its id is new, and sends the response.
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
        Step::Wait => node.once.write_wanted.notify_one(),
        Step::Replay(stored) => {
            node.timeline.record(Event::ClaimRepeated, request, format!("bucket={bucket}"));
            stored.send(&responder).await;
        }
        Step::Fetch(peer) => fetch_response(&node, &peer, &id, &responder).await,
        Step::Refuse(refusal) => responder.end(End::from(&refusal)).await,
    }
}

/// Forwards the response that an earlier owner of the bucket stored.
async fn fetch_response(node: &Arc<Node>, peer: &InstanceId, id: &ClaimId, responder: &Responder) {
    let unknown = End::from(&Refusal::unknown(Code::OutcomeUnknown));
    let request =
        PeerRequestBody::StoredResponse(StoredResponseRequest { claim: id.as_bytes().to_vec() });
    let Ok(mut exchange) = node.open_exchange(peer, request).await else {
        return responder.end(unknown).await;
    };
    while let Some(body) = exchange.next().await {
        let ended = matches!(body, Body::End(_));
        if responder.send(body).await.is_err() || ended {
            return;
        }
    }
    responder.end(unknown).await;
}

/// Sends a later owner of a bucket the stored response of a claim.
///
/// If the request still runs at this instance, the response is sent when it has ended.
pub async fn handle_stored_request(
    node: Arc<Node>,
    request: StoredResponseRequest,
    responder: Responder,
) {
    let unknown = Refusal::unknown(Code::OutcomeUnknown);
    let Some(id) = ClaimId::from_bytes(&request.claim) else {
        return responder.end(End::from(&unknown)).await;
    };
    let step = {
        let mut slot = node.once.slots[bucket_of(&id) as usize].lock();
        match slot.responses.get(&id) {
            Some(stored) => Step::Replay(stored),
            None => slot.join(&id, &responder),
        }
    };
    match step {
        Step::Replay(stored) => stored.send(&responder).await,
        Step::Refuse(_) => responder.end(End::from(&unknown)).await,
        Step::Wait | Step::Fetch(_) => {}
    }
}

impl Slot {
    /// Claims the id of a request and returns how the request is handled.
    fn claim(&mut self, node: &Node, id: ClaimId, work: Work, responder: &Responder) -> Step {
        let Some(bucket) = self.bucket.as_mut().filter(|bucket| !bucket.is_closing()) else {
            return Step::Refuse(Refusal::not_run(Code::NotOwner));
        };
        if self.responses.get(&id).is_none() {
            bucket.forget_response(&id);
        }
        match bucket.claim(id, fingerprint(&work), node.service_dedupes(&work)) {
            ClaimDecision::Queued if node.once.is_down() => {
                let may_have_run = bucket.may_have_run(&id);
                bucket.withdraw(&id);
                Step::Refuse(refusal(Code::PlatformDown, may_have_run))
            }
            ClaimDecision::Queued => {
                self.pending.insert(id, Pending { work, waiters: vec![responder.clone()] });
                Step::Wait
            }
            ClaimDecision::Join => self.join(&id, responder),
            ClaimDecision::Replay => match self.responses.get(&id) {
                Some(stored) => Step::Replay(stored),
                None => Step::Refuse(Refusal::unknown(Code::OutcomeUnknown)),
            },
            ClaimDecision::Unknown => self.find_earlier_response(node, &id),
            ClaimDecision::Reused => Step::Refuse(Refusal::not_run(Code::IdReused)),
        }
    }

    /// Finds the response of a claim that was committed under an earlier owner, which may be this
    /// instance.
    fn find_earlier_response(&self, node: &Node, id: &ClaimId) -> Step {
        if let Some(stored) = self.responses.get(id) {
            return Step::Replay(stored);
        }
        let hash = self.bucket.as_ref().and_then(|bucket| bucket.committed_by(id));
        let list = node.list.load();
        let is_earlier_owner = |peer: &InstanceId| Some(owner_hash(peer.as_str())) == hash;
        let earlier = list.instances.iter().map(|i| &i.id).find(|id| is_earlier_owner(id));
        match earlier {
            Some(peer) if *peer != node.settings.instance => Step::Fetch(peer.clone()),
            _ => Step::Refuse(Refusal::unknown(Code::OutcomeUnknown)),
        }
    }

    /// Adds a responder to those that wait for a request's response.
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

/// Returns the refusal of a request that this attempt did not send to an endpoint.
///
/// `may_have_run` says whether an earlier attempt may have sent it; the outcome is then unknown.
fn refusal(code: Code, may_have_run: bool) -> Refusal {
    let refusal = if may_have_run { Refusal::unknown(code) } else { Refusal::not_run(code) };
    refusal.retry_after(RETRY_AFTER_MS)
}

/// Time after which a refused request may be retried, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Returns the hash that tells a retry of the same request from another request with the same id.
fn fingerprint(work: &Work) -> u64 {
    let line = format!("{} {}\n", work.method, work.path);
    xxh3_64(line.as_bytes()) ^ xxh3_64(&work.body).rotate_left(1)
}

/// Sends a response or a refusal to all responders that wait for it.
async fn respond_to_all(waiters: Vec<Responder>, result: Result<Arc<StoredResponse>, Refusal>) {
    for responder in waiters {
        match &result {
            Ok(stored) => stored.send(&responder).await,
            Err(refusal) => responder.end(End::from(refusal)).await,
        }
    }
}

impl StoredResponse {
    /// Sends the whole response and ends the exchange.
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
    /// Returns whether the request's service itself recognizes a repeated idempotency key.
    fn service_dedupes(&self, work: &Work) -> bool {
        let config = self.config();
        let service = config.as_ref().and_then(|c| c.services.get(work.service.as_str()));
        service.is_some_and(|service| service.dedupes)
    }

    /// Returns the instance responsible for a bucket: its owner, or the one that should take it.
    pub fn bucket_owner(&self, bucket: u32) -> Option<InstanceId> {
        if self.once.owned_mask() & (1 << bucket) != 0 {
            return Some(self.settings.instance.clone());
        }
        self.members.bucket_owner(bucket).or_else(|| self.preferred_owner(bucket))
    }

    /// Returns the preferred owner of a bucket in rendezvous order.
    ///
    /// Candidates are this instance unless it is shutting down, and the live peers whose heartbeats say
    /// that they are neither shutting down nor cut off. Within [`START_GRACE`] a peer that sent no
    /// heartbeat yet is a candidate, too.
    fn preferred_owner(&self, bucket: u32) -> Option<InstanceId> {
        let subject = format!("once-{bucket}");
        let list = self.list.load();
        let is_candidate = |id: &InstanceId| {
            if *id == self.settings.instance {
                return !self.drain.is_draining();
            }
            match self.members.peer(id).map(|peer| peer.heartbeat) {
                Some(heartbeat) => !heartbeat.leaving && !heartbeat.cut_off,
                None => Time::now().since(self.once.started) < START_GRACE,
            }
        };
        let live =
            list.instances.iter().filter(|i| i.state == ListedState::Live && is_candidate(&i.id));
        live.map(|i| &i.id).max_by_key(|id| stewardship::weight(&subject, id)).cloned()
    }
}
