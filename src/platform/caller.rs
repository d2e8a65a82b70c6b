//! Headers of callers' requests, and of the responses of endpoints to them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, header, request::Parts};

use crate::kernel::grants::LoadFigures;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const MODEL: HeaderName = HeaderName::from_static("x-model");
const TOKENS: HeaderName = HeaderName::from_static("x-token-count");
const PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const RESUMES: HeaderName = HeaderName::from_static("resumes");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
const KV_FETCH: HeaderName = HeaderName::from_static("kv-fetch");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
const STAMP: HeaderName = HeaderName::from_static("x-server-stamp");
const LOAD: HeaderName = HeaderName::from_static("x-server-load");
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const BRITTLE: HeaderName = HeaderName::from_static("server-brittle");

/// Value of [`LEAVING`] by which an endpoint says that it leaves.
const IS_LEAVING: &str = "1";

/// Scheme of the `Authorization` header.
const KEY_SCHEME: &str = "Token ";

/// Headers of a caller that are not sent to endpoints: only this system may set them, or they
/// concern the caller's connection.
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

/// Headers of an endpoint's response that concern its connection, so that the caller does not get
/// them.
const CONNECTION_ONLY: &[&str] =
    &["connection", "keep-alive", "transfer-encoding", "content-length", "trailer", "upgrade"];

/// The headers of a caller's request that this system reads.
#[derive(Clone, Debug, Default)]
pub struct CallerHead {
    /// Id of the request. Each retry by the caller has a new one.
    pub request: Arc<str>,
    /// Host that the request is for, without the port, in lower case.
    pub host: String,
    /// Key of the caller, which no endpoint may see.
    pub key: Option<String>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Model, if the request is for one.
    pub model: Option<Arc<str>>,
    /// Adapter of the model, if the request names one.
    pub adapter: Option<Arc<str>>,
    /// Tokens of the prompt, and the largest number of output tokens.
    pub tokens: Option<(u64, u64)>,
    /// The caller's estimate of the output tokens.
    pub hint: Option<u64>,
    /// Parts of the prompt in their order, each with its hash and its tokens.
    pub parts: Vec<(u64, u32)>,
    /// Number of the last event that the caller has received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the request that brought the first event of the stream which the caller resumes.
    pub resumes: Option<Arc<str>>,
}

/// Returns the value of a header; `None` if it is missing or not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Decodes the headers of a caller's request. Headers that cannot be parsed count as missing.
pub fn decode(parts: &Parts) -> CallerHead {
    let headers = &parts.headers;
    let (model, adapter) = match header_text(headers, &MODEL).map(|name| name.split_once('/')) {
        Some(Some((model, adapter))) => (Some(model.into()), Some(adapter.into())),
        Some(None) => (header_text(headers, &MODEL).map(Arc::from), None),
        None => (None, None),
    };
    let key = header_text(headers, &header::AUTHORIZATION)
        .and_then(|value| value.strip_prefix(KEY_SCHEME));
    CallerHead {
        request: header_text(headers, &REQUEST_ID).unwrap_or_default().into(),
        host: parse_host(header_text(headers, &header::HOST).unwrap_or_default()),
        key: key.map(|key| key.trim().to_owned()),
        timeout: header_text(headers, &DEADLINE)
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis),
        model,
        adapter,
        tokens: header_text(headers, &TOKENS).and_then(parse_tokens),
        hint: header_text(headers, &LENGTH_HINT).and_then(|value| value.parse().ok()),
        parts: header_text(headers, &PREFIX).map(parse_prompt_parts).unwrap_or_default(),
        last_event: header_text(headers, &LAST_EVENT).and_then(|value| value.parse().ok()),
        resumes: header_text(headers, &RESUMES).map(Arc::from),
    }
}

/// Returns the host of a `Host` header, without the port.
fn parse_host(value: &str) -> String {
    let host = value.rsplit_once(':').map_or(value, |(host, _)| host);
    host.to_ascii_lowercase()
}

