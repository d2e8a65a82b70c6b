//! Tests of the data centres out of service when the store returns from an older copy.

use std::{collections::BTreeSet, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::{evacuation::Evacuations, revision::Revision},
};

const START: Time = Time::from_millis(1_000_000);

fn names(list: &[&str]) -> BTreeSet<String> {
    list.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn evacuation_older_list_ignored() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.apply(Revision::new(1, 9), names(&["a"]), START));
    assert!(!evacuations.apply(Revision::new(1, 8), names(&[]), START));
    assert_eq!(evacuations.in_force(START), names(&["a"]));
}

#[test]
fn evacuation_confirmed_after_return_in_force() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(Revision::new(1, 90), names(&[]), START);
    assert!(evacuations.apply(Revision::new(2, 40), names(&["a"]), START));
    assert_eq!(evacuations.in_force(START), names(&["a"]));
}

#[test]
fn evacuation_lost_by_store_holds_until_written() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(Revision::new(1, 90), names(&["a"]), START);
    evacuations.apply(Revision::new(2, 40), names(&[]), START);
    assert_eq!(evacuations.in_force(START), names(&["a"]), "the operators will write it again");
    evacuations.apply(Revision::new(2, 41), names(&["a"]), START);
    evacuations.apply(Revision::new(2, 45), names(&[]), START);
    assert_eq!(evacuations.in_force(START), names(&[]), "now it was the operators who ended it");
}

#[test]
fn evacuation_lost_by_store_ends_in_time() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(Revision::new(1, 90), names(&["a"]), START);
    evacuations.apply(Revision::new(2, 40), names(&[]), START);
    let later = START + Duration::from_secs(10);
    assert_eq!(evacuations.in_force(later), names(&[]), "it had ended before the return");
}

#[test]
fn evacuation_told_to_instance_that_knows_only_the_copy() {
    let mut leader = Evacuations::default();
    leader.apply(Revision::new(2, 40), names(&[]), START);
    assert!(!leader.apply(Revision::new(1, 90), names(&["a"]), START));
    assert_eq!(leader.in_force(START), names(&["a"]), "a follower knew it before the return");
    assert_eq!(leader.in_force(START + Duration::from_secs(10)), names(&[]));
}

#[test]
fn evacuation_held_through_two_returns() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(Revision::new(1, 90), names(&["a"]), START);
    evacuations.apply(Revision::new(2, 40), names(&[]), START);
    evacuations.apply(Revision::new(3, 40), names(&[]), START + Duration::from_secs(1));
    let later = START + Duration::from_secs(2);
    assert_eq!(evacuations.in_force(later), names(&["a"]));
}
