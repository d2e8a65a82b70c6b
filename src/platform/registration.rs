//! Decodes the entries in which endpoints register in the platform's store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::Deserialize;

use crate::kernel::grants::{EndpointEntry, Incarnation};

/// Prefix of the keys of endpoints' entries; the name of the endpoint follows.
pub const ENDPOINT_PREFIX: &str = "servers/";

/// An entry as stored. The entry's field `seq` counts heartbeats, unlike the `seq` of a report, which
/// counts orders. It is read by [`decode_heartbeat`] alone, as it would make each heartbeat a change.
#[derive(Deserialize)]
struct RawEntry {
    service: String,
    address: SocketAddr,
    zone: String,
    /// Version of the software, a text or a number.
    #[serde(default)]
    version: serde_json::Value,
    #[serde(default)]
    slots: u32,
    state: String,
    #[serde(default)]
    cold_remaining_ms: f64,
    #[serde(default)]
    born: u64,
    /// Time until the endpoint is removed, if that happens at short notice.
    #[serde(default)]
    remaining_ms: Option<f64>,
    #[serde(default)]
    models: Vec<RawModel>,
    #[serde(default)]
    at_hand: RawAtHand,
}

/// A model as listed in an entry or a report.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(super) struct RawModel {
    name: String,
    #[serde(default)]
    adapters: Vec<String>,
}

impl RawModel {
    /// Returns the names of the model and of its adapters.
    pub(super) fn into_parts(self) -> (Arc<str>, Vec<Arc<str>>) {
        (self.name.into(), self.adapters.into_iter().map(Arc::from).collect())
    }
}

/// Models whose weights are on the endpoint's host, so that they load faster.
#[derive(Default)]
#[derive(Deserialize)]
struct RawAtHand {
    #[serde(default)]
    in_memory: Vec<String>,
    #[serde(default)]
    on_disk: Vec<String>,
}

/// Longest time that an entry may name, in milliseconds.
const MAX_TIME_MS: f64 = 24.0 * 3_600.0 * 1_000.0;

/// Decodes a time in milliseconds; a negative one counts as zero. Returns `None` if it is too long.
fn decode_ms(ms: f64) -> Option<Duration> {
    (ms <= MAX_TIME_MS).then(|| Duration::from_secs_f64(ms.max(0.0) / 1e3))
}

/// Decodes the entry of the endpoint `id`. Returns `None` if the entry is not valid, or if the
/// endpoint cannot be used in its state.
pub fn decode(id: &str, value: &[u8]) -> Option<EndpointEntry> {
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
    let removed_in = match raw.remaining_ms {
        Some(ms) => Some(decode_ms(ms)?),
        None => None,
    };
    let to_names = |list: Vec<String>| list.into_iter().map(Arc::from).collect();
    Some(EndpointEntry {
        id: id.into(),
        incarnation: Incarnation(raw.born),
        service: raw.service.into(),
        version: match raw.version {
            serde_json::Value::String(text) => text.into(),
            serde_json::Value::Number(number) => number.to_string().into(),
            _ => "".into(),
        },
        address: raw.address,
        data_centre: raw.zone.into(),
        slots: raw.slots,
        draining,
        removed_in,
        cold_remaining: decode_ms(raw.cold_remaining_ms)?,
        models: raw.models.into_iter().map(RawModel::into_parts).collect(),
        in_memory: to_names(raw.at_hand.in_memory),
        on_disk: to_names(raw.at_hand.on_disk),
    })
}

/// The field of an entry that counts heartbeats.
#[derive(Deserialize)]
struct RawHeartbeat {
    #[serde(default)]
    seq: u64,
}

/// Decodes the number of the heartbeat with which an entry was written; `None` if the entry is not valid.
pub fn decode_heartbeat(value: &[u8]) -> Option<u64> {
    serde_json::from_slice::<RawHeartbeat>(value).ok().map(|raw| raw.seq)
}
