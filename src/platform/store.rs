//! Client of the platform's metadata store.

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
use http_body_util::{BodyExt, Full};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{sync::watch, time::timeout};

use crate::http::pool::{Pool, SendError};

/// Longest time for a connection to the store to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle connection to the store is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Time that a watch may take beyond its own wait.
const WATCH_MARGIN: Duration = Duration::from_millis(1_500);

/// Why a call failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// The call did nothing.
    #[error("store not reached: {0}")]
    NotSent(String),
    /// The call may have taken effect, or may take effect later.
    #[error("store's answer lost: {0}")]
    Unknown(String),
    /// The store refused the call.
    #[error("store answered {0}")]
    Refused(StatusCode),
    /// The answer cannot be read.
    #[error("store's answer cannot be read: {0}")]
    Parse(String),
}

impl From<SendError> for StoreError {
    fn from(err: SendError) -> Self {
        match err {
            SendError::NotSent(text) => StoreError::NotSent(text),
            SendError::Unknown(text) => StoreError::Unknown(text),
        }
    }
}

/// A record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of the last write.
    pub revision: u64,
    /// Revision of the creation.
    pub created: u64,
}

/// Records read together, and the store's revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Records in the order of their keys.
    pub items: Vec<Item>,
    /// Revision of the store.
    pub revision: u64,
}

/// A change of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The record was written.
    Put(Item),
    /// The record is gone.
    Removed(String),
}

/// What a watch brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Changes, perhaps none, up to this revision.
    Events(Vec<Event>, u64),
    /// Changes may have been missed; everything must be read again.
    Missed,
}

/// How a write under a condition ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It took effect at this revision.
    Done(u64),
    /// The condition did not hold.
    Conflict,
    /// The lease has ended.
    NoLease,
}

/// A write.
#[derive(Clone, Copy, Debug)]
pub struct Put<'a> {
    /// Key.
    pub key: &'a str,
    /// Value.
    pub value: &'a [u8],
    /// Lease with which the record ends; zero for none.
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

/// Client of the store.
pub struct Store {
    pool: Arc<Pool>,
    address: SocketAddr,
    timeout: Duration,
    /// Whether the last call got no answer of use.
    unreachable: AtomicBool,
    /// Counts how often the store answered again.
    recoveries: watch::Sender<u64>,
}

/// Notes that the store is away unless an answer comes, also where the caller stops waiting.
struct UnreachableGuard<'a> {
    flag: Option<&'a AtomicBool>,
}

impl Drop for UnreachableGuard<'_> {
    fn drop(&mut self) {
        if let Some(away) = self.flag {
            away.store(true, Ordering::Relaxed);
        }
    }
}

impl Store {
    /// Creates a client whose calls, watches aside, take at most `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        let (returns, _) = watch::channel(0);
        Self {
            pool: Arc::default(),
            address,
            timeout: limit,
            unreachable: AtomicBool::new(false),
            recoveries: returns,
        }
    }

    /// Reads one record.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        let path = format!("/api/kv-key?key={}", escape_query(key));
        match self.call::<RawItem>(Method::GET, &path, Bytes::new()).await {
            Ok(raw) => raw.try_into().map(Some),
            Err(StoreError::Refused(StatusCode::NOT_FOUND)) => Ok(None),
            Err(err) => Err(err),
        }
    }

    /// Reads all records whose key begins with `prefix`.
    ///
    /// The pages are read one after another; the revision is that of the first, so that a watch
    /// from there on repeats what changed meanwhile.
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

    /// Waits for changes of records whose key begins with `prefix`.
    ///
    /// A store that was away may have forgotten its watches, so they end once another call shows
    /// that it is back.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let (prefix, wait_ms) = (escape_query(prefix), wait.as_millis());
        let path = format!("/api/kv-watch?path_prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let mut returns = self.recoveries.subscribe();
        let limit = wait + WATCH_MARGIN;
        let answer = tokio::select! {
            answer = self.attempt(Method::GET, &path, Bytes::new(), limit) => answer,
            _ = returns.changed() => return Ok(WatchResult::Missed),
        };
        match answer.and_then(|(status, body)| parse_response::<RawEvents>(status, &body)) {
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

    /// Writes records if the record `key` has the revision `expected`; zero stands for an absent one.
    pub async fn put_if(
        &self,
        key: &str,
        expected: u64,
        puts: &[Put<'_>],
    ) -> Result<Written, StoreError> {
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
        let written = self.call(Method::POST, "/api/kv-txn", body).await;
        match written {
            Ok(RawRevision { revision }) => Ok(Written::Done(revision)),
            Err(StoreError::Refused(StatusCode::PRECONDITION_FAILED)) => Ok(Written::Conflict),
            Err(StoreError::Refused(StatusCode::NOT_FOUND)) => Ok(Written::NoLease),
            Err(err) => Err(err),
        }
    }

    /// Grants a lease.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        let body = serde_json::to_vec(&RawTtl { ttl_ms: ttl.as_millis() as u64 });
        let body = body.unwrap_or_default().into();
        let raw: RawLease = self.call(Method::POST, "/api/kv-lease", body).await?;
        Ok(raw.lease)
    }

    /// Renews a lease and returns whether it still exists.
    pub async fn renew(&self, lease: u64) -> Result<bool, StoreError> {
        let path = format!("/api/kv-keep/{lease}");
        match self.call::<serde_json::Value>(Method::POST, &path, Bytes::new()).await {
            Ok(_) => Ok(true),
            Err(StoreError::Refused(StatusCode::NOT_FOUND)) => Ok(false),
            Err(err) => Err(err),
        }
    }

    /// Ends a lease and removes the records that are attached to it.
    pub async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/api/kv-lease-end/{lease}");
        let ended = self.exchange(Method::DELETE, &path, Bytes::new()).await;
        ended.map(|_| ())
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, StoreError> {
        let (status, body) = self.exchange(method, path, body).await?;
        parse_response(status, &body)
    }

    /// Calls the store and notes whether it is there.
    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let mut unanswered = UnreachableGuard { flag: Some(&self.unreachable) };
        let answer = self.attempt(method, path, body, self.timeout).await?;
        if !answer.0.is_server_error() {
            unanswered.flag = None;
            if self.unreachable.swap(false, Ordering::Relaxed) {
                self.recoveries.send_modify(|count| *count += 1);
            }
        }
        Ok(answer)
    }

    async fn attempt(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        metrics::counter!("cardamomshore_store_calls_total").increment(1);
        let exchange = async {
            let mut connection = self.pool.acquire(self.address, CONNECT_TIMEOUT).await?;
            let request = self.request(method, path, body);
            let answer = connection.send(request).await?;
            let status = answer.status();
            let body = answer.into_body().collect().await;
            let body = body.map_err(|err| StoreError::Unknown(err.to_string()))?.to_bytes();
            self.pool.release(connection, KEEP_ALIVE);
            Ok((status, body))
        };
        let timed = timeout(limit, exchange).await;
        timed.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".to_owned())))
    }

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

fn parse_response<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, StoreError> {
    if !status.is_success() {
        return Err(StoreError::Refused(status));
    }
    serde_json::from_slice(body).map_err(|err| StoreError::Parse(err.to_string()))
}

/// Escapes what a query cannot hold.
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
