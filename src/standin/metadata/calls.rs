//! The calls of the stand-in for the metadata store.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout_at};

use super::{Lease, MetadataStore, Record, State};
use crate::{
    clock::Time,
    standin::http1::{Body, Broken, whole_response},
};

/// Items of one page.
const PAGE_LEN: usize = 500;

/// Shortest TTL of a lease.
const MIN_TTL_MS: u64 = 1_000;

#[derive(Deserialize)]
struct RawCondition {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct RawPut {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

#[derive(Deserialize)]
struct RawTxn {
    #[serde(default)]
    precondition: Vec<RawCondition>,
    #[serde(default)]
    puts: Vec<RawPut>,
    #[serde(default)]
    delete: Vec<String>,
}

#[derive(Deserialize)]
struct RawTtl {
    ttl_ms: u64,
}

/// Status and body of a response.
struct Reply(StatusCode, Value);

impl Reply {
    fn ok(body: Value) -> Self {
        Self(StatusCode::OK, body)
    }

    fn error(status: StatusCode) -> Self {
        Self(status, json!({}))
    }
}

/// Returns a parameter of a query. The keys of this system need no escapes.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn item(key: &str, record: &Record) -> Value {
    let Record { value, revision, created, lease } = record;
    json!({ "key": key, "value": value, "revision": revision, "create_rev": created, "lease": lease })
}

impl MetadataStore {
    /// Carries out a call.
    pub(super) async fn call(&self, request: Request<Incoming>) -> Result<Response<Body>, Broken> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| Broken)?.to_bytes();
        let (path, query) = (parts.uri.path(), parts.uri.query().unwrap_or_default());
        let id = || path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let reply = match (&parts.method, path) {
            (&Method::GET, "/api/kv-key") => self.read(query),
            (&Method::GET, "/api/kv-range") => self.range(query),
            (&Method::GET, "/api/kv-watch") => {
                let mut era = self.era();
                tokio::select! {
                    reply = self.watch(query) => reply,
                    // A store that returns from a copy cuts its watches.
                    _ = era.changed() => return Err(Broken),
                }
            }
            (&Method::POST, "/api/kv-txn") => self.transact(&body),
            (&Method::POST, "/api/kv-lease") => self.grant(&body),
            (&Method::POST, path) if path.starts_with("/api/kv-keep/") => self.renew(id()),
            (&Method::DELETE, path) if path.starts_with("/api/kv-lease-end/") => self.revoke(id()),
            _ => Reply::error(StatusCode::NOT_FOUND),
        };
        Ok(whole_response(reply.0, reply.1.to_string()))
    }

    fn read(&self, query: &str) -> Reply {
        let key = parameter(query, "key").unwrap_or_default();
        let state = self.state.lock();
        let found = state.records.get(key).map(|record| Reply::ok(item(key, record)));
        found.unwrap_or_else(|| Reply::error(StatusCode::NOT_FOUND))
    }

    fn range(&self, query: &str) -> Reply {
        let prefix = parameter(query, "path_prefix").unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let state = self.state.lock();
        let found = state.records.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut found = found.filter(|(key, _)| key.as_str() > after);
        let items: Vec<Value> =
            found.by_ref().take(PAGE_LEN).map(|(key, record)| item(key, record)).collect();
        let truncated = found.next().is_some();
        Reply::ok(json!({ "items": items, "truncated": truncated, "as_of": state.revision }))
    }

    async fn watch(&self, query: &str) -> Reply {
        let number = |name| parameter(query, name).and_then(|n| n.parse().ok()).unwrap_or(0);
        let prefix = parameter(query, "path_prefix").unwrap_or_default();
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let ends_at = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if let Some(reply) = self.events_after(prefix, after) {
                return reply;
            }
            if !matches!(timeout_at(ends_at, changed.changed()).await, Ok(Ok(()))) {
                let revision = self.state.lock().revision;
                return Reply::ok(json!({ "events": [], "as_of": revision }));
            }
        }
    }

    /// Returns the events after a revision, or an error if they are forgotten; `None` if there are
    /// none yet.
    fn events_after(&self, prefix: &str, after: u64) -> Option<Reply> {
        let state = self.state.lock();
        if after < state.forgotten || after > state.revision {
            return Some(Reply::error(StatusCode::GONE));
        }
        let changes = state.changes.iter().filter(|change| change.revision > after);
        let changes = changes.filter(|change| change.key.starts_with(prefix));
        let events: Vec<Value> = changes
            .map(|change| match &change.record {
                Some(record) => item(&change.key, record),
                None => {
                    json!({ "key": change.key, "revision": change.revision, "removed": true })
                }
            })
            .collect();
        let body = json!({ "events": events, "as_of": state.revision });
        (!events.is_empty()).then(|| Reply::ok(body))
    }

    fn transact(&self, body: &Bytes) -> Reply {
        let Ok(txn) = serde_json::from_slice::<RawTxn>(body) else {
            return Reply::error(StatusCode::BAD_REQUEST);
        };
        self.update(|state| {
            state.end_leases(Time::now());
            let revision_of =
                |state: &State, key: &str| state.records.get(key).map_or(0, |r| r.revision);
            if txn.precondition.iter().any(|c| revision_of(state, &c.key) != c.revision) {
                return Reply(StatusCode::PRECONDITION_FAILED, json!({ "items": [] }));
            }
            if txn.puts.iter().any(|put| put.lease > 0 && !state.leases.contains_key(&put.lease)) {
                return Reply::error(StatusCode::NOT_FOUND);
            }
            state.revision += 1;
            for put in txn.puts {
                state.put(&put.key, put.value, put.lease);
            }
            txn.delete.iter().for_each(|key| state.delete(key));
            Reply::ok(json!({ "revision": state.revision }))
        })
    }

    fn grant(&self, body: &Bytes) -> Reply {
        let Ok(RawTtl { ttl_ms }) = serde_json::from_slice(body) else {
            return Reply::error(StatusCode::BAD_REQUEST);
        };
        let ttl_ms = ttl_ms.max(MIN_TTL_MS);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.state.lock();
        state.last_lease += 1;
        let id = state.last_lease;
        state.leases.insert(id, Lease { ttl, ends_at: Time::now() + ttl });
        Reply::ok(json!({ "lease": id, "ttl_ms": ttl_ms }))
    }

    fn renew(&self, id: u64) -> Reply {
        self.update(|state| {
            let now = Time::now();
            state.end_leases(now);
            let Some(lease) = state.leases.get_mut(&id) else {
                return Reply::error(StatusCode::NOT_FOUND);
            };
            lease.ends_at = now + lease.ttl;
            Reply::ok(json!({ "ttl_ms": lease.ttl.as_millis() as u64 }))
        })
    }

    fn revoke(&self, id: u64) -> Reply {
        self.update(|state| state.end_lease(id));
        Reply::ok(json!({}))
    }
}
