//! One round of the planner: keepers first, then permits for moves.

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

/// Keepers that one write moves.
const MAX_KEEPER_MOVES: usize = 32;

/// Runs one round and returns whether the duty is still held.
pub async fn run_round(node: &Arc<Node>, mut duty: PlannerTerm) -> Role {
    if !duty.is_held(node) {
        return Role::Candidate;
    }
    let Some(config) = node.config() else { return Role::Planner(duty) };
    let view = View::new(&config, &node.directory.read());
    match move_keepers(node, &mut duty, &view).await {
        Ok(true) => {}
        Ok(false) => return Role::Candidate,
        // The service is down: the duty stays, and nothing moves without its record.
        Err(_) => return Role::Planner(duty),
    }
    duty.planning.set_limits(config.weight_store, Time::now());
    let policy = registry::placement(&config.policy.placement).unwrap_or(&Marginal);
    let steps = duty.planning.steps(policy, &view, &duty.record.keepers, Time::now());
    // The lease is checked again, since the process may have been paused since the round began.
    if !duty.is_held(node) {
        return Role::Candidate;
    }
    request_moves(node, &mut duty, steps).await;
    Role::Planner(duty)
}

/// Moves keepers to endpoints that hold their models, and returns whether the duty is still held.
async fn move_keepers(
    node: &Arc<Node>,
    duty: &mut PlannerTerm,
    view: &View,
) -> Result<bool, PlatformError> {
    let mut moves = keeper_moves(view, &duty.record.keepers);
    moves.truncate(MAX_KEEPER_MOVES);
    if moves.is_empty() {
        return Ok(true);
    }
    let Some(own) = lease_expectation(node) else { return Ok(false) };
    let mut expect = vec![(PLAN_KEY.to_owned(), duty.revision), own];
    let mut record = duty.record.clone();
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
    let Some(revision) = written else { return is_still_held(node, duty).await };
    let detail = format!("version={} keepers={}", record.version, record.keepers.len());
    node.timeline.record(Event::PlanWritten, PLAN_KEY, detail);
    (duty.record, duty.revision) = (record, revision);
    Ok(true)
}

/// Returns whether the record is still this node's after a write that did not happen, since the
/// record of an endpoint may have changed in its place.
async fn is_still_held(node: &Node, duty: &PlannerTerm) -> Result<bool, PlatformError> {
    let current = node.platform.get(PLAN_KEY).await?;
    Ok(current.is_some_and(|kv| kv.revision == duty.revision))
}

/// Returns the expectation under which an endpoint cannot unload the model any more without
/// seeing the new plan, or `None` while an unload may still take effect there.
async fn no_unload_expectation(
    node: &Node,
    moved: &KeeperMove,
) -> Result<Option<(String, i64)>, PlatformError> {
    let key = record_key(&moved.to);
    let Some(kv) = node.platform.get(&key).await? else { return Ok(None) };
    let record: EndpointRecord = serde_json::from_slice(&kv.value).unwrap_or_default();
    Ok((!record.may_unload(&moved.model)).then_some((key, kv.revision)))
}

/// Asks the stewards to carry the steps out.
async fn request_moves(node: &Arc<Node>, duty: &mut PlannerTerm, steps: Vec<Step>) {
    let asked = steps.into_iter().map(|step| request_move(node, &duty.record, step));
    for (step, accepted) in join_all(asked).await {
        if !accepted {
            duty.planning.record_refused(&step);
        }
    }
}

async fn request_move(node: &Arc<Node>, record: &PlanRecord, step: Step) -> (Step, bool) {
    let (endpoint, model) = step.target();
    let Some(steward) = node.directory.read().steward(endpoint) else { return (step, false) };
    let order = Move {
        endpoint: endpoint.to_string(),
        model: model.to_string(),
        unload: !step.is_load(),
        plan: record.version,
    };
    let refused = is_refused(node, &steward, order).await;
    (step, !refused)
}

/// Returns whether a steward surely did not accept an order; a lost answer may mean that it did.
async fn is_refused(node: &Arc<Node>, steward: &InstanceId, order: Move) -> bool {
    match node.request(steward, PeerRequestBody::Move(order)).await {
        Ok(ReplyBody::Move(moved)) => !moved.accepted,
        Ok(_) => true,
        Err(refusal) => refusal.run == crate::codes::RunStatus::NotRun,
    }
}
