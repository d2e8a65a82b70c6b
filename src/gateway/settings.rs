//! Settings of a gateway, which are read from a YAML file. The platform creates the file from the
//! template `deploy/gateway.yaml`.

mod field;
mod intake;
mod raw;

use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::Arc,
    time::Duration,
};

use self::{
    field::{
        field_error, non_negative, parse_address, parse_ip, parse_name, parse_relay, parse_seconds,
        positive,
    },
    intake::parse_intake,
    raw::{RawDuties, RawGateway},
};
use crate::{
    http::pool::ConnectOptions,
    kernel::{
        duties::usage::UsageLimits,
        grants::{RetryLimits, SchedulerLimits},
        intake::IntakeLimits,
    },
    settings::{LogSettings, SettingsError},
    yaml,
};

/// Calls a second, length of a window and time until a report is due where the file names none, as the
/// platform's page of the API says.
const DEFAULT_CALL_RATE: f64 = 50.0;
const DEFAULT_WINDOW_S: f64 = 5.0;
const DEFAULT_LATE_S: f64 = 10.0;

/// Duties towards the platform, which the leader carries out.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Address of the platform API.
    pub address: SocketAddr,
    /// Whether usage is reported.
    pub usage: bool,
    /// Whether services are scaled.
    pub scaling: bool,
    /// Calls a second that the platform takes of all instances together.
    pub call_rate: f64,
    /// Windows of the usage reports, and when they are due.
    pub limits: UsageLimits,
}

/// Resources of the host on which the instance runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// Processor cores; less than 1 for a part of one core.
    pub cores: f64,
    /// Bandwidth of the network link, in megabits a second.
    pub link_mbps: f64,
}

/// Processor cores that suffice to lead many instances.
const LEADER_CORES: f64 = 0.25;

/// Bandwidth that suffices to lead many instances, in megabits a second.
const LEADER_LINK_MBPS: f64 = 100.0;

impl Resources {
    /// Returns the resources in thousandths of those that suffice to lead many instances.
    pub fn strength(&self) -> u32 {
        let fraction = (self.cores / LEADER_CORES).min(self.link_mbps / LEADER_LINK_MBPS);
        (fraction * 1e3) as u32
    }
}

/// Checked settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Data centre in which the instance runs.
    pub data_centre: Arc<str>,
    /// Address at which callers send requests.
    pub callers: SocketAddr,
    /// Address at which callers request the addresses of instances.
    pub directory: SocketAddr,
    /// Address of the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Address at which other instances open links while this one leads.
    pub peer: SocketAddr,
    /// Address at which other instances pass on requests that they cannot send to endpoints; if the
    /// file names none, the port after that of `peer`.
    pub relay: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address from which connections to endpoints are opened; `None` if the operating system chooses
    /// it.
    pub source: Option<IpAddr>,
    /// Resources of the host.
    pub resources: Resources,
    /// Limits of the retries of each service.
    pub retries: RetryLimits,
    /// Window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// Tokens beyond its rate and burst that a team may use in a window.
    pub rate_slack: f64,
    /// Least time between the orders of different leaders to one engine.
    pub order_gap: Duration,
    /// Time from the signal to stop until the platform kills the process.
    pub stop_timeout: Duration,
    /// Longest TTL of the addresses in callers' caches.
    pub address_ttl: Duration,
    /// Time after which an endpoint that drains must receive no more requests.
    pub drain_time: Duration,
    /// What clients may occupy.
    pub intake: IntakeLimits,
    /// Fields that the head of a request may have.
    pub max_header_fields: usize,
    /// Duties towards the platform; `None` if there are none.
    pub duties: Option<DutySettings>,
    /// Log settings.
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Reads a settings file and checks it. Fails if the file cannot be read, or names the first
    /// field that is not valid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.display().to_string(), source })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file, which is YAML.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let raw: RawGateway = yaml::parse(text).map_err(SettingsError::Parse)?;
        Self::try_from(raw)
    }

    /// Returns the limits of the scheduler.
    pub fn grant_limits(&self) -> SchedulerLimits {
        let Self { retries, load_window, rate_slack, .. } = *self;
        SchedulerLimits { retries, load_window, rate_slack }
    }

    /// Returns how connections to endpoints are opened. An endpoint that falls silent for a second and
    /// goes on keeps its connections: the probes of a connection that waits for a response begin
    /// after a second, and the timeout ends them.
    pub fn endpoint_connections(&self) -> ConnectOptions {
        ConnectOptions { source: self.source, ack_timeout: ENDPOINT_ACK_TIMEOUT }
    }

    /// Returns the timeout of a call to the store.
    pub fn store_timeout(&self) -> Duration {
        STORE_TIMEOUT
    }
}

