//! Dispatches for stewards that ended while the platform's service is down.

use std::sync::Arc;

use super::{StewardedEndpoint, duty::new_endpoint, registry::VersionedRecord};
use crate::{
    config::Config,
    events::Event,
    kernel::{
        ledger::EndpointRecord,
        stewardship::{self, Authority, SubstituteContext, may_substitute, substitute_pool},
    },
    names::{EndpointId, InstanceId},
    node::Node,
    platform::{InstanceList, ListedEndpoint, ListedState},
};

/// Takes the place of stewards that ended, and gives it up when that is over.
pub fn update_substitutes(node: &Arc<Node>) {
    let Some(config) = node.config() else { return };
    let list = node.list.load_full();
    if node.authority() != Authority::DispatchOnly {
        return drop_substitutes(node);
    }
    for endpoint in list.endpoints.iter().filter(|e| e.state == ListedState::Live) {
        let held = node.stewarded.endpoints.with(&endpoint.id, |s| s.substitute);
        match (held, record_to_substitute(node, endpoint, &list)) {
            (None, Some(known)) => start_substitute(node, &config, endpoint, known),
            (Some(true), None) => end_substitute(node, &endpoint.id),
            _ => {}
        }
    }
}

/// Returns the record of an endpoint for whose steward this node dispatches.
fn record_to_substitute(
    node: &Node,
    endpoint: &ListedEndpoint,
    list: &InstanceList,
) -> Option<VersionedRecord> {
    let known = node.stewarded.registry.record(&endpoint.id)?;
    let holder = known.record.holder.as_ref()?;
    let may = |id: &InstanceId| *id == node.settings.instance || node.is_available(id);
    let outage = SubstituteContext {
        own: &node.settings.instance,
        freshness: node.freshness(),
        duty: node.authority(),
        steward_ended: node.has_ended(holder, known.record.incarnation),
        preferred: stewardship::preferred_steward(endpoint, list, may),
    };
    may_substitute(&outage).then_some(known)
}

fn start_substitute(
    node: &Node,
    config: &Config,
    endpoint: &ListedEndpoint,
    known: VersionedRecord,
) {
    let Some(pool) = config.pools.get(&endpoint.pool) else { return };
    let pool = substitute_pool(pool);
    if pool.cold_limit == 0 {
        return;
    }
    // The higher number makes the entry instances prefer this node's digest to the old one.
    let fence = known.record.fence + 1;
    let record = EndpointRecord { holder: None, fence, ..known.record };
    let taken = VersionedRecord { record, revision: known.revision };
    let substitute =
        StewardedEndpoint { substitute: true, ..new_endpoint(endpoint, &pool, &taken) };
    node.stewarded.endpoints.insert(endpoint.id.clone(), substitute);
    node.timeline.record(Event::StewardSubstituted, endpoint.id.as_str(), "");
}

fn end_substitute(node: &Node, id: &EndpointId) {
    if let Some(mut stewarded) = node.stewarded.endpoints.remove(id) {
        super::refuse_queued(&mut stewarded);
        node.timeline.record(Event::StewardLost, id.as_str(), "substitute");
    }
}

/// Gives up every substitute's place, before a lease counts.
pub fn drop_substitutes(node: &Node) {
    for id in node.stewarded.endpoints.keys() {
        if node.stewarded.endpoints.with(&id, |s| s.substitute) == Some(true) {
            end_substitute(node, &id);
        }
    }
}

impl Node {
    /// Returns whether a peer is heard and stays.
    fn is_available(&self, id: &InstanceId) -> bool {
        self.members.peer(id).is_some_and(|seen| !seen.heartbeat.leaving)
    }

    /// Returns whether a process of an instance is known to have ended: its host refuses
    /// connections, or another process speaks for the instance.
    fn has_ended(&self, id: &InstanceId, incarnation: u64) -> bool {
        let heard = self.members.peer(id).map(|seen| seen.heartbeat.incarnation);
        heard.map_or_else(|| self.members.is_refused(id), |heard| heard != incarnation)
    }
}
