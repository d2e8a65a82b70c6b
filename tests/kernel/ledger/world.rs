//! One endpoint, the platform's service and the endpoint's stewards, under virtual time.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    endpoint::{Order, OrderKind, OrderReply, Report, Resident},
    kernel::{
        freshness::Freshness,
        ledger::{EndpointRecord, Ledger, LedgerLimits, Step},
        stewardship::{
            Bid, Claim, Duty, Holding, Keep, LEASE_TTL, Lease, Leases, Tenure, Vacancy, claim,
            keep, vacancy,
        },
    },
    names::{InstanceId, Model},
};

pub const CAPACITY: u64 = 1_000;
pub const LIFE: Duration = Duration::from_secs(30);
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Time between two looks at everything, where a test asks for no other.
const TICK: Duration = Duration::from_secs(1);

/// What happens to the next order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Arrives,
    Lost,
    /// Arrives when its life is almost over; nobody waits for the answer.
    Late,
    /// Arrives at once and again when its life is almost over.
    Twice,
    /// Takes effect and is not answered.
    Mute,
}

/// What happens to the next write of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFate {
    Answered,
    /// Takes effect and is not answered.
    Mute,
    /// Is not answered and arrives later.
    Late,
}

/// The engine: true memory, and reports with a lag.
pub struct Engine {
    pub incarnation: u64,
    pub sequence: u64,
    pub fence: u64,
    pub fencing: bool,
    pub residents: BTreeMap<Model, u64>,
    history: Vec<(Time, Report)>,
    pub lag: Duration,
    pub silent: bool,
}

impl Engine {
    fn apply(&mut self, order: &Order) -> Option<OrderReply> {
        if self.fencing && order.fence < self.fence {
            return None;
        }
        self.fence = self.fence.max(order.fence);
        match order.kind {
            OrderKind::Load => _ = self.residents.insert(order.model.clone(), order.bytes),
            OrderKind::Unload => _ = self.residents.remove(&order.model),
            _ => {}
        }
        self.sequence += 1;
        let (sequence, incarnation) = (self.sequence, self.incarnation);
        Some(OrderReply { id: order.id.clone(), sequence, incarnation })
    }

    pub fn memory(&self) -> u64 {
        self.residents.values().sum()
    }

    fn report(&self, now: Time) -> Option<Report> {
        let old = self.history.iter().rev().find(|(at, _)| now.since(*at) >= self.lag);
        old.map(|(_, report)| report.clone()).filter(|_| !self.silent)
    }

    fn note(&mut self, now: Time) {
        let residents = self.residents.iter().map(|(model, bytes)| Resident {
            model: model.clone(),
            adapter: None,
            bytes: *bytes,
        });
        let report = Report {
            incarnation: self.incarnation,
            sequence: self.sequence,
            residents: residents.collect(),
            ..Report::default()
        };
        if self.history.last().is_none_or(|(_, last)| *last != report) {
            self.history.push((now, report));
        }
    }
}

/// A steward, which may have lost its endpoint without knowing it.
pub struct Steward {
    pub id: InstanceId,
    pub incarnation: u64,
    pub alive: bool,
    pub paused: bool,
    pub cut_off: bool,
    /// Hears the others, but not the service.
    pub unserved: bool,
    pub tenure: Tenure,
    pub ledger: Option<Ledger>,
    pub record: EndpointRecord,
    pub revision: i64,
    pub replies: Vec<OrderReply>,
    pub sent: Vec<(String, Time)>,
    vacant: Option<Time>,
}

impl Steward {
    pub fn acts(&self) -> bool {
        self.alive && !self.paused
    }
}

struct InFlight {
    due: Time,
    sent: Time,
    order: Order,
    back: Option<usize>,
}

struct LateWrite {
    due: Time,
    expected: i64,
    record: EndpointRecord,
}

/// Everything.
pub struct World {
    pub now: Time,
    pub step: Duration,
    pub engine: Engine,
    pub record: Option<EndpointRecord>,
    pub revision: i64,
    pub leases: Leases,
    ends: BTreeMap<InstanceId, Time>,
    pub down: bool,
    pub fate: Fate,
    pub write_fate: WriteFate,
    pub stewards: Vec<Steward>,
    net: Vec<InFlight>,
    late: Vec<LateWrite>,
    pub violation: Option<String>,
    orders: u64,
    /// What the stewards go on trying to load whenever it fits.
    pub hunger: Vec<(Model, u64)>,
}

