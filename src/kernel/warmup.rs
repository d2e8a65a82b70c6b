//! Limits the requests that run at an endpoint while it warms up after a start.
//!
//! Only the steward of the endpoint keeps this state and dispatches to it, so the limit covers the
//! requests of all entry instances.

use std::time::Duration;

use crate::{clock::Time, config::PoolSpec};

/// Complete responses that a cold endpoint must deliver before its limit rises.
const MIN_COLD_COMPLETIONS: u32 = 32;

/// Shortest time in the cold state, however many responses the endpoint delivers.
const MIN_COLD_TIME: Duration = Duration::from_secs(2);

/// Complete responses after which a warming endpoint may run one more request at once.
const COMPLETIONS_PER_STEP: u32 = 4;

/// Number of consecutive slow first bytes after which an endpoint counts as cold.
const SLOW_STREAK_LIMIT: u32 = 3;

/// Multiple of the usual time to the first byte from which a first byte counts as slow.
const SLOW_FACTOR: u32 = 5;

/// Time to the first byte below which a first byte never counts as slow.
const MIN_SLOW_TIME: Duration = Duration::from_secs(1);

/// A sign that an endpoint has become cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSign {
    /// A report of the endpoint names another incarnation.
    Incarnation,
    /// The endpoint refused a connection.
    Refused,
    /// The endpoint responded that it is overloaded or down.
    Overloaded,
    /// The endpoint cut off a response.
    Cut,
    /// The endpoint's time to the first byte rose.
    Slow,
    /// The endpoint returned after it was out of service.
    Returned,
}

impl ColdSign {
    /// Returns the name of the sign in the time line of events.
    pub fn as_str(self) -> &'static str {
        match self {
            ColdSign::Incarnation => "incarnation",
            ColdSign::Refused => "refused",
            ColdSign::Overloaded => "overloaded",
            ColdSign::Cut => "cut",
            ColdSign::Slow => "slow",
            ColdSign::Returned => "returned",
        }
    }
}

/// State of an endpoint that has delivered few responses since its start.
#[derive(Clone, Debug)]
struct Cold {
    /// When the first response was complete.
    since: Option<Time>,
    /// Number of complete responses.
    completed: u32,
}

/// State of an endpoint whose limit rises with its responses.
#[derive(Clone, Debug)]
struct Warming {
    /// Number of complete responses in this state.
    completed: u32,
}

/// State of an endpoint that can run its full load.
#[derive(Clone, Debug)]
struct Warm;

impl Cold {
    /// Creates the state of an endpoint without any response.
    fn new() -> Self {
        Self { since: None, completed: 0 }
    }

    /// Counts a complete response and returns the next state. The minimum time in the cold state
    /// starts with the first response.
    fn record_completion(mut self, now: Time) -> State {
        let since = *self.since.get_or_insert(now);
        self.completed += 1;
        if self.completed < MIN_COLD_COMPLETIONS || now.since(since) < MIN_COLD_TIME {
            return State::Cold(self);
        }
        State::Warming(Warming { completed: 0 })
    }
}

impl Warming {
    /// Counts a complete response and returns the next state.
    fn record_completion(self, cold_limit: u32, warm_limit: u32) -> State {
        let next = Warming { completed: self.completed + 1 };
        if next.limit(cold_limit) < warm_limit { State::Warming(next) } else { State::Warm(Warm) }
    }

    /// Returns the number of requests that may run at once in this state.
    fn limit(&self, cold_limit: u32) -> u32 {
        cold_limit + self.completed / COMPLETIONS_PER_STEP
    }
}

/// State of an endpoint's warm-up.
#[derive(Clone, Debug)]
enum State {
    Cold(Cold),
    Warming(Warming),
    Warm(Warm),
}

/// Change of an endpoint's warm-up that is to be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupChange {
    /// The endpoint became neither warm nor cold.
    None,
    /// The endpoint became warm and can run its full load.
    Warm,
    /// The endpoint became cold.
    Cold(ColdSign),
}

