//! One engine, the platform's service and the instances that may be the engine's steward, in
//! virtual time.

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

/// Memory of the engine, in units of the models' sizes.
pub const CAPACITY: u64 = 1_000;
/// Time after sending at which an order can no longer take effect.
pub const ORDER_TTL: Duration = Duration::from_secs(30);
/// Longest time for which a steward waits for the response to an order.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two steps of the world, unless a test sets another.
const DEFAULT_STEP: Duration = Duration::from_secs(1);

/// What happens to the next order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFate {
    /// The order and its response arrive at once.
    Delivered,
    /// The order never arrives.
    Lost,
    /// The order arrives just before the end of its TTL, when no steward waits for the response.
    Late,
    /// The order arrives at once, and a duplicate just before the end of its TTL.
    Twice,
    /// The order takes effect, and its response is lost.
    ResponseLost,
}

/// What happens to the next write of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFate {
    /// The write and its response arrive at once.
    Delivered,
    /// The write takes effect, and its response is lost.
    ResponseLost,
    /// The write takes effect late, and its response is lost.
    Late,
}

/// An instance that may be the steward. It may have lost the endpoint without knowing it.
pub struct Steward {
    pub id: InstanceId,
    pub incarnation: u64,
    /// Whether the process runs.
    pub alive: bool,
    pub paused: bool,
    /// Whether the instance reaches neither the service nor the other instances.
    pub cut_off: bool,
    /// Whether the instance is in contact with the others, but does not reach the service.
    pub service_unreachable: bool,
    pub lease: LeaseTracker,
    /// Ledger of the endpoint while the instance considers itself the steward.
    pub ledger: Option<Ledger>,
    /// Record of the endpoint as the instance last wrote it.
    pub record: EndpointRecord,
    /// Revision of `record`.
    pub revision: i64,
    /// Responses that arrived and were not read yet.
    pub responses: Vec<OrderReply>,
    /// Orders that were sent, with the time.
    pub sent: Vec<(String, Time)>,
    /// Since when the instance has seen the endpoint without a steward.
    vacant_since: Option<Time>,
}

impl Steward {
    pub fn may_act(&self) -> bool {
        self.alive && !self.paused
    }
}

/// An order that was sent and has not arrived.
struct InFlight {
    due_at: Time,
    sent_at: Time,
    order: Order,
    /// Steward that gets the response, or `None` if the response is lost.
    responds_to: Option<usize>,
}

/// A write of the record that arrives late.
struct DelayedWrite {
    due_at: Time,
    /// Revision that the record must have.
    expected: i64,
    record: EndpointRecord,
}

/// The engine, the platform's service, the stewards and the messages between them.
pub struct World {
    pub now: Time,
    /// Time between two steps of the world.
    pub step: Duration,
    pub engine: Engine,
    /// Record of the endpoint at the service, or `None` before the first takeover.
    pub record: Option<EndpointRecord>,
    /// Revision of `record`.
    pub revision: i64,
    pub leases: Leases,
    lease_ends: BTreeMap<InstanceId, Time>,
    pub service_down: bool,
    /// What happens to the next order.
    pub order_fate: OrderFate,
    /// What happens to the next write of the record.
    pub write_fate: WriteFate,
    pub stewards: Vec<Steward>,
    in_flight: Vec<InFlight>,
    delayed_writes: Vec<DelayedWrite>,
    /// First rule that was broken, or `None` if none was.
    pub violation: Option<String>,
    order_count: u64,
    /// Models that the stewards load whenever they fit.
    pub wanted_models: Vec<(Model, u64)>,
    /// Model that the stewards unload once, as soon as it is resident.
    pub unload_once: Option<Model>,
}

