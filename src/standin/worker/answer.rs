//! Responses of the stand-in for an endpoint: answers, streams, reports and orders.

use std::{net::IpAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, request::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::RngExt;
use tokio::time::sleep;

use super::{Run, Shared, Sign, State, Told, WorkerFaults, orders};
use crate::{
    clock::Time,
    standin::http1::{Body, Broken, PartSender, SenderHost, streamed_response, whole_response},
};

/// Number of the last event of each stream.
pub const LAST_EVENT: u64 = 12;

/// Time between two events.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Time that a plain request takes.
const PLAIN_TIME: Duration = Duration::from_millis(10);

/// Time from the begin of a run that crashes the endpoint to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// Size of each part of a body without end.
const ENDLESS_PART_BYTES: usize = 64 << 10;

/// Counts a request as running until it is dropped.
struct Running {
    shared: Arc<Shared>,
    /// Incarnation that runs it.
    born: u64,
    /// Model and adapter that it uses.
    used: (String, Option<String>),
}

impl Running {
    /// Counts a request that uses a model and an adapter.
    fn begin(shared: &Arc<Shared>, state: &mut State, used: (String, Option<String>)) -> Self {
        *state.running.entry(used.clone()).or_default() += 1;
        Self { shared: shared.clone(), born: state.born, used }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock();
        if state.born != self.born {
            return;
        }
        if let Some(count) = state.running.get_mut(&self.used) {
            *count -= 1;
        }
        state.running.retain(|_, count| *count > 0);
    }
}

/// Returns the whole body that the endpoint `endpoint` gives to a plain request.
pub fn plain_body(request: &str, endpoint: &str) -> String {
    format!("answer to {request} from {endpoint}")
}

/// Returns an event of the stream of a request.
pub fn event_text(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} {number}\n\n")
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Responds to a request.
pub(super) async fn respond(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Broken> {
    let sender = request.extensions().get::<SenderHost>().map(|host| host.0);
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Broken)?.to_bytes();
    let expected = header(&parts.headers, "x-expect-instance");
    if !expected.is_empty() && *expected != *shared.state.lock().id {
        return Ok(not_run(StatusCode::MISDIRECTED_REQUEST, &parts.headers));
    }
    match parts.uri.path() {
        "/api/report" => Ok(orders::report(&shared)),
        "/api/order" => Ok(orders::respond(shared, &body).await),
        _ => run(shared, parts, sender).await,
    }
}

/// Returns a response that says that the request has not run.
fn not_run(status: StatusCode, request: &HeaderMap) -> Response<Body> {
    let mut response = whole_response(status, Bytes::new());
    response.headers_mut().insert("x-not-executed", HeaderValue::from_static("1"));
    if let Some(id) = request.get("x-request-id") {
        response.headers_mut().insert("x-request-id", id.clone());
    }
    response
}

/// Runs a caller's request.
async fn run(
    shared: Arc<Shared>,
    parts: Parts,
    sender: Option<IpAddr>,
) -> Result<Response<Body>, Broken> {
    let headers = &parts.headers;
    let faults = *shared.faults.lock();
    let id = shared.state.lock().id.clone();
    shared.log.record_told(id.clone(), Told { sender, sign: Sign::Arrival });
    if let Some((fraction, pause)) = faults.refusing
        && rand::rng().random_bool(fraction)
    {
        shared.log.record_told(id, Told { sender, sign: Sign::Pause(pause) });
        let mut response = not_run(StatusCode::SERVICE_UNAVAILABLE, headers);
        let pause = HeaderValue::from_str(&pause.as_secs_f64().to_string());
        response.headers_mut().insert("retry-after", pause.map_err(|_| Broken)?);
        return Ok(response);
    }
    let model = header(headers, "x-model");
    let (model, adapter) = match model.split_once('/') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (model, None),
    };
    let (endpoint, version, running) = {
        let mut state = shared.state.lock();
        if !model.is_empty() && !state.inventory.serves(model, adapter) {
            return Ok(not_run(StatusCode::MISDIRECTED_REQUEST, headers));
        }
        if state.running() >= shared.settings.slots {
            return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE, headers));
        }
        let used = (model.to_owned(), adapter.map(str::to_owned));
        let running = Running::begin(&shared, &mut state, used);
        (state.id.clone(), state.version.clone(), running)
    };
    let request = header(headers, "x-request-id").to_owned();
    let fatal_part = &shared.settings.fatal_part;
    let prompt = header(headers, "x-prompt-prefix").split(',');
    let is_fatal = prompt.map(|part| part.split(':').next()).any(|hash| hash == Some(fatal_part));
    shared.log.record_run(Run {
        request: request.clone(),
        endpoint: endpoint.clone(),
        data_centre: shared.settings.data_centre.clone(),
        version,
        is_stream: !model.is_empty(),
        after: header(headers, "last-event-id").parse().unwrap_or(0),
        at: Time::now(),
        team: headers.get("x-tenant").map(|_| header(headers, "x-tenant").to_owned()),
        shows_key: headers.contains_key("authorization"),
        is_fatal,
        holder: headers.get("kv-fetch").map(|_| header(headers, "kv-fetch").to_owned()),
        sender,
    });
    if faults.leaving {
        shared.log.record_told(id, Told { sender, sign: Sign::Leaving });
    }
    if is_fatal {
        sleep(CRASH_DELAY).await;
        shared.crash.notify_one();
        return std::future::pending().await;
    }
    let mut response = if rand::rng().random_bool(faults.failing) {
        whole_response(StatusCode::INTERNAL_SERVER_ERROR, "failed")
    } else if model.is_empty() {
        sleep(PLAIN_TIME).await;
        if rand::rng().random_bool(faults.breaking) {
            return Err(Broken);
        }
        let mut body = plain_body(&request, &endpoint);
        body.extend(std::iter::repeat_n(' ', faults.added_bytes));
        whole_response(StatusCode::OK, body)
    } else {
        let after = header(headers, "last-event-id").parse().unwrap_or(0);
        let (tx, response) = streamed_response(StatusCode::OK);
        tokio::spawn(send_events(tx, request.clone(), after, faults, running));
        response
    };
    add_headers(response.headers_mut(), &request, &endpoint, &faults);
    Ok(response)
}

