//! What operators have put in force: routes, services, teams and limits, as the gateway reads them.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Everything in force at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version, which only grows.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Teams by key.
    pub keys: HashMap<Arc<str>, Arc<Team>>,
    /// Whether callers need a key on routes that are not open.
    pub keys_required: bool,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest headers in bytes.
    pub max_headers: usize,
    /// Largest body in bytes.
    pub max_body: usize,
    /// Longest time for the headers of a request to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_headers: 16 << 10,
            max_body: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The answer is a stream; where `resumable`, another run may go on after the last event.
    Stream {
        /// Whether another run may go on after the last event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Returns whether a request whose run was lost may run again.
    pub fn may_retry(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream { .. })
    }
}

/// A route of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Prefix of the path, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services with their weights.
    pub targets: Vec<(Arc<str>, u32)>,
    /// What may be repeated.
    pub retry: RetryPolicy,
    /// Longest time that a request is kept.
    pub timeout: Duration,
    /// Time within which the answer, or the first event of a stream, earns its full worth.
    pub target_latency: Duration,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Most endpoints at which one request may run.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub open: bool,
}

impl Route {
    /// Chooses a service by the weights; `draw` is a random number.
    pub fn choose_service(&self, draw: u32) -> Option<&Arc<str>> {
        let total: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut left = draw.checked_rem(total)?;
        self.targets.iter().find_map(|(service, weight)| {
            if left < *weight {
                return Some(service);
            }
            left -= weight;
            None
        })
    }
}

/// A group of endpoints of the same make.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Requests a second that an endpoint bears while it is cold; zero for no limit.
    pub cold_rate: f64,
    /// The engines' make, where the endpoints run models.
    pub engine: Option<EngineSpec>,
}

/// Make of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and answers in tokens.
    pub kv_tokens: u64,
    /// Memory for weights and adapters in megabytes.
    pub weights_mb: f64,
    /// Adapters that an engine can hold.
    pub adapter_slots: u32,
    /// Loads a second that the weight store allows over all engines.
    pub load_rate: f64,
    /// Models by name.
    pub models: HashMap<Arc<str>, ModelSpec>,
}

/// A model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Size of the weights in megabytes.
    pub weights_mb: f64,
    /// Size of an adapter in megabytes.
    pub adapter_mb: f64,
    /// Time to load from the weight store.
    pub load_time: Duration,
    /// Time to load from the engine's disk.
    pub disk_time: Duration,
    /// Time to load from the engine's host memory.
    pub memory_time: Duration,
}

/// A customer with its rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name, which endpoints see.
    pub name: Arc<str>,
    /// Tokens a second; zero for no limit.
    pub rate: f64,
    /// Tokens that may be saved up.
    pub burst: f64,
    /// Urgency that goes before the route's.
    pub priority: Option<u8>,
    /// Tokens for which a request counts that names none.
    pub default_tokens: u64,
}

impl Catalog {
    /// Finds the route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
