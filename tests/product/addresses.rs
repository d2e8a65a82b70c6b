//! The instances returned to callers that ask which ones to use.

use std::collections::BTreeSet;

use cardamomshore::{
    kernel::addresses::{Candidate, choose_instances},
    names::{InstanceId, Team},
};

fn fleet(count: usize) -> Vec<Candidate> {
    let candidate = |i: usize| Candidate {
        id: format!("i-{i}").into(),
        data_centre: format!("dc-{}", i % 3).into(),
        serves: true,
        in_service: true,
    };
    (0..count).map(candidate).collect()
}

#[test]
fn addresses_team_keeps_to_few() {
    for team in 0..50 {
        let team = Team::from(format!("team-{team}"));
        let mut candidates = fleet(9);
        let chosen = choose_instances(&candidates, Some(&team), 0);
        assert_eq!(
            chosen,
            choose_instances(&candidates, Some(&team), 1),
            "the choice does not depend on the draw"
        );
        assert_eq!(chosen.len(), 3);
        let data_centre = |id: &InstanceId| {
            let found = candidates.iter().find(|c| c.id == *id);
            found.expect("a candidate").data_centre.clone()
        };
        let data_centres: BTreeSet<_> = chosen.iter().map(data_centre).collect();
        assert!(data_centres.len() > 1, "{chosen:?}");
        candidates.retain(|candidate| candidate.id != chosen[0]);
        let after = choose_instances(&candidates, Some(&team), 0);
        let kept = chosen.iter().filter(|id| after.contains(id)).count();
        assert!(kept >= 1 && !after.contains(&chosen[0]), "{chosen:?} {after:?}");
    }
}

#[test]
fn addresses_leave_out_those_not_serving() {
    let mut candidates = fleet(6);
    candidates[0].serves = false;
    candidates[1].in_service = false;
    let chosen: BTreeSet<_> = choose_instances(&candidates, None, 7).into_iter().collect();
    let expected: BTreeSet<InstanceId> =
        ["i-2", "i-3", "i-4", "i-5"].into_iter().map(InstanceId::from).collect();
    assert_eq!(chosen, expected);
}

#[test]
fn addresses_never_empty_while_one_serves() {
    let mut candidates = fleet(4);
    for candidate in &mut candidates {
        candidate.serves = false;
        candidate.in_service = false;
    }
    assert!(choose_instances(&candidates, None, 1).is_empty());
    candidates[2].serves = true;
    assert_eq!(choose_instances(&candidates, None, 1), ["i-2".into()]);
    assert_eq!(choose_instances(&candidates, Some(&"kites".into()), 1), ["i-2".into()]);
}

#[test]
fn addresses_without_key_spread() {
    let first = |draw| choose_instances(&fleet(9), None, draw).remove(0);
    let firsts: BTreeSet<_> = (0..200).map(first).collect();
    assert_eq!(firsts.len(), 9);
}
