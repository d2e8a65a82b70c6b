//! Frames between an instance and the leader.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use prost::{Message, Oneof};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{
    clock::Time,
    kernel::grants::{Ask, Grant, Incarnation, ModelWork, Outcome, Reason, Refusal, Registration},
};

/// Largest frame in bytes; the operators' document is the largest content.
const FRAME_LIMIT: usize = 4 << 20;

/// A frame.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Frame {
    /// Content.
    #[prost(oneof = "Content", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub content: Option<Content>,
}

/// Content of a frame.
#[derive(Clone, PartialEq)]
#[derive(Oneof)]
pub enum Content {
    /// An instance introduces itself.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The leader takes an instance in.
    #[prost(message, tag = "2")]
    Welcome(Welcome),
    /// A request needs an endpoint.
    #[prost(message, tag = "3")]
    Ask(AskFrame),
    /// A request may be sent.
    #[prost(message, tag = "4")]
    Grant(GrantFrame),
    /// A request may not be sent.
    #[prost(message, tag = "5")]
    Refuse(RefuseFrame),
    /// The first event of an answer has come.
    #[prost(message, tag = "6")]
    First(Numbered),
    /// A request has ended.
    #[prost(message, tag = "7")]
    Done(DoneFrame),
    /// A request that was granted before the link was opened.
    #[prost(message, tag = "8")]
    Adopt(AdoptFrame),
    /// Sign of life of an instance.
    #[prost(message, tag = "9")]
    Ping(Ping),
    /// Sign of life of the leader.
    #[prost(message, tag = "10")]
    Pong(Ping),
    /// Instances that serve callers.
    #[prost(message, tag = "11")]
    Members(MembersFrame),
    /// Endpoints that changed.
    #[prost(message, tag = "12")]
    Endpoints(EndpointsFrame),
    /// What operators have put in force.
    #[prost(message, tag = "13")]
    Operator(OperatorFrame),
}

/// An instance introduces itself.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Hello {
    /// Name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Address for callers.
    #[prost(string, tag = "2")]
    pub callers: String,
    /// Term of the leader that it wants to reach.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// The leader takes an instance in.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Welcome {
    /// Term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
}

/// Names a request of the sending instance.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Numbered {
    /// Number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// A part of a prompt.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct PartFrame {
    /// Hash.
    #[prost(fixed64, tag = "1")]
    pub hash: u64,
    /// Tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// A request needs an endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct AskFrame {
    /// Number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Data centre of the entry instance.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Team, or empty.
    #[prost(string, tag = "4")]
    pub team: String,
    /// Tokens that are charged.
    #[prost(uint64, tag = "5")]
    pub charge: u64,
    /// Urgency, 0 first.
    #[prost(uint32, tag = "6")]
    pub urgency: u32,
    /// Time until its first byte should be there, in milliseconds; negative once that is past.
    #[prost(sint64, tag = "7")]
    pub goal_ms: i64,
    /// Time until it is of no use, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub left_ms: u64,
    /// Model, or empty for plain services.
    #[prost(string, tag = "9")]
    pub model: String,
    /// Adapter, or empty.
    #[prost(string, tag = "10")]
    pub adapter: String,
    /// Parts of the prompt.
    #[prost(message, repeated, tag = "11")]
    pub parts: Vec<PartFrame>,
    /// Tokens of the prompt.
    #[prost(uint64, tag = "12")]
    pub prompt: u64,
    /// Most tokens of the answer.
    #[prost(uint64, tag = "13")]
    pub answer: u64,
    /// Endpoints that were tried.
    #[prost(string, repeated, tag = "14")]
    pub tried: Vec<String>,
    /// Whether it was sent before.
    #[prost(bool, tag = "15")]
    pub again: bool,
    /// Hash of the request.
    #[prost(fixed64, tag = "16")]
    pub fingerprint: u64,
}

