//! The attempts of one model request: choice of a copy, and what to do when an attempt is lost.

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

/// Time between two looks for a copy.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time to wait for a copy that did not fail the request before.
const MAX_UNTRIED_WAIT: Duration = Duration::from_millis(500);

/// Time that the hop to the steward adds to the bounds of the endpoint's answer.
const HOP_MARGIN: Duration = Duration::from_secs(2);

/// A model request over all its attempts.
pub struct Job {
    /// The node that serves it as an entry instance.
    pub node: Arc<Node>,
    admitted: Admitted,
    work: Work,
    attempts: Attempts,
    tried: Vec<EndpointId>,
    /// Whether an attempt may have run.
    may_have_run: bool,
}

/// How an attempt failed.
struct Failure {
    refusal: Refusal,
    loss: Loss,
}

impl Job {
    /// Creates the job of an admitted request.
    pub fn new(node: Arc<Node>, admitted: Admitted, work: Work) -> Self {
        let tries = Attempts::new(admitted.deadline());
        Self { node, admitted, work, attempts: tries, tried: Vec::new(), may_have_run: false }
    }

    /// Returns whether the caller asked for a stream of events.
    pub fn is_stream(&self) -> bool {
        self.work.stream
    }

    /// Sets the number of events that the caller has.
    pub fn resume_at(&mut self, offset: u64) {
        self.work.offset = offset;
        let detail = format!("offset={offset}");
        self.node.timeline.record(Event::StreamResumed, &*self.work.request, detail);
    }

    /// Settles the charge and records that the caller was answered.
    pub fn complete(self) {
        // A whole answer clears the request here too, or this instance would name it a suspect to
        // the next steward.
        self.node.suspects.lock().clear(self.work.fingerprint);
        self.admitted.charge.settle(self.work.tokens);
        self.node.timeline.record(Event::RequestCompleted, self.work.request, "");
    }

    /// Runs the request until an attempt delivers a whole answer.
    pub async fn fetch_response(&mut self) -> Result<(Head, Bytes), Refusal> {
        loop {
            let (head, exchange) = self.open_response().await?;
            match collect_chunks(exchange).await {
                Ok(body) => return Ok((head, body)),
                Err(end) => self.handle_loss(end, false).await?,
            }
        }
    }

    /// Makes attempts until one begins to answer.
    pub async fn open_response(&mut self) -> Result<(Head, Exchange), Refusal> {
        loop {
            match self.attempt().await? {
                Ok(opened) => return Ok(opened),
                Err(failure) => self.wait_for_retry(failure).await?,
            }
        }
    }

    /// Decides after an attempt that had begun to answer, and waits before the next one.
    pub async fn handle_loss(&mut self, end: Option<End>, progress: bool) -> Result<(), Refusal> {
        let failure = self.failure(end, progress);
        self.wait_for_retry(failure).await
    }

    /// Returns a refusal that says "not run" only if no attempt may have run.
    fn with_run_status(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run { Refusal { run: RunStatus::Unknown, ..refusal } } else { refusal }
    }

