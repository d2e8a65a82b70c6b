//! The parts of a streamed answer.

use bytes::Bytes;

use super::Header;

/// Status and headers of a streamed answer.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Head {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers that may be forwarded.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
}

/// Next bytes of a streamed answer.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Chunk {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
    /// Number of server-sent events up to and with this chunk; zero for other answers.
    #[prost(uint64, tag = "2")]
    pub events: u64,
    /// Whether this is the event that closes the stream.
    #[prost(bool, tag = "3")]
    pub last: bool,
}

/// End of a streamed answer.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct End {
    /// Zero for a whole answer, otherwise the number of the result code.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// Whether the request can have run; meaningful with a code only.
    #[prost(bool, tag = "2")]
    pub may_have_run: bool,
    /// When a retry may succeed, in milliseconds; zero for no statement.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// Tokens that the answer used, to give back the rest; zero when unknown.
    #[prost(uint64, tag = "4")]
    pub used_tokens: u64,
    /// Requests that run or wait at the endpoint.
    #[prost(uint32, tag = "5")]
    pub load: u32,
    /// Ids of the crashes at which the request was in flight.
    #[prost(fixed64, repeated, tag = "30")]
    pub crashes: Vec<u64>,
}
