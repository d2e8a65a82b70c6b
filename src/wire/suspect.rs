//! Suspects: requests that may have crashed endpoints, as sent with heartbeats.

/// A request that was in flight when endpoints crashed.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Suspect {
    /// Hash of the request's model and input.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Ids of the crashes.
    #[prost(fixed64, repeated, tag = "2")]
    pub crashes: Vec<u64>,
}