/// Parses the tokens of the prompt and the largest number of output tokens.
fn parse_tokens(value: &str) -> Option<(u64, u64)> {
    let (prompt_tokens, output_tokens) = value.split_once(',')?;
    Some((prompt_tokens.trim().parse().ok()?, output_tokens.trim().parse().ok()?))
}

/// Parses the parts of a prompt, up to the first that is not valid.
fn parse_prompt_parts(value: &str) -> Vec<(u64, u32)> {
    let parts = value.split(',').map_while(|part| {
        let (hash, tokens) = part.trim().split_once(':')?;
        Some((u64::from_str_radix(hash, 16).ok()?, tokens.parse().ok()?))
    });
    parts.collect()
}

/// Values of the headers that this system adds to a request for an endpoint.
pub struct AddedHeaders<'a> {
    /// Name of the endpoint, since the platform may have given its address to another one.
    pub endpoint: &'a str,
    /// Team of the caller's key; `None` if the request has no valid key.
    pub team: Option<&'a str>,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Priority among the requests of an engine, from 0 (first) to 9.
    pub priority: Option<u8>,
    /// Number of the event after which the endpoint must resume the stream.
    pub after: Option<u64>,
    /// Address of the engine from which the endpoint fetches the beginning of the prompt.
    pub holder: Option<SocketAddr>,
}

/// Returns the headers of a request to an endpoint: those of the caller that may be forwarded, and
/// the added ones.
pub fn request_headers(caller: &HeaderMap, added: &AddedHeaders<'_>) -> HeaderMap {
    let connection_headers = connection_names(caller);
    let mut headers = HeaderMap::with_capacity(caller.len() + 5);
    for (name, value) in caller {
        if WITHHELD.contains(&name.as_str())
            || connection_headers.iter().any(|listed_name| listed_name == name.as_str())
        {
            continue;
        }
        headers.append(name.clone(), value.clone());
    }
    if let Some(host) = caller.get(header::HOST) {
        headers.insert(header::HOST, host.clone());
    }
    headers.insert(DEADLINE, HeaderValue::from(added.time_left.as_millis() as u64));
    insert_header(&mut headers, EXPECT_INSTANCE, added.endpoint);
    if let Some(team) = added.team {
        insert_header(&mut headers, TENANT, team);
    }
    if let Some(priority) = added.priority {
        headers.insert(PRIORITY, HeaderValue::from(u16::from(priority)));
    }
    if let Some(after) = added.after {
        headers.insert(LAST_EVENT, HeaderValue::from(after));
    }
    if let Some(holder) = added.holder {
        insert_header(&mut headers, KV_FETCH, &holder.to_string());
    }
    headers
}

/// Returns the headers of a caller's request that another instance serves: all but those that concern
/// the caller's connection, with the time that is left.
pub fn relayed_headers(caller: &HeaderMap, time_left: Duration) -> HeaderMap {
    let connection_headers = connection_names(caller);
    let is_kept = |name: &HeaderName| {
        let is_listed = connection_headers.iter().any(|listed| listed == name.as_str());
        !is_listed && !CONNECTION_ONLY.contains(&name.as_str()) && name != header::EXPECT
    };
    let kept = caller.iter().filter(|(name, _)| is_kept(name));
    let mut headers: HeaderMap = kept.map(|(name, value)| (name.clone(), value.clone())).collect();
    headers.insert(DEADLINE, HeaderValue::from(time_left.as_millis() as u64));
    headers
}

/// Returns the names that the `Connection` header lists; they concern the caller's connection only.
fn connection_names(headers: &HeaderMap) -> Vec<String> {
    let lists = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    lists.flat_map(|value| value.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Sets a header, unless the value is not allowed in one.
fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(err) => log::warn!("event=header_not_set header={name} reason={err}"),
    }
}

