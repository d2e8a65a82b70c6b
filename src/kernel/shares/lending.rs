//! One team's part at one instance: its bucket, what it lent and what it borrowed.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Time,
    kernel::quota::{Charge, Demand, TokenBucket},
    names::InstanceId,
    wire::{LoanGrant, LoanRequest},
};

/// Parts into which every team's rate and burst are divided.
pub const TOTAL_PARTS: u32 = 1_000_000;

/// Length of a loan at the borrower, counted from when it asked.
pub const LOAN_TTL: Duration = Duration::from_millis(1_000);

/// Largest deviation of a machine's clock rate.
pub const DRIFT: f64 = 200e-6;

/// Part of its own share that an instance never lends, as a divisor.
const KEPT_DIVISOR: u32 = 32;

/// Factor by which an instance plans above the demand that it sees.
const HEADROOM: f64 = 1.25;

/// Time for which a refused or waiting request raises the wanted part.
const SHORT_MEMORY: Duration = Duration::from_millis(1_000);

/// A team's rate and burst over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamLimits {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens at once.
    pub burst: f64,
}

/// Time between two rounds of asks where the last one brought nothing.
const ROUND_BACKOFF: Duration = Duration::from_millis(400);

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChargeOutcome {
    /// The tokens are taken.
    Taken,
    /// The share is spent; it holds enough after this time without a loan.
    Insufficient(Duration),
    /// The request costs more than the team's burst.
    TooLarge,
}

#[derive(Clone, Debug)]
struct Lent {
    borrower: InstanceId,
    incarnation: u64,
    parts: u32,
    ends: Time,
}

#[derive(Clone, Debug)]
struct Borrowed {
    lender: InstanceId,
    parts: u32,
    ends: Time,
}

#[derive(Clone, Debug)]
struct Asked {
    lender: InstanceId,
    number: u64,
    at: Time,
}

/// One team's part at one instance.
///
/// The lender lowers rate, cap and tokens when it grants and until the period has ended on its own
/// clock. The borrower counts the same period from when it asked, which is earlier, so a part is
/// never used on both sides and a lost message loses tokens.
#[derive(Clone, Debug)]
pub struct TeamShare {
    limits: TeamLimits,
    own: u32,
    lent_parts: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    asked: Vec<Asked>,
    numbers: HashMap<InstanceId, (u64, u64)>,
    bucket: TokenBucket,
    demand: Demand,
    short: Option<(Time, f64)>,
    next: u64,
    round: Time,
    gained: Time,
}

impl TeamShare {
    /// Creates the part of an instance that just started: it holds nothing.
    pub fn empty(now: Time) -> Self {
        Self {
            limits: TeamLimits::default(),
            own: 0,
            lent_parts: Vec::new(),
            borrowed: Vec::new(),
            asked: Vec::new(),
            numbers: HashMap::new(),
            bucket: TokenBucket::empty(0.0, 0.0, now),
            demand: Demand::default(),
            short: None,
            next: 0,
            round: Time::default(),
            gained: now,
        }
    }

    /// Follows the configuration and the table; tokens are never added.
    pub fn configure(&mut self, limits: TeamLimits, own: u32, now: Time) {
        self.advance(now);
        self.limits = limits;
        self.own = own;
        self.resize(now);
    }

    /// Counts a request into the demand; once for each request, whatever becomes of it.
    pub fn record_demand(&mut self, tokens: f64, now: Time) {
        self.demand.add(tokens, now);
    }

    /// Takes the tokens of a request if they are there.
    pub fn charge(&mut self, tokens: f64, now: Time) -> ChargeOutcome {
        self.advance(now);
        if tokens > self.limits.burst {
            return ChargeOutcome::TooLarge;
        }
        let wait = match self.bucket.charge(tokens, now) {
            Charge::Taken => return ChargeOutcome::Taken,
            Charge::Wait(wait) => wait,
            Charge::Never => LOAN_TTL,
        };
        let needed = self.short.map_or(tokens, |(_, known)| known.max(tokens));
        self.short = Some((now + SHORT_MEMORY, needed));
        ChargeOutcome::Insufficient(wait)
    }

