//! The attempts of one model request: the choice of a replica for each, and the retry after a loss.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use tokio::time::{sleep, timeout};

use super::collect_chunks;
use crate::{
    clock::Time,
    codes::{Code, Refusal, RunStatus},
    events::Event,
    kernel::{
        registry,
        retry::{Attempts, Loss, Retry},
        routing::{Replica, RoutingInput, TwoChoices},
        stream::first_byte_timeout,
        suspect::{self, RunMode},
    },
    names::{EndpointId, Model},
    node::{Node, admit::Admitted, exchange::Exchange},
    wire::{Body, End, Head, PeerRequestBody, Work},
};

/// Time between two searches for a replica.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for a replica at an endpoint at which no attempt was made yet.
const MAX_UNTRIED_WAIT: Duration = Duration::from_millis(500);

/// Time that the hop to the steward adds to the timeouts for the endpoint's response.
const HOP_MARGIN: Duration = Duration::from_secs(2);

/// An admitted model request with the state of its attempts.
pub struct Job {
    /// State of this instance, which is the request's entry instance.
    pub node: Arc<Node>,
    admitted: Admitted,
    work: Work,
    attempts: Attempts,
    /// Endpoints at which attempts were made.
    tried: Vec<EndpointId>,
    /// Whether an attempt may have run.
    may_have_run: bool,
}

/// A failed attempt.
struct Failure {
    /// Refusal for the caller if there is no further attempt.
    refusal: Refusal,
    /// How the attempt was lost, on which the retry depends.
    loss: Loss,
}

impl Job {
    /// Creates the job of an admitted request.
    pub fn new(node: Arc<Node>, admitted: Admitted, work: Work) -> Self {
        let attempts = Attempts::new(admitted.deadline());
        Self { node, admitted, work, attempts, tried: Vec::new(), may_have_run: false }
    }

    /// Returns whether the caller requested a stream of events.
    pub fn is_stream(&self) -> bool {
        self.work.stream
    }

    /// Sets the number of events that the caller has, after which the next attempt resumes.
    pub fn resume_at(&mut self, offset: u64) {
        self.work.offset = offset;
        let detail = format!("offset={offset}");
        self.node.timeline.record(Event::StreamResumed, &*self.work.request, detail);
    }

    /// Ends the charge and records that the response was completed.
    pub fn complete(self) {
        // A complete response clears the suspect at this instance, too, which would otherwise name
        // the request a suspect to the next steward.
        self.node.suspects.lock().clear(self.work.fingerprint);
        self.admitted.charge.refund_unused(self.work.tokens);
        self.node.timeline.record(Event::RequestCompleted, self.work.request, "");
    }

    /// Makes attempts until one delivers the complete response.
    pub async fn fetch_response(&mut self) -> Result<(Head, Bytes), Refusal> {
        loop {
            let (head, exchange) = self.open_response().await?;
            match collect_chunks(exchange).await {
                Ok(body) => return Ok((head, body)),
                Err(end) => self.handle_loss(end, false).await?,
            }
        }
    }

    /// Makes attempts until one delivers the head of the response.
    pub async fn open_response(&mut self) -> Result<(Head, Exchange), Refusal> {
        loop {
            match self.attempt().await? {
                Ok(opened) => return Ok(opened),
                Err(failure) => self.wait_for_retry(failure).await?,
            }
        }
    }

    /// Waits before the next attempt after one was lost within the response.
    ///
    /// `progress` says whether the lost attempt delivered any part to the caller. Fails if the request is given up.
    pub async fn handle_loss(&mut self, end: Option<End>, progress: bool) -> Result<(), Refusal> {
        let failure = self.failure_of(end, progress);
        self.wait_for_retry(failure).await
    }

    /// Returns the refusal with its run status changed to unknown if any attempt may have run.
    fn with_run_status(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run { Refusal { run: RunStatus::Unknown, ..refusal } } else { refusal }
    }

    /// Waits before the next attempt, or fails if the request is given up.
    async fn wait_for_retry(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.may_have_run |= failure.refusal.run == RunStatus::Unknown;
        if failure.loss == Loss::LinkLost {
            // Only the steward or the link to it failed, so the endpoint may be chosen once more.
            self.tried.pop();
        }
        let draw = rand::random();
        let retry = {
            let mut budget = self.node.retries.lock();
            self.attempts.next_retry(failure.loss, &mut budget, Time::now(), draw)
        };
        match retry {
            Retry::After(wait) => sleep(wait).await,
            Retry::Stop => return Err(self.with_run_status(failure.refusal)),
        }
        Ok(())
    }

    /// Makes one attempt; the inner error may be retried, the outer one ends the request.
    async fn attempt(&mut self) -> Result<Result<(Head, Exchange), Failure>, Refusal> {
        self.check_suspect()?;
        let replica = self.find_replica().await?;
        self.tried.push(replica.endpoint.clone());
        let work = self.work_for(&replica);
        let limit = first_byte_timeout(work.stream, work.tokens, self.admitted.target.first_byte)
            + HOP_MARGIN;
        // The steward may let the request wait until the deadline before it starts.
        let limit = limit + Duration::from_millis(work.remaining_ms);
        let mut exchange =
            match self.node.open_exchange(&replica.steward, PeerRequestBody::Work(work)).await {
                Ok(exchange) => exchange,
                Err(refusal) => return Ok(Err(Failure { refusal, loss: Loss::Moved })),
            };
        match timeout(limit, exchange.next()).await {
            Ok(Some(Body::Head(head))) => Ok(Ok((head, exchange))),
            Ok(Some(Body::End(end))) => Ok(Err(self.failure_of(Some(end), false))),
            Ok(_) | Err(_) => Ok(Err(self.failure_of(None, false))),
        }
    }

