//! A granted request while it runs.

use super::{GrantRequest, forecast::Forecast};
use crate::clock::Time;

/// A granted request that runs at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct ActiveRun {
    /// The request that was granted.
    pub request: GrantRequest,
    /// When it was granted.
    pub granted_at: Time,
    /// Times that were expected when it was granted.
    pub forecast: Forecast,
    /// Whether the first event of the response has arrived.
    pub started: bool,
    /// When the first event arrived; the time of the grant before that.
    pub started_at: Time,
    /// Pace of the endpoint when the request was granted.
    pub pace: f64,
    /// Requests at the endpoint for each of its slots when the request was granted, itself included.
    pub load: f64,
}
