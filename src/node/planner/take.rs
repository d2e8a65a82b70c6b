//! Takes the planner's duty from a holder whose lease ended.

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

/// Looks at the duty and takes it where its holder's lease ended.
pub async fn take(node: &Arc<Node>) -> Role {
    match try_take(node).await {
        Ok(Some(duty)) => {
            let detail = format!("version={}", duty.record.version);
            node.timeline.record(Event::PlannerTaken, node.settings.instance.as_str(), detail);
            Role::Planner(duty)
        }
        Ok(None) | Err(_) => Role::Candidate,
    }
}

async fn try_take(node: &Arc<Node>) -> Result<Option<PlannerTerm>, PlatformError> {
    let Some(config) = node.config() else { return Ok(None) };
    let current = node.platform.get(PLAN_KEY).await?;
    let revision = current.as_ref().map_or(0, |kv| kv.revision);
    let before = current.as_ref().map(parse_plan).unwrap_or_default();
    let Some(vacant) = expectation_of_vacancy(node, &before).await? else { return Ok(None) };
    let Some(own) = lease_expectation(node) else { return Ok(None) };
    let record = PlanRecord {
        version: before.version + 1,
        holder: Some(node.settings.instance.clone()),
        incarnation: node.incarnation,
        nonce: rand::random(),
        ..before
    };
    let lease = own.1;
    let mut expect = vec![(PLAN_KEY.to_owned(), revision), own];
    expect.extend(vacant);
    let Some(revision) = write_plan(node, &record, expect).await? else { return Ok(None) };
    let planning = inherited_planning(node, &config).await?;
    Ok(Some(PlannerTerm { lease, record, revision, planning }))
}

/// Returns what must hold for the holder to be gone, or `None` while its lease exists.
async fn expectation_of_vacancy(
    node: &Node,
    record: &PlanRecord,
) -> Result<Option<Vec<(String, i64)>>, PlatformError> {
    let Some(holder) = &record.holder else { return Ok(Some(Vec::new())) };
    if *holder == node.settings.instance {
        // An earlier process of this instance, or this one before its lease ended.
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

/// Counts the loads that stewards recorded for an earlier planner, so that the weight store's
/// limit spans planners.
async fn inherited_planning(node: &Node, config: &Config) -> Result<Planning, PlatformError> {
    let records = node.platform.range(RECORD_PREFIX).await?;
    let now = Time::now();
    let mut planning = Planning::new(config.weight_store, now);
    let life = config.pools.values().map(|pool| pool.order_ttl).max().unwrap_or_default();
    planning.inherit(records.kvs.iter().flat_map(open_loads), now + life);
    Ok(planning)
}

fn open_loads(kv: &Kv) -> Vec<Step> {
    let record: EndpointRecord = serde_json::from_slice(&kv.value).unwrap_or_default();
    let name = kv.key.strip_prefix(RECORD_PREFIX).unwrap_or_default();
    let load =
        |model: &crate::names::Model| Step::Load { endpoint: name.into(), model: model.clone() };
    record.open_loads().map(|intent| load(&intent.model)).collect()
}

fn parse_plan(kv: &Kv) -> PlanRecord {
    serde_json::from_slice(&kv.value).unwrap_or_default()
}