impl World {
    /// Creates a world in which nobody holds the endpoint yet.
    pub fn new(residents: &[(&str, u64)]) -> Self {
        let residents = residents.iter().map(|(name, mb)| (Model::from(*name), *mb)).collect();
        let engine = Engine {
            incarnation: 71,
            sequence: 1,
            fence: 0,
            fencing: true,
            residents,
            history: Vec::new(),
            lag: Duration::ZERO,
            silent: false,
        };
        let mut world = Self {
            now: Time::from_millis(1_000_000),
            step: TICK,
            engine,
            record: None,
            revision: 0,
            leases: Leases::new(),
            ends: BTreeMap::new(),
            down: false,
            fate: Fate::Arrives,
            write_fate: WriteFate::Answered,
            stewards: Vec::new(),
            net: Vec::new(),
            late: Vec::new(),
            violation: None,
            orders: 0,
            hunger: Vec::new(),
        };
        world.add_steward();
        world.add_steward();
        world.engine.note(world.now);
        world
    }

    /// Lets the first steward take the endpoint.
    pub fn settled(mut self) -> Self {
        self.advance(Duration::from_secs(6));
        assert!(self.stewards[0].ledger.is_some(), "the first steward takes the endpoint");
        self
    }

    pub fn add_steward(&mut self) {
        let number = self.stewards.len() as u64;
        self.stewards.push(Steward {
            id: format!("s{number}").into(),
            incarnation: 100 + number,
            alive: true,
            paused: false,
            cut_off: false,
            unserved: false,
            tenure: Tenure::default(),
            ledger: None,
            record: EndpointRecord::default(),
            revision: 0,
            replies: Vec::new(),
            sent: Vec::new(),
            vacant: None,
        });
    }

    pub fn freshness(&self, index: usize) -> Freshness {
        match (self.stewards[index].cut_off, self.down) {
            (true, _) => Freshness::CutOff,
            (false, true) => Freshness::ServiceDown,
            (false, false) => Freshness::Fresh,
        }
    }

    pub fn duty(&mut self, index: usize) -> Duty {
        let freshness = self.freshness(index);
        let now = self.now;
        self.stewards[index].tenure.decide(freshness, now)
    }

    fn reaches(&self, index: usize) -> bool {
        let steward = &self.stewards[index];
        !self.down && !steward.cut_off && !steward.unserved
    }

