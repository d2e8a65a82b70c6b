//! Tests the claims of non-repeatable requests: under every fault, a request runs at most once, and
//! its caller never gets a wrong outcome.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::once::{
        Bucket, ClaimDecision, ClaimId, DispatchOutcome, GroupDecision, HeadRecord, NextWrite,
        SegmentRecord, Write, WriteOutcome,
    },
};

use crate::matrix::{Protocol, run_all};

/// Hash of the request.
const FINGERPRINT: u64 = 77;

/// Returns the id of a claim for an idempotency key.
fn id(name: &str) -> ClaimId {
    ClaimId::new("kites", "ledger", name)
}

/// The platform's service with the records of one bucket.
#[derive(Clone, Debug, Default)]
struct Store {
    /// Head and its revision, or `None` before the first write.
    head: Option<(HeadRecord, i64)>,
    /// Sealed segments by number.
    sealed: BTreeMap<u64, SegmentRecord>,
    /// Revision of the last write.
    revision: i64,
}

impl Store {
    /// Applies a write if the head has the revision that it expects.
    fn apply(&mut self, write: &Write) -> WriteOutcome {
        let revision = self.head.as_ref().map_or(0, |(_, revision)| *revision);
        if revision != write.expected {
            let nonce = self.head.as_ref().map_or(0, |(head, _)| head.nonce);
            return WriteOutcome::Conflict { nonce, revision };
        }
        self.revision += 1;
        self.head = Some((write.head.clone(), self.revision));
        self.sealed.extend(write.sealed.clone());
        for number in &write.pruned {
            self.sealed.remove(number);
        }
        WriteOutcome::Done(self.revision)
    }

    /// Returns the bucket as a new owner reads it.
    fn load(&self, owner: &str, now: Time) -> Bucket {
        Bucket::from_records(owner, 1, self.head.clone(), self.sealed.clone(), now)
    }
}

/// Returns the next write of a bucket, or `None` if there is none.
fn next_write(bucket: &mut Bucket, nonce: u64, now: Time) -> Option<Write> {
    match bucket.next_write(now, nonce) {
        NextWrite::Write(write) => Some(write),
        NextWrite::Idle => None,
    }
}

#[test]
fn claim_retry_gets_stored_response() {
    let mut store = Store::default();
    let mut bucket = store.load("a", Time(0));
    assert_eq!(bucket.claim(id("x"), FINGERPRINT, false), ClaimDecision::Queued);
    let write = next_write(&mut bucket, 1, Time(0)).unwrap();
    assert_eq!(bucket.claim(id("x"), FINGERPRINT, false), ClaimDecision::Join);
    let decision = bucket.handle_write_outcome(&write, store.apply(&write), Time(0));
    assert_eq!(decision, GroupDecision::Dispatch(vec![id("x")]));
    bucket.record_dispatch_outcome(&id("x"), DispatchOutcome::Completed);
    assert_eq!(bucket.claim(id("x"), FINGERPRINT, false), ClaimDecision::Replay);
    assert_eq!(bucket.claim(id("x"), FINGERPRINT + 1, false), ClaimDecision::Reused);
    bucket.forget_response(&id("x"));
    assert_eq!(bucket.claim(id("x"), FINGERPRINT, false), ClaimDecision::Unknown);
}

#[test]
fn claim_of_earlier_owner_is_unknown() {
    let mut store = Store::default();
    let mut first = store.load("a", Time(0));
    first.claim(id("x"), FINGERPRINT, false);
    let write = next_write(&mut first, 1, Time(0)).unwrap();
    first.handle_write_outcome(&write, store.apply(&write), Time(0));
    let mut second = store.load("b", Time(0));
    assert_eq!(second.claim(id("x"), FINGERPRINT, false), ClaimDecision::Unknown);
    assert_eq!(
        second.claim(id("x"), FINGERPRINT, true),
        ClaimDecision::Queued,
        "the service recognizes the id, so the request may run a second time"
    );
    let write = next_write(&mut second, 2, Time(0)).unwrap();
    second.handle_write_outcome(&write, store.apply(&write), Time(0));
    first.claim(id("y"), FINGERPRINT, false);
    let stale = next_write(&mut first, 3, Time(0)).unwrap();
    let decision = first.handle_write_outcome(&stale, store.apply(&stale), Time(0));
    assert_eq!(decision, GroupDecision::Dropped(vec![id("y")]));
}

#[test]
fn claim_released_after_certain_refusal() {
    let mut store = Store::default();
    let mut bucket = store.load("a", Time(0));
    bucket.claim(id("x"), FINGERPRINT, false);
    let write = next_write(&mut bucket, 1, Time(0)).unwrap();
    bucket.handle_write_outcome(&write, store.apply(&write), Time(0));
    bucket.record_dispatch_outcome(&id("x"), DispatchOutcome::NotSent);
    let release = next_write(&mut bucket, 2, Time(0)).expect("the release is written");
    assert_eq!(release.released, vec![id("x")]);
    bucket.handle_write_outcome(&release, store.apply(&release), Time(0));
    let mut next = store.load("b", Time(0));
    assert_eq!(next.claim(id("x"), FINGERPRINT, false), ClaimDecision::Queued);
}

