//! A request on its way to an endpoint.

use bytes::Bytes;

/// A request on its way to an endpoint. It names the team and never carries the caller's key.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Work {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Team for which it runs; empty on open routes.
    #[prost(string, tag = "2")]
    pub team: String,
    /// Class of the request.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Endpoint at which it is to run.
    #[prost(string, tag = "4")]
    pub endpoint: String,
    /// Model, or empty for a plain service.
    #[prost(string, tag = "5")]
    pub model: String,
    /// Plain service, or empty for a model.
    #[prost(string, tag = "6")]
    pub service: String,
    /// HTTP method.
    #[prost(string, tag = "7")]
    pub method: String,
    /// Path and query at the endpoint.
    #[prost(string, tag = "8")]
    pub path: String,
    /// Headers that may be forwarded.
    #[prost(message, repeated, tag = "9")]
    pub headers: Vec<Header>,
    /// Whole body.
    #[prost(bytes = "bytes", tag = "10")]
    pub body: Bytes,
    /// Time left until the caller's deadline, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub remaining_ms: u64,
    /// Time that passed since the caller's request arrived, in milliseconds.
    #[prost(uint64, tag = "12")]
    pub waited_ms: u64,
    /// Tokens of prompt and answer together.
    #[prost(uint64, tag = "13")]
    pub tokens: u64,
    /// Idempotency key of a non-repeatable request, or empty.
    #[prost(string, tag = "14")]
    pub idempotency_key: String,
    /// Whether the caller asked for a stream of events.
    #[prost(bool, tag = "15")]
    pub stream: bool,
    /// Adapter, or empty.
    #[prost(string, tag = "16")]
    pub adapter: String,
    /// Hash of model and body, by which a request that crashes endpoints is recognized.
    #[prost(fixed64, tag = "17")]
    pub fingerprint: u64,
    /// Events of the answer that an earlier attempt already delivered.
    #[prost(uint64, tag = "18")]
    pub offset: u64,
    /// Hash of the prompt's prefix, by which caches are found.
    #[prost(fixed64, tag = "19")]
    pub prefix_hash: u64,
    /// Operators' handle of the key under which it was admitted; never the key itself.
    #[prost(string, tag = "31")]
    pub key_handle: String,
    /// Version of the configuration under which it was admitted.
    #[prost(uint64, tag = "32")]
    pub config_version: u64,
    /// Ids of the crashes at which an earlier attempt was in flight.
    #[prost(fixed64, repeated, tag = "30")]
    pub crashes: Vec<u64>,
}

/// An HTTP header.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Header {
    /// Name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}
