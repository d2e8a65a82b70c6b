//! Model requests at the entry: choice of a copy and relay of the answer.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use http_body::Frame;
use serde::Deserialize;
use tokio::time::sleep;
use volo_http::{request::Request, response::Response};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Node,
    admit::{Admitted, identify},
    exchange::Exchange,
};
use crate::{
    clock::Time,
    codes::{Code, Refusal},
    events::Event,
    http::{BodySender, HttpError, channel_body, read_body},
    kernel::{
        registry,
        routing::{Copy, TwoChoices, Wish},
    },
    names::{Model, RequestId},
    wire::{AskBody, Body, Head, Work},
};

/// Largest body of a request in bytes.
pub const BODY_LIMIT: usize = 1 << 20;

/// Longest time for a body to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Bytes of a prompt that count as one token where the caller's tokens are estimated.
const BYTES_PER_TOKEN: u64 = 4;

/// Most tokens of an answer.
const MAX_TOKENS: u64 = 32_768;

/// Time between two looks for a copy.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Instances that are tried for one request.
const MAX_TRIES: usize = 3;

#[derive(Deserialize)]
struct Asked {
    model: Model,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    #[serde(default)]
    adapter: String,
}

/// Serves a completion.
pub async fn complete(
    node: &Arc<Node>,
    id: RequestId,
    request: Request,
) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let caller = identify(node, id, &parts.headers, |_| false)?;
    let body = receive(body).await?;
    let asked: Asked =
        serde_json::from_slice(&body).map_err(|_| Refusal::not_run(Code::BadRequest))?;
    let spec = caller.config.models.get(&asked.model);
    let spec = spec.ok_or(Refusal::not_run(Code::ModelUnknown))?;
    let answer = asked.max_tokens.unwrap_or(u64::from(spec.max_tokens)).min(MAX_TOKENS);
    let tokens = body.len() as u64 / BYTES_PER_TOKEN + answer;
    let class = caller.class(&parts.headers)?;
    let admitted = caller.admit(node, class, tokens).await?;
    node.timeline.record(Event::RequestAdmitted, admitted.caller.request.as_str(), "");
    node.demand.count(&asked.model);
    let work = Work {
        model: asked.model.to_string(),
        adapter: asked.adapter,
        method: "POST".to_owned(),
        path: parts.uri.path().to_owned(),
        fingerprint: xxh3_64(&body),
        prefix: xxh3_64(&body[..body.len().min(PREFIX_BYTES)]),
        stream: asked.stream,
        body,
        tokens,
        ..admitted.work(&parts.headers)
    };
    serve(node, admitted, work).await
}

const PREFIX_BYTES: usize = 256;

/// Reads a caller's body within the limits.
pub async fn receive(body: volo_http::body::Body) -> Result<Bytes, Refusal> {
    match tokio::time::timeout(BODY_TIME, read_body(body, BODY_LIMIT)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(HttpError::TooLarge(_))) => Err(Refusal::not_run(Code::BodyTooLarge)),
        Ok(Err(_)) => Err(Refusal::not_run(Code::BadRequest)),
        Err(_) => Err(Refusal::not_run(Code::BodySlow)),
    }
}

async fn serve(node: &Arc<Node>, admitted: Admitted, work: Work) -> Result<Response, Refusal> {
    let mut refusal = Refusal::not_run(Code::NoEndpoint);
    node.retries.lock().first_try();
    for attempt in 0..MAX_TRIES {
        if attempt > 0 && !node.retries.lock().take() {
            break;
        }
        let copy = find_copy(node, &admitted, &work).await?;
        let work = Work { endpoint: copy.endpoint.to_string(), ..work.clone() };
        let opened = node.open(&copy.steward, AskBody::Work(work.clone())).await;
        let mut exchange = match opened {
            Ok(exchange) => exchange,
            Err(err) => {
                refusal = err;
                continue;
            }
        };
        match exchange.next().await {
            Some(Body::Head(head)) => return answer(node, admitted, work, head, exchange).await,
            Some(Body::End(end)) => {
                refusal = end.refusal().unwrap_or(Refusal::unknown(Code::Internal));
            }
            _ => refusal = Refusal::unknown(Code::PeerUnreachable),
        }
    }
    Err(refusal)
}