/// The headers of an endpoint's response that this system reads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Whether the endpoint has certainly not run the request.
    pub not_run: bool,
    /// Whether the response has the stamp by which endpoints prove that they produced it.
    pub stamped: bool,
    /// Id of the request that the response belongs to.
    pub request: Option<String>,
    /// Load of the endpoint; `None` if the response does not state it.
    pub load: Option<LoadFigures>,
    /// Requests a second that the endpoint takes from all instances together; `None` if it names no
    /// limit.
    pub rate_limit: Option<f64>,
    /// Longest time for which the endpoint keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the endpoint leaves.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests of this instance; `None` if it names none.
    pub pause: Option<Duration>,
    /// Requests that the endpoint may refuse in a second for want of room before it fails; `None` if it
    /// names no such number.
    pub max_refusals: Option<u32>,
}

impl ResponseHead {
    /// Returns whether the endpoint has certainly not run the request `id`.
    ///
    /// A faulty endpoint may send an earlier refusal once more on a connection that was used before, so
    /// the refusal must name the request there.
    pub fn refuses(&self, id: &str, is_fresh: bool) -> bool {
        let names_request = self.request.as_deref().map_or(is_fresh, |named| named == id);
        self.not_run && names_request
    }
}

/// Decodes the headers of an endpoint's response.
pub fn response_head(status: http::StatusCode, headers: &HeaderMap) -> ResponseHead {
    let misdirected = status == http::StatusCode::MISDIRECTED_REQUEST;
    let load = header_text(headers, &LOAD).and_then(parse_load);
    let keep_alive =
        header_text(headers, &HeaderName::from_static("keep-alive")).and_then(|value| {
            let timeout =
                value.split(',').find_map(|field| field.trim().strip_prefix("timeout="))?;
            timeout.parse().ok().map(Duration::from_secs)
        });
    ResponseHead {
        not_run: misdirected || headers.contains_key(NOT_EXECUTED),
        stamped: headers.contains_key(STAMP),
        request: header_text(headers, &REQUEST_ID).map(str::to_owned),
        load,
        rate_limit: header_text(headers, &LIMIT).and_then(parse_rate_limit),
        keep_alive,
        leaving: header_text(headers, &LEAVING).is_some_and(|value| value.trim() == IS_LEAVING),
        pause: (status == http::StatusCode::SERVICE_UNAVAILABLE)
            .then(|| header_text(headers, &header::RETRY_AFTER).and_then(parse_seconds))
            .flatten(),
        max_refusals: header_text(headers, &BRITTLE).and_then(|value| value.trim().parse().ok()),
    }
}

/// Parses `running,waiting[,slots[,pace]]`. A list with a figure that is no number is no load.
fn parse_load(value: &str) -> Option<LoadFigures> {
    let mut figures = value.split(',').map(str::trim);
    let (running, waiting) = (figures.next()?.parse().ok()?, figures.next()?.parse().ok()?);
    let slots = figures.next().map(|slots| slots.parse().ok());
    let pace = figures.next().map(|pace| pace.parse::<f64>().ok().map(|pace| pace.round() as u32));
    Some(LoadFigures {
        running,
        waiting,
        slots: slots.map_or(Some(None), |slots| slots.map(Some))?,
        pace: pace.map_or(Some(None), |pace| pace.map(Some))?,
    })
}

/// Parses a time in seconds, which may have a fraction.
fn parse_seconds(value: &str) -> Option<Duration> {
    let seconds: f64 = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Parses a number of requests a second, which is not negative.
fn parse_rate_limit(value: &str) -> Option<f64> {
    value.trim().parse().ok().filter(|rate: &f64| rate.is_finite() && *rate >= 0.0)
}

/// Returns the headers of an endpoint's response that are passed on to the caller.
pub fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let kept = headers.iter().filter(|(name, _)| !CONNECTION_ONLY.contains(&name.as_str()));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Returns the name of the header that carries the id of a request.
pub fn request_id_header() -> HeaderName {
    REQUEST_ID
}

/// Path at which callers request the addresses of instances.
pub const RESOLVE_PATH: &str = "/api/resolve";

/// Path of the platform's readiness checks.
pub const READY_PATH: &str = "/api/readyz";
