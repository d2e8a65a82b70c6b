//! Client of the platform's key-value service, which speaks the protocol of etcd v3's HTTP/JSON
//! gateway, and of the instance list.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use volo_http::body::Body;

use super::{encoding::*, list::InstanceList};
use crate::{
    clock::Time,
    http::{ClientLimits, HttpError, call_json, client, send},
    kernel::retry::RetryBudget,
};

/// Timeout of a call other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time without a message before a watch counts as lost.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest wait before a read is retried. The waits are random, so that many instances don't retry
/// at once.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Why a call to the platform failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    /// The call was not sent, so it took no effect.
    #[error("the platform cannot be reached: {0}")]
    NotSent(String),
    /// There is no complete response, so the call may have taken effect.
    #[error("no answer from the platform, the call may have taken effect: {0}")]
    Unknown(String),
    /// The service refused the call, so it took no effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
}

impl From<HttpError> for PlatformError {
    fn from(err: HttpError) -> Self {
        match err {
            HttpError::Connect(text) => PlatformError::NotSent(text),
            HttpError::Status(status, text) if status.is_client_error() => {
                PlatformError::Refused(format!("{status} {text}"))
            }
            other => PlatformError::Unknown(other.to_string()),
        }
    }
}

/// Number of a lease.
pub type LeaseId = i64;

/// A record of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kv {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: Vec<u8>,
    /// Revision of the last write to the record.
    pub revision: i64,
    /// Lease with which the record ends; zero if it has none.
    pub lease: LeaseId,
}

/// Records that were read at the same revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Records in the order of their keys.
    pub kvs: Vec<Kv>,
    /// Revision of the service at the time of the read.
    pub revision: i64,
}

/// A record to write in a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// Key of the record.
    pub key: String,
    /// Value of the record.
    pub value: Vec<u8>,
    /// Lease with which the record ends; zero if it has none.
    pub lease: LeaseId,
}

/// A transaction. If each expected record has its revision, all writes and deletions take effect
/// together; otherwise none does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Keys of the expected records with their revisions; zero if there must be no record.
    pub expect: Vec<(String, i64)>,
    /// Records to write.
    pub puts: Vec<Put>,
    /// Keys of the records to delete.
    pub deletes: Vec<String>,
}

/// Reply to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether the transaction took effect.
    pub succeeded: bool,
    /// Revision of the service after the transaction.
    pub revision: i64,
    /// The current records of the expected keys, if the transaction took no effect.
    pub current: Vec<Kv>,
}

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A record was created or overwritten.
    Put(Kv),
    /// The record with this key was deleted, or its lease ended.
    Delete(String),
}

/// Client of the key-value service and of the instance list.
pub struct Client {
    /// HTTP client with its connections.
    http: volo_http::client::Client,
    /// Servers of the key-value service.
    servers: Vec<SocketAddr>,
    /// Server of the instance list.
    list: SocketAddr,
    /// Index of the server in use, modulo the number of servers; grows after each failed call.
    next_server: AtomicUsize,
    /// Budget of the retries of reads.
    retries: Mutex<RetryBudget>,
    /// When the latest successful call to the key-value service was sent; zero before the first.
    last_contact: AtomicU64,
}

impl Client {
    /// Creates a client of these servers of the key-value service and this server of the list.
    pub fn new(servers: Vec<SocketAddr>, list: SocketAddr) -> Self {
        let limits = ClientLimits {
            connect_timeout: Duration::from_millis(500),
            io_timeout: WATCH_IDLE_TIMEOUT,
            max_idle: 8,
        };
        Self {
            http: client(limits),
            servers,
            list,
            next_server: AtomicUsize::new(0),
            retries: Mutex::default(),
            last_contact: AtomicU64::new(0),
        }
    }

    /// Reads the record of a key; `None` if there is none.
    pub async fn get(&self, key: &str) -> Result<Option<Kv>, PlatformError> {
        let request = RangeJson { key: Base64(key.into()), range_end: None };
        let reply = self.read_range(&request).await?;
        Ok(reply.kvs.into_iter().next().map(decode_kv))
    }

    /// Reads all records whose key starts with `prefix`.
    pub async fn range(&self, prefix: &str) -> Result<Snapshot, PlatformError> {
        let range_end = Some(Base64(range_end(prefix.as_bytes())));
        let request = RangeJson { key: Base64(prefix.into()), range_end };
        let reply = self.read_range(&request).await?;
        let kvs = reply.kvs.into_iter().map(decode_kv).collect();
        Ok(Snapshot { kvs, revision: reply.header.revision.0 })
    }

