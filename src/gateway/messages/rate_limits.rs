//! Frames about the limits of the request rate that endpoints name.

use prost::Message;

use crate::kernel::grants::{EndpointLimit, Incarnation};

/// Limits that the sender knows.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RateLimitsFrame {
    /// The limit of each endpoint.
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<RateLimitFrame>,
}

/// Limit of an endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct RateLimitFrame {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Incarnation that named the limit.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Requests a second from all instances together; missing if the endpoint names no limit.
    #[prost(double, optional, tag = "3")]
    pub rate: Option<f64>,
}

impl From<&[EndpointLimit]> for RateLimitsFrame {
    fn from(limits: &[EndpointLimit]) -> Self {
        let limits = limits.iter().map(|limit| RateLimitFrame {
            endpoint: limit.endpoint.to_string(),
            incarnation: limit.incarnation.0,
            rate: limit.rate,
        });
        Self { limits: limits.collect() }
    }
}

impl From<RateLimitsFrame> for Vec<EndpointLimit> {
    fn from(frame: RateLimitsFrame) -> Self {
        let limits = frame.limits.into_iter().map(|limit| EndpointLimit {
            endpoint: limit.endpoint.into(),
            incarnation: Incarnation(limit.incarnation),
            rate: limit.rate.filter(|rate| rate.is_finite() && *rate >= 0.0),
        });
        limits.collect()
    }
}