#[test]
fn claim_rerun_not_sent_stays_unknown() {
    let mut store = Store::default();
    let mut first = store.load("a", Time(0));
    first.claim(id("x"), FINGERPRINT, true);
    let write = next_write(&mut first, 1, Time(0)).unwrap();
    first.handle_write_outcome(&write, store.apply(&write), Time(0));
    let mut second = store.load("b", Time(0));
    let taken = next_write(&mut second, 2, Time(0)).unwrap();
    second.handle_write_outcome(&taken, store.apply(&taken), Time(0));
    assert_eq!(second.claim(id("x"), FINGERPRINT, true), ClaimDecision::Queued);
    let write = next_write(&mut second, 3, Time(0)).unwrap();
    assert_eq!(
        second.handle_write_outcome(&write, WriteOutcome::NotSent, Time(0)),
        GroupDecision::Refuse(vec![id("x")])
    );
    assert!(second.may_have_run(&id("x")), "the request may have run at the first owner");
    assert_eq!(second.claim(id("x"), FINGERPRINT, false), ClaimDecision::Unknown);
}

#[test]
fn claim_lost_response_is_recognized() {
    let mut store = Store::default();
    let mut bucket = store.load("a", Time(0));
    bucket.claim(id("x"), FINGERPRINT, false);
    let write = next_write(&mut bucket, 1, Time(0)).unwrap();
    store.apply(&write);
    let decision = bucket.handle_write_outcome(&write, WriteOutcome::Unknown, Time(0));
    assert_eq!(decision, GroupDecision::Refuse(vec![id("x")]));
    assert_eq!(
        bucket.claim(id("x"), FINGERPRINT, false),
        ClaimDecision::Queued,
        "the request was never sent"
    );
    let second = next_write(&mut bucket, 2, Time(0)).unwrap();
    assert_eq!(
        bucket.handle_write_outcome(&second, store.apply(&second), Time(0)),
        GroupDecision::Retry
    );
    let third = next_write(&mut bucket, 3, Time(0)).unwrap();
    assert_eq!(third.head.claims.len(), 1, "the record contains the claim once");
    let decision = bucket.handle_write_outcome(&third, store.apply(&third), Time(0));
    assert_eq!(decision, GroupDecision::Dispatch(vec![id("x")]));
}

#[test]
fn segments_sealed_and_pruned() {
    let mut store = Store::default();
    let mut now = Time(0);
    let mut bucket = store.load("a", now);
    for number in 0..600 {
        bucket.claim(id(&format!("n{number}")), FINGERPRINT, false);
        let write = next_write(&mut bucket, number + 1, now).unwrap();
        assert!(write.head.claims.len() <= 257, "the head holds one open segment");
        bucket.handle_write_outcome(&write, store.apply(&write), now);
    }
    assert_eq!(store.sealed.len(), 2);
    let mut next = store.load("b", now);
    assert_eq!(next.claim(id("n0"), FINGERPRINT, false), ClaimDecision::Unknown);
    now = now + Duration::from_secs(25 * 3_600);
    next.claim(id("late"), FINGERPRINT, false);
    let write = next_write(&mut next, 900, now).unwrap();
    next.handle_write_outcome(&write, store.apply(&write), now);
    assert_eq!(store.sealed.len(), 0);
    assert_eq!(next.claim(id("n0"), FINGERPRINT, false), ClaimDecision::Queued);
}

/// The outcome of one attempt as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerOutcome {
    Completed,
    NotRun,
    Unknown,
}

/// An instance that may own the bucket.
#[derive(Debug, Default)]
struct Owner {
    /// The bucket while the instance considers itself its owner.
    bucket: Option<Bucket>,
    paused: bool,
    /// Claims whose requests are being dispatched.
    dispatching: Vec<ClaimId>,
}

/// A fault while a payment is claimed and dispatched.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The process of the first owner ends.
    OwnerKilled,
    OwnerPaused,
    OwnerResumed,
    /// The platform's service goes down, or returns if it is down.
    StoreDown,
    /// The responses to writes are lost from now on, or arrive again if they were lost.
    StoreResponseLost,
    /// Writes take effect late from now on, or at once again if they were late.
    WriteLate,
    /// The endpoint refuses requests from now on, or accepts them again if it refused them.
    EndpointRefuses,
    /// The responses of the endpoint are lost from now on.
    ResponseLost,
    /// The second instance takes the bucket.
    SecondOwner,
    /// The caller retries at the first instance.
    SecondAttempt,
}

