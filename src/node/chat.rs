//! Handles model requests at the entry instance: choice of a replica and relay of the response.

mod bound;
mod job;
mod relay;

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::Deserialize;
use tokio::time::timeout;
use volo_http::{request::Request, response::Response};
use xxhash_rust::xxh3::xxh3_64;

use self::{
    bound::{BoundedRequest, bound_output},
    job::Job,
};
use super::{
    Node,
    admit::{Admitted, identify},
    exchange::Exchange,
};
use crate::{
    codes::{Code, Refusal},
    events::Event,
    http::{HttpError, read_body},
    names::{Model, RequestId},
    wire::{Body, End, Head, Work},
};

/// Largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Longest wait for a whole body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a body that count as one prompt token in the estimate of a request's tokens.
const BYTES_PER_TOKEN: u64 = 4;

/// The fields of a completion request that routing and charging depend on.
#[derive(Deserialize)]
struct CompletionRequest {
    model: Model,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    adapter: String,
    #[serde(default)]
    messages: serde_json::Value,
    #[serde(default)]
    prompt: serde_json::Value,
}

/// Returns the hash by which a request that crashes endpoints is recognized.
///
/// It covers only the model and its input, so that a retry with other parameters has the same hash.
fn fingerprint(request: &CompletionRequest) -> u64 {
    xxh3_64(format!("{} {} {}", request.model, request.messages, request.prompt).as_bytes())
}

/// Serves a completion request: admits it, runs it on a replica and returns the response.
pub async fn complete(
    node: &Arc<Node>,
    id: RequestId,
    request: Request,
) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let caller = identify(node, id, &parts.headers, |_| false)?;
    let body = read_caller_body(body).await?;
    caller.refuse_exposed_key(&parts, &body)?;
    let completion: CompletionRequest =
        serde_json::from_slice(&body).map_err(|_| Refusal::not_run(Code::BadRequest))?;
    let spec = caller.config.models.get(&completion.model);
    let spec = spec.ok_or(Refusal::not_run(Code::ModelUnknown))?;
    let BoundedRequest { body, output_tokens } = bound_output(body, u64::from(spec.max_tokens))?;
    let tokens = body.len() as u64 / BYTES_PER_TOKEN + output_tokens;
    let class = caller.class(&parts.headers)?;
    let admitted = caller.admit(node, class, tokens).await?;
    node.timeline.record(Event::RequestAdmitted, admitted.caller.request.as_str(), "");
    node.demand.record(&completion.model, tokens);
    let work = Work {
        model: completion.model.to_string(),
        fingerprint: fingerprint(&completion),
        adapter: completion.adapter,
        method: "POST".to_owned(),
        path: parts.uri.path().to_owned(),
        prefix_hash: xxh3_64(&body[..body.len().min(MAX_PREFIX_BYTES)]),
        stream: completion.stream,
        body,
        tokens,
        ..admitted.base_work(&parts.headers)
    };
    let charge = admitted.charge.clone();
    serve(node, admitted, work).await.inspect_err(|refusal| charge.refund_if_not_run(refusal))
}

/// Most bytes of a body that are hashed to find replicas with the prefix in their KV cache.
const MAX_PREFIX_BYTES: usize = 256;

/// Reads a caller's body; fails if it is too large, too slow or cut off.
pub async fn read_caller_body(body: volo_http::body::Body) -> Result<Bytes, Refusal> {
    match timeout(BODY_TIMEOUT, read_body(body, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(HttpError::TooLarge(_))) => Err(Refusal::not_run(Code::BodyTooLarge)),
        Ok(Err(_)) => Err(Refusal::not_run(Code::BadRequest)),
        Err(_) => Err(Refusal::not_run(Code::BodySlow)),
    }
}

/// Runs an admitted request and returns its response.
async fn serve(node: &Arc<Node>, admitted: Admitted, work: Work) -> Result<Response, Refusal> {
    node.retries.lock().record_request();
    let mut job = Job::new(node.clone(), admitted, work);
    if job.is_stream() {
        return relay::start(job).await;
    }
    let (head, body) = job.fetch_response().await?;
    job.complete();
    Ok(build_response(&head, body.into()))
}

impl Node {
    /// Returns whether requests can be sent to an instance, which may be this one.
    pub fn can_reach(&self, peer: &crate::names::InstanceId) -> bool {
        *peer == self.settings.instance || self.peers.is_up(peer)
    }
}

/// Largest body of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Longest silence of a steward within a stream.
///
/// It is longer than any of the steward's own timeouts for its endpoint. The link detects a steward
/// that is lost.
const STREAM_TIMEOUT: Duration = Duration::from_secs(300);

/// Longest silence of a steward within a response that is not streamed.
///
/// The steward's own timeout, which depends on the length of the response, expires earlier.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(900);

/// Collects the body of a response that is not streamed; fails if the response is not completed.
pub async fn collect_response(exchange: Exchange) -> Result<Bytes, Refusal> {
    match collect_chunks(exchange).await {
        Ok(body) => Ok(body),
        Err(Some(end)) => Err(end.refusal().unwrap_or(Refusal::unknown(Code::Internal))),
        Err(None) => Err(Refusal::unknown(Code::PeerUnreachable)),
    }
}

/// Collects the chunks of a response.
///
/// An error holds the responder's end, or `None` if the responder was lost.
async fn collect_chunks(mut exchange: Exchange) -> Result<Bytes, Option<End>> {
    let mut body = BytesMut::new();
    loop {
        match timeout(COLLECT_TIMEOUT, exchange.next()).await {
            Ok(Some(Body::Chunk(chunk))) => body.extend_from_slice(&chunk.data),
            Ok(Some(Body::End(end))) if end.code == 0 => return Ok(body.freeze()),
            Ok(Some(Body::End(end))) => return Err(Some(end)),
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => return Err(None),
        }
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(Some(End::from(&Refusal::unknown(Code::EndpointFailed))));
        }
    }
}

/// Builds the response to the caller from an endpoint's status and headers.
pub fn build_response(head: &Head, body: volo_http::body::Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(head.status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut headers = HeaderMap::new();
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    response.headers_mut().extend(headers);
    response
}
