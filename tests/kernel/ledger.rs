//! Tests that under every fault, the endpoint's memory is never overcommitted, and a model is never
//! unloaded from the endpoint that the placement plan names as its keeper.

mod adapters;
pub(super) mod world;

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    endpoint::Report,
    kernel::{
        ledger::{Denial, EndpointRecord, Ledger, LedgerLimits, ReportStatus, StateVersion, Step},
        stewardship::Authority,
    },
    names::Model,
};

use self::world::{LOAD_TIME, OrderFate, World, WriteFate};
use crate::matrix::{Protocol, run_all};

/// A fault while an order is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The steward's process ends, and another instance joins.
    Killed,
    /// The steward's process pauses long enough for another one to take over.
    Paused,
    /// The platform's service is down until the test ends all faults.
    ServiceDown,
    /// The next write of the record takes effect, and its response is lost.
    WriteResponseLost,
    /// The next write of the record takes effect late, and its response is lost.
    WriteLate,
    /// The next order never arrives.
    OrderLost,
    /// The next order arrives just before the end of its TTL.
    OrderLate,
    /// The next order arrives at once, and a duplicate just before the end of its TTL.
    OrderTwice,
    /// The next order takes effect, and its response is lost.
    OrderResponseLost,
    /// The engine restarts with empty memory.
    EngineRestarted,
    /// All reports are delayed.
    ReportsLate,
    /// Every second report is older than the TTL of an order.
    ReportsStale,
    /// The engine gives no reports.
    ReportsMissing,
    /// The engine rejects orders with an old fencing number.
    FencingEnforced,
    /// The planner makes this endpoint the model's keeper if its protocol allows that.
    KeeperMoved,
}

/// Faults of a load.
const FAULTS: &[Fault] = &[
    Fault::Killed,
    Fault::Paused,
    Fault::ServiceDown,
    Fault::WriteResponseLost,
    Fault::WriteLate,
    Fault::OrderLost,
    Fault::OrderLate,
    Fault::OrderTwice,
    Fault::OrderResponseLost,
    Fault::EngineRestarted,
    Fault::ReportsLate,
    Fault::ReportsStale,
    Fault::ReportsMissing,
    Fault::FencingEnforced,
];

/// Faults of an unload.
const UNLOAD_FAULTS: &[Fault] = &[
    Fault::Killed,
    Fault::Paused,
    Fault::ServiceDown,
    Fault::WriteResponseLost,
    Fault::WriteLate,
    Fault::OrderLate,
    Fault::OrderTwice,
    Fault::OrderResponseLost,
    Fault::EngineRestarted,
    Fault::ReportsLate,
    Fault::ReportsStale,
    Fault::FencingEnforced,
    Fault::KeeperMoved,
];

/// Length of a pause, longer than the lease TTL and the delay before a takeover together.
const PAUSE: Duration = Duration::from_secs(18);

/// Applies a fault to the steward that holds the endpoint, or to the world around it.
fn inject(world: &mut World, fault: Fault) {
    let holder = world.holder();
    match fault {
        Fault::Killed => {
            if let Some(holder) = holder {
                world.kill(holder);
                world.add_steward();
                world.advance(PAUSE);
            }
        }
        Fault::Paused => {
            if let Some(holder) = holder {
                world.stewards[holder].paused = true;
                world.advance(PAUSE);
                world.stewards[holder].paused = false;
            }
        }
        Fault::ServiceDown => {
            world.service_down = true;
            world.advance(PAUSE);
        }
        Fault::WriteResponseLost => world.write_fate = WriteFate::ResponseLost,
        Fault::WriteLate => world.write_fate = WriteFate::Late,
        Fault::OrderLost => world.order_fate = OrderFate::Lost,
        Fault::OrderLate => world.order_fate = OrderFate::Late,
        Fault::OrderTwice => world.order_fate = OrderFate::Twice,
        Fault::OrderResponseLost => world.order_fate = OrderFate::ResponseLost,
        Fault::EngineRestarted => world.restart_engine(),
        Fault::ReportsLate => world.engine.report_lag = Duration::from_secs(8),
        Fault::ReportsStale => world.engine.stale_reports = true,
        Fault::ReportsMissing => world.engine.no_reports = true,
        Fault::FencingEnforced => world.engine.enforces_fencing = true,
        Fault::KeeperMoved => {}
    }
}

