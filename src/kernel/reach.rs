//! Decides whether an instance has lost its path to the endpoints.
//!
//! An endpoint that cannot be reached may be down. If most of the endpoints that an instance has tried
//! lately cannot be reached, it is the instance that is cut off, and other instances may still reach
//! them.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use crate::clock::Time;

/// Time for which an attempt to reach an endpoint counts.
const EVIDENCE_TTL: Duration = Duration::from_secs(3);

/// Endpoints that must be out of reach before the path is in doubt.
const MIN_UNREACHED: usize = 2;

/// Endpoints out of reach since the last one was reached, by which the path is cut whatever was seen
/// before.
const MIN_UNREACHED_IN_A_ROW: usize = 3;

/// Endpoints that must be reached before the path counts as mended.
const MIN_REACHED: usize = 2;

/// The last attempt to reach an endpoint.
#[derive(Clone, Debug)]
struct Evidence {
    service: Arc<str>,
    reached: bool,
    at: Time,
}

/// State of the path from an instance to the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// The endpoints can be reached, as far as is known.
    Sound,
    /// Several endpoints cannot be reached, but not most of them.
    Doubtful,
    /// The instance is cut off from the endpoints.
    Cut,
}

/// Endpoints that were tried lately.
#[derive(Clone, Copy, Debug, Default)]
struct Tried {
    reached: usize,
    unreached: usize,
}

/// What an instance has seen of its path to the endpoints.
#[derive(Debug, Default)]
pub struct Reach {
    /// The last attempt at each endpoint.
    evidence: HashMap<Arc<str>, Evidence>,
    /// Since when the path to the endpoints of all services together is cut; `None` while it is not.
    cut_since: Option<Time>,
    /// Services to whose endpoints the path is cut.
    cut_services: HashSet<Arc<str>>,
    /// Endpoints that were out of reach since the last one was reached.
    unreached_in_a_row: HashSet<Arc<str>>,
}

impl Reach {
    /// Records whether an endpoint of a service could be reached. Returns whether the path to all
    /// services is cut now, if that has changed.
    pub fn record(
        &mut self,
        service: &Arc<str>,
        endpoint: &Arc<str>,
        reached: bool,
        now: Time,
    ) -> Option<bool> {
        self.evidence.retain(|_, evidence| now.since(evidence.at) < EVIDENCE_TTL);
        let evidence = Evidence { service: service.clone(), reached, at: now };
        self.evidence.insert(endpoint.clone(), evidence);
        let was_cut = self.cut_services.contains(service);
        match is_cut(was_cut, self.tried(Some(service), now)) {
            true => drop(self.cut_services.insert(service.clone())),
            false => drop(self.cut_services.remove(service)),
        }
        match reached {
            true => self.unreached_in_a_row.clear(),
            false => drop(self.unreached_in_a_row.insert(endpoint.clone())),
        }
        let was_cut = self.cut_since.is_some();
        let is_cut = self.unreached_in_a_row.len() >= MIN_UNREACHED_IN_A_ROW
            || is_cut(was_cut, self.tried(None, now));
        if is_cut != was_cut {
            self.cut_since = is_cut.then_some(now);
        }
        (is_cut != was_cut).then_some(is_cut)
    }

    /// Returns the state of the path to the endpoints of a service.
    pub fn path(&self, service: &str, now: Time) -> Path {
        if self.cut_since.is_some() || self.cut_services.contains(service) {
            return Path::Cut;
        }
        match self.tried(Some(service), now).unreached >= MIN_UNREACHED {
            true => Path::Doubtful,
            false => Path::Sound,
        }
    }

    /// Returns the time for which the path to all services has been cut; `None` if it is not.
    pub fn cut_for(&self, now: Time) -> Option<Duration> {
        self.cut_since.map(|since| now.since(since))
    }

    /// Returns whether the path to the endpoints of a service must be probed.
    pub fn needs_probe(&self, service: &str) -> bool {
        self.cut_since.is_some() || self.cut_services.contains(service)
    }

    /// Returns whether an endpoint of a service was reached lately.
    pub fn has_reached(&self, service: &str, now: Time) -> bool {
        self.tried(Some(service), now).reached > 0
    }

    /// Returns how many endpoints of a service, or of all, were tried lately.
    fn tried(&self, service: Option<&str>, now: Time) -> Tried {
        let mut tried = Tried::default();
        for evidence in self.evidence.values() {
            let is_old = now.since(evidence.at) >= EVIDENCE_TTL;
            if is_old || service.is_some_and(|service| *evidence.service != *service) {
                continue;
            }
            match evidence.reached {
                true => tried.reached += 1,
                false => tried.unreached += 1,
            }
        }
        tried
    }
}

/// Returns whether a path is cut. One that was cut stays so until enough endpoints are reached.
fn is_cut(was_cut: bool, tried: Tried) -> bool {
    match was_cut {
        true => tried.reached < MIN_REACHED || tried.reached < tried.unreached,
        false => tried.unreached >= MIN_UNREACHED && tried.unreached > tried.reached,
    }
}

/// What an instance does with a request that needs an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Ask for a grant, and send the request to the endpoint.
    Direct,
    /// Pass the request to another instance.
    Relay,
    /// Reject the request: it has not run, and no instance that was asked reaches an endpoint.
    Reject,
}

/// A request that needs an endpoint, as far as its way depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingRequest {
    /// Whether another instance has passed it on.
    pub is_relayed: bool,
    /// Whether no other instance has taken it.
    pub was_declined: bool,
    /// Whether the last attempt failed to reach an endpoint.
    pub was_unreached: bool,
    /// Whether an attempt may have run it.
    pub may_have_run: bool,
}

/// Chooses the way of a request.
pub fn choose_way(path: Path, request: PendingRequest) -> Way {
    match path {
        // Its attempts count together, and a refusal would say that it has not run.
        _ if request.may_have_run => Way::Direct,
        _ if request.was_declined && request.was_unreached => Way::Reject,
        _ if request.was_declined => Way::Direct,
        Path::Cut if request.is_relayed => Way::Reject,
        Path::Cut => Way::Relay,
        Path::Doubtful if request.was_unreached && !request.is_relayed => Way::Relay,
        Path::Doubtful | Path::Sound => Way::Direct,
    }
}