    /// Lets time pass.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + self.step;
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.end_leases();
        self.deliver_writes();
        self.deliver_orders();
        self.engine.note(self.now);
        for index in 0..self.stewards.len() {
            if self.stewards[index].acts() {
                self.keep_lease(index);
                self.duty(index);
                self.keep(index);
                self.claim(index);
                self.tend(index);
                self.eat(index);
            }
        }
        self.check_stewards();
    }

    fn end_leases(&mut self) {
        let now = self.now;
        let ends = &self.ends;
        self.leases.retain(|id, _| ends.get(id).is_some_and(|end| *end > now));
    }

    fn keep_lease(&mut self, index: usize) {
        if !self.reaches(index) {
            return;
        }
        let (id, incarnation) = (self.stewards[index].id.clone(), self.stewards[index].incarnation);
        self.ends.insert(id.clone(), self.now + LEASE_TTL);
        let known = self.leases.insert(id, Lease { incarnation, revision: 1 });
        if known.is_none() {
            self.verify(index);
        }
        let now = self.now;
        self.stewards[index].tenure.renew(now);
    }

    /// Drops the endpoint if another tenure began since.
    pub fn verify(&mut self, index: usize) {
        let steward = &mut self.stewards[index];
        let own = self.record.as_ref().is_some_and(|r| r.is_same_tenure(&steward.record));
        if !own {
            steward.ledger = None;
        }
    }

    /// Drops the endpoint when the watched record is of another tenure.
    fn keep(&mut self, index: usize) {
        let steward = &self.stewards[index];
        if !self.reaches(index) || steward.ledger.is_none() {
            return;
        }
        let kept = keep(&Holding {
            own: &steward.id,
            written: &steward.record,
            record: self.record.as_ref(),
            listed: true,
            idle: false,
            ranked: &[],
            leases: &self.leases,
        });
        if kept == Keep::Lost {
            self.stewards[index].ledger = None;
        }
    }

    fn claim(&mut self, index: usize) {
        if self.freshness(index) != Freshness::Fresh {
            self.stewards[index].vacant = None;
        }
        if self.stewards[index].ledger.is_some() || !self.reaches(index) {
            return;
        }
        let own = (&self.stewards[index].id, self.stewards[index].incarnation);
        let vacancy = vacancy(own, self.record.as_ref(), &self.leases);
        if vacancy == Vacancy::Held {
            self.stewards[index].vacant = None;
            return;
        }
        let since = *self.stewards[index].vacant.get_or_insert(self.now);
        let ranked: Vec<InstanceId> = self.stewards.iter().map(|s| s.id.clone()).collect();
        let bid = Bid {
            own: &self.stewards[index].id,
            leased: self.stewards[index].tenure.is_held(self.now),
            freshness: self.freshness(index),
            ranked: &ranked,
            leases: &self.leases,
            vacancy: &vacancy,
            vacant: self.now.since(since),
        };
        if claim(&bid) == Claim::Take
            && let Some(taking) = self.prepare(index)
        {
            self.take(index, taking);
        }
    }

    /// Builds the record by which a steward takes the endpoint.
    pub fn prepare(&self, index: usize) -> Option<(EndpointRecord, i64)> {
        let steward = &self.stewards[index];
        if !steward.acts() || steward.ledger.is_some() || !steward.tenure.is_held(self.now) {
            return None;
        }
        let previous = self.record.clone().unwrap_or_default();
        let steward = &self.stewards[index];
        let record = EndpointRecord {
            holder: Some(steward.id.clone()),
            incarnation: steward.incarnation,
            fence: previous.fence + 1,
            ..previous
        };
        Some((record, self.revision))
    }

    /// Takes the endpoint if its record is unchanged and nobody holds it.
    pub fn take(&mut self, index: usize, (record, expected): (EndpointRecord, i64)) {
        let steward = &self.stewards[index];
        let own = (&steward.id, steward.incarnation);
        let held = vacancy(own, self.record.as_ref(), &self.leases) == Vacancy::Held;
        let leased = self.leases.contains_key(&steward.id);
        if !self.reaches(index) || held || !leased || !self.commit(expected, record.clone()) {
            return;
        }
        let fate = std::mem::replace(&mut self.write_fate, WriteFate::Answered);
        if fate == WriteFate::Mute {
            return;
        }
        let limits = LedgerLimits { weights: CAPACITY, life: LIFE };
        let mut ledger = Ledger::inherit(limits, &record, self.now);
        ledger.written(&record);
        let revision = self.revision;
        let steward = &mut self.stewards[index];
        steward.ledger = Some(ledger);
        steward.record = record;
        steward.revision = revision;
        steward.sent.clear();
        steward.replies.clear();
    }

    fn commit(&mut self, expected: i64, record: EndpointRecord) -> bool {
        if expected != self.revision {
            return false;
        }
        self.revision += 1;
        self.record = Some(record);
        true
    }

    fn deliver_writes(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.late.extract_if(.., |late| late.due <= now).collect();
        for late in due {
            self.commit(late.expected, late.record);
        }
    }

    /// Builds the record that a steward writes next.
    pub fn build(&self, index: usize) -> Option<(EndpointRecord, i64)> {
        let steward = &self.stewards[index];
        let ledger = steward.ledger.as_ref()?;
        Some((ledger.record(&steward.record), steward.revision))
    }

    /// Lets a write arrive; the steward learns of it unless the answer is lost.
    pub fn arrive(&mut self, index: usize, record: EndpointRecord, expected: i64) {
        let fate = std::mem::replace(&mut self.write_fate, WriteFate::Answered);
        if !self.reaches(index) {
            return self.write_failed(index);
        }
        if fate == WriteFate::Late {
            let due = self.now + Duration::from_secs(12);
            self.late.push(LateWrite { due, expected, record });
            return self.write_failed(index);
        }
        let done = self.commit(expected, record.clone());
        if fate == WriteFate::Mute {
            return self.write_failed(index);
        }
        if done {
            let revision = self.revision;
            let steward = &mut self.stewards[index];
            steward.revision = revision;
            steward.record = record.clone();
            if let Some(ledger) = &mut steward.ledger {
                ledger.written(&record);
            }
        } else {
            self.resolve(index);
        }
    }

    /// Reads the record after a failed comparison.
    fn resolve(&mut self, index: usize) {
        let steward = &mut self.stewards[index];
        let current = self.record.clone().unwrap_or_default();
        let own =
            current.fence == steward.record.fence && current.holder.as_ref() == Some(&steward.id);
        if own {
            steward.revision = self.revision;
        } else {
            steward.ledger = None;
        }
    }

    fn write_failed(&mut self, index: usize) {
        let steward = &mut self.stewards[index];
        let Some(ledger) = &mut steward.ledger else { return };
        ledger.write_lost();
        let unsent: Vec<String> = ledger.intents().map(|intent| intent.order.clone()).collect();
        for order in unsent {
            ledger.cancel(&order);
        }
    }

    /// Writes the record until it is what the ledger knows, at most twice.
    pub fn write(&mut self, index: usize) {
        for _ in 0..2 {
            let dirty = self.stewards[index].ledger.as_ref().is_some_and(Ledger::is_dirty);
            if !dirty {
                return;
            }
            let Some((record, expected)) = self.build(index) else { return };
            self.arrive(index, record, expected);
        }
    }

    /// Puts an order on the way.
    pub fn send(&mut self, index: usize, order: Order) {
        let fate = std::mem::replace(&mut self.fate, Fate::Arrives);
        let at = self.now;
        self.stewards[index].sent.push((order.id.clone(), at));
        self.check_sender(index, &order);
        let late = self.now + LIFE - TICK;
        let sent = self.now;
        let mut put = |due, back| {
            self.net.push(InFlight { due, sent, order: order.clone(), back });
        };
        match fate {
            Fate::Lost => {}
            Fate::Arrives => put(sent, Some(index)),
            Fate::Mute => put(sent, None),
            Fate::Late => put(late, None),
            Fate::Twice => {
                put(sent, Some(index));
                put(late, None);
            }
        }
    }

    pub fn deliver_orders(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.net.extract_if(.., |sent| sent.due <= now).collect();
        for InFlight { sent, order, back, .. } in due {
            if now.since(sent) >= LIFE {
                continue;
            }
            let reply = self.engine.apply(&order);
            self.engine.note(now);
            self.check_memory(&order);
            if let (Some(reply), Some(index)) = (reply, back) {
                self.stewards[index].replies.push(reply);
            }
        }
    }

    /// Lets a steward hear the answers to its orders, and give up those that stay away.
    pub fn hear(&mut self, index: usize) {
        let now = self.now;
        let steward = &mut self.stewards[index];
        let Some(ledger) = &mut steward.ledger else { return };
        for reply in steward.replies.drain(..) {
            ledger.answered(&reply, now);
        }
        let silent = |(_, at): &mut (String, Time)| now.since(*at) >= ANSWER_LIMIT;
        for (order, _) in steward.sent.extract_if(.., silent) {
            ledger.given_up(&order, now);
        }
    }

    /// Reads a report, closes orders and writes the record.
    pub fn tend(&mut self, index: usize) {
        self.hear(index);
        self.see_report(index);
        if self.duty(index) != Duty::Hold {
            return;
        }
        let now = self.now;
        let probe = self.stewards[index].ledger.as_ref();
        let probe = probe.and_then(|ledger| ledger.probe("probe".to_owned(), now));
        if let Some(order) = probe
            && let Some(reply) = self.engine.apply(&order)
            && let Some(ledger) = &mut self.stewards[index].ledger
        {
            ledger.probed(&reply, now);
        }
        self.engine.note(now);
        if let Some(ledger) = &mut self.stewards[index].ledger {
            ledger.sweep(now);
        }
        self.write(index);
    }

    pub fn see_report(&mut self, index: usize) {
        let report = self.engine.report(self.now);
        let now = self.now;
        if let (Some(ledger), Some(report)) = (&mut self.stewards[index].ledger, report) {
            ledger.take_report(&report, now);
        }
    }

    /// Loads what the steward still wants, all steps at once.
    fn eat(&mut self, index: usize) {
        for (model, bytes) in self.hunger.clone() {
            let order = self.next_order();
            let Some(ledger) = &mut self.stewards[index].ledger else { return };
            if ledger.plan_load(order.clone(), model, bytes).is_ok() {
                self.run(index, &order);
            }
        }
    }

    /// Runs an order as far as it goes without waiting.
    pub fn run(&mut self, index: usize, order: &str) {
        loop {
            let duty = self.duty(index);
            let Some(ledger) = &mut self.stewards[index].ledger else { return };
            match ledger.next(order, duty, 0) {
                Step::Write => self.write(index),
                Step::Send(order) => {
                    self.send(index, order);
                    self.deliver_orders();
                    self.hear(index);
                }
                _ => return,
            }
        }
    }

    pub fn next_order(&mut self) -> String {
        self.orders += 1;
        format!("order-{}", self.orders)
    }

    fn violate(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    fn check_memory(&mut self, order: &Order) {
        let memory = self.engine.memory();
        if memory > CAPACITY {
            self.violate(format!("memory at {memory} of {CAPACITY} after {order:?}"));
        }
    }

    /// Only the steward that the record names may send, and only while its lease lives.
    fn check_sender(&mut self, index: usize, order: &Order) {
        let held = self.leases.contains_key(&self.stewards[index].id);
        let fence = self.record.as_ref().map_or(0, |record| record.fence);
        if !held || fence != order.fence {
            self.violate(format!("steward {index} sends {order:?}, held={held} fence={fence}"));
        }
    }

    /// At most one steward dispatches, and the one that the record names can.
    pub fn check_stewards(&mut self) {
        let mut active = 0;
        for index in 0..self.stewards.len() {
            let holds = self.stewards[index].acts() && self.stewards[index].ledger.is_some();
            if holds && self.duty(index) != Duty::Stop {
                active += 1;
            }
        }
        if active > 1 {
            self.violate(format!("{active} stewards dispatch at once"));
        }
    }

    /// Returns the steward that holds the endpoint.
    pub fn holder(&self) -> Option<usize> {
        let fence = self.record.as_ref()?.fence;
        self.stewards.iter().position(|s| s.acts() && s.ledger.is_some() && s.record.fence == fence)
    }

    /// Ends a steward's process.
    pub fn kill(&mut self, index: usize) {
        self.stewards[index].alive = false;
        self.stewards[index].ledger = None;
    }

    /// Restarts the engine without its memory.
    pub fn restart_engine(&mut self) {
        self.engine.incarnation += 5;
        self.engine.sequence = 1;
        self.engine.fence = 0;
        self.engine.residents.clear();
        self.engine.note(self.now);
    }

    /// Ends all faults and lets the fleet recover.
    pub fn recover(&mut self) {
        self.end_faults();
        self.advance(LIFE * 3);
        self.engine.lag = Duration::ZERO;
        self.advance(LIFE);
    }

    /// Ends all faults but the lag of reports.
    pub fn end_faults(&mut self) {
        self.down = false;
        self.engine.silent = false;
        for steward in &mut self.stewards {
            steward.paused = false;
            steward.cut_off = false;
            steward.unserved = false;
        }
        if self.stewards.iter().all(|steward| !steward.alive) {
            self.add_steward();
        }
    }

    pub fn check(&self) -> Result<(), String> {
        self.violation.clone().map_or(Ok(()), Err)
    }

    /// Checks that one steward holds the endpoint and knows its true memory.
    pub fn check_recovered(&self) -> Result<(), String> {
        let holder = self.holder().ok_or("no steward holds the endpoint")?;
        let Some(ledger) = &self.stewards[holder].ledger else {
            return Err("no ledger".to_owned());
        };
        if ledger.intents().next().is_some() {
            return Err(format!("orders left: {:?}", ledger.intents().collect::<Vec<_>>()));
        }
        if ledger.committed() != self.engine.memory() {
            let (committed, memory) = (ledger.committed(), self.engine.memory());
            return Err(format!("committed {committed}, true memory {memory}"));
        }
        let kept = self.record.as_ref().map_or(0, |record| record.intents.len());
        if kept > 0 { Err(format!("{kept} intents left in the record")) } else { Ok(()) }
    }
}
