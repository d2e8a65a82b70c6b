//! Tests of the digests by which two copies of a table are compared.

use cardamomshore::kernel::table_digest::{PART_COUNT, Parts, TableDigest, part_of};

fn digest(entries: &[(&str, &str)]) -> TableDigest {
    TableDigest::new(entries.iter().map(|(name, state)| (name, format!("{name}:{state}").into())))
}

#[test]
fn digest_order_does_not_matter() {
    let first = digest(&[("e1", "ready"), ("e2", "ready")]);
    assert_eq!(first, digest(&[("e2", "ready"), ("e1", "ready")]));
}

/// Guards against an endpoint that drains, has left or has come and is not sent to an instance that joins.
#[test]
fn digest_differs_in_part_of_each_change() {
    let base = digest(&[("e1", "ready"), ("e2", "ready")]);
    let others = [digest(&[("e1", "ready"), ("e2", "draining")]), digest(&[("e1", "ready")])];
    for other in others {
        let parts = base.differing(&other);
        assert_eq!(parts.iter().collect::<Vec<_>>(), [part_of("e2")]);
        assert!(parts.contains_entry("e2") && !parts.contains_entry("e1"));
    }
}

/// Guards against two entries that change places within a part, which a digest of states alone would miss.
#[test]
fn digest_covers_names() {
    let same_part = (0..).map(|n| format!("x{n}")).find(|name| part_of(name) == part_of("e1"));
    let other = same_part.expect("some name has the same part");
    let first = digest(&[("e1", "ready"), (&other, "draining")]);
    let second = digest(&[("e1", "draining"), (&other, "ready")]);
    assert_ne!(first, second);
}

/// Guards against digests of a release with another number of parts.
#[test]
fn digest_of_other_length_refused() {
    assert!(TableDigest::from_parts(vec![0; PART_COUNT]).is_some());
    assert!(TableDigest::from_parts(vec![0; PART_COUNT / 2]).is_none());
    assert!(TableDigest::from_parts(Vec::new()).is_none());
}

/// Guards against a number of a part, as received, beyond the last one.
#[test]
fn parts_ignore_unknown_number() {
    let parts: Parts = [3, PART_COUNT, usize::MAX].into_iter().collect();
    assert_eq!(parts.iter().collect::<Vec<_>>(), [3]);
}
