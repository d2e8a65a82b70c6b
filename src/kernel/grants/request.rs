//! Requests for grants, and the grants and refusals that answer them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Incarnation, Order, StreamId, VersionNeed};
use crate::clock::Time;

/// Identifies a grant by the instance that requested it and a number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GrantKey {
    /// Instance that requested the grant.
    pub instance: Arc<str>,
    /// Number of the request, never reused by the instance.
    pub number: u64,
}

/// What a request needs from an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelWork {
    /// Model that runs the request.
    pub model: Arc<str>,
    /// Adapter of the model, if the request names one.
    pub adapter: Option<Arc<str>>,
    /// Consecutive parts of the prompt, each a hash and a number of tokens.
    pub parts: Vec<(u64, u32)>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Upper bound of the response in tokens.
    pub output_tokens: u64,
}

/// A request that needs an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantRequest {
    /// Service whose endpoints may run the request.
    pub service: Arc<str>,
    /// Data centre of the entry instance.
    pub data_centre: Arc<str>,
    /// Team whose rate is charged, if any.
    pub team: Option<Arc<str>>,
    /// Tokens charged to the team.
    pub charge: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When the first byte of the response is due.
    pub due: Time,
    /// When the response is no longer of use to the caller.
    pub deadline: Time,
    /// Longest pause between two events with which the response is still in time; `None` if its route
    /// names none.
    pub max_pause: Option<Duration>,
    /// What the request needs from an engine; `None` for a plain service, whose endpoints are not
    /// engines.
    pub work: Option<ModelWork>,
    /// Endpoints that must not be chosen, since earlier attempts were sent there.
    pub tried: Vec<Arc<str>>,
    /// Whether an earlier attempt was already sent to an endpoint.
    pub is_retry: bool,
    /// Hash that identifies a request which crashes endpoints.
    pub fingerprint: u64,
    /// The stream that the request begins or resumes; `None` if it cannot be resumed.
    pub stream: Option<StreamId>,
    /// Software version that the endpoint must have.
    pub version: VersionNeed,
}

impl GrantRequest {
    /// Returns whether the response is known to be a stream, whose first event is reported.
    pub fn is_stream(&self) -> bool {
        self.stream.is_some() || self.max_pause.is_some()
    }
}

/// Permission to send a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Endpoint that runs the request.
    pub endpoint: Arc<str>,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Incarnation of the endpoint, which distinguishes the grant from those of a later start.
    pub incarnation: Incarnation,
    /// Version of the endpoint's software; empty if it is not known.
    pub version: Arc<str>,
    /// Address of the engine from which this one fetches the beginning of the prompt; `None` if it
    /// prefills what it lacks.
    pub holder: Option<SocketAddr>,
}

/// The limit of the request rate that an endpoint names.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLimit {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Incarnation that named the limit.
    pub incarnation: Incarnation,
    /// Requests a second from all instances together; `None` if it names no limit.
    pub rate: Option<f64>,
}

/// A granted request that is still running, as an instance reports it to a new leader.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveGrant {
    /// The request that was granted.
    pub request: GrantRequest,
    /// Endpoint that runs the request.
    pub endpoint: Arc<str>,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The team exceeds its rate.
    OverRate,
    /// No endpoint can run the request in time.
    NoRoom,
    /// No endpoint has a replica of the model, and none can load it in time.
    NoModel,
    /// The retry budget is spent.
    NoRepeat,
    /// The request crashes the endpoints that run it.
    Crashes,
    /// The service has no endpoints.
    NoEndpoint,
    /// No endpoint has the software version that began the stream, or that version is not known.
    NoOrigin,
}

/// A refusal and the time after which a retry is worthwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time to wait before a retry.
    pub retry: Duration,
}

impl Refusal {
    /// The refusal of a request that crashes endpoints. An early retry is of no use.
    pub const CRASHES: Self = Self { reason: Reason::Crashes, retry: Duration::from_secs(4) };
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint sent a complete response.
    Whole,
    /// The endpoint responded with an error.
    Failed,
    /// The connection broke after the request was sent.
    Broke,
    /// The endpoint sent nothing for too long.
    Silent,
    /// No connection could be made.
    Unreached,
    /// The endpoint was full and rejected the request without running it.
    Full,
    /// Another endpoint has the address, or the engine lacks the model; the request did not run.
    Misplaced,
    /// The entry instance knows that the endpoint drains or is gone; the request was not sent.
    Leaving,
    /// The entry instance is cut off from the endpoints, so that nothing is known of this one; the
    /// request was not sent.
    CutOff,
    /// The caller disconnected, or the deadline passed.
    Left,
}

impl Outcome {
    /// Returns whether the request has certainly not run, although it was granted and is still of use.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Outcome::Unreached
                | Outcome::Full
                | Outcome::Misplaced
                | Outcome::Leaving
                | Outcome::CutOff
        )
    }
}

/// An action that the caller of the scheduler must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell an instance that it may send its request.
    Grant(GrantKey, Grant),
    /// Tell an instance that it may not send its request.
    Refuse(GrantKey, Refusal),
    /// Send an order to an engine.
    Order {
        /// Engine that receives the order.
        endpoint: Arc<str>,
        /// Address of the engine.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Read the report of an engine.
    Report {
        /// Engine to read from.
        endpoint: Arc<str>,
        /// Address of the engine.
        address: SocketAddr,
    },
}
