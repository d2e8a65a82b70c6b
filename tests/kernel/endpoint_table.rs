//! Tests of the endpoints' entries when the store returns from an older copy.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::{
        endpoint_table::{EndpointTable, Presence},
        grants::{EndpointEntry, Incarnation},
    },
};

const START: Time = Time::from_millis(1_000_000);

/// Time after which every entry holds as it was read.
const SETTLED: Duration = Duration::from_secs(6);

fn entry(id: &str, born: u64, draining: bool) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        version: "v1".into(),
        incarnation: Incarnation(born),
        service: "desk".into(),
        address: "10.0.0.1:8000".parse().expect("an address"),
        data_centre: "a".into(),
        slots: 6,
        draining,
        removed_in: None,
        cold_remaining: Duration::ZERO,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

/// Returns the names of the endpoints in use, those that drain in brackets.
fn list(table: &EndpointTable) -> Vec<String> {
    let mut list: Vec<String> = table
        .entries()
        .map(|it| if it.draining { format!("({})", it.id) } else { it.id.to_string() })
        .collect();
    list.sort();
    list
}

fn table(entries: &[EndpointEntry]) -> EndpointTable {
    let mut table = EndpointTable::default();
    table.load(1, entries.to_vec(), START);
    table
}

#[test]
fn table_removed_endpoint_not_back_after_return() {
    let mut table = table(&[entry("a", 1, false), entry("b", 1, false)]);
    table.remove("b", START);
    table.load(2, [entry("a", 1, false), entry("b", 1, false)], START);
    assert_eq!(list(&table), ["a"], "the copy lists an endpoint that has left");
    table.put(entry("b", 1, false));
    assert_eq!(list(&table), ["a", "b"], "it has written its entry itself");
}

#[test]
fn table_draining_endpoint_not_ready_after_return() {
    let mut table = table(&[entry("a", 1, true)]);
    table.load(2, [entry("a", 1, false)], START);
    assert_eq!(list(&table), ["(a)"]);
    assert!(!table.settle(START + Duration::from_secs(1)), "the endpoint has not written it yet");
    assert!(table.settle(START + SETTLED));
    assert_eq!(list(&table), ["a"]);
}

#[test]
fn table_drain_written_after_return_in_force() {
    let mut table = table(&[entry("a", 1, false)]);
    table.load(2, [entry("a", 1, true)], START);
    assert_eq!(list(&table), ["(a)"], "it may have been written before the first read");
}

#[test]
fn table_endpoint_missing_after_return_kept_briefly() {
    let mut table = table(&[entry("a", 1, false), entry("b", 1, false)]);
    table.load(2, [entry("a", 1, false)], START);
    assert_eq!(list(&table), ["a", "b"], "it will write its entry again");
    table.load(2, [entry("a", 1, false)], START + Duration::from_secs(1));
    assert_eq!(list(&table), ["a", "b"], "it still may");
    table.settle(START + SETTLED);
    assert_eq!(list(&table), ["a"]);
}

#[test]
fn table_endpoint_removed_after_return_gone() {
    let mut table = table(&[entry("a", 1, false)]);
    table.load(2, [entry("a", 1, false)], START);
    table.load(2, [], START + Duration::from_secs(1));
    assert_eq!(list(&table), [""; 0], "the new era has removed it itself");
}

#[test]
fn table_restart_after_return_in_use() {
    let mut table = table(&[entry("a", 1, true)]);
    table.load(2, [entry("a", 2, false)], START);
    assert_eq!(list(&table), ["a"], "a later start does not drain");
}

#[test]
fn table_older_start_not_back_after_return() {
    let mut table = table(&[entry("a", 2, true)]);
    table.load(2, [entry("a", 1, false)], START);
    assert_eq!(list(&table), ["(a)"]);
}

#[test]
fn table_missing_entry_same_era_removed() {
    let mut table = table(&[entry("a", 1, false), entry("b", 1, false)]);
    table.load(1, [entry("a", 1, false)], START);
    assert_eq!(list(&table), ["a"], "the store has lost nothing");
}

#[test]
fn table_of_leader_remembered_at_return() {
    let mut table = EndpointTable::default();
    table.replace(1, vec![entry("a", 1, true), entry("b", 1, false)], START);
    table.remove("b", START);
    table.load(2, [entry("a", 1, false), entry("b", 1, false)], START);
    assert_eq!(list(&table), ["(a)"], "a follower that leads now");
}

#[test]
fn table_leaving_endpoints_told_to_new_leader() {
    let mut follower = table(&[entry("a", 1, true), entry("b", 1, false), entry("c", 1, false)]);
    follower.remove("b", START);
    let mut leader = EndpointTable::default();
    leader.apply_leaving(1, follower.leaving(), START);
    leader.load(2, ["a", "b", "c"].map(|id| entry(id, 1, false)), START);
    assert_eq!(list(&leader), ["(a)", "c"], "it started after the return and read the copy");
    leader.put(entry("b", 1, false));
    assert_eq!(list(&leader), ["(a)", "b", "c"], "the endpoint has written its entry itself");
    leader.settle(START + SETTLED);
    assert_eq!(list(&leader), ["a", "b", "c"]);
}

#[test]
fn table_leaving_endpoints_of_same_era_ignored() {
    let mut follower = table(&[entry("a", 1, true)]);
    follower.remove("a", START);
    let mut leader = table(&[entry("a", 1, false)]);
    leader.apply_leaving(1, follower.leaving(), START);
    assert_eq!(list(&leader), ["a"], "the leader has read the store later");
}

#[test]
fn presence_tells_draining_and_gone_from_usable() {
    let mut table = table(&[entry("a", 5, true), entry("b", 5, false), entry("c", 5, false)]);
    table.remove("c", START);
    assert_eq!(table.presence("a", Incarnation(5)), Presence::Draining);
    assert_eq!(table.presence("b", Incarnation(5)), Presence::Usable);
    assert_eq!(table.presence("c", Incarnation(5)), Presence::Gone);
    assert_eq!(table.presence("new", Incarnation(1)), Presence::Usable, "not known yet");
}

#[test]
fn presence_later_start_usable() {
    let mut table = table(&[entry("a", 5, true), entry("c", 5, false)]);
    table.remove("c", START);
    assert_eq!(table.presence("a", Incarnation(6)), Presence::Usable);
    assert_eq!(table.presence("c", Incarnation(6)), Presence::Usable);
}

/// Guards against work for each entry that endpoints write again unchanged: 3,000 endpoints write 2,500
/// entries a second.
#[test]
fn table_put_unchanged_is_no_change() {
    let mut table = table(&[entry("a", 1, false)]);
    assert!(!table.put(entry("a", 1, false)));
    assert!(table.put(entry("a", 1, true)), "it drains");
    assert!(table.remove("a", START));
    assert!(!table.remove("a", START));
    assert!(table.put(entry("a", 1, true)), "it is back");
}

/// Guards against entries outside the sent parts that are lost, and against ones inside that stay.
#[test]
fn table_replace_where_keeps_other_entries() {
    let mut table = table(&["a", "b", "c"].map(|id| entry(id, 1, false)));
    let sent = vec![entry("a", 1, false), entry("d", 1, true)];
    let mut changed = table.replace_where(1, |id| id != "c", sent, START);
    changed.sort();
    assert_eq!(changed, ["b".into(), "d".into()] as [std::sync::Arc<str>; 2]);
    assert_eq!(list(&table), ["(d)", "a", "c"]);
}
