//! Whether an endpoint takes requests now, whatever they need.

use super::{Endpoint, endpoint::COLD_WINDOW};
use crate::{catalog::Service, clock::Time};

impl Endpoint {
    /// Returns whether the endpoint can take one more request without exceeding its cold rate.
    pub(super) fn has_cold_capacity(&self, service: &Service, now: Time) -> bool {
        if !self.is_cold(now) || service.cold_rate <= 0.0 {
            return true;
        }
        let recent = self.recent_grants.iter().filter(|at| now.since(**at) < COLD_WINDOW).count();
        (recent as f64) + 1.0 <= service.cold_rate.max(1.0)
    }

    /// Returns until when the endpoint takes no request, whatever it needs: it is paused, at its cold
    /// rate, or at the rate that it has named, of which this scheduler has a `share`.
    pub(super) fn closed_until(&self, service: &Service, share: f64, now: Time) -> Option<Time> {
        let paused = (self.paused_until > now).then_some(self.paused_until);
        let cold = (!self.has_cold_capacity(service, now)).then(|| {
            let oldest = self.recent_grants.iter().find(|at| now.since(**at) < COLD_WINDOW);
            oldest.map_or(now, |at| *at + COLD_WINDOW).min(self.cold_until)
        });
        let limit_wait = self.rate_limit.map(|limit| limit.wait(share, now));
        let limited = limit_wait.filter(|wait| !wait.is_zero()).map(|wait| now + wait);
        paused.max(cold).max(limited)
    }
}
