//! Headers of callers' requests and of the answers that they get.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, header, request::Parts};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const MODEL: HeaderName = HeaderName::from_static("x-model");
const TOKENS: HeaderName = HeaderName::from_static("x-token-count");
const PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
const STAMP: HeaderName = HeaderName::from_static("x-server-stamp");
const LOAD: HeaderName = HeaderName::from_static("x-server-load");

/// Scheme of the `Authorization` header.
const KEY_SCHEME: &str = "Token ";

/// Headers that only the system may set, or that concern one connection.
const WITHHELD: &[&str] = &[
    "authorization",
    "connection",
    "expect",
    "host",
    "keep-alive",
    "kv-fetch",
    "kv-from",
    "last-event-id",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "x-deadline-ms",
    "x-expect-instance",
    "x-expect-version",
    "x-hold",
    "x-kv-backup",
    "x-pin-ms",
    "x-request-priority",
    "x-tenant",
];

/// Headers of an endpoint's answer that concern one connection.
const CONNECTION_ONLY: &[&str] =
    &["connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade"];

/// What a caller's headers say.
#[derive(Clone, Debug, Default)]
pub struct CallerHead {
    /// Id of the request, which each attempt of the caller has anew.
    pub request: Arc<str>,
    /// Host without a port, in lower case.
    pub host: String,
    /// Key, which no endpoint may see.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Model, where the request is for one.
    pub model: Option<Arc<str>>,
    /// Adapter of the model.
    pub adapter: Option<Arc<str>>,
    /// Tokens of the prompt and the most tokens of the answer.
    pub tokens: Option<(u64, u64)>,
    /// The caller's estimate of the answer's tokens.
    pub hint: Option<u64>,
    /// Parts of the prompt in order: a hash and a number of tokens each.
    pub parts: Vec<(u64, u32)>,
    /// Last event that the caller has, where it resumes a stream.
    pub last_event: Option<u64>,
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Decodes the head of a caller's request.
pub fn decode(parts: &Parts) -> CallerHead {
    let headers = &parts.headers;
    let (model, adapter) = match header_text(headers, &MODEL).map(|name| name.split_once('/')) {
        Some(Some((model, adapter))) => (Some(model.into()), Some(adapter.into())),
        Some(None) => (header_text(headers, &MODEL).map(Arc::from), None),
        None => (None, None),
    };
    let key = header_text(headers, &header::AUTHORIZATION).and_then(|v| v.strip_prefix(KEY_SCHEME));
    CallerHead {
        request: header_text(headers, &REQUEST_ID).unwrap_or_default().into(),
        host: parse_host(header_text(headers, &header::HOST).unwrap_or_default()),
        key: key.map(|key| key.trim().to_owned()),
        timeout: header_text(headers, &DEADLINE)
            .and_then(|v| v.parse().ok())
            .map(Duration::from_millis),
        model,
        adapter,
        tokens: header_text(headers, &TOKENS).and_then(parse_pair),
        hint: header_text(headers, &LENGTH_HINT).and_then(|v| v.parse().ok()),
        parts: header_text(headers, &PREFIX).map(parse_prompt_parts).unwrap_or_default(),
        last_event: header_text(headers, &LAST_EVENT).and_then(|v| v.parse().ok()),
    }
}

fn parse_host(value: &str) -> String {
    let name = value.rsplit_once(':').map_or(value, |(name, _)| name);
    name.to_ascii_lowercase()
}

fn parse_pair(value: &str) -> Option<(u64, u64)> {
    let (prompt, answer) = value.split_once(',')?;
    Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
}

fn parse_prompt_parts(value: &str) -> Vec<(u64, u32)> {
    let parts = value.split(',').map_while(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
    });
    parts.collect()
}

/// What the system adds to a request that it sends to an endpoint.
pub struct AddedHeaders<'a> {
    /// Endpoint that is meant, since addresses are used again.
    pub endpoint: &'a str,
    /// Team of the caller's key.
    pub team: Option<&'a str>,
    /// Time that is left.
    pub time_left: Duration,
    /// Urgency among the requests of an engine, from 0 (first) to 9.
    pub priority: Option<u8>,
    /// Last event after which the answer is to go on.
    pub after: Option<u64>,
}

/// Builds the headers of a request to an endpoint from those of the caller.
pub fn request_headers(caller: &HeaderMap, sending: &AddedHeaders<'_>) -> HeaderMap {
    let listed = connection_names(caller);
    let mut headers = HeaderMap::with_capacity(caller.len() + 5);
    for (name, value) in caller {
        if WITHHELD.contains(&name.as_str()) || listed.iter().any(|l| l == name.as_str()) {
            continue;
        }
        headers.append(name.clone(), value.clone());
    }
    if let Some(host) = caller.get(header::HOST) {
        headers.insert(header::HOST, host.clone());
    }
    headers.insert(DEADLINE, HeaderValue::from(sending.time_left.as_millis() as u64));
    insert_header(&mut headers, EXPECT_INSTANCE, sending.endpoint);
    if let Some(team) = sending.team {
        insert_header(&mut headers, TENANT, team);
    }
    if let Some(priority) = sending.priority {
        headers.insert(PRIORITY, HeaderValue::from(u16::from(priority)));
    }
    if let Some(after) = sending.after {
        headers.insert(LAST_EVENT, HeaderValue::from(after));
    }
    headers
}

/// Names that the `Connection` header lists, which concern the caller's connection only.
fn connection_names(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|v| v.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}

fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(err) => log::warn!("event=header_not_set header={name} reason={err}"),
    }
}

/// What the headers of an endpoint's answer say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether the answer carries the endpoint's proof.
    pub stamped: bool,
    /// Id of the request that was answered.
    pub request: Option<String>,
    /// Requests that ran and waited at the endpoint.
    pub load: Option<(u32, u32)>,
    /// Longest time that the endpoint keeps an idle connection.
    pub keep_alive: Option<Duration>,
}

/// Decodes the headers of an endpoint's answer.
pub fn response_head(status: http::StatusCode, headers: &HeaderMap) -> ResponseHead {
    let moved = status == http::StatusCode::MISDIRECTED_REQUEST;
    let load = header_text(headers, &LOAD).and_then(|value| {
        let mut numbers = value.split(',').map(|number| number.trim().parse().ok());
        Some((numbers.next()??, numbers.next()??))
    });
    let keep = header_text(headers, &HeaderName::from_static("keep-alive")).and_then(|value| {
        let timeout = value.split(',').find_map(|field| field.trim().strip_prefix("timeout="))?;
        timeout.parse().ok().map(Duration::from_secs)
    });
    ResponseHead {
        not_run: moved || headers.contains_key(NOT_EXECUTED),
        stamped: headers.contains_key(STAMP),
        request: header_text(headers, &REQUEST_ID).map(str::to_owned),
        load,
        keep_alive: keep,
    }
}

/// Returns the headers of an endpoint's answer that the caller gets.
pub fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let kept = headers.iter().filter(|(name, _)| !CONNECTION_ONLY.contains(&name.as_str()));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Name of the header that echoes the id of a request.
pub fn request_id_header() -> HeaderName {
    REQUEST_ID
}

/// Path at which callers ask for addresses.
pub const RESOLVE_PATH: &str = "/api/resolve";

/// Path at which the platform asks whether an instance is ready.
pub const READY_PATH: &str = "/api/readyz";
