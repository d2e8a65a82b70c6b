//! News of requests that crashed endpoints.

/// A request that was in flight at the crash of an endpoint.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Suspect {
    /// Hash of model and body.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Ids of the crashes.
    #[prost(fixed64, repeated, tag = "2")]
    pub crashes: Vec<u64>,
}
