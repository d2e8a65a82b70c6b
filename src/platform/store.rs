//! Client of the platform's metadata store, which holds the records of leaders, operators and
//! endpoints.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{sync::watch, time::timeout};

use crate::http::pool::{Pool, SendError};

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

/// A record of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: Bytes,
    /// Revision of the last write to the record.
    pub revision: u64,
    /// Revision at which the record was created.
    pub created: u64,
}

/// Records that were read together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Records in the order of their keys.
    pub items: Vec<Item>,
    /// Revision of the store at the time of the read.
    pub revision: u64,
}

/// A change of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The record was created or overwritten.
    Put(Item),
    /// The record with this key was deleted, or its lease ended.
    Removed(String),
}

/// The result of a watch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// The changes, perhaps none, up to this revision.
    Events(Vec<Event>, u64),
    /// Changes may have been missed, so the caller must read all records again.
    Missed,
}

/// The result of [`Store::put_if`], a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutResult {
    /// The records were written, at this revision.
    Done(u64),
    /// The condition was not met, so nothing was written.
    Conflict,
    /// The lease of a record has ended, so nothing was written.
    NoLease,
}

/// A record to write.
#[derive(Clone, Copy, Debug)]
pub struct Put<'a> {
    /// Key of the record.
    pub key: &'a str,
    /// Value of the record.
    pub value: &'a [u8],
    /// Lease with which the record ends; zero if it has none.
    pub lease: u64,
}

#[derive(Deserialize)]
struct RawItem {
    key: String,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    create_rev: u64,
    #[serde(default)]
    removed: bool,
}

#[derive(Deserialize)]
struct RawPage {
    #[serde(default)]
    items: Vec<RawItem>,
    #[serde(default)]
    truncated: bool,
    as_of: u64,
}

#[derive(Deserialize)]
struct RawEvents {
    #[serde(default)]
    events: Vec<RawItem>,
    as_of: u64,
}

#[derive(Serialize)]
struct RawCondition<'a> {
    key: &'a str,
    revision: u64,
}

#[derive(Serialize)]
struct RawPut<'a> {
    key: &'a str,
    value: String,
    lease: u64,
}

#[derive(Serialize)]
struct RawTxn<'a> {
    precondition: Vec<RawCondition<'a>>,
    puts: Vec<RawPut<'a>>,
    delete: Vec<&'a str>,
}

#[derive(Deserialize)]
struct RawRevision {
    revision: u64,
}

#[derive(Serialize)]
struct RawTtl {
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct RawLease {
    lease: u64,
}

impl TryFrom<RawItem> for Item {
    type Error = StoreError;

    fn try_from(raw: RawItem) -> Result<Self, StoreError> {
        let value = STANDARD.decode(raw.value.unwrap_or_default());
        let value = value.map_err(|err| StoreError::Parse(err.to_string()))?;
        Ok(Item {
            key: raw.key,
            value: value.into(),
            revision: raw.revision,
            created: raw.create_rev,
        })
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
    /// Number of times that the store became reachable after a failed call.
    recoveries: watch::Sender<u64>,
}

/// Marks the store as unreachable when the guard is dropped, unless the response has arrived
/// before. Dropping also covers calls that their caller cancels.
struct UnreachableGuard<'a> {
    /// The flag to set; `None` once the response has arrived.
    flag: Option<&'a AtomicBool>,
}

impl Drop for UnreachableGuard<'_> {
    fn drop(&mut self) {
        if let Some(flag) = self.flag {
            flag.store(true, Ordering::Relaxed);
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
        }
    }