    /// Runs a transaction once. After [`PlatformError::Unknown`] it may have taken effect.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnReply, PlatformError> {
        let reply: TxnReplyJson = self.call("txn", "/v3/kv/txn", &encode_txn(txn)).await?;
        let ranges = reply.responses.into_iter().filter_map(|op| op.response_range);
        let current = ranges.flat_map(|range| range.kvs).map(decode_kv).collect();
        Ok(TxnReply { succeeded: reply.succeeded, revision: reply.header.revision.0, current })
    }

    /// Writes a record, if the record of its key has the revision `expected`.
    ///
    /// The value must be unique to the writer, as for [`Client::commit`].
    pub async fn put_if(&self, put: Put, expected: i64) -> Result<TxnReply, PlatformError> {
        let expect = vec![(put.key.clone(), expected)];
        self.commit(&Txn { expect, puts: vec![put], deletes: Vec::new() }).await
    }

    /// Runs a transaction whose first expected key is also the first key that it writes.
    ///
    /// If the response is lost, that record is read back to tell whether the transaction took
    /// effect. Its value must therefore be unique to the writer, for example because it contains a
    /// random number.
    pub async fn commit(&self, txn: &Txn) -> Result<TxnReply, PlatformError> {
        match self.txn(txn).await {
            Err(PlatformError::Unknown(reason)) => match (txn.puts.first(), txn.expect.first()) {
                (Some(put), Some((_, expected))) => self.resolve_unknown(put, *expected).await,
                _ => Err(PlatformError::Unknown(reason)),
            },
            other => other,
        }
    }

    /// Reads back whether a write whose response was lost has taken effect.
    async fn resolve_unknown(&self, put: &Put, expected: i64) -> Result<TxnReply, PlatformError> {
        let current = self.get(&put.key).await;
        match current.map_err(|err| PlatformError::Unknown(err.to_string()))? {
            Some(kv) if kv.value == put.value => {
                Ok(TxnReply { succeeded: true, revision: kv.revision, current: Vec::new() })
            }
            Some(kv) if kv.revision != expected => {
                Ok(TxnReply { succeeded: false, revision: kv.revision, current: vec![kv] })
            }
            _ => Err(PlatformError::Unknown("the write may still arrive".to_owned())),
        }
    }

    /// Grants a lease and returns its number. The TTL is rounded up to whole seconds.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let ttl = Int(ttl.as_millis().div_ceil(1_000) as i64);
        let request = LeaseJson { id: Int(0), ttl };
        let reply: LeaseJson = self.call("grant", "/v3/lease/grant", &request).await?;
        Ok(reply.id.0)
    }

    /// Renews a lease. Returns whether the lease still exists.
    pub async fn renew(&self, lease: LeaseId) -> Result<bool, PlatformError> {
        let request = LeaseJson { id: Int(lease), ttl: Int(0) };
        let reply: StreamReply<LeaseJson> =
            self.call("renew", "/v3/lease/keepalive", &request).await?;
        Ok(reply.result.ttl.0 > 0)
    }

    /// Ends a lease and deletes the records that have it.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let request = LeaseJson { id: Int(lease), ttl: Int(0) };
        let _: serde_json::Value = self.call("revoke", "/v3/lease/revoke", &request).await?;
        Ok(())
    }

    /// Opens a watch of all records whose key starts with `prefix`, from the revision `from` on.
    pub async fn watch(&self, prefix: &str, from: i64) -> Result<Watch, PlatformError> {
        let create_request = WatchCreate {
            key: Base64(prefix.into()),
            range_end: Base64(range_end(prefix.as_bytes())),
            start_revision: Int(from),
        };
        let body = serde_json::to_vec(&WatchJson { create_request }).unwrap_or_default();
        count_call("watch");
        let url = format!("{}/v3/watch", self.server_url());
        let response = send(&self.http, Method::POST, &url, HeaderMap::new(), body.into()).await?;
        if !response.status().is_success() {
            return Err(PlatformError::Unknown(format!("status {}", response.status())));
        }
        Ok(Watch { body: response.into_body(), buffer: BytesMut::new() })
    }

    /// Reads the instance list.
    pub async fn fetch_list(&self) -> Result<InstanceList, PlatformError> {
        let url = format!("http://{}/list", self.list);
        Ok(call_json(&self.http, Method::GET, &url, &(), CALL_TIMEOUT).await?)
    }

    /// Reads a range of records, with one retry if there is no response and the retry budget allows
    /// it.
    async fn read_range(&self, request: &RangeJson) -> Result<RangeReply, PlatformError> {
        self.retries.lock().record_request();
        let first = self.call("range", "/v3/kv/range", request).await;
        if !matches!(first, Err(PlatformError::NotSent(_) | PlatformError::Unknown(_))) {
            return first;
        }
        if !self.retries.lock().take() {
            return first;
        }
        let backoff = MAX_RETRY_BACKOFF.mul_f64(rand::random_range(0.1..1.0));
        tokio::time::sleep(backoff).await;
        self.call("range", "/v3/kv/range", request).await
    }

    /// Makes a call. After a failure the next call goes to the next server.
    async fn call<T: DeserializeOwned>(
        &self,
        kind: &'static str,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, PlatformError> {
        count_call(kind);
        let url = format!("{}{path}", self.server_url());
        let sent_at = Time::now();
        let reply = call_json(&self.http, Method::POST, &url, request, CALL_TIMEOUT).await;
        match &reply {
            Ok(_) => self.last_contact.fetch_max(sent_at.0, Ordering::Relaxed),
            Err(_) => self.next_server.fetch_add(1, Ordering::Relaxed) as u64,
        };
        Ok(reply?)
    }

    /// Returns when the latest call was sent to which the key-value service has responded.
    pub fn last_contact(&self) -> Time {
        Time(self.last_contact.load(Ordering::Relaxed))
    }

    /// Returns the base URL of the server in use.
    fn server_url(&self) -> String {
        let next = self.next_server.load(Ordering::Relaxed);
        crate::http::base_url(self.servers[next % self.servers.len()])
    }
}

