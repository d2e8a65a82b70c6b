//! Dispatches for stewards that ended while the platform's service is down.

use std::sync::Arc;

use super::{Stewarded, duty::stewarded, registry::Versioned};
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
pub fn substitute_all(node: &Arc<Node>) {
    let Some(config) = node.config() else { return };
    let list = node.list.load_full();
    if node.duty() != Authority::DispatchOnly {
        return drop_substitutes(node);
    }
    for endpoint in list.endpoints.iter().filter(|e| e.state == ListedState::Live) {
        let held = node.stewards.endpoints.with(&endpoint.id, |s| s.substitute);
        match (held, wanted(node, endpoint, &list)) {
            (None, Some(known)) => begin(node, &config, endpoint, known),
            (Some(true), None) => end(node, &endpoint.id),
            _ => {}
        }
    }
}

/// Returns the record of an endpoint for whose steward this node dispatches.
fn wanted(node: &Node, endpoint: &ListedEndpoint, list: &InstanceList) -> Option<Versioned> {
    let known = node.stewards.registry.record(&endpoint.id)?;
    let holder = known.record.holder.as_ref()?;
    let may = |id: &InstanceId| *id == node.settings.instance || node.is_sound(id);
    let outage = SubstituteContext {
        own: &node.settings.instance,
        freshness: node.freshness(),
        duty: node.duty(),
        steward_ended: node.has_ended(holder, known.record.incarnation),
        preferred: stewardship::preferred_steward(endpoint, list, may),
    };
    may_substitute(&outage).then_some(known)
}

fn begin(node: &Node, config: &Config, endpoint: &ListedEndpoint, known: Versioned) {
    let Some(pool) = config.pools.get(&endpoint.pool) else { return };
    let pool = substitute_pool(pool);
    if pool.cold_limit == 0 {
        return;
    }
    // The higher number makes the entry instances prefer this node's digest to the old one.
    let fence = known.record.fence + 1;
    let record = EndpointRecord { holder: None, fence, ..known.record };
    let taken = Versioned { record, revision: known.revision };
    let substitute = Stewarded { substitute: true, ..stewarded(endpoint, &pool, &taken) };
    node.stewards.endpoints.insert(endpoint.id.clone(), substitute);
    node.timeline.record(Event::StewardSubstituted, endpoint.id.as_str(), "");
}

fn end(node: &Node, id: &EndpointId) {
    if let Some(mut stewarded) = node.stewards.endpoints.remove(id) {
        super::refuse_queue(&mut stewarded);
        node.timeline.record(Event::StewardLost, id.as_str(), "substitute");
    }
}

/// Gives up every substitute's place, before a lease counts.
pub fn drop_substitutes(node: &Node) {
    for id in node.stewards.endpoints.keys() {
        if node.stewards.endpoints.with(&id, |s| s.substitute) == Some(true) {
            end(node, &id);
        }
    }
}

impl Node {
    /// Returns whether a peer is heard and stays.
    fn is_sound(&self, id: &InstanceId) -> bool {
        self.members.peer(id).is_some_and(|seen| !seen.beat.leaving)
    }

    /// Returns whether a process of an instance is known to have ended: its host refuses
    /// connections, or another process speaks for the instance.
    fn has_ended(&self, id: &InstanceId, incarnation: u64) -> bool {
        let heard = self.members.peer(id).map(|seen| seen.beat.incarnation);
        heard.map_or_else(|| self.members.is_refused(id), |heard| heard != incarnation)
    }
}