impl AskFrame {
    /// Creates the frame of a request.
    pub fn new(number: u64, ask: &Ask, now: Time) -> Self {
        let work = ask.work.clone().unwrap_or_default();
        let parts =
            work.parts.iter().map(|(hash, tokens)| PartFrame { hash: *hash, tokens: *tokens });
        Self {
            number,
            service: ask.service.to_string(),
            data_centre: ask.data_centre.to_string(),
            team: ask.team.as_deref().unwrap_or_default().to_owned(),
            charge: ask.charge,
            urgency: ask.urgency.into(),
            goal_ms: ask.goal.since(now).as_millis() as i64
                - now.since(ask.goal).as_millis() as i64,
            left_ms: ask.deadline.since(now).as_millis() as u64,
            model: work.model.to_string(),
            adapter: work.adapter.as_deref().unwrap_or_default().to_owned(),
            parts: parts.collect(),
            prompt: work.prompt,
            answer: work.answer,
            tried: ask.tried.iter().map(|id| id.to_string()).collect(),
            again: ask.again,
            fingerprint: ask.fingerprint,
        }
    }

    /// Returns the request, on the receiver's clock.
    pub fn ask(self, now: Time) -> Ask {
        let work = (!self.model.is_empty()).then(|| ModelWork {
            model: self.model.into(),
            adapter: named(self.adapter),
            parts: self.parts.iter().map(|part| (part.hash, part.tokens)).collect(),
            prompt: self.prompt,
            answer: self.answer,
        });
        let ahead = Duration::from_millis(self.goal_ms.unsigned_abs());
        Ask {
            service: self.service.into(),
            data_centre: self.data_centre.into(),
            team: named(self.team),
            charge: self.charge,
            urgency: self.urgency.min(u32::from(u8::MAX)) as u8,
            goal: if self.goal_ms >= 0 { now + ahead } else { now - ahead },
            deadline: now + Duration::from_millis(self.left_ms),
            work,
            tried: self.tried.into_iter().map(Arc::from).collect(),
            again: self.again,
            fingerprint: self.fingerprint,
        }
    }
}

fn named(text: String) -> Option<Arc<str>> {
    (!text.is_empty()).then(|| text.into())
}

/// A request may be sent.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct GrantFrame {
    /// Number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// Its address.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

impl GrantFrame {
    /// Creates the frame of a grant.
    pub fn new(number: u64, grant: &Grant) -> Self {
        let (endpoint, address) = (grant.endpoint.to_string(), grant.address.to_string());
        Self { number, endpoint, address, incarnation: grant.incarnation.0 }
    }

    /// Returns the grant; `None` where the address cannot be read.
    pub fn grant(self) -> Option<Grant> {
        let address = self.address.parse().ok()?;
        let incarnation = Incarnation(self.incarnation);
        Some(Grant { endpoint: self.endpoint.into(), address, incarnation })
    }
}

/// A request may not be sent.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RefuseFrame {
    /// Number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Why, as a [`ReasonFrame`].
    #[prost(enumeration = "ReasonFrame", tag = "2")]
    pub reason: i32,
    /// When to come back, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub retry_ms: u64,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum ReasonFrame {
    /// No endpoint can run it in time.
    NoRoom = 0,
    /// The team is over its rate.
    OverRate = 1,
    /// No endpoint holds the model.
    NoModel = 2,
    /// The budget of repeats is spent.
    NoRepeat = 3,
    /// The request crashes endpoints.
    Crashes = 4,
    /// The service has no endpoints.
    NoEndpoint = 5,
}

impl RefuseFrame {
    /// Creates the frame of a refusal.
    pub fn new(number: u64, refusal: &Refusal) -> Self {
        let reason = match refusal.reason {
            Reason::NoRoom => ReasonFrame::NoRoom,
            Reason::OverRate => ReasonFrame::OverRate,
            Reason::NoModel => ReasonFrame::NoModel,
            Reason::NoRepeat => ReasonFrame::NoRepeat,
            Reason::Crashes => ReasonFrame::Crashes,
            Reason::NoEndpoint => ReasonFrame::NoEndpoint,
        };
        Self { number, reason: reason.into(), retry_ms: refusal.retry.as_millis() as u64 }
    }

