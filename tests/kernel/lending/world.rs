//! Instances with shares of one team's rate, in virtual time, with fakes for the links between them
//! and for the share table.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::{
        quota::{Charge, TokenBucket},
        shares::{
            ChargeOutcome, LOAN_TTL, Membership, Owner, ShareTable, ShareTableView, Step,
            TOTAL_PARTS, TeamLimits, TeamShare,
        },
    },
    names::InstanceId,
    wire::{LoanGrant, LoanRequest},
};

/// The team's limits.
pub const LIMITS: TeamLimits = TeamLimits { rate: 9_000.0, burst: 18_000.0 };
/// The team's limits after a change of the configuration.
pub const HALVED_LIMITS: TeamLimits = TeamLimits { rate: 4_500.0, burst: 9_000.0 };
/// Time between two steps of the world, unless a test sets another.
pub const STEP: Duration = Duration::from_millis(50);
/// Time between two steps in the fault matrix.
pub const MATRIX_STEP: Duration = Duration::from_millis(100);
/// Time between two steps while the fault matrix settles.
pub const COARSE_STEP: Duration = Duration::from_millis(1_000);
/// Time between two rounds of loan requests.
pub const BORROW_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reads of the table by an instance.
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Clock of each instance: the deviation of its rate in millionths, and its start in microseconds.
pub const CLOCKS: [(i64, u64); 3] = [(200, 70_000_000), (-200, 11_000_000), (0, 999_000_000)];

/// One instance, which decides by its own clock.
pub struct Instance {
    pub owner: Owner,
    /// Deviation of the clock's rate, in millionths, and its start, in microseconds.
    pub clock: (i64, u64),
    pub table_view: ShareTableView,
    pub share: TeamShare,
    /// The team's limits in the instance's configuration.
    pub limits: TeamLimits,
    pub paused: bool,
    /// Whether the process has ended.
    pub dead: bool,
    /// Whether the instance reaches neither the service nor the other instances.
    pub cut_off: bool,
}

/// A message between two instances.
#[derive(Clone)]
pub enum Message {
    Request {
        from: usize,
        to: usize,
        request: LoanRequest,
    },
    /// The grant, with the incarnation of the borrower that requested it.
    Grant {
        from: usize,
        to: usize,
        incarnation: u64,
        grant: LoanGrant,
    },
}

/// The instances, the share table, the messages, and the tokens that were admitted.
pub struct World {
    pub now: Time,
    /// Time between two steps of the world.
    pub step: Duration,
    pub instances: Vec<Instance>,
    /// The table at the service and its revision.
    pub table: (ShareTable, i64),
    /// Whether each instance is in the platform's list.
    pub listed: Vec<bool>,
    pub service_down: bool,
    /// Messages that were sent and have not arrived, with the time of arrival.
    pub in_flight: Vec<(Time, Message)>,
    pub lose_messages: bool,
    pub duplicate_messages: bool,
    pub delay_messages: bool,
    /// Token bucket with the whole team's limits. All instances together may admit no more tokens
    /// than this bucket holds.
    pub team_bucket: TokenBucket,
    pub admitted_tokens: f64,
    pub requested_tokens: f64,
    /// Rule that was broken, or `None` if none was.
    pub violation: Option<String>,
}

/// Returns the owner for a process of an instance.
pub fn owner(index: usize, incarnation: u64) -> Owner {
    Owner {
        instance: InstanceId::from(format!("i-{index}")),
        incarnation,
        address: format!("10.0.0.{index}:7000").parse().expect("an address"),
    }
}

impl Instance {
    pub fn new(index: usize, incarnation: u64, now: Time) -> Self {
        let clock = CLOCKS[index % CLOCKS.len()];
        let local = local_time(clock, now);
        let owner = owner(index, incarnation);
        Self {
            table_view: ShareTableView::new(owner.clone(), local),
            owner,
            clock,
            share: TeamShare::empty(local),
            limits: LIMITS,
            paused: false,
            dead: false,
            cut_off: false,
        }
    }

    /// Returns whether the instance's process runs.
    pub fn may_act(&self) -> bool {
        !self.paused && !self.dead
    }
}

/// Returns the time that a clock shows at `now`.
pub fn local_time((ppm, start): (i64, u64), now: Time) -> Time {
    Time((now.0 as i64 + now.0 as i64 * ppm / 1_000_000) as u64 + start)
}