/// Chooses a copy, and waits for one while the deadline allows it.
async fn find_copy(node: &Node, admitted: &Admitted, work: &Work) -> Result<Arc<Copy>, Refusal> {
    let model = Model::from(work.model.as_str());
    let mut waiting = None;
    loop {
        if let Some(copy) = choose(node, &admitted.caller.config.policy.routing, &model, work) {
            return Ok(copy);
        }
        if Time::now() + LOOK_PERIOD >= admitted.deadline() {
            return Err(Refusal::not_run(Code::NoEndpoint));
        }
        waiting.get_or_insert_with(|| node.demand.wait(&model));
        sleep(LOOK_PERIOD).await;
    }
}

fn choose(node: &Node, policy: &str, model: &Model, work: &Work) -> Option<Arc<Copy>> {
    let config = node.config()?;
    let copies: Vec<Arc<Copy>> = {
        let directory = node.directory.read();
        let usable =
            |copy: &&Arc<Copy>| config.is_in(&copy.data_centre) && node.reaches(&copy.steward);
        directory.copies(model).iter().filter(usable).cloned().collect()
    };
    if copies.is_empty() {
        return None;
    }
    let adapter = (!work.adapter.is_empty()).then(|| work.adapter.as_str().into());
    let turn = node.requests.load(std::sync::atomic::Ordering::Relaxed);
    let wish = Wish { prefix: work.prefix, adapter, draw: rand::random(), turn };
    let policy = registry::routing(policy).unwrap_or(&TwoChoices);
    let refs: Vec<&Copy> = copies.iter().map(AsRef::as_ref).collect();
    let chosen = policy.choose(&refs, &wish);
    copies.get(chosen).cloned()
}

impl Node {
    /// Returns whether an instance, which may be this one, can be asked.
    pub fn reaches(&self, peer: &crate::names::InstanceId) -> bool {
        *peer == self.settings.instance || self.peers.is_up(peer)
    }
}

async fn answer(
    node: &Arc<Node>,
    admitted: Admitted,
    work: Work,
    head: Head,
    exchange: Exchange,
) -> Result<Response, Refusal> {
    if work.stream {
        let (tx, body) = channel_body();
        tokio::spawn(stream(node.clone(), admitted, work, exchange, tx));
        return Ok(with_head(&head, body));
    }
    let body = gather(exchange).await?;
    node.timeline.record(Event::RequestCompleted, work.request.as_str(), "");
    Ok(with_head(&head, body.into()))
}

/// Collects an answer that is returned whole.
pub async fn gather(mut exchange: Exchange) -> Result<Bytes, Refusal> {
    let mut all = BytesMut::new();
    loop {
        match exchange.next().await {
            Some(Body::Chunk(chunk)) => all.extend_from_slice(&chunk.data),
            Some(Body::End(end)) => match end.refusal() {
                None => return Ok(all.freeze()),
                Some(refusal) => return Err(refusal),
            },
            Some(_) => {}
            None => return Err(Refusal::unknown(Code::PeerUnreachable)),
        }
    }
}

async fn stream(
    node: Arc<Node>,
    mut admitted: Admitted,
    work: Work,
    mut exchange: Exchange,
    tx: BodySender,
) {
    loop {
        match exchange.next().await {
            Some(Body::Chunk(chunk)) => {
                if tx.send(Ok(Frame::data(chunk.data))).await.is_err() {
                    return;
                }
            }
            Some(Body::End(end)) if end.code == 0 => break,
            _ => {
                // The error item cuts the body, so that the answer does not look whole.
                let _ = tx.send(Err("answer cut".into())).await;
                return;
            }
        }
    }
    admitted.charge.settle(work.tokens);
    node.timeline.record(Event::RequestCompleted, work.request, "");
}

/// Builds the caller's answer from an endpoint's status and headers.
pub fn with_head(head: &Head, body: volo_http::body::Body) -> Response {
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
