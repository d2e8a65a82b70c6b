//! A fresh endpoint gets no more than it bears, whoever stewards it.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    config::{PoolKind, PoolSpec},
    kernel::warmup::{ColdSign, Warmup, WarmupChange},
};

use crate::matrix::{Protocol, run_all};

const COLD_LIMIT: u32 = 4;
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

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns an endpoint that bears its full load.
fn warm() -> Warmup {
    let mut warmth = Warmup::new(&pool());
    for i in 0..1_000 {
        warmth.record_completion(at(i * 100));
    }
    assert!(warmth.is_warm());
    warmth
}

#[test]
fn limit_rises_with_answers_only() {
    let mut warmth = Warmup::new(&pool());
    warmth.record_completion(at(0));
    warmth.record_completion(at(3_600_000));
    assert_eq!(warmth.limit(), COLD_LIMIT, "an hour alone warms nothing");
    for _ in 0..1_000 {
        warmth.record_completion(at(3_600_001));
    }
    assert_eq!(warmth.limit(), WARM_LIMIT);
}

#[test]
fn limit_needs_many_answers() {
    let mut warmth = Warmup::new(&pool());
    for i in 0..31 {
        warmth.record_completion(at(i * 10_000));
    }
    assert_eq!(warmth.limit(), COLD_LIMIT);
}

#[test]
fn limit_does_not_rise_in_a_burst() {
    let mut warmth = Warmup::new(&pool());
    for _ in 0..1_000 {
        warmth.record_completion(at(1));
    }
    assert_eq!(warmth.limit(), COLD_LIMIT);
}

#[test]
fn limit_never_above_warm() {
    let mut warmth = Warmup::new(&pool());
    let mut before = warmth.limit();
    for i in 0..1_000 {
        warmth.record_completion(at(i * 100));
        assert!(warmth.limit() <= before + 1 && warmth.limit() <= WARM_LIMIT);
        before = warmth.limit();
    }
}

#[test]
fn fall_back_at_every_sign() {
    let signs = [
        ColdSign::Incarnation,
        ColdSign::Refused,
        ColdSign::Overloaded,
        ColdSign::Cut,
        ColdSign::Returned,
    ];
    for sign in signs {
        let mut warmth = warm();
        assert_eq!(warmth.reset_to_cold(sign), WarmupChange::Cold(sign));
        assert_eq!(warmth.limit(), COLD_LIMIT);
        assert_eq!(warmth.reset_to_cold(sign), WarmupChange::None, "recorded once");
    }
}

#[test]
fn bears_counts_earlier_steward() {
    let mut warmth = Warmup::new(&pool());
    warmth.record_report(3, 0);
    assert!(warmth.may_start(0));
    assert!(!warmth.may_start(1), "three of the earlier steward run on");
    warmth.record_report(3, 1);
    assert!(warmth.may_start(1));
    warmth.record_report(4, 0);
    assert!(warmth.may_start(1), "a lagging report does not bring them back");
}

#[test]
fn first_byte_jump() {
    let mut warmth = warm();
    for _ in 0..20 {
        assert_eq!(warmth.record_first_byte(Duration::from_millis(200)), WarmupChange::None);
    }
    let slow = Duration::from_millis(1_500);
    assert_eq!(warmth.record_first_byte(slow), WarmupChange::None, "one slow answer is no sign");
    assert_eq!(warmth.record_first_byte(Duration::from_millis(210)), WarmupChange::None);
    assert_eq!(warmth.record_first_byte(slow), WarmupChange::None);
    assert_eq!(warmth.record_first_byte(slow), WarmupChange::None);
    assert_eq!(warmth.record_first_byte(slow), WarmupChange::Cold(ColdSign::Slow));
    assert_eq!(warmth.limit(), COLD_LIMIT);
}

/// The fake endpoint: cold until it answered this many requests since its start.
const WARM_AFTER: u32 = 20;

