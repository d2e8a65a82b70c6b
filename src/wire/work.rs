//! A caller's request as an entry instance sends it to the steward of an endpoint.

use bytes::Bytes;

/// A caller's request to be run at an endpoint. It names the team and never carries the caller's key.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Work {
    /// Id of the request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Team that is charged for the request; empty on public routes.
    #[prost(string, tag = "2")]
    pub team: String,
    /// Class of the request.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Endpoint at which the request is to run.
    #[prost(string, tag = "4")]
    pub endpoint: String,
    /// Name of the model, or empty for a plain service.
    #[prost(string, tag = "5")]
    pub model: String,
    /// Name of the plain service, or empty for a model.
    #[prost(string, tag = "6")]
    pub service: String,
    /// HTTP method.
    #[prost(string, tag = "7")]
    pub method: String,
    /// Path and query at the endpoint.
    #[prost(string, tag = "8")]
    pub path: String,
    /// Headers that may be forwarded to the endpoint.
    #[prost(message, repeated, tag = "9")]
    pub headers: Vec<Header>,
    /// The whole body.
    #[prost(bytes = "bytes", tag = "10")]
    pub body: Bytes,
    /// Time left until the caller's deadline, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub remaining_ms: u64,
    /// Time since the caller's request arrived, in milliseconds.
    #[prost(uint64, tag = "12")]
    pub waited_ms: u64,
    /// Prompt and output tokens together, as charged.
    #[prost(uint64, tag = "13")]
    pub tokens: u64,
    /// Idempotency key of a non-repeatable request, or empty.
    #[prost(string, tag = "14")]
    pub idempotency_key: String,
    /// Whether the caller requested a stream of events.
    #[prost(bool, tag = "15")]
    pub stream: bool,
    /// Name of the adapter, or empty.
    #[prost(string, tag = "16")]
    pub adapter: String,
    /// Hash of the model and its input, by which a request that crashes endpoints is recognized.
    #[prost(fixed64, tag = "17")]
    pub fingerprint: u64,
    /// Number of the response's events that earlier attempts delivered.
    #[prost(uint64, tag = "18")]
    pub offset: u64,
    /// Hash of the prompt's prefix, by which replicas with the prefix in their KV cache are found.
    #[prost(fixed64, tag = "19")]
    pub prefix_hash: u64,
    /// Operators' handle of the key under which the request was admitted; never the key itself.
    #[prost(string, tag = "31")]
    pub key_handle: String,
    /// Version of the configuration under which the request was admitted.
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
    /// Name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value's bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}
