//! Memory is never overcommitted and the last keeper is never unloaded, under every fault.

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

use self::world::{Fate, LOAD_TIME, World, WriteFate};
use crate::matrix::{Protocol, run_all};

/// Faults of an order to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Killed,
    Paused,
    ServiceDown,
    WriteMute,
    WriteLate,
    OrderLost,
    OrderLate,
    OrderTwice,
    OrderMute,
    EngineRestarted,
    ReportsLate,
    ReportsStale,
    ReportsMissing,
    FencingObeyed,
    /// The planner makes this endpoint the model's keeper, as its protocol allows.
    KeeperMoved,
}

const FAULTS: &[Fault] = &[
    Fault::Killed,
    Fault::Paused,
    Fault::ServiceDown,
    Fault::WriteMute,
    Fault::WriteLate,
    Fault::OrderLost,
    Fault::OrderLate,
    Fault::OrderTwice,
    Fault::OrderMute,
    Fault::EngineRestarted,
    Fault::ReportsLate,
    Fault::ReportsStale,
    Fault::ReportsMissing,
    Fault::FencingObeyed,
];

const UNLOAD_FAULTS: &[Fault] = &[
    Fault::Killed,
    Fault::Paused,
    Fault::ServiceDown,
    Fault::WriteMute,
    Fault::WriteLate,
    Fault::OrderLate,
    Fault::OrderTwice,
    Fault::OrderMute,
    Fault::EngineRestarted,
    Fault::ReportsLate,
    Fault::ReportsStale,
    Fault::FencingObeyed,
    Fault::KeeperMoved,
];

/// Longer than a lease and the wait of those that take over.
const PAUSE: Duration = Duration::from_secs(18);

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
            world.down = true;
            world.advance(PAUSE);
        }
        Fault::WriteMute => world.write_fate = WriteFate::Mute,
        Fault::WriteLate => world.write_fate = WriteFate::Late,
        Fault::OrderLost => world.fate = Fate::Lost,
        Fault::OrderLate => world.fate = Fate::Late,
        Fault::OrderTwice => world.fate = Fate::Twice,
        Fault::OrderMute => world.fate = Fate::Mute,
        Fault::EngineRestarted => world.restart_engine(),
        Fault::ReportsLate => world.engine.lag = Duration::from_secs(8),
        Fault::ReportsStale => world.engine.stale = true,
        Fault::ReportsMissing => world.engine.silent = true,
        Fault::FencingObeyed => world.engine.fencing = true,
        Fault::KeeperMoved => {}
    }
}

/// A step of an order, run by the steward that planned it as long as it may.
struct Ordering {
    world: World,
    order: String,
    write: Option<(EndpointRecord, i64)>,
}

impl Ordering {
    fn new(residents: &[(&str, u64)]) -> Self {
        let mut world = World::new(residents).settled();
        let order = world.next_order();
        Self { world, order, write: None }
    }

    fn acts(&self) -> bool {
        self.world.stewards[0].acts() && self.world.stewards[0].ledger.is_some()
    }

    fn next(&mut self) -> Option<Step> {
        let duty = self.world.duty(0);
        let ledger = self.world.stewards[0].ledger.as_mut()?;
        Some(ledger.next_step(&self.order, duty, 0))
    }

    fn begin_write(&mut self) {
        if self.next() == Some(Step::Write) {
            self.write = self.world.build(0);
        }
    }

    fn end_write(&mut self) {
        if let Some((record, expected)) = self.write.take() {
            self.world.arrive(0, record, expected);
        }
    }

    fn begin_send(&mut self) {
        if let Some(Step::Send(order)) = self.next() {
            self.world.send(0, order);
        }
    }

    fn end_step(&mut self, step: &str) {
        match step {
            "intent written" if self.acts() => self.end_write(),
            "order sent" => self.world.deliver_orders(),
            "order answered" if self.acts() => {
                self.world.advance(LOAD_TIME);
                self.world.hear(0);
            }
            "report seen" if self.acts() => self.world.see_report(0),
            "intent closed" if self.acts() => self.world.tend(0),
            _ => {}
        }
    }
}

