//! Claims of non-repeatable requests.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::once::{
        Bucket, ClaimDecision, ClaimId, DispatchOutcome, GroupDecision, HeadRecord, NextWrite,
        SegmentRecord, Write, WriteOutcome,
    },
};

use crate::matrix::{Protocol, run_all};

const PRINT: u64 = 77;

fn id(name: &str) -> ClaimId {
    ClaimId::new("kites", "ledger", name)
}

/// The platform's service: one head, sealed segments and a revision.
#[derive(Clone, Debug, Default)]
struct Store {
    head: Option<(HeadRecord, i64)>,
    sealed: BTreeMap<u64, SegmentRecord>,
    revision: i64,
}

impl Store {
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

    fn load(&self, owner: &str, now: Time) -> Bucket {
        Bucket::from_records(owner, 1, self.head.clone(), self.sealed.clone(), now)
    }
}

fn write_of(bucket: &mut Bucket, nonce: u64, now: Time) -> Option<Write> {
    match bucket.next_write(now, nonce) {
        NextWrite::Write(write) => Some(write),
        NextWrite::Idle => None,
    }
}

#[test]
fn claim_repeat_is_replayed() {
    let mut store = Store::default();
    let mut bucket = store.load("a", Time(0));
    assert_eq!(bucket.claim(id("x"), PRINT, false), ClaimDecision::Queued);
    let write = write_of(&mut bucket, 1, Time(0)).unwrap();
    assert_eq!(bucket.claim(id("x"), PRINT, false), ClaimDecision::Join);
    let committed = bucket.handle_write_outcome(&write, store.apply(&write), Time(0));
    assert_eq!(committed, GroupDecision::Dispatch(vec![id("x")]));
    bucket.record_dispatch_outcome(&id("x"), DispatchOutcome::Completed);
    assert_eq!(bucket.claim(id("x"), PRINT, false), ClaimDecision::Replay);
    assert_eq!(bucket.claim(id("x"), PRINT + 1, false), ClaimDecision::Reused);
    bucket.forget_response(&id("x"));
    assert_eq!(bucket.claim(id("x"), PRINT, false), ClaimDecision::Unknown);
}

#[test]
fn claim_of_earlier_owner_is_unknown() {
    let mut store = Store::default();
    let mut first = store.load("a", Time(0));
    first.claim(id("x"), PRINT, false);
    let write = write_of(&mut first, 1, Time(0)).unwrap();
    first.handle_write_outcome(&write, store.apply(&write), Time(0));
    let mut second = store.load("b", Time(0));
    assert_eq!(second.claim(id("x"), PRINT, false), ClaimDecision::Unknown);
    assert_eq!(second.claim(id("x"), PRINT, true), ClaimDecision::Queued, "the service dedupes");
    let write = write_of(&mut second, 2, Time(0)).unwrap();
    second.handle_write_outcome(&write, store.apply(&write), Time(0));
    first.claim(id("y"), PRINT, false);
    let stale = write_of(&mut first, 3, Time(0)).unwrap();
    let dropped = first.handle_write_outcome(&stale, store.apply(&stale), Time(0));
    assert_eq!(dropped, GroupDecision::Dropped(vec![id("y")]));
}

#[test]
fn claim_released_after_certain_refusal() {
    let mut store = Store::default();
    let mut bucket = store.load("a", Time(0));
    bucket.claim(id("x"), PRINT, false);
    let write = write_of(&mut bucket, 1, Time(0)).unwrap();
    bucket.handle_write_outcome(&write, store.apply(&write), Time(0));
    bucket.record_dispatch_outcome(&id("x"), DispatchOutcome::NotSent);
    let release = write_of(&mut bucket, 2, Time(0)).expect("the release is written");
    assert_eq!(release.released, vec![id("x")]);
    bucket.handle_write_outcome(&release, store.apply(&release), Time(0));
    let mut next = store.load("b", Time(0));
    assert_eq!(next.claim(id("x"), PRINT, false), ClaimDecision::Queued);
}