    /// Gives back tokens that a request did not use.
    pub fn refund(&mut self, tokens: f64, now: Time) {
        self.advance(now);
        self.bucket.give_back(tokens, now);
    }

    /// Begins a round of asks and returns the parts that are wanted beyond those that last for
    /// another half period; rounds that bring nothing are made less often.
    pub fn begin_round(&mut self, now: Time) -> Option<u32> {
        self.advance(now);
        if self.round > self.gained && now.since(self.round) < ROUND_BACKOFF {
            return None;
        }
        let later = now + LOAN_TTL / 2;
        let borrowed: u32 = self.borrowed_until(later);
        let held = self.own.saturating_sub(self.lent_parts()) + borrowed;
        let wanted = self.needed(now);
        if wanted <= held {
            return None;
        }
        self.round = now;
        Some(wanted - held)
    }

    /// Asks a lender for `parts` more than it lends already.
    pub fn next_loan_request(&mut self, lender: &InstanceId, parts: u32, now: Time) -> LoanRequest {
        self.advance(now);
        self.next += 1;
        let held = self.borrowed_of(lender, now + LOAN_TTL / 2);
        self.asked.retain(|asked| now.since(asked.at) < LOAN_TTL);
        self.asked.push(Asked { lender: lender.clone(), number: self.next, at: now });
        LoanRequest { parts: held + parts, number: self.next, ..LoanRequest::default() }
    }

    /// Grants a loan out of the own part, or an empty one.
    ///
    /// An ask that is not newer than the last one of the same borrower gets nothing, so that a
    /// repeated or late ask moves no tokens twice.
    pub fn grant_loan(&mut self, borrower: &InstanceId, ask: &LoanRequest, now: Time) -> LoanGrant {
        self.advance(now);
        let empty = LoanGrant { number: ask.number, ..LoanGrant::default() };
        let known = self.numbers.get(borrower);
        if known.is_some_and(|known| known.0 == ask.incarnation && known.1 >= ask.number) {
            return empty;
        }
        self.numbers.insert(borrower.clone(), (ask.incarnation, ask.number));
        let already = self.lent_to(borrower, ask.incarnation);
        let parts = ask.parts.min(self.spare(already, now));
        if parts == 0 {
            return empty;
        }
        let tokens = self.tokens_of(parts.saturating_sub(already), now);
        let ends = now + LOAN_TTL.mul_f64(1.0 + 2.0 * DRIFT) + Duration::from_micros(2);
        let borrower = borrower.clone();
        self.lent_parts.push(Lent { borrower, incarnation: ask.incarnation, parts, ends });
        self.bucket.take_out(tokens as f64, now);
        self.resize(now);
        let period_ms = LOAN_TTL.as_millis() as u64;
        LoanGrant { parts, tokens, ttl_ms: period_ms, number: ask.number }
    }

    /// Takes a grant in and returns whether it is still of use.
    pub fn apply_grant(&mut self, lender: &InstanceId, grant: &LoanGrant, now: Time) -> bool {
        self.advance(now);
        let matches = |a: &Asked| a.number == grant.number && a.lender == *lender;
        let Some(position) = self.asked.iter().position(matches) else { return false };
        let asked = self.asked.swap_remove(position);
        let ends = asked.at + Duration::from_millis(grant.ttl_ms);
        if grant.parts == 0 || ends <= now {
            return false;
        }
        self.borrowed.push(Borrowed { lender: lender.clone(), parts: grant.parts, ends });
        self.resize(now);
        self.bucket.give_back(grant.tokens as f64, now);
        self.gained = now;
        true
    }