/// Counts a call by its kind.
fn count_call(kind: &'static str) {
    metrics::counter!("cardamomshore_platform_calls_total", "kind" => kind).increment(1);
}

/// Decodes a record.
fn decode_kv(json: KvJson) -> Kv {
    Kv {
        key: String::from_utf8_lossy(&json.key.0).into_owned(),
        value: json.value.0,
        revision: json.mod_revision.0,
        lease: json.lease.0,
    }
}

/// Encodes a transaction. If its conditions are not met, it reads the expected records instead.
fn encode_txn(txn: &Txn) -> TxnJson {
    let compare = txn.expect.iter().map(|(key, revision)| CompareJson {
        key: Base64(key.clone().into()),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: Int(*revision),
    });
    let puts = txn.puts.iter().map(|put| PutJson {
        key: Base64(put.key.clone().into()),
        value: Base64(put.value.clone()),
        lease: Int(put.lease),
    });
    let deletes = txn.deletes.iter().map(|key| DeleteJson { key: Base64(key.clone().into()) });
    let expected_reads = txn
        .expect
        .iter()
        .map(|(key, _)| RangeJson { key: Base64(key.clone().into()), range_end: None });
    let mut success: Vec<OpJson> =
        puts.map(|put| OpJson { request_put: Some(put), ..OpJson::default() }).collect();
    success.extend(
        deletes.map(|delete| OpJson { request_delete_range: Some(delete), ..OpJson::default() }),
    );
    let failure = expected_reads
        .map(|read| OpJson { request_range: Some(read), ..OpJson::default() })
        .collect();
    TxnJson { compare: compare.collect(), success, failure }
}

/// An open watch.
pub struct Watch {
    /// The response, in which the service sends one message in each line.
    body: Body,
    /// Bytes that have arrived but do not form a whole line.
    buffer: BytesMut,
}

impl Watch {
    /// Waits for the next changes and returns them with the revision of the service.
    ///
    /// The service sends an empty set of changes as a heartbeat. An error ends the watch; the
    /// caller must then read all records again, since changes may have been missed.
    pub async fn next(&mut self) -> Result<(Vec<Change>, i64), PlatformError> {
        loop {
            if let Some(line) = self.take_line() {
                return parse_watch(&line);
            }
            let frame = tokio::time::timeout(WATCH_IDLE_TIMEOUT, self.body.frame()).await;
            let frame = frame
                .map_err(|_| PlatformError::Unknown("watch was silent for too long".into()))?;
            let frame = frame.ok_or_else(|| PlatformError::Unknown("watch ended".into()))?;
            let frame = frame.map_err(|err| PlatformError::Unknown(err.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Takes the next whole line from the buffer.
    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        Some(line)
    }
}

/// Parses a message of a watch.
fn parse_watch(line: &[u8]) -> Result<(Vec<Change>, i64), PlatformError> {
    let reply: StreamReply<WatchReply> =
        serde_json::from_slice(line).map_err(|err| PlatformError::Unknown(err.to_string()))?;
    let reply = reply.result;
    if reply.canceled || reply.compact_revision.0 > 0 {
        return Err(PlatformError::Unknown("watch missed changes".to_owned()));
    }
    let changes = reply.events.into_iter().map(|event| match event.kind.as_str() {
        "DELETE" => Change::Delete(decode_kv(event.kv).key),
        _ => Change::Put(decode_kv(event.kv)),
    });
    Ok((changes.collect(), reply.header.revision.0))
}
