//! The state that an instance sends to its peers: heartbeats, and digests of its endpoints.

use super::Suspect;

/// A heartbeat of an instance, which every peer replies to with its own.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Heartbeat {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Version of the configuration in force at the sender.
    #[prost(uint64, tag = "3")]
    pub config_version: u64,
    /// Age of the sender's last contact with the platform's service, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub contact_age_ms: u64,
    /// Whether the sender is shutting down and accepts no new requests.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Whether the sender considers itself cut off from the platform's service and from most peers.
    #[prost(bool, tag = "6")]
    pub cut_off: bool,
    /// Number of the receiver's heartbeat that this one replies to; zero for none.
    #[prost(uint64, tag = "7")]
    pub echo: u64,
    /// Number of this heartbeat.
    #[prost(uint64, tag = "8")]
    pub number: u64,
    /// Requests that recently became suspect of a crash.
    #[prost(message, repeated, tag = "30")]
    pub suspects: Vec<Suspect>,
    /// Buckets of ids that the sender owns, as a bit mask.
    #[prost(fixed32, tag = "9")]
    pub bucket_mask: u32,
    /// Highest revision of the share table that the sender knows of.
    #[prost(int64, tag = "10")]
    pub shares_revision: i64,
    /// Time since the table was last known to have that revision, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub shares_age_ms: u64,
}

/// The state of a steward's endpoints and the demand that it sees as an entry instance.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Digest {
    /// Name of the steward.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation of the steward.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of this digest; higher ones replace lower ones of the same incarnation.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Endpoints of which the sender is the steward.
    #[prost(message, repeated, tag = "4")]
    pub endpoints: Vec<EndpointDigest>,
    /// Demand that the sender saw as an entry instance.
    #[prost(message, repeated, tag = "5")]
    pub demand: Vec<ModelDemand>,
}

/// The demand of one model at one entry instance.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ModelDemand {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Tokens a second as a fast moving average.
    #[prost(uint64, tag = "2")]
    pub fast: u64,
    /// Tokens a second as a slow moving average.
    #[prost(uint64, tag = "3")]
    pub slow: u64,
    /// Number of requests that wait because no replica can serve them.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
}

/// The state of one endpoint, as its steward describes it.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct EndpointDigest {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Fencing number of the steward's term.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Pool of the endpoint.
    #[prost(string, tag = "3")]
    pub pool: String,
    /// Data centre of the endpoint.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Resident models to which requests may be dispatched.
    #[prost(string, repeated, tag = "5")]
    pub models: Vec<String>,
    /// Number of requests that run at the endpoint.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// Number of requests in the endpoint's queue.
    #[prost(uint32, tag = "7")]
    pub queued: u32,
    /// Most requests that the endpoint may run at the same time now.
    #[prost(uint32, tag = "8")]
    pub limit: u32,
    /// Resident adapters.
    #[prost(string, repeated, tag = "9")]
    pub adapters: Vec<String>,
    /// Models whose load is not confirmed yet.
    #[prost(string, repeated, tag = "10")]
    pub loading: Vec<String>,
    /// Memory for weights that is neither used nor committed to a load, in bytes.
    #[prost(uint64, tag = "11")]
    pub free: u64,
}
