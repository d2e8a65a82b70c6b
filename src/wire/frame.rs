//! Frames, and the messages that control a link and its exchanges.

use super::{Chunk, ConfigDoc, Digest, End, Head, Heartbeat, PeerRequest, Reply};

/// One frame on a link.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Frame {
    /// Lamport clock of the sender.
    #[prost(uint64, tag = "1")]
    pub clock: u64,
    /// Number of the exchange on this link, chosen by the requester; zero outside an exchange.
    #[prost(uint64, tag = "2")]
    pub stream: u64,
    /// The message.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20")]
    pub body: Option<Body>,
}

/// The message of a frame.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum Body {
    /// First frame of a connection, in either direction.
    #[prost(message, tag = "10")]
    Hello(Hello),
    /// Heartbeat with the sender's state.
    #[prost(message, tag = "11")]
    Heartbeat(Heartbeat),
    /// State of the endpoints of which the sender is the steward.
    #[prost(message, tag = "12")]
    Digest(Digest),
    /// Opens an exchange.
    #[prost(message, tag = "13")]
    Request(PeerRequest),
    /// Ends an exchange with a single reply.
    #[prost(message, tag = "14")]
    Reply(Reply),
    /// Status and headers of a response.
    #[prost(message, tag = "15")]
    Head(Head),
    /// Next bytes of a response's body.
    #[prost(message, tag = "16")]
    Chunk(Chunk),
    /// End of a response.
    #[prost(message, tag = "17")]
    End(End),
    /// The requester drops the exchange.
    #[prost(message, tag = "18")]
    Cancel(Cancel),
    /// The requester allows the responder to send more chunks.
    #[prost(message, tag = "19")]
    Credit(Credit),
    /// The configuration, pushed to a peer whose heartbeat shows an older version.
    #[prost(message, tag = "20")]
    Config(ConfigDoc),
}

/// First frame of a connection.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Hello {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Random number drawn when the sender's process started.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Drops the exchange, so that the responder cancels the request.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Cancel {}

/// Allows the responder to send more chunks.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Credit {
    /// Number of further chunks.
    #[prost(uint32, tag = "1")]
    pub chunks: u32,
}