    /// Returns the refusal.
    pub fn refusal(&self) -> Refusal {
        let reason = match self.reason() {
            ReasonFrame::NoRoom => Reason::NoRoom,
            ReasonFrame::OverRate => Reason::OverRate,
            ReasonFrame::NoModel => Reason::NoModel,
            ReasonFrame::NoRepeat => Reason::NoRepeat,
            ReasonFrame::Crashes => Reason::Crashes,
            ReasonFrame::NoEndpoint => Reason::NoEndpoint,
        };
        Refusal { reason, retry: Duration::from_millis(self.retry_ms) }
    }
}

/// A request has ended.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct DoneFrame {
    /// Number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// How, as an [`OutcomeFrame`].
    #[prost(enumeration = "OutcomeFrame", tag = "2")]
    pub outcome: i32,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum OutcomeFrame {
    /// The caller left.
    Left = 0,
    /// Whole answer.
    Whole = 1,
    /// The endpoint failed.
    Failed = 2,
    /// The connection broke.
    Broke = 3,
    /// The endpoint stayed silent.
    Silent = 4,
    /// No connection.
    Unreached = 5,
    /// The endpoint was full.
    Full = 6,
    /// The endpoint lacks what was needed.
    Misplaced = 7,
}

impl DoneFrame {
    /// Creates the frame of an outcome.
    pub fn new(number: u64, outcome: Outcome) -> Self {
        let outcome = match outcome {
            Outcome::Left => OutcomeFrame::Left,
            Outcome::Whole => OutcomeFrame::Whole,
            Outcome::Failed => OutcomeFrame::Failed,
            Outcome::Broke => OutcomeFrame::Broke,
            Outcome::Silent => OutcomeFrame::Silent,
            Outcome::Unreached => OutcomeFrame::Unreached,
            Outcome::Full => OutcomeFrame::Full,
            Outcome::Misplaced => OutcomeFrame::Misplaced,
        };
        Self { number, outcome: outcome.into() }
    }

    /// Returns the outcome.
    pub fn ended(&self) -> Outcome {
        match self.outcome() {
            OutcomeFrame::Left => Outcome::Left,
            OutcomeFrame::Whole => Outcome::Whole,
            OutcomeFrame::Failed => Outcome::Failed,
            OutcomeFrame::Broke => Outcome::Broke,
            OutcomeFrame::Silent => Outcome::Silent,
            OutcomeFrame::Unreached => Outcome::Unreached,
            OutcomeFrame::Full => Outcome::Full,
            OutcomeFrame::Misplaced => Outcome::Misplaced,
        }
    }
}

/// A request that runs since before the link was opened.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct AdoptFrame {
    /// What was asked.
    #[prost(message, optional, tag = "1")]
    pub ask: Option<AskFrame>,
    /// Endpoint that runs it.
    #[prost(string, tag = "2")]
    pub endpoint: String,
}

/// A sign of life.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct Ping {
    /// Whether the sender serves callers.
    #[prost(bool, tag = "1")]
    pub ready: bool,
    /// Revision of the store at which the sender last read the operators' records.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Hash of those records.
    #[prost(fixed64, tag = "3")]
    pub hash: u64,
    /// Term of the leader that the sender knows.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Whether the sender leads and does not reach the store, so that others must follow it.
    #[prost(bool, tag = "5")]
    pub blind: bool,
}

/// Instances that serve callers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MembersFrame {
    /// Instances.
    #[prost(message, repeated, tag = "1")]
    pub list: Vec<MemberFrame>,
}

/// An instance that serves callers.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct MemberFrame {
    /// Name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Address for callers.
    #[prost(string, tag = "2")]
    pub callers: String,
}

/// Endpoints that changed.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct EndpointsFrame {
    /// Whether all others are gone.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// Changed endpoints.
    #[prost(message, repeated, tag = "2")]
    pub changed: Vec<EndpointFrame>,
    /// Endpoints that are gone.
    #[prost(string, repeated, tag = "3")]
    pub gone: Vec<String>,
}