/// One endpoint with its stewards; each step dispatches as much as the limit allows.
struct Ramp {
    now: u64,
    warmth: Warmup,
    known: u64,
    incarnation: u64,
    answered: u32,
    running: u32,
    orphans: u32,
    reports: bool,
    excess: Option<String>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Crash,
    CoolsSilently,
    NewSteward,
    ReportMissing,
    ReportBack,
    DataCentreReturns,
    Refuses,
}

impl Ramp {
    /// Dispatches like a steward's pump.
    fn pump(&mut self) {
        let was = self.running;
        while self.warmth.may_start(self.running) {
            self.running += 1;
        }
        let cold = self.answered < WARM_AFTER;
        let load = self.running + self.orphans;
        if self.running > was && cold && load > COLD_LIMIT && !self.is_unseen() {
            self.excess = Some(format!("{load} requests at a cold endpoint"));
        }
    }

    /// A silent fall back cannot be seen before it shows a sign.
    fn is_unseen(&self) -> bool {
        self.known != self.incarnation
    }

    /// Lets everything that runs be answered.
    fn answer(&mut self) {
        let running = std::mem::take(&mut self.running);
        self.orphans = 0;
        for _ in 0..running {
            self.now += 100;
            self.answered += 1;
            self.warmth.record_completion(at(self.now));
        }
    }

    /// Ends everything that runs with a broken answer, after which the steward reads a report.
    fn break_off(&mut self) {
        self.incarnation += 1;
        self.answered = 0;
        let ran = std::mem::take(&mut self.running) > 0;
        self.orphans = 0;
        if ran || self.reports {
            self.read_report();
        }
    }

    fn read_report(&mut self) {
        if self.known != self.incarnation {
            self.warmth.reset_to_cold(ColdSign::Incarnation);
            self.known = self.incarnation;
        }
        self.warmth.record_report(self.running + self.orphans, self.running);
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
            warmth: Warmup::new(&pool()),
            known: 1,
            incarnation: 1,
            answered: 0,
            running: 0,
            orphans: 0,
            reports: true,
            excess: None,
        }
    }

    fn begin(&mut self, step: usize) {
        if Self::STEPS[step] == "falls back" {
            self.break_off();
        }
        self.pump();
    }

    fn end(&mut self, step: usize) {
        let rounds = if Self::STEPS[step] == "ramp" { 60 } else { 2 };
        for _ in 0..rounds {
            self.answer();
            if self.reports {
                self.read_report();
            }
            self.pump();
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Crash => self.break_off(),
            Fault::CoolsSilently => {
                self.incarnation += 1;
                self.answered = 0;
            }
            // What the old steward sent runs on; the taker learns of it by its first report and
            // sends nothing before.
            Fault::NewSteward => {
                self.orphans += std::mem::take(&mut self.running);
                self.warmth = Warmup::new(&pool());
                self.warmth.record_report(self.orphans, 0);
                self.known = self.incarnation;
            }
            Fault::ReportMissing => self.reports = false,
            Fault::ReportBack => {
                self.reports = true;
                self.read_report();
            }
            Fault::DataCentreReturns => {
                self.warmth.reset_to_cold(ColdSign::Returned);
            }
            Fault::Refuses => {
                self.running = 0;
                self.warmth.reset_to_cold(ColdSign::Refused);
            }
        }
        self.pump();
    }

    fn check(&self) -> Result<(), String> {
        match &self.excess {
            Some(reason) => Err(reason.clone()),
            None if self.running > WARM_LIMIT => Err("more than the warm limit".to_owned()),
            None => Ok(()),
        }
    }

    fn settle(&mut self) {
        self.reports = true;
        self.read_report();
        for _ in 0..200 {
            self.answer();
            self.read_report();
            self.pump();
        }
    }

    fn check_settled(&self) -> Result<(), String> {
        if self.warmth.is_warm() { Ok(()) } else { Err("never warm again".to_owned()) }
    }
}

#[test]
fn matrix_warmup() {
    run_all::<Ramp>();
}
