//! Plays a load: requests that arrive over time, and engines that prefill one prompt after the other.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use cardamomshore::{
    clock::Time,
    kernel::grants::{Action, GrantRequest, Outcome, Scheduler, StreamId},
};

use super::fleet::key;

/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 40;

/// Time from a grant to the first event beside the prefill.
const LATENCY: Duration = Duration::from_millis(10);

/// Time from the first event of a response to its end.
const DECODE_TIME: Duration = Duration::from_millis(50);

/// Tokens of prompt parts that an engine keeps; its memory also holds running requests.
const KEPT_TOKENS: u32 = 190_000;

/// Interval of the scheduler's ticks.
const TICK: Duration = Duration::from_millis(5);

/// What happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FirstEvent(u64),
    End(u64),
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// Its first event came after this time.
    Served(Duration),
    /// It was refused with this time for a retry.
    Refused(Duration),
}

/// A load that is being played.
pub struct Play {
    pub scheduler: Scheduler,
    pub now: Time,
    /// What became of each request, by its number.
    pub fates: BTreeMap<u64, Fate>,
    requests: HashMap<u64, (Time, GrantRequest)>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    /// When each engine has prefilled all prompts that it has.
    prefilled_at: HashMap<Arc<str>, Time>,
    /// Prompt parts that each engine has prefilled, with their tokens; the most recently used come last.
    cached: HashMap<Arc<str>, Vec<(u64, u32)>>,
    /// Time that work takes at all engines, in percent of the usual time.
    pub slowdown: u64,
    /// Time that work takes at single engines beside that, in percent.
    pub slow_engines: HashMap<Arc<str>, u64>,
}

impl Play {
    pub fn new(scheduler: Scheduler, now: Time) -> Self {
        Self {
            scheduler,
            now,
            fates: BTreeMap::new(),
            requests: HashMap::new(),
            events: BinaryHeap::new(),
            prefilled_at: HashMap::new(),
            cached: HashMap::new(),
            slowdown: 100,
            slow_engines: HashMap::new(),
        }
    }

    /// Sends a request now.
    pub fn send(&mut self, number: u64, request: GrantRequest) {
        let request = GrantRequest { stream: Some(StreamId(number)), ..request };
        self.requests.insert(number, (self.now, request.clone()));
        let actions = self.scheduler.handle_request(key(number), request, self.now);
        self.carry_out(actions);
    }

    /// Lets time pass.
    pub fn pass(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            let tick = (self.now + TICK).min(end);
            while let Some(Reverse((at, event))) = self.events.peek().copied()
                && at <= tick
            {
                self.events.pop();
                self.now = at;
                self.apply(event);
            }
            self.now = tick;
            let actions = self.scheduler.tick(tick);
            self.carry_out(actions);
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::FirstEvent(number) => {
                let since = self.now.since(self.requests[&number].0);
                self.fates.insert(number, Fate::Served(since));
                self.scheduler.record_first_event(&key(number), self.now);
            }
            Event::End(number) => {
                let actions = self.scheduler.handle_outcome(&key(number), Outcome::Whole, self.now);
                self.carry_out(actions);
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Grant(key, grant) => {
                    let tokens = self.tokens_to_prefill(key.number, &grant.endpoint);
                    let slow = self.slow_engines.get(&grant.endpoint).copied().unwrap_or(100);
                    let prefill = tokens * 1_000 / PREFILL_TOKENS_PER_MS * self.slowdown * slow;
                    let free_at = self.prefilled_at.entry(grant.endpoint).or_default();
                    *free_at = (*free_at).max(self.now) + Duration::from_micros(prefill / 10_000);
                    let first_event = *free_at + LATENCY;
                    let end = first_event + DECODE_TIME;
                    self.events.push(Reverse((first_event, Event::FirstEvent(key.number))));
                    self.events.push(Reverse((end, Event::End(key.number))));
                }
                Action::Refuse(key, refusal) => {
                    self.fates.insert(key.number, Fate::Refused(refusal.retry));
                }
                Action::Order { .. } | Action::Report { .. } => {}
            }
        }
    }

    /// Returns the prompt tokens of a request that an engine has not prefilled before, which it will.
    fn tokens_to_prefill(&mut self, number: u64, engine: &Arc<str>) -> u64 {
        let Some(work) = &self.requests[&number].1.work else { return 0 };
        let kept = self.cached.entry(engine.clone()).or_default();
        let parts = work.parts.iter();
        let known = parts.take_while(|(id, _)| kept.iter().any(|(known, _)| known == id));
        let cached: u64 = known.map(|(_, tokens)| u64::from(*tokens)).sum();
        for part in &work.parts {
            kept.retain(|(known, _)| *known != part.0);
            kept.push(*part);
        }
        while kept.iter().map(|(_, tokens)| *tokens).sum::<u32>() > KEPT_TOKENS {
            kept.remove(0);
        }
        work.prompt_tokens - cached
    }

    /// Returns how many of the requests with these numbers were served.
    pub fn served(&self, is_counted: impl Fn(u64) -> bool) -> usize {
        let counted = self.fates.iter().filter(|(number, _)| is_counted(**number));
        counted.filter(|(_, fate)| matches!(fate, Fate::Served(_))).count()
    }

    /// Returns the longest time to a first event of the requests with these numbers.
    pub fn longest(&self, is_counted: impl Fn(u64) -> bool) -> Duration {
        let counted = self.fates.iter().filter(|(number, _)| is_counted(**number));
        let times = counted.filter_map(|(_, fate)| match fate {
            Fate::Served(time) => Some(*time),
            Fate::Refused(_) => None,
        });
        times.max().unwrap_or_default()
    }
}
