//! Serves the addresses that callers may use, and readiness checks.

use std::{net::SocketAddr, time::Duration};

use http::{Method, Response, StatusCode};
use rand::seq::SliceRandom;
use serde::Serialize;

use super::{
    Gateway,
    response::{ResponseBody, empty_response, json_response},
};
use crate::platform::caller::{READY_PATH, RESOLVE_PATH};

/// TTL of the addresses in a caller's cache. The shorter it is, the sooner callers leave an
/// instance that is lost.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Most addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// Body of the response to a request for addresses.
#[derive(Serialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
    ttl_s: u64,
}

/// Returns the response to a request for addresses.
pub fn resolve(gateway: &Gateway, method: &Method, path: &str) -> Response<ResponseBody> {
    if method != Method::GET || path != RESOLVE_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let mut addresses = gateway.caller_addresses();
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_ADDRESSES);
    let ttl_s = ADDRESS_TTL.min(gateway.settings.address_ttl).as_secs();
    json_response(StatusCode::OK, &Addresses { addresses, ttl_s })
}

/// Returns the response to a readiness check of the platform.
pub fn ready(gateway: &Gateway, method: &Method, path: &str) -> Response<ResponseBody> {
    match (method, path) {
        (&Method::GET, READY_PATH) if gateway.is_ready() => empty_response(StatusCode::OK),
        (&Method::GET, READY_PATH) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}