/// Warm-up of one endpoint, which limits the requests that it may run at once.
#[derive(Clone, Debug)]
pub struct Warmup {
    /// Limit in the cold state.
    cold_limit: u32,
    /// Limit in the warm state.
    warm_limit: u32,
    /// Current state.
    state: State,
    /// Moving average of the time to the first byte.
    usual_first_byte: Option<Duration>,
    /// Number of consecutive slow first bytes.
    slow_streak: u32,
    /// Number of running requests of earlier stewards; `None` until a report has shown it.
    inherited: Option<u32>,
}

impl Warmup {
    /// Creates the warm-up of an endpoint in the cold state.
    pub fn new(pool: &PoolSpec) -> Self {
        Self {
            cold_limit: pool.cold_limit,
            warm_limit: pool.warm_limit,
            state: State::Cold(Cold::new()),
            usual_first_byte: None,
            slow_streak: 0,
            inherited: None,
        }
    }

    /// Records the number of `running` requests in a report, of which this steward sent `own`.
    ///
    /// An earlier steward sent the rest, whose number can only shrink. A lagging report that still
    /// shows finished requests of this steward therefore cannot raise it.
    pub fn record_report(&mut self, running: u32, own: u32) {
        let rest = running.saturating_sub(own);
        self.inherited = Some(self.inherited.map_or(rest, |known| known.min(rest)));
    }

    /// Returns whether one more request may start while `running` requests of this steward run.
    pub fn may_start(&self, running: u32) -> bool {
        running + self.inherited.unwrap_or(0) < self.limit()
    }

    /// Records a complete response and returns what it changed.
    pub fn record_completion(&mut self, now: Time) -> WarmupChange {
        let was_warm = self.is_warm();
        self.state = match std::mem::replace(&mut self.state, State::Cold(Cold::new())) {
            State::Cold(cold) => cold.record_completion(now),
            State::Warming(warming) => warming.record_completion(self.cold_limit, self.warm_limit),
            State::Warm(warm) => State::Warm(warm),
        };
        if self.is_warm() && !was_warm { WarmupChange::Warm } else { WarmupChange::None }
    }

    /// Records the time to the first byte of a response and returns what it changed.
    pub fn record_first_byte(&mut self, elapsed: Duration) -> WarmupChange {
        let Some(usual) = self.usual_first_byte else {
            self.usual_first_byte = Some(elapsed);
            return WarmupChange::None;
        };
        if elapsed < MIN_SLOW_TIME || elapsed < usual * SLOW_FACTOR {
            self.usual_first_byte = Some((usual * 7 + elapsed) / 8);
            self.slow_streak = 0;
            return WarmupChange::None;
        }
        self.slow_streak += 1;
        if self.slow_streak < SLOW_STREAK_LIMIT {
            WarmupChange::None
        } else {
            self.reset_to_cold(ColdSign::Slow)
        }
    }

    /// Returns to the cold state at a sign that the endpoint has become cold, and returns what this
    /// changed.
    pub fn reset_to_cold(&mut self, sign: ColdSign) -> WarmupChange {
        let was_cold = matches!(self.state, State::Cold(_));
        self.state = State::Cold(Cold::new());
        self.slow_streak = 0;
        self.usual_first_byte = None;
        if sign == ColdSign::Incarnation {
            self.inherited = Some(0);
        }
        if was_cold { WarmupChange::None } else { WarmupChange::Cold(sign) }
    }

    /// Returns the number of requests that may run at once.
    pub fn limit(&self) -> u32 {
        let limit = match &self.state {
            State::Cold(_) => self.cold_limit,
            State::Warming(warming) => warming.limit(self.cold_limit),
            State::Warm(Warm) => self.warm_limit,
        };
        limit.min(self.warm_limit)
    }

    /// Returns whether the endpoint can run its full load.
    pub fn is_warm(&self) -> bool {
        matches!(self.state, State::Warm(_))
    }
}
