//! Tests shares and loans: in every period of time, all instances together admit no more tokens
//! than the team's rate and burst allow.

mod world;

use std::{collections::BTreeMap, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::shares::{
        LOAN_TTL, MAX_STALENESS, Membership, REUSE_DELAY, REVOKE_DELAY, ROW_TTL, ShareTable,
        ShareTableView, Step, TOTAL_PARTS, TeamShare,
    },
    wire::{LoanGrant, LoanRequest},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use self::world::{
    CLOCKS, COARSE_STEP, HALVED_LIMITS, Instance, LIMITS, MATRIX_STEP, World, local_time, owner,
};
use crate::matrix::{Protocol, run_all};

/// A run in which instance 0 borrows from the others, and a fourth instance joins.
struct Lending {
    world: World,
}

/// A fault of a loan. Instance 0 is the borrower, instance 1 a lender.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// All messages are lost.
    Lost,
    /// All messages arrive twice.
    Twice,
    /// All messages arrive late.
    Late,
    BorrowerPaused,
    LenderKilled,
    /// Another process of the borrower starts.
    BorrowerReplaced,
    /// The lender is cut off and leaves the platform's list.
    LenderLeaves,
    /// The lender is cut off and stays in the list.
    LenderCutOff,
    PlatformDown,
    /// The configuration of one instance halves the team's limits.
    RateHalved,
}

impl Protocol for Lending {
    type Fault = Fault;

    const NAME: &'static str = "lending";
    const STEPS: &'static [&'static str] =
        &["requested", "granted", "used", "expired", "new instance"];
    const FAULTS: &'static [Fault] = &[
        Fault::Lost,
        Fault::Twice,
        Fault::Late,
        Fault::BorrowerPaused,
        Fault::LenderKilled,
        Fault::BorrowerReplaced,
        Fault::LenderLeaves,
        Fault::LenderCutOff,
        Fault::PlatformDown,
        Fault::RateHalved,
    ];

    fn start() -> Self {
        let mut world = World { step: MATRIX_STEP, ..World::new(3) };
        (0..3).for_each(|index| world.maintain(index));
        Self { world }
    }

    fn begin(&mut self, step: usize) {
        let world = &mut self.world;
        match step {
            0 => {
                world.run(Duration::from_millis(200), &[12_000.0, 500.0], 600.0);
                world.request_loans(0);
            }
            1 => {
                world.now = world.now + Duration::from_millis(5);
                world.deliver();
            }
            2 => world.run(Duration::from_millis(600), &[20_000.0, 500.0, 500.0], 1_000.0),
            3 => world.run(Duration::from_millis(1_500), &[0.0, 8_000.0, 8_000.0], 800.0),
            _ => {
                world.instances.push(Instance::new(3, 400, world.now));
                world.listed.push(true);
            }
        }
    }

    fn end(&mut self, step: usize) {
        let world = &mut self.world;
        match step {
            4 => world.run(Duration::from_millis(2_000), &[9_000.0, 0.0, 0.0, 9_000.0], 900.0),
            _ => world.run(Duration::from_millis(400), &[12_000.0, 2_000.0, 4_000.0], 600.0),
        }
    }

    fn inject(&mut self, fault: Fault) {
        let world = &mut self.world;
        match fault {
            Fault::Lost => world.lose_messages = true,
            Fault::Twice => world.duplicate_messages = true,
            Fault::Late => world.delay_messages = true,
            Fault::BorrowerPaused => world.instances[0].paused = true,
            Fault::LenderKilled => world.instances[1].dead = true,
            Fault::BorrowerReplaced => world.replace(0),
            Fault::LenderLeaves => {
                world.listed[1] = false;
                world.instances[1].cut_off = true;
            }
            Fault::LenderCutOff => world.instances[1].cut_off = true,
            Fault::PlatformDown => world.service_down = true,
            Fault::RateHalved => world.instances[2].limits = HALVED_LIMITS,
        }
    }

    fn check(&self) -> Result<(), String> {
        self.world.check()
    }

    fn settle(&mut self) {
        let world = &mut self.world;
        let load = [12_000.0, 12_000.0, 12_000.0, 12_000.0];
        world.step = COARSE_STEP;
        world.run(Duration::from_millis(17_000), &load, 3_000.0);
        (world.lose_messages, world.duplicate_messages, world.delay_messages, world.service_down) =
            (false, false, false, false);
        world.instances[0].paused = false;
        world.run(Duration::from_millis(3_000), &load, 3_000.0);
        world.instances[1].dead = true;
        world.replace(1);
        world.listed[1] = true;
        world.instances.iter_mut().for_each(|instance| instance.limits = LIMITS);
        world.run(Duration::from_millis(17_000), &load, 3_000.0);
    }

    fn check_settled(&self) -> Result<(), String> {
        let rows = &self.world.table.0.rows;
        let smallest = rows.values().map(|row| row.parts).min().unwrap_or(0);
        if rows.len() == 4 && smallest >= TOTAL_PARTS / 8 {
            return Ok(());
        }
        Err(format!(
            "not four rows of an eighth or more: {:?}",
            rows.values().map(|row| row.parts).collect::<Vec<_>>()
        ))
    }
}

