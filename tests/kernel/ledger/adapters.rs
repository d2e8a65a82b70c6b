//! The pool of adapters never takes more than its bytes, whatever happens to its orders.

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    endpoint::{Order, OrderKind, OrderReply, Report, Resident},
    kernel::{
        ledger::{AdapterKey, AdapterStep, EndpointRecord, Ledger, LedgerLimits},
        stewardship::Authority,
    },
    names::Model,
};
use proptest::{prelude::*, test_runner::Config};

const ORDER_TTL: Duration = Duration::from_secs(30);
const POOL_BYTES: u64 = 50;
const ADAPTER_COUNT: u8 = 12;
const ADAPTER_BYTES: u64 = 10;

/// What happens in one second.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request wants an adapter; its order, if any, is answered.
    Responded(u8),
    /// The order takes effect at once and is not answered.
    ResponseLost(u8),
    /// The order takes effect when its life is almost over, and is not answered.
    Late(u8),
    /// The order takes effect at once and again when its life is almost over.
    Twice(u8),
    /// Another steward takes over.
    NextSteward,
    /// The engine restarts.
    Restart,
    /// Time passes.
    Wait,
}

struct FakeEndpoint {
    now: Time,
    incarnation: u64,
    sequence: u64,
    adapters: BTreeMap<AdapterKey, u64>,
    delayed_orders: Vec<(Time, Order)>,
    history: Vec<(Time, Report)>,
    report_lag: Duration,
    ledger: Ledger,
    fence: u64,
    order_count: u64,
    load_count: u64,
}

fn ledger(fence: u64, now: Time) -> Ledger {
    let limits = LedgerLimits {
        weight_bytes: 1_000,
        adapter_bytes: POOL_BYTES,
        max_orders: 2,
        order_ttl: ORDER_TTL,
    };
    Ledger::from_record(limits, &EndpointRecord { fence, ..EndpointRecord::default() }, now)
}

impl FakeEndpoint {
    fn new(lag: u64) -> Self {
        let now = Time::from_millis(1_000_000);
        let mut fake = Self {
            now,
            incarnation: 9,
            sequence: 1,
            adapters: BTreeMap::new(),
            delayed_orders: Vec::new(),
            history: Vec::new(),
            report_lag: Duration::from_secs(lag),
            ledger: ledger(1, now),
            fence: 1,
            order_count: 0,
            load_count: 0,
        };
        fake.record_report();
        fake
    }

    fn record_report(&mut self) {
        let model = Resident { model: "glue".into(), adapter: None, bytes: 100 };
        let adapters = self.adapters.iter().map(|(key, bytes)| Resident {
            model: key.0.clone(),
            adapter: Some(key.1.clone()),
            bytes: *bytes,
        });
        let report = Report {
            incarnation: self.incarnation,
            sequence: self.sequence,
            residents: std::iter::once(model).chain(adapters).collect(),
            ..Report::default()
        };
        self.history.push((self.now, report));
    }

    fn apply(&mut self, order: &Order) -> OrderReply {
        let key = (order.model.clone(), order.adapter.clone().expect("an adapter"));
        match order.kind {
            OrderKind::LoadAdapter => _ = self.adapters.insert(key, order.bytes),
            _ => _ = self.adapters.remove(&key),
        }
        self.sequence += 1;
        self.record_report();
        let memory: u64 = self.adapters.values().sum();
        assert!(memory <= POOL_BYTES, "{memory} of {POOL_BYTES} after {order:?}");
        OrderReply { id: order.id.clone(), sequence: self.sequence, incarnation: self.incarnation }
    }

    fn tick(&mut self) {
        self.now = self.now + Duration::from_secs(1);
        let now = self.now;
        let due: Vec<_> = self.delayed_orders.extract_if(.., |(due, _)| *due <= now).collect();
        for (_, order) in due {
            self.apply(&order);
        }
        self.record_report();
        let old = self.history.iter().rev().find(|(at, _)| now.since(*at) >= self.report_lag);
        if let Some((_, report)) = old {
            self.ledger.apply_report(report, now);
        }
    }

