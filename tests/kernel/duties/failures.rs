//! Tests of the reports under the failures of holders, the store and the platform API.

use std::sync::Arc;

use cardamomshore::kernel::duties::{
    counts::StartId,
    ledger::Ledger,
    roster::Roster,
    usage::{GiveUpReason, UsageStep},
};

use super::model::{FIRST, Platform, Process, Store, store};

fn is_record(step: &UsageStep) -> bool {
    matches!(step, UsageStep::Record(ledger, _) if !ledger.reports.is_empty())
}

fn is_send(step: &UsageStep) -> bool {
    matches!(step, UsageStep::Send(_))
}

/// Guards against windows that are missed, reported early or in the wrong order without any fault.
#[test]
fn duties_usage_reports_each_window_once_in_order() {
    let (mut store, mut platform, mut holder) = (store(), Platform::default(), Process::new(1));
    for window in 0..4 {
        holder.count(1, FIRST + window, 10 + window);
        holder.run(&mut store, &mut platform, window * 5_000, (window + 1) * 5_000);
    }
    assert_eq!(platform.windows(), [FIRST, FIRST + 1, FIRST + 2]);
    assert_eq!(platform.count(FIRST + 2), Some(12));
}

/// Guards against a report that misses the counts of an instance whose last state comes late.
#[test]
fn duties_usage_waits_for_late_counts() {
    let (mut store, mut platform, mut holder) = (store(), Platform::default(), Process::new(1));
    holder.count(1, FIRST, 5);
    holder.table.start(StartId(3), FIRST - 1).open = FIRST;
    holder.run(&mut store, &mut platform, 0, 7_000);
    assert!(platform.accepted.is_empty());
    holder.count(3, FIRST, 5);
    holder.run(&mut store, &mut platform, 7_000, 11_000);
    assert_eq!(platform.count(FIRST), Some(10), "a lost instance is waited for 5 s only");
}

/// Creates a store whose record has no window yet.
fn empty_store() -> Store {
    Store { record: Some((Ledger::new(1, FIRST), 1)), number: 1, ..store() }
}

/// Creates a holder that is elected at `ms` in a fleet of three. It has its own counts of the first
/// window, and the copy of the counts of the former holder, which had completed the window.
fn elected_at(ms: u64, members: &[&str]) -> Process {
    let mut holder = Process::new(2);
    holder.elected_ms = Some(ms);
    holder.count(1, FIRST, 60);
    holder.count(7, FIRST, 60);
    holder.table.start(StartId(7), FIRST).open = FIRST + 1;
    let members = members.iter().map(|name| Arc::from(*name));
    holder.table.set_roster(Roster::new(members, 2, FIRST + 1));
    holder
}

/// Lets an instance join a holder with what it has counted in the first window.
fn join(holder: &mut Process, instance: &str, start: u64, runs: u64) {
    holder.count(start, FIRST, runs);
    holder.table.start(StartId(start), FIRST).open = FIRST + 2;
    holder.table.record_joined(&instance.into());
}

/// Guards against a new holder that takes a window for complete before an instance has joined it of
/// whose counts it knows nothing. A former holder that has restarted and leads again knows the number
/// of instances only.
#[test]
fn duties_usage_new_holder_waits_for_instances() {
    for members in [&["first", "other"][..], &[]] {
        let (mut store, mut platform) = (empty_store(), Platform::default());
        let mut holder = elected_at(6_700, members);
        holder.run(&mut store, &mut platform, 6_700, 7_500);
        join(&mut holder, "first", 8, 0);
        holder.run(&mut store, &mut platform, 7_500, 9_000);
        join(&mut holder, "other", 9, 60);
        holder.run(&mut store, &mut platform, 9_000, 10_500);
        assert_eq!(platform.count(FIRST), Some(180), "with members {members:?}");
    }
}

/// Guards against an instance that is new to the fleet and takes the place of one that is waited for.
#[test]
fn duties_usage_new_instances_stand_for_no_member() {
    let (mut store, mut platform) = (empty_store(), Platform::default());
    let mut holder = elected_at(6_700, &["first", "other"]);
    holder.run(&mut store, &mut platform, 6_700, 7_500);
    join(&mut holder, "first", 8, 0);
    join(&mut holder, "new", 10, 0);
    holder.run(&mut store, &mut platform, 7_500, 9_000);
    join(&mut holder, "other", 9, 60);
    holder.run(&mut store, &mut platform, 9_000, 10_500);
    assert_eq!(platform.count(FIRST), Some(180));
}

/// Guards against a new holder that fixes a window at once because its report is due soon.
#[test]
fn duties_usage_new_holder_waits_with_old_windows() {
    let (mut store, mut platform) = (empty_store(), Platform::default());
    let mut holder = elected_at(11_000, &["first", "other"]);
    holder.run(&mut store, &mut platform, 11_000, 12_000);
    join(&mut holder, "first", 8, 0);
    join(&mut holder, "other", 9, 60);
    holder.run(&mut store, &mut platform, 12_000, 14_500);
    assert_eq!(platform.count(FIRST), Some(180));
}