#[test]
fn matrix_lending() {
    run_all::<Lending>();
}

/// A random action of the property test.
#[derive(Clone, Debug)]
enum Action {
    /// Run for some milliseconds with a load of each instance, in tokens per second, and a request
    /// size.
    Run(u64, [u32; 3], u32),
    /// Begin or end the fault with this number.
    Fault(usize, bool),
    /// Halve or restore the team's limits at an instance.
    Limits(usize, bool),
}

fn action() -> impl Strategy<Value = Action> {
    let load = prop::array::uniform3(0_u32..30_000);
    prop_oneof![
        4 => (50_u64..3_000, load, 10_u32..2_000).prop_map(|(ms, l, s)| Action::Run(ms, l, s)),
        2 => (0_usize..12, any::<bool>()).prop_map(|(fault, on)| Action::Fault(fault, on)),
        1 => (0_usize..3, any::<bool>()).prop_map(|(index, half)| Action::Limits(index, half)),
    ]
}

fn perform(world: &mut World, action: &Action) {
    match action {
        Action::Run(ms, load, size) => {
            let load = load.map(f64::from);
            world.run(Duration::from_millis(*ms), &load, f64::from(*size));
        }
        Action::Fault(fault, on) => {
            let index = fault % 3;
            match fault {
                0 => world.lose_messages = *on,
                1 => world.duplicate_messages = *on,
                2 => world.delay_messages = *on,
                3..=5 => world.instances[index].paused = *on,
                6..=8 => world.instances[index].cut_off = *on,
                9 => world.service_down = *on,
                10 => world.replace(0),
                _ => world.listed[2] = *on,
            }
        }
        Action::Limits(index, half) => {
            world.instances[*index].limits = if *half { HALVED_LIMITS } else { LIMITS };
        }
    }
}

#[test]
fn lending_every_window_within_rate_and_burst() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = prop::collection::vec(action(), 1..40);
    let result = runner.run(&strategy, |actions| {
        let mut world = World::new(3);
        for action in &actions {
            perform(&mut world, action);
            prop_assert!(world.check().is_ok(), "{:?}", world.violation);
        }
        Ok(())
    });
    result.unwrap_or_else(|err| panic!("{err}"));
}

/// Creates a world whose instances hold even shares and full buckets.
fn idle_world(count: usize) -> World {
    let mut world = World::new(count);
    world.run(Duration::from_millis(8_000), &[], 100.0);
    world
}

