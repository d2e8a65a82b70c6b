//! One team's share at one instance: its token bucket, the parts that it lent and those that it
//! borrowed.
//!
//! Admission charges every request to the share of its team at the entry instance.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Time,
    kernel::quota::{Charge, DemandAverage, TokenBucket},
    names::InstanceId,
    wire::{LoanGrant, LoanRequest},
};

/// Number of parts into which every team's rate and burst are divided.
pub const TOTAL_PARTS: u32 = 1_000_000;

/// Time for which the borrower uses a loan, counted from when it sent the request.
pub const LOAN_TTL: Duration = Duration::from_millis(1_000);

/// Largest relative deviation of a clock's rate from real time.
pub const MAX_CLOCK_DRIFT: f64 = 200e-6;

/// Divisor of the instance's own parts that gives the parts it never lends.
const RESERVED_DIVISOR: u32 = 32;

/// Factor by which the parts that an instance plans to hold exceed its demand.
const DEMAND_HEADROOM: f64 = 1.25;

/// Time for which a request that found too few tokens raises the number of parts to hold.
const SHORTAGE_TTL: Duration = Duration::from_millis(1_000);

/// A team's rate and burst over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamLimits {
    /// Tokens per second.
    pub rate: f64,
    /// Largest number of tokens that can be spent at once.
    pub burst: f64,
}

/// Shortest time between two rounds of loan requests if the last round brought no loan.
const ROUND_BACKOFF: Duration = Duration::from_millis(400);

/// The outcome of an attempt to charge a request to a team's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChargeOutcome {
    /// The tokens were taken.
    Taken,
    /// The share holds too few tokens. After this time it holds enough, or, if the request exceeds
    /// the share's burst, a loan may have arrived.
    Insufficient(Duration),
    /// The request costs more than the team's burst.
    TooLarge,
}

/// A loan that this instance granted.
#[derive(Clone, Debug)]
struct LentLoan {
    borrower: InstanceId,
    /// Incarnation of the borrower's process.
    incarnation: u64,
    parts: u32,
    /// When the parts return to this instance.
    ends_at: Time,
}

/// A loan that this instance received.
#[derive(Clone, Debug)]
struct BorrowedLoan {
    lender: InstanceId,
    parts: u32,
    /// When this instance must stop using the parts.
    ends_at: Time,
}

/// A loan request to which no grant has arrived.
#[derive(Clone, Debug)]
struct PendingRequest {
    lender: InstanceId,
    number: u64,
    sent_at: Time,
}

/// One team's share at one instance.
///
/// When a lender grants a loan, it lowers its rate, burst and tokens until the loan's TTL has
/// passed on its own clock. The borrower counts the same TTL from the earlier time at which it sent
/// the request. No part is therefore ever used on both sides, and a lost message can only lose
/// tokens.
#[derive(Clone, Debug)]
pub struct TeamShare {
    limits: TeamLimits,
    /// Parts that the instance owns by the share table.
    own_parts: u32,
    /// Loans to other instances. Loans to the same process overlap: only the largest counts.
    lent: Vec<LentLoan>,
    /// Loans from other instances. Loans of the same lender overlap: only the largest counts.
    borrowed: Vec<BorrowedLoan>,
    pending: Vec<PendingRequest>,
    /// Incarnation and number of the last request of each borrower.
    last_requests: HashMap<InstanceId, (u64, u64)>,
    bucket: TokenBucket,
    demand: DemandAverage,
    /// When the last shortage of tokens no longer counts, and the cost of the largest request that
    /// found too few.
    shortage: Option<(Time, f64)>,
    /// Number of the last loan request that this instance sent.
    last_number: u64,
    /// When the last round of loan requests began.
    round_at: Time,
    /// When a loan was last received.
    borrowed_at: Time,
}

impl TeamShare {
    /// Creates the share of an instance that just started, which holds no parts and no tokens.
    pub fn empty(now: Time) -> Self {
        Self {
            limits: TeamLimits::default(),
            own_parts: 0,
            lent: Vec::new(),
            borrowed: Vec::new(),
            pending: Vec::new(),
            last_requests: HashMap::new(),
            bucket: TokenBucket::empty(0.0, 0.0, now),
            demand: DemandAverage::default(),
            shortage: None,
            last_number: 0,
            round_at: Time::default(),
            borrowed_at: now,
        }
    }

    /// Sets the team's limits and the parts that the instance owns, without adding tokens.
    pub fn configure(&mut self, limits: TeamLimits, own_parts: u32, now: Time) {
        self.expire_loans(now);
        self.limits = limits;
        self.own_parts = own_parts;
        self.resize_bucket(now);
    }

    /// Adds a request to the demand.
    ///
    /// The caller does this once for each request, whether it is admitted or not.
    pub fn record_demand(&mut self, tokens: f64, now: Time) {
        self.demand.record(tokens, now);
    }