/// One order that the first steward carries out step by step as long as it holds the endpoint.
struct OrderScenario {
    world: World,
    order: String,
    /// Write of the record that was sent, with the revision that it expects.
    write: Option<(EndpointRecord, i64)>,
}

impl OrderScenario {
    /// Creates a world whose engine holds `residents` and whose first steward holds the endpoint.
    fn new(residents: &[(&str, u64)]) -> Self {
        let mut world = World::new(residents).with_steward();
        let order = world.next_order();
        Self { world, order, write: None }
    }

    /// Returns whether the first steward runs and holds the endpoint.
    fn may_act(&self) -> bool {
        self.world.stewards[0].may_act() && self.world.stewards[0].ledger.is_some()
    }

    /// Returns the next step of the order, or `None` if the steward lost the endpoint.
    fn next_step(&mut self) -> Option<Step> {
        let authority = self.world.authority(0);
        let ledger = self.world.stewards[0].ledger.as_mut()?;
        Some(ledger.next_step(&self.order, authority, 0))
    }

    fn begin_write(&mut self) {
        if self.next_step() == Some(Step::Write) {
            self.write = self.world.build_record(0);
        }
    }

    fn end_write(&mut self) {
        if let Some((record, expected)) = self.write.take() {
            self.world.deliver_write(0, record, expected);
        }
    }

    fn begin_send(&mut self) {
        if let Some(Step::Send(order)) = self.next_step() {
            self.world.send_order(0, order);
        }
    }

    fn end_step(&mut self, step: &str) {
        match step {
            "intent written" if self.may_act() => self.end_write(),
            "order sent" => self.world.deliver_orders(),
            "order response received" if self.may_act() => {
                self.world.advance(LOAD_TIME);
                self.world.receive_responses(0);
            }
            "report seen" if self.may_act() => self.world.read_report(0),
            "intent closed" if self.may_act() => self.world.maintain(0),
            _ => {}
        }
    }
}

/// A run in which the model `spar` is loaded beside the resident model `glue`.
///
/// Afterwards the stewards unload `spar` once, and try to load `twine`, which fits only if neither
/// `spar` nor a delayed load of it can take memory. They also reload `glue` after a restart. A
/// ledger that forgets a delayed load would overcommit the memory.
struct Load(OrderScenario);

impl Protocol for Load {
    type Fault = Fault;

    const NAME: &'static str = "load";
    const STEPS: &'static [&'static str] = &[
        "decide",
        "intent written",
        "order sent",
        "order response received",
        "report seen",
        "intent closed",
    ];
    const FAULTS: &'static [Fault] = FAULTS;

    fn start() -> Self {
        let mut scenario = OrderScenario::new(&[("glue", 400)]);
        let order = scenario.order.clone();
        let ledger = scenario.world.stewards[0].ledger.as_mut();
        let planned = ledger.map(|ledger| ledger.plan_load(order, "spar".into(), 350));
        assert_eq!(planned, Some(Ok(())));
        scenario.world.unload_once = Some("spar".into());
        scenario.world.wanted_models = vec![("glue".into(), 400), ("twine".into(), 300)];
        Self(scenario)
    }

    fn begin(&mut self, step: usize) {
        match Self::STEPS[step] {
            "intent written" if self.0.may_act() => self.0.begin_write(),
            "order sent" if self.0.may_act() => self.0.begin_send(),
            _ => {}
        }
    }

    fn end(&mut self, step: usize) {
        self.0.end_step(Self::STEPS[step]);
    }

    fn inject(&mut self, fault: Fault) {
        inject(&mut self.0.world, fault);
    }

    fn check(&self) -> Result<(), String> {
        self.0.world.check()
    }

    fn settle(&mut self) {
        self.0.world.recover();
    }

    fn check_settled(&self) -> Result<(), String> {
        let world = &self.0.world;
        let loaded = ["spar", "twine"].iter().any(|m| world.engine.residents.contains_key(*m));
        if !loaded {
            return Err(format!("no spar or twine among {:?}", world.engine.residents));
        }
        world.check_recovered()
    }
}

/// Longest time until an unloaded model is resident and kept again, in seconds. It is longer than
/// four TTLs of an order.
const MAX_RETURN_SECONDS: u64 = 150;

