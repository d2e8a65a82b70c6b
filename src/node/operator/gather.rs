//! Gathers a document from every listed instance, so that operators can send their request to
//! any one of them.

use std::sync::Arc;

use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use volo_http::{request::Request, response::Response};

use crate::{
    codes::Refusal,
    http::json_response,
    names::InstanceId,
    node::Node,
    wire::{DocumentRequest, PeerRequestBody, ReplyBody},
};

/// Most bytes of all documents together, whatever the number of instances.
const MAX_TOTAL_BYTES: u64 = 8 << 20;

/// A request for the documents of all instances.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct GatherRequest {
    /// Kind of the document: `status` or `timeline`.
    pub kind: String,
    /// Text that entries of the time line must contain.
    #[serde(default)]
    pub filter: String,
}

/// The document of one instance.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct InstanceDocument {
    /// Instance that sent the document.
    pub instance: InstanceId,
    /// The document.
    pub document: serde_json::Value,
}

/// The documents of all instances that replied, and the names of the others.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct GatherResponse {
    /// The documents, in the order of the instances' names.
    pub answers: Vec<InstanceDocument>,
    /// Listed instances that did not reply in time.
    pub silent: Vec<InstanceId>,
}

/// Requests the document of every listed instance and returns all documents.
pub async fn gather(node: &Arc<Node>, request: Request) -> Result<Response, Refusal> {
    let gather_request: GatherRequest = super::read(request).await?;
    let mut peers: Vec<InstanceId> =
        node.list.load().instances.iter().map(|listed| listed.id.clone()).collect();
    if !peers.contains(&node.settings.instance) {
        peers.push(node.settings.instance.clone());
    }
    peers.sort();
    let limit = MAX_TOTAL_BYTES / peers.len() as u64;
    let requests = peers.iter().map(|peer| request_document(node, peer, &gather_request, limit));
    let mut gathered = GatherResponse::default();
    for (instance, document) in peers.iter().cloned().zip(join_all(requests).await) {
        match document {
            Some(document) => gathered.answers.push(InstanceDocument { instance, document }),
            None => gathered.silent.push(instance),
        }
    }
    Ok(json_response(200, &gathered))
}

/// Requests the document of one instance; `None` if the instance does not reply in time.
async fn request_document(
    node: &Arc<Node>,
    peer: &InstanceId,
    gather_request: &GatherRequest,
    limit: u64,
) -> Option<serde_json::Value> {
    let request = DocumentRequest {
        kind: gather_request.kind.clone(),
        filter: gather_request.filter.clone(),
        limit,
    };
    match node.request(peer, PeerRequestBody::Document(request)).await {
        Ok(ReplyBody::Document(document)) => serde_json::from_str(&document.text).ok(),
        _ => None,
    }
}
