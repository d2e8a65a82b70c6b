//! How much an endpoint bears while it warms up.
//!
//! Its steward alone holds this state, so the limit counts the requests of all entry instances.

use std::time::Duration;

use crate::{clock::Time, config::PoolSpec};

/// Requests that a cold endpoint must answer whole before its limit rises.
const MIN_COLD_COMPLETIONS: u32 = 32;

/// Shortest time in the cold state, however many requests were answered.
const MIN_COLD_TIME: Duration = Duration::from_secs(2);

/// Whole answers for each further request that a warming endpoint may run.
const COMPLETIONS_PER_STEP: u32 = 4;

/// Slow first bytes in a row that count as a fall back.
const SLOW_STREAK_LIMIT: u32 = 3;

/// Factor over the usual time to the first byte that counts as slow.
const SLOW_FACTOR: u32 = 5;

/// Shortest time to the first byte that counts as slow.
const MIN_SLOW_TIME: Duration = Duration::from_secs(1);

/// A sign that an endpoint fell back into its cold state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSign {
    /// A report names another incarnation.
    Incarnation,
    /// It refused a connection.
    Refused,
    /// It answered that it is overloaded or down.
    Overloaded,
    /// It broke an answer off.
    Cut,
    /// Its time to the first byte rose.
    Slow,
    /// It was out of service.
    Returned,
}

impl ColdSign {
    /// Returns the word that stands for the sign in the time line.
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

/// Nothing is known to have been served since the last start.
#[derive(Clone, Debug)]
struct Cold {
    since: Option<Time>,
    completed: u32,
}

/// The limit rises with each answer.
#[derive(Clone, Debug)]
struct Warming {
    completed: u32,
}

/// The endpoint bears its full load.
#[derive(Clone, Debug)]
struct Warm;

impl Cold {
    fn new() -> Self {
        Self { since: None, completed: 0 }
    }

    /// Counts an answer; the first one starts the period.
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
    fn record_completion(self, cold: u32, warm: u32) -> State {
        let next = Warming { completed: self.completed + 1 };
        if next.limit(cold) < warm { State::Warming(next) } else { State::Warm(Warm) }
    }

    fn limit(&self, cold: u32) -> u32 {
        cold + self.completed / COMPLETIONS_PER_STEP
    }
}

#[derive(Clone, Debug)]
enum State {
    Cold(Cold),
    Warming(Warming),
    Warm(Warm),
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupChange {
    /// Nothing that others need to know.
    None,
    /// The endpoint bears its full load now.
    Warm,
    /// The endpoint fell back.
    Cold(ColdSign),
}

/// Warmth of one endpoint.
#[derive(Clone, Debug)]
pub struct Warmup {
    cold_limit: u32,
    warm_limit: u32,
    state: State,
    usual_first_byte: Option<Duration>,
    slow_streak: u32,
    inherited: Option<u32>,
}

impl Warmup {
    /// Creates the warmth of an endpoint of which nothing is known.
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

    /// Takes in how many requests a report shows, of which this steward sent `own`.
    ///
    /// The rest was sent by an earlier steward. It only shrinks, so a lagging report that still
    /// shows requests of this steward cannot raise it.
    pub fn record_report(&mut self, running: u32, own: u32) {
        let rest = running.saturating_sub(own);
        self.inherited = Some(self.inherited.map_or(rest, |known| known.min(rest)));
    }

    /// Returns whether one more request may start beside `running` ones of this steward.
    pub fn may_start(&self, running: u32) -> bool {
        running + self.inherited.unwrap_or(0) < self.limit()
    }

    /// Counts a request that was answered whole.
    pub fn record_completion(&mut self, now: Time) -> WarmupChange {
        let was_warm = self.is_warm();
        self.state = match std::mem::replace(&mut self.state, State::Cold(Cold::new())) {
            State::Cold(cold) => cold.record_completion(now),
            State::Warming(warming) => warming.record_completion(self.cold_limit, self.warm_limit),
            State::Warm(warm) => State::Warm(warm),
        };
        if self.is_warm() && !was_warm { WarmupChange::Warm } else { WarmupChange::None }
    }

    /// Takes in the time to the first byte of an answer.
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

    /// Returns to cold at a sign that the endpoint did.
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

    /// Returns the requests that may run at once.
    pub fn limit(&self) -> u32 {
        let limit = match &self.state {
            State::Cold(_) => self.cold_limit,
            State::Warming(warming) => warming.limit(self.cold_limit),
            State::Warm(Warm) => self.warm_limit,
        };
        limit.min(self.warm_limit)
    }

    /// Returns whether the endpoint bears its full load.
    pub fn is_warm(&self) -> bool {
        matches!(self.state, State::Warm(_))
    }
}
