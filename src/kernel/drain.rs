//! Phases of a shutdown. The phase depends on the requests that still run.
//!
//! The requests of this instance's own callers and the requests that it runs as the steward of an
//! endpoint are counted separately, since the latter are accepted for longer.

/// Phase of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// All requests are accepted; no shutdown has begun.
    #[default]
    Serving,
    /// Callers' requests are refused while the peers learn that this instance shuts down.
    Announcing,
    /// The running requests of callers end; work for stewarded endpoints is still accepted.
    Finishing,
    /// The running work for stewarded endpoints ends, no further work is accepted, and this
    /// instance hands over its endpoints and its other tasks.
    Closing,
    /// No request runs and everything is handed over.
    Gone,
}

/// Phase of an instance's shutdown and the numbers of requests that still run.
#[derive(Clone, Debug, Default)]
pub struct DrainState {
    /// Current phase.
    phase: Phase,
    /// Running requests of this instance's callers.
    caller_requests: usize,
    /// Running requests at the endpoints that this instance stewards.
    steward_work: usize,
    /// Whether the handover is complete.
    handed_over: bool,
}

impl DrainState {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether a caller's request may run, and counts it as running if so.
    pub fn enter_request(&mut self) -> bool {
        let accepted = self.phase == Phase::Serving;
        self.caller_requests += usize::from(accepted);
        accepted
    }

    /// Returns whether work for a stewarded endpoint may run, and counts it as running if so.
    pub fn enter_work(&mut self) -> bool {
        let accepted = self.phase < Phase::Closing;
        self.steward_work += usize::from(accepted);
        accepted
    }

    /// Counts a claimed request as running. Unlike other requests, it must run in any phase, since
    /// its claim is recorded.
    pub fn enter_claim(&mut self) {
        self.steward_work += 1;
    }

    /// Returns the number of running requests of both kinds.
    pub fn running(&self) -> usize {
        self.caller_requests + self.steward_work
    }

    /// Records that a request ended; `as_steward` says whether it was work for a stewarded
    /// endpoint.
    pub fn record_end(&mut self, as_steward: bool) {
        if as_steward {
            self.steward_work -= 1;
        } else {
            self.caller_requests -= 1;
        }
        self.advance();
    }

    /// Begins the shutdown; has no effect if it has already begun.
    pub fn begin(&mut self) {
        self.phase = self.phase.max(Phase::Announcing);
    }

    /// Records that the peers have had time to learn of the shutdown.
    pub fn record_announced(&mut self) {
        if self.phase == Phase::Announcing {
            self.phase = Phase::Finishing;
        }
        self.advance();
    }

    /// Records that the handover is complete. It is ignored before [`Phase::Closing`], since the
    /// handover begins only when no caller's request runs.
    pub fn record_handover(&mut self) {
        self.handed_over |= self.phase == Phase::Closing;
        self.advance();
    }

    /// Enters the next phase if its conditions are met.
    fn advance(&mut self) {
        if self.phase == Phase::Finishing && self.caller_requests == 0 {
            self.phase = Phase::Closing;
        }
        if self.phase == Phase::Closing && self.handed_over && self.steward_work == 0 {
            self.phase = Phase::Gone;
        }
    }
}
