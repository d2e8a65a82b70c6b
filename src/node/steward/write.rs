//! Writes an endpoint's record, so that only its steward's write takes effect.

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

/// Tries of one write, each with the record rebuilt.
const MAX_ATTEMPTS: usize = 4;

/// Why a record was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum WriteError {
    /// This node no longer stewards the endpoint.
    #[error("not the steward")]
    Lost,
    /// This node holds no lease.
    #[error("no lease")]
    NoLease,
    /// The platform's service did not confirm the write.
    #[error("the platform's service did not confirm the record")]
    Unconfirmed,
}

/// What came of one try.
enum Attempt {
    Done,
    Retry,
    Failed(WriteError),
}

/// Writes what the ledger of an endpoint knows, with its other fields changed by `change`.
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

async fn try_write(node: &Node, id: &EndpointId, change: &impl Fn(&mut EndpointRecord)) -> Attempt {
    let Some(lease) = node.lease.revision() else { return Attempt::Failed(WriteError::NoLease) };
    let built = node.stewarded.endpoints.with(id, |stewarded| {
        if stewarded.substitute {
            return None;
        }
        let mut record = stewarded.ledger.record(&stewarded.record);
        record.nonce = rand::random();
        change(&mut record);
        Some((record, stewarded.revision))
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
        node.stewarded.endpoints.with(id, |stewarded| stewarded.ledger.record_lost_write());
        return Attempt::Failed(WriteError::Unconfirmed);
    };
    if reply.succeeded {
        let versioned = VersionedRecord { record, revision: reply.revision };
        node.stewarded.endpoints.with(id, |stewarded| record_written(node, stewarded, &versioned));
        node.stewarded.registry.insert_newer(id.clone(), versioned);
        return Attempt::Done;
    }
    let current = reply.current.iter().find(|kv| kv.key == key);
    let current = current.and_then(super::registry::parse_record).map(|(_, versioned)| versioned);
    match current {
        Some(current) if current.revision == revision => Attempt::Failed(WriteError::NoLease),
        Some(current) => adopt_current(node, id, current),
        None => Attempt::Failed(WriteError::Lost),
    }
}

/// Goes on from a record that is not the expected one, if it is this tenure's own.
///
/// Another write of this node, or one whose answer was lost, may have come first.
fn adopt_current(node: &Node, id: &EndpointId, current: VersionedRecord) -> Attempt {
    let own = node.stewarded.endpoints.with(id, |stewarded| {
        let same = current.record.is_same_term(&stewarded.record);
        if same {
            stewarded.revision = stewarded.revision.max(current.revision);
        }
        same
    });
    node.stewarded.registry.insert_newer(id.clone(), current);
    if own == Some(true) { Attempt::Retry } else { Attempt::Failed(WriteError::Lost) }
}

fn record_written(node: &Node, stewarded: &mut StewardedEndpoint, written: &VersionedRecord) {
    if stewarded.revision >= written.revision {
        return;
    }
    for intent in &written.record.intents {
        let before = stewarded.record.intents.iter().find(|i| i.order == intent.order);
        if intent.settled && before.is_some_and(|before| !before.settled) {
            let detail = format!("endpoint={} model={}", stewarded.listed.id, intent.model);
            node.timeline().record(Event::OrderClosed, intent.order.as_str(), detail);
        }
    }
    stewarded.ledger.record_write(&written.record);
    stewarded.record = written.record.clone();
    stewarded.revision = written.revision;
}
