//! Frames that concern a single request. Each request has a number, which is unique within its
//! entry instance.

use std::{sync::Arc, time::Duration};

use prost::Message;

use super::LoadFrame;
use crate::{
    clock::Time,
    kernel::grants::{
        Grant, GrantRequest, Incarnation, ModelWork, Outcome, Reason, Refusal, StreamId,
        UnusedRate, VersionNeed,
    },
};

/// Refers to a request of the sending instance.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RequestRef {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Load that the response states; missing if it states none.
    #[prost(message, optional, tag = "10")]
    pub load: Option<LoadFrame>,
}

/// A part of a prompt.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct PartFrame {
    /// Hash of the part.
    #[prost(fixed64, tag = "1")]
    pub hash: u64,
    /// Tokens of the part.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// A request that waits for a grant.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct GrantRequestFrame {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Service that must run the request.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Data centre of the entry instance.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Team of the caller; empty if there is none.
    #[prost(string, tag = "4")]
    pub team: String,
    /// Tokens that are charged to the team.
    #[prost(uint64, tag = "5")]
    pub charge: u64,
    /// Priority; 0 is the most urgent.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// Time until the first byte is due, in milliseconds; negative once that time has passed.
    #[prost(sint64, tag = "7")]
    pub due_in_ms: i64,
    /// Time until the deadline, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub deadline_in_ms: u64,
    /// Model; empty for a service without models.
    #[prost(string, tag = "9")]
    pub model: String,
    /// Adapter of the model; empty if there is none.
    #[prost(string, tag = "10")]
    pub adapter: String,
    /// Parts of the prompt, in their order.
    #[prost(message, repeated, tag = "11")]
    pub parts: Vec<PartFrame>,
    /// Tokens of the prompt.
    #[prost(uint64, tag = "12")]
    pub prompt_tokens: u64,
    /// Largest number of output tokens that is expected.
    #[prost(uint64, tag = "13")]
    pub output_tokens: u64,
    /// Endpoints on which an attempt has failed.
    #[prost(string, repeated, tag = "14")]
    pub tried: Vec<String>,
    /// Whether the request was sent to an endpoint before.
    #[prost(bool, tag = "15")]
    pub is_retry: bool,
    /// Hash that is the same for each retry by the caller.
    #[prost(fixed64, tag = "16")]
    pub fingerprint: u64,
    /// The stream that the request begins or resumes.
    #[prost(fixed64, optional, tag = "17")]
    pub stream: Option<u64>,
    /// Whether the endpoint must have the software version that began the stream.
    #[prost(bool, tag = "18")]
    pub at_origin: bool,
    /// Software version that the endpoint must have.
    #[prost(string, optional, tag = "19")]
    pub version: Option<String>,
    /// Longest pause between two events with which the response is still in time, in milliseconds.
    #[prost(uint32, optional, tag = "30")]
    pub max_pause_ms: Option<u32>,
}

impl GrantRequestFrame {
    /// Creates the frame of a request, with times relative to `now`.
    pub fn new(number: u64, request: &GrantRequest, now: Time) -> Self {
        let work = request.work.clone().unwrap_or_default();
        let parts =
            work.parts.iter().map(|(hash, tokens)| PartFrame { hash: *hash, tokens: *tokens });
        Self {
            number,
            service: request.service.to_string(),
            data_centre: request.data_centre.to_string(),
            team: request.team.as_deref().unwrap_or_default().to_owned(),
            charge: request.charge,
            priority: request.priority.into(),
            due_in_ms: request.due.since(now).as_millis() as i64
                - now.since(request.due).as_millis() as i64,
            deadline_in_ms: request.deadline.since(now).as_millis() as u64,
            model: work.model.to_string(),
            adapter: work.adapter.as_deref().unwrap_or_default().to_owned(),
            parts: parts.collect(),
            prompt_tokens: work.prompt_tokens,
            output_tokens: work.output_tokens,
            tried: request.tried.iter().map(|id| id.to_string()).collect(),
            is_retry: request.is_retry,
            fingerprint: request.fingerprint,
            stream: request.stream.map(|stream| stream.0),
            at_origin: request.version == VersionNeed::Origin,
            version: match &request.version {
                VersionNeed::Exactly(version) => Some(version.to_string()),
                VersionNeed::Any | VersionNeed::Origin => None,
            },
            max_pause_ms: request.max_pause.map(|pause| pause.as_millis() as u32),
        }
    }

