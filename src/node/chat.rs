//! Model requests at the entry: choice of a copy and relay of the answer.

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

/// Largest body of a request in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a prompt that count as one token where the caller's tokens are estimated.
const BYTES_PER_TOKEN: u64 = 4;

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
/// It covers what the model computes on, so that a resent request is recognized in another wrapping.
fn fingerprint(asked: &CompletionRequest) -> u64 {
    xxh3_64(format!("{} {} {}", asked.model, asked.messages, asked.prompt).as_bytes())
}

/// Serves a completion.
pub async fn complete(
    node: &Arc<Node>,
    id: RequestId,
    request: Request,
) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let caller = identify(node, id, &parts.headers, |_| false)?;
    let body = read_caller_body(body).await?;
    caller.refuse_exposed_key(&parts, &body)?;
    let asked: CompletionRequest =
        serde_json::from_slice(&body).map_err(|_| Refusal::not_run(Code::BadRequest))?;
    let spec = caller.config.models.get(&asked.model);
    let spec = spec.ok_or(Refusal::not_run(Code::ModelUnknown))?;
    let BoundedRequest { body, output_tokens } = bound_output(body, u64::from(spec.max_tokens))?;
    let tokens = body.len() as u64 / BYTES_PER_TOKEN + output_tokens;
    let class = caller.class(&parts.headers)?;
    let admitted = caller.admit(node, class, tokens).await?;
    node.timeline.record(Event::RequestAdmitted, admitted.caller.request.as_str(), "");
    node.demand.record(&asked.model, tokens);
    let work = Work {
        model: asked.model.to_string(),
        fingerprint: fingerprint(&asked),
        adapter: asked.adapter,
        method: "POST".to_owned(),
        path: parts.uri.path().to_owned(),
        prefix_hash: xxh3_64(&body[..body.len().min(MAX_PREFIX_BYTES)]),
        stream: asked.stream,
        body,
        tokens,
        ..admitted.base_work(&parts.headers)
    };
    let charge = admitted.charge.clone();
    serve(node, admitted, work).await.inspect_err(|refusal| charge.refund_if_not_run(refusal))
}

const MAX_PREFIX_BYTES: usize = 256;

/// Reads a caller's body within the limits.
pub async fn read_caller_body(body: volo_http::body::Body) -> Result<Bytes, Refusal> {
    match timeout(BODY_TIMEOUT, read_body(body, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(HttpError::TooLarge(_))) => Err(Refusal::not_run(Code::BodyTooLarge)),
        Ok(Err(_)) => Err(Refusal::not_run(Code::BadRequest)),
        Err(_) => Err(Refusal::not_run(Code::BodySlow)),
    }
}

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
    /// Returns whether an instance, which may be this one, can be asked.
    pub fn can_reach(&self, peer: &crate::names::InstanceId) -> bool {
        *peer == self.settings.instance || self.peers.is_up(peer)
    }
}

/// Largest answer that is gathered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Longest silence of a steward within a stream, over any bound of its own for the endpoint's
/// silence; a lost steward shows by its link.
const STREAM_TIMEOUT: Duration = Duration::from_secs(300);

/// Longest silence of a steward within an answer that is gathered; the steward's own bound, which
/// knows the length of the answer, ends before.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(900);

/// Collects an answer that is returned whole.
pub async fn collect_response(exchange: Exchange) -> Result<Bytes, Refusal> {
    match collect_chunks(exchange).await {
        Ok(body) => Ok(body),
        Err(Some(end)) => Err(end.refusal().unwrap_or(Refusal::unknown(Code::Internal))),
        Err(None) => Err(Refusal::unknown(Code::PeerUnreachable)),
    }
}

/// Collects an answer; an error holds the answerer's end, or nothing when the answerer was lost.
async fn collect_chunks(mut exchange: Exchange) -> Result<Bytes, Option<End>> {
    let mut all = BytesMut::new();
    loop {
        match timeout(COLLECT_TIMEOUT, exchange.next()).await {
            Ok(Some(Body::Chunk(chunk))) => all.extend_from_slice(&chunk.data),
            Ok(Some(Body::End(end))) if end.code == 0 => return Ok(all.freeze()),
            Ok(Some(Body::End(end))) => return Err(Some(end)),
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => return Err(None),
        }
        if all.len() > MAX_RESPONSE_BYTES {
            return Err(Some(End::from(&Refusal::unknown(Code::EndpointFailed))));
        }
    }
}

/// Builds the caller's answer from an endpoint's status and headers.
pub fn build_response(head: &Head, body: volo_http::body::Body) -> Response {
    let mut answer = Response::new(body);
    *answer.status_mut() =
        StatusCode::from_u16(head.status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut headers = HeaderMap::new();
    for header in &head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    answer.headers_mut().extend(headers);
    answer
}