/// Guards against reports that come late because an instance was lost with the former holder.
#[test]
fn duties_usage_lost_instances_delay_no_report() {
    let (mut store, mut platform) = (empty_store(), Platform::default());
    let mut holder = elected_at(6_700, &["first", "other"]);
    holder.run(&mut store, &mut platform, 6_700, 10_100);
    assert_eq!(platform.count(FIRST), Some(120), "5 s after the end of the window");
    holder.run(&mut store, &mut platform, 10_100, 15_500);
    assert_eq!(platform.windows(), [FIRST, FIRST + 1]);
    holder.run(&mut store, &mut platform, 15_500, 20_500);
    // The last window has ended 500 ms before.
    let windows = [FIRST, FIRST + 1, FIRST + 2, FIRST + 3];
    assert_eq!(platform.windows(), windows, "lost instances are waited for in two windows");
}

/// Guards against a second content after the holder was killed between the record and the call.
#[test]
fn duties_usage_killed_between_record_and_call() {
    let (mut store, mut platform, mut first) = (store(), Platform::default(), Process::new(1));
    first.count(1, FIRST, 5);
    let ms = first.run_until(&mut store, &mut platform, 0, is_record);
    assert!(platform.accepted.is_empty());
    let mut second = Process::new(2);
    second.count(1, FIRST, 5);
    second.count(2, FIRST, 3);
    second.run(&mut store, &mut platform, ms, ms + 3_000);
    assert_eq!(platform.count(FIRST), Some(5), "what is recorded is sent");
}

/// Guards against a second content after the holder was killed between the call and the response.
#[test]
fn duties_usage_killed_between_call_and_response() {
    let (mut store, mut platform, mut first) = (store(), Platform::default(), Process::new(1));
    first.count(1, FIRST, 5);
    let ms = first.run_until(&mut store, &mut platform, 0, is_send);
    let mut second = Process::new(2);
    second.count(1, FIRST, 9);
    second.run(&mut store, &mut platform, ms, ms + 3_000);
    assert_eq!(platform.windows(), [FIRST, FIRST], "an exact repeat");
    platform.assert_consistent();
}

/// Guards against a repeat with counts that have grown since.
#[test]
fn duties_usage_lost_response_is_repeated_exactly() {
    let (mut store, mut platform, mut holder) = (store(), Platform::default(), Process::new(1));
    holder.count(1, FIRST, 5);
    platform.loses_responses = true;
    let ms = holder.run_until(&mut store, &mut platform, 0, is_send);
    holder.count(1, FIRST, 5);
    platform.loses_responses = false;
    holder.run(&mut store, &mut platform, ms + 10, ms + 2_000);
    assert_eq!(platform.windows(), [FIRST, FIRST]);
    platform.assert_consistent();
}

/// Guards against calls above the rate, and against a report that is lost with status 429.
#[test]
fn duties_usage_too_many_calls() {
    let (mut store, mut platform, mut holder) = (store(), Platform::default(), Process::new(1));
    holder.count(1, FIRST, 5);
    platform.too_many = 3;
    holder.run(&mut store, &mut platform, 0, 9_000);
    assert_eq!(platform.windows(), [FIRST]);
    let gaps = platform.calls.windows(2).map(|pair| pair[1].since(pair[0]).as_millis());
    assert!(gaps.clone().all(|gap| gap >= 200), "{:?}", gaps.collect::<Vec<_>>());
}

/// Guards against windows that are lost, out of order or too fast after an outage of the platform API.
#[test]
fn duties_usage_backlog_of_platform_outage() {
    let (mut store, mut platform, mut holder) = (store(), Platform::default(), Process::new(1));
    platform.is_down = true;
    for window in 0..4 {
        holder.count(1, FIRST + window, 10 + window);
        holder.run(&mut store, &mut platform, window * 5_000, (window + 1) * 5_000);
    }
    platform.is_down = false;
    platform.calls.clear();
    holder.run(&mut store, &mut platform, 20_000, 22_500);
    assert_eq!(platform.windows(), (FIRST..FIRST + 4).collect::<Vec<_>>());
    let most = platform.calls.windows(2).filter(|pair| pair[1].since(pair[0]).as_millis() < 20);
    assert_eq!(most.count(), 0, "at most 50 calls a second");
}

/// Guards against reports that are sent without a record while the store is down, and against counts
/// that are lost in the outage.
#[test]
fn duties_usage_store_outage() {
    let (mut store, mut platform, mut holder) = (store(), Platform::default(), Process::new(1));
    holder.run(&mut store, &mut platform, 0, 1_000);
    store.is_down = true;
    for window in 0..3 {
        holder.count(1, FIRST + window, 7);
        holder.run(&mut store, &mut platform, 1_000 + window * 5_000, 6_000 + window * 5_000);
    }
    assert!(platform.accepted.is_empty(), "nothing is sent unrecorded");
    store.is_down = false;
    holder.run(&mut store, &mut platform, 16_000, 18_000);
    assert_eq!(platform.windows(), [FIRST, FIRST + 1, FIRST + 2]);
}

