//! Tests of the budget of bytes and sockets that clients share.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use cardamomshore::{
    clock::Time,
    kernel::intake::{
        CONNECTION_BYTES, Cause, Close, ConnectionId, Growth, Intake, IntakeLimits, Listener,
        Opening, Start, Timeouts,
    },
};

const START: Time = Time::from_millis(100_000);
const SECOND: Duration = Duration::from_secs(1);
const TIMEOUTS: Timeouts =
    Timeouts { header: Duration::from_secs(3), idle: Duration::from_secs(15) };

/// Limits with 80 shared sockets, of which one peer address may have 56, and 8 MB.
const LIMITS: IntakeLimits = IntakeLimits { bytes: 8 << 20, sockets: 100, peer_fraction: 0.7 };

fn peer(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

/// Opens a connection that must be admitted, and returns what is closed for it.
fn open(intake: &mut Intake, from: u8, now: Time) -> (ConnectionId, Option<Close>) {
    match intake.open(Listener::Callers, peer(from), now) {
        Opening::Admit(id, close) => (id, close),
        Opening::Wait => panic!("expected the connection to be admitted"),
    }
}

/// Opens a connection whose request runs.
fn run(intake: &mut Intake, from: u8, now: Time) -> ConnectionId {
    let (id, _) = open(intake, from, now);
    assert!(intake.begin_request(id, 1_000, now).0);
    assert_eq!(intake.start_run(id, now), Start::Run(None));
    id
}

/// Opens a connection of which `bytes` of a body have arrived.
fn send_body(intake: &mut Intake, from: u8, bytes: usize, now: Time) -> ConnectionId {
    let (id, _) = open(intake, from, now);
    assert!(intake.begin_request(id, 1_000, now).0);
    assert_eq!(intake.grow_body(id, bytes, now), Growth::Granted);
    intake.record_read(id, bytes, now);
    id
}

/// Guards against a caller that is cut or refused although nothing is short.
#[test]
fn slow_clients_kept_while_load_is_low() {
    let mut intake = Intake::new(LIMITS);
    let body = send_body(&mut intake, 1, 4_096, START);
    let reader = run(&mut intake, 1, START);
    assert_eq!(intake.record_output(reader, 100_000, START), []);
    for second in 1..14 {
        let now = START + SECOND * second;
        assert_eq!(intake.expired(TIMEOUTS, now), [], "after {second} s");
        let (id, close) = open(&mut intake, 2, now);
        assert_eq!(close, None);
        intake.remove(id);
    }
    intake.record_read(body, 1, START + SECOND * 20);
    assert_eq!(intake.grow_body(body, 4_096, START + SECOND * 20), Growth::Granted);
}

/// Guards against clients without a whole head that keep others out.
#[test]
fn open_when_full_closes_oldest_without_head() {
    let mut intake = Intake::new(LIMITS);
    let (oldest, _) = open(&mut intake, 1, START);
    for number in 0..79 {
        open(&mut intake, 1 + number % 4, START + SECOND);
    }
    let (_, close) = open(&mut intake, 9, START + SECOND * 2);
    assert_eq!(close, Some(Close { id: oldest, cause: Cause::Sockets }));
}

/// Guards against closing a connection whose request an endpoint runs.
#[test]
fn open_when_all_run_waits() {
    let mut intake = Intake::new(LIMITS);
    for number in 0..40 {
        run(&mut intake, number, START);
    }
    let later = START + SECOND * 60;
    assert_eq!(intake.open(Listener::Callers, peer(99), later), Opening::Wait);
    assert_eq!(intake.expired(TIMEOUTS, later), []);
}

/// Guards against idle connections that are closed at once, while a caller is about to reuse them.
#[test]
fn open_when_full_keeps_connection_used_just_now() {
    let mut intake = Intake::new(LIMITS);
    for number in 0..80 {
        let (id, _) = open(&mut intake, number, START);
        assert!(intake.begin_request(id, 100, START).0);
        intake.end_request(id, START);
    }
    let soon = START + Duration::from_millis(100);
    assert_eq!(intake.open(Listener::Callers, peer(99), soon), Opening::Wait);
    assert!(matches!(
        intake.open(Listener::Callers, peer(99), START + SECOND),
        Opening::Admit(_, Some(Close { cause: Cause::Sockets, .. }))
    ));
}

/// Guards against one peer address that takes all sockets.
#[test]
fn open_beyond_part_of_peer_closes_its_own() {
    let mut intake = Intake::new(LIMITS);
    let (other, _) = open(&mut intake, 2, START);
    for _ in 0..56 {
        open(&mut intake, 1, START + SECOND);
    }
    let (_, close) = open(&mut intake, 1, START + SECOND * 2);
    assert!(close.is_some_and(|close| close.id != other), "{close:?}");
    assert_eq!(open(&mut intake, 3, START + SECOND * 2).1, None);
}

/// Guards against callers that take the sockets of readiness checks, and the reverse.
#[test]
fn open_other_listener_has_its_own_part() {
    let mut intake = Intake::new(LIMITS);
    for number in 0..80 {
        open(&mut intake, number, START);
    }
    let opening = intake.open(Listener::Readiness, peer(1), START);
    assert!(matches!(opening, Opening::Admit(_, None)), "{opening:?}");
    for _ in 0..15 {
        intake.open(Listener::Readiness, peer(1), START);
    }
    assert_eq!(intake.open(Listener::Readiness, peer(1), START), Opening::Wait);
}

/// Guards against bodies that stop and keep the memory from others.
#[test]
fn body_when_bytes_short_closes_the_longest_stalled() {
    let mut intake = Intake::new(LIMITS);
    let stalled = send_body(&mut intake, 1, 2 << 20, START);
    let moving = send_body(&mut intake, 2, 2 << 20, START);
    send_body(&mut intake, 3, 2 << 20, START + SECOND);
    let now = START + SECOND * 3;
    intake.record_read(moving, 1, now);
    let (id, _) = open(&mut intake, 4, now);
    assert!(intake.begin_request(id, 1_000, now).0);
    let close = Close { id: stalled, cause: Cause::Bytes };
    assert_eq!(intake.grow_body(id, 1 << 20, now), Growth::Wait(vec![close]));
    assert_eq!(intake.grow_body(id, 1 << 20, now), Growth::Wait(vec![]), "one suffices");
    intake.remove(stalled);
    assert_eq!(intake.grow_body(id, 1 << 20, now), Growth::Granted);
}

/// Guards against bodies that take what requests in progress need.
#[test]
fn body_leaves_a_part_to_output() {
    let mut intake = Intake::new(LIMITS);
    let reader = run(&mut intake, 9, START);
    for number in 0..3 {
        send_body(&mut intake, number, 2 << 20, START);
    }
    let (id, _) = open(&mut intake, 4, START);
    assert!(intake.begin_request(id, 1_000, START).0);
    assert_eq!(intake.grow_body(id, 1 << 20, START), Growth::Wait(vec![]));
    assert_eq!(intake.grow_response(reader, 1 << 20, START), Growth::Granted);
}

/// Guards against a body that is refused by a budget smaller than the limits of the document.
#[test]
fn body_alone_is_granted_beyond_budget() {
    let mut intake = Intake::new(LIMITS);
    for number in 0..10 {
        open(&mut intake, number, START);
    }
    let (id, _) = open(&mut intake, 20, START);
    assert!(intake.begin_request(id, 1_000, START).0);
    assert_eq!(intake.grow_body(id, 20 << 20, START), Growth::Granted);
}

/// Guards against a client that waits for this process and counts as stalled for it.
#[test]
fn body_that_waits_for_bytes_is_not_closed() {
    let mut intake = Intake::new(LIMITS);
    let moving: Vec<_> =
        (0..3).map(|number| send_body(&mut intake, number, 2 << 20, START)).collect();
    let waiting = send_body(&mut intake, 5, 1_000, START);
    assert_eq!(intake.grow_body(waiting, 1 << 20, START), Growth::Wait(vec![]));
    let now = START + SECOND * 40;
    for id in moving {
        intake.record_read(id, 2 << 20, now);
    }
    assert_eq!(intake.expired(TIMEOUTS, now), []);
}

/// Guards against responses that wait for clients who read nothing.
#[test]
fn output_when_bytes_short_closes_the_stalled_reader() {
    let mut intake = Intake::new(LIMITS);
    let stalled = run(&mut intake, 1, START);
    intake.record_output(stalled, 4 << 20, START);
    let paused = run(&mut intake, 2, START);
    intake.record_output(paused, 2 << 20, START);
    intake.record_written(paused, 1_000, START + SECOND);
    let now = START + SECOND * 2;
    let other = run(&mut intake, 3, now);
    let close = Close { id: stalled, cause: Cause::Bytes };
    assert_eq!(intake.record_output(other, 3 << 20, now), [close]);
}

/// Guards against bytes that are counted twice or never freed.
#[test]
fn bytes_are_free_after_requests_end() {
    let mut intake = Intake::new(LIMITS);
    let id = send_body(&mut intake, 1, 100_000, START);
    assert_eq!(intake.start_run(id, START), Start::Run(None));
    let before = intake.used_bytes();
    assert_eq!(intake.grow_response(id, 50_000, START), Growth::Granted);
    assert_eq!(intake.record_output(id, 50_000, START), []);
    assert_eq!(intake.used_bytes(), before + 50_000, "held and then output, counted once");
    intake.record_written(id, 20_000, START);
    intake.end_request(id, START);
    assert_eq!(intake.used_bytes(), CONNECTION_BYTES + 30_000);
    intake.record_flushed(id, START);
    assert_eq!(intake.used_bytes(), CONNECTION_BYTES);
    intake.remove(id);
    assert_eq!((intake.used_bytes(), intake.connection_count()), (0, 0));
}

/// Guards against clients that are slow for ever, also while load is low.
#[test]
fn expired_closes_each_kind_of_slow_client() {
    let mut intake = Intake::new(LIMITS);
    let (head, _) = open(&mut intake, 1, START);
    intake.record_read(head, 10, START);
    let body = send_body(&mut intake, 1, 10, START);
    let reader = run(&mut intake, 1, START);
    intake.record_output(reader, 10, START);
    assert_eq!(intake.expired(TIMEOUTS, START + SECOND * 5), []);
    let now = START + SECOND * 7;
    intake.record_read(head, 1, now);
    assert_eq!(intake.expired(TIMEOUTS, now), [Close { id: head, cause: Cause::SlowHead }]);
    let mut closes = intake.expired(TIMEOUTS, START + SECOND * 31);
    closes.sort_by_key(|close| close.id);
    let body = Close { id: body, cause: Cause::StalledBody };
    assert_eq!(closes, [body, Close { id: reader, cause: Cause::StalledReader }]);
}

/// Guards against connections of instances that send no hello, and against links that are closed for
/// a budget.
#[test]
fn link_without_hello_gives_way() {
    let mut intake = Intake::new(LIMITS);
    let Opening::Admit(link, None) = intake.open(Listener::Hellos, peer(1), START) else {
        panic!("expected the connection to be admitted")
    };
    assert!(intake.establish_link(link));
    for _ in 0..64 {
        intake.open(Listener::Hellos, peer(2), START);
    }
    // A fleet opens its links at once, and an instance with little processor time is late.
    let soon = START + Duration::from_millis(200);
    assert_eq!(intake.open(Listener::Hellos, peer(3), soon), Opening::Wait);
    let opening = intake.open(Listener::Hellos, peer(3), START + SECOND);
    let Opening::Admit(_, Some(close)) = opening else { panic!("unexpected: {opening:?}") };
    assert_ne!(close.id, link);
}

/// Guards against requests beyond the sockets that connections to endpoints need.
#[test]
fn run_without_sockets_is_refused() {
    let mut intake = Intake::new(LIMITS);
    for number in 0..39 {
        run(&mut intake, number, START);
    }
    let ids = [50, 51].map(|number| open(&mut intake, number, START).0);
    for id in ids {
        assert!(intake.begin_request(id, 1_000, START).0);
    }
    assert_eq!(intake.start_run(ids[0], START), Start::Refuse);
    intake.remove(ids[1]);
    assert_eq!(intake.start_run(ids[0], START), Start::Run(None));
}
