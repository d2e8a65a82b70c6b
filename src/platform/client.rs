//! Client of the key-value service, which speaks the etcd v3 HTTP/JSON gateway's protocol.

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

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest wait before a read is tried again; the waits of many instances are spread over it.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Why a call failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PlatformError {
    /// The call took no effect.
    #[error("platform not reached: {0}")]
    NotSent(String),
    /// The call may have taken effect.
    #[error("platform's answer lost: {0}")]
    Unknown(String),
    /// The service refused the call.
    #[error("platform refused: {0}")]
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

/// A lease by its number.
pub type LeaseId = i64;

/// A record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kv {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last write to the record.
    pub revision: i64,
    /// Lease to which the record is attached; zero for none.
    pub lease: LeaseId,
}

/// Records read at one revision of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Records in the order of their keys.
    pub kvs: Vec<Kv>,
    /// Revision of the service at the time of the read.
    pub revision: i64,
}

/// A write within a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease to which the record is attached; zero for none.
    pub lease: LeaseId,
}

/// A transaction: if every record has the expected revision, all writes happen at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Keys with the expected revision of their record; zero for an absent record.
    pub expect: Vec<(String, i64)>,
    /// Writes.
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether the writes happened.
    pub succeeded: bool,
    /// Revision of the service after the transaction.
    pub revision: i64,
    /// The records of the expected keys, where the writes did not happen.
    pub current: Vec<Kv>,
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A record was written.
    Put(Kv),
    /// A record was deleted, or its lease ended.
    Delete(String),
}

/// Client of the key-value service and of the instance list.
pub struct Client {
    http: volo_http::client::Client,
    servers: Vec<SocketAddr>,
    list: SocketAddr,
    next: AtomicUsize,
    retries: Mutex<RetryBudget>,
    last_contact: AtomicU64,
}

impl Client {
    /// Creates a client of these servers.
    pub fn new(bases: Vec<SocketAddr>, list: SocketAddr) -> Self {
        let limits = ClientLimits {
            connect_timeout: Duration::from_millis(500),
            io_timeout: WATCH_IDLE_TIMEOUT,
            max_idle: 8,
        };
        Self {
            http: client(limits),
            servers: bases,
            list,
            next: AtomicUsize::new(0),
            retries: Mutex::default(),
            last_contact: AtomicU64::new(0),
        }
    }

    /// Reads one record.
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