impl World {
    pub fn new(count: usize) -> Self {
        let now = Time::from_millis(1_000);
        // Every instance starts without tokens, so the team's bucket starts empty too.
        let team_bucket = TokenBucket::empty(LIMITS.rate, LIMITS.burst, now);
        Self {
            now,
            step: STEP,
            instances: (0..count)
                .map(|index| Instance::new(index, index as u64 + 1, now))
                .collect(),
            table: (ShareTable::default(), 1),
            listed: vec![true; count],
            service_down: false,
            in_flight: Vec::new(),
            lose_messages: false,
            duplicate_messages: false,
            delay_messages: false,
            team_bucket,
            admitted_tokens: 0.0,
            requested_tokens: 0.0,
            violation: None,
        }
    }

    /// Returns the time that an instance's clock shows.
    pub fn local_time(&self, index: usize) -> Time {
        local_time(self.instances[index].clock, self.now)
    }

    /// Returns what an instance knows of the other instances.
    pub fn membership(&self, index: usize) -> Membership {
        let ids = (0..self.instances.len()).filter(|i| self.listed[*i]);
        let listed: std::collections::BTreeSet<_> =
            ids.map(|i| self.instances[i].owner.instance.clone()).collect();
        let majority = !self.instances[index].cut_off;
        Membership { live: listed.clone(), listed, majority }
    }

    /// Lets an instance read the table, write its next step and update its share.
    pub fn maintain(&mut self, index: usize) {
        if !self.instances[index].may_act() {
            return;
        }
        let now = self.local_time(index);
        let reaches_service = !self.service_down && !self.instances[index].cut_off;
        if reaches_service {
            let (table, revision) = self.table.clone();
            self.instances[index].table_view.apply_table(table, revision, now, now);
            let lent = self.instances[index].share.lent_parts();
            let membership = self.membership(index);
            let step = self.instances[index].table_view.next_step(&membership, lent, now);
            if step != Step::Keep {
                self.write(index, &step, now);
            }
        }
        self.update_share(index);
    }

    /// Writes an instance's step to the table.
    pub fn write(&mut self, index: usize, step: &Step, now: Time) {
        self.instances[index].table_view.begin_step(step);
        self.update_share(index);
        let next = self.table.0.with_step(&self.instances[index].owner, step);
        self.table = (next.clone(), self.table.1 + 1);
        self.instances[index].table_view.apply_table(next, self.table.1, now, now);
    }

    /// Configures an instance's share with the parts that it may use now.
    pub fn update_share(&mut self, index: usize) {
        let now = self.local_time(index);
        // An instance that is cut off cannot know that the service is down for the others too.
        let service_down = self.service_down && !self.instances[index].cut_off;
        let instance = &mut self.instances[index];
        let parts = instance.table_view.usable_parts(service_down, now);
        instance.share.configure(instance.limits, parts, now);
    }

    /// Sends a request of `tokens` to an instance and returns whether it was admitted.
    ///
    /// Records a violation if the team's bucket holds too few tokens for an admitted request.
    pub fn send_request(&mut self, index: usize, tokens: f64) -> bool {
        if !self.instances[index].may_act() {
            return false;
        }
        self.update_share(index);
        let now = self.local_time(index);
        self.requested_tokens += tokens;
        let share = &mut self.instances[index].share;
        share.record_demand(tokens, now);
        if share.charge(tokens, now) != ChargeOutcome::Taken {
            return false;
        }
        self.admitted_tokens += tokens;
        if self.team_bucket.charge(tokens - 1e-3, self.now) != Charge::Taken {
            let level = self.team_bucket.level(self.now);
            self.violation = Some(format!("instance {index} admitted {tokens} with {level} left"));
        }
        true
    }

    /// Lets an instance request loans from all others if it needs parts.
    pub fn request_loans(&mut self, index: usize) {
        if !self.instances[index].may_act() {
            return;
        }
        let now = self.local_time(index);
        let Some(needed) = self.instances[index].share.begin_round(now) else { return };
        let others: Vec<usize> =
            (0..self.instances.len()).filter(|other| *other != index).collect();
        for to in &others {
            let lender = self.instances[*to].owner.instance.clone();
            let parts = needed.div_ceil(others.len() as u32);
            let request = self.instances[index].share.next_loan_request(&lender, parts, now);
            let incarnation = self.instances[index].owner.incarnation;
            let request = LoanRequest { incarnation, ..request };
            self.send_message(Message::Request { from: index, to: *to, request });
        }
    }