fn add_headers(headers: &mut HeaderMap, request: &str, endpoint: &str, faults: &WorkerFaults) {
    let mut insert = |name, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    insert("x-request-id", request);
    insert("x-server-stamp", &format!("stamp.{endpoint}"));
    if faults.leaving {
        insert("server-leaving", "1");
    }
    if let Some(limit) = faults.limit {
        insert("server-limit", &limit.to_string());
    }
}

/// Sends the events of a stream after the event `after`.
async fn send_events(
    tx: PartSender,
    request: String,
    after: u64,
    faults: WorkerFaults,
    _running: Running,
) {
    let (is_endless, breaks) = {
        let mut rng = rand::rng();
        (rng.random_bool(faults.endless), rng.random_bool(faults.breaking))
    };
    sleep(faults.start_pause).await;
    for number in after + 1..=LAST_EVENT {
        sleep(EVENT_INTERVAL).await;
        if number == LAST_EVENT / 2 {
            sleep(faults.stream_pause).await;
        }
        if breaks && number == LAST_EVENT / 2 {
            let _ = tx.send(Err(Broken)).await;
            return;
        }
        let event = Bytes::from(event_text(&request, number));
        if tx.send(Ok(event)).await.is_err() {
            return;
        }
        if is_endless && number > LAST_EVENT / 2 {
            return send_endlessly(&tx).await;
        }
    }
}

/// Sends bytes that are no event until the receiver leaves.
async fn send_endlessly(tx: &PartSender) {
    let part = Bytes::from(vec![b'x'; ENDLESS_PART_BYTES]);
    while tx.send(Ok(part.clone())).await.is_ok() {}
}
