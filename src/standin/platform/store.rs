//! Key-value store of the platform's stand-in, with revisions, transactions, leases and a change
//! log.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bytes::Bytes;
use serde_json::{Value, json, to_value};

use crate::{clock::Time, platform::encoding::*};

/// Request to start a watch.
pub type WatchRequest = WatchJson;

/// Value of a key.
struct Record {
    value: Vec<u8>,
    /// Revision of the last write.
    revision: i64,
    /// Lease whose end deletes the record, or zero.
    lease: i64,
}

/// A lease that was granted and has not expired.
struct Lease {
    ttl: Duration,
    expires_at: Time,
}

/// A change in the change log.
struct LoggedEvent {
    revision: i64,
    event: EventJson,
}

/// Position of a watch in the change log.
pub struct Cursor {
    /// First watched key.
    key: Vec<u8>,
    /// End of the watched keys, which is not watched itself.
    end: Vec<u8>,
    /// First revision that was not read yet.
    next_revision: i64,
}

/// State of the store.
#[derive(Default)]
pub struct Store {
    records: BTreeMap<Vec<u8>, Record>,
    /// Leases by id.
    leases: HashMap<i64, Lease>,
    /// All changes, by revision.
    log: Vec<LoggedEvent>,
    /// Revision of the last change.
    revision: i64,
    /// Id of the last lease that was granted.
    last_lease: i64,
    /// Number of calls of each kind.
    pub counts: BTreeMap<String, u64>,
}

impl Store {
    /// Counts a call of this kind.
    pub fn record_call(&mut self, kind: &str) {
        *self.counts.entry(kind.to_owned()).or_default() += 1;
    }

    /// Executes a call and returns its response, or the text of an error.
    pub fn call(&mut self, path: &str, body: &[u8]) -> Result<Value, String> {
        self.record_call(path.rsplit('/').next().unwrap_or(path));
        match path {
            "/v3/kv/range" => self.range(&parse(body)?),
            "/v3/kv/txn" => self.transact(parse(body)?),
            "/v3/lease/grant" => Ok(self.grant(parse(body)?)),
            "/v3/lease/keepalive" => Ok(self.renew(parse(body)?)),
            "/v3/lease/revoke" => Ok(self.revoke(parse(body)?)),
            _ => Err(format!("no such call: {path}")),
        }
    }

    /// Returns the header of a response, with the current revision.
    fn header(&self) -> HeaderJson {
        HeaderJson { revision: Int(self.revision) }
    }

    /// Returns the records of one key or of a range of keys.
    fn read_range(&self, request: &RangeJson) -> RangeReply {
        let key = &request.key.0;
        let kvs = match &request.range_end {
            None => self.records.get(key).map(|r| kv(key, r)).into_iter().collect(),
            Some(end) => {
                self.records.range(key.clone()..end.0.clone()).map(|(k, r)| kv(k, r)).collect()
            }
        };
        RangeReply { header: self.header(), kvs }
    }

    /// Executes a read of a key or a range of keys.
    fn range(&self, request: &RangeJson) -> Result<Value, String> {
        to_value(self.read_range(request)).map_err(|err| err.to_string())
    }

    /// Executes a transaction; fails if a put names a lease that does not exist.
    fn transact(&mut self, txn: TxnJson) -> Result<Value, String> {
        let is_unchanged = |c: &CompareJson| {
            let revision = self.records.get(&c.key.0).map_or(0, |r| r.revision);
            revision == c.mod_revision.0
        };
        let succeeded = txn.compare.iter().all(is_unchanged);
        let operations = if succeeded { txn.success } else { txn.failure };
        let writes = operations.iter().any(|operation| operation.request_range.is_none());
        if let Some(lease) = self.missing_lease(&operations) {
            return Err(format!("requested lease not found: {lease}"));
        }
        if writes {
            self.revision += 1;
        }
        let responses = operations.into_iter().map(|operation| self.apply(operation)).collect();
        let reply = TxnReplyJson { header: self.header(), succeeded, responses };
        to_value(reply).map_err(|err| err.to_string())
    }

    /// Returns the first lease that a put names and that does not exist.
    fn missing_lease(&self, operations: &[OpJson]) -> Option<i64> {
        let leases = operations
            .iter()
            .filter_map(|operation| operation.request_put.as_ref())
            .map(|put| put.lease.0);
        leases.filter(|lease| *lease != 0).find(|lease| !self.leases.contains_key(lease))
    }