    /// Reads the record of a key; `None` if there is none.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        let path = format!("/api/kv-key?key={}", escape_query(key));
        match self.call::<RawItem>(Method::GET, &path, Bytes::new()).await {
            Ok(raw) => raw.try_into().map(Some),
            Err(StoreError::Refused(StatusCode::NOT_FOUND)) => Ok(None),
            Err(err) => Err(err),
        }
    }

    /// Reads all records whose key starts with `prefix`.
    ///
    /// The records may come in several pages, which are read one after another. The revision is
    /// that of the first page, so that a watch from that revision on also reports the changes that
    /// happened during the read.
    pub async fn range(&self, prefix: &str) -> Result<Page, StoreError> {
        let mut all = Page::default();
        let mut after = String::new();
        loop {
            let mut path = format!("/api/kv-range?path_prefix={}", escape_query(prefix));
            if !after.is_empty() {
                path = format!("{path}&after={}", escape_query(&after));
            }
            let page: RawPage = self.call(Method::GET, &path, Bytes::new()).await?;
            if all.revision == 0 {
                all.revision = page.as_of;
            }
            for raw in page.items {
                all.items.push(raw.try_into()?);
            }
            match all.items.last() {
                Some(last) if page.truncated => after = last.key.clone(),
                _ => return Ok(all),
            }
        }
    }

    /// Waits at most `wait` for changes after the revision `after` of records whose key starts with
    /// `prefix`.
    ///
    /// A store that was unreachable may have lost its watches. A watch therefore ends when another
    /// call shows that the store is reachable after a failure.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let (prefix, wait_ms) = (escape_query(prefix), wait.as_millis());
        let path = format!("/api/kv-watch?path_prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let mut recoveries = self.recoveries.subscribe();
        let time_limit = wait + WATCH_MARGIN;
        let response = tokio::select! {
            response = self.attempt(Method::GET, &path, Bytes::new(), time_limit) => response,
            _ = recoveries.changed() => return Ok(WatchResult::Missed),
        };
        match response.and_then(|(status, body)| parse_response::<RawEvents>(status, &body)) {
            Ok(raw) => {
                let events = raw.events.into_iter().map(|raw| match raw.removed {
                    true => Ok(Event::Removed(raw.key)),
                    false => Item::try_from(raw).map(Event::Put),
                });
                Ok(WatchResult::Events(events.collect::<Result<_, _>>()?, raw.as_of))
            }
            Err(StoreError::Refused(StatusCode::GONE)) => Ok(WatchResult::Missed),
            Err(err) => Err(err),
        }
    }

    /// Writes records, if the record of `key` has the revision `expected`; zero if there must be no
    /// record.
    pub async fn put_if(
        &self,
        key: &str,
        expected: u64,
        puts: &[Put<'_>],
    ) -> Result<PutResult, StoreError> {
        let puts = puts.iter().map(|put| RawPut {
            key: put.key,
            value: STANDARD.encode(put.value),
            lease: put.lease,
        });
        let txn = RawTxn {
            precondition: vec![RawCondition { key, revision: expected }],
            puts: puts.collect(),
            delete: Vec::new(),
        };
        let body = serde_json::to_vec(&txn).unwrap_or_default().into();
        let result = self.call(Method::POST, "/api/kv-txn", body).await;
        match result {
            Ok(RawRevision { revision }) => Ok(PutResult::Done(revision)),
            Err(StoreError::Refused(StatusCode::PRECONDITION_FAILED)) => Ok(PutResult::Conflict),
            Err(StoreError::Refused(StatusCode::NOT_FOUND)) => Ok(PutResult::NoLease),
            Err(err) => Err(err),
        }
    }

    /// Grants a lease with the given TTL and returns its number.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        let body = serde_json::to_vec(&RawTtl { ttl_ms: ttl.as_millis() as u64 });
        let body = body.unwrap_or_default().into();
        let raw: RawLease = self.call(Method::POST, "/api/kv-lease", body).await?;
        Ok(raw.lease)
    }

    /// Renews a lease. Returns whether the lease still exists.
    pub async fn renew(&self, lease: u64) -> Result<bool, StoreError> {
        let path = format!("/api/kv-keep/{lease}");
        match self.call::<serde_json::Value>(Method::POST, &path, Bytes::new()).await {
            Ok(_) => Ok(true),
            Err(StoreError::Refused(StatusCode::NOT_FOUND)) => Ok(false),
            Err(err) => Err(err),
        }
    }

    /// Ends a lease and deletes the records that have it.
    pub async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/api/kv-lease-end/{lease}");
        let result = self.exchange(Method::DELETE, &path, Bytes::new()).await;
        result.map(|_| ())
    }

    /// Makes a call and parses the response.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, StoreError> {
        let (status, body) = self.exchange(method, path, body).await?;
        parse_response(status, &body)
    }

    /// Makes a call and records whether the store is reachable.
    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let mut guard = UnreachableGuard { flag: Some(&self.unreachable) };
        let response = self.attempt(method, path, body, self.timeout).await?;
        if !response.0.is_server_error() {
            guard.flag = None;
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
    ) -> Result<(StatusCode, Bytes), StoreError> {
        metrics::counter!("cardamomshore_store_calls_total").increment(1);
        let exchange = async {
            let mut connection = self.pool.acquire(self.address, CONNECT_TIMEOUT).await?;
            let request = self.request(method, path, body);
            let response = connection.send(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|err| StoreError::Unknown(err.to_string()))?.to_bytes();
            self.pool.release(connection, KEEP_ALIVE);
            Ok((status, body))
        };
        let result = timeout(time_limit, exchange).await;
        result.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".to_owned())))
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

/// Parses the response to a call that succeeded.
fn parse_response<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, StoreError> {
    if !status.is_success() {
        return Err(StoreError::Refused(status));
    }
    serde_json::from_slice(body).map_err(|err| StoreError::Parse(err.to_string()))
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