/// Longest time without acknowledgement before a connection to an endpoint counts as broken.
pub const ENDPOINT_ACK_TIMEOUT: Duration = Duration::from_millis(2_900);

/// Timeout of a call to the store, which responds within milliseconds, and within hundreds of them
/// when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

impl TryFrom<RawGateway> for GatewaySettings {
    type Error = SettingsError;

    fn try_from(raw: RawGateway) -> Result<Self, Self::Error> {
        let limits = raw.limits;
        let intake = parse_intake(&limits, &raw.intake)?;
        let max_header_fields = raw.intake.max_header_fields.unwrap_or(MAX_HEADER_FIELDS);
        if !(16..=1_000).contains(&max_header_fields) {
            return Err(field_error("intake.max_header_fields", "write a number from 16 to 1000"));
        }
        Ok(Self {
            instance: parse_name("instance", raw.instance)?,
            data_centre: parse_name("data_centre", raw.data_centre)?,
            callers: parse_address("callers", &raw.callers)?,
            directory: parse_address("directory", &raw.directory)?,
            readiness: parse_address("readiness", &raw.readiness)?,
            peer: parse_address("peer", &raw.peer)?,
            relay: parse_relay(raw.relay.as_deref(), &raw.peer)?,
            metrics: parse_address("metrics", &raw.metrics)?,
            store: parse_address("store", &raw.store)?,
            source: raw.source.map(|source| parse_ip("source", &source)).transpose()?,
            resources: Resources {
                cores: non_negative("machine.cores", raw.machine.cores)?,
                link_mbps: non_negative("machine.link_mbps", raw.machine.link_mbps)?,
            },
            retries: RetryLimits {
                ratio: non_negative("limits.repeat_ratio", limits.repeat_ratio)?,
                slack: non_negative("limits.repeat_slack", limits.repeat_slack)?,
                window: parse_seconds("limits.repeat_window_s", limits.repeat_window_s)?,
            },
            load_window: parse_seconds("limits.load_window_s", limits.load_window_s)?,
            rate_slack: non_negative("limits.rate_slack", limits.rate_slack)?,
            order_gap: parse_seconds("limits.order_gap_ms", limits.order_gap_ms / 1e3)?,
            stop_timeout: parse_seconds("limits.stop_s", limits.stop_s)?,
            address_ttl: parse_seconds("limits.address_ttl_s", limits.address_ttl_s)?,
            drain_time: parse_seconds("limits.drain_ms", limits.drain_ms / 1e3)?,
            intake,
            max_header_fields,
            duties: raw.duties.map(parse_duties).transpose()?.flatten(),
            log: LogSettings { spec: raw.log, json: true },
        })
    }
}

/// Fields of a head where the settings name no number.
const MAX_HEADER_FIELDS: usize = 100;

/// Parses the section `duties`. Returns `None` if its address is empty.
fn parse_duties(raw: RawDuties) -> Result<Option<DutySettings>, SettingsError> {
    if raw.address.trim().is_empty() {
        return Ok(None);
    }
    let has = |kind: &str| raw.kinds.split(',').any(|word| word.trim() == kind);
    Ok(Some(DutySettings {
        address: parse_address("duties.address", raw.address.trim())?,
        usage: has("usage_reporting"),
        scaling: has("autoscaling"),
        call_rate: positive("duties.calls_per_s", raw.calls_per_s.unwrap_or(DEFAULT_CALL_RATE))?,
        limits: UsageLimits {
            window: Duration::from_secs_f64(positive(
                "duties.window_s",
                raw.window_s.unwrap_or(DEFAULT_WINDOW_S),
            )?),
            due: parse_seconds("duties.late_s", raw.late_s.unwrap_or(DEFAULT_LATE_S))?,
        },
    }))
}
