//! The settings of a gateway as written in the file, before they are checked.

use serde::Deserialize;

/// The settings as written in the file.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct RawGateway {
    pub instance: String,
    pub data_centre: String,
    pub callers: String,
    pub directory: String,
    pub readiness: String,
    pub peer: String,
    pub relay: Option<String>,
    pub metrics: String,
    pub store: String,
    pub source: Option<String>,
    pub machine: RawResources,
    pub limits: RawLimits,
    #[serde(default)]
    pub intake: RawIntake,
    #[serde(default)]
    pub duties: Option<RawDuties>,
    #[serde(default = "default_log")]
    pub log: String,
}

fn default_log() -> String {
    "info".to_owned()
}

/// The section `machine` as written.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct RawResources {
    pub cores: f64,
    pub link_mbps: f64,
}

/// The section `limits` as written.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct RawLimits {
    pub repeat_ratio: f64,
    pub repeat_slack: f64,
    pub repeat_window_s: f64,
    pub load_window_s: f64,
    pub rate_slack: f64,
    pub order_gap_ms: f64,
    pub stop_s: f64,
    pub address_ttl_s: f64,
    pub drain_ms: f64,
    pub memory_mb: Option<f64>,
    pub max_fds: Option<usize>,
}

/// The section `intake` as written.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(super) struct RawIntake {
    pub bytes_mb: Option<f64>,
    pub sockets: Option<usize>,
    pub peer_fraction: Option<f64>,
    pub max_header_fields: Option<usize>,
}

/// The section `duties` as written.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct RawDuties {
    pub address: String,
    #[serde(default)]
    pub kinds: String,
    #[serde(default)]
    pub calls_per_s: Option<f64>,
    #[serde(default)]
    pub window_s: Option<f64>,
    #[serde(default)]
    pub late_s: Option<f64>,
}
