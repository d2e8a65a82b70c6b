//! The messages themselves, written by hand so that the build needs no generator.

use bytes::Bytes;

use super::{LoanAsk, LoanGrant, Suspect};

/// One frame on a link.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Frame {
    /// Lamport clock of the sender.
    #[prost(uint64, tag = "1")]
    pub clock: u64,
    /// Number of the exchange on this link, chosen by the caller; zero outside an exchange.
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
    /// First frame of a connection in either direction.
    #[prost(message, tag = "10")]
    Hello(Hello),
    /// Heartbeat with what the sender knows.
    #[prost(message, tag = "11")]
    Beat(Beat),
    /// What the sender stewards.
    #[prost(message, tag = "12")]
    Digest(Digest),
    /// Opens an exchange.
    #[prost(message, tag = "13")]
    Ask(Ask),
    /// Ends an exchange with one answer.
    #[prost(message, tag = "14")]
    Reply(Reply),
    /// Status and headers of a streamed answer.
    #[prost(message, tag = "15")]
    Head(Head),
    /// Next bytes of a streamed answer.
    #[prost(message, tag = "16")]
    Chunk(Chunk),
    /// End of a streamed answer.
    #[prost(message, tag = "17")]
    End(End),
    /// The asker drops the exchange.
    #[prost(message, tag = "18")]
    Cancel(Cancel),
    /// The asker can take more chunks.
    #[prost(message, tag = "19")]
    Credit(Credit),
    /// The configuration, sent to a peer that was seen to lack it.
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

/// Heartbeat.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Beat {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Version of the configuration in force at the sender.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Age of the sender's last contact with the platform's service, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub contact_ms: u64,
    /// Whether the sender takes no new work.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Whether the sender finds itself cut off.
    #[prost(bool, tag = "6")]
    pub cut_off: bool,
    /// Heartbeat that this one answers, as sent by the other side; zero for none.
    #[prost(uint64, tag = "7")]
    pub echo: u64,
    /// Number of this heartbeat.
    #[prost(uint64, tag = "8")]
    pub number: u64,
    /// Requests that crashed endpoints lately.
    #[prost(message, repeated, tag = "30")]
    pub suspects: Vec<Suspect>,
    /// Buckets of ids that the sender owns, as a bit mask.
    #[prost(fixed32, tag = "9")]
    pub buckets: u32,
    /// Highest revision of the share table that the sender knows of.
    #[prost(int64, tag = "10")]
    pub shares: i64,
    /// Time since the table was last known to have that revision, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub shares_ms: u64,
}

/// What an instance stewards.
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
    /// Endpoints it stewards.
    #[prost(message, repeated, tag = "4")]
    pub endpoints: Vec<EndpointDigest>,
    /// Demand that the sender saw as an entry instance.
    #[prost(message, repeated, tag = "5")]
    pub demand: Vec<ModelDemand>,
}

/// Demand for one model at one entry instance.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ModelDemand {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Tokens a second as a fast moving average.
    #[prost(uint64, tag = "2")]
    pub fast: u64,
    /// Tokens a second as a slow moving average.
    #[prost(uint64, tag = "3")]
    pub slow: u64,
    /// Requests that wait because no copy is resident.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
}

/// State of one endpoint.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct EndpointDigest {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Fencing number of the steward's tenure.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Pool of the endpoint.
    #[prost(string, tag = "3")]
    pub pool: String,
    /// Data centre of the endpoint.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Models that are resident and may be dispatched to.
    #[prost(string, repeated, tag = "5")]
    pub models: Vec<String>,
    /// Requests that run there.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// Requests that wait for it.
    #[prost(uint32, tag = "7")]
    pub queued: u32,
    /// Requests that it may run at once now.
    #[prost(uint32, tag = "8")]
    pub limit: u32,
    /// Adapters that are resident.
    #[prost(string, repeated, tag = "9")]
    pub adapters: Vec<String>,
    /// Models with an open load.
    #[prost(string, repeated, tag = "10")]
    pub loading: Vec<String>,
    /// Memory for weights that no resident or open load takes, in bytes.
    #[prost(uint64, tag = "11")]
    pub free: u64,
}

/// Opens an exchange.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Ask {
    /// What is asked.
    #[prost(oneof = "AskBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<AskBody>,
}

/// What an exchange asks.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum AskBody {
    /// Run a request at an endpoint of which the receiver is steward.
    #[prost(message, tag = "1")]
    Work(Work),
    /// Run a non-repeatable request whose bucket the receiver owns.
    #[prost(message, tag = "2")]
    Once(Work),
    /// Lend a part of a team's rate.
    #[prost(message, tag = "3")]
    Loan(LoanAsk),
    /// Send the configuration if it is newer than this version.
    #[prost(message, tag = "4")]
    Config(ConfigAsk),
    /// Send a document for operators.
    #[prost(message, tag = "5")]
    Inspect(Inspect),
    /// Load or unload a model at an endpoint of which the receiver is steward.
    #[prost(message, tag = "6")]
    Move(Move),
    /// Send the answer of a non-repeatable request that the receiver claimed earlier.
    #[prost(message, tag = "7")]
    Kept(KeptAsk),
}

/// Asks for a kept answer.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct KeptAsk {
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
pub struct Moved {
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
pub struct Inspect {
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
    pub left_ms: u64,
    /// Time that passed since the caller's request arrived, in milliseconds.
    #[prost(uint64, tag = "12")]
    pub waited_ms: u64,
    /// Tokens of prompt and answer together.
    #[prost(uint64, tag = "13")]
    pub tokens: u64,
    /// Idempotency key of a non-repeatable request, or empty.
    #[prost(string, tag = "14")]
    pub once: String,
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
    pub prefix: u64,
    /// Operators' handle of the key under which it was admitted; never the key itself.
    #[prost(string, tag = "31")]
    pub handle: String,
    /// Version of the configuration under which it was admitted.
    #[prost(uint64, tag = "32")]
    pub version: u64,
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

/// Asks for the configuration.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigAsk {
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
    Moved(Moved),
}

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
    pub unknown: bool,
    /// When a retry may succeed, in milliseconds; zero for no statement.
    #[prost(uint64, tag = "3")]
    pub retry_ms: u64,
    /// Tokens that the answer used, to give back the rest; zero when unknown.
    #[prost(uint64, tag = "4")]
    pub used: u64,
    /// Requests that run or wait at the endpoint.
    #[prost(uint32, tag = "5")]
    pub load: u32,
    /// Ids of the crashes at which the request was in flight.
    #[prost(fixed64, repeated, tag = "30")]
    pub crashes: Vec<u64>,
}

/// The asker drops the exchange.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Cancel {}

/// The asker can take more chunks.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Credit {
    /// Number of further chunks.
    #[prost(uint32, tag = "1")]
    pub chunks: u32,
}
