//! The callers of a soak. They keep connections open, and use them until the gateway is gone.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::Request;
use http_body_util::{BodyExt, Full};
use parking_lot::Mutex;
use rand::{RngExt, seq::IndexedRandom};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::fleet::{FATAL_PART, Fleet, HOST, KEY, MODELS, WITHDRAWN_KEY};
use crate::{
    clock::Time,
    http::pool::{Pool, SendError},
    standin::{
        caller::{
            CallerRequest, PART_TOKENS, Prompt, TakeUp, decode_addresses, resolve_request,
            stamped_endpoint,
        },
        operator::ADAPTERS,
        worker::LAST_EVENT,
    },
};

/// First part of all prompts.
const FIRST_PART: &str = "aa";

/// Second part of the prompts that crash nothing.
const SOUND_PART: &str = "5afe";

/// Callers that send requests one after the other.
const CALLERS: usize = 16;

/// Bounds of the pause of a caller between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// Pause between two requests that crash endpoints.
const FATAL_PAUSE: Duration = Duration::from_millis(150);

/// Time for which a caller keeps the addresses of the directory.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a caller waits for a response.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Times that a caller takes a stream up again.
const MAX_TAKE_UPS: usize = 8;

/// Pause before a caller takes a stream up again.
const TAKE_UP_PAUSE: Duration = Duration::from_millis(300);

/// Time for which a caller keeps an idle connection.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream of events, which may be resumed.
    Chat,
    /// A request that must not run twice.
    Payment,
    /// A request that may run twice.
    Lookup,
    /// A stream whose prompt crashes the engine that runs it.
    Fatal,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// A whole response has arrived.
    Whole {
        /// Status of the response.
        status: u16,
        /// Endpoint that made the response; `None` if the gateway itself has responded.
        endpoint: Option<String>,
        /// Body of the response.
        body: Bytes,
    },
    /// The head of a response has arrived, and the body has not ended.
    Partial {
        /// Status of the response.
        status: u16,
        /// What has arrived of the body.
        body: Bytes,
    },
    /// The connection ended without a response.
    Broken,
    /// Nothing arrived in time.
    TimedOut,
    /// No connection could be opened, or nothing was sent on it.
    NotSent,
}

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the request.
    pub request: String,
    /// What it was for.
    pub kind: Kind,
    /// Name of its route.
    pub route: String,
    /// The stream that it takes up again.
    pub take_up: Option<TakeUp>,
    /// Gateway to which it was sent.
    pub gateway: usize,
    /// Whether it had the key that is withdrawn at times.
    pub has_withdrawn_key: bool,
    /// When it was sent.
    pub sent_at: Time,
    /// When it ended.
    pub ended_at: Time,
    /// How it ended.
    pub ending: Ending,
}

impl Attempt {
    /// Returns the status of the response; `None` if none has arrived.
    pub fn status(&self) -> Option<u16> {
        match &self.ending {
            Ending::Whole { status, .. } | Ending::Partial { status, .. } => Some(*status),
            Ending::Broken | Ending::TimedOut | Ending::NotSent => None,
        }
    }

    /// Returns the stream that the caller must take up again: one that has broken off after some
    /// events, or that the gateway has not gone on with.
    fn broken_stream(&self) -> Option<TakeUp> {
        let body = match &self.ending {
            Ending::Partial { status: 200, body } if self.kind == Kind::Chat => body,
            _ if self.take_up.is_some() && !self.is_served() => return self.take_up.clone(),
            _ => return None,
        };
        let text = String::from_utf8_lossy(body);
        let complete = text.rsplit_once("\n\n").map_or("", |(events, _)| events);
        let ids = complete.split("\n\n").filter_map(|event| event.strip_prefix("id: "));
        let numbers = ids.filter_map(|id| id.split('\n').next()?.parse::<u64>().ok());
        let before = self.take_up.as_ref();
        let after = numbers.max().or(before.map(|stream| stream.after))?;
        let request = before.map_or(&self.request, |stream| &stream.request).clone();
        (after < LAST_EVENT).then_some(TakeUp { request, after })
    }

