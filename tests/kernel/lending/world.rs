//! Instances with shares and loans under virtual time, with fakes for the links and the table.

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

pub const LIMITS: TeamLimits = TeamLimits { rate: 9_000.0, burst: 18_000.0 };
pub const HALVED_LIMITS: TeamLimits = TeamLimits { rate: 4_500.0, burst: 9_000.0 };
pub const STEP: Duration = Duration::from_millis(50);
pub const MATRIX_STEP: Duration = Duration::from_millis(100);
pub const COARSE_STEP: Duration = Duration::from_millis(1_000);
pub const BORROW_INTERVAL: Duration = Duration::from_millis(250);
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Clock deviation of each node in millionths, with a random start.
pub const CLOCKS: [(i64, u64); 3] = [(200, 70_000_000), (-200, 11_000_000), (0, 999_000_000)];

/// One instance; it decides on its own clock.
pub struct Instance {
    pub owner: Owner,
    pub clock: (i64, u64),
    pub table_view: ShareTableView,
    pub share: TeamShare,
    pub limits: TeamLimits,
    pub paused: bool,
    pub dead: bool,
    pub cut_off: bool,
}

/// A message that is under way.
#[derive(Clone)]
pub enum Message {
    Request { from: usize, to: usize, ask: LoanRequest },
    Grant { from: usize, to: usize, incarnation: u64, grant: LoanGrant },
}

/// Three instances, the platform's table and what was admitted.
pub struct World {
    pub now: Time,
    pub step: Duration,
    pub instances: Vec<Instance>,
    pub table: (ShareTable, i64),
    pub listed: Vec<bool>,
    pub service_down: bool,
    pub in_flight: Vec<(Time, Message)>,
    pub lose_messages: bool,
    pub duplicate_messages: bool,
    pub delay_messages: bool,
    pub team_bucket: TokenBucket,
    pub admitted_tokens: f64,
    pub requested_tokens: f64,
    pub violation: Option<String>,
}

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

    pub fn may_act(&self) -> bool {
        !self.paused && !self.dead
    }
}

pub fn local_time((ppm, start): (i64, u64), now: Time) -> Time {
    Time((now.0 as i64 + now.0 as i64 * ppm / 1_000_000) as u64 + start)
}