/// An endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct EndpointFrame {
    /// Name.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Address.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Requests that run at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Whether it takes no new work.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// Time for which it bears little, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub cold_ms: u64,
    /// Models.
    #[prost(message, repeated, tag = "10")]
    pub models: Vec<ModelFrame>,
    /// Models in host memory.
    #[prost(string, repeated, tag = "11")]
    pub in_memory: Vec<String>,
    /// Models on disk.
    #[prost(string, repeated, tag = "12")]
    pub on_disk: Vec<String>,
}

/// A model at an endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ModelFrame {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Adapters.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
}

fn strings(list: &[Arc<str>]) -> Vec<String> {
    list.iter().map(|text| text.to_string()).collect()
}

fn names(list: Vec<String>) -> Vec<Arc<str>> {
    list.into_iter().map(Arc::from).collect()
}

impl From<&Registration> for EndpointFrame {
    fn from(info: &Registration) -> Self {
        let models = info.models.iter().map(|(model, adapters)| ModelFrame {
            model: model.to_string(),
            adapters: strings(adapters),
        });
        Self {
            id: info.id.to_string(),
            incarnation: info.incarnation.0,
            service: info.service.to_string(),
            address: info.address.to_string(),
            data_centre: info.data_centre.to_string(),
            slots: info.slots,
            // An endpoint that is removed at short notice takes no new work either.
            draining: info.draining || info.leaves.is_some(),
            cold_ms: info.cold.as_millis() as u64,
            models: models.collect(),
            in_memory: strings(&info.in_memory),
            on_disk: strings(&info.on_disk),
        }
    }
}

impl EndpointFrame {
    /// Returns whether another instance should be told of the change to `newer`.
    pub fn differs(&self, newer: &EndpointFrame, adapters: bool) -> bool {
        if adapters {
            return self != newer;
        }
        let bare = |frame: &EndpointFrame| {
            let mut frame = frame.clone();
            frame.models.iter_mut().for_each(|model| model.adapters.clear());
            frame
        };
        bare(self) != bare(newer)
    }

    /// Returns the endpoint; `None` where the address cannot be read.
    pub fn registration(self) -> Option<Registration> {
        let models = self.models.into_iter().map(|m| (m.model.into(), names(m.adapters)));
        Some(Registration {
            id: self.id.into(),
            incarnation: Incarnation(self.incarnation),
            service: self.service.into(),
            address: self.address.parse().ok()?,
            data_centre: self.data_centre.into(),
            slots: self.slots,
            draining: self.draining,
            leaves: None,
            cold: Duration::from_millis(self.cold_ms),
            models: models.collect(),
            in_memory: names(self.in_memory),
            on_disk: names(self.on_disk),
        })
    }
}

/// What operators have put in force.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct OperatorFrame {
    /// Revision of the store at which it was read.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The document, deflated.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
    /// Data centres that are out of service.
    #[prost(string, repeated, tag = "3")]
    pub evacuated: Vec<String>,
}

/// Why a frame cannot be read or written.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum FrameError {
    /// The connection failed or a frame is too long.
    #[error("link: {0}")]
    Io(#[from] std::io::Error),
    /// A frame is garbled.
    #[error("garbled frame: {0}")]
    Garbled(#[from] prost::DecodeError),
}

/// Reads and writes frames.
#[derive(Debug)]
pub struct FrameCodec(LengthDelimitedCodec);

impl Default for FrameCodec {
    fn default() -> Self {
        Self(LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec())
    }
}

impl Decoder for FrameCodec {
    type Item = Content;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Content>, FrameError> {
        while let Some(bytes) = self.0.decode(src)? {
            // A frame of a newer release may have a content that is unknown here.
            if let Some(content) = Frame::decode(bytes)?.content {
                return Ok(Some(content));
            }
        }
        Ok(None)
    }
}

impl Encoder<Content> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, content: Content, dst: &mut BytesMut) -> Result<(), FrameError> {
        let bytes = Frame { content: Some(content) }.encode_to_vec();
        metrics::counter!("cardamomshore_link_bytes_total").increment(bytes.len() as u64);
        self.0.encode(Bytes::from(bytes), dst)?;
        Ok(())
    }
}
