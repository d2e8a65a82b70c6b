//! What entry instances ask for, and what they are told.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Command, Incarnation};
use crate::clock::Time;

/// Names a grant: the instance that asked and its number there.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GrantKey {
    /// The instance.
    pub instance: Arc<str>,
    /// Number, which the instance never uses twice.
    pub number: u64,
}

/// What a request needs of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelWork {
    /// Model.
    pub model: Arc<str>,
    /// Adapter of the model.
    pub adapter: Option<Arc<str>>,
    /// Parts of the prompt in order: a hash and a number of tokens each.
    pub parts: Vec<(u64, u32)>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
}

/// A request that needs an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantRequest {
    /// Service whose endpoints may run it.
    pub service: Arc<str>,
    /// Data centre of the entry instance.
    pub data_centre: Arc<str>,
    /// Team whose rate it is charged to.
    pub team: Option<Arc<str>>,
    /// Tokens that are charged.
    pub charge: u64,
    /// Urgency, 0 first.
    pub priority: u8,
    /// When its first byte should be there.
    pub due: Time,
    /// When it is of no use any more.
    pub deadline: Time,
    /// What it needs of an engine; `None` for plain services.
    pub work: Option<ModelWork>,
    /// Endpoints that it must not be sent to again.
    pub tried: Vec<Arc<str>>,
    /// Whether it was sent to an endpoint before.
    pub is_retry: bool,
    /// Hash by which a request that crashes endpoints is recognized.
    pub fingerprint: u64,
}

/// A permission to send a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Endpoint.
    pub endpoint: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its incarnation, by which later news of it are told apart.
    pub incarnation: Incarnation,
}

/// A grant in use, as an instance tells a new leader about it.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveGrant {
    /// What was asked.
    pub request: GrantRequest,
    /// Endpoint that runs it.
    pub endpoint: Arc<str>,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The team is over its rate.
    OverRate,
    /// No endpoint can run it in time.
    NoRoom,
    /// No endpoint holds the model, and none can load it in time.
    NoModel,
    /// The budget of repeats is spent.
    NoRepeat,
    /// The request crashes the endpoints that run it.
    Crashes,
    /// The service has no endpoints.
    NoEndpoint,
}

/// A refusal with the time after which another attempt is worthwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry: Duration,
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint gave a whole answer.
    Whole,
    /// The endpoint answered that it failed.
    Failed,
    /// The connection broke after the request was sent.
    Broke,
    /// The endpoint stayed silent for too long.
    Silent,
    /// No connection could be made.
    Unreached,
    /// The endpoint refused it for lack of room and did not run it.
    Full,
    /// Another endpoint has the address, or the engine lacks the model; it did not run.
    Misplaced,
    /// The caller left, or the request's time was over.
    Left,
}

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell an instance that it may send.
    Grant(GrantKey, Grant),
    /// Tell an instance that it may not send.
    Refuse(GrantKey, Refusal),
    /// Send an order to an engine, which holds only after `expected` orders.
    Order {
        /// Engine.
        endpoint: Arc<str>,
        /// Its address.
        address: SocketAddr,
        /// The order.
        command: Command,
        /// Orders that the engine must have taken before.
        expected: u64,
    },
    /// Read an engine's report.
    Report {
        /// Engine.
        endpoint: Arc<str>,
        /// Its address.
        address: SocketAddr,
    },
}
