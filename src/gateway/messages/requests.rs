//! Frames about single requests.

use std::{sync::Arc, time::Duration};

use prost::Message;

use crate::{
    clock::Time,
    kernel::grants::{Grant, GrantRequest, Incarnation, ModelWork, Outcome, Reason, Refusal},
};

/// Names a request of the sending instance.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RequestRef {
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
pub struct GrantRequestFrame {
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
    pub priority: u32,
    /// Time until its first byte should be there, in milliseconds; negative once that is past.
    #[prost(sint64, tag = "7")]
    pub due_in_ms: i64,
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
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    #[prost(uint64, tag = "13")]
    pub output_tokens: u64,
    /// Endpoints that were tried.
    #[prost(string, repeated, tag = "14")]
    pub tried: Vec<String>,
    /// Whether it was sent before.
    #[prost(bool, tag = "15")]
    pub is_retry: bool,
    /// Hash of the request.
    #[prost(fixed64, tag = "16")]
    pub fingerprint: u64,
}

impl GrantRequestFrame {
    /// Creates the frame of a request.
    pub fn new(number: u64, ask: &GrantRequest, now: Time) -> Self {
        let work = ask.work.clone().unwrap_or_default();
        let parts =
            work.parts.iter().map(|(hash, tokens)| PartFrame { hash: *hash, tokens: *tokens });
        Self {
            number,
            service: ask.service.to_string(),
            data_centre: ask.data_centre.to_string(),
            team: ask.team.as_deref().unwrap_or_default().to_owned(),
            charge: ask.charge,
            priority: ask.priority.into(),
            due_in_ms: ask.due.since(now).as_millis() as i64
                - now.since(ask.due).as_millis() as i64,
            left_ms: ask.deadline.since(now).as_millis() as u64,
            model: work.model.to_string(),
            adapter: work.adapter.as_deref().unwrap_or_default().to_owned(),
            parts: parts.collect(),
            prompt_tokens: work.prompt_tokens,
            output_tokens: work.output_tokens,
            tried: ask.tried.iter().map(|id| id.to_string()).collect(),
            is_retry: ask.is_retry,
            fingerprint: ask.fingerprint,
        }
    }

    /// Returns the request, on the receiver's clock.
    pub fn into_request(self, now: Time) -> GrantRequest {
        let work = (!self.model.is_empty()).then(|| ModelWork {
            model: self.model.into(),
            adapter: non_empty(self.adapter),
            parts: self.parts.iter().map(|part| (part.hash, part.tokens)).collect(),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
        });
        let ahead = Duration::from_millis(self.due_in_ms.unsigned_abs());
        GrantRequest {
            service: self.service.into(),
            data_centre: self.data_centre.into(),
            team: non_empty(self.team),
            charge: self.charge,
            priority: self.priority.min(u32::from(u8::MAX)) as u8,
            due: if self.due_in_ms >= 0 { now + ahead } else { now - ahead },
            deadline: now + Duration::from_millis(self.left_ms),
            work,
            tried: self.tried.into_iter().map(Arc::from).collect(),
            is_retry: self.is_retry,
            fingerprint: self.fingerprint,
        }
    }
}

fn non_empty(text: String) -> Option<Arc<str>> {
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
    pub fn into_grant(self) -> Option<Grant> {
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
    pub fn to_refusal(&self) -> Refusal {
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
pub struct EndFrame {
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

impl EndFrame {
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
    pub fn to_outcome(&self) -> Outcome {
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
    pub request: Option<GrantRequestFrame>,
    /// Endpoint that runs it.
    #[prost(string, tag = "2")]
    pub endpoint: String,
}
