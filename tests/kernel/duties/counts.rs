//! Tests of merging counts.

use cardamomshore::kernel::duties::counts::{StartId, StartUsage, UsageTable};

fn usage(start: u64, runs: &[(u64, &str, u64)]) -> StartUsage {
    let mut usage = StartUsage::new(StartId(start), 1);
    for (window, team, count) in runs {
        (0..*count).for_each(|_| usage.count(*window, (*team).into()));
    }
    usage
}

/// Guards against counts that are added twice when a state arrives again, late or by another path.
#[test]
fn duties_counts_merge_in_any_order_and_number() {
    let (early, late) =
        (usage(7, &[(5, "kites", 2)]), usage(7, &[(5, "kites", 5), (6, "owls", 1)]));
    let other = usage(8, &[(5, "kites", 3)]);
    let orders = [[&early, &late, &other], [&late, &other, &early], [&other, &late, &late]];
    for order in orders {
        let mut table = UsageTable::default();
        order.into_iter().for_each(|usage| table.merge(usage.clone()));
        assert_eq!(table.sum(5).get("kites"), Some(&8));
        assert_eq!(table.sum(6).get("owls"), Some(&1));
    }
}

/// Guards against refused requests that are reported as runs.
#[test]
fn duties_counts_leave_out_what_was_not_run() {
    let mut own = usage(7, &[(5, "kites", 3), (5, "owls", 1)]);
    own.count_not_run(5, "kites".into());
    own.count_not_run(5, "owls".into());
    let mut table = UsageTable::default();
    table.merge(own);
    assert_eq!(table.sum(5).into_iter().collect::<Vec<_>>(), [("kites".into(), 2)]);
}

/// Guards against a start under the name of an ended one that hides the ended one's counts.
#[test]
fn duties_counts_of_two_starts_add_up() {
    let mut table = UsageTable::default();
    table.merge(usage(1, &[(5, "kites", 4)]));
    table.merge(usage(2, &[(5, "kites", 1)]));
    assert_eq!(table.sum(5).get("kites"), Some(&5));
}

/// Guards against a report that does not wait for an instance, and against one that waits for an
/// instance that ended long before.
#[test]
fn duties_counts_wait_for_recent_starts_only() {
    let mut table = UsageTable::default();
    table.merge(usage(1, &[(5, "kites", 1)]));
    table.merge(usage(2, &[(8, "kites", 1)]));
    assert!(!table.is_complete(5) && !table.is_complete(6));
    assert!(table.is_complete(7));
    assert!(!table.is_complete(8));
}

/// Guards against memory that grows while nothing can be recorded.
#[test]
fn duties_counts_of_long_outage_are_bounded() {
    let mut table = UsageTable::default();
    for window in 0..1_000 {
        table.start(StartId(1), window).count(window, "kites".into());
        table.settle(0);
    }
    let kept = table.get(StartId(1)).map_or(0, |usage| usage.windows.len());
    assert!(kept <= 121, "{kept} windows");
}