    /// Returns whether the request was answered with success.
    pub fn is_served(&self) -> bool {
        matches!(self.ending, Ending::Whole { status: 200, .. })
    }
}

/// What all callers share.
struct Shared {
    /// Addresses for callers and of the directory, by gateway.
    gateways: Vec<(SocketAddr, SocketAddr)>,
    attempts: Mutex<Vec<Attempt>>,
    next_id: AtomicU64,
    /// Name of the route that was added last; `None` before the first one.
    added_route: Mutex<Option<String>>,
    is_fatal: AtomicBool,
    is_over: AtomicBool,
}

/// The callers of a soak.
pub struct Callers {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(fleet: &Fleet) -> Self {
        let gateways = fleet.gateways.iter().map(|gateway| (gateway.callers, gateway.directory));
        let shared = Arc::new(Shared {
            gateways: gateways.collect(),
            attempts: Mutex::default(),
            next_id: AtomicU64::new(1),
            added_route: Mutex::default(),
            is_fatal: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
        });
        let mut tasks: Vec<JoinHandle<()>> =
            (0..CALLERS).map(|_| tokio::spawn(call_repeatedly(shared.clone()))).collect();
        tasks.push(tokio::spawn(call_fatally(shared.clone())));
        Self { shared, tasks }
    }

    /// Starts or ends the requests that crash endpoints.
    pub fn set_fatal(&self, is_fatal: bool) {
        self.shared.is_fatal.store(is_fatal, Ordering::Relaxed);
    }

    /// Lets callers use a route that was added.
    pub fn add_route(&self, name: String) {
        *self.shared.added_route.lock() = Some(name);
    }

    /// Ends the callers and returns their requests.
    pub async fn stop(self) -> Vec<Attempt> {
        self.shared.is_over.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
        std::mem::take(&mut *self.shared.attempts.lock())
    }
}

