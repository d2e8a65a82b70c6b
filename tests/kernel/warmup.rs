//! Tests that a cold endpoint runs no more requests than its limit, whichever instance stewards it.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    config::{PoolKind, PoolSpec},
    kernel::warmup::{ColdSign, Warmup, WarmupChange},
};

use crate::matrix::{Protocol, run_all};

/// Number of requests that a cold endpoint may run at once.
const COLD_LIMIT: u32 = 4;
/// Number of requests that a warm endpoint may run at once.
const WARM_LIMIT: u32 = 32;

fn pool() -> PoolSpec {
    PoolSpec {
        kind: PoolKind::Engine,
        fencing: true,
        memory: 0,
        adapter_bytes: 0,
        cold_limit: COLD_LIMIT,
        warm_limit: WARM_LIMIT,
        order_ttl: Duration::from_secs(1),
        adapter_loads: 1,
    }
}

/// Returns the time after this many milliseconds.
fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns the warm-up of an endpoint that can run its full load.
fn warm() -> Warmup {
    let mut warmup = Warmup::new(&pool());
    for i in 0..1_000 {
        warmup.record_completion(at(i * 100));
    }
    assert!(warmup.is_warm());
    warmup
}

#[test]
fn limit_rises_with_responses_only() {
    let mut warmup = Warmup::new(&pool());
    warmup.record_completion(at(0));
    warmup.record_completion(at(3_600_000));
    assert_eq!(warmup.limit(), COLD_LIMIT, "time without responses must not raise the limit");
    for _ in 0..1_000 {
        warmup.record_completion(at(3_600_001));
    }
    assert_eq!(warmup.limit(), WARM_LIMIT);
}

#[test]
fn limit_needs_many_responses() {
    let mut warmup = Warmup::new(&pool());
    for i in 0..31 {
        warmup.record_completion(at(i * 10_000));
    }
    assert_eq!(warmup.limit(), COLD_LIMIT);
}

#[test]
fn limit_does_not_rise_in_a_burst() {
    let mut warmup = Warmup::new(&pool());
    for _ in 0..1_000 {
        warmup.record_completion(at(1));
    }
    assert_eq!(warmup.limit(), COLD_LIMIT);
}

#[test]
fn limit_never_above_warm() {
    let mut warmup = Warmup::new(&pool());
    let mut before = warmup.limit();
    for i in 0..1_000 {
        warmup.record_completion(at(i * 100));
        assert!(warmup.limit() <= before + 1 && warmup.limit() <= WARM_LIMIT);
        before = warmup.limit();
    }
}

#[test]
fn reset_to_cold_at_every_sign() {
    let signs = [
        ColdSign::Incarnation,
        ColdSign::Refused,
        ColdSign::Overloaded,
        ColdSign::Cut,
        ColdSign::Returned,
    ];
    for sign in signs {
        let mut warmup = warm();
        assert_eq!(warmup.reset_to_cold(sign), WarmupChange::Cold(sign));
        assert_eq!(warmup.limit(), COLD_LIMIT);
        assert_eq!(
            warmup.reset_to_cold(sign),
            WarmupChange::None,
            "a cold endpoint must stay cold"
        );
    }
}

#[test]
fn may_start_counts_earlier_steward() {
    let mut warmup = Warmup::new(&pool());
    warmup.record_report(3, 0);
    assert!(warmup.may_start(0));
    assert!(!warmup.may_start(1), "three requests of the earlier steward still run");
    warmup.record_report(3, 1);
    assert!(warmup.may_start(1));
    warmup.record_report(4, 0);
    assert!(warmup.may_start(1), "a lagging report must not count finished requests once more");
}

#[test]
fn first_byte_slow_streak() {
    let mut warmup = warm();
    for _ in 0..20 {
        assert_eq!(warmup.record_first_byte(Duration::from_millis(200)), WarmupChange::None);
    }
    let slow = Duration::from_millis(1_500);
    assert_eq!(
        warmup.record_first_byte(slow),
        WarmupChange::None,
        "one slow response must not reset the endpoint"
    );
    assert_eq!(warmup.record_first_byte(Duration::from_millis(210)), WarmupChange::None);
    assert_eq!(warmup.record_first_byte(slow), WarmupChange::None);
    assert_eq!(warmup.record_first_byte(slow), WarmupChange::None);
    assert_eq!(warmup.record_first_byte(slow), WarmupChange::Cold(ColdSign::Slow));
    assert_eq!(warmup.limit(), COLD_LIMIT);
}

/// Number of responses after which the fake endpoint is warm.
const WARM_RESPONSE_COUNT: u32 = 20;

