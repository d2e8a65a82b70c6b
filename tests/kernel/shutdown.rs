//! A shutdown takes nothing new, ends what runs and only then hands its duties over.

use cardamomshore::kernel::drain::{DrainState, Phase};

use crate::matrix::{Protocol, run_all};

#[test]
fn enter_by_phase() {
    let mut count = DrainState::default();
    assert!(count.enter_request() && count.enter_work());
    count.begin();
    assert!(!count.enter_request() && count.enter_work(), "endpoints are still served");
    count.record_announced();
    assert_eq!(count.phase(), Phase::Finishing);
    assert!(!count.enter_request() && count.enter_work());
    count.leave(false);
    assert_eq!(count.phase(), Phase::Closing);
    assert!(!count.enter_request() && !count.enter_work());
}

#[test]
fn announced_before_begin() {
    let mut count = DrainState::default();
    count.record_announced();
    assert_eq!(count.phase(), Phase::Serving);
}

/// An instance that shuts down while requests come and end.
struct Shutdown {
    count: DrainState,
    callers: usize,
    steward: usize,
    signalled: bool,
    handed_over: bool,
    cut: bool,
    late: bool,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    CallerComes,
    WorkComes,
    ClaimComes,
    CallerEnds,
    WorkEnds,
    SecondSignal,
    HandOverEarly,
}

impl Shutdown {
    fn come(&mut self) {
        if self.count.enter_request() {
            self.late |= self.signalled;
            self.callers += 1;
        }
    }

    fn end_caller(&mut self) {
        if self.callers > 0 {
            self.callers -= 1;
            self.count.leave(false);
            self.observe();
        }
    }

    fn end_work(&mut self) {
        if self.steward > 0 {
            self.steward -= 1;
            self.count.leave(true);
            self.observe();
        }
    }

    /// The process exits as soon as the count says so.
    fn observe(&mut self) {
        self.handed_over = self.count.phase() == Phase::Gone;
        self.cut |= self.handed_over && self.callers + self.steward > 0;
    }

    fn hand_over(&mut self) {
        self.count.record_handover();
        self.observe();
    }
}

impl Protocol for Shutdown {
    type Fault = Fault;

    const NAME: &'static str = "shutdown";
    const STEPS: &'static [&'static str] =
        &["work", "signal", "announced", "callers end", "drained", "handed over", "gone"];
    const FAULTS: &'static [Fault] = &[
        Fault::CallerComes,
        Fault::WorkComes,
        Fault::ClaimComes,
        Fault::CallerEnds,
        Fault::WorkEnds,
        Fault::SecondSignal,
        Fault::HandOverEarly,
    ];

    fn start() -> Self {
        Self {
            count: DrainState::default(),
            callers: 0,
            steward: 0,
            signalled: false,
            handed_over: false,
            cut: false,
            late: false,
        }
    }

    fn begin(&mut self, step: usize) {
        match Self::STEPS[step] {
            "work" => {
                self.come();
                self.inject(Fault::WorkComes);
            }
            "signal" => {
                self.count.begin();
                self.signalled = true;
            }
            _ => {}
        }
    }

    fn end(&mut self, step: usize) {
        match Self::STEPS[step] {
            "announced" => self.count.record_announced(),
            "callers end" => (0..self.callers).for_each(|_| self.end_caller()),
            "drained" => (0..self.steward).for_each(|_| self.end_work()),
            "handed over" => self.hand_over(),
            _ => {}
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::CallerComes => self.come(),
            Fault::WorkComes => {
                if self.count.enter_work() {
                    self.cut |= self.handed_over;
                    self.steward += 1;
                }
            }
            // Buckets are handed over before the instance is gone.
            Fault::ClaimComes if !self.handed_over => {
                self.count.enter_claim();
                self.steward += 1;
            }
            Fault::ClaimComes => {}
            Fault::CallerEnds => self.end_caller(),
            Fault::WorkEnds => self.end_work(),
            Fault::SecondSignal if self.signalled => self.count.begin(),
            Fault::HandOverEarly if self.signalled => self.hand_over(),
            Fault::SecondSignal | Fault::HandOverEarly => {}
        }
    }

    fn check(&self) -> Result<(), String> {
        if self.cut {
            return Err("handed over while something ran".to_owned());
        }
        if self.late { Err("took a caller's request after the signal".to_owned()) } else { Ok(()) }
    }

    fn settle(&mut self) {
        while self.callers + self.steward > 0 {
            self.end_caller();
            self.end_work();
        }
        self.hand_over();
    }

    fn check_settled(&self) -> Result<(), String> {
        if self.count.phase() == Phase::Gone { Ok(()) } else { Err("never ends".to_owned()) }
    }
}

#[test]
fn matrix_shutdown() {
    run_all::<Shutdown>();
}