    /// Returns the parts that the instance may use.
    pub fn held(&mut self, now: Time) -> u32 {
        self.advance(now);
        self.own.saturating_sub(self.lent_parts()) + self.borrowed_until(now)
    }

    /// Returns the parts that are lent.
    pub fn lent_parts(&self) -> u32 {
        let mut borrowers: Vec<_> =
            self.lent_parts.iter().map(|lent| (&lent.borrower, lent.incarnation)).collect();
        borrowers.sort();
        borrowers.dedup();
        borrowers.into_iter().map(|(id, incarnation)| self.lent_to(id, incarnation)).sum()
    }

    /// Returns the tokens that are there.
    pub fn level(&mut self, now: Time) -> f64 {
        self.advance(now);
        self.bucket.level(now)
    }

    /// Forgets all tokens, as after a pause.
    pub fn drain(&mut self, now: Time) {
        self.advance(now);
        let level = self.bucket.level(now);
        self.bucket.take_out(level, now);
    }

    fn lent_to(&self, borrower: &InstanceId, incarnation: u64) -> u32 {
        let same = |lent: &&Lent| lent.borrower == *borrower && lent.incarnation == incarnation;
        self.lent_parts.iter().filter(same).map(|lent| lent.parts).max().unwrap_or(0)
    }

    fn borrowed_of(&self, lender: &InstanceId, until: Time) -> u32 {
        let same = |loan: &&Borrowed| loan.lender == *lender && loan.ends > until;
        self.borrowed.iter().filter(same).map(|loan| loan.parts).max().unwrap_or(0)
    }

    fn borrowed_until(&self, until: Time) -> u32 {
        let mut lenders: Vec<_> = self.borrowed.iter().map(|loan| &loan.lender).collect();
        lenders.sort();
        lenders.dedup();
        lenders.into_iter().map(|lender| self.borrowed_of(lender, until)).sum()
    }

    /// Returns the parts that the demand needs.
    fn needed(&mut self, now: Time) -> u32 {
        if self.short.is_some_and(|(until, _)| until <= now) {
            self.short = None;
        }
        let flow = self.demand.rate(now) * HEADROOM / self.limits.rate.max(1.0);
        let single = self.short.map_or(0.0, |(_, tokens)| tokens / self.limits.burst.max(1.0));
        (flow.max(single).min(1.0) * f64::from(TOTAL_PARTS)).ceil() as u32
    }

    /// Returns the parts that can be lent to a borrower in all, of which it has some already.
    fn spare(&mut self, already: u32, now: Time) -> u32 {
        let kept = self.needed(now).max(self.own / KEPT_DIVISOR);
        let others = self.lent_parts() - already;
        self.own.saturating_sub(others).saturating_sub(kept)
    }

    /// Returns the tokens that go with a part of what is held.
    fn tokens_of(&mut self, parts: u32, now: Time) -> u64 {
        let held = self.held(now).max(1);
        let level = self.bucket.level(now);
        (level * f64::from(parts.min(held)) / f64::from(held)) as u64
    }

    /// Ends the loans whose time has passed, each at its own time.
    fn advance(&mut self, now: Time) {
        while let Some(end) = self.next_end(now) {
            self.lent_parts.retain(|loan| loan.ends > end);
            self.borrowed.retain(|loan| loan.ends > end);
            self.resize(end);
        }
    }

    fn next_end(&self, now: Time) -> Option<Time> {
        let lent = self.lent_parts.iter().map(|loan| loan.ends);
        let ends = lent.chain(self.borrowed.iter().map(|loan| loan.ends));
        ends.filter(|end| *end <= now).min()
    }

    fn resize(&mut self, now: Time) {
        let held = self.own.saturating_sub(self.lent_parts()) + self.borrowed_until(now);
        let part = f64::from(held) / f64::from(TOTAL_PARTS);
        let rate = self.limits.rate * part * (1.0 - DRIFT);
        self.bucket.resize(rate, self.limits.burst * part, now);
    }
}