/// A run in which the model `glue` is unloaded. At first, its keeper in the plan is another endpoint.
struct Unload {
    scenario: OrderScenario,
    /// Incarnation that this endpoint had when the planner made the endpoint the keeper.
    kept_incarnation: Option<u64>,
    /// Incarnation of the endpoint in the last digest that the planner saw, or `None` if that digest
    /// did not show the model as resident.
    shown_incarnation: Option<u64>,
    /// Whether the plan that the steward read allows the unload.
    plan_allows: Option<bool>,
}

impl Unload {
    /// Makes this endpoint the keeper, as the planner does.
    ///
    /// The planner decides by a digest from some time ago that shows the model. Its transaction
    /// fails if the endpoint's record contains an intent to unload the model.
    fn move_keeper(&mut self) {
        let world = &self.scenario.world;
        let (Some(holder), Some(record)) = (world.holder(), &world.record) else { return };
        let ledger = world.stewards[holder].ledger.as_ref();
        let shows = ledger.is_some_and(|l| l.dispatchable_models().any(|m| m.as_str() == "glue"));
        let incarnation = world.engine.incarnation;
        let shown = std::mem::replace(&mut self.shown_incarnation, shows.then_some(incarnation));
        if self.kept_incarnation == Some(world.engine.incarnation) {
            return;
        }
        if !world.service_down && shown.is_some() && !record.may_unload(&"glue".into()) {
            self.kept_incarnation = shown;
        }
    }

    /// Reads the plan if that is the next step of the order.
    fn read_plan(&mut self) {
        if self.scenario.next_step() == Some(Step::CheckKeeper) {
            self.plan_allows =
                Some(self.kept_incarnation.is_none() && !self.scenario.world.service_down);
        }
    }

    /// Approves or cancels the unload, as the plan says that was read.
    fn apply_plan(&mut self) {
        let Some(allowed) = self.plan_allows.take() else { return };
        let order = self.scenario.order.clone();
        let Some(ledger) = &mut self.scenario.world.stewards[0].ledger else { return };
        if allowed {
            ledger.approve(&order);
        } else {
            ledger.cancel(&order);
            self.scenario.world.write(0);
        }
    }
}

impl Protocol for Unload {
    type Fault = Fault;

    const NAME: &'static str = "unload";
    const STEPS: &'static [&'static str] = &[
        "decide",
        "intent written",
        "plan read",
        "order sent",
        "order response received",
        "report seen",
        "intent closed",
    ];
    const FAULTS: &'static [Fault] = UNLOAD_FAULTS;

    fn start() -> Self {
        let mut scenario = OrderScenario::new(&[("glue", 400)]);
        let order = scenario.order.clone();
        let ledger = scenario.world.stewards[0].ledger.as_mut();
        let planned = ledger.map(|ledger| ledger.plan_unload(order, "glue".into()));
        assert_eq!(planned, Some(Ok(())));
        let shown_incarnation = Some(scenario.world.engine.incarnation);
        Self { scenario, kept_incarnation: None, shown_incarnation, plan_allows: None }
    }

    fn begin(&mut self, step: usize) {
        match Self::STEPS[step] {
            "intent written" if self.scenario.may_act() => self.scenario.begin_write(),
            "plan read" if self.scenario.may_act() => self.read_plan(),
            "order sent" if self.scenario.may_act() => self.scenario.begin_send(),
            _ => {}
        }
    }

    fn end(&mut self, step: usize) {
        match Self::STEPS[step] {
            "plan read" => self.apply_plan(),
            step => self.scenario.end_step(step),
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KeeperMoved => self.move_keeper(),
            fault => inject(&mut self.scenario.world, fault),
        }
    }

    fn check(&self) -> Result<(), String> {
        let engine = &self.scenario.world.engine;
        if self.kept_incarnation == Some(engine.incarnation)
            && !engine.residents.contains_key("glue")
        {
            return Err("glue was unloaded at its keeper".to_owned());
        }
        self.scenario.world.check()
    }

    /// Loads the model again, and makes this endpoint its keeper as soon as the protocol allows.
    fn settle(&mut self) {
        self.scenario.world.end_faults();
        self.scenario.world.wanted_models.push(("glue".into(), 400));
        for _ in 0..MAX_RETURN_SECONDS {
            self.scenario.world.advance(Duration::from_secs(1));
            self.move_keeper();
            if self.kept_incarnation == Some(self.scenario.world.engine.incarnation) {
                break;
            }
        }
        // From here on, an unloaded model is not loaded again.
        self.scenario.world.wanted_models.clear();
        self.scenario.world.recover();
    }

    fn check_settled(&self) -> Result<(), String> {
        if self.kept_incarnation != Some(self.scenario.world.engine.incarnation) {
            return Err("the endpoint did not become the keeper of glue again".to_owned());
        }
        self.scenario.world.check_recovered()
    }
}