/// Loads `spar` beside `glue`; whenever they may, the stewards unload it again and load `twine`,
/// which fits only where no copy of `spar` can land any more; they reload `glue` where it was lost.
struct Load(Ordering);

impl Protocol for Load {
    type Fault = Fault;

    const NAME: &'static str = "load";
    const STEPS: &'static [&'static str] = &[
        "decide",
        "intent written",
        "order sent",
        "order answered",
        "report seen",
        "intent closed",
    ];
    const FAULTS: &'static [Fault] = FAULTS;

    fn start() -> Self {
        let mut ordering = Ordering::new(&[("glue", 400)]);
        let order = ordering.order.clone();
        let ledger = ordering.world.stewards[0].ledger.as_mut();
        let planned = ledger.map(|ledger| ledger.plan_load(order, "spar".into(), 350));
        assert_eq!(planned, Some(Ok(())));
        ordering.world.churn = Some("spar".into());
        ordering.world.hunger = vec![("glue".into(), 400), ("twine".into(), 300)];
        Self(ordering)
    }

    fn begin(&mut self, step: usize) {
        match Self::STEPS[step] {
            "intent written" if self.0.acts() => self.0.begin_write(),
            "order sent" if self.0.acts() => self.0.begin_send(),
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
            return Err(format!("nothing was loaded: {:?}", world.engine.residents));
        }
        world.check_recovered()
    }
}

/// Time for a model to return that was unloaded, in seconds; longer than four lives of an order.
const RETURN_SECONDS: u64 = 150;

/// Unloads `glue`, which another endpoint keeps at first.
struct Unload {
    ordering: Ordering,
    /// Incarnation of this endpoint at which it became the keeper.
    keeper: Option<u64>,
    /// Incarnation in which the digest that the planner saw last shows the model.
    shown: Option<u64>,
    read: Option<bool>,
}

impl Unload {
    /// Moves the keeper here in one transaction that expects a record without an intent to unload,
    /// for a model that the steward's digest showed some time ago.
    fn move_keeper(&mut self) {
        let world = &self.ordering.world;
        let (Some(holder), Some(record)) = (world.holder(), &world.record) else { return };
        let ledger = world.stewards[holder].ledger.as_ref();
        let shows = ledger.is_some_and(|l| l.dispatchable_models().any(|m| m.as_str() == "glue"));
        let incarnation = world.engine.incarnation;
        let shown = std::mem::replace(&mut self.shown, shows.then_some(incarnation));
        if self.keeper == Some(world.engine.incarnation) {
            return;
        }
        if !world.down && shown.is_some() && !record.may_unload(&"glue".into()) {
            self.keeper = shown;
        }
    }

    fn read_plan(&mut self) {
        if self.ordering.next() == Some(Step::CheckKeeper) {
            self.read = Some(self.keeper.is_none() && !self.ordering.world.down);
        }
    }

