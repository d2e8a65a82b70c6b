//! Plays a load: requests that arrive over time, and engines that prefill one prompt after the other.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use cardamomshore::{
    clock::Time,
    kernel::grants::{Action, GrantRequest, Outcome, Scheduler},
};

use super::fleet::key;

/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 40;

/// Time from the first event of a response to its end.
const DECODE_TIME: Duration = Duration::from_millis(50);

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
    /// Factor by which the engines are slower than usual.
    pub slowdown: u64,
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
            slowdown: 1,
        }
    }

    /// Sends a request now.
    pub fn send(&mut self, number: u64, request: GrantRequest) {
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
                    let work = self.requests[&key.number].1.work.as_ref();
                    let tokens = work.map_or(0, |work| work.prompt_tokens);
                    let free_at = self.prefilled_at.entry(grant.endpoint).or_default();
                    let prefill = tokens / PREFILL_TOKENS_PER_MS * self.slowdown;
                    *free_at = (*free_at).max(self.now) + Duration::from_millis(prefill);
                    let end = *free_at + DECODE_TIME;
                    self.events.push(Reverse((*free_at, Event::FirstEvent(key.number))));
                    self.events.push(Reverse((end, Event::End(key.number))));
                }
                Action::Refuse(key, refusal) => {
                    self.fates.insert(key.number, Fate::Refused(refusal.retry));
                }
                Action::Order { .. } | Action::Report { .. } => {}
            }
        }
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