#[test]
fn claim_rerun_not_sent_stays_unknown() {
    let mut store = Store::default();
    let mut first = store.load("a", Time(0));
    first.claim(id("x"), PRINT, true);
    let write = write_of(&mut first, 1, Time(0)).unwrap();
    first.handle_write_outcome(&write, store.apply(&write), Time(0));
    let mut second = store.load("b", Time(0));
    let taken = write_of(&mut second, 2, Time(0)).unwrap();
    second.handle_write_outcome(&taken, store.apply(&taken), Time(0));
    assert_eq!(second.claim(id("x"), PRINT, true), ClaimDecision::Queued);
    let write = write_of(&mut second, 3, Time(0)).unwrap();
    assert_eq!(
        second.handle_write_outcome(&write, WriteOutcome::NotSent, Time(0)),
        GroupDecision::Refuse(vec![id("x")])
    );
    assert!(second.may_have_run(&id("x")), "the first owner may have run it");
    assert_eq!(second.claim(id("x"), PRINT, false), ClaimDecision::Unknown);
}

#[test]
fn claim_lost_answer_is_recognized() {
    let mut store = Store::default();
    let mut bucket = store.load("a", Time(0));
    bucket.claim(id("x"), PRINT, false);
    let write = write_of(&mut bucket, 1, Time(0)).unwrap();
    store.apply(&write);
    let refused = bucket.handle_write_outcome(&write, WriteOutcome::Unknown, Time(0));
    assert_eq!(refused, GroupDecision::Refuse(vec![id("x")]));
    assert_eq!(bucket.claim(id("x"), PRINT, false), ClaimDecision::Queued, "it was never sent");
    let again = write_of(&mut bucket, 2, Time(0)).unwrap();
    assert_eq!(
        bucket.handle_write_outcome(&again, store.apply(&again), Time(0)),
        GroupDecision::Retry
    );
    let third = write_of(&mut bucket, 3, Time(0)).unwrap();
    assert_eq!(third.head.claims.len(), 1, "the claim stands in the record once");
    let committed = bucket.handle_write_outcome(&third, store.apply(&third), Time(0));
    assert_eq!(committed, GroupDecision::Dispatch(vec![id("x")]));
}

#[test]
fn segments_sealed_and_pruned() {
    let mut store = Store::default();
    let mut now = Time(0);
    let mut bucket = store.load("a", now);
    for number in 0..600 {
        bucket.claim(id(&format!("n{number}")), PRINT, false);
        let write = write_of(&mut bucket, number + 1, now).unwrap();
        assert!(write.head.claims.len() <= 257, "the head stays small");
        bucket.handle_write_outcome(&write, store.apply(&write), now);
    }
    assert_eq!(store.sealed.len(), 2);
    let mut next = store.load("b", now);
    assert_eq!(next.claim(id("n0"), PRINT, false), ClaimDecision::Unknown);
    now = now + Duration::from_secs(25 * 3_600);
    next.claim(id("late"), PRINT, false);
    let write = write_of(&mut next, 900, now).unwrap();
    next.handle_write_outcome(&write, store.apply(&write), now);
    assert_eq!(store.sealed.len(), 0);
    assert_eq!(next.claim(id("n0"), PRINT, false), ClaimDecision::Queued);
}

/// What a caller was told of one sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Whole,
    NotRun,
    Unknown,
}

/// One owner with what is on its way from and to it.
#[derive(Debug, Default)]
struct Owner {
    bucket: Option<Bucket>,
    paused: bool,
    dispatching: Vec<ClaimId>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    OwnerKilled,
    OwnerPaused,
    OwnerResumed,
    StoreDown,
    StoreMute,
    WriteLate,
    EndpointRefuses,
    AnswerLost,
    SecondTaker,
    SecondSending,
}