/// Guards against a second content after a write that took effect without a response.
#[test]
fn duties_usage_write_without_response() {
    let (mut store, mut platform, mut holder) = (store(), Platform::default(), Process::new(1));
    holder.count(1, FIRST, 5);
    holder.run(&mut store, &mut platform, 0, 1_000);
    store.loses_responses = true;
    let ms = holder.run_until(&mut store, &mut platform, 1_000, is_record);
    store.loses_responses = false;
    holder.count(1, FIRST, 4);
    holder.run(&mut store, &mut platform, ms, ms + 2_000);
    assert_eq!(platform.count(FIRST), Some(5), "the recorded content is sent");
    platform.assert_consistent();
}

/// Guards against a call or a record of a holder that was frozen beyond its lease, and against two
/// holders that report one window late with different counts.
#[test]
fn duties_usage_frozen_holder_and_two_late_ones() {
    let (mut store, mut platform, mut first) = (store(), Platform::default(), Process::new(1));
    first.count(1, FIRST, 5);
    first.run(&mut store, &mut platform, 0, 5_000);
    let mut second = Process::new(2);
    second.count(1, FIRST, 8);
    second.run(&mut store, &mut platform, 12_000, 13_000);
    // The first one resumes and does not know yet that it has lost the lease.
    first.run(&mut store, &mut platform, 13_000, 13_400);
    platform.assert_consistent();
    assert_eq!(platform.count(FIRST), Some(8));
    first.holds = false;
    let accepted = platform.accepted.len();
    first.run(&mut store, &mut platform, 13_400, 20_000);
    assert_eq!(platform.accepted.len(), accepted, "no call without the lease");
}

/// Guards against a call of a holder that may not call yet, whatever its name.
#[test]
fn duties_usage_new_holder_records_but_waits_with_calls() {
    let (mut store, mut platform, mut holder) = (store(), Platform::default(), Process::new(1));
    holder.count(1, FIRST, 5);
    holder.may_call = false;
    holder.run(&mut store, &mut platform, 0, 8_000);
    assert!(platform.calls.is_empty());
    assert!(store.record.as_ref().is_some_and(|(ledger, _)| ledger.reports.contains_key(&FIRST)));
}

/// Guards against a second content after the store has lost the record of a report that was sent.
#[test]
fn duties_usage_store_returns_from_older_copy() {
    let (mut store, mut platform, mut first) = (store(), Platform::default(), Process::new(1));
    first.count(1, FIRST, 5);
    first.run(&mut store, &mut platform, 0, 4_000);
    let copy = store.clone();
    first.run(&mut store, &mut platform, 4_000, 7_000);
    assert_eq!(platform.count(FIRST), Some(5));
    store = copy;
    store.era = 2;
    // A holder that knows nothing gives the window up.
    let mut second = Process::new(2);
    second.count(1, FIRST, 9);
    second.count(1, FIRST + 1, 6);
    second.run(&mut store, &mut platform, 7_000, 13_000);
    platform.assert_consistent();
    assert_eq!(second.given_up, [(FIRST, GiveUpReason::StoreReturned)]);
    assert_eq!(platform.count(FIRST + 1), Some(6), "later windows are reported");
}

/// Guards against a report that is missed although its exact content is known after the store has lost
/// its record.
#[test]
fn duties_usage_known_report_survives_return_of_store() {
    let (mut store, mut platform, mut first) = (store(), Platform::default(), Process::new(1));
    first.count(1, FIRST, 5);
    first.run(&mut store, &mut platform, 0, 4_000);
    let copy = store.clone();
    platform.is_down = true;
    first.run(&mut store, &mut platform, 4_000, 7_000);
    let known = first.reporter.known().cloned().expect("a record");
    store = copy;
    store.era = 2;
    platform.is_down = false;
    let mut second = Process::new(2);
    second.reporter.learn(known);
    second.count(1, FIRST, 9);
    second.run(&mut store, &mut platform, 7_000, 8_000);
    assert_eq!(platform.count(FIRST), Some(5));
    assert!(second.given_up.is_empty());
}

/// Guards against reports of windows in which no process ran that is known, and of windows whose
/// counts died with all processes.
#[test]
fn duties_usage_all_instances_killed() {
    let (mut store, mut platform, mut first) = (store(), Platform::default(), Process::new(1));
    first.count(1, FIRST, 5);
    first.run(&mut store, &mut platform, 0, 4_000);
    let mut second = Process::new(2);
    second.table = Default::default();
    second.table.start(StartId(9), FIRST + 2).count(FIRST + 2, "kites".into());
    second.table.start(StartId(9), FIRST + 2).count(FIRST + 3, "kites".into());
    second.table.start(StartId(9), FIRST + 2).open = FIRST + 5;
    second.run(&mut store, &mut platform, 13_000, 21_000);
    let missed: Vec<_> = (FIRST..FIRST + 3).map(|w| (w, GiveUpReason::NotCounted)).collect();
    let mut given_up = second.given_up.clone();
    given_up.sort_by_key(|(window, _)| *window);
    assert_eq!(given_up, missed);
    assert_eq!(platform.windows(), [FIRST + 3]);
}
