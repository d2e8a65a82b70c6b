//! Looks up again what the operators' configuration says of a request.
//!
//! A request may wait long for its body, a grant or a connection. What was true when it arrived need not
//! be true when it is sent.

use std::sync::Arc;

use super::{forward::Job, response::Rejection};
use crate::{
    catalog::{Catalog, Route, Team},
    kernel::grants::VersionNeed,
    platform::caller::CallerHead,
};

/// Returns the route of a request and the team of its key. Fails if no route matches, or if the
/// route needs a key and the request has no valid one.
pub fn authorize(
    catalog: &Catalog,
    head: &CallerHead,
    path: &str,
) -> Result<(Arc<Route>, Option<Arc<Team>>), Rejection> {
    let route = catalog.route(&head.host, path).ok_or(Rejection::NoRoute)?;
    let team = head.key.as_deref().and_then(|key| catalog.keys.get(key));
    if team.is_none() && catalog.keys_required && !route.is_public {
        return Err(Rejection::NoKey);
    }
    Ok((route.clone(), team.cloned()))
}

/// What a configuration says of a request.
struct Standing {
    route: Arc<Route>,
    team: Option<Arc<Team>>,
    service: Arc<str>,
}

impl Job {
    /// Returns what `catalog` says of the request.
    fn standing(&self, catalog: &Catalog) -> Result<Standing, Rejection> {
        let (route, team) = authorize(catalog, &self.head, self.uri.path())?;
        if route.retry.is_stream() != self.route.retry.is_stream() {
            return Err(Rejection::Changed);
        }
        let has_begun = matches!(self.version, VersionNeed::Exactly(_));
        let is_listed = || route.targets.iter().any(|(service, _)| *service == self.service);
        // A stream that has begun at a service goes on there.
        let service = match has_begun && is_listed() {
            true => self.service.clone(),
            false => route.choose_service(self.draw).cloned().ok_or(Rejection::NoRoute)?,
        };
        Ok(Standing { route, team, service })
    }

    /// Looks the request up in the current configuration. Fails if it is not admitted any more.
    pub(super) fn look_up_again(&mut self) -> Result<(), Rejection> {
        let Some(catalog) = self.newer_catalog() else { return Ok(()) };
        let standing = self.standing(&catalog);
        let standing = standing.map_err(|rejection| match self.runs {
            0 => rejection,
            _ => Rejection::Unknown,
        })?;
        // Another team or service needs another grant.
        if !self.is_as(&standing) {
            self.granted = None;
        }
        let Standing { route, team, service } = standing;
        (self.catalog, self.route, self.team, self.service) = (catalog, route, team, service);
        Ok(())
    }

    /// Returns whether the current configuration lets the request be sent as it was granted.
    pub(super) fn is_current(&self) -> bool {
        let Some(catalog) = self.newer_catalog() else { return true };
        self.standing(&catalog).is_ok_and(|standing| self.is_as(&standing))
    }

    /// Returns the current configuration if it is not the one in which the request was looked up.
    fn newer_catalog(&self) -> Option<Arc<Catalog>> {
        let current = self.gateway.catalog.load_full();
        current.filter(|current| !Arc::ptr_eq(current, &self.catalog))
    }

    fn is_as(&self, standing: &Standing) -> bool {
        let team = |team: &Option<Arc<Team>>| team.as_ref().map(|team| team.name.clone());
        team(&standing.team) == team(&self.team) && standing.service == self.service
    }
}
