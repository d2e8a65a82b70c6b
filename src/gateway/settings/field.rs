//! Checks of single fields of the settings.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use crate::settings::SettingsError;

/// Least value of a number that must not be zero; times are counted in milliseconds.
const MIN_POSITIVE: f64 = 1e-3;

/// Returns the error of a field that is not valid; `reason` says which value is expected.
pub(super) fn field_error(path: &str, reason: &str) -> SettingsError {
    SettingsError::Field { line: None, field: path.to_owned(), reason: reason.to_owned() }
}

pub(super) fn parse_name(path: &str, text: String) -> Result<Arc<str>, SettingsError> {
    if text.is_empty() { Err(field_error(path, "write a name")) } else { Ok(text.into()) }
}

pub(super) fn parse_address(path: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse()
        .map_err(|_| field_error(path, "write an IP number and a port, such as 10.0.0.1:8000"))
}

pub(super) fn parse_relay(relay: Option<&str>, peer: &str) -> Result<SocketAddr, SettingsError> {
    if let Some(relay) = relay {
        return parse_address("relay", relay);
    }
    let peer = parse_address("peer", peer)?;
    let port = peer.port().checked_add(1);
    let port =
        port.ok_or_else(|| field_error("relay", "write an address, `peer` has the last port"));
    Ok(SocketAddr::new(peer.ip(), port?))
}

pub(super) fn parse_ip(path: &str, text: &str) -> Result<IpAddr, SettingsError> {
    text.parse().map_err(|_| field_error(path, "write an IP number, such as 10.0.0.1"))
}

pub(super) fn non_negative(path: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(field_error(path, "write a number of at least 0"))
    }
}

pub(super) fn positive(path: &str, value: f64) -> Result<f64, SettingsError> {
    match non_negative(path, value)? {
        value if value >= MIN_POSITIVE => Ok(value),
        _ => Err(field_error(path, "write a number of at least 0.001")),
    }
}

pub(super) fn parse_seconds(path: &str, value: f64) -> Result<Duration, SettingsError> {
    Ok(Duration::from_secs_f64(non_negative(path, value)?))
}
