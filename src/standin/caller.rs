//! Requests of callers and of the platform, in the protocol of the users' platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, request::Builder};
use http_body_util::Full;
use serde::Deserialize;

use crate::platform::caller::{READY_PATH, RESOLVE_PATH};

/// The model and the prompt of a request.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Model that must run the request, with the name of an adapter after a slash if it needs one.
    pub model: String,
    /// Hashes of the parts of the prompt.
    pub parts: Vec<String>,
    /// Tokens of each part.
    pub part_tokens: usize,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id of the request.
    pub id: String,
    /// Host of the route.
    pub host: &'static str,
    /// Path of the request.
    pub path: String,
    /// Key of the caller.
    pub key: &'static str,
    /// Time for which the caller waits.
    pub timeout: Duration,
    /// Model and prompt; `None` for a plain service.
    pub prompt: Option<Prompt>,
    /// The stream that is taken up again; `None` for a new request.
    pub take_up: Option<TakeUp>,
}

/// A stream that a caller takes up again.
#[derive(Clone, Debug)]
pub struct TakeUp {
    /// Id of the request that brought the first event.
    pub request: String,
    /// Number of the last event that the caller has.
    pub after: u64,
}

/// Tokens of each part of a short prompt.
pub const PART_TOKENS: usize = 40;

/// Upper bound of the tokens of a response.
const OUTPUT_TOKENS: usize = 20;

impl CallerRequest {
    /// Returns the request as it is sent to a gateway.
    pub fn to_http(&self) -> Request<Full<Bytes>> {
        let mut builder = Request::post(&self.path)
            .header("host", self.host)
            .header("x-request-id", &self.id)
            .header("x-deadline-ms", self.timeout.as_millis().to_string())
            .header("authorization", format!("Token {}", self.key));
        if let Some(TakeUp { request, after }) = &self.take_up {
            builder = builder.header("resumes", request).header("last-event-id", after.to_string());
        }
        if let Some(Prompt { model, parts, part_tokens }) = &self.prompt {
            let prefix: Vec<String> =
                parts.iter().map(|part| format!("{part}:{part_tokens}")).collect();
            builder = builder
                .header("x-model", model)
                .header("x-token-count", format!("{},{OUTPUT_TOKENS}", part_tokens * parts.len()))
                .header("x-prompt-prefix", prefix.join(","));
        }
        finish(builder, format!("body of {}", self.id))
    }
}

fn finish(builder: Builder, body: String) -> Request<Full<Bytes>> {
    builder.body(Full::new(Bytes::from(body))).expect("the names and values are valid")
}

/// Returns the request for the addresses to which callers of `host` may connect.
pub fn resolve_request(host: &str) -> Request<Full<Bytes>> {
    let path = format!("{RESOLVE_PATH}?name={host}&region=r&zone=dc-a");
    finish(Request::get(path).header("host", "directory"), String::new())
}

#[derive(Deserialize)]
struct RawAddresses {
    addresses: Vec<SocketAddr>,
}

/// Decodes the response to a request for addresses; `None` if it is not valid.
pub fn decode_addresses(body: &[u8]) -> Option<Vec<SocketAddr>> {
    serde_json::from_slice::<RawAddresses>(body).ok().map(|raw| raw.addresses)
}

/// Returns the request of a readiness check.
pub fn ready_request() -> Request<Full<Bytes>> {
    finish(Request::get(READY_PATH).header("host", "platform"), String::new())
}

/// Returns the endpoint whose stamp a response has; `None` if the gateway itself has responded.
pub fn stamped_endpoint(headers: &HeaderMap) -> Option<String> {
    let stamp = headers.get("x-server-stamp")?.to_str().ok()?;
    stamp.strip_prefix("stamp.").map(str::to_owned)
}
