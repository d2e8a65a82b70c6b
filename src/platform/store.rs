//! Client of the platform's metadata store, which holds the records of leaders, operators and
//! endpoints.

mod records;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use base64::{DecodeError, Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use tokio::{sync::watch, time::timeout};

pub use self::records::{Event, Item, Page, Put, PutResult, WatchResult};
use self::records::{
    RawCondition, RawEvents, RawLease, RawPage, RawPut, RawRevision, RawTtl, RawTxn,
};
use crate::{
    clock::Time,
    http::pool::{Pool, SendError},
    kernel::{
        record_age::CallFailures,
        revision::{LeaseId, Revision},
    },
};

/// Header of the store's responses that carries its era, which grows with each return from a copy.
const ERA_HEADER: &str = "store-era";

/// Timeout of opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle connection to the store is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Time by which a watch call may exceed the wait that it requests from the store.
const WATCH_MARGIN: Duration = Duration::from_millis(1_500);

/// Largest response of the store in bytes. A page of records holds several large values.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Why a call to the store failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// The call was not sent, so it took no effect.
    #[error("the store cannot be reached: {0}")]
    NotSent(String),
    /// There is no complete response. The call may have taken effect, or may still take effect.
    #[error("no answer from the store, the call may have taken effect: {0}")]
    Unknown(String),
    /// The store refused the call with this status.
    #[error("the store answered with status {0}")]
    Refused(StatusCode),
    /// The store has returned from an older copy during the call, or since the revision that the call
    /// names. A write may have taken effect.
    #[error("the store has returned from an older copy, the call may have taken effect")]
    Returned,
    /// The response cannot be parsed.
    #[error("the store's answer cannot be parsed: {0}")]
    Parse(String),
}

impl From<SendError> for StoreError {
    fn from(err: SendError) -> Self {
        match err {
            SendError::Refused => StoreError::NotSent(err.to_string()),
            SendError::NotSent(text) => StoreError::NotSent(text),
            SendError::Unknown(text) => StoreError::Unknown(text),
        }
    }
}

impl From<DecodeError> for StoreError {
    fn from(err: DecodeError) -> Self {
        StoreError::Parse(err.to_string())
    }
}

/// A response of the store.
struct Response {
    status: StatusCode,
    body: Bytes,
    /// Era in which the store has responded.
    era: u64,
}

impl Response {
    /// Parses the response to a call that succeeded.
    fn parse<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        if !self.status.is_success() {
            return Err(StoreError::Refused(self.status));
        }
        serde_json::from_slice(&self.body).map_err(|err| StoreError::Parse(err.to_string()))
    }
}

/// Client of the store, with its connections.
pub struct Store {
    pool: Arc<Pool>,
    address: SocketAddr,
    /// Timeout of each call other than a watch.
    timeout: Duration,
    /// Whether the last call other than a watch failed or was cancelled.
    unreachable: AtomicBool,
    /// Number of times that the store became reachable after a failed call, or began a new era.
    recoveries: watch::Sender<u64>,
    /// When the store last carried out a call of this client; zero before the first time.
    responded_at: AtomicU64,
    /// Calls other than watches that failed since the store last responded.
    failures: Mutex<CallFailures>,
    /// One more than the latest era in which the store has responded; zero if none is known.
    next_era: AtomicU64,
}

/// Marks the store as unreachable when the guard is dropped, unless the response has arrived
/// before. Dropping also covers calls that their caller cancels.
struct UnreachableGuard<'a> {
    /// The store to mark; `None` once the response has arrived.
    store: Option<&'a Store>,
}

impl Drop for UnreachableGuard<'_> {
    fn drop(&mut self) {
        if let Some(store) = self.store {
            store.unreachable.store(true, Ordering::Relaxed);
            store.failures.lock().record_failure(Time::now());
        }
    }
}

