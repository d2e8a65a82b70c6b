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
pub const HALVED: TeamLimits = TeamLimits { rate: 4_500.0, burst: 9_000.0 };
pub const STEP: Duration = Duration::from_millis(50);
pub const MATRIX_STEP: Duration = Duration::from_millis(100);
pub const COARSE_STEP: Duration = Duration::from_millis(1_000);
pub const BORROW_PERIOD: Duration = Duration::from_millis(250);
pub const TEND_PERIOD: Duration = Duration::from_millis(1_000);

/// Clock deviation of each node in millionths, with a random start.
pub const CLOCKS: [(i64, u64); 3] = [(200, 70_000_000), (-200, 11_000_000), (0, 999_000_000)];

/// One instance; it decides on its own clock.
pub struct Node {
    pub owner: Owner,
    pub clock: (i64, u64),
    pub custody: ShareTableView,
    pub share: TeamShare,
    pub limits: TeamLimits,
    pub paused: bool,
    pub dead: bool,
    pub cut: bool,
}

/// A message that is under way.
#[derive(Clone)]
pub enum Message {
    Ask { from: usize, to: usize, ask: LoanRequest },
    Grant { from: usize, to: usize, incarnation: u64, grant: LoanGrant },
}

/// Three instances, the platform's table and what was admitted.
pub struct World {
    pub now: Time,
    pub step: Duration,
    pub nodes: Vec<Node>,
    pub table: (ShareTable, i64),
    pub listed: Vec<bool>,
    pub down: bool,
    pub mail: Vec<(Time, Message)>,
    pub lose: bool,
    pub double: bool,
    pub late: bool,
    pub bound: TokenBucket,
    pub admitted: f64,
    pub asked: f64,
    pub broken: Option<String>,
}

pub fn owner(index: usize, incarnation: u64) -> Owner {
    Owner {
        instance: InstanceId::from(format!("i-{index}")),
        incarnation,
        address: format!("10.0.0.{index}:7000").parse().expect("an address"),
    }
}

impl Node {
    pub fn new(index: usize, incarnation: u64, now: Time) -> Self {
        let clock = CLOCKS[index % CLOCKS.len()];
        let local = local(clock, now);
        let owner = owner(index, incarnation);
        Self {
            custody: ShareTableView::new(owner.clone(), local),
            owner,
            clock,
            share: TeamShare::empty(local),
            limits: LIMITS,
            paused: false,
            dead: false,
            cut: false,
        }
    }

    pub fn acts(&self) -> bool {
        !self.paused && !self.dead
    }
}

