//! Writes an endpoint's record so that a write succeeds only under the steward's term and lease.

use super::{StewardedEndpoint, registry::VersionedRecord};
use crate::{
    events::Event,
    kernel::{
        ledger::EndpointRecord,
        stewardship::{lease_key, record_key},
    },
    names::EndpointId,
    node::Node,
    platform::{Put, Txn},
};

/// Most attempts of one write; the record is built anew for each.
const MAX_ATTEMPTS: usize = 4;

/// Why a record was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum WriteError {
    /// This instance is no longer the endpoint's steward.
    #[error("not the steward")]
    Lost,
    /// This instance holds no lease.
    #[error("no lease")]
    NoLease,
    /// The platform's service did not confirm the write.
    #[error("the platform's service did not confirm the record")]
    Unconfirmed,
}

/// The outcome of one attempt.
enum Attempt {
    Done,
    Retry,
    Failed(WriteError),
}

/// Writes an endpoint's record from its ledger, after `change` was applied to it.
///
/// Fails if this instance is not the steward, holds no lease, or the write is not confirmed.
pub async fn write_record(
    node: &Node,
    id: &EndpointId,
    change: impl Fn(&mut EndpointRecord),
) -> Result<(), WriteError> {
    for _ in 0..MAX_ATTEMPTS {
        match try_write(node, id, &change).await {
            Attempt::Done => return Ok(()),
            Attempt::Retry => {}
            Attempt::Failed(err) => return Err(err),
        }
    }
    Err(WriteError::Unconfirmed)
}

/// Makes one attempt to write the record.
async fn try_write(node: &Node, id: &EndpointId, change: &impl Fn(&mut EndpointRecord)) -> Attempt {
    let Some(lease) = node.lease.revision() else { return Attempt::Failed(WriteError::NoLease) };
    let built = node.stewarded.endpoints.with(id, |endpoint| {
        if endpoint.substitute {
            return None;
        }
        let mut record = endpoint.ledger.record(&endpoint.record);
        record.nonce = rand::random();
        change(&mut record);
        Some((record, endpoint.revision))
    });
    let Some((record, revision)) = built.flatten() else {
        return Attempt::Failed(WriteError::Lost);
    };
    let key = record_key(id);
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let expect = vec![(key.clone(), revision), (lease_key(&node.settings.instance), lease)];
    let puts = vec![Put { key: key.clone(), value, lease: 0 }];
    let reply = node.platform.commit(&Txn { expect, puts, deletes: Vec::new() }).await;
    let Ok(reply) = reply else {
        node.stewarded.endpoints.with(id, |endpoint| endpoint.ledger.record_lost_write());
        return Attempt::Failed(WriteError::Unconfirmed);
    };
    if reply.succeeded {
        let written = VersionedRecord { record, revision: reply.revision };
        node.stewarded.endpoints.with(id, |endpoint| record_written(node, endpoint, &written));
        node.stewarded.registry.insert_newer(id.clone(), written);
        return Attempt::Done;
    }
    let current = reply.current.iter().find(|kv| kv.key == key);
    let current = current.and_then(super::registry::parse_record).map(|(_, current)| current);
    match current {
        Some(current) if current.revision == revision => Attempt::Failed(WriteError::NoLease),
        Some(current) => adopt_current(node, id, current),
        None => Attempt::Failed(WriteError::Lost),
    }
}

/// Handles a record with another revision than expected: retries if it is of this term.
///
/// Another write of this instance, or one whose response was lost, may have come first.
fn adopt_current(node: &Node, id: &EndpointId, current: VersionedRecord) -> Attempt {
    let is_own = node.stewarded.endpoints.with(id, |endpoint| {
        let same = current.record.is_same_term(&endpoint.record);
        if same {
            endpoint.revision = endpoint.revision.max(current.revision);
        }
        same
    });
    node.stewarded.registry.insert_newer(id.clone(), current);
    if is_own == Some(true) { Attempt::Retry } else { Attempt::Failed(WriteError::Lost) }
}

/// Updates the endpoint's state after a write, and records which orders it closed.
fn record_written(node: &Node, endpoint: &mut StewardedEndpoint, written: &VersionedRecord) {
    if endpoint.revision >= written.revision {
        return;
    }
    for intent in &written.record.intents {
        let before = endpoint.record.intents.iter().find(|i| i.order == intent.order);
        if intent.settled && before.is_some_and(|before| !before.settled) {
            let detail = format!("endpoint={} model={}", endpoint.listed.id, intent.model);
            node.timeline().record(Event::OrderClosed, intent.order.as_str(), detail);
        }
    }
    endpoint.ledger.record_write(&written.record);
    endpoint.record = written.record.clone();
    endpoint.revision = written.revision;
}