    /// Takes the tokens of a request if the share holds as many.
    pub fn charge(&mut self, tokens: f64, now: Time) -> ChargeOutcome {
        self.expire_loans(now);
        if tokens > self.limits.burst {
            return ChargeOutcome::TooLarge;
        }
        let wait = match self.bucket.charge(tokens, now) {
            Charge::Taken => return ChargeOutcome::Taken,
            Charge::Wait(wait) => wait,
            Charge::Never => LOAN_TTL,
        };
        let largest = self.shortage.map_or(tokens, |(_, known)| known.max(tokens));
        self.shortage = Some((now + SHORTAGE_TTL, largest));
        ChargeOutcome::Insufficient(wait)
    }

    /// Returns tokens that a request did not use to the share.
    pub fn refund(&mut self, tokens: f64, now: Time) {
        self.expire_loans(now);
        self.bucket.refund(tokens, now);
    }

    /// Begins a round of loan requests and returns the number of parts to borrow.
    ///
    /// Loans that end within half a TTL are counted as ended, so that they are renewed in time.
    /// Returns `None` if no parts are needed, or if the backoff after a round without a loan has
    /// not passed.
    pub fn begin_round(&mut self, now: Time) -> Option<u32> {
        self.expire_loans(now);
        if self.round_at > self.borrowed_at && now.since(self.round_at) < ROUND_BACKOFF {
            return None;
        }
        let later = now + LOAN_TTL / 2;
        let borrowed: u32 = self.borrowed_parts(later);
        let held = self.own_parts.saturating_sub(self.lent_parts()) + borrowed;
        let needed = self.needed_parts(now);
        if needed <= held {
            return None;
        }
        self.round_at = now;
        Some(needed - held)
    }

    /// Returns a request to a lender for `parts` more than it lends already.
    pub fn next_loan_request(&mut self, lender: &InstanceId, parts: u32, now: Time) -> LoanRequest {
        self.expire_loans(now);
        self.last_number += 1;
        let held = self.parts_borrowed_from(lender, now + LOAN_TTL / 2);
        self.pending.retain(|request| now.since(request.sent_at) < LOAN_TTL);
        self.pending.push(PendingRequest {
            lender: lender.clone(),
            number: self.last_number,
            sent_at: now,
        });
        LoanRequest { parts: held + parts, number: self.last_number, ..LoanRequest::default() }
    }

    /// Returns the grant for a loan request, which may be empty.
    ///
    /// Parts are lent out of those that the instance owns. A request that is not newer than the
    /// last one of the same borrower gets no parts, so that a duplicate or delayed request does not
    /// move tokens a second time.
    pub fn grant_loan(
        &mut self,
        borrower: &InstanceId,
        request: &LoanRequest,
        now: Time,
    ) -> LoanGrant {
        self.expire_loans(now);
        let empty = LoanGrant { number: request.number, ..LoanGrant::default() };
        let known = self.last_requests.get(borrower);
        if known.is_some_and(|known| known.0 == request.incarnation && known.1 >= request.number) {
            return empty;
        }
        self.last_requests.insert(borrower.clone(), (request.incarnation, request.number));
        let already_lent = self.parts_lent_to(borrower, request.incarnation);
        let parts = request.parts.min(self.lendable_parts(already_lent, now));
        if parts == 0 {
            return empty;
        }
        let tokens = self.tokens_for(parts.saturating_sub(already_lent), now);
        // The lender's clock may run fast and the borrower's slow, each by the largest drift.
        let ends_at =
            now + LOAN_TTL.mul_f64(1.0 + 2.0 * MAX_CLOCK_DRIFT) + Duration::from_micros(2);
        let borrower = borrower.clone();
        self.lent.push(LentLoan { borrower, incarnation: request.incarnation, parts, ends_at });
        self.bucket.remove(tokens as f64, now);
        self.resize_bucket(now);
        let ttl_ms = LOAN_TTL.as_millis() as u64;
        LoanGrant { parts, tokens, ttl_ms, number: request.number }
    }

    /// Applies a grant, and returns whether it lends any parts and its TTL has not passed.
    pub fn apply_grant(&mut self, lender: &InstanceId, grant: &LoanGrant, now: Time) -> bool {
        self.expire_loans(now);
        let matches =
            |pending: &PendingRequest| pending.number == grant.number && pending.lender == *lender;
        let Some(position) = self.pending.iter().position(matches) else { return false };
        let request = self.pending.swap_remove(position);
        let ends_at = request.sent_at + Duration::from_millis(grant.ttl_ms);
        if grant.parts == 0 || ends_at <= now {
            return false;
        }
        self.borrowed.push(BorrowedLoan { lender: lender.clone(), parts: grant.parts, ends_at });
        self.resize_bucket(now);
        self.bucket.refund(grant.tokens as f64, now);
        self.borrowed_at = now;
        true
    }

