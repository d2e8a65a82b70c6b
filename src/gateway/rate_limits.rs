//! Limits of the request rate that endpoints name in their responses.

use super::Gateway;
use crate::kernel::grants::Grant;

impl Gateway {
    /// Records the limit that the response to a granted request names, and logs a change.
    pub(super) fn record_rate_limit(&self, grant: &Grant, limit: Option<f64>) {
        if self.scheduler.lock().record_rate_limit(grant, limit) {
            let limit = limit.map_or("none".to_owned(), |limit| limit.to_string());
            log::info!("event=endpoint_rate_limit endpoint={} limit={limit}", grant.endpoint);
        }
    }
}
