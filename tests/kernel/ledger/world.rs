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
pub const ORDER_TTL: Duration = Duration::from_secs(30);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two looks at everything, where a test asks for no other.
const DEFAULT_STEP: Duration = Duration::from_secs(1);

/// What happens to the next order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFate {
    Delivered,
    Lost,
    /// Arrives when its life is almost over; nobody waits for the answer.
    Late,
    /// Arrives at once and again when its life is almost over.
    Twice,
    /// Takes effect and is not answered.
    ResponseLost,
}

/// What happens to the next write of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFate {
    Delivered,
    /// Takes effect and is not answered.
    ResponseLost,
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
    pub service_unreachable: bool,
    pub tenure: LeaseTracker,
    pub ledger: Option<Ledger>,
    pub record: EndpointRecord,
    pub revision: i64,
    pub responses: Vec<OrderReply>,
    pub sent: Vec<(String, Time)>,
    vacant_since: Option<Time>,
}

impl Steward {
    pub fn may_act(&self) -> bool {
        self.alive && !self.paused
    }
}

struct InFlight {
    due_at: Time,
    sent_at: Time,
    order: Order,
    responds_to: Option<usize>,
}

struct DelayedWrite {
    due_at: Time,
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
    lease_ends: BTreeMap<InstanceId, Time>,
    pub service_down: bool,
    pub order_fate: OrderFate,
    pub write_fate: WriteFate,
    pub stewards: Vec<Steward>,
    in_flight: Vec<InFlight>,
    delayed_writes: Vec<DelayedWrite>,
    pub violation: Option<String>,
    order_count: u64,
    /// What the stewards go on trying to load whenever it fits.
    pub wanted_models: Vec<(Model, u64)>,
    /// What they unload once, as soon as it is resident.
    pub unload_once: Option<Model>,
}

impl World {
    /// Creates a world in which nobody holds the endpoint yet.
    pub fn new(residents: &[(&str, u64)]) -> Self {
        let residents = residents.iter().map(|(name, mb)| (Model::from(*name), *mb)).collect();
        let engine = Engine {
            incarnation: 71,
            sequence: 1,
            fence: 0,
            enforces_fencing: false,
            residents,
            loading: Vec::new(),
            history: Vec::new(),
            report_lag: Duration::ZERO,
            stale_reports: false,
            no_reports: false,
        };
        let mut world = Self {
            now: Time::from_millis(1_000_000),
            step: DEFAULT_STEP,
            engine,
            record: None,
            revision: 0,
            leases: Leases::new(),
            lease_ends: BTreeMap::new(),
            service_down: false,
            order_fate: OrderFate::Delivered,
            write_fate: WriteFate::Delivered,
            stewards: Vec::new(),
            in_flight: Vec::new(),
            delayed_writes: Vec::new(),
            violation: None,
            order_count: 0,
            wanted_models: Vec::new(),
            unload_once: None,
        };
        world.add_steward();
        world.add_steward();
        world.engine.record_report(world.now);
        world
    }

    /// Lets the first steward take the endpoint.
    pub fn with_steward(mut self) -> Self {
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
            service_unreachable: false,
            tenure: LeaseTracker::default(),
            ledger: None,
            record: EndpointRecord::default(),
            revision: 0,
            responses: Vec::new(),
            sent: Vec::new(),
            vacant_since: None,
        });
    }

    pub fn freshness(&self, index: usize) -> Freshness {
        match (self.stewards[index].cut_off, self.service_down) {
            (true, _) => Freshness::CutOff,
            (false, true) => Freshness::ServiceDown,
            (false, false) => Freshness::Fresh,
        }
    }

    pub fn authority(&mut self, index: usize) -> Authority {
        let freshness = self.freshness(index);
        let now = self.now;
        self.stewards[index].tenure.next_authority(freshness, now)
    }

    fn reaches_service(&self, index: usize) -> bool {
        let steward = &self.stewards[index];
        !self.service_down && !steward.cut_off && !steward.service_unreachable
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
        self.expire_leases();
        self.deliver_writes();
        self.deliver_orders();
        self.engine.record_report(self.now);
        for index in 0..self.stewards.len() {
            if self.stewards[index].may_act() {
                self.keep_lease(index);
                self.authority(index);
                self.keep_endpoint(index);
                self.try_takeover(index);
                self.maintain(index);
                self.run_wanted_orders(index);
            }
        }
        self.check_stewards();
    }

    pub fn next_order(&mut self) -> String {
        self.order_count += 1;
        format!("order-{}", self.order_count)
    }

    fn record_violation(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    fn check_memory(&mut self, order: &Order) {
        let memory = self.engine.memory();
        if memory > CAPACITY {
            self.record_violation(format!("memory at {memory} of {CAPACITY} after {order:?}"));
        }
    }

    /// Only the steward that the record names may send, and only while its lease lives.
    fn check_sender(&mut self, index: usize, order: &Order) {
        let held = self.leases.contains_key(&self.stewards[index].id);
        let fence = self.record.as_ref().map_or(0, |record| record.fence);
        if !held || fence != order.fence {
            self.record_violation(format!(
                "steward {index} sends {order:?}, held={held} fence={fence}"
            ));
        }
    }

    /// At most one steward dispatches, and the one that the record names can.
    pub fn check_stewards(&mut self) {
        let mut active = 0;
        for index in 0..self.stewards.len() {
            let holds = self.stewards[index].may_act() && self.stewards[index].ledger.is_some();
            if holds && self.authority(index) != Authority::Stop {
                active += 1;
            }
        }
        if active > 1 {
            self.record_violation(format!("{active} stewards dispatch at once"));
        }
    }

    /// Returns the steward that holds the endpoint.
    pub fn holder(&self) -> Option<usize> {
        let fence = self.record.as_ref()?.fence;
        self.stewards
            .iter()
            .position(|s| s.may_act() && s.ledger.is_some() && s.record.fence == fence)
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
        self.engine.record_report(self.now);
    }

    /// Ends all faults and lets the fleet recover.
    pub fn recover(&mut self) {
        self.end_faults();
        self.advance(ORDER_TTL * 3);
        self.engine.report_lag = Duration::ZERO;
        self.engine.stale_reports = false;
        self.advance(ORDER_TTL);
    }

    /// Ends all faults but the age of reports.
    pub fn end_faults(&mut self) {
        self.service_down = false;
        self.engine.no_reports = false;
        for steward in &mut self.stewards {
            steward.paused = false;
            steward.cut_off = false;
            steward.service_unreachable = false;
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
