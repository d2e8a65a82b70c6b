//! Dispatches in place of stewards that ended while the platform's service is down.
//!
//! Without the service nobody can take an endpoint over, so the preferred instance serves its loaded
//! models as a substitute and sends no orders.

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

/// Starts a substitute for each steward that ended, and ends the substitutes of those that returned.
pub fn update_substitutes(node: &Arc<Node>) {
    let Some(config) = node.config() else { return };
    let list = node.list.load_full();
    if node.authority() != Authority::DispatchOnly {
        return drop_substitutes(node);
    }
    for endpoint in list.endpoints.iter().filter(|e| e.state == ListedState::Live) {
        let is_substitute =
            node.stewarded.endpoints.with(&endpoint.id, |endpoint| endpoint.substitute);
        match (is_substitute, record_to_substitute(node, endpoint, &list)) {
            (None, Some(known)) => start_substitute(node, &config, endpoint, known),
            (Some(true), None) => end_substitute(node, &endpoint.id),
            _ => {}
        }
    }
}

/// Returns the endpoint's record if this instance is to dispatch in its steward's place.
fn record_to_substitute(
    node: &Node,
    endpoint: &ListedEndpoint,
    list: &InstanceList,
) -> Option<VersionedRecord> {
    let known = node.stewarded.registry.record(&endpoint.id)?;
    let holder = known.record.holder.as_ref()?;
    let is_candidate = |id: &InstanceId| *id == node.settings.instance || node.is_available(id);
    let context = SubstituteContext {
        own: &node.settings.instance,
        freshness: node.freshness(),
        authority: node.authority(),
        steward_ended: node.has_ended(holder, known.record.incarnation),
        preferred: stewardship::preferred_steward(endpoint, list, is_candidate),
    };
    may_substitute(&context).then_some(known)
}

/// Starts to dispatch to an endpoint in its steward's place, within half the pool's cold limit.
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
    // With the higher fencing number entry instances prefer this instance's digest to the old one.
    let fence = known.record.fence + 1;
    let record = EndpointRecord { holder: None, fence, ..known.record };
    let initial = VersionedRecord { record, revision: known.revision };
    let substitute =
        StewardedEndpoint { substitute: true, ..new_endpoint(endpoint, &pool, &initial) };
    node.stewarded.endpoints.insert(endpoint.id.clone(), substitute);
    node.timeline.record(Event::StewardSubstituted, endpoint.id.as_str(), "");
}

/// Refuses the queued requests of a substituted endpoint and drops it.
fn end_substitute(node: &Node, id: &EndpointId) {
    if let Some(mut endpoint) = node.stewarded.endpoints.remove(id) {
        super::refuse_queued(&mut endpoint);
        node.timeline.record(Event::StewardLost, id.as_str(), "substitute");
    }
}

/// Ends all substitutes; called before a new lease is used.
pub fn drop_substitutes(node: &Node) {
    for id in node.stewarded.endpoints.keys() {
        if node.stewarded.endpoints.with(&id, |endpoint| endpoint.substitute) == Some(true) {
            end_substitute(node, &id);
        }
    }
}

impl Node {
    /// Returns whether a peer sends heartbeats and is not shutting down.
    fn is_available(&self, id: &InstanceId) -> bool {
        self.members.peer(id).is_some_and(|peer| !peer.heartbeat.leaving)
    }

    /// Returns whether a process of an instance is known to have ended: its host refuses
    /// connections, or another process sends heartbeats as that instance.
    fn has_ended(&self, id: &InstanceId, incarnation: u64) -> bool {
        let current = self.members.peer(id).map(|peer| peer.heartbeat.incarnation);
        current.map_or_else(|| self.members.is_refused(id), |current| current != incarnation)
    }
}