/// One payment that a caller sends several times, to two instances.
struct Payment {
    now: Time,
    nonce: u64,
    store: Store,
    owners: [Owner; 2],
    /// Write that was sent, with the index of its owner.
    write: Option<(usize, Write)>,
    /// Writes that take effect when the test settles.
    delayed_writes: Vec<Write>,
    /// How often the payment ran.
    runs: u32,
    outcomes: Vec<CallerOutcome>,
    /// A wrong outcome that was reported to the caller.
    violation: Option<String>,
    store_down: bool,
    lose_store_responses: bool,
    delay_writes: bool,
    refuse_requests: bool,
    lose_responses: bool,
}

impl Payment {
    /// Sends the payment to an instance, which reads the bucket if it has none.
    fn attempt(&mut self, at: usize) {
        if self.owners[at].paused {
            return;
        }
        if self.owners[at].bucket.is_none() {
            if self.store_down {
                return self.record_outcome(CallerOutcome::Unknown);
            }
            let name = ["a", "b"][at];
            self.owners[at].bucket = Some(self.store.load(name, self.now));
        }
        let bucket = self.owners[at].bucket.as_mut().expect("the instance has the bucket");
        match bucket.claim(id("x"), FINGERPRINT, false) {
            ClaimDecision::Queued | ClaimDecision::Join => {}
            ClaimDecision::Replay => self.record_outcome(CallerOutcome::Completed),
            ClaimDecision::Unknown => self.record_outcome(CallerOutcome::Unknown),
            ClaimDecision::Reused => panic!("the retry counts as another request"),
        }
    }

    /// Records the outcome that was reported to the caller, and whether it was wrong.
    fn record_outcome(&mut self, outcome: CallerOutcome) {
        let is_dispatching = self.owners.iter().any(|owner| !owner.dispatching.is_empty());
        match outcome {
            CallerOutcome::NotRun if self.runs > 0 || is_dispatching => {
                self.violation = Some("told not run, but the payment ran or may run".to_owned())
            }
            CallerOutcome::Completed if self.runs != 1 => {
                self.violation = Some("told completed, but the payment did not run once".to_owned())
            }
            _ => {}
        }
        self.outcomes.push(outcome);
    }

    /// Lets an owner send its next write.
    fn begin_write(&mut self, at: usize) {
        let now = self.now;
        self.nonce += 1;
        let nonce = self.nonce;
        let owner = &mut self.owners[at];
        if owner.paused || self.write.is_some() {
            return;
        }
        let write = owner.bucket.as_mut().and_then(|bucket| next_write(bucket, nonce, now));
        self.write = write.map(|write| (at, write));
    }

    /// Delivers the write that was sent, and its outcome to the owner.
    fn end_write(&mut self) {
        let Some((at, write)) = self.write.take() else { return };
        let outcome = if self.store_down {
            WriteOutcome::NotSent
        } else if self.delay_writes {
            self.delayed_writes.push(write.clone());
            WriteOutcome::Unknown
        } else {
            let applied = self.store.apply(&write);
            if self.lose_store_responses { WriteOutcome::Unknown } else { applied }
        };
        let Some(bucket) = self.owners[at].bucket.as_mut() else { return };
        match bucket.handle_write_outcome(&write, outcome, self.now) {
            GroupDecision::Dispatch(ids) => self.owners[at].dispatching.extend(ids),
            GroupDecision::Retry => {}
            GroupDecision::Refuse(ids) => self.refuse_all(at, &ids),
            // The entry instance sends the request to the new owner, so the caller gets no outcome
            // yet.
            GroupDecision::Dropped(_) => {
                self.owners[at].bucket = None;
            }
        }
    }

    /// Reports the outcome of refused claims to the caller.
    fn refuse_all(&mut self, at: usize, ids: &[ClaimId]) {
        for id in ids {
            let bucket = self.owners[at].bucket.as_ref();
            let may_have_run = bucket.is_some_and(|bucket| bucket.may_have_run(id));
            self.record_outcome(if may_have_run {
                CallerOutcome::Unknown
            } else {
                CallerOutcome::NotRun
            });
        }
    }

    /// Dispatches the committed claims of an owner and reports the outcomes to the caller.
    fn dispatch(&mut self, at: usize) {
        if self.owners[at].paused {
            return;
        }
        for claim in std::mem::take(&mut self.owners[at].dispatching) {
            let outcome = if self.refuse_requests {
                DispatchOutcome::NotSent
            } else {
                self.runs += 1;
                if self.lose_responses {
                    DispatchOutcome::Unknown
                } else {
                    DispatchOutcome::Completed
                }
            };
            if let Some(bucket) = self.owners[at].bucket.as_mut() {
                bucket.record_dispatch_outcome(&claim, outcome);
            }
            self.record_outcome(match outcome {
                DispatchOutcome::Completed => CallerOutcome::Completed,
                DispatchOutcome::NotSent => CallerOutcome::NotRun,
                DispatchOutcome::Unknown => CallerOutcome::Unknown,
            });
        }
    }

