//! Settings of one process, read once at start from a YAML file.

mod raw;

use std::{net::SocketAddr, path::Path};

pub use self::raw::RawSettings;
use crate::{
    names::{DataCentre, InstanceId},
    yaml,
};

/// Validated settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance in the platform's instance list.
    pub instance: InstanceId,
    /// Data centre of this instance.
    pub data_centre: DataCentre,
    /// Address at which this instance listens for callers.
    pub listen: SocketAddr,
    /// Address at which this instance listens for other instances.
    pub peer: SocketAddr,
    /// Address at which this instance listens for operators. Callers must not be able to reach it.
    pub operator: SocketAddr,
    /// Addresses of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// Address of the platform's instance list.
    pub list: SocketAddr,
    /// Log settings.
    pub log: LogSettings,
}

/// Level and format of the log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// A `flexi_logger` specification, such as `info, cardamomshore::node=debug`.
    pub spec: String,
    /// Whether each line is a JSON object.
    pub json: bool,
}

/// Why settings were rejected.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The text is not YAML of the expected structure.
    #[error("{0}")]
    Parse(String),
    /// A file contains invalid settings.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// What is wrong with the settings.
        source: Box<SettingsError>,
    },
    /// A field has an invalid value.
    #[error("{}{field}: {reason}", line.map(|line| format!("line {line}: ")).unwrap_or_default())]
    Field {
        /// Line of the field, if the text is available.
        line: Option<u64>,
        /// Path of the field.
        field: String,
        /// What is wrong with the value and what is expected.
        reason: String,
    },
}

impl SettingsError {
    /// Adds the line of the field.
    fn locate(self, text: &str) -> Self {
        match self {
            SettingsError::Field { field, reason, .. } => {
                SettingsError::Field { line: yaml::line_of(text, &field), field, reason }
            }
            other => other,
        }
    }

    fn in_file(self, path: &Path) -> Self {
        SettingsError::File { path: path.display().to_string(), source: Box::new(self) }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.display().to_string(), source })?;
        Self::parse(&text).map_err(|err| err.in_file(path))
    }

    /// Parses and validates settings from YAML text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let raw: RawSettings = yaml::parse(text).map_err(SettingsError::Parse)?;
        Self::try_from(raw).map_err(|err| err.locate(text))
    }
}
