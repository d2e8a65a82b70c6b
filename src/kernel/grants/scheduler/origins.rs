//! Lets streams go on only at the software version that began them.

use std::time::Duration;

use super::{Mode, Scheduler};
use crate::{
    clock::Time,
    kernel::grants::{
        Decider, GrantRequest, Origin, Outcome, Reason, Refusal, StreamId, StreamOrigins,
        VersionNeed,
    },
};

/// Time after which a caller may take a stream up whose version is not known: that of the election of a
/// leader, which knows more.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);

/// The refusal of a stream whose version is not known.
pub(super) const UNKNOWN_REFUSAL: Refusal =
    Refusal { reason: Reason::NoOrigin, retry: UNKNOWN_RETRY };

/// Time after which a caller may take a stream up whose version does not serve. Endpoints that have
/// crashed may be back then.
const MISSING_RETRY: Duration = Duration::from_secs(2);

/// What to do with a request, by the version that it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OriginStep {
    /// Its version is known, or any will do.
    Decide,
    /// It waits until this time at most for its version to be known.
    Hold(Time),
    /// Its version is not known.
    Refuse,
}

impl Scheduler {
    /// Returns the origins of streams.
    pub fn origins(&mut self) -> &mut StreamOrigins {
        &mut self.origins
    }

    /// Returns who decides here at which version streams go on.
    pub(super) fn decider(&self) -> Decider {
        match self.mode {
            Mode::Leading { .. } => Decider::Leader,
            Mode::Alone { .. } => Decider::Lone,
        }
    }

    /// Sets the version at which a stream must go on, if it is known.
    pub(super) fn find_origin(&self, request: &mut GrantRequest, now: Time) -> OriginStep {
        if request.version != VersionNeed::Origin {
            return OriginStep::Decide;
        }
        let decider = self.decider();
        request.version = match self.origins.find(request.stream, &request.service, decider, now) {
            Origin::Version(version) => VersionNeed::Exactly(version),
            // Another version may begin to serve while the request waits.
            Origin::OnlyOne => match self.origins.only_version(&request.service, now) {
                Some(version) => VersionNeed::Exactly(version),
                None => VersionNeed::Any,
            },
            Origin::Unknown => {
                let until = self.hold_until(request, now);
                return until.map_or(OriginStep::Refuse, OriginStep::Hold);
            }
        };
        OriginStep::Decide
    }

    /// Returns the refusal of a stream that no endpoint of its version can go on with; `None` if all
    /// endpoints are of its version, so that its model may be loaded as for a new request.
    pub(super) fn refuse_missing_version(&self, request: &GrantRequest) -> Option<Refusal> {
        let VersionNeed::Exactly(version) = &request.version else { return None };
        let usable = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.info.service == request.service && !endpoint.is_leaving());
        let mut versions = usable.map(|endpoint| &endpoint.info.version).peekable();
        let is_only_one = versions.peek().is_some() && versions.all(|it| it == version);
        (!is_only_one).then_some(Refusal { reason: Reason::NoOrigin, retry: MISSING_RETRY })
    }

    /// Forgets what is too old of the origins of streams.
    pub fn maintain_origins(&mut self, now: Time) {
        self.record_versions(now);
        self.origins.forget_old(now);
    }

    /// Records the versions of all endpoints.
    pub(super) fn record_versions(&mut self, now: Time) {
        for endpoint in self.endpoints.values() {
            self.origins.record_version(&endpoint.info.service, &endpoint.info.version, now);
        }
    }

    /// Records that the first event of a response has arrived from an endpoint.
    pub(super) fn record_origin(&mut self, id: &str, request: &GrantRequest, now: Time) {
        let (Some(stream), Some(endpoint)) = (request.stream, self.endpoints.get(id)) else {
            return;
        };
        let info = &endpoint.info;
        self.origins.begin(stream, info.service.clone(), info.version.clone(), now);
    }

    /// Records how a run of a stream has ended.
    pub(super) fn end_origin(&mut self, stream: Option<StreamId>, outcome: Outcome, now: Time) {
        match (stream, outcome) {
            (Some(stream), Outcome::Whole) => self.origins.complete(stream, now),
            (Some(stream), _) => self.origins.break_off(stream, now),
            (None, _) => {}
        }
    }
}