    /// Returns the number of parts that the instance may use at `now`.
    pub fn held_parts(&mut self, now: Time) -> u32 {
        self.expire_loans(now);
        self.own_parts.saturating_sub(self.lent_parts()) + self.borrowed_parts(now)
    }

    /// Returns the number of parts that are lent to other instances.
    pub fn lent_parts(&self) -> u32 {
        let mut borrowers: Vec<_> =
            self.lent.iter().map(|loan| (&loan.borrower, loan.incarnation)).collect();
        borrowers.sort();
        borrowers.dedup();
        borrowers.into_iter().map(|(id, incarnation)| self.parts_lent_to(id, incarnation)).sum()
    }

    /// Returns the number of tokens that the share holds at `now`.
    pub fn level(&mut self, now: Time) -> f64 {
        self.expire_loans(now);
        self.bucket.level(now)
    }

    /// Removes all tokens, for example after a pause of the process.
    pub fn drain(&mut self, now: Time) {
        self.expire_loans(now);
        let level = self.bucket.level(now);
        self.bucket.remove(level, now);
    }

    /// Returns the number of parts that are lent to one process of a borrower.
    fn parts_lent_to(&self, borrower: &InstanceId, incarnation: u64) -> u32 {
        let matches =
            |loan: &&LentLoan| loan.borrower == *borrower && loan.incarnation == incarnation;
        self.lent.iter().filter(matches).map(|loan| loan.parts).max().unwrap_or(0)
    }

    /// Returns the number of parts that a lender lends beyond the time `until`.
    fn parts_borrowed_from(&self, lender: &InstanceId, until: Time) -> u32 {
        let matches = |loan: &&BorrowedLoan| loan.lender == *lender && loan.ends_at > until;
        self.borrowed.iter().filter(matches).map(|loan| loan.parts).max().unwrap_or(0)
    }

    /// Returns the number of parts that are borrowed beyond the time `until`.
    fn borrowed_parts(&self, until: Time) -> u32 {
        let mut lenders: Vec<_> = self.borrowed.iter().map(|loan| &loan.lender).collect();
        lenders.sort();
        lenders.dedup();
        lenders.into_iter().map(|lender| self.parts_borrowed_from(lender, until)).sum()
    }

    /// Returns the number of parts needed for the demand and for a recent request that found too
    /// few tokens.
    fn needed_parts(&mut self, now: Time) -> u32 {
        if self.shortage.is_some_and(|(until, _)| until <= now) {
            self.shortage = None;
        }
        let rate_fraction = self.demand.rate(now) * DEMAND_HEADROOM / self.limits.rate.max(1.0);
        let burst_fraction =
            self.shortage.map_or(0.0, |(_, tokens)| tokens / self.limits.burst.max(1.0));
        (rate_fraction.max(burst_fraction).min(1.0) * f64::from(TOTAL_PARTS)).ceil() as u32
    }

    /// Returns the total number of parts that can be lent to a borrower.
    ///
    /// The borrower holds `already_lent` of them.
    fn lendable_parts(&mut self, already_lent: u32, now: Time) -> u32 {
        let reserved = self.needed_parts(now).max(self.own_parts / RESERVED_DIVISOR);
        let lent_to_others = self.lent_parts() - already_lent;
        self.own_parts.saturating_sub(lent_to_others).saturating_sub(reserved)
    }

    /// Returns the number of tokens that belong to `parts` of the parts held.
    fn tokens_for(&mut self, parts: u32, now: Time) -> u64 {
        let held = self.held_parts(now).max(1);
        let level = self.bucket.level(now);
        (level * f64::from(parts.min(held)) / f64::from(held)) as u64
    }

    /// Ends the loans that expired by `now`, and refills the bucket up to the end of each one.
    fn expire_loans(&mut self, now: Time) {
        while let Some(end) = self.next_expiry(now) {
            self.lent.retain(|loan| loan.ends_at > end);
            self.borrowed.retain(|loan| loan.ends_at > end);
            self.resize_bucket(end);
        }
    }

    /// Returns the earliest end of a loan that expired by `now`.
    fn next_expiry(&self, now: Time) -> Option<Time> {
        let lent = self.lent.iter().map(|loan| loan.ends_at);
        let ends = lent.chain(self.borrowed.iter().map(|loan| loan.ends_at));
        ends.filter(|end| *end <= now).min()
    }

    /// Sets the bucket's rate and burst from the parts held.
    ///
    /// The rate is reduced by the largest clock drift, so that a fast clock does not exceed the
    /// team's rate.
    fn resize_bucket(&mut self, now: Time) {
        let held = self.own_parts.saturating_sub(self.lent_parts()) + self.borrowed_parts(now);
        let fraction = f64::from(held) / f64::from(TOTAL_PARTS);
        let rate = self.limits.rate * fraction * (1.0 - MAX_CLOCK_DRIFT);
        self.bucket.resize(rate, self.limits.burst * fraction, now);
    }
}