/// Sends requests one after the other to gateways that the directory names.
async fn call_repeatedly(shared: Arc<Shared>) {
    let pool: Arc<Pool> = Arc::default();
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut resolved_at = Time::default();
    while !shared.is_over.load(Ordering::Relaxed) {
        if Time::now().since(resolved_at) > ADDRESS_TTL || addresses.is_empty() {
            resolved_at = Time::now();
            addresses = resolve(&shared).await.unwrap_or(addresses);
        }
        let (kind, pause) = {
            let mut rng = rand::rng();
            let kinds = [Kind::Chat, Kind::Chat, Kind::Payment, Kind::Lookup];
            (kinds[rng.random_range(0..kinds.len())], rng.random_range(PAUSE_MS))
        };
        let address = addresses.choose(&mut rand::rng()).copied();
        let known = |address| shared.gateways.iter().position(|(callers, _)| *callers == address);
        if let Some(gateway) = address.and_then(known) {
            let broken = call(&shared, &pool, gateway, kind, None).await;
            if let Some(stream) = broken {
                take_up(&shared, &pool, stream).await;
            }
        }
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Takes a stream up again at any gateway, until it is complete or too many tries were in vain.
async fn take_up(shared: &Shared, pool: &Arc<Pool>, stream: TakeUp) {
    let mut next = Some(stream);
    for _ in 0..MAX_TAKE_UPS {
        let Some(stream) = next.take() else { return };
        sleep(TAKE_UP_PAUSE).await;
        let gateway = rand::rng().random_range(0..shared.gateways.len());
        next = call(shared, pool, gateway, Kind::Chat, Some(stream)).await;
    }
}

/// Sends requests that crash endpoints to any gateway, while that is wanted.
async fn call_fatally(shared: Arc<Shared>) {
    while !shared.is_over.load(Ordering::Relaxed) {
        sleep(FATAL_PAUSE).await;
        if shared.is_fatal.load(Ordering::Relaxed) {
            let gateway = rand::rng().random_range(0..shared.gateways.len());
            let shared = shared.clone();
            tokio::spawn(async move {
                call(&shared, &Arc::default(), gateway, Kind::Fatal, None).await
            });
        }
    }
}

/// Asks the directory of a random gateway for addresses.
async fn resolve(shared: &Shared) -> Option<Vec<SocketAddr>> {
    let gateway = rand::rng().random_range(0..shared.gateways.len());
    let exchange = async {
        let pool: Arc<Pool> = Arc::default();
        let mut connection =
            pool.acquire(shared.gateways[gateway].1, CONNECT_TIMEOUT).await.ok()?;
        let response = connection.send(resolve_request(HOST)).await.ok()?;
        decode_addresses(&response.into_body().collect().await.ok()?.to_bytes())
    };
    timeout(CONNECT_TIMEOUT, exchange).await.ok()?
}

/// Sends a request and records its end. Returns the stream that must be taken up again.
async fn call(
    shared: &Shared,
    pool: &Arc<Pool>,
    gateway: usize,
    kind: Kind,
    take_up: Option<TakeUp>,
) -> Option<TakeUp> {
    let number = shared.next_id.fetch_add(1, Ordering::Relaxed);
    let has_withdrawn_key = kind != Kind::Fatal && number.is_multiple_of(5);
    let request = format!("{number:016x}");
    let sent_at = Time::now();
    let route = route(shared, kind, number);
    let mut message = message(&request, number, kind, &route, has_withdrawn_key);
    message.take_up = take_up.clone();
    let exchange = exchange(pool, shared.gateways[gateway].0, message.to_http());
    let ending = timeout(TIMEOUT, exchange).await.unwrap_or(Ending::TimedOut);
    let ended_at = Time::now();
    let attempt = Attempt {
        request,
        kind,
        route,
        take_up,
        gateway,
        has_withdrawn_key,
        sent_at,
        ended_at,
        ending,
    };
    let broken = attempt.broken_stream();
    shared.attempts.lock().push(attempt);
    broken
}

/// Returns the name of the route of a request. Every other lookup uses the route that was added last.
fn route(shared: &Shared, kind: Kind, number: u64) -> String {
    let added = shared.added_route.lock().clone().filter(|_| number.is_multiple_of(2));
    match kind {
        Kind::Chat | Kind::Fatal => "chat".to_owned(),
        Kind::Payment => "pay".to_owned(),
        Kind::Lookup => added.unwrap_or_else(|| "look".to_owned()),
    }
}

/// Returns the model of the request with this number, and an adapter of it for most requests.
fn model_of(number: u64) -> String {
    let model = MODELS[number as usize % MODELS.len()];
    // A product with a large odd number spreads the adapters without an order.
    let draw = (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) % (ADAPTERS + 1);
    match draw {
        0 => model.to_owned(),
        adapter => format!("{model}/a{adapter}"),
    }
}

/// Returns the request as it is sent to a gateway.
fn message(
    request: &str,
    number: u64,
    kind: Kind,
    route: &str,
    has_withdrawn_key: bool,
) -> CallerRequest {
    let part = if kind == Kind::Fatal { FATAL_PART } else { SOUND_PART };
    let parts = [FIRST_PART.to_owned(), part.to_owned(), format!("{number:x}")];
    let prompt = Prompt { model: model_of(number), parts: parts.into(), part_tokens: PART_TOKENS };
    CallerRequest {
        id: request.to_owned(),
        host: HOST,
        path: format!("/{route}/{number}"),
        key: if has_withdrawn_key { WITHDRAWN_KEY } else { KEY },
        timeout: TIMEOUT,
        prompt: matches!(kind, Kind::Chat | Kind::Fatal).then_some(prompt),
        take_up: None,
    }
}

/// Sends a request and reads the whole response.
async fn exchange(pool: &Arc<Pool>, address: SocketAddr, request: Request<Full<Bytes>>) -> Ending {
    let Ok(mut connection) = pool.acquire(address, CONNECT_TIMEOUT).await else {
        return Ending::NotSent;
    };
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(SendError::Unknown(_)) => return Ending::Broken,
        Err(_) => return Ending::NotSent,
    };
    let status = response.status().as_u16();
    let endpoint = stamped_endpoint(response.headers());
    let mut body = response.into_body();
    let mut bytes = BytesMut::new();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Some(Err(_)) => return Ending::Partial { status, body: bytes.freeze() },
            None => break,
        }
    }
    pool.release(connection, KEEP_ALIVE);
    Ending::Whole { status, endpoint, body: bytes.freeze() }
}