pub fn local((ppm, start): (i64, u64), now: Time) -> Time {
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
            nodes: (0..count).map(|index| Node::new(index, index as u64 + 1, now)).collect(),
            table: (ShareTable::default(), 1),
            listed: vec![true; count],
            down: false,
            mail: Vec::new(),
            lose: false,
            double: false,
            late: false,
            bound,
            admitted: 0.0,
            asked: 0.0,
            broken: None,
        }
    }

    pub fn local(&self, index: usize) -> Time {
        local(self.nodes[index].clock, self.now)
    }

    pub fn census(&self, index: usize) -> Membership {
        let ids = (0..self.nodes.len()).filter(|i| self.listed[*i]);
        let listed: std::collections::BTreeSet<_> =
            ids.map(|i| self.nodes[i].owner.instance.clone()).collect();
        let majority = !self.nodes[index].cut;
        Membership { live: listed.clone(), listed, majority }
    }

    /// One instance reads the table, writes its next step and follows its part.
    pub fn tend(&mut self, index: usize) {
        if !self.nodes[index].acts() {
            return;
        }
        let now = self.local(index);
        let reachable = !self.down && !self.nodes[index].cut;
        if reachable {
            let (table, revision) = self.table.clone();
            self.nodes[index].custody.apply_table(table, revision, now, now);
            let lent = self.nodes[index].share.lent_parts();
            let census = self.census(index);
            let step = self.nodes[index].custody.next_step(&census, lent, now);
            if step != Step::Keep {
                self.write(index, &step, now);
            }
        }
        self.follow(index);
    }

    pub fn write(&mut self, index: usize, step: &Step, now: Time) {
        self.nodes[index].custody.begin_step(step);
        self.follow(index);
        let next = self.table.0.with_step(&self.nodes[index].owner, step);
        self.table = (next.clone(), self.table.1 + 1);
        self.nodes[index].custody.apply_table(next, self.table.1, now, now);
    }

    pub fn follow(&mut self, index: usize) {
        let now = self.local(index);
        // Nobody can write while the service is down; an instance that is cut off cannot know it.
        let down = self.down && !self.nodes[index].cut;
        let node = &mut self.nodes[index];
        let parts = node.custody.usable_parts(down, now);
        node.share.configure(node.limits, parts, now);
    }

    pub fn request(&mut self, index: usize, tokens: f64) -> bool {
        if !self.nodes[index].acts() {
            return false;
        }
        self.follow(index);
        let now = self.local(index);
        self.asked += tokens;
        let share = &mut self.nodes[index].share;
        share.record_demand(tokens, now);
        if share.charge(tokens, now) != ChargeOutcome::Taken {
            return false;
        }
        self.admitted += tokens;
        if self.bound.charge(tokens - 1e-3, self.now) != Charge::Taken {
            let level = self.bound.level(self.now);
            self.broken = Some(format!("instance {index} admitted {tokens} with {level} left"));
        }
        true
    }

    /// One instance asks all others for what it wants.
    pub fn borrow(&mut self, index: usize) {
        if !self.nodes[index].acts() {
            return;
        }
        let now = self.local(index);
        let Some(wanted) = self.nodes[index].share.begin_round(now) else { return };
        let others: Vec<usize> = (0..self.nodes.len()).filter(|other| *other != index).collect();
        for to in &others {
            let lender = self.nodes[*to].owner.instance.clone();
            let parts = wanted.div_ceil(others.len() as u32);
            let ask = self.nodes[index].share.next_loan_request(&lender, parts, now);
            let incarnation = self.nodes[index].owner.incarnation;
            let ask = LoanRequest { incarnation, ..ask };
            self.post(Message::Ask { from: index, to: *to, ask });
        }
    }

    pub fn post(&mut self, message: Message) {
        if self.lose {
            return;
        }
        let delay = if self.late { LOAN_TTL.mul_f64(0.9) } else { Duration::from_millis(2) };
        self.mail.push((self.now + delay, message.clone()));
        if self.double {
            self.mail.push((self.now + delay + STEP, message));
        }
    }

    pub fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.mail.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in due {
            match message {
                Message::Ask { from, to, ask } => self.answer(from, to, &ask),
                Message::Grant { from, to, incarnation, grant } => {
                    self.receive(from, to, incarnation, &grant);
                }
            }
        }
    }

    pub fn answer(&mut self, from: usize, to: usize, ask: &LoanRequest) {
        if self.nodes[to].dead || self.nodes[from].cut || self.nodes[to].cut {
            return;
        }
        if self.nodes[to].paused {
            // What waits in the socket of a paused process is read when it runs again.
            let message = Message::Ask { from, to, ask: ask.clone() };
            return self.mail.push((self.now + STEP, message));
        }
        self.follow(to);
        let now = self.local(to);
        let borrower = self.nodes[from].owner.instance.clone();
        let grant = self.nodes[to].share.grant_loan(&borrower, ask, now);
        let incarnation = ask.incarnation;
        self.post(Message::Grant { from: to, to: from, incarnation, grant });
    }

    pub fn receive(&mut self, from: usize, to: usize, incarnation: u64, grant: &LoanGrant) {
        let node = &self.nodes[to];
        if node.dead || node.cut || node.owner.incarnation != incarnation {
            return;
        }
        if node.paused {
            let grant = grant.clone();
            let message = Message::Grant { from, to, incarnation, grant };
            return self.mail.push((self.now + STEP, message));
        }
        let now = self.local(to);
        let lender = self.nodes[from].owner.instance.clone();
        self.nodes[to].share.apply_grant(&lender, grant, now);
    }

    /// Runs for a time; `load` gives each instance's tokens a second in requests of `size`.
    pub fn run(&mut self, length: Duration, load: &[f64], size: f64) {
        let end = self.now + length;
        let mut due = vec![0.0; self.nodes.len()];
        let (mut borrowing, mut tending) = (self.now, self.now);
        while self.now < end {
            self.now = self.now + self.step;
            self.deliver();
            let borrow = self.now.since(borrowing) >= BORROW_PERIOD;
            let tend = self.now.since(tending) >= TEND_PERIOD;
            borrowing = if borrow { self.now } else { borrowing };
            tending = if tend { self.now } else { tending };
            for (index, due) in due.iter_mut().enumerate() {
                *due += load.get(index).copied().unwrap_or(0.0) * self.step.as_secs_f64();
                while *due >= size {
                    *due -= size;
                    self.request(index, size);
                }
                if borrow {
                    self.borrow(index);
                }
                if tend {
                    self.tend(index);
                }
            }
            if self.broken.is_none() {
                self.broken = self.overcommitted();
            }
        }
    }

    pub fn replace(&mut self, index: usize) {
        let now = self.now;
        let incarnation = self.nodes[index].owner.incarnation + 100;
        self.nodes[index] = Node::new(index, incarnation, now);
    }

    /// Returns how far the parts in use exceed the whole, also those of paused instances.
    pub fn overcommitted(&self) -> Option<String> {
        let alive = (0..self.nodes.len()).filter(|index| !self.nodes[*index].dead);
        let held = alive.map(|index| {
            let now = self.local(index);
            let node = &self.nodes[index];
            let mut share = node.share.clone();
            let parts = node.custody.clone().usable_parts(self.down && !node.cut, now);
            share.configure(node.limits, parts, now);
            share.held_parts(now)
        });
        let held: Vec<u32> = held.collect();
        let over = held.iter().sum::<u32>() > TOTAL_PARTS;
        over.then(|| format!("parts in use at once: {held:?}"))
    }

    pub fn check(&self) -> Result<(), String> {
        match &self.broken {
            None => Ok(()),
            Some(reason) => Err(reason.clone()),
        }
    }
}
