//! Writes an endpoint's record, so that only its steward's write takes effect.

use super::{Stewarded, registry::Versioned};
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
const MAX_TRIES: usize = 4;

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
enum Try {
    Done,
    Again,
    Failed(WriteError),
}

/// Writes what the ledger of an endpoint knows, with its other fields changed by `change`.
pub async fn write_record(
    node: &Node,
    id: &EndpointId,
    change: impl Fn(&mut EndpointRecord),
) -> Result<(), WriteError> {
    for _ in 0..MAX_TRIES {
        match try_write(node, id, &change).await {
            Try::Done => return Ok(()),
            Try::Again => {}
            Try::Failed(err) => return Err(err),
        }
    }
    Err(WriteError::Unconfirmed)
}

async fn try_write(node: &Node, id: &EndpointId, change: &impl Fn(&mut EndpointRecord)) -> Try {
    let Some(lease) = node.lease.revision() else { return Try::Failed(WriteError::NoLease) };
    let built = node.stewards.endpoints.with(id, |stewarded| {
        if stewarded.substitute {
            return None;
        }
        let mut record = stewarded.ledger.record(&stewarded.record);
        record.nonce = rand::random();
        change(&mut record);
        Some((record, stewarded.revision))
    });
    let Some((record, revision)) = built.flatten() else { return Try::Failed(WriteError::Lost) };
    let key = record_key(id);
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let expect = vec![(key.clone(), revision), (lease_key(&node.settings.instance), lease)];
    let puts = vec![Put { key: key.clone(), value, lease: 0 }];
    let reply = node.platform.commit(&Txn { expect, puts, deletes: Vec::new() }).await;
    let Ok(reply) = reply else {
        node.stewards.endpoints.with(id, |stewarded| stewarded.ledger.record_lost_write());
        return Try::Failed(WriteError::Unconfirmed);
    };
    if reply.succeeded {
        let versioned = Versioned { record, revision: reply.revision };
        node.stewards.endpoints.with(id, |stewarded| note_written(node, stewarded, &versioned));
        node.stewards.registry.put(id.clone(), versioned);
        return Try::Done;
    }
    let current = reply.current.iter().find(|kv| kv.key == key);
    let current = current.and_then(super::registry::versioned).map(|(_, versioned)| versioned);
    match current {
        Some(current) if current.revision == revision => Try::Failed(WriteError::NoLease),
        Some(current) => adopt(node, id, current),
        None => Try::Failed(WriteError::Lost),
    }
}

/// Goes on from a record that is not the expected one, if it is this tenure's own.
///
/// Another write of this node, or one whose answer was lost, may have come first.
fn adopt(node: &Node, id: &EndpointId, current: Versioned) -> Try {
    let own = node.stewards.endpoints.with(id, |stewarded| {
        let same = current.record.is_same_term(&stewarded.record);
        if same {
            stewarded.revision = stewarded.revision.max(current.revision);
        }
        same
    });
    node.stewards.registry.put(id.clone(), current);
    if own == Some(true) { Try::Again } else { Try::Failed(WriteError::Lost) }
}

fn note_written(node: &Node, stewarded: &mut Stewarded, written: &Versioned) {
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
