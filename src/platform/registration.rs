//! Decodes what endpoints say of themselves in the platform's store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::Deserialize;

use crate::kernel::grants::{Incarnation, Registration};

/// Prefix of the endpoints' keys.
pub const ENDPOINT_PREFIX: &str = "servers/";

/// An entry as written. Its `seq` counts heartbeats, not orders as that of a report does, and is
/// left out.
#[derive(Deserialize)]
struct RawEntry {
    service: String,
    address: SocketAddr,
    zone: String,
    #[serde(default)]
    slots: u32,
    state: String,
    #[serde(default)]
    cold_remaining_ms: f64,
    #[serde(default)]
    born: u64,
    /// Set where the endpoint is removed at short notice: time until it is gone.
    #[serde(default)]
    remaining_ms: Option<f64>,
    #[serde(default)]
    models: Vec<RawModel>,
    #[serde(default)]
    at_hand: RawAtHand,
}

/// A model as entries and reports list it.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(super) struct RawModel {
    name: String,
    #[serde(default)]
    adapters: Vec<String>,
}

impl RawModel {
    pub(super) fn into_parts(self) -> (Arc<str>, Vec<Arc<str>>) {
        (self.name.into(), self.adapters.into_iter().map(Arc::from).collect())
    }
}

#[derive(Default)]
#[derive(Deserialize)]
struct RawAtHand {
    #[serde(default)]
    in_memory: Vec<String>,
    #[serde(default)]
    on_disk: Vec<String>,
}

/// Decodes the entry of the endpoint `id`; `None` for entries that name no endpoint to use.
pub fn decode(id: &str, value: &[u8]) -> Option<Registration> {
    let raw: RawEntry = match serde_json::from_slice(value) {
        Ok(raw) => raw,
        Err(err) => {
            log::debug!("event=endpoint_entry_unreadable endpoint={id} reason={err}");
            return None;
        }
    };
    let draining = match raw.state.as_str() {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    let names = |list: Vec<String>| list.into_iter().map(Arc::from).collect();
    Some(Registration {
        id: id.into(),
        incarnation: Incarnation(raw.born),
        service: raw.service.into(),
        address: raw.address,
        data_centre: raw.zone.into(),
        slots: raw.slots,
        draining,
        removed_in: raw.remaining_ms.map(|ms| Duration::from_secs_f64((ms / 1e3).max(0.0))),
        cold_remaining: Duration::from_secs_f64((raw.cold_remaining_ms / 1e3).max(0.0)),
        models: raw.models.into_iter().map(RawModel::into_parts).collect(),
        in_memory: names(raw.at_hand.in_memory),
        on_disk: names(raw.at_hand.on_disk),
    })
}
