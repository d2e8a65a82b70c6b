//! Limits of the request rate that endpoints name in their responses.

use super::Scheduler;
use crate::kernel::grants::Grant;

impl Scheduler {
    /// Records the limit that the response to a granted request names; `None` if it names none.
    /// Returns whether the limit has changed.
    pub fn record_rate_limit(&mut self, grant: &Grant, limit: Option<f64>) -> bool {
        let endpoint = self.endpoints.get_mut(&grant.endpoint);
        let endpoint = endpoint.filter(|known| known.info.incarnation == grant.incarnation);
        let Some(endpoint) = endpoint else { return false };
        std::mem::replace(&mut endpoint.rate_limit, limit) != limit
    }
}