    async fn wait_for_retry(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.may_have_run |= failure.refusal.run == RunStatus::Unknown;
        if failure.loss == Loss::LinkLost {
            // The endpoint did not fail; its steward or the link did.
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

    /// Makes one attempt; the outer error ends the request.
    async fn attempt(&mut self) -> Result<Result<(Head, Exchange), Failure>, Refusal> {
        self.check_suspect()?;
        let copy = self.find_replica().await?;
        self.tried.push(copy.endpoint.clone());
        let work = self.work_for(&copy);
        let bound = first_byte_timeout(work.stream, work.tokens, self.admitted.target.first_byte)
            + HOP_MARGIN;
        // The steward may let the request wait until the deadline before it starts.
        let bound = bound + Duration::from_millis(work.remaining_ms);
        let mut exchange =
            match self.node.open_exchange(&copy.steward, PeerRequestBody::Work(work)).await {
                Ok(exchange) => exchange,
                Err(refusal) => return Ok(Err(Failure { refusal, loss: Loss::Moved })),
            };
        match timeout(bound, exchange.next()).await {
            Ok(Some(Body::Head(head))) => Ok(Ok((head, exchange))),
            Ok(Some(Body::End(end))) => Ok(Err(self.failure(Some(end), false))),
            Ok(_) | Err(_) => Ok(Err(self.failure(None, false))),
        }
    }

    /// Refuses a request that crashed as many endpoints as one request may.
    fn check_suspect(&self) -> Result<(), Refusal> {
        if self.run_mode() != RunMode::Refuse {
            return Ok(());
        }
        self.node.timeline.record(Event::SuspectRefused, &*self.work.request, "");
        Err(self.with_run_status(Refusal::not_run(Code::CrashSuspect)))
    }

    fn run_mode(&self) -> RunMode {
        self.node.suspects.lock().run_mode(self.work.fingerprint, Time::now())
    }

    fn failure(&self, end: Option<End>, progress: bool) -> Failure {
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

    fn work_for(&self, copy: &Replica) -> Work {
        let now = Time::now();
        Work {
            endpoint: copy.endpoint.to_string(),
            remaining_ms: self.admitted.deadline().since(now).as_millis() as u64,
            waited_ms: now.since(self.admitted.caller.arrived).as_millis() as u64,
            crashes: self.node.known_crashes(self.work.fingerprint),
            ..self.work.clone()
        }
    }

    /// Chooses a copy, and waits for one while the deadline allows it.
    ///
    /// A copy that failed before is taken only when no other one appears for some time.
    async fn find_replica(&self) -> Result<Arc<Replica>, Refusal> {
        let model = Model::from(self.work.model.as_str());
        let started = Time::now();
        let mut waiting = None;
        loop {
            let patient = Time::now().since(started) < MAX_UNTRIED_WAIT;
            if let Some(copy) = self.choose_replica(patient) {
                return Ok(copy);
            }
            if Time::now() + POLL_INTERVAL >= self.admitted.deadline() {
                return Err(self.with_run_status(Refusal::not_run(Code::NoEndpoint)));
            }
            waiting.get_or_insert_with(|| self.node.demand.begin_wait(&model));
            sleep(POLL_INTERVAL).await;
        }
    }

    fn choose_replica(&self, untried_only: bool) -> Option<Arc<Replica>> {
        let config = self.node.config()?;
        let model = Model::from(self.work.model.as_str());
        let usable = |copy: &&Arc<Replica>| {
            config.is_in_service(&copy.data_centre) && self.node.can_reach(&copy.steward)
        };
        let copies = self.node.directory.read().replicas(&model).to_vec();
        let mut copies: Vec<&Arc<Replica>> = copies.iter().filter(usable).collect();
        let untried = copies.iter().any(|copy| !self.tried.contains(&copy.endpoint));
        if untried || untried_only {
            copies.retain(|copy| !self.tried.contains(&copy.endpoint));
        }
        if copies.is_empty() {
            return None;
        }
        let chosen = self.pick_index(&mut copies);
        Some(copies[chosen].clone())
    }

    fn pick_index(&self, copies: &mut [&Arc<Replica>]) -> usize {
        if self.run_mode() == RunMode::Alone {
            copies.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
            return suspect::replica_index(self.work.fingerprint, copies.len());
        }
        let adapter = &self.work.adapter;
        let wish = RoutingInput {
            prefix: self.work.prefix_hash,
            adapter: (!adapter.is_empty()).then(|| adapter.as_str().into()),
            draw: rand::random(),
            turn: self.node.request_count.load(Ordering::Relaxed),
        };
        let name = &self.admitted.caller.config.policy.routing;
        let policy = registry::routing(name).unwrap_or(&TwoChoices);
        let refs: Vec<&Replica> = copies.iter().map(|copy| copy.as_ref()).collect();
        policy.choose(&refs, &wish)
    }
}

/// Returns whether a refusal says that the request has to go elsewhere.
fn is_moved(code: Code) -> bool {
    matches!(code, Code::NotSteward | Code::Draining | Code::NoEndpoint | Code::PeerUnreachable)
}
