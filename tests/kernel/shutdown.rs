//! Tests that a shutdown accepts no new requests, lets the running ones end, and hands over only
//! after that.

use cardamomshore::kernel::drain::{DrainState, Phase};

use crate::matrix::{Protocol, run_all};

#[test]
fn enter_by_phase() {
    let mut drain = DrainState::default();
    assert!(drain.enter_request() && drain.enter_work());
    drain.begin();
    assert!(
        !drain.enter_request() && drain.enter_work(),
        "stewarded endpoints must still be served"
    );
    drain.record_announced();
    assert_eq!(drain.phase(), Phase::Finishing);
    assert!(!drain.enter_request() && drain.enter_work());
    drain.record_end(false);
    assert_eq!(drain.phase(), Phase::Closing);
    assert!(!drain.enter_request() && !drain.enter_work());
}

#[test]
fn announced_before_begin() {
    let mut drain = DrainState::default();
    drain.record_announced();
    assert_eq!(drain.phase(), Phase::Serving);
}

/// An instance that shuts down while requests arrive and end.
struct Shutdown {
    drain: DrainState,
    /// Running requests of callers.
    requests: usize,
    /// Running requests at stewarded endpoints.
    work: usize,
    /// Whether the signal to shut down was received.
    signalled: bool,
    /// Whether the process has exited.
    exited: bool,
    /// Whether the process exited while a request ran.
    exited_early: bool,
    /// Whether a caller's request was accepted after the signal.
    accepted_late: bool,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A caller's request arrives.
    CallerComes,
    /// A request for a stewarded endpoint arrives.
    WorkComes,
    /// A request arrives whose claim is already recorded.
    ClaimComes,
    /// A caller's request ends.
    CallerEnds,
    /// A request at a stewarded endpoint ends.
    WorkEnds,
    /// The signal to shut down arrives once more.
    SecondSignal,
    /// The handover is reported as complete before requests have ended.
    HandOverEarly,
}

impl Shutdown {
    fn accept_request(&mut self) {
        if self.drain.enter_request() {
            self.accepted_late |= self.signalled;
            self.requests += 1;
        }
    }

    fn end_request(&mut self) {
        if self.requests > 0 {
            self.requests -= 1;
            self.drain.record_end(false);
            self.record_exit();
        }
    }

    fn end_work(&mut self) {
        if self.work > 0 {
            self.work -= 1;
            self.drain.record_end(true);
            self.record_exit();
        }
    }

    /// Records whether the process exits, which it does in the last phase, and whether requests
    /// still run then.
    fn record_exit(&mut self) {
        self.exited = self.drain.phase() == Phase::Gone;
        self.exited_early |= self.exited && self.requests + self.work > 0;
    }

    fn hand_over(&mut self) {
        self.drain.record_handover();
        self.record_exit();
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
            drain: DrainState::default(),
            requests: 0,
            work: 0,
            signalled: false,
            exited: false,
            exited_early: false,
            accepted_late: false,
        }
    }

    fn begin(&mut self, step: usize) {
        match Self::STEPS[step] {
            "work" => {
                self.accept_request();
                self.inject(Fault::WorkComes);
            }
            "signal" => {
                self.drain.begin();
                self.signalled = true;
            }
            _ => {}
        }
    }

    fn end(&mut self, step: usize) {
        match Self::STEPS[step] {
            "announced" => self.drain.record_announced(),
            "callers end" => (0..self.requests).for_each(|_| self.end_request()),
            "drained" => (0..self.work).for_each(|_| self.end_work()),
            "handed over" => self.hand_over(),
            _ => {}
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::CallerComes => self.accept_request(),
            Fault::WorkComes => {
                if self.drain.enter_work() {
                    self.exited_early |= self.exited;
                    self.work += 1;
                }
            }
            // The instance hands over its buckets before the last phase, so no claim arrives then.
            Fault::ClaimComes if !self.exited => {
                self.drain.enter_claim();
                self.work += 1;
            }
            Fault::ClaimComes => {}
            Fault::CallerEnds => self.end_request(),
            Fault::WorkEnds => self.end_work(),
            Fault::SecondSignal if self.signalled => self.drain.begin(),
            Fault::HandOverEarly if self.signalled => self.hand_over(),
            Fault::SecondSignal | Fault::HandOverEarly => {}
        }
    }

    fn check(&self) -> Result<(), String> {
        if self.exited_early {
            return Err("the process exited while a request ran".to_owned());
        }
        if self.accepted_late {
            Err("accepted a caller's request after the signal".to_owned())
        } else {
            Ok(())
        }
    }

    fn settle(&mut self) {
        while self.requests + self.work > 0 {
            self.end_request();
            self.end_work();
        }
        self.hand_over();
    }

    fn check_settled(&self) -> Result<(), String> {
        if self.drain.phase() == Phase::Gone {
            Ok(())
        } else {
            Err("the shutdown never ends".to_owned())
        }
    }
}

#[test]
fn matrix_shutdown() {
    run_all::<Shutdown>();
}