    /// Refuses a request that is suspected of too many crashes.
    fn check_suspect(&self) -> Result<(), Refusal> {
        if self.run_mode() != RunMode::Refuse {
            return Ok(());
        }
        self.node.timeline.record(Event::SuspectRefused, &*self.work.request, "");
        Err(self.with_run_status(Refusal::not_run(Code::CrashSuspect)))
    }

    /// Returns how the request may run, by the crashes that it is suspected of.
    fn run_mode(&self) -> RunMode {
        self.node.suspects.lock().run_mode(self.work.fingerprint, Time::now())
    }

    /// Returns the failure for an attempt's end, or for a lost steward if there is none.
    fn failure_of(&self, end: Option<End>, progress: bool) -> Failure {
        let Some(end) = end else {
            return Failure {
                refusal: Refusal::unknown(Code::PeerUnreachable),
                loss: Loss::LinkLost,
            };
        };
        let known = self.node.known_crashes(self.work.fingerprint).len();
        self.node.record_crashes(self.work.fingerprint, &end.crashes);
        let crashed = end.crashes.len() > known;
        let refusal = end.refusal().unwrap_or(Refusal::unknown(Code::Internal));
        let loss = match refusal.run {
            RunStatus::NotRun if is_moved(refusal.code) => Loss::Moved,
            RunStatus::NotRun => Loss::NotRun,
            RunStatus::Unknown if crashed => Loss::Crash,
            RunStatus::Unknown => Loss::Cut { progress },
        };
        Failure { refusal, loss }
    }

    /// Returns the request as it is sent to a replica's steward.
    fn work_for(&self, replica: &Replica) -> Work {
        let now = Time::now();
        Work {
            endpoint: replica.endpoint.to_string(),
            remaining_ms: self.admitted.deadline().since(now).as_millis() as u64,
            waited_ms: now.since(self.admitted.caller.arrived).as_millis() as u64,
            crashes: self.node.known_crashes(self.work.fingerprint),
            ..self.work.clone()
        }
    }

    /// Returns a replica, waiting for one until the deadline.
    ///
    /// A replica at an endpoint of an earlier attempt is returned only if no other one was found within
    /// [`MAX_UNTRIED_WAIT`].
    async fn find_replica(&self) -> Result<Arc<Replica>, Refusal> {
        let model = Model::from(self.work.model.as_str());
        let started = Time::now();
        let mut waiting = None;
        loop {
            let untried_only = Time::now().since(started) < MAX_UNTRIED_WAIT;
            if let Some(replica) = self.choose_replica(untried_only) {
                return Ok(replica);
            }
            if Time::now() + POLL_INTERVAL >= self.admitted.deadline() {
                return Err(self.with_run_status(Refusal::not_run(Code::NoEndpoint)));
            }
            waiting.get_or_insert_with(|| self.node.demand.begin_wait(&model));
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Chooses among the usable replicas; those at untried endpoints come first.
    fn choose_replica(&self, untried_only: bool) -> Option<Arc<Replica>> {
        let config = self.node.config()?;
        let model = Model::from(self.work.model.as_str());
        let usable = |replica: &&Arc<Replica>| {
            config.is_in_service(&replica.data_centre) && self.node.can_reach(&replica.steward)
        };
        let replicas = self.node.directory.read().replicas(&model).to_vec();
        let mut replicas: Vec<&Arc<Replica>> = replicas.iter().filter(usable).collect();
        let has_untried = replicas.iter().any(|replica| !self.tried.contains(&replica.endpoint));
        if has_untried || untried_only {
            replicas.retain(|replica| !self.tried.contains(&replica.endpoint));
        }
        if replicas.is_empty() {
            return None;
        }
        let chosen = self.pick_index(&mut replicas);
        Some(replicas[chosen].clone())
    }

    /// Returns the position of the chosen replica: by the routing policy, or by hash for a suspect.
    fn pick_index(&self, replicas: &mut [&Arc<Replica>]) -> usize {
        if self.run_mode() == RunMode::Alone {
            replicas.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
            return suspect::replica_index(self.work.fingerprint, replicas.len());
        }
        let adapter = &self.work.adapter;
        let input = RoutingInput {
            prefix: self.work.prefix_hash,
            adapter: (!adapter.is_empty()).then(|| adapter.as_str().into()),
            draw: rand::random(),
            turn: self.node.request_count.load(Ordering::Relaxed),
        };
        let name = &self.admitted.caller.config.policy.routing;
        let policy = registry::routing(name).unwrap_or(&TwoChoices);
        let refs: Vec<&Replica> = replicas.iter().map(|replica| replica.as_ref()).collect();
        policy.choose(&refs, &input)
    }
}

/// Returns whether a refusal says that another steward or endpoint has to serve the request.
fn is_moved(code: Code) -> bool {
    matches!(code, Code::NotSteward | Code::Draining | Code::NoEndpoint | Code::PeerUnreachable)
}
