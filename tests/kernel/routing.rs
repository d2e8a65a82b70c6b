//! Tests of the choice among replicas and of the directory.

use std::collections::BTreeMap;

use cardamomshore::{
    kernel::routing::{Directory, Replica, RoutingInput, RoutingPolicy, TwoChoices},
    wire::{Digest, EndpointDigest},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn replica(name: &str, running: u32) -> Replica {
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

fn refs(replicas: &[Replica]) -> Vec<&Replica> {
    replicas.iter().collect()
}

#[test]
fn two_choices_prefers_prefix_replica_within_bound() {
    let mut replicas: Vec<Replica> = (0..8).map(|i| replica(&format!("e-{i}"), 10)).collect();
    let input = |draw| RoutingInput { prefix: 99, draw, ..RoutingInput::default() };
    let preferred = TwoChoices.choose(&refs(&replicas), &input(0));
    for draw in 0..50_u64 {
        assert_eq!(TwoChoices.choose(&refs(&replicas), &input(draw << 32 | draw)), preferred);
    }
    replicas[preferred].running = 60;
    for draw in 0..50_u64 {
        assert_ne!(TwoChoices.choose(&refs(&replicas), &input(draw << 32 | draw)), preferred);
    }
}

#[test]
fn two_choices_prefers_resident_adapter() {
    let mut replicas: Vec<Replica> = (0..8).map(|i| replica(&format!("e-{i}"), 10)).collect();
    replicas[5].adapters.push("sails".into());
    let input = RoutingInput { adapter: Some("sails".into()), ..RoutingInput::default() };
    assert_eq!(TwoChoices.choose(&refs(&replicas), &input), 5);
    replicas[5].running = 90;
    assert_ne!(TwoChoices.choose(&refs(&replicas), &input), 5);
}

#[test]
fn two_choices_never_chooses_most_loaded() {
    let replicas: Vec<Replica> = (0..4).map(|i| replica(&format!("e-{i}"), i * 20)).collect();
    for draw in 0..200_u64 {
        let input = RoutingInput {
            draw: draw.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..RoutingInput::default()
        };
        assert_ne!(TwoChoices.choose(&refs(&replicas), &input), 3);
    }
}

/// A random digest: its instance, its number, and its endpoints, each with fencing number and
/// model.
type DigestInput = (u8, u64, Vec<(u8, u64, u8)>);

fn digest(digest_input: &DigestInput) -> Digest {
    let (instance, number, endpoints) = digest_input;
    let mut named: BTreeMap<u8, (u64, u8)> = BTreeMap::new();
    named.extend(endpoints.iter().map(|(endpoint, fence, model)| (*endpoint, (*fence, *model))));
    let endpoints = named.into_iter().map(|(endpoint, (fence, model))| EndpointDigest {
        endpoint: format!("e-{endpoint}"),
        // Two instances never have the same term, so their fencing numbers differ.
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

/// Returns the fencing number and the model of each endpoint, computed from all digests at once.
fn expected(directory: &Directory) -> BTreeMap<String, (u64, String)> {
    let mut newest: BTreeMap<String, (u64, String)> = BTreeMap::new();
    for endpoint in directory.digests().flat_map(|digest| &digest.endpoints) {
        let latest = (endpoint.fence, endpoint.models[0].clone());
        let known = newest.entry(endpoint.endpoint.clone()).or_insert(latest.clone());
        *known = known.clone().max(latest);
    }
    newest
}

/// Returns the fencing number and the model of each endpoint in the directory's index.
fn indexed(directory: &Directory) -> BTreeMap<String, (u64, String)> {
    let models = (0..4).map(|i| format!("m-{i}"));
    let replicas = models.flat_map(|model| {
        let replicas = directory.replicas(&model.as_str().into()).to_vec();
        replicas.into_iter().map(move |r| (r.endpoint.to_string(), (r.fence, model.clone())))
    });
    replicas.collect()
}

#[test]
fn directory_index_matches_digests() {
    let digest_input =
        (0..4_u8, 0..6_u64, prop::collection::vec((0..6_u8, 0..5_u64, 0..4_u8), 0..6));
    let history = prop::collection::vec((digest_input, any::<bool>()), 1..40);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(500), rng);
    let result = runner.run(&history, |history| {
        let mut directory = Directory::default();
        for (digest_input, forget) in &history {
            directory.update(digest(digest_input));
            if *forget {
                directory.forget(&format!("i-{}", (digest_input.0 + 1) % 4).into());
            }
            prop_assert_eq!(indexed(&directory), expected(&directory));
            let pools: usize = (0..2).map(|i| directory.pool(&format!("p-{i}").into()).len()).sum();
            prop_assert_eq!(pools, directory.len());
        }
        Ok(())
    });
    result.unwrap();
}
