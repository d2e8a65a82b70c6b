//! Tests that the adapters of an endpoint never take more memory than is reserved for them, whatever
//! happens to the orders.

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

/// Time after sending at which an order can no longer take effect.
const ORDER_TTL: Duration = Duration::from_secs(30);
/// Memory reserved for adapters, in bytes.
const POOL_BYTES: u64 = 50;
/// Number of adapters that requests use.
const ADAPTER_COUNT: u8 = 12;
/// Size of each adapter, in bytes.
const ADAPTER_BYTES: u64 = 10;

/// What happens next. The number is that of an adapter that a request needs.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The adapter order for a request, if one is sent, takes effect and gets a response.
    Responded(u8),
    /// The order takes effect at once, and its response is lost.
    ResponseLost(u8),
    /// The order takes effect just before the end of its TTL, and its response is lost.
    Late(u8),
    /// The order takes effect at once, and a duplicate just before the end of its TTL.
    Twice(u8),
    /// Another steward takes over.
    NextSteward,
    /// The engine restarts with empty memory.
    Restart,
    /// Nothing happens for some seconds.
    Wait,
}

/// A fake engine together with its steward's ledger.
struct FakeEndpoint {
    now: Time,
    incarnation: u64,
    sequence: u64,
    /// Adapters that are actually resident, with their bytes.
    adapters: BTreeMap<AdapterKey, u64>,
    /// Orders that take effect late, with the time.
    delayed_orders: Vec<(Time, Order)>,
    /// All reports so far, with the times from which on they were current.
    history: Vec<(Time, Report)>,
    report_lag: Duration,
    ledger: Ledger,
    /// Fencing number of the current steward's term.
    fence: u64,
    order_count: u64,
    load_count: u64,
}

/// Returns the ledger of a new steward.
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
    /// Creates an endpoint whose reports are delayed by `lag` seconds.
    fn new(lag: u64) -> Self {
        let now = Time::from_millis(1_000_000);
        let mut endpoint = Self {
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
        endpoint.record_report();
        endpoint
    }

    /// Adds a report of the current state to the history.
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

    /// Applies an order and returns the response.
    ///
    /// Panics if the adapters then take more memory than is reserved for them.
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

    /// Lets a second pass, delivers the delayed orders that are due, and applies a report.
    fn tick(&mut self) {
        self.now = self.now + Duration::from_secs(1);
        let now = self.now;
        let due: Vec<_> = self.delayed_orders.extract_if(.., |(due, _)| *due <= now).collect();
        for (_, order) in due {
            self.apply(&order);
        }
        self.record_report();
        let found = self.history.iter().rev().find(|(at, _)| now.since(*at) >= self.report_lag);
        if let Some((_, report)) = found {
            self.ledger.apply_report(report, now);
        }
    }

    /// Asks the ledger for an adapter and returns the order to send, if any.
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

    /// Applies an event and lets time pass.
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
        let mut endpoint = FakeEndpoint::new(lag);
        events.into_iter().for_each(|event| endpoint.handle_event(event));
        Ok(())
    });
    outcome.expect("the adapters stay within the reserved memory");
}

#[test]
fn adapters_go_in_order_of_last_use() {
    let mut endpoint = FakeEndpoint::new(0);
    (0..40).for_each(|_| endpoint.tick());
    for number in [0, 0, 1, 2, 3, 4] {
        endpoint.handle_event(Event::Responded(number));
    }
    assert_eq!(endpoint.adapters.len(), 5, "{:?}", endpoint.adapters);
    (0..40).for_each(|_| endpoint.tick());
    endpoint.handle_event(Event::Responded(0));
    endpoint.handle_event(Event::Responded(7));
    assert!(
        !endpoint.adapters.contains_key(&("glue".into(), "a1".into())),
        "{:?}",
        endpoint.adapters
    );
    endpoint.handle_event(Event::Responded(7));
    assert!(
        endpoint.adapters.contains_key(&("glue".into(), "a7".into())),
        "{:?}",
        endpoint.adapters
    );
    assert!(
        endpoint.adapters.contains_key(&("glue".into(), "a0".into())),
        "{:?}",
        endpoint.adapters
    );
}

#[test]
fn adapters_stay_within_their_orders_at_once() {
    let mut endpoint = FakeEndpoint::new(0);
    endpoint.tick();
    endpoint.handle_event(Event::Responded(0));
    let first = endpoint.request_adapter(1);
    let second = endpoint.request_adapter(2);
    assert!(first.is_some() && second.is_some());
    assert_eq!(endpoint.request_adapter(3), None);
    assert_eq!(endpoint.request_adapter(1), None);
    let reply = endpoint.apply(first.as_ref().expect("an order"));
    endpoint.ledger.record_adapter_response(&first.expect("an order"), Some(&reply), endpoint.now);
    assert!(endpoint.request_adapter(3).is_some());
}
