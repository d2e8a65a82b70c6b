//! Plays a load: requests that arrive over time, and engines that prefill one prompt after the other.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use cardamomshore::{
    catalog::FetchSpec,
    clock::Time,
    kernel::grants::{Action, Grant, GrantRequest, ModelWork, Outcome, Scheduler, StreamId},
};

use super::fleet::{carry_out_order, key};

/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 40;

/// Time from a grant to the first event beside the prefill.
const LATENCY: Duration = Duration::from_millis(10);

/// Usual time from the first event of a response to its end.
const DECODE_TIME: Duration = Duration::from_millis(50);

/// Tokens of prompt parts that an engine keeps; its memory also holds running requests.
const KEPT_TOKENS: u32 = 190_000;

/// Time until a fetch begins.
const FETCH_SETUP: Duration = Duration::from_millis(5);

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

/// A prompt part as engines cache it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Part {
    model: Arc<str>,
    adapter: Option<Arc<str>>,
    hash: u64,
}

impl Part {
    fn of(work: &ModelWork, hash: u64) -> Self {
        Self { model: work.model.clone(), adapter: work.adapter.clone(), hash }
    }
}

/// A part in the cache of an engine.
struct Kept {
    part: Part,
    tokens: u32,
    /// When its prefill is done.
    done_at: Time,
}

/// Prompt tokens, by how engines got them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reuse {
    /// All tokens.
    pub prompt: u64,
    /// Cached at the engine.
    pub cached: u64,
    /// Fetched from the holder that the grant names.
    pub fetched: u64,
    /// Prefilled for the first time.
    pub new: u64,
    /// Prefilled although another engine held them.
    pub elsewhere: u64,
    /// Prefilled while another engine prefilled them too.
    pub pending: u64,
    /// Prefilled again, since no engine held them any more.
    pub evicted: u64,
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
    /// Prompt parts that each engine has prefilled or will; the most recently used come last.
    cached: HashMap<Arc<str>, Vec<Kept>>,
    /// Parts that were prefilled before.
    seen: HashSet<Part>,
    /// How engines got the prompt tokens.
    pub reuse: Reuse,
    /// How engines fetch from one another; `None` if they do not.
    pub fetch: Option<FetchSpec>,
    /// Whether orders and reports are carried out at once.
    pub carries_out_orders: bool,
    /// Time from the first event of a response to its end.
    pub decode_time: Duration,
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
            seen: HashSet::new(),
            reuse: Reuse::default(),
            fetch: None,
            carries_out_orders: false,
            decode_time: DECODE_TIME,
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
                    let tokens = self.tokens_to_prefill(key.number, &grant);
                    let slow = self.slow_engines.get(&grant.endpoint).copied().unwrap_or(100);
                    let prefill = tokens * 1_000 / PREFILL_TOKENS_PER_MS * self.slowdown * slow;
                    let free_at = self.prefilled_at.entry(grant.endpoint).or_default();
                    *free_at = (*free_at).max(self.now) + Duration::from_micros(prefill / 10_000);
                    let first_event = *free_at + LATENCY;
                    let end = first_event + self.decode_time;
                    self.events.push(Reverse((first_event, Event::FirstEvent(key.number))));
                    self.events.push(Reverse((end, Event::End(key.number))));
                }
                Action::Refuse(key, refusal) => {
                    self.fates.insert(key.number, Fate::Refused(refusal.retry));
                }
                Action::Order { .. } | Action::Report { .. } if !self.carries_out_orders => {}
                Action::Order { .. } | Action::Report { .. } => {
                    carry_out_order(&mut self.scheduler, action, self.now);
                }
            }
        }
    }

    /// Returns the prompt tokens of a request that an engine must prefill, which has them afterwards.
    fn tokens_to_prefill(&mut self, number: u64, grant: &Grant) -> u64 {
        let Some(work) = self.requests[&number].1.work.clone() else { return 0 };
        let engine = &grant.endpoint;
        let cached = self.kept_tokens(engine, &work, None);
        let held = grant.holder.and_then(|holder| self.engine_at(holder));
        let held = held.map_or(0, |holder| self.kept_tokens(&holder, &work, Some(self.now)));
        let fetched = held.saturating_sub(cached).min(work.prompt_tokens - cached);
        self.reuse.prompt += work.prompt_tokens;
        self.reuse.cached += cached;
        self.reuse.fetched += fetched;
        if let Some(spec) = self.fetch.filter(|_| fetched > 0) {
            let free_at = self.prefilled_at.entry(engine.clone()).or_default();
            *free_at = (*free_at).max(self.now + FETCH_SETUP + spec.transfer_time(fetched));
        }
        let mut end = 0;
        for (hash, tokens) in &work.parts {
            end += u64::from(*tokens);
            if end > cached + fetched {
                self.count_prefill(engine, Part::of(&work, *hash), u64::from(*tokens));
            }
        }
        let prefill = work.prompt_tokens - cached - fetched;
        let done_at = self.prefilled_at.get(engine).copied().unwrap_or_default().max(self.now)
            + Duration::from_micros(prefill * 1_000 / PREFILL_TOKENS_PER_MS);
        let kept = self.cached.entry(engine.clone()).or_default();
        for (hash, tokens) in &work.parts {
            let part = Part::of(&work, *hash);
            let old = kept.iter().position(|known| known.part == part).map(|i| kept.remove(i));
            let done_at = old.map_or(done_at, |old| old.done_at.min(done_at));
            kept.push(Kept { part, tokens: *tokens, done_at });
        }
        let mut sum: u32 = kept.iter().map(|kept| kept.tokens).sum();
        let evicted = kept.iter().take_while(|kept| {
            let is_over = sum > KEPT_TOKENS;
            sum -= kept.tokens;
            is_over
        });
        let evicted = evicted.count();
        kept.drain(..evicted);
        prefill
    }

    /// Returns how many leading tokens of a prompt an engine keeps, of those that were prefilled until
    /// `done_by`.
    fn kept_tokens(&self, engine: &str, work: &ModelWork, done_by: Option<Time>) -> u64 {
        let Some(kept) = self.cached.get(engine) else { return 0 };
        let is_kept = |hash: u64| {
            let part = Part::of(work, hash);
            let is_done = |kept: &Kept| done_by.is_none_or(|at| kept.done_at <= at);
            kept.iter().any(|kept| kept.part == part && is_done(kept))
        };
        let known = work.parts.iter().take_while(|(hash, _)| is_kept(*hash));
        known.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Counts a part that an engine prefills, by the reason.
    fn count_prefill(&mut self, engine: &Arc<str>, part: Part, tokens: u64) {
        let others = self.cached.iter().filter(|(other, _)| *other != engine);
        let copies = others.flat_map(|(_, kept)| kept).filter(|kept| kept.part == part);
        let first_copy = copies.map(|kept| kept.done_at).min();
        let is_new = self.seen.insert(part);
        let count = match first_copy {
            _ if is_new => &mut self.reuse.new,
            Some(done_at) if done_at <= self.now => &mut self.reuse.elsewhere,
            Some(_) => &mut self.reuse.pending,
            None => &mut self.reuse.evicted,
        };
        *count += tokens;
    }

    fn engine_at(&self, address: SocketAddr) -> Option<Arc<str>> {
        let engine = self.scheduler.endpoints().find(|engine| engine.info.address == address);
        engine.map(|engine| engine.info.id.clone())
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
