//! Settings as written in the file, before validation.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{LogSettings, Settings, SettingsError};

/// Settings as written.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of this instance.
    pub instance: String,
    /// Data centre of this instance.
    pub data_centre: String,
    /// `IP:port` at which this instance listens for callers.
    pub listen: String,
    /// `IP:port` at which this instance listens for other instances.
    pub peer: String,
    /// `IP:port` at which this instance listens for operators.
    pub operator: String,
    /// `IP:port` of each server of the platform's key-value service.
    pub platform: Vec<String>,
    /// `IP:port` of the platform's instance list.
    pub list: String,
    /// Log settings.
    #[serde(default)]
    pub log: RawLog,
}

/// Log settings as written.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLog {
    /// A `flexi_logger` specification.
    pub level: String,
    /// `plain` or `json`.
    pub format: String,
}

impl Default for RawLog {
    fn default() -> Self {
        Self { level: "info".to_owned(), format: "plain".to_owned() }
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        let platform = raw
            .platform
            .iter()
            .enumerate()
            .map(|(i, text)| parse_address(&format!("platform[{i}]"), text))
            .collect::<Result<Vec<_>, _>>()?;
        if platform.is_empty() {
            return Err(field_error("platform", "name at least one address"));
        }
        Ok(Settings {
            instance: check_name("instance", &raw.instance)?.into(),
            data_centre: check_name("data_centre", &raw.data_centre)?.into(),
            listen: parse_address("listen", &raw.listen)?,
            peer: parse_address("peer", &raw.peer)?,
            operator: parse_address("operator", &raw.operator)?,
            platform,
            list: parse_address("list", &raw.list)?,
            log: raw.log.try_into()?,
        })
    }
}

impl TryFrom<RawLog> for LogSettings {
    type Error = SettingsError;

    fn try_from(raw: RawLog) -> Result<Self, Self::Error> {
        let json = match raw.format.as_str() {
            "plain" => false,
            "json" => true,
            _ => return Err(field_error("log.format", "write plain or json")),
        };
        Ok(LogSettings { spec: raw.level, json })
    }
}

fn parse_address(path: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse()
        .map_err(|_| field_error(path, "write an IP number and a port, such as 10.0.0.1:8000"))
}

fn check_name<'a>(path: &str, text: &'a str) -> Result<&'a str, SettingsError> {
    let legal = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.is_empty() || !text.chars().all(legal) {
        return Err(field_error(path, "write letters, digits, '-', '_' and '.' only"));
    }
    Ok(text)
}

fn field_error(path: &str, reason: &str) -> SettingsError {
    SettingsError::Field { line: None, field: path.to_owned(), reason: reason.to_owned() }
}