    /// Ends a pause of the first owner, which then doubts that it still owns the bucket.
    fn resume(&mut self) {
        let owner = &mut self.owners[0];
        if std::mem::take(&mut owner.paused)
            && let Some(bucket) = owner.bucket.as_mut()
        {
            bucket.doubt_ownership();
        }
    }

    /// Lets an owner write and dispatch.
    fn run_owner(&mut self, at: usize) {
        self.begin_write(at);
        self.end_write();
        self.dispatch(at);
    }
}

impl Protocol for Payment {
    type Fault = Fault;

    const NAME: &'static str = "once";
    const STEPS: &'static [&'static str] =
        &["id seen", "claim written", "dispatched", "retry at the same", "retry at another"];
    const FAULTS: &'static [Fault] = &[
        Fault::OwnerKilled,
        Fault::OwnerPaused,
        Fault::OwnerResumed,
        Fault::StoreDown,
        Fault::StoreResponseLost,
        Fault::WriteLate,
        Fault::EndpointRefuses,
        Fault::ResponseLost,
        Fault::SecondOwner,
        Fault::SecondAttempt,
    ];

    fn start() -> Self {
        let mut payment = Self {
            now: Time::from_millis(1_000),
            nonce: 0,
            store: Store::default(),
            owners: Default::default(),
            write: None,
            delayed_writes: Vec::new(),
            runs: 0,
            outcomes: Vec::new(),
            violation: None,
            store_down: false,
            lose_store_responses: false,
            delay_writes: false,
            refuse_requests: false,
            lose_responses: false,
        };
        payment.owners[0].bucket = Some(payment.store.load("a", payment.now));
        payment.run_owner(0);
        payment
    }

    fn begin(&mut self, step: usize) {
        self.now = self.now + Duration::from_millis(10);
        match step {
            0 | 3 => self.attempt(0),
            1 => self.begin_write(0),
            4 => self.attempt(1),
            _ => {}
        }
    }

    fn end(&mut self, step: usize) {
        match step {
            1 => self.end_write(),
            2 => self.dispatch(0),
            3 => self.run_owner(0),
            4 => self.run_owner(1),
            _ => {}
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::OwnerKilled => {
                self.owners[0] = Owner::default();
                // A write that was sent may still take effect.
                if let Some((0, write)) = self.write.take() {
                    self.delayed_writes.push(write);
                }
            }
            Fault::OwnerPaused => self.owners[0].paused = true,
            Fault::OwnerResumed => {
                self.resume();
                self.run_owner(0);
            }
            Fault::StoreDown => self.store_down = !self.store_down,
            Fault::StoreResponseLost => self.lose_store_responses = !self.lose_store_responses,
            Fault::WriteLate => self.delay_writes = !self.delay_writes,
            Fault::EndpointRefuses => self.refuse_requests = !self.refuse_requests,
            Fault::ResponseLost => self.lose_responses = true,
            Fault::SecondOwner => {
                // A running owner learns from the new owner's heartbeat that it may be replaced.
                if let Some(bucket) = self.owners[0].bucket.as_mut() {
                    bucket.doubt_ownership();
                }
                self.attempt(1);
                self.end_write();
                self.run_owner(1);
            }
            Fault::SecondAttempt => {
                self.attempt(0);
                self.run_owner(0);
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        if self.runs > 1 {
            return Err(format!("the payment ran {} times", self.runs));
        }
        self.violation.clone().map_or(Ok(()), Err)
    }

    fn settle(&mut self) {
        (self.store_down, self.lose_store_responses, self.delay_writes, self.refuse_requests) =
            (false, false, false, false);
        self.resume();
        self.end_write();
        for write in std::mem::take(&mut self.delayed_writes) {
            self.store.apply(&write);
        }
        for _ in 0..3 {
            self.run_owner(0);
            self.run_owner(1);
        }
        // The caller retries at the owner that the head names.
        let owner = self.store.head.as_ref().map(|(head, _)| head.owner.clone());
        let at = usize::from(owner.as_deref() == Some("b"));
        for _ in 0..3 {
            self.attempt(at);
            self.run_owner(at);
            self.run_owner(at);
        }
    }

    fn check_settled(&self) -> Result<(), String> {
        match self.outcomes.last() {
            Some(CallerOutcome::Completed | CallerOutcome::Unknown) => Ok(()),
            last => Err(format!("the last retry was told {last:?}")),
        }
    }
}

#[test]
fn matrix_once() {
    run_all::<Payment>();
}