    /// Applies one operation of a transaction.
    fn apply(&mut self, operation: OpJson) -> OpReply {
        if let Some(put) = operation.request_put {
            self.put(put);
        }
        if let Some(delete) = operation.request_delete_range {
            self.delete(&delete.key.0);
        }
        OpReply { response_range: operation.request_range.map(|read| self.read_range(&read)) }
    }

    /// Writes a record at the current revision and logs the change.
    fn put(&mut self, put: PutJson) {
        let record = Record { value: put.value.0, revision: self.revision, lease: put.lease.0 };
        let event = EventJson { kind: "PUT".to_owned(), kv: kv(&put.key.0, &record) };
        self.records.insert(put.key.0, record);
        self.log.push(LoggedEvent { revision: self.revision, event });
    }

    /// Deletes a record, if it exists, and logs the change.
    fn delete(&mut self, key: &[u8]) {
        if self.records.remove(key).is_none() {
            return;
        }
        let kv = KvJson {
            key: Base64(key.to_vec()),
            mod_revision: Int(self.revision),
            ..KvJson::default()
        };
        let event = EventJson { kind: "DELETE".to_owned(), kv };
        self.log.push(LoggedEvent { revision: self.revision, event });
    }

    /// Grants a new lease.
    fn grant(&mut self, request: LeaseJson) -> Value {
        self.last_lease += 1;
        let ttl = Duration::from_secs(request.ttl.0.max(1) as u64);
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: Time::now() + ttl });
        json!(LeaseJson { id: Int(self.last_lease), ttl: request.ttl })
    }

    /// Renews a lease; the reply has a TTL of zero if the lease does not exist.
    fn renew(&mut self, request: LeaseJson) -> Value {
        let ttl = match self.leases.get_mut(&request.id.0) {
            Some(lease) => {
                lease.expires_at = Time::now() + lease.ttl;
                lease.ttl.as_secs() as i64
            }
            None => 0,
        };
        json!(StreamReply { result: LeaseJson { id: request.id, ttl: Int(ttl) } })
    }

    /// Ends a lease before it expires.
    fn revoke(&mut self, request: LeaseJson) -> Value {
        self.end_lease(request.id.0);
        json!({})
    }

    /// Ends a lease and deletes the records that are attached to it.
    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let attached = self.records.iter().filter(|(_, r)| r.lease == id);
        let keys: Vec<Vec<u8>> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }

    /// Ends the leases that have expired; returns whether there were any.
    pub fn expire_leases(&mut self) -> bool {
        let now = Time::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let ids: Vec<i64> = ended.map(|(id, _)| *id).collect();
        for id in &ids {
            self.end_lease(*id);
        }
        !ids.is_empty()
    }

    /// Starts a watch and returns its position in the change log.
    pub fn open_watch(&self, request: &WatchRequest) -> Cursor {
        let create = &request.create_request;
        let next = match create.start_revision.0 {
            0 => self.revision + 1,
            revision => revision,
        };
        Cursor { key: create.key.0.clone(), end: create.range_end.0.clone(), next_revision: next }
    }

    /// Returns the next line of a watch, or `None` if no watched key has changed.
    pub fn next_watch_line(&self, cursor: &mut Cursor) -> Option<Bytes> {
        let is_watched = |l: &&LoggedEvent| {
            let key = &l.event.kv.key.0;
            l.revision >= cursor.next_revision && *key >= cursor.key && *key < cursor.end
        };
        let events: Vec<EventJson> =
            self.log.iter().filter(is_watched).map(|l| l.event.clone()).collect();
        cursor.next_revision = self.revision + 1;
        (!events.is_empty()).then(|| self.watch_line(events))
    }

    /// Returns the line of a watch without changes.
    pub fn heartbeat_line(&self) -> Bytes {
        self.watch_line(Vec::new())
    }

    /// Returns one line of a watch's response with these changes.
    fn watch_line(&self, events: Vec<EventJson>) -> Bytes {
        let result = WatchReply { header: self.header(), events, ..WatchReply::default() };
        let mut line = serde_json::to_vec(&StreamReply { result }).unwrap_or_default();
        line.push(b'\n');
        line.into()
    }
}

/// Returns a record in the form of the store's interface.
fn kv(key: &[u8], record: &Record) -> KvJson {
    KvJson {
        key: Base64(key.to_vec()),
        value: Base64(record.value.clone()),
        mod_revision: Int(record.revision),
        lease: Int(record.lease),
    }
}

/// Parses the body of a call.
fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|err| err.to_string())
}