#[test]
fn matrix_unload() {
    run_all::<Unload>();
}

#[test]
fn matrix_load() {
    run_all::<Load>();
}

#[test]
fn ledger_denies_second_load_while_first_is_open() {
    let mut scenario = OrderScenario::new(&[("glue", 400)]);
    let second = scenario.world.next_order();
    let ledger = scenario.world.stewards[0].ledger.as_mut().expect("the steward has a ledger");
    ledger.plan_load(scenario.order.clone(), "spar".into(), 100).expect("spar fits beside glue");
    let denied = ledger.plan_load(second, "spar".into(), 100);
    assert_eq!(denied, Err(Denial::OrderPending));
}

#[test]
fn ledger_loads_nothing_before_a_report() {
    let order_ttl = Duration::from_secs(30);
    let limits = LedgerLimits { weight_bytes: 1_000, adapter_bytes: 0, max_orders: 1, order_ttl };
    let now = Time::from_millis(1_000);
    let mut ledger = Ledger::from_record(limits, &EndpointRecord::default(), now);
    assert_eq!(ledger.free_bytes(), 0);
    let denied = ledger.plan_load("o".to_owned(), Model::from("spar"), 1);
    assert_eq!(denied, Err(Denial::MemoryUnknown));
    assert_eq!(ledger.next_step("o", Authority::Full, 0), Step::Done);
}

#[test]
fn ledger_new_steward_ignores_reports_older_than_the_record() {
    let floor = StateVersion { incarnation: 7, sequence: 5 };
    let record = EndpointRecord { floor, fence: 2, ..EndpointRecord::default() };
    let limits =
        LedgerLimits { weight_bytes: 1_000, adapter_bytes: 0, max_orders: 1, order_ttl: PAUSE };
    let now = Time::from_millis(1_000);
    let mut ledger = Ledger::from_record(limits, &record, now);
    let report = |incarnation, sequence| Report { incarnation, sequence, ..Report::default() };
    assert_eq!(ledger.apply_report(&report(7, 4), now), ReportStatus::Stale);
    assert_eq!(ledger.free_bytes(), 0);
    // The unknown incarnation may be earlier or later than the one in the record.
    assert_eq!(ledger.apply_report(&report(3, 1), now), ReportStatus::Uncertain);
    assert_eq!(ledger.free_bytes(), 0);
    assert_eq!(ledger.apply_report(&report(7, 5), now), ReportStatus::Fresh);
    assert_eq!(ledger.free_bytes(), 1_000);
    assert_eq!(ledger.apply_report(&report(3, 1), now + PAUSE), ReportStatus::Stale);
    assert_eq!(ledger.apply_report(&report(8, 1), now + PAUSE), ReportStatus::Restarted);
}

#[test]
fn ledger_restart_before_first_report_counts_after_order_ttl() {
    let floor = StateVersion { incarnation: 7, sequence: 5 };
    let record = EndpointRecord { floor, fence: 2, ..EndpointRecord::default() };
    let limits =
        LedgerLimits { weight_bytes: 1_000, adapter_bytes: 0, max_orders: 1, order_ttl: PAUSE };
    let now = Time::from_millis(1_000);
    let mut ledger = Ledger::from_record(limits, &record, now);
    let report = Report { incarnation: 8, sequence: 1, ..Report::default() };
    assert_eq!(ledger.apply_report(&report, now), ReportStatus::Uncertain);
    assert_eq!(ledger.free_bytes(), 0);
    assert_eq!(ledger.apply_report(&report, now + PAUSE), ReportStatus::Restarted);
    assert_eq!(ledger.free_bytes(), 1_000);
}