    /// Sends a message, subject to the faults of the links.
    pub fn send_message(&mut self, message: Message) {
        if self.lose_messages {
            return;
        }
        let delay =
            if self.delay_messages { LOAN_TTL.mul_f64(0.9) } else { Duration::from_millis(2) };
        self.in_flight.push((self.now + delay, message.clone()));
        if self.duplicate_messages {
            self.in_flight.push((self.now + delay + STEP, message));
        }
    }

    /// Delivers the messages that are due.
    pub fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in due {
            match message {
                Message::Request { from, to, request } => {
                    self.handle_loan_request(from, to, &request)
                }
                Message::Grant { from, to, incarnation, grant } => {
                    self.handle_grant(from, to, incarnation, &grant);
                }
            }
        }
    }

    /// Lets an instance reply to a loan request.
    pub fn handle_loan_request(&mut self, from: usize, to: usize, request: &LoanRequest) {
        if self.instances[to].dead || self.instances[from].cut_off || self.instances[to].cut_off {
            return;
        }
        if self.instances[to].paused {
            // A message to a paused process waits in its socket until the process runs again.
            let message = Message::Request { from, to, request: request.clone() };
            return self.in_flight.push((self.now + STEP, message));
        }
        self.update_share(to);
        let now = self.local_time(to);
        let borrower = self.instances[from].owner.instance.clone();
        let grant = self.instances[to].share.grant_loan(&borrower, request, now);
        let incarnation = request.incarnation;
        self.send_message(Message::Grant { from: to, to: from, incarnation, grant });
    }

    /// Lets an instance apply a grant, unless it was requested by an earlier process.
    pub fn handle_grant(&mut self, from: usize, to: usize, incarnation: u64, grant: &LoanGrant) {
        let instance = &self.instances[to];
        if instance.dead || instance.cut_off || instance.owner.incarnation != incarnation {
            return;
        }
        if instance.paused {
            let grant = grant.clone();
            let message = Message::Grant { from, to, incarnation, grant };
            return self.in_flight.push((self.now + STEP, message));
        }
        let now = self.local_time(to);
        let lender = self.instances[from].owner.instance.clone();
        self.instances[to].share.apply_grant(&lender, grant, now);
    }

    /// Runs the world for a time.
    ///
    /// `load` gives the tokens per second that each instance gets in requests of `size` tokens.
    pub fn run(&mut self, length: Duration, load: &[f64], size: f64) {
        let end = self.now + length;
        let mut pending_tokens = vec![0.0; self.instances.len()];
        let (mut borrowed_at, mut maintained_at) = (self.now, self.now);
        while self.now < end {
            self.now = self.now + self.step;
            self.deliver();
            let borrow_due = self.now.since(borrowed_at) >= BORROW_INTERVAL;
            let maintenance_due = self.now.since(maintained_at) >= MAINTENANCE_INTERVAL;
            borrowed_at = if borrow_due { self.now } else { borrowed_at };
            maintained_at = if maintenance_due { self.now } else { maintained_at };
            for (index, pending) in pending_tokens.iter_mut().enumerate() {
                *pending += load.get(index).copied().unwrap_or(0.0) * self.step.as_secs_f64();
                while *pending >= size {
                    *pending -= size;
                    self.send_request(index, size);
                }
                if borrow_due {
                    self.request_loans(index);
                }
                if maintenance_due {
                    self.maintain(index);
                }
            }
            if self.violation.is_none() {
                self.violation = self.overcommitted();
            }
        }
    }

    /// Replaces the process of an instance by a new one at the same address.
    pub fn replace(&mut self, index: usize) {
        let now = self.now;
        let incarnation = self.instances[index].owner.incarnation + 100;
        self.instances[index] = Instance::new(index, incarnation, now);
    }

    /// Returns the parts in use if they exceed the total. The parts of paused instances count.
    pub fn overcommitted(&self) -> Option<String> {
        let alive = (0..self.instances.len()).filter(|index| !self.instances[*index].dead);
        let held = alive.map(|index| {
            let now = self.local_time(index);
            let instance = &self.instances[index];
            let mut share = instance.share.clone();
            let parts = instance
                .table_view
                .clone()
                .usable_parts(self.service_down && !instance.cut_off, now);
            share.configure(instance.limits, parts, now);
            share.held_parts(now)
        });
        let held: Vec<u32> = held.collect();
        let is_exceeded = held.iter().sum::<u32>() > TOTAL_PARTS;
        is_exceeded.then(|| format!("parts in use exceed {TOTAL_PARTS}: {held:?}"))
    }

    pub fn check(&self) -> Result<(), String> {
        match &self.violation {
            None => Ok(()),
            Some(reason) => Err(reason.clone()),
        }
    }
}
