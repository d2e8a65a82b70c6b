//! Pauses of running streams: an engine that prefills without a break delays their events.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::grants::{GrantRequest, Outcome, PauseControl, Scheduler},
};

use super::fleet::{
    LEADING, START, deliver_reports, engine, granted, key, model_request, scheduler,
};

const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Returns a request whose route allows pauses of [`MAX_PAUSE`].
fn stream_request(tokens: u32, priority: u8, now: Time) -> GrantRequest {
    let request = model_request("m0", tokens, now);
    GrantRequest { priority, max_pause: Some(MAX_PAUSE), ..request }
}

/// Returns a leader with one engine, whose streams have been paused for too long many times.
fn leader_with_long_pauses() -> Scheduler {
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0", "m1"])]);
    deliver_reports(&mut scheduler, START - Duration::from_secs(20));
    // The first events arrive when they are expected, so that the engine counts as neither fast nor slow.
    let first_event = Duration::from_micros(27_500);
    for number in 0..200 {
        let sent_at = START - Duration::from_secs(20) + first_event * 2 * number;
        let number = u64::from(number);
        scheduler.handle_request(key(number), stream_request(100, 0, sent_at), sent_at);
        scheduler.record_first_event(&key(number), sent_at + first_event);
        scheduler.record_pause(&key(number), MAX_PAUSE * 2);
        scheduler.handle_outcome(&key(number), Outcome::Whole, sent_at + first_event);
    }
    scheduler
}

#[test]
fn pause_control_follows_reported_pauses() {
    let mut control = PauseControl::default();
    let unbounded = control.max_prefill(MAX_PAUSE);
    for _ in 0..200 {
        control.record(MAX_PAUSE + Duration::from_millis(1), MAX_PAUSE);
    }
    let bounded = control.max_prefill(MAX_PAUSE);
    assert!(bounded <= MAX_PAUSE / 2, "{bounded:?} after long pauses only");
    for _ in 0..10_000 {
        control.record(MAX_PAUSE / 2, MAX_PAUSE);
    }
    assert_eq!(control.max_prefill(MAX_PAUSE), unbounded, "no long pause for a long time");
}

#[test]
fn pause_control_one_long_pause_in_thirty_keeps_bound() {
    let mut control = PauseControl::default();
    for _ in 0..60 {
        control.record(MAX_PAUSE * 2, MAX_PAUSE);
    }
    let before = control.max_prefill(MAX_PAUSE);
    for number in 0..3_000 {
        control.record(if number % 30 == 0 { MAX_PAUSE * 2 } else { MAX_PAUSE / 2 }, MAX_PAUSE);
    }
    let ratio = control.max_prefill(MAX_PAUSE).as_secs_f64() / before.as_secs_f64();
    assert!((0.7..1.4).contains(&ratio), "the bound changed by a factor of {ratio}");
}

#[test]
fn request_waits_for_break_of_prefill() {
    let mut scheduler = leader_with_long_pauses();
    let first = scheduler.handle_request(key(300), stream_request(6_000, 1, START), START);
    assert!(granted(&first).is_some(), "an engine without prefill takes any prompt");
    let second = scheduler.handle_request(key(301), stream_request(2_001, 1, START), START);
    assert!(granted(&second).is_none(), "streams would be paused by both prompts");
    let mut now = START;
    let mut granted_at = None;
    while granted_at.is_none() && now < START + Duration::from_secs(1) {
        now = now + Duration::from_millis(10);
        if granted(&scheduler.tick(now)).is_some() {
            granted_at = Some(now.since(START));
        }
    }
    let granted_at = granted_at.expect("granted after the break");
    // 6,000 tokens take 150 ms, at 40 a millisecond.
    assert!(granted_at >= Duration::from_millis(200), "{granted_at:?}");
}

#[test]
fn urgent_request_does_not_wait_for_break() {
    let mut scheduler = leader_with_long_pauses();
    scheduler.handle_request(key(300), stream_request(6_000, 1, START), START);
    let urgent = scheduler.handle_request(key(301), stream_request(2_001, 0, START), START);
    assert!(granted(&urgent).is_some());
}

#[test]
fn request_without_long_pauses_not_held_back() {
    // Guards against a cost for deployments whose engines never pause streams for too long.
    let mut scheduler = scheduler(LEADING, vec![engine("e1", &["m0", "m1"])]);
    deliver_reports(&mut scheduler, START);
    scheduler.handle_request(key(300), stream_request(6_000, 1, START), START);
    let second = scheduler.handle_request(key(301), stream_request(2_001, 1, START), START);
    assert!(granted(&second).is_some());
}
