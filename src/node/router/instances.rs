//! Tells callers to which instances they should send their requests.

use http::HeaderMap;
use serde_json::json as value;
use volo_http::response::Response;

use crate::{
    codes::{Code, Refusal},
    http::json_response,
    kernel::{
        addresses::{Candidate, choose_instances},
        freshness::Freshness,
    },
    node::{Node, admit::known_team},
    platform::{ListedInstance, ListedState},
};

/// Time for which a caller may use the addresses, in milliseconds.
const ADDRESS_TTL_MS: u64 = 10_000;

/// Time after which a caller may retry while this instance is cut off or no instance can be used,
/// in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Returns the addresses of the instances that the caller should use.
pub fn instances(node: &Node, headers: &HeaderMap) -> Result<Response, Refusal> {
    if node.freshness() == Freshness::CutOff {
        return Err(Refusal::not_run(Code::CutOff).retry_after(RETRY_AFTER_MS));
    }
    let list = node.list.load();
    let candidates: Vec<Candidate> =
        list.instances.iter().map(|listed| candidate(node, listed)).collect();
    let team = node.config().and_then(|config| known_team(&config, headers));
    let chosen = choose_instances(&candidates, team.as_ref(), rand::random());
    if chosen.is_empty() {
        return Err(Refusal::not_run(Code::Draining).retry_after(RETRY_AFTER_MS));
    }
    let chosen = chosen.iter().filter_map(|id| list.instance(id));
    let addresses: Vec<_> = chosen
        .map(|i| value!({ "id": i.id, "address": i.listen, "data_centre": i.data_centre }))
        .collect();
    Ok(json_response(200, &value!({ "instances": addresses, "keep_ms": ADDRESS_TTL_MS })))
}

/// Describes a listed instance for the choice of the addresses that a caller should use.
fn candidate(node: &Node, listed: &ListedInstance) -> Candidate {
    let is_own = listed.id == node.settings.instance;
    let heartbeat = node.members.peer(&listed.id).map(|peer| peer.heartbeat);
    let serves = if is_own {
        !node.drain.is_draining()
    } else {
        heartbeat.is_some_and(|heartbeat| {
            !heartbeat.leaving && !heartbeat.cut_off && heartbeat.config_version > 0
        })
    };
    Candidate {
        id: listed.id.clone(),
        data_centre: listed.data_centre.clone(),
        serves: serves && listed.state == ListedState::Live,
        in_service: node.config().is_none_or(|config| config.is_in_service(&listed.data_centre)),
    }
}