    fn note_plan(&mut self) {
        let Some(allowed) = self.read.take() else { return };
        let order = self.ordering.order.clone();
        let Some(ledger) = &mut self.ordering.world.stewards[0].ledger else { return };
        if allowed {
            ledger.approve(&order);
        } else {
            ledger.cancel(&order);
            self.ordering.world.write(0);
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
        "order answered",
        "report seen",
        "intent closed",
    ];
    const FAULTS: &'static [Fault] = UNLOAD_FAULTS;

    fn start() -> Self {
        let mut ordering = Ordering::new(&[("glue", 400)]);
        let order = ordering.order.clone();
        let ledger = ordering.world.stewards[0].ledger.as_mut();
        let planned = ledger.map(|ledger| ledger.plan_unload(order, "glue".into()));
        assert_eq!(planned, Some(Ok(())));
        let shown = Some(ordering.world.engine.incarnation);
        Self { ordering, keeper: None, shown, read: None }
    }

    fn begin(&mut self, step: usize) {
        match Self::STEPS[step] {
            "intent written" if self.ordering.acts() => self.ordering.begin_write(),
            "plan read" if self.ordering.acts() => self.read_plan(),
            "order sent" if self.ordering.acts() => self.ordering.begin_send(),
            _ => {}
        }
    }

    fn end(&mut self, step: usize) {
        match Self::STEPS[step] {
            "plan read" => self.note_plan(),
            step => self.ordering.end_step(step),
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KeeperMoved => self.move_keeper(),
            fault => inject(&mut self.ordering.world, fault),
        }
    }

    fn check(&self) -> Result<(), String> {
        let engine = &self.ordering.world.engine;
        if self.keeper == Some(engine.incarnation) && !engine.residents.contains_key("glue") {
            return Err("the keeper's copy was unloaded".to_owned());
        }
        self.ordering.world.check()
    }

    /// The model is wanted here again, and becomes kept here as soon as the protocol allows.
    fn settle(&mut self) {
        self.ordering.world.end_faults();
        self.ordering.world.hunger.push(("glue".into(), 400));
        for _ in 0..RETURN_SECONDS {
            self.ordering.world.advance(Duration::from_secs(1));
            self.move_keeper();
            if self.keeper == Some(self.ordering.world.engine.incarnation) {
                break;
            }
        }
        // What is unloaded from here on stays away.
        self.ordering.world.hunger.clear();
        self.ordering.world.recover();
    }

    fn check_settled(&self) -> Result<(), String> {
        if self.keeper != Some(self.ordering.world.engine.incarnation) {
            return Err("the model could not be kept here again".to_owned());
        }
        self.ordering.world.check_recovered()
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
fn ledger_denies_second_copy_while_first_is_open() {
    let mut ordering = Ordering::new(&[("glue", 400)]);
    let second = ordering.world.next_order();
    let ledger = ordering.world.stewards[0].ledger.as_mut().expect("a ledger");
    ledger.plan_load(ordering.order.clone(), "spar".into(), 100).expect("it fits");
    let denied = ledger.plan_load(second, "spar".into(), 100);
    assert_eq!(denied, Err(Denial::OrderPending));
}

#[test]
fn ledger_loads_nothing_before_a_report() {
    let life = Duration::from_secs(30);
    let limits =
        LedgerLimits { weight_bytes: 1_000, adapter_bytes: 0, max_orders: 1, order_ttl: life };
    let now = Time::from_millis(1_000);
    let mut ledger = Ledger::from_record(limits, &EndpointRecord::default(), now);
    assert_eq!(ledger.free(), 0);
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
    assert_eq!(ledger.free(), 0);
    // Another incarnation may lie before the record as well as after it.
    assert_eq!(ledger.apply_report(&report(3, 1), now), ReportStatus::Uncertain);
    assert_eq!(ledger.free(), 0);
    assert_eq!(ledger.apply_report(&report(7, 5), now), ReportStatus::Fresh);
    assert_eq!(ledger.free(), 1_000);
    assert_eq!(ledger.apply_report(&report(3, 1), now + PAUSE), ReportStatus::Stale);
    assert_eq!(ledger.apply_report(&report(8, 1), now + PAUSE), ReportStatus::Restarted);
}

#[test]
fn ledger_takes_a_restart_before_its_first_report_only_after_an_order_life() {
    let floor = StateVersion { incarnation: 7, sequence: 5 };
    let record = EndpointRecord { floor, fence: 2, ..EndpointRecord::default() };
    let limits =
        LedgerLimits { weight_bytes: 1_000, adapter_bytes: 0, max_orders: 1, order_ttl: PAUSE };
    let now = Time::from_millis(1_000);
    let mut ledger = Ledger::from_record(limits, &record, now);
    let report = Report { incarnation: 8, sequence: 1, ..Report::default() };
    assert_eq!(ledger.apply_report(&report, now), ReportStatus::Uncertain);
    assert_eq!(ledger.free(), 0);
    assert_eq!(ledger.apply_report(&report, now + PAUSE), ReportStatus::Restarted);
    assert_eq!(ledger.free(), 1_000);
}
