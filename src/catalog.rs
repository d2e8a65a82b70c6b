//! The operators' catalog as the gateway reads it: routes, services, teams and limits on callers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::kernel::duties::scaling::ScalingSpec;

/// One version of the operators' catalog document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version of the document, which only increases.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Teams by API key.
    pub keys: HashMap<Arc<str>, Arc<Team>>,
    /// Whether callers need a key on routes that are not public.
    pub keys_required: bool,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Limits on the size and the timing of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the headers in bytes.
    pub max_headers: usize,
    /// Maximum size of the body in bytes.
    pub max_body: usize,
    /// Longest wait for the headers of a request.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle before it is closed.
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

/// Whether a request may be retried at another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The response is a stream.
    Stream {
        /// Whether another attempt may continue after the last event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Returns whether a request may be retried after its run was lost.
    pub fn may_retry(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream { .. })
    }
}

/// A route, which sends the requests below a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route in logs.
    pub name: Arc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services with their weights.
    pub targets: Vec<(Arc<str>, u32)>,
    /// Whether requests may be retried.
    pub retry: RetryPolicy,
    /// Longest time for a request with all its attempts; with zero, only the caller's timeout applies.
    pub timeout: Duration,
    /// Target for the time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream with which the response is still in time; `None` if
    /// the route names none.
    pub max_pause: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
}

impl Route {
    /// Returns the time for a request whose caller waits for `time`.
    pub fn limit_time(&self, time: Duration) -> Duration {
        if self.timeout.is_zero() { time } else { time.min(self.timeout) }
    }

    /// Chooses a service at random by the weights; `draw` is the random number to use.
    ///
    /// Returns `None` if the weights add up to zero.
    pub fn choose_service(&self, draw: u32) -> Option<&Arc<str>> {
        let total: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw.checked_rem(total)?;
        self.targets.iter().find_map(|(service, weight)| {
            if remaining < *weight {
                return Some(service);
            }
            remaining -= weight;
            None
        })
    }
}

/// A group of endpoints of the same kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Requests per second that an endpoint may receive while it is cold; zero means no limit.
    pub cold_rate: f64,
    /// Specification of the engines; `None` for plain services.
    pub engine: Option<EngineSpec>,
    /// Bounds within which the leader scales the service; `None` if it does not.
    pub scaling: Option<ScalingSpec>,
}

/// Specification of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that can run at once.
    pub slots: u32,
    /// Size of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Memory for weights and adapters in megabytes.
    pub weights_mb: f64,
    /// Adapters that an engine can keep loaded.
    pub adapter_slots: u32,
    /// Loads per second that the weight store allows for all engines together.
    pub load_rate: f64,
    /// Models by name.
    pub models: HashMap<Arc<str>, ModelSpec>,
    /// How engines fetch cached prompt parts from one another; `None` if they cannot.
    pub fetch: Option<FetchSpec>,
}

/// How engines fetch cached prompt parts from one another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FetchSpec {
    /// Bytes of the KV cache for each token.
    pub token_bytes: f64,
    /// Bandwidth of an engine's link in megabits per second.
    pub link_mbps: f64,
}

impl FetchSpec {
    /// Returns the time that the transfer of `tokens` takes over one link.
    pub fn transfer_time(&self, tokens: u64) -> Duration {
        let seconds = tokens as f64 * self.token_bytes * 8.0 / (self.link_mbps * 1e6);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Specification of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Size of the weights in megabytes.
    pub weights_mb: f64,
    /// Size of an adapter in megabytes.
    pub adapter_mb: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to load the weights from the engine's disk.
    pub disk_time: Duration,
    /// Time to load the weights from the engine's host memory.
    pub memory_time: Duration,
}

/// A team and its rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team, which is sent to endpoints with each request.
    pub name: Arc<str>,
    /// Tokens per second; zero means no limit.
    pub rate: f64,
    /// Largest number of unused tokens that can accumulate.
    pub burst: f64,
    /// Priority that replaces the route's priority, or `None` to use the route's.
    pub priority: Option<u8>,
    /// Tokens charged for a request that does not state how many tokens it needs.
    pub default_tokens: u64,
}

impl Catalog {
    /// Returns the first route of `host` whose prefix matches `path`, or `None` if there is none.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