impl Store {
    /// Creates a client. Each call other than a watch takes at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let (recoveries, _) = watch::channel(0);
        Self {
            pool: Arc::default(),
            address,
            timeout,
            unreachable: AtomicBool::new(false),
            recoveries,
            responded_at: AtomicU64::new(0),
            failures: Mutex::default(),
            next_era: AtomicU64::new(0),
        }
    }

    /// Returns the latest era in which the store has responded; zero if none is known.
    pub fn era(&self) -> u64 {
        self.next_era.load(Ordering::Relaxed).saturating_sub(1)
    }

    /// Returns the time since the store last carried out a call of this client, a watch included.
    pub fn response_age(&self, now: Time) -> Duration {
        now.since(Time(self.responded_at.load(Ordering::Relaxed)))
    }

    /// Returns for how long calls have failed without any response, a watch's included.
    pub fn failing_time(&self, now: Time) -> Duration {
        self.failures.lock().failing_time(now)
    }

    /// Returns whether the last call other than a watch got a response.
    pub fn is_reachable(&self) -> bool {
        !self.unreachable.load(Ordering::Relaxed)
    }

    /// Reads all records whose key starts with `prefix`.
    ///
    /// The records may come in several pages, which are read one after another. The revision is
    /// that of the first page, so that a watch from that revision on also reports the changes that
    /// happened during the read.
    pub async fn range(&self, prefix: &str) -> Result<Page, StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision: Option<Revision> = None;
        loop {
            let mut path = format!("/api/kv-range?path_prefix={}", escape_query(prefix));
            if let Some(last) = items.last() {
                path = format!("{path}&after={}", escape_query(&last.key));
            }
            let response = self.exchange(Method::GET, &path, Bytes::new()).await?;
            let page: RawPage = response.parse()?;
            let first = *revision.get_or_insert(Revision::new(response.era, page.as_of));
            if response.era != first.era() {
                return Err(StoreError::Returned);
            }
            let is_last = !page.truncated || page.items.is_empty();
            for raw in page.items {
                items.push(raw.into_item(response.era)?);
            }
            if is_last {
                return Ok(Page { items, revision: first });
            }
        }
    }

    /// Waits at most `wait` for changes after the revision `after` of records whose key starts with
    /// `prefix`.
    ///
    /// A store that was unreachable may have lost its watches. A watch therefore ends when another
    /// call shows that the store is reachable after a failure, or is in a new era.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let (prefix, wait_ms) = (escape_query(prefix), wait.as_millis());
        let number = after.number();
        let path = format!("/api/kv-watch?path_prefix={prefix}&after={number}&wait_ms={wait_ms}");
        let mut recoveries = self.recoveries.subscribe();
        let time_limit = wait + WATCH_MARGIN;
        let response = tokio::select! {
            response = self.attempt(Method::GET, &path, Bytes::new(), time_limit) => response,
            _ = recoveries.changed() => return Ok(WatchResult::Missed),
        };
        let response = response?;
        if response.era != after.era() {
            return Ok(WatchResult::Missed);
        }
        match response.parse::<RawEvents>() {
            Ok(raw) => {
                let events = raw.events.into_iter().map(|raw| raw.into_event(response.era));
                let events = events.collect::<Result<_, _>>()?;
                Ok(WatchResult::Events(events, Revision::new(response.era, raw.as_of)))
            }
            Err(StoreError::Refused(StatusCode::GONE)) => Ok(WatchResult::Missed),
            Err(err) => Err(err),
        }
    }

    /// Writes records, if the record of `key` has the revision `expected`; the number zero if there
    /// must be no record.
    ///
    /// Fails with [`StoreError::Returned`] if the store carried the call out in another era than that
    /// of `expected` or of a lease, where the same number may name another revision or lease.
    pub async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        puts: &[Put<'_>],
    ) -> Result<PutResult, StoreError> {
        let raw_puts = puts.iter().map(|put| RawPut {
            key: put.key,
            value: STANDARD.encode(put.value),
            lease: put.lease.map_or(0, |lease| lease.number),
        });
        let txn = RawTxn {
            precondition: vec![RawCondition { key, revision: expected.number() }],
            puts: raw_puts.collect(),
            delete: Vec::new(),
        };
        let body = serde_json::to_vec(&txn).unwrap_or_default().into();
        let response = self.exchange(Method::POST, "/api/kv-txn", body).await?;
        match response.parse::<RawRevision>() {
            Ok(raw) => {
                let mut eras = puts.iter().filter_map(|put| put.lease).map(|lease| lease.era);
                let is_expected = expected.number() == 0 || expected.era() == response.era;
                match is_expected && eras.all(|era| era == response.era) {
                    true => Ok(PutResult::Done(Revision::new(response.era, raw.revision))),
                    false => Err(StoreError::Returned),
                }
            }
            Err(StoreError::Refused(StatusCode::PRECONDITION_FAILED)) => Ok(PutResult::Conflict),
            Err(StoreError::Refused(StatusCode::NOT_FOUND)) => Ok(PutResult::NoLease),
            Err(err) => Err(err),
        }
    }

    /// Grants a lease with the given TTL.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let body = serde_json::to_vec(&RawTtl { ttl_ms: ttl.as_millis() as u64 });
        let body = body.unwrap_or_default().into();
        let response = self.exchange(Method::POST, "/api/kv-lease", body).await?;
        let raw: RawLease = response.parse()?;
        Ok(LeaseId { era: response.era, number: raw.lease })
    }

    /// Renews a lease. Returns whether the lease still exists. Fails with [`StoreError::Returned`] in
    /// another era than that of the lease, where its number may name another one.
    pub async fn renew(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let path = format!("/api/kv-keep/{}", lease.number);
        let response = self.exchange(Method::POST, &path, Bytes::new()).await?;
        if response.era != lease.era {
            return Err(StoreError::Returned);
        }
        match response.parse::<serde_json::Value>() {
            Ok(_) => Ok(true),
            Err(StoreError::Refused(StatusCode::NOT_FOUND)) => Ok(false),
            Err(err) => Err(err),
        }
    }

    /// Revokes a lease and deletes the records that have it. Does nothing in another era than that of
    /// the lease, where its number may name another one.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        if self.era() != lease.era {
            return Ok(());
        }
        let path = format!("/api/kv-lease-end/{}", lease.number);
        let result = self.exchange(Method::DELETE, &path, Bytes::new()).await;
        result.map(|_| ())
    }

    /// Makes a call and records whether the store is reachable.
    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response, StoreError> {
        let mut guard = UnreachableGuard { store: Some(self) };
        let response = self.attempt(method, path, body, self.timeout).await?;
        if !response.status.is_server_error() {
            guard.store = None;
            if self.unreachable.swap(false, Ordering::Relaxed) {
                self.recoveries.send_modify(|count| *count += 1);
            }
        }
        Ok(response)
    }

    /// Makes a call that takes at most `time_limit`.
    async fn attempt(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<Response, StoreError> {
        metrics::counter!("cardamomshore_store_calls_total").increment(1);
        let exchange = async {
            let mut connection = self.pool.acquire(self.address, CONNECT_TIMEOUT).await?;
            let request = self.request(method, path, body);
            let response = connection.send(request).await?;
            let (status, era) = (response.status(), parse_era(response.headers()));
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|err| StoreError::Unknown(err.to_string()))?.to_bytes();
            self.pool.release(connection, KEEP_ALIVE);
            let era = self.record_era(era)?;
            if !status.is_server_error() && status != StatusCode::TOO_MANY_REQUESTS {
                self.responded_at.store(Time::now().0, Ordering::Relaxed);
                self.failures.lock().record_response();
            }
            Ok(Response { status, body, era })
        };
        let result = timeout(time_limit, exchange).await;
        result.unwrap_or_else(|_| {
            self.pool.remove_idle(self.address);
            Err(StoreError::Unknown("no answer in time".to_owned()))
        })
    }

    /// Records the era of a response and returns it. A response that names none is of the latest era.
    /// Fails if the response is of an earlier one.
    fn record_era(&self, era: Option<u64>) -> Result<u64, StoreError> {
        let Some(era) = era else { return Ok(self.era()) };
        let next_era = era.saturating_add(1);
        let known = self.next_era.fetch_max(next_era, Ordering::Relaxed);
        if next_era < known {
            return Err(StoreError::Returned);
        }
        if next_era > known && known > 0 {
            log::warn!("event=store_returned era={era}");
            metrics::counter!("cardamomshore_store_returns_total").increment(1);
            self.recoveries.send_modify(|count| *count += 1);
        }
        Ok(era)
    }

    /// Returns the request of a call.
    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert(header::HOST, host);
        }
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        request
    }
}

/// Parses the era of a response; `None` if it names none.
fn parse_era(headers: &HeaderMap) -> Option<u64> {
    headers.get(ERA_HEADER)?.to_str().ok()?.trim().parse().ok()
}

/// Percent-encodes the characters that a query parameter may not contain.
fn escape_query(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
                escaped.push(char::from(byte));
            }
            other => escaped.push_str(&format!("%{other:02X}")),
        }
    }
    escaped
}