impl World {
    pub fn new(count: usize) -> Self {
        let now = Time::from_millis(1_000);
        // Every instance starts empty, and so does the bucket that all of them together keep to.
        let bound = TokenBucket::empty(LIMITS.rate, LIMITS.burst, now);
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
            team_bucket: bound,
            admitted_tokens: 0.0,
            requested_tokens: 0.0,
            violation: None,
        }
    }

    pub fn local_time(&self, index: usize) -> Time {
        local_time(self.instances[index].clock, self.now)
    }

    pub fn membership(&self, index: usize) -> Membership {
        let ids = (0..self.instances.len()).filter(|i| self.listed[*i]);
        let listed: std::collections::BTreeSet<_> =
            ids.map(|i| self.instances[i].owner.instance.clone()).collect();
        let majority = !self.instances[index].cut_off;
        Membership { live: listed.clone(), listed, majority }
    }

    /// One instance reads the table, writes its next step and follows its part.
    pub fn maintain(&mut self, index: usize) {
        if !self.instances[index].may_act() {
            return;
        }
        let now = self.local_time(index);
        let reachable = !self.service_down && !self.instances[index].cut_off;
        if reachable {
            let (table, revision) = self.table.clone();
            self.instances[index].table_view.apply_table(table, revision, now, now);
            let lent = self.instances[index].share.lent_parts();
            let census = self.membership(index);
            let step = self.instances[index].table_view.next_step(&census, lent, now);
            if step != Step::Keep {
                self.write(index, &step, now);
            }
        }
        self.update_share(index);
    }

    pub fn write(&mut self, index: usize, step: &Step, now: Time) {
        self.instances[index].table_view.begin_step(step);
        self.update_share(index);
        let next = self.table.0.with_step(&self.instances[index].owner, step);
        self.table = (next.clone(), self.table.1 + 1);
        self.instances[index].table_view.apply_table(next, self.table.1, now, now);
    }

    pub fn update_share(&mut self, index: usize) {
        let now = self.local_time(index);
        // Nobody can write while the service is down; an instance that is cut off cannot know it.
        let down = self.service_down && !self.instances[index].cut_off;
        let node = &mut self.instances[index];
        let parts = node.table_view.usable_parts(down, now);
        node.share.configure(node.limits, parts, now);
    }

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

    /// One instance asks all others for what it wants.
    pub fn request_loans(&mut self, index: usize) {
        if !self.instances[index].may_act() {
            return;
        }
        let now = self.local_time(index);
        let Some(wanted) = self.instances[index].share.begin_round(now) else { return };
        let others: Vec<usize> =
            (0..self.instances.len()).filter(|other| *other != index).collect();
        for to in &others {
            let lender = self.instances[*to].owner.instance.clone();
            let parts = wanted.div_ceil(others.len() as u32);
            let ask = self.instances[index].share.next_loan_request(&lender, parts, now);
            let incarnation = self.instances[index].owner.incarnation;
            let ask = LoanRequest { incarnation, ..ask };
            self.send_message(Message::Request { from: index, to: *to, ask });
        }
    }

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

    pub fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in due {
            match message {
                Message::Request { from, to, ask } => self.handle_loan_request(from, to, &ask),
                Message::Grant { from, to, incarnation, grant } => {
                    self.handle_grant(from, to, incarnation, &grant);
                }
            }
        }
    }

    pub fn handle_loan_request(&mut self, from: usize, to: usize, ask: &LoanRequest) {
        if self.instances[to].dead || self.instances[from].cut_off || self.instances[to].cut_off {
            return;
        }
        if self.instances[to].paused {
            // What waits in the socket of a paused process is read when it runs again.
            let message = Message::Request { from, to, ask: ask.clone() };
            return self.in_flight.push((self.now + STEP, message));
        }
        self.update_share(to);
        let now = self.local_time(to);
        let borrower = self.instances[from].owner.instance.clone();
        let grant = self.instances[to].share.grant_loan(&borrower, ask, now);
        let incarnation = ask.incarnation;
        self.send_message(Message::Grant { from: to, to: from, incarnation, grant });
    }

    pub fn handle_grant(&mut self, from: usize, to: usize, incarnation: u64, grant: &LoanGrant) {
        let node = &self.instances[to];
        if node.dead || node.cut_off || node.owner.incarnation != incarnation {
            return;
        }
        if node.paused {
            let grant = grant.clone();
            let message = Message::Grant { from, to, incarnation, grant };
            return self.in_flight.push((self.now + STEP, message));
        }
        let now = self.local_time(to);
        let lender = self.instances[from].owner.instance.clone();
        self.instances[to].share.apply_grant(&lender, grant, now);
    }

    /// Runs for a time; `load` gives each instance's tokens a second in requests of `size`.
    pub fn run(&mut self, length: Duration, load: &[f64], size: f64) {
        let end = self.now + length;
        let mut due = vec![0.0; self.instances.len()];
        let (mut borrowing, mut tending) = (self.now, self.now);
        while self.now < end {
            self.now = self.now + self.step;
            self.deliver();
            let borrow = self.now.since(borrowing) >= BORROW_INTERVAL;
            let tend = self.now.since(tending) >= MAINTENANCE_INTERVAL;
            borrowing = if borrow { self.now } else { borrowing };
            tending = if tend { self.now } else { tending };
            for (index, due) in due.iter_mut().enumerate() {
                *due += load.get(index).copied().unwrap_or(0.0) * self.step.as_secs_f64();
                while *due >= size {
                    *due -= size;
                    self.send_request(index, size);
                }
                if borrow {
                    self.request_loans(index);
                }
                if tend {
                    self.maintain(index);
                }
            }
            if self.violation.is_none() {
                self.violation = self.overcommitted();
            }
        }
    }

    pub fn replace(&mut self, index: usize) {
        let now = self.now;
        let incarnation = self.instances[index].owner.incarnation + 100;
        self.instances[index] = Instance::new(index, incarnation, now);
    }

    /// Returns how far the parts in use exceed the whole, also those of paused instances.
    pub fn overcommitted(&self) -> Option<String> {
        let alive = (0..self.instances.len()).filter(|index| !self.instances[*index].dead);
        let held = alive.map(|index| {
            let now = self.local_time(index);
            let node = &self.instances[index];
            let mut share = node.share.clone();
            let parts =
                node.table_view.clone().usable_parts(self.service_down && !node.cut_off, now);
            share.configure(node.limits, parts, now);
            share.held_parts(now)
        });
        let held: Vec<u32> = held.collect();
        let over = held.iter().sum::<u32>() > TOTAL_PARTS;
        over.then(|| format!("parts in use at once: {held:?}"))
    }

    pub fn check(&self) -> Result<(), String> {
        match &self.violation {
            None => Ok(()),
            Some(reason) => Err(reason.clone()),
        }
    }
}
