//! One round of the planner: keepers are moved first, then loads and unloads are requested.

use std::sync::Arc;

use futures_util::future::join_all;

use super::{PlannerTerm, Role, lease_expectation, write_plan};
use crate::{
    clock::Time,
    events::Event,
    kernel::{
        ledger::EndpointRecord,
        placement::{KeeperMove, Marginal, PLAN_KEY, PlanRecord, Step, View, keeper_moves},
        registry,
        stewardship::record_key,
    },
    names::InstanceId,
    node::Node,
    platform::PlatformError,
    wire::{Move, PeerRequestBody, ReplyBody},
};

/// Most keepers that one write moves.
const MAX_KEEPER_MOVES: usize = 32;

/// Runs one round and returns the role of this instance after it.
pub async fn run_round(node: &Arc<Node>, mut term: PlannerTerm) -> Role {
    if !term.may_continue(node) {
        return Role::Candidate;
    }
    let Some(config) = node.config() else { return Role::Planner(term) };
    let view = View::new(&config, &node.directory.read());
    match move_keepers(node, &mut term, &view).await {
        Ok(true) => {}
        Ok(false) => return Role::Candidate,
        // The service is down: the term continues, and nothing is moved without a written plan.
        Err(_) => return Role::Planner(term),
    }
    term.planning.set_limits(config.weight_store, Time::now());
    let policy = registry::placement(&config.policy.placement).unwrap_or(&Marginal);
    let steps = term.planning.steps(policy, &view, &term.record.keepers, Time::now());
    // The lease is checked once more, since the process may have been paused during the round.
    if !term.may_continue(node) {
        return Role::Candidate;
    }
    request_moves(node, &mut term, steps).await;
    Role::Planner(term)
}

/// Moves keepers to endpoints that have their models, and returns whether the term continues.
async fn move_keepers(
    node: &Arc<Node>,
    term: &mut PlannerTerm,
    view: &View,
) -> Result<bool, PlatformError> {
    let mut moves = keeper_moves(view, &term.record.keepers);
    moves.truncate(MAX_KEEPER_MOVES);
    if moves.is_empty() {
        return Ok(true);
    }
    let Some(own_lease) = lease_expectation(node) else { return Ok(false) };
    let mut expect = vec![(PLAN_KEY.to_owned(), term.revision), own_lease];
    let mut record = term.record.clone();
    for moved in moves {
        if let Some(unchanged) = no_unload_expectation(node, &moved).await? {
            if !expect.contains(&unchanged) {
                expect.push(unchanged);
            }
            record.keepers.insert(moved.model, moved.to);
        }
    }
    record.version += 1;
    record.nonce = rand::random();
    let written = write_plan(node, &record, expect).await?;
    let Some(revision) = written else { return is_still_planner(node, term).await };
    let detail = format!("version={} keepers={}", record.version, record.keepers.len());
    node.timeline.record(Event::PlanWritten, PLAN_KEY, detail);
    (term.record, term.revision) = (record, revision);
    Ok(true)
}

/// Returns whether this instance is still the planner after a write of the plan failed, by the
/// plan's revision.
///
/// The write also fails if only the record of an endpoint changed.
async fn is_still_planner(node: &Node, term: &PlannerTerm) -> Result<bool, PlatformError> {
    let current = node.platform.get(PLAN_KEY).await?;
    Ok(current.is_some_and(|kv| kv.revision == term.revision))
}

/// Returns the expectation under which an endpoint cannot unload a model without reading the new
/// plan, or `None` while an unload may still take effect at the endpoint.
async fn no_unload_expectation(
    node: &Node,
    moved: &KeeperMove,
) -> Result<Option<(String, i64)>, PlatformError> {
    let key = record_key(&moved.to);
    let Some(kv) = node.platform.get(&key).await? else { return Ok(None) };
    let record: EndpointRecord = serde_json::from_slice(&kv.value).unwrap_or_default();
    Ok((!record.may_unload(&moved.model)).then_some((key, kv.revision)))
}

/// Requests each step from its endpoint's steward, and records the refused steps in the planning
/// state.
async fn request_moves(node: &Arc<Node>, term: &mut PlannerTerm, steps: Vec<Step>) {
    let requests = steps.into_iter().map(|step| request_move(node, &term.record, step));
    for (step, accepted) in join_all(requests).await {
        if !accepted {
            term.planning.record_refused(&step);
        }
    }
}

/// Requests one step from its endpoint's steward, and returns whether it was accepted.
async fn request_move(node: &Arc<Node>, record: &PlanRecord, step: Step) -> (Step, bool) {
    let (endpoint, model) = step.target();
    let Some(steward) = node.directory.read().steward(endpoint) else { return (step, false) };
    let request = Move {
        endpoint: endpoint.to_string(),
        model: model.to_string(),
        unload: !step.is_load(),
        plan: record.version,
    };
    let refused = is_refused(node, &steward, request).await;
    (step, !refused)
}

/// Sends a move to a steward, and returns whether the steward certainly did not accept it.
async fn is_refused(node: &Arc<Node>, steward: &InstanceId, request: Move) -> bool {
    match node.request(steward, PeerRequestBody::Move(request)).await {
        Ok(ReplyBody::Move(reply)) => !reply.accepted,
        Ok(_) => true,
        Err(refusal) => refusal.run == crate::codes::RunStatus::NotRun,
    }
}
