//! What one instance asks of another, and its single answers.

use super::{End, LoanGrant, LoanRequest, Work};

/// Opens an exchange.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct PeerRequest {
    /// What is asked.
    #[prost(oneof = "PeerRequestBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<PeerRequestBody>,
}

/// What an exchange asks.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum PeerRequestBody {
    /// Run a request at an endpoint of which the receiver is steward.
    #[prost(message, tag = "1")]
    Work(Work),
    /// Run a non-repeatable request whose bucket the receiver owns.
    #[prost(message, tag = "2")]
    NonRepeatable(Work),
    /// Lend a part of a team's rate.
    #[prost(message, tag = "3")]
    Loan(LoanRequest),
    /// Send the configuration if it is newer than this version.
    #[prost(message, tag = "4")]
    Config(ConfigRequest),
    /// Send a document for operators.
    #[prost(message, tag = "5")]
    Document(DocumentRequest),
    /// Load or unload a model at an endpoint of which the receiver is steward.
    #[prost(message, tag = "6")]
    Move(Move),
    /// Send the answer of a non-repeatable request that the receiver claimed earlier.
    #[prost(message, tag = "7")]
    StoredResponse(StoredResponseRequest),
}

/// Asks for a kept answer.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct StoredResponseRequest {
    /// Id of the claim.
    #[prost(bytes = "vec", tag = "1")]
    pub claim: Vec<u8>,
}

/// Loads or unloads a model, as the planner decided.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Move {
    /// Endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Whether the model is to be unloaded.
    #[prost(bool, tag = "3")]
    pub unload: bool,
    /// Version of the plan that decided it.
    #[prost(uint64, tag = "4")]
    pub plan: u64,
}

/// Answer to a [`Move`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct MoveReply {
    /// Whether the order's intent was recorded and the order will be sent.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// Why it was not accepted.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// Asks for a document for operators.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct DocumentRequest {
    /// Kind of the document: `status` or `timeline`.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Text that entries of the time line must contain.
    #[prost(string, tag = "2")]
    pub filter: String,
    /// Most bytes of the document.
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

/// Asks for the configuration.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigRequest {
    /// Version that the asker holds; zero for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// A configuration document.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigDoc {
    /// Version, or zero when the receiver's is no older.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document as YAML.
    #[prost(string, tag = "2")]
    pub text: String,
    /// The sender's instance list as JSON, for a receiver that has none.
    #[prost(string, tag = "3")]
    pub list: String,
}

/// Ends an exchange with one answer.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Reply {
    /// The answer.
    #[prost(oneof = "ReplyBody", tags = "1, 2, 3, 4, 5")]
    pub body: Option<ReplyBody>,
}

/// The answer of an exchange.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum ReplyBody {
    /// Answer to a loan.
    #[prost(message, tag = "1")]
    Loan(LoanGrant),
    /// Answer to a configuration ask.
    #[prost(message, tag = "2")]
    Config(ConfigDoc),
    /// The ask failed.
    #[prost(message, tag = "3")]
    Refused(End),
    /// Answer to an inspection.
    #[prost(message, tag = "4")]
    Document(Document),
    /// Answer to a move.
    #[prost(message, tag = "5")]
    Move(MoveReply),
}
