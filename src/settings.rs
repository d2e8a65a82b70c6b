//! A process's own settings, read once from a YAML file at start.

mod raw;

use std::{net::SocketAddr, path::Path};

pub use self::raw::RawSettings;
use crate::names::{DataCentre, InstanceId};

/// Checked settings of one node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance in the platform's list.
    pub instance: InstanceId,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Address for operators, which callers must not be able to reach.
    pub operator: SocketAddr,
    /// Addresses of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// Address of the platform's instance list.
    pub list: SocketAddr,
    /// Log settings.
    pub log: LogSettings,
}

/// Where and how much the process logs.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// A `flexi_logger` specification, such as `info, cardamomshore::node=debug`.
    pub spec: String,
    /// Whether each line is a JSON object.
    pub json: bool,
}

/// Why settings were not accepted.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not YAML of the expected shape.
    #[error("{0}")]
    Parse(String),
    /// A field has a value that cannot be used.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field.
        field: String,
        /// What is wrong with it and what to write instead.
        reason: String,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.display().to_string(), source })?;
        Self::parse(&text)
    }

    /// Checks settings given as YAML text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let raw: RawSettings =
            serde_saphyr::from_str(text).map_err(|err| SettingsError::Parse(err.to_string()))?;
        Self::try_from(raw)
    }
}