    /// Runs a transaction.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnReply, PlatformError> {
        let reply: TxnReplyJson = self.call("txn", "/v3/kv/txn", &encode_txn(txn)).await?;
        let ranges = reply.responses.into_iter().filter_map(|op| op.response_range);
        let current = ranges.flat_map(|range| range.kvs).map(decode_kv).collect();
        Ok(TxnReply { succeeded: reply.succeeded, revision: reply.header.revision.0, current })
    }

    /// Writes one record if it has the expected revision.
    ///
    /// `value` must be unique to the writer, as for [`Client::commit`].
    pub async fn put_if(&self, put: Put, expected: i64) -> Result<TxnReply, PlatformError> {
        let expect = vec![(put.key.clone(), expected)];
        self.commit(&Txn { expect, puts: vec![put], deletes: Vec::new() }).await
    }

    /// Runs a transaction whose first expected key is the first that it writes.
    ///
    /// A lost answer is resolved by reading that record back, so its value must be unique to the
    /// writer, for example by a random number within it.
    pub async fn commit(&self, txn: &Txn) -> Result<TxnReply, PlatformError> {
        match self.txn(txn).await {
            Err(PlatformError::Unknown(reason)) => match (txn.puts.first(), txn.expect.first()) {
                (Some(put), Some((_, expected))) => self.resolve_unknown(put, *expected).await,
                _ => Err(PlatformError::Unknown(reason)),
            },
            other => other,
        }
    }

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

    /// Grants a lease of `ttl`, rounded up to whole seconds.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let ttl = Int(ttl.as_millis().div_ceil(1_000) as i64);
        let request = LeaseJson { id: Int(0), ttl };
        let reply: LeaseJson = self.call("grant", "/v3/lease/grant", &request).await?;
        Ok(reply.id.0)
    }

    /// Renews a lease and returns whether it still exists.
    pub async fn renew(&self, lease: LeaseId) -> Result<bool, PlatformError> {
        let request = LeaseJson { id: Int(lease), ttl: Int(0) };
        let reply: StreamReply<LeaseJson> =
            self.call("renew", "/v3/lease/keepalive", &request).await?;
        Ok(reply.result.ttl.0 > 0)
    }

    /// Ends a lease and deletes the records that are attached to it.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let request = LeaseJson { id: Int(lease), ttl: Int(0) };
        let _: serde_json::Value = self.call("revoke", "/v3/lease/revoke", &request).await?;
        Ok(())
    }

    /// Watches all records whose key starts with `prefix`, from a revision on.
    pub async fn watch(&self, prefix: &str, from: i64) -> Result<Watch, PlatformError> {
        let create_request = WatchCreate {
            key: Base64(prefix.into()),
            range_end: Base64(range_end(prefix.as_bytes())),
            start_revision: Int(from),
        };
        let body = serde_json::to_vec(&WatchJson { create_request }).unwrap_or_default();
        count_call("watch");
        let url = format!("{}/v3/watch", self.server_url());
        let answer = send(&self.http, Method::POST, &url, HeaderMap::new(), body.into()).await?;
        if !answer.status().is_success() {
            return Err(PlatformError::Unknown(format!("status {}", answer.status())));
        }
        Ok(Watch { body: answer.into_body(), buffer: BytesMut::new() })
    }

    /// Reads the instance list.
    pub async fn list(&self) -> Result<InstanceList, PlatformError> {
        let url = format!("http://{}/list", self.list);
        Ok(call_json(&self.http, Method::GET, &url, &(), CALL_TIMEOUT).await?)
    }

    /// Reads a range, and once more where the answer is lost and the budget of retries allows it.
    async fn read_range(&self, request: &RangeJson) -> Result<RangeReply, PlatformError> {
        self.retries.lock().record_request();
        let first = self.call("range", "/v3/kv/range", request).await;
        if !matches!(first, Err(PlatformError::NotSent(_) | PlatformError::Unknown(_))) {
            return first;
        }
        if !self.retries.lock().take() {
            return first;
        }
        let wait = MAX_RETRY_BACKOFF.mul_f64(rand::random_range(0.1..1.0));
        tokio::time::sleep(wait).await;
        self.call("range", "/v3/kv/range", request).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        kind: &'static str,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, PlatformError> {
        count_call(kind);
        let url = format!("{}{path}", self.server_url());
        let asked = Time::now();
        let reply = call_json(&self.http, Method::POST, &url, request, CALL_TIMEOUT).await;
        match &reply {
            Ok(_) => self.last_contact.fetch_max(asked.0, Ordering::Relaxed),
            Err(_) => self.next.fetch_add(1, Ordering::Relaxed) as u64,
        };
        Ok(reply?)
    }

    /// Returns when the youngest call was made that the key-value service answered.
    pub fn last_contact(&self) -> Time {
        Time(self.last_contact.load(Ordering::Relaxed))
    }

    fn server_url(&self) -> String {
        let next = self.next.load(Ordering::Relaxed);
        crate::http::base_url(self.servers[next % self.servers.len()])
    }
}

fn count_call(kind: &'static str) {
    metrics::counter!("cardamomshore_platform_calls_total", "kind" => kind).increment(1);
}

fn decode_kv(json: KvJson) -> Kv {
    Kv {
        key: String::from_utf8_lossy(&json.key.0).into_owned(),
        value: json.value.0,
        revision: json.mod_revision.0,
        lease: json.lease.0,
    }
}

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
    let reads = txn
        .expect
        .iter()
        .map(|(key, _)| RangeJson { key: Base64(key.clone().into()), range_end: None });
    let mut success: Vec<OpJson> =
        puts.map(|put| OpJson { request_put: Some(put), ..OpJson::default() }).collect();
    success
        .extend(deletes.map(|del| OpJson { request_delete_range: Some(del), ..OpJson::default() }));
    let failure =
        reads.map(|read| OpJson { request_range: Some(read), ..OpJson::default() }).collect();
    TxnJson { compare: compare.collect(), success, failure }
}

/// An open watch.
pub struct Watch {
    body: Body,
    buffer: BytesMut,
}

impl Watch {
    /// Waits for the next changes and returns them with the service's revision.
    ///
    /// An empty set of changes is a sign of life. After an error the watch is over and the caller
    /// reads everything again, since changes may have been missed.
    pub async fn next(&mut self) -> Result<(Vec<Change>, i64), PlatformError> {
        loop {
            if let Some(line) = self.take_line() {
                return parse_watch(&line);
            }
            let frame = tokio::time::timeout(WATCH_IDLE_TIMEOUT, self.body.frame()).await;
            let frame = frame.map_err(|_| PlatformError::Unknown("watch went silent".into()))?;
            let frame = frame.ok_or_else(|| PlatformError::Unknown("watch ended".into()))?;
            let frame = frame.map_err(|err| PlatformError::Unknown(err.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|b| *b == b'\n')?;
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        Some(line)
    }
}

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
