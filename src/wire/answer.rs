//! The parts of a response, in the order head, chunks, end.

use bytes::Bytes;

use super::Header;

/// Status and headers of a response.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Head {
    /// HTTP status of the response.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers that may be forwarded to the caller.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
}

/// The next bytes of a response's body.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Chunk {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
    /// Number of server-sent events including this chunk; zero for other responses.
    #[prost(uint64, tag = "2")]
    pub events: u64,
    /// Whether this chunk is the event that ends the stream.
    #[prost(bool, tag = "3")]
    pub last: bool,
}

/// The end of a response, or the refusal of a request.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct End {
    /// Zero for a complete response, otherwise the number of the result code.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// Whether the request can have run; meaningful only if `code` is not zero.
    #[prost(bool, tag = "2")]
    pub may_have_run: bool,
    /// Time after which a retry may succeed, in milliseconds; zero if unknown.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// Tokens that were used, so that the rest can be refunded; zero if unknown.
    #[prost(uint64, tag = "4")]
    pub used_tokens: u64,
    /// Number of requests that run or are queued at the endpoint.
    #[prost(uint32, tag = "5")]
    pub load: u32,
    /// Ids of the crashes at which the request was in flight.
    #[prost(fixed64, repeated, tag = "30")]
    pub crashes: Vec<u64>,
}
