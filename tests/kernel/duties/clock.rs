//! Tests of true time.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::duties::clock::{JumpGuard, TrueTime},
};

const WALL: u64 = 1_767_225_600_000;

fn with_clocks(offsets: &[i64], now: Time) -> TrueTime {
    let mut time = TrueTime::default();
    for (number, offset) in offsets.iter().enumerate() {
        time.record(format!("i{number}").into(), WALL.saturating_add_signed(*offset), now);
    }
    time.update(now);
    time
}

/// Guards against a stepped clock of one machine that moves true time.
#[test]
fn duties_clock_step_of_one_instance_changes_nothing() {
    let start = Time::from_millis(60_000);
    for step in [-10_000, 10_000] {
        let mut time = with_clocks(&[0, 3, -2], start);
        let now = start + Duration::from_secs(1);
        for (number, offset) in [0, step, 0].into_iter().enumerate() {
            let wall = (WALL + 1_000).saturating_add_signed(offset);
            time.record(format!("i{number}").into(), wall, now);
        }
        assert_eq!(time.update(now), None, "step {step}");
        assert!(time.now(now).expect("a time").abs_diff(WALL + 1_000) < 5, "step {step}");
    }
}

/// Guards against a lone instance that follows its own clock when that is stepped.
#[test]
fn duties_clock_without_others_keeps_offset() {
    let start = Time::from_millis(60_000);
    let mut time = with_clocks(&[0, 0, 0], start);
    let now = start + Duration::from_secs(10);
    time.record("i0".into(), WALL + 20_000, now);
    time.update(now);
    assert_eq!(time.now(now), Some(WALL + 10_000));
}

/// Guards against a first clock that was wrong and holds although others disagree.
#[test]
fn duties_clock_first_one_yields_to_median() {
    let start = Time::from_millis(60_000);
    let mut time = with_clocks(&[9_000], start);
    for number in 1..4 {
        time.record(format!("i{number}").into(), WALL, start);
    }
    assert_eq!(time.update(start), Some(-9_000));
    assert_eq!(time.now(start), Some(WALL));
}

/// Guards against true time that lags by the delay of frames on a busy machine, so that runs are counted
/// one window too early.
#[test]
fn duties_clock_delay_of_frames_changes_nothing() {
    let start = Time::from_millis(60_000);
    let at = |ms: u64| (WALL + ms, start + Duration::from_millis(ms));
    // The frames of the second round arrive 400 ms late.
    let mut leader = with_clocks(&[0, 0, 0], start);
    let (wall, now) = at(900);
    leader.record("i0".into(), wall, now);
    ["i1", "i2"].into_iter().for_each(|name| leader.record(name.into(), wall - 400, now));
    leader.update(now);
    assert_eq!(leader.now(now), Some(wall));
    let mut follower = TrueTime::default();
    for (ms, delay) in [(0, 3), (500, 400), (1_000, 5)] {
        let (wall, now) = at(ms + delay);
        follower.follow(wall - delay, now);
        assert!(follower.now(now).expect("a time").abs_diff(wall) <= 5, "after {delay} ms");
    }
}

/// Guards against a follower that never takes an earlier time, after a leader with a wrong clock.
#[test]
fn duties_clock_follower_takes_earlier_time() {
    let start = Time::from_millis(60_000);
    let mut time = TrueTime::default();
    time.follow(WALL + 9_000, start);
    let mut now = start;
    for _ in 0..5 {
        now = now + Duration::from_millis(500);
        time.follow(WALL + now.since(start).as_millis() as u64, now);
    }
    assert_eq!(time.now(now), Some(WALL + 2_500));
}

/// Guards against a call of a holder whose machine was suspended, and whose monotonic clock does not
/// show that its lease has ended.
#[test]
fn duties_clock_jump_holds_calls() {
    let start = Time::from_millis(60_000);
    let mut guard = JumpGuard::default();
    assert!(!guard.observe(WALL, start) && guard.is_settled(start));
    let now = start + Duration::from_millis(50);
    assert!(!guard.observe(WALL + 52, now) && guard.is_settled(now));
    assert!(guard.observe(WALL + 5_000, now));
    assert!(!guard.is_settled(now + Duration::from_millis(1_400)));
    assert!(guard.is_settled(now + Duration::from_millis(1_500)));
}