#[test]
fn lending_skew_serves_nearly_the_whole_rate() {
    let mut world = idle_world(9);
    world.run(Duration::from_millis(3_000), &[0.95 * LIMITS.rate], 100.0);
    (world.admitted_tokens, world.requested_tokens) = (0.0, 0.0);
    world.run(Duration::from_millis(20_000), &[0.95 * LIMITS.rate], 100.0);
    let served = world.admitted_tokens / world.requested_tokens;
    println!("fraction admitted with the load at one of nine instances: {:.4}", served);
    assert!(served > 0.97, "fraction admitted: {served}");
    world.check().expect("within the bound");
}

#[test]
fn lending_moving_skew_recovers_within_seconds() {
    let mut world = idle_world(9);
    let mut served = Vec::new();
    for loaded in 0..9 {
        let mut load = [0.0; 9];
        load[loaded] = 0.8 * LIMITS.rate;
        world.run(Duration::from_millis(3_000), &load, 100.0);
        (world.admitted_tokens, world.requested_tokens) = (0.0, 0.0);
        world.run(Duration::from_millis(5_000), &load, 100.0);
        served.push(world.admitted_tokens / world.requested_tokens);
    }
    let lowest = served.iter().copied().fold(1.0, f64::min);
    println!("lowest fraction admitted after the load moved: {lowest:.4}");
    assert!(lowest > 0.97, "fractions admitted: {served:?}");
    world.check().expect("within the bound");
}

#[test]
fn lending_outage_changes_nothing() {
    let mut world = idle_world(3);
    world.service_down = true;
    world.run(Duration::from_millis(60_000), &[2_900.0, 2_900.0, 2_900.0], 100.0);
    assert!(
        world.admitted_tokens / world.requested_tokens > 0.99,
        "{} of {}",
        world.admitted_tokens,
        world.requested_tokens
    );
    (world.admitted_tokens, world.requested_tokens) = (0.0, 0.0);
    world.service_down = false;
    for _ in 0..8 {
        // The first requests after the outage arrive before the table is read again.
        world.now = world.now + Duration::from_millis(250);
        (0..3).for_each(|index| assert!(world.send_request(index, 100.0)));
    }
    world.run(Duration::from_millis(10_000), &[2_900.0, 2_900.0, 2_900.0], 100.0);
    assert!(
        world.admitted_tokens / world.requested_tokens > 0.99,
        "{} of {}",
        world.admitted_tokens,
        world.requested_tokens
    );
    world.check().expect("within the bound");
}

#[test]
fn lending_large_request_gathers_the_burst() {
    let mut world = idle_world(9);
    world.send_request(0, 0.7 * LIMITS.burst);
    world.request_loans(0);
    world.run(Duration::from_millis(100), &[], 100.0);
    assert!(world.send_request(0, 0.7 * LIMITS.burst));
    assert!(!world.send_request(0, 0.7 * LIMITS.burst));
    world.check().expect("within the bound");
}

#[test]
fn lending_retried_request_moves_nothing_twice() {
    let now = Time::from_millis(5_000);
    let mut lender = TeamShare::empty(now);
    lender.configure(LIMITS, TOTAL_PARTS / 2, now);
    let later = now + Duration::from_millis(2_000);
    let request = LoanRequest { parts: 1_000, number: 4, incarnation: 9, ..LoanRequest::default() };
    let first = lender.grant_loan(&"b".into(), &request, later);
    let level = lender.level(later);
    assert_eq!((first.parts, first.tokens > 0), (1_000, true));
    assert_eq!(lender.grant_loan(&"b".into(), &request, later).parts, 0);
    let older = LoanRequest { number: 3, ..request };
    assert_eq!(lender.grant_loan(&"b".into(), &older, later).parts, 0);
    assert_eq!(lender.level(later), level);
}

#[test]
fn lending_late_grant_is_of_no_use() {
    let now = Time::from_millis(5_000);
    let mut borrower = TeamShare::empty(now);
    borrower.configure(LIMITS, 0, now);
    let request = borrower.next_loan_request(&"l".into(), 1_000, now);
    let grant = LoanGrant { parts: 1_000, tokens: 10, ttl_ms: 1_000, number: request.number };
    assert!(!borrower.apply_grant(&"l".into(), &grant, now + LOAN_TTL));
    assert_eq!(borrower.held_parts(now + LOAN_TTL), 0);
}

