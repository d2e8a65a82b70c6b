//! The phases of a shutdown, by what still runs.

/// How far a shutdown is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Everything is served.
    #[default]
    Serving,
    /// Callers are refused, while the others learn that this instance leaves.
    Announcing,
    /// Callers' requests end; work for stewarded endpoints is still taken.
    Finishing,
    /// Work for stewarded endpoints ends, none is taken any more, and the duties are handed over.
    Closing,
    /// Nothing runs and the duties are handed over.
    Gone,
}

/// What runs at an instance.
#[derive(Clone, Debug, Default)]
pub struct DrainState {
    phase: Phase,
    callers: usize,
    steward: usize,
    given: bool,
}

impl DrainState {
    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Counts a caller's request in and returns whether it may run.
    pub fn enter_request(&mut self) -> bool {
        let taken = self.phase == Phase::Serving;
        self.callers += usize::from(taken);
        taken
    }

    /// Counts work for a stewarded endpoint in and returns whether it may run.
    pub fn enter_work(&mut self) -> bool {
        let taken = self.phase < Phase::Closing;
        self.steward += usize::from(taken);
        taken
    }

    /// Counts a claimed request in; its claim stands, so that it must run.
    pub fn enter_claim(&mut self) {
        self.steward += 1;
    }

    /// Returns how much runs.
    pub fn running(&self) -> usize {
        self.callers + self.steward
    }

    /// Counts a request or work out.
    pub fn leave(&mut self, as_steward: bool) {
        if as_steward {
            self.steward -= 1;
        } else {
            self.callers -= 1;
        }
        self.advance();
    }

    /// Begins the shutdown; a second signal changes nothing.
    pub fn begin(&mut self) {
        self.phase = self.phase.max(Phase::Announcing);
    }

    /// Notes that the others had time to learn of the shutdown.
    pub fn record_announced(&mut self) {
        if self.phase == Phase::Announcing {
            self.phase = Phase::Finishing;
        }
        self.advance();
    }

    /// Notes that the duties were handed over, which begins once no caller's request runs.
    pub fn record_handover(&mut self) {
        self.given |= self.phase == Phase::Closing;
        self.advance();
    }

    fn advance(&mut self) {
        if self.phase == Phase::Finishing && self.callers == 0 {
            self.phase = Phase::Closing;
        }
        if self.phase == Phase::Closing && self.given && self.steward == 0 {
            self.phase = Phase::Gone;
        }
    }
}