impl World {
    /// Creates a world with two instances, neither of which is the steward yet.
    pub fn new(residents: &[(&str, u64)]) -> Self {
        let residents =
            residents.iter().map(|(name, bytes)| (Model::from(*name), *bytes)).collect();
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

    /// Runs the world until the first instance is the steward.
    pub fn with_steward(mut self) -> Self {
        self.advance(Duration::from_secs(6));
        assert!(self.stewards[0].ledger.is_some(), "the first steward takes the endpoint");
        self
    }

    /// Adds an instance that may be the steward.
    pub fn add_steward(&mut self) {
        let number = self.stewards.len() as u64;
        self.stewards.push(Steward {
            id: format!("s{number}").into(),
            incarnation: 100 + number,
            alive: true,
            paused: false,
            cut_off: false,
            service_unreachable: false,
            lease: LeaseTracker::default(),
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

    /// Returns what an instance may do as the steward.
    pub fn authority(&mut self, index: usize) -> Authority {
        let freshness = self.freshness(index);
        let now = self.now;
        self.stewards[index].lease.next_authority(freshness, now)
    }

    fn reaches_service(&self, index: usize) -> bool {
        let steward = &self.stewards[index];
        !self.service_down && !steward.cut_off && !steward.service_unreachable
    }

    /// Runs the world for a time.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + self.step;
            self.tick();
        }
    }

    /// Runs one step of the world.
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

    /// Returns a new order id.
    pub fn next_order(&mut self) -> String {
        self.order_count += 1;
        format!("order-{}", self.order_count)
    }

    fn record_violation(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    /// Checks that the engine's memory is not overcommitted.
    fn check_memory(&mut self, order: &Order) {
        let memory = self.engine.memory();
        if memory > CAPACITY {
            self.record_violation(format!("memory at {memory} of {CAPACITY} after {order:?}"));
        }
    }

    /// Checks that only the steward named in the record sends orders, and only while it holds its
    /// lease.
    fn check_sender(&mut self, index: usize, order: &Order) {
        let held = self.leases.contains_key(&self.stewards[index].id);
        let fence = self.record.as_ref().map_or(0, |record| record.fence);
        if !held || fence != order.fence {
            self.record_violation(format!(
                "steward {index} sends {order:?}, held={held} fence={fence}"
            ));
        }
    }

    /// Checks that at most one instance dispatches requests as the steward.
    pub fn check_stewards(&mut self) {
        let mut dispatching = 0;
        for index in 0..self.stewards.len() {
            let is_steward =
                self.stewards[index].may_act() && self.stewards[index].ledger.is_some();
            if is_steward && self.authority(index) != Authority::Stop {
                dispatching += 1;
            }
        }
        if dispatching > 1 {
            self.record_violation(format!("{dispatching} stewards dispatch at once"));
        }
    }

    /// Returns the running instance that is the steward by the record.
    pub fn holder(&self) -> Option<usize> {
        let fence = self.record.as_ref()?.fence;
        self.stewards
            .iter()
            .position(|s| s.may_act() && s.ledger.is_some() && s.record.fence == fence)
    }

    /// Ends the process of an instance.
    pub fn kill(&mut self, index: usize) {
        self.stewards[index].alive = false;
        self.stewards[index].ledger = None;
    }

    /// Restarts the engine with empty memory.
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

    /// Ends all faults but the delay of reports.
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

    /// Checks that the endpoint has a steward whose ledger shows the engine's memory and no open
    /// orders, and that the record contains no orders.
    pub fn check_recovered(&self) -> Result<(), String> {
        let holder = self.holder().ok_or("no steward holds the endpoint")?;
        let Some(ledger) = &self.stewards[holder].ledger else {
            return Err("the steward has no ledger".to_owned());
        };
        if ledger.intents().next().is_some() {
            return Err(format!("orders left: {:?}", ledger.intents().collect::<Vec<_>>()));
        }
        if ledger.committed_bytes() != self.engine.memory() {
            let (committed, memory) = (ledger.committed_bytes(), self.engine.memory());
            return Err(format!("the ledger commits {committed}, the engine uses {memory}"));
        }
        let left = self.record.as_ref().map_or(0, |record| record.intents.len());
        if left > 0 { Err(format!("{left} intents left in the record")) } else { Ok(()) }
    }
}