/// One payment, sent again and again by its caller, at two instances.
struct Payment {
    now: Time,
    nonce: u64,
    store: Store,
    owners: [Owner; 2],
    write: Option<(usize, Write)>,
    late: Vec<Write>,
    runs: u32,
    told: Vec<Told>,
    lie: Option<String>,
    down: bool,
    mute: bool,
    hold: bool,
    refuse: bool,
    lose: bool,
}

impl Payment {
    /// The caller sends the payment to an instance, which loads the bucket where it has none.
    fn send(&mut self, at: usize) {
        if self.owners[at].paused {
            return;
        }
        if self.owners[at].bucket.is_none() {
            if self.down {
                return self.tell(Told::Unknown);
            }
            let name = ["a", "b"][at];
            self.owners[at].bucket = Some(self.store.load(name, self.now));
        }
        let bucket = self.owners[at].bucket.as_mut().expect("a loaded bucket");
        match bucket.claim(id("x"), PRINT, false) {
            ClaimDecision::Queued | ClaimDecision::Join => {}
            ClaimDecision::Replay => self.tell(Told::Whole),
            ClaimDecision::Unknown => self.tell(Told::Unknown),
            ClaimDecision::Reused => panic!("the same request is no other"),
        }
    }

    fn tell(&mut self, told: Told) {
        let on_way = self.owners.iter().any(|owner| !owner.dispatching.is_empty());
        match told {
            Told::NotRun if self.runs > 0 || on_way => self.lie = Some("false not-run".to_owned()),
            Told::Whole if self.runs != 1 => self.lie = Some("answer without a run".to_owned()),
            _ => {}
        }
        self.told.push(told);
    }

    fn begin_write(&mut self, at: usize) {
        let now = self.now;
        self.nonce += 1;
        let nonce = self.nonce;
        let owner = &mut self.owners[at];
        if owner.paused || self.write.is_some() {
            return;
        }
        let write = owner.bucket.as_mut().and_then(|bucket| write_of(bucket, nonce, now));
        self.write = write.map(|write| (at, write));
    }

    fn end_write(&mut self) {
        let Some((at, write)) = self.write.take() else { return };
        let outcome = if self.down {
            WriteOutcome::NotSent
        } else if self.hold {
            self.late.push(write.clone());
            WriteOutcome::Unknown
        } else {
            let done = self.store.apply(&write);
            if self.mute { WriteOutcome::Unknown } else { done }
        };
        let Some(bucket) = self.owners[at].bucket.as_mut() else { return };
        match bucket.handle_write_outcome(&write, outcome, self.now) {
            GroupDecision::Dispatch(ids) => self.owners[at].dispatching.extend(ids),
            GroupDecision::Retry => {}
            GroupDecision::Refuse(ids) => self.refuse_all(at, &ids),
            // The entry asks the new owner, so the caller is told nothing yet.
            GroupDecision::Dropped(_) => {
                self.owners[at].bucket = None;
            }
        }
    }

    fn refuse_all(&mut self, at: usize, ids: &[ClaimId]) {
        for id in ids {
            let bucket = self.owners[at].bucket.as_ref();
            let may_have_run = bucket.is_some_and(|bucket| bucket.may_have_run(id));
            self.tell(if may_have_run { Told::Unknown } else { Told::NotRun });
        }
    }

    fn dispatch(&mut self, at: usize) {
        if self.owners[at].paused {
            return;
        }
        for claim in std::mem::take(&mut self.owners[at].dispatching) {
            let finished = if self.refuse {
                DispatchOutcome::NotSent
            } else {
                self.runs += 1;
                if self.lose { DispatchOutcome::Unknown } else { DispatchOutcome::Completed }
            };
            if let Some(bucket) = self.owners[at].bucket.as_mut() {
                bucket.record_dispatch_outcome(&claim, finished);
            }
            self.tell(match finished {
                DispatchOutcome::Completed => Told::Whole,
                DispatchOutcome::NotSent => Told::NotRun,
                DispatchOutcome::Unknown => Told::Unknown,
            });
        }
    }

