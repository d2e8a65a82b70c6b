//! Settings of a gateway, as the platform fills in the template `deploy/gateway.yaml`.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use serde::Deserialize;

use crate::{
    kernel::grants::{Limits, RetryLimits},
    settings::{LogSettings, SettingsError},
    yaml,
};

/// Settings as written.
#[derive(Debug)]
#[derive(Deserialize)]
struct RawGateway {
    instance: String,
    data_centre: String,
    callers: String,
    directory: String,
    readiness: String,
    peer: String,
    metrics: String,
    store: String,
    machine: RawMachine,
    limits: RawLimits,
    #[serde(default = "default_log")]
    log: String,
}

fn default_log() -> String {
    "info".to_owned()
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RawMachine {
    cores: f64,
    link_mbps: f64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RawLimits {
    repeat_ratio: f64,
    repeat_slack: f64,
    repeat_window_s: f64,
    load_window_s: f64,
    rate_slack: f64,
    order_gap_ms: f64,
    stop_s: f64,
    address_ttl_s: f64,
}

/// What the machine has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// Part of a core.
    pub cores: f64,
    /// Rate of the link in megabits a second.
    pub link: f64,
}

/// Part of a core from which a machine leads a large fleet with ease.
const STRONG_CORES: f64 = 0.25;

/// Rate of the link from which a machine leads a large fleet with ease, in megabits a second.
const STRONG_LINK: f64 = 100.0;

impl Machine {
    /// Returns how far the machine falls short of one that leads a large fleet, from 0 to 1.
    pub fn weakness(&self) -> f64 {
        let cores = (self.cores / STRONG_CORES).min(1.0);
        let link = (self.link / STRONG_LINK).min(1.0);
        1.0 - cores.min(link)
    }
}

/// Checked settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which callers ask for addresses.
    pub directory: SocketAddr,
    /// Address at which the platform asks whether the instance is ready.
    pub readiness: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// What the machine has.
    pub machine: Machine,
    /// Repeats that a service may get.
    pub repeats: RetryLimits,
    /// Window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// Tokens beyond its rate and burst that a team may use in a window.
    pub rate_slack: f64,
    /// Least time between the orders of two leaders to one engine.
    pub order_gap: Duration,
    /// Time from the signal to stop to the end of the process.
    pub stop: Duration,
    /// Longest time for which callers keep an answer of the directory.
    pub address_ttl: Duration,
    /// Log settings.
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.display().to_string(), source })?;
        Self::parse(&text)
    }

    /// Checks settings given as YAML text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let raw: RawGateway = yaml::parse(text).map_err(SettingsError::Parse)?;
        Self::try_from(raw)
    }

    /// Returns the limits of the scheduler.
    pub fn grant_limits(&self) -> Limits {
        let Self { repeats, load_window, rate_slack, .. } = *self;
        Limits { retries: repeats, load_window, rate_slack }
    }

    /// Returns the longest time for a call to the store.
    pub fn store_limit(&self) -> Duration {
        STORE_LIMIT
    }
}

/// Longest time for a call to the platform's store; it answers in milliseconds, slow in hundreds.
const STORE_LIMIT: Duration = Duration::from_millis(900);

impl TryFrom<RawGateway> for GatewaySettings {
    type Error = SettingsError;

    fn try_from(raw: RawGateway) -> Result<Self, Self::Error> {
        let limits = raw.limits;
        Ok(Self {
            instance: name("instance", raw.instance)?,
            data_centre: name("data_centre", raw.data_centre)?,
            callers: address("callers", &raw.callers)?,
            directory: address("directory", &raw.directory)?,
            readiness: address("readiness", &raw.readiness)?,
            peer: address("peer", &raw.peer)?,
            metrics: address("metrics", &raw.metrics)?,
            store: address("store", &raw.store)?,
            machine: Machine {
                cores: positive("machine.cores", raw.machine.cores)?,
                link: positive("machine.link_mbps", raw.machine.link_mbps)?,
            },
            repeats: RetryLimits {
                ratio: positive("limits.repeat_ratio", limits.repeat_ratio)?,
                slack: positive("limits.repeat_slack", limits.repeat_slack)?,
                window: seconds("limits.repeat_window_s", limits.repeat_window_s)?,
            },
            load_window: seconds("limits.load_window_s", limits.load_window_s)?,
            rate_slack: positive("limits.rate_slack", limits.rate_slack)?,
            order_gap: seconds("limits.order_gap_ms", limits.order_gap_ms / 1e3)?,
            stop: seconds("limits.stop_s", limits.stop_s)?,
            address_ttl: seconds("limits.address_ttl_s", limits.address_ttl_s)?,
            log: LogSettings { spec: raw.log, json: true },
        })
    }
}

fn field(path: &str, reason: &str) -> SettingsError {
    SettingsError::Field { line: None, field: path.to_owned(), reason: reason.to_owned() }
}

fn name(path: &str, text: String) -> Result<Arc<str>, SettingsError> {
    if text.is_empty() { Err(field(path, "write a name")) } else { Ok(text.into()) }
}

fn address(path: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|_| field(path, "write an IP number and a port, such as 10.0.0.1:8000"))
}

fn positive(path: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(field(path, "write a number of at least 0"))
    }
}

fn seconds(path: &str, value: f64) -> Result<Duration, SettingsError> {
    Ok(Duration::from_secs_f64(positive(path, value)?))
}
