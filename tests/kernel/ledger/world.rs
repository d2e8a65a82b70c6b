//! One endpoint, the platform's service and the endpoint's stewards, under virtual time.

mod engine;
mod orders;
mod service;

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    endpoint::{Order, OrderReply},
    kernel::{
        freshness::Freshness,
        ledger::{EndpointRecord, Ledger},
        stewardship::{Authority, LeaseTracker, Leases},
    },
    names::{InstanceId, Model},
};

use self::engine::Engine;
pub use self::engine::LOAD_TIME;

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

/// A steward, which may have lost its endpoint without knowing it.
pub struct Steward {
    pub id: InstanceId,
    pub incarnation: u64,
    pub alive: bool,
    pub paused: bool,
    pub cut_off: bool,
    /// Hears the others, but not the service.
    pub unserved: bool,
    pub tenure: LeaseTracker,
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
    /// What they unload once, as soon as it is resident.
    pub churn: Option<Model>,
}

impl World {
    /// Creates a world in which nobody holds the endpoint yet.
    pub fn new(residents: &[(&str, u64)]) -> Self {
        let residents = residents.iter().map(|(name, mb)| (Model::from(*name), *mb)).collect();
        let engine = Engine {
            incarnation: 71,
            sequence: 1,
            fence: 0,
            fencing: false,
            residents,
            loading: Vec::new(),
            history: Vec::new(),
            lag: Duration::ZERO,
            stale: false,
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
            churn: None,
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
            tenure: LeaseTracker::default(),
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

    pub fn duty(&mut self, index: usize) -> Authority {
        let freshness = self.freshness(index);
        let now = self.now;
        self.stewards[index].tenure.next_authority(freshness, now)
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
            if holds && self.duty(index) != Authority::Stop {
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
        self.engine.loading.clear();
        self.engine.note(self.now);
    }

    /// Ends all faults and lets the fleet recover.
    pub fn recover(&mut self) {
        self.end_faults();
        self.advance(LIFE * 3);
        self.engine.lag = Duration::ZERO;
        self.engine.stale = false;
        self.advance(LIFE);
    }

    /// Ends all faults but the age of reports.
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