    /// Returns the request, with times on the receiver's clock.
    pub fn into_request(self, now: Time) -> GrantRequest {
        let work = (!self.model.is_empty()).then(|| ModelWork {
            model: self.model.into(),
            adapter: non_empty(self.adapter),
            parts: self.parts.iter().map(|part| (part.hash, part.tokens)).collect(),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
        });
        let time_to_due = Duration::from_millis(self.due_in_ms.unsigned_abs());
        GrantRequest {
            service: self.service.into(),
            data_centre: self.data_centre.into(),
            team: non_empty(self.team),
            charge: self.charge,
            priority: self.priority.min(u32::from(u8::MAX)) as u8,
            due: if self.due_in_ms >= 0 { now + time_to_due } else { now - time_to_due },
            deadline: now + Duration::from_millis(self.deadline_in_ms),
            max_pause: self.max_pause_ms.map(|ms| Duration::from_millis(ms.into())),
            work,
            tried: self.tried.into_iter().map(Arc::from).collect(),
            is_retry: self.is_retry,
            fingerprint: self.fingerprint,
            stream: self.stream.map(StreamId),
            version: match self.version {
                Some(version) => VersionNeed::Exactly(version.into()),
                None if self.at_origin => VersionNeed::Origin,
                None => VersionNeed::Any,
            },
        }
    }
}

/// Returns the text; `None` if it is empty.
fn non_empty(text: String) -> Option<Arc<str>> {
    (!text.is_empty()).then(|| text.into())
}

/// A grant: the request may be sent to this endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct GrantFrame {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Name of the endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// Address of the endpoint.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Incarnation of the endpoint.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Version of the endpoint's software; empty if it is not known.
    #[prost(string, tag = "5")]
    pub version: String,
    /// Address of the engine from which the endpoint fetches the beginning of the prompt; empty if there
    /// is none.
    #[prost(string, tag = "12")]
    pub holder: String,
}

impl GrantFrame {
    /// Creates the frame of a grant.
    pub fn new(number: u64, grant: &Grant) -> Self {
        Self {
            number,
            endpoint: grant.endpoint.to_string(),
            address: grant.address.to_string(),
            incarnation: grant.incarnation.0,
            version: grant.version.to_string(),
            holder: grant.holder.map(|holder| holder.to_string()).unwrap_or_default(),
        }
    }

    /// Returns the grant; `None` if the address cannot be parsed. A holder whose address cannot be parsed
    /// counts as none, since the endpoint can prefill the prompt.
    pub fn into_grant(self) -> Option<Grant> {
        let address = self.address.parse().ok()?;
        let incarnation = Incarnation(self.incarnation);
        let (endpoint, version) = (self.endpoint.into(), self.version.into());
        let holder = self.holder.parse().ok();
        Some(Grant { endpoint, address, incarnation, version, holder })
    }
}

/// A refusal: the request may not be sent.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RefuseFrame {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Reason of the refusal, a [`ReasonFrame`].
    #[prost(enumeration = "ReasonFrame", tag = "2")]
    pub reason: i32,
    /// Time after which a retry by the caller is worthwhile, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub retry_ms: u64,
}

