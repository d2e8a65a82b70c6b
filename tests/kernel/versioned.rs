//! Tests of the table whose changes are sent to many receivers.

use std::{collections::BTreeMap, sync::Arc};

use cardamomshore::kernel::versioned::{Changes, Version, VersionedTable};

/// A receiver that applies the changes it gets.
#[derive(Default)]
struct Receiver {
    known: BTreeMap<Arc<str>, u32>,
    version: Option<Version>,
    /// Entries and removals that it has received.
    received: usize,
}

type Table = VersionedTable<(Arc<str>, u32)>;

impl Receiver {
    fn update(&mut self, table: &Table) {
        let Some(Changes { full, changed, removed }) = table.changes_after(self.version) else {
            return;
        };
        if full {
            self.known.clear();
        }
        self.received += changed.len() + removed.len();
        self.known.retain(|name, _| !removed.contains(name));
        self.known.extend(changed);
        self.version = Some(table.version());
    }
}

fn name(number: u32) -> Arc<str> {
    format!("instance-{number}").into()
}

/// Replaces the content of the table with entries of these numbers and values.
fn fill(table: &mut Table, entries: impl IntoIterator<Item = (u32, u32)>) -> bool {
    let entries = entries.into_iter().map(|(number, value)| (name(number), (name(number), value)));
    table.replace(entries, |old, new| old != new)
}

fn content(entries: impl IntoIterator<Item = (u32, u32)>) -> BTreeMap<Arc<str>, u32> {
    entries.into_iter().map(|(number, value)| (name(number), value)).collect()
}

#[test]
fn changes_only_what_differs() {
    let (mut table, mut receiver) = (Table::default(), Receiver::default());
    fill(&mut table, (0..960).map(|number| (number, 0)));
    receiver.update(&table);
    assert_eq!(receiver.received, 960);
    fill(&mut table, (1..960).map(|number| (number, u32::from(number == 7))));
    receiver.update(&table);
    assert_eq!(receiver.received, 962, "one change and one removal");
    assert_eq!(receiver.known, content((1..960).map(|number| (number, u32::from(number == 7)))));
    assert!(!fill(&mut table, (1..960).map(|number| (number, u32::from(number == 7)))));
    assert_eq!(table.changes_after(receiver.version), None);
}

#[test]
fn changes_slow_receiver_gets_newest_state() {
    let (mut table, mut receiver) = (Table::default(), Receiver::default());
    fill(&mut table, (0..10).map(|number| (number, 0)));
    receiver.update(&table);
    for value in 1..1_000 {
        fill(&mut table, (0..10).map(|number| (number, value)));
    }
    receiver.update(&table);
    assert_eq!(receiver.received, 20, "each entry once, not each of its changes");
    assert_eq!(receiver.known, content((0..10).map(|number| (number, 999))));
}

#[test]
fn changes_entry_back_after_removal() {
    let (mut table, mut receiver) = (Table::default(), Receiver::default());
    fill(&mut table, [(1, 0), (2, 0)]);
    receiver.update(&table);
    fill(&mut table, [(1, 0)]);
    fill(&mut table, [(1, 0), (2, 5)]);
    receiver.update(&table);
    assert_eq!(receiver.known, content([(1, 0), (2, 5)]));
}

#[test]
fn changes_forgotten_removals_need_whole_table() {
    let (mut table, mut receiver) = (Table::default(), Receiver::default());
    fill(&mut table, [(0, 0)]);
    receiver.update(&table);
    for number in 1..10_000 {
        fill(&mut table, [(number, 0)]);
    }
    receiver.update(&table);
    assert_eq!(receiver.known, content([(9_999, 0)]));
}

#[test]
fn changes_unchanged_value_keeps_version() {
    let (mut table, mut receiver) = (Table::default(), Receiver::default());
    fill(&mut table, [(1, 0)]);
    receiver.update(&table);
    let entries = [(name(1), (name(1), 9))];
    assert!(!table.replace(entries, |_, _| false), "the difference does not count");
    assert_eq!(table.changes_after(receiver.version), None);
}
