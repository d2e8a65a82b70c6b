//! Starts a term as the planner after the lease of the former one ended.

use std::sync::Arc;

use super::{PlannerTerm, Role, lease_expectation, write_plan};
use crate::{
    clock::Time,
    config::Config,
    events::Event,
    kernel::{
        ledger::EndpointRecord,
        placement::{PLAN_KEY, PlanRecord, Planning, Step},
        stewardship::{RECORD_PREFIX, lease_key},
    },
    node::Node,
    platform::{Kv, PlatformError},
};

/// Becomes the planner if there is none, and returns the role of this instance.
pub async fn become_planner(node: &Arc<Node>) -> Role {
    match start_term(node).await {
        Ok(Some(term)) => {
            let detail = format!("version={}", term.record.version);
            node.timeline.record(Event::PlannerTaken, node.settings.instance.as_str(), detail);
            Role::Planner(term)
        }
        Ok(None) | Err(_) => Role::Candidate,
    }
}

/// Starts a term if there is no planner and the write of the plan succeeds.
async fn start_term(node: &Arc<Node>) -> Result<Option<PlannerTerm>, PlatformError> {
    let Some(config) = node.config() else { return Ok(None) };
    let current = node.platform.get(PLAN_KEY).await?;
    let revision = current.as_ref().map_or(0, |kv| kv.revision);
    let former = current.as_ref().map(parse_plan).unwrap_or_default();
    let Some(expectations) = expectation_of_vacancy(node, &former).await? else { return Ok(None) };
    let Some(own_lease) = lease_expectation(node) else { return Ok(None) };
    let record = PlanRecord {
        version: former.version + 1,
        holder: Some(node.settings.instance.clone()),
        incarnation: node.incarnation,
        nonce: rand::random(),
        ..former
    };
    let lease = own_lease.1;
    let mut expect = vec![(PLAN_KEY.to_owned(), revision), own_lease];
    expect.extend(expectations);
    let Some(revision) = write_plan(node, &record, expect).await? else { return Ok(None) };
    let planning = inherited_planning(node, &config).await?;
    Ok(Some(PlannerTerm { lease, record, revision, planning }))
}

/// Returns the expectations under which there is no planner, or `None` while its lease exists.
async fn expectation_of_vacancy(
    node: &Node,
    record: &PlanRecord,
) -> Result<Option<Vec<(String, i64)>>, PlatformError> {
    let Some(holder) = &record.holder else { return Ok(Some(Vec::new())) };
    if *holder == node.settings.instance {
        // The planner was an earlier process of this instance, or this one under an earlier lease.
        return Ok(Some(Vec::new()));
    }
    let key = lease_key(holder);
    let lease = node.platform.get(&key).await?;
    let incarnation = lease.as_ref().and_then(crate::node::lease::incarnation_of);
    if incarnation == Some(record.incarnation) {
        return Ok(None);
    }
    Ok(Some(vec![(key, lease.map_or(0, |kv| kv.revision))]))
}

/// Returns the planning state with the loads that stewards recorded for an earlier planner, so that
/// the weight store's limits apply across planners.
async fn inherited_planning(node: &Node, config: &Config) -> Result<Planning, PlatformError> {
    let records = node.platform.range(RECORD_PREFIX).await?;
    let now = Time::now();
    let mut planning = Planning::new(config.weight_store, now);
    let ttl = config.pools.values().map(|pool| pool.order_ttl).max().unwrap_or_default();
    planning.inherit(records.kvs.iter().flat_map(open_loads), now + ttl);
    Ok(planning)
}

/// Returns the loads of an endpoint's record that may still take effect.
fn open_loads(kv: &Kv) -> Vec<Step> {
    let record: EndpointRecord = serde_json::from_slice(&kv.value).unwrap_or_default();
    let name = kv.key.strip_prefix(RECORD_PREFIX).unwrap_or_default();
    let load =
        |model: &crate::names::Model| Step::Load { endpoint: name.into(), model: model.clone() };
    record.open_loads().map(|intent| load(&intent.model)).collect()
}

/// Parses the plan; one that cannot be parsed counts as empty.
fn parse_plan(kv: &Kv) -> PlanRecord {
    serde_json::from_slice(&kv.value).unwrap_or_default()
}
