//! Requests of one instance to another, and the replies to those that have a single reply.

use super::{End, LoanGrant, LoanRequest, Work};

/// The first message of an exchange.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PeerRequest {
    /// The request.
    #[prost(oneof = "PeerRequestBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<PeerRequestBody>,
}

/// A request to a peer.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum PeerRequestBody {
    /// Run a request at an endpoint of which the receiver is the steward.
    #[prost(message, tag = "1")]
    Work(Work),
    /// Run a non-repeatable request whose bucket the receiver owns.
    #[prost(message, tag = "2")]
    NonRepeatable(Work),
    /// Lend parts of a team's rate.
    #[prost(message, tag = "3")]
    Loan(LoanRequest),
    /// Send the configuration if it is newer than this version.
    #[prost(message, tag = "4")]
    Config(ConfigRequest),
    /// Send a document for operators.
    #[prost(message, tag = "5")]
    Document(DocumentRequest),
    /// Load or unload a model at an endpoint of which the receiver is the steward.
    #[prost(message, tag = "6")]
    Move(Move),
    /// Send the response to a non-repeatable request that the receiver claimed earlier.
    #[prost(message, tag = "7")]
    StoredResponse(StoredResponseRequest),
}

/// Requests a stored response.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct StoredResponseRequest {
    /// Id of the claim.
    #[prost(bytes = "vec", tag = "1")]
    pub claim: Vec<u8>,
}

/// Requests the load or unload of a model that the planner decided.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Move {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Name of the model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Whether the model is to be unloaded; otherwise it is to be loaded.
    #[prost(bool, tag = "3")]
    pub unload: bool,
    /// Version of the plan that decided it.
    #[prost(uint64, tag = "4")]
    pub plan: u64,
}

/// The reply to a [`Move`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct MoveReply {
    /// Whether the order's intent was recorded and the order will be sent.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// Why the move was not accepted; empty if it was.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// Requests a document for operators.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct DocumentRequest {
    /// Kind of the document: `status` or `timeline`.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Text that entries of the time line must contain.
    #[prost(string, tag = "2")]
    pub filter: String,
    /// Largest document that the requester accepts, in bytes.
    #[prost(uint64, tag = "3")]
    pub limit: u64,
}

/// A document for operators.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Document {
    /// The document as JSON.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// Requests the configuration if a newer one is in force at the receiver.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigRequest {
    /// Version in force at the requester; zero for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// A configuration document.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigDoc {
    /// Version of the document, or zero if the requester's is not older.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document as YAML.
    #[prost(string, tag = "2")]
    pub text: String,
    /// The sender's instance list as JSON, for a receiver that has none.
    #[prost(string, tag = "3")]
    pub list: String,
}

/// The last message of an exchange with a single reply.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Reply {
    /// The reply.
    #[prost(oneof = "ReplyBody", tags = "1, 2, 3, 4, 5")]
    pub body: Option<ReplyBody>,
}

/// A reply to a [`PeerRequestBody`].
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum ReplyBody {
    /// Reply to a request for a loan.
    #[prost(message, tag = "1")]
    Loan(LoanGrant),
    /// Reply to a request for the configuration.
    #[prost(message, tag = "2")]
    Config(ConfigDoc),
    /// The request was refused.
    #[prost(message, tag = "3")]
    Refused(End),
    /// Reply to a request for a document.
    #[prost(message, tag = "4")]
    Document(Document),
    /// Reply to a move.
    #[prost(message, tag = "5")]
    Move(MoveReply),
}