    fn request_adapter(&mut self, number: u8) -> Option<Order> {
        let key: AdapterKey = (Model::from("glue"), format!("a{number}").into());
        self.order_count += 1;
        let id = format!("o{}", self.order_count);
        match self.ledger.next_adapter_step(&key, ADAPTER_BYTES, id, Authority::Full, self.now) {
            AdapterStep::Ready => {
                self.ledger.release_adapter(&key);
                None
            }
            AdapterStep::Wait => None,
            AdapterStep::Send(order) => {
                self.load_count += u64::from(order.kind == OrderKind::LoadAdapter);
                Some(order)
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let late = self.now + ORDER_TTL - Duration::from_secs(1);
        let number = match event {
            Event::Responded(n) | Event::ResponseLost(n) | Event::Late(n) | Event::Twice(n) => n,
            Event::NextSteward => {
                self.fence += 1;
                self.ledger = ledger(self.fence, self.now);
                return self.tick();
            }
            Event::Restart => {
                self.incarnation += 3;
                self.sequence = 1;
                self.adapters.clear();
                self.record_report();
                return self.tick();
            }
            Event::Wait => return (0..5).for_each(|_| self.tick()),
        };
        if let Some(order) = self.request_adapter(number) {
            let reply = match event {
                Event::Late(_) => {
                    self.delayed_orders.push((late, order.clone()));
                    None
                }
                Event::ResponseLost(_) => {
                    self.apply(&order);
                    None
                }
                _ => Some(self.apply(&order)),
            };
            if matches!(event, Event::Twice(_)) {
                self.delayed_orders.push((late, order.clone()));
            }
            self.ledger.record_adapter_response(&order, reply.as_ref(), self.now);
        }
        self.tick();
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..ADAPTER_COUNT).prop_map(Event::Responded),
        2 => (0..ADAPTER_COUNT).prop_map(Event::ResponseLost),
        2 => (0..ADAPTER_COUNT).prop_map(Event::Late),
        2 => (0..ADAPTER_COUNT).prop_map(Event::Twice),
        1 => Just(Event::NextSteward),
        1 => Just(Event::Restart),
        4 => Just(Event::Wait),
    ]
}

#[test]
fn adapters_never_exceed_their_pool() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config, rng);
    let events = (0..12_u64, prop::collection::vec(event(), 20..200));
    let outcome = runner.run(&events, |(lag, events)| {
        let mut fake = FakeEndpoint::new(lag);
        events.into_iter().for_each(|event| fake.handle_event(event));
        Ok(())
    });
    outcome.expect("within the pool");
}

#[test]
fn adapters_go_in_order_of_last_use() {
    let mut fake = FakeEndpoint::new(0);
    (0..40).for_each(|_| fake.tick());
    for number in [0, 0, 1, 2, 3, 4] {
        fake.handle_event(Event::Responded(number));
    }
    assert_eq!(fake.adapters.len(), 5, "{:?}", fake.adapters);
    (0..40).for_each(|_| fake.tick());
    fake.handle_event(Event::Responded(0));
    fake.handle_event(Event::Responded(7));
    assert!(!fake.adapters.contains_key(&("glue".into(), "a1".into())), "{:?}", fake.adapters);
    fake.handle_event(Event::Responded(7));
    assert!(fake.adapters.contains_key(&("glue".into(), "a7".into())), "{:?}", fake.adapters);
    assert!(fake.adapters.contains_key(&("glue".into(), "a0".into())), "{:?}", fake.adapters);
}

#[test]
fn adapters_stay_within_their_orders_at_once() {
    let mut fake = FakeEndpoint::new(0);
    fake.tick();
    fake.handle_event(Event::Responded(0));
    let first = fake.request_adapter(1);
    let second = fake.request_adapter(2);
    assert!(first.is_some() && second.is_some());
    assert_eq!(fake.request_adapter(3), None);
    assert_eq!(fake.request_adapter(1), None);
    let reply = fake.apply(first.as_ref().expect("an order"));
    fake.ledger.record_adapter_response(&first.expect("an order"), Some(&reply), fake.now);
    assert!(fake.request_adapter(3).is_some());
}
