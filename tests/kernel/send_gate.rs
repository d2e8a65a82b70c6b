//! Tests of what endpoints have told an instance.

use std::{sync::Arc, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::{
        grants::Incarnation,
        send_gate::{GateState, SendGate},
    },
};

const START: Time = Time::from_millis(100_000);
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);

fn endpoint() -> Arc<str> {
    "e1".into()
}

#[test]
fn gate_leaving_closed_for_that_incarnation() {
    let mut gate = SendGate::default();
    gate.record_leaving(&endpoint(), FIRST, START);
    let later = START + Duration::from_secs(30);
    assert_eq!(gate.state("e1", FIRST, later), GateState::Leaving);
    assert_eq!(gate.state("e1", SECOND, later), GateState::Open);
    assert_eq!(gate.state("e2", FIRST, later), GateState::Open);
}

#[test]
fn gate_paused_until_time_is_over() {
    let mut gate = SendGate::default();
    gate.record_pause(&endpoint(), FIRST, Duration::from_secs(3), START);
    assert_eq!(gate.state("e1", FIRST, START + Duration::from_millis(2_999)), GateState::Paused);
    assert_eq!(gate.state("e1", FIRST, START + Duration::from_secs(3)), GateState::Open);
    assert_eq!(gate.closed(|_| Some(FIRST), START).count(), 1);
    assert_eq!(gate.closed(|_| Some(FIRST), START + Duration::from_secs(3)).count(), 0);
}

#[test]
fn gate_shorter_pause_does_not_end_longer_one() {
    let mut gate = SendGate::default();
    gate.record_pause(&endpoint(), FIRST, Duration::from_secs(3), START);
    gate.record_pause(&endpoint(), FIRST, Duration::from_secs(1), START);
    assert_eq!(gate.state("e1", FIRST, START + Duration::from_secs(2)), GateState::Paused);
}

#[test]
fn gate_pause_does_not_reopen_leaving_endpoint() {
    let mut gate = SendGate::default();
    gate.record_leaving(&endpoint(), FIRST, START);
    gate.record_pause(&endpoint(), FIRST, Duration::from_secs(1), START);
    assert_eq!(gate.state("e1", FIRST, START + Duration::from_secs(9)), GateState::Leaving);
}

/// Guards against a name that stays closed for the endpoint that is back under it.
#[test]
fn gate_left_endpoint_back_open() {
    let mut gate = SendGate::default();
    gate.record_leaving(&endpoint(), FIRST, START);
    assert_eq!(gate.closed(|_| Some(SECOND), START).count(), 0, "the endpoint is back");
    assert_eq!(gate.closed(|_| Some(FIRST), START).count(), 1);
    assert_eq!(gate.closed(|_| None, START).count(), 1, "its entry is gone");
    gate.record_leaving(&endpoint(), SECOND, START);
    assert_eq!(gate.closed(|_| Some(FIRST), START).count(), 1, "the entry is older than the sign");
}