#[test]
fn lending_resumed_holder_waits_for_the_table() {
    let mut world = idle_world(3);
    let table = world.table.0.clone();
    assert_eq!(table.free_parts(), TOTAL_PARTS % 3, "{table:?}");
    let late = world.local_time(0) + ROW_TTL + Duration::from_millis(1_200);
    let view = &mut world.instances[0].table_view;
    assert_eq!(view.usable_parts(false, late), 0);
    assert_eq!(view.usable_parts(true, late), TOTAL_PARTS / 3);
    view.record_revision(view.revision() + 1, late);
    // Nobody can have removed the row if no instance reached the service since soon after the row
    // was seen.
    view.record_contact(view.confirmed_at() + MAX_STALENESS);
    assert_eq!(view.usable_parts(true, late), TOTAL_PARTS / 3);
    view.record_contact(view.confirmed_at() + MAX_STALENESS + Duration::from_millis(1));
    assert_eq!(view.usable_parts(true, late), 0);
}

#[test]
fn lending_rows_follow_instances() {
    let mut world = idle_world(3);
    world.listed[2] = false;
    world.instances[2].cut_off = true;
    world.run(Duration::from_millis(20_000), &[], 100.0);
    let parts = |world: &World| -> BTreeMap<String, u32> {
        world.table.0.rows.iter().map(|(id, row)| (id.to_string(), row.parts)).collect()
    };
    let half = TOTAL_PARTS / 2;
    assert_eq!(parts(&world), BTreeMap::from([("i-0".into(), half), ("i-1".into(), half)]));
}

#[test]
fn lending_grant_moves_tokens() {
    let now = Time::from_millis(5_000);
    let mut lender = TeamShare::empty(now);
    lender.configure(LIMITS, TOTAL_PARTS / 2, now);
    let later = now + Duration::from_millis(300);
    let before = lender.level(later);
    let request =
        LoanRequest { parts: TOTAL_PARTS / 4, number: 1, incarnation: 9, ..LoanRequest::default() };
    let grant = lender.grant_loan(&"b".into(), &request, later);
    assert_eq!(grant.parts, TOTAL_PARTS / 4);
    let after = lender.level(later);
    assert!(after + grant.tokens as f64 <= before + 1e-6, "{before} {after} {grant:?}");
}

#[test]
fn lending_clock_rates_apart() {
    let (fast, slow) = (CLOCKS[0], CLOCKS[1]);
    let start = Time::from_millis(5_000);
    let mut lender = TeamShare::empty(local_time(fast, start));
    lender.configure(LIMITS, TOTAL_PARTS, local_time(fast, start));
    let mut borrower = TeamShare::empty(local_time(slow, start));
    borrower.configure(LIMITS, 0, local_time(slow, start));
    let request = borrower.next_loan_request(&"l".into(), TOTAL_PARTS / 2, local_time(slow, start));
    let grant = lender.grant_loan(&"b".into(), &request, local_time(fast, start));
    assert!(borrower.apply_grant(&"l".into(), &grant, local_time(slow, start)));
    for micros in 998_000..1_002_000 {
        let now = start + Duration::from_micros(micros);
        let held =
            lender.held_parts(local_time(fast, now)) + borrower.held_parts(local_time(slow, now));
        assert!(held <= TOTAL_PARTS, "{held} in use after {micros} us");
    }
    let mut alone = TeamShare::empty(local_time(fast, start));
    alone.configure(LIMITS, TOTAL_PARTS, local_time(fast, start));
    let end = start + Duration::from_secs(1);
    assert!(alone.level(local_time(fast, end)) <= LIMITS.rate);
}

