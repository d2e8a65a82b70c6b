//! Choice among copies, and the directory that knows them.

use std::collections::BTreeMap;

use cardamomshore::{
    kernel::routing::{Directory, Replica, RoutingInput, RoutingPolicy, TwoChoices},
    wire::{Digest, EndpointDigest},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn copy(name: &str, running: u32) -> Replica {
    Replica {
        endpoint: name.into(),
        steward: "i-0".into(),
        data_centre: "dc".into(),
        pool: "assistant".into(),
        fence: 1,
        running,
        queued: 0,
        limit: 100,
        adapters: Vec::new(),
    }
}

fn refs(copies: &[Replica]) -> Vec<&Replica> {
    copies.iter().collect()
}

#[test]
fn two_choices_prefers_home_within_bound() {
    let mut copies: Vec<Replica> = (0..8).map(|i| copy(&format!("e-{i}"), 10)).collect();
    let wish = |draw| RoutingInput { prefix: 99, draw, ..RoutingInput::default() };
    let home = TwoChoices.choose(&refs(&copies), &wish(0));
    for draw in 0..50_u64 {
        assert_eq!(TwoChoices.choose(&refs(&copies), &wish(draw << 32 | draw)), home);
    }
    copies[home].running = 60;
    for draw in 0..50_u64 {
        assert_ne!(TwoChoices.choose(&refs(&copies), &wish(draw << 32 | draw)), home);
    }
}

#[test]
fn two_choices_prefers_resident_adapter() {
    let mut copies: Vec<Replica> = (0..8).map(|i| copy(&format!("e-{i}"), 10)).collect();
    copies[5].adapters.push("sails".into());
    let wish = RoutingInput { adapter: Some("sails".into()), ..RoutingInput::default() };
    assert_eq!(TwoChoices.choose(&refs(&copies), &wish), 5);
    copies[5].running = 90;
    assert_ne!(TwoChoices.choose(&refs(&copies), &wish), 5);
}

#[test]
fn two_choices_never_takes_the_fullest() {
    let copies: Vec<Replica> = (0..4).map(|i| copy(&format!("e-{i}"), i * 20)).collect();
    for draw in 0..200_u64 {
        let wish = RoutingInput {
            draw: draw.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..RoutingInput::default()
        };
        assert_ne!(TwoChoices.choose(&refs(&copies), &wish), 3);
    }
}

/// One step of a random history: who speaks, its number, and its endpoints with fence and model.
type Said = (u8, u64, Vec<(u8, u64, u8)>);

fn digest(said: &Said) -> Digest {
    let (instance, number, endpoints) = said;
    let mut named: BTreeMap<u8, (u64, u8)> = BTreeMap::new();
    named.extend(endpoints.iter().map(|(endpoint, fence, model)| (*endpoint, (*fence, *model))));
    let endpoints = named.into_iter().map(|(endpoint, (fence, model))| EndpointDigest {
        endpoint: format!("e-{endpoint}"),
        // Two instances never hold the same tenure.
        fence: fence * 8 + u64::from(*instance),
        pool: format!("p-{}", endpoint % 2),
        models: vec![format!("m-{model}")],
        ..EndpointDigest::default()
    });
    Digest {
        instance: format!("i-{instance}"),
        incarnation: 1,
        number: *number,
        endpoints: endpoints.collect(),
        demand: Vec::new(),
    }
}

/// Returns who serves which endpoint with which model, worked out from all digests at once.
fn expected(directory: &Directory) -> BTreeMap<String, (u64, String)> {
    let mut newest: BTreeMap<String, (u64, String)> = BTreeMap::new();
    for endpoint in directory.digests().flat_map(|digest| &digest.endpoints) {
        let entry = (endpoint.fence, endpoint.models[0].clone());
        let known = newest.entry(endpoint.endpoint.clone()).or_insert(entry.clone());
        *known = known.clone().max(entry);
    }
    newest
}

fn indexed(directory: &Directory) -> BTreeMap<String, (u64, String)> {
    let models = (0..4).map(|i| format!("m-{i}"));
    let copies = models.flat_map(|model| {
        let copies = directory.replicas(&model.as_str().into()).to_vec();
        copies.into_iter().map(move |c| (c.endpoint.to_string(), (c.fence, model.clone())))
    });
    copies.collect()
}

#[test]
fn directory_index_matches_digests() {
    let said = (0..4_u8, 0..6_u64, prop::collection::vec((0..6_u8, 0..5_u64, 0..4_u8), 0..6));
    let history = prop::collection::vec((said, any::<bool>()), 1..40);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(500), rng);
    let result = runner.run(&history, |history| {
        let mut directory = Directory::default();
        for (said, forget) in &history {
            directory.update(digest(said));
            if *forget {
                directory.forget(&format!("i-{}", (said.0 + 1) % 4).into());
            }
            prop_assert_eq!(indexed(&directory), expected(&directory));
            let pools: usize = (0..2).map(|i| directory.pool(&format!("p-{i}").into()).len()).sum();
            prop_assert_eq!(pools, directory.len());
        }
        Ok(())
    });
    result.unwrap();
}