/// Reason of a refusal, as encoded in a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum ReasonFrame {
    /// No endpoint can run the request in time.
    NoRoom = 0,
    /// The team is over its rate.
    OverRate = 1,
    /// No endpoint has the model, and none can load it in time.
    NoModel = 2,
    /// The retry budget of the service is spent.
    NoRepeat = 3,
    /// The request crashes the endpoints that run it.
    Crashes = 4,
    /// The service has no endpoints.
    NoEndpoint = 5,
    /// No endpoint has the software version that began the stream, or it is not known.
    NoOrigin = 6,
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
            Reason::NoOrigin => ReasonFrame::NoOrigin,
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
            ReasonFrame::NoOrigin => Reason::NoOrigin,
        };
        Refusal { reason, retry: Duration::from_millis(self.retry_ms) }
    }
}

/// The end of a request.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct EndFrame {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Outcome of the request, an [`OutcomeFrame`].
    #[prost(enumeration = "OutcomeFrame", tag = "2")]
    pub outcome: i32,
    /// Refusals in a second after which the endpoint fails, as its response says; missing if it names
    /// no such number, or has not responded.
    #[prost(uint32, optional, tag = "3")]
    pub max_refusals: Option<u32>,
    /// Load that the response states, unless the first event told it.
    #[prost(message, optional, tag = "10")]
    pub load: Option<LoadFrame>,
    /// Longest pause between two events of a whole stream, in milliseconds.
    #[prost(uint32, optional, tag = "20")]
    pub longest_pause_ms: Option<u32>,
}

/// Outcome of a request, as encoded in a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum OutcomeFrame {
    /// The caller left, or the deadline passed.
    Left = 0,
    /// The response is complete.
    Whole = 1,
    /// The endpoint responded that it failed.
    Failed = 2,
    /// The connection broke after the request was sent.
    Broke = 3,
    /// The endpoint did not respond in time.
    Silent = 4,
    /// No connection to the endpoint could be opened.
    Unreached = 5,
    /// The endpoint refused the request because it was full.
    Full = 6,
    /// Another endpoint has the address, or the engine lacks the model.
    Misplaced = 7,
    /// The instance knows that the endpoint leaves, and has not sent the request.
    Leaving = 8,
    /// The instance is cut off from the endpoints, and has not sent the request.
    CutOff = 9,
}

impl EndFrame {
    /// Creates the frame of a request's outcome.
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
            Outcome::Leaving => OutcomeFrame::Leaving,
            Outcome::CutOff => OutcomeFrame::CutOff,
        };
        let outcome = outcome.into();
        Self { number, outcome, max_refusals: None, longest_pause_ms: None, load: None }
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
            OutcomeFrame::Leaving => Outcome::Leaving,
            OutcomeFrame::CutOff => Outcome::CutOff,
        }
    }
}

/// A request that has run since before the link was opened.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct AdoptFrame {
    /// The request, as it was sent for its grant.
    #[prost(message, optional, tag = "1")]
    pub request: Option<GrantRequestFrame>,
    /// Name of the endpoint that runs the request.
    #[prost(string, tag = "2")]
    pub endpoint: String,
}

/// What an instance has left of its share of the teams' rates from the time without a leader.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RatesFrame {
    /// The rest for each team.
    #[prost(message, repeated, tag = "1")]
    pub teams: Vec<TeamRateFrame>,
}

/// What is left of the rate of one team.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct TeamRateFrame {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Number of tokens; negative for a debt.
    #[prost(double, tag = "2")]
    pub tokens: f64,
}

impl From<Vec<UnusedRate>> for RatesFrame {
    fn from(unused: Vec<UnusedRate>) -> Self {
        let teams = unused
            .into_iter()
            .map(|unused| TeamRateFrame { team: unused.team.to_string(), tokens: unused.tokens });
        Self { teams: teams.collect() }
    }
}

impl From<RatesFrame> for Vec<UnusedRate> {
    fn from(frame: RatesFrame) -> Self {
        let teams = frame.teams.into_iter().filter(|team| team.tokens.is_finite());
        teams.map(|team| UnusedRate { team: team.team.into(), tokens: team.tokens }).collect()
    }
}