/// Returns the table in which instances 0 and 1 own half of the parts each, and the view of
/// instance 0.
fn halves(now: Time) -> (ShareTableView, ShareTable) {
    let (own, other) = (owner(0, 1), owner(1, 2));
    let half = Step::Hold(TOTAL_PARTS / 2);
    let table = ShareTable::default().with_step(&own, &half).with_step(&other, &half);
    let mut view = ShareTableView::new(own, now);
    view.apply_table(table.clone(), 5, now, now);
    (view, table)
}

/// Returns a membership of `count` listed and live instances.
fn membership(count: usize) -> Membership {
    let listed: std::collections::BTreeSet<_> =
        (0..count).map(|index| owner(index, 0).instance).collect();
    Membership { live: listed.clone(), listed, majority: true }
}

#[test]
fn parts_given_up_are_out_of_use_before_the_write() {
    let now = Time::from_millis(9_000);
    let (mut view, table) = halves(now);
    let step = view.next_step(&membership(3), 0, now);
    assert_eq!(step, Step::GiveUp(TOTAL_PARTS / 2 - TOTAL_PARTS / 3 / 2 - 1));
    view.begin_step(&step);
    let kept = view.usable_parts(false, now);
    assert!(kept < TOTAL_PARTS / 2);
    // The write may still take effect while the table shows its old revision.
    view.apply_table(table.clone(), 5, now, now);
    assert_eq!(view.usable_parts(false, now), kept);
    view.apply_table(table, 6, now, now);
    assert_eq!(view.usable_parts(false, now), TOTAL_PARTS / 2);
}

#[test]
fn parts_lent_are_not_given_up() {
    let now = Time::from_millis(9_000);
    let (mut view, _) = halves(now);
    assert_eq!(view.next_step(&membership(3), TOTAL_PARTS / 2, now), Step::Keep);
}

#[test]
fn parts_of_an_earlier_process_wait_for_its_loans() {
    let now = Time::from_millis(9_000);
    let (_, table) = halves(now);
    for (moved, wait) in [(false, LOAN_TTL * 2), (true, REUSE_DELAY)] {
        let mut new = owner(0, 77);
        if moved {
            new.address = "10.9.9.9:7000".parse().expect("an address");
        }
        let mut view = ShareTableView::new(new.clone(), now);
        view.apply_table(table.clone(), 5, now, now);
        let step = view.next_step(&membership(2), 0, now);
        assert_eq!(step, Step::Hold(TOTAL_PARTS / 2));
        view.begin_step(&step);
        view.apply_table(table.with_step(&new, &step), 6, now, now);
        let almost = now + wait - Duration::from_millis(1);
        assert_eq!(view.usable_parts(true, almost), 0);
        // A row that moved to another address must be seen again after the wait, even during an
        // outage.
        let unconfirmed = if moved { 0 } else { TOTAL_PARTS / 2 };
        assert_eq!(view.usable_parts(true, now + wait), unconfirmed);
        view.record_revision(6, now + wait);
        assert_eq!(view.usable_parts(true, now + wait), TOTAL_PARTS / 2);
    }
}

#[test]
fn parts_of_a_gone_instance_are_freed_after_the_hold_off() {
    let now = Time::from_millis(9_000);
    let (mut view, table) = halves(now);
    let gone = owner(1, 2).instance;
    assert_eq!(view.next_step(&membership(1), 0, now), Step::Keep);
    let absent = now + REVOKE_DELAY;
    let revoke = Step::Revoke(gone.clone());
    assert_eq!(view.next_step(&membership(1), 0, absent), revoke);
    view.apply_table(table.with_step(&owner(0, 1), &revoke), 6, absent, absent);
    let early = absent + REUSE_DELAY - Duration::from_millis(1);
    assert_eq!(view.next_step(&membership(1), 0, early), Step::Keep);
    assert_eq!(view.next_step(&membership(1), 0, absent + REUSE_DELAY), Step::Free(gone));
    let alone = Membership { majority: false, ..membership(1) };
    assert_eq!(view.next_step(&alone, 0, absent + REUSE_DELAY), Step::Keep);
}