    fn resume(&mut self) {
        let owner = &mut self.owners[0];
        if std::mem::take(&mut owner.paused)
            && let Some(bucket) = owner.bucket.as_mut()
        {
            bucket.doubt_ownership();
        }
    }

    fn turn(&mut self, at: usize) {
        self.begin_write(at);
        self.end_write();
        self.dispatch(at);
    }
}

impl Protocol for Payment {
    type Fault = Fault;

    const NAME: &'static str = "once";
    const STEPS: &'static [&'static str] =
        &["id seen", "claim written", "dispatched", "repeat at the same", "repeat at another"];
    const FAULTS: &'static [Fault] = &[
        Fault::OwnerKilled,
        Fault::OwnerPaused,
        Fault::OwnerResumed,
        Fault::StoreDown,
        Fault::StoreMute,
        Fault::WriteLate,
        Fault::EndpointRefuses,
        Fault::AnswerLost,
        Fault::SecondTaker,
        Fault::SecondSending,
    ];

    fn start() -> Self {
        let mut payment = Self {
            now: Time::from_millis(1_000),
            nonce: 0,
            store: Store::default(),
            owners: Default::default(),
            write: None,
            late: Vec::new(),
            runs: 0,
            told: Vec::new(),
            lie: None,
            down: false,
            mute: false,
            hold: false,
            refuse: false,
            lose: false,
        };
        payment.owners[0].bucket = Some(payment.store.load("a", payment.now));
        payment.turn(0);
        payment
    }

    fn begin(&mut self, step: usize) {
        self.now = self.now + Duration::from_millis(10);
        match step {
            0 | 3 => self.send(0),
            1 => self.begin_write(0),
            4 => self.send(1),
            _ => {}
        }
    }

    fn end(&mut self, step: usize) {
        match step {
            1 => self.end_write(),
            2 => self.dispatch(0),
            3 => self.turn(0),
            4 => self.turn(1),
            _ => {}
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::OwnerKilled => {
                self.owners[0] = Owner::default();
                // A write that was on its way may still take effect.
                if let Some((0, write)) = self.write.take() {
                    self.late.push(write);
                }
            }
            Fault::OwnerPaused => self.owners[0].paused = true,
            Fault::OwnerResumed => {
                self.resume();
                self.turn(0);
            }
            Fault::StoreDown => self.down = !self.down,
            Fault::StoreMute => self.mute = !self.mute,
            Fault::WriteLate => self.hold = !self.hold,
            Fault::EndpointRefuses => self.refuse = !self.refuse,
            Fault::AnswerLost => self.lose = true,
            Fault::SecondTaker => {
                // An owner that runs hears from the taker's heartbeat that it was replaced.
                if let Some(bucket) = self.owners[0].bucket.as_mut() {
                    bucket.doubt_ownership();
                }
                self.send(1);
                self.end_write();
                self.turn(1);
            }
            Fault::SecondSending => {
                self.send(0);
                self.turn(0);
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        if self.runs > 1 {
            return Err(format!("ran {} times", self.runs));
        }
        self.lie.clone().map_or(Ok(()), Err)
    }

    fn settle(&mut self) {
        (self.down, self.mute, self.hold, self.refuse) = (false, false, false, false);
        self.resume();
        self.end_write();
        for write in std::mem::take(&mut self.late) {
            self.store.apply(&write);
        }
        for _ in 0..3 {
            self.turn(0);
            self.turn(1);
        }
        // The owner that the record names is asked again.
        let holder = self.store.head.as_ref().map(|(head, _)| head.owner.clone());
        let at = usize::from(holder.as_deref() == Some("b"));
        for _ in 0..3 {
            self.send(at);
            self.turn(at);
            self.turn(at);
        }
    }

    fn check_settled(&self) -> Result<(), String> {
        match self.told.last() {
            Some(Told::Whole | Told::Unknown) => Ok(()),
            last => Err(format!("the last repeat was told {last:?}")),
        }
    }
}

#[test]
fn matrix_once() {
    run_all::<Payment>();
}