/// One endpoint with its stewards; each step dispatches as many requests as the limit allows.
struct Ramp {
    now: u64,
    warmup: Warmup,
    /// Incarnation of the endpoint that the steward knows.
    known_incarnation: u64,
    /// Actual incarnation of the endpoint.
    incarnation: u64,
    /// Responses since the endpoint's start.
    completed: u32,
    /// Running requests of the current steward.
    running: u32,
    /// Running requests of earlier stewards.
    inherited: u32,
    /// Whether the steward receives reports.
    reports_arrive: bool,
    /// Description of the latest overload of a cold endpoint.
    excess: Option<String>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The endpoint restarts and cuts off its responses.
    Crash,
    /// The endpoint restarts, and the steward sees no sign of it.
    CoolsSilently,
    /// Another steward takes the endpoint over.
    NewSteward,
    /// Reports no longer arrive.
    ReportMissing,
    /// Reports arrive again.
    ReportBack,
    /// The endpoint's data centre returns to service.
    DataCentreReturns,
    /// The endpoint refuses a connection.
    Refuses,
}

impl Ramp {
    /// Dispatches requests as a steward does.
    fn dispatch(&mut self) {
        let running_before = self.running;
        while self.warmup.may_start(self.running) {
            self.running += 1;
        }
        let cold = self.completed < WARM_RESPONSE_COUNT;
        let load = self.running + self.inherited;
        if self.running > running_before && cold && load > COLD_LIMIT && !self.is_unseen() {
            self.excess = Some(format!(
                "{load} requests run at a cold endpoint, whose limit is {COLD_LIMIT}"
            ));
        }
    }

    /// Returns whether the endpoint restarted and the steward has not seen it yet.
    fn is_unseen(&self) -> bool {
        self.known_incarnation != self.incarnation
    }

    /// Completes all running requests.
    fn complete_all(&mut self) {
        let running = std::mem::take(&mut self.running);
        self.inherited = 0;
        for _ in 0..running {
            self.now += 100;
            self.completed += 1;
            self.warmup.record_completion(at(self.now));
        }
    }

    /// Restarts the endpoint, which cuts off all running responses. The steward then reads a
    /// report, unless no request was running and reports are missing.
    fn restart_endpoint(&mut self) {
        self.incarnation += 1;
        self.completed = 0;
        let ran = std::mem::take(&mut self.running) > 0;
        self.inherited = 0;
        if ran || self.reports_arrive {
            self.read_report();
        }
    }

    /// Lets the steward read a report of the endpoint.
    fn read_report(&mut self) {
        if self.known_incarnation != self.incarnation {
            self.warmup.reset_to_cold(ColdSign::Incarnation);
            self.known_incarnation = self.incarnation;
        }
        self.warmup.record_report(self.running + self.inherited, self.running);
    }
}

impl Protocol for Ramp {
    type Fault = Fault;

    const NAME: &'static str = "warmup";
    const STEPS: &'static [&'static str] =
        &["appears", "first request", "cold", "ramp", "warm", "falls back", "ramps again"];
    const FAULTS: &'static [Fault] = &[
        Fault::Crash,
        Fault::CoolsSilently,
        Fault::NewSteward,
        Fault::ReportMissing,
        Fault::ReportBack,
        Fault::DataCentreReturns,
        Fault::Refuses,
    ];

    fn start() -> Self {
        Self {
            now: 0,
            warmup: Warmup::new(&pool()),
            known_incarnation: 1,
            incarnation: 1,
            completed: 0,
            running: 0,
            inherited: 0,
            reports_arrive: true,
            excess: None,
        }
    }

    fn begin(&mut self, step: usize) {
        if Self::STEPS[step] == "falls back" {
            self.restart_endpoint();
        }
        self.dispatch();
    }

    fn end(&mut self, step: usize) {
        let rounds = if Self::STEPS[step] == "ramp" { 60 } else { 2 };
        for _ in 0..rounds {
            self.complete_all();
            if self.reports_arrive {
                self.read_report();
            }
            self.dispatch();
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Crash => self.restart_endpoint(),
            Fault::CoolsSilently => {
                self.incarnation += 1;
                self.completed = 0;
            }
            // The requests of the old steward still run. The new steward learns of them from its
            // first report and dispatches nothing before.
            Fault::NewSteward => {
                self.inherited += std::mem::take(&mut self.running);
                self.warmup = Warmup::new(&pool());
                self.warmup.record_report(self.inherited, 0);
                self.known_incarnation = self.incarnation;
            }
            Fault::ReportMissing => self.reports_arrive = false,
            Fault::ReportBack => {
                self.reports_arrive = true;
                self.read_report();
            }
            Fault::DataCentreReturns => {
                self.warmup.reset_to_cold(ColdSign::Returned);
            }
            Fault::Refuses => {
                self.running = 0;
                self.warmup.reset_to_cold(ColdSign::Refused);
            }
        }
        self.dispatch();
    }

    fn check(&self) -> Result<(), String> {
        match &self.excess {
            Some(reason) => Err(reason.clone()),
            None if self.running > WARM_LIMIT => {
                Err("more requests run than the warm limit allows".to_owned())
            }
            None => Ok(()),
        }
    }

    fn settle(&mut self) {
        self.reports_arrive = true;
        self.read_report();
        for _ in 0..200 {
            self.complete_all();
            self.read_report();
            self.dispatch();
        }
    }

    fn check_settled(&self) -> Result<(), String> {
        if self.warmup.is_warm() {
            Ok(())
        } else {
            Err("the endpoint does not become warm".to_owned())
        }
    }
}

#[test]
fn matrix_warmup() {
    run_all::<Ramp>();
}
