//! HTTP client of the operators' interface of instances.

use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use volo_http::client::Client;

use super::CliError;
use crate::{
    codes::Code,
    http::{ClientLimits, HttpError, base_url, call_json, client},
    node::operator::{Confirmation, GatherRequest, GatherResponse, VersionedConfig},
};

/// Timeout of a call to an instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of several instances, which calls the first that can be reached.
pub struct Remote {
    http: Client,
    addresses: Vec<SocketAddr>,
}

/// The result of writing a configuration.
pub enum ApplyResult {
    /// The configuration was written as this version.
    Done(u64),
    /// Another change came first, which is the newest version now.
    Conflict(VersionedConfig),
    /// The configuration was not written, for this reason.
    Refused(String),
    /// It is not known whether the configuration was written, for this reason.
    Unknown(String),
}

#[derive(Deserialize)]
struct VersionResponse {
    version: u64,
}

#[derive(Deserialize)]
struct ConflictResponse {
    current: VersionedConfig,
}

#[derive(Deserialize)]
struct InvalidResponse {
    reason: String,
}

#[derive(Deserialize)]
struct RefusedResponse {
    error: RefusalFields,
}

#[derive(Deserialize)]
struct RefusalFields {
    code: u32,
    name: String,
    message: String,
    #[serde(default)]
    run: String,
}

impl Remote {
    /// Creates a client that tries the addresses in the given order.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let limits = ClientLimits {
            connect_timeout: Duration::from_secs(1),
            io_timeout: Duration::from_secs(10),
            max_idle: 1,
        };
        Self { http: client(limits), addresses }
    }

    /// Calls the first instance to which a connection can be opened.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, HttpError> {
        let mut last_error = HttpError::Connect("no address".to_owned());
        for address in &self.addresses {
            let url = format!("{}{path}", base_url(*address));
            match call_json(&self.http, method.clone(), &url, body, CALL_TIMEOUT).await {
                Err(HttpError::Connect(_)) => {
                    let reason = format!(
                        "no instance answers at {address}; name another one with --to IP:PORT"
                    );
                    last_error = HttpError::Connect(reason);
                }
                other => return other,
            }
        }
        Err(last_error)
    }

    /// Returns the newest configuration; version zero if there is none yet.
    pub async fn show(&self) -> Result<VersionedConfig, CliError> {
        match self.call(Method::GET, "/config", &()).await {
            Ok(config) => Ok(config),
            Err(HttpError::Status(_, text)) if parse_code(&text) == Some(Code::NoConfig) => {
                Ok(VersionedConfig { seen: 0, text: String::new() })
            }
            Err(err) => Err(to_cli_error(err)),
        }
    }

    /// Writes a configuration in place of the version that the operator saw.
    pub async fn apply(&self, config: &VersionedConfig) -> ApplyResult {
        match self.call::<VersionResponse>(Method::PUT, "/config", config).await {
            Ok(written) => ApplyResult::Done(written.version),
            Err(HttpError::Status(status, text)) => parse_refusal(status, &text),
            Err(HttpError::Connect(text)) => ApplyResult::Refused(text),
            Err(err) => ApplyResult::Unknown(err.to_string()),
        }
    }

    /// Returns which instances have confirmed the newest version.
    pub async fn confirmation(&self) -> Result<Confirmation, CliError> {
        self.call(Method::GET, "/confirmation", &()).await.map_err(to_cli_error)
    }

    /// Gathers documents of a kind from all instances.
    pub async fn gather(&self, kind: &str, filter: &str) -> Result<GatherResponse, CliError> {
        let request = GatherRequest { kind: kind.to_owned(), filter: filter.to_owned() };
        self.call(Method::POST, "/gather", &request).await.map_err(to_cli_error)
    }
}

/// Returns the result of a write that was not accepted, by the body of the response.
fn parse_refusal(status: StatusCode, text: &str) -> ApplyResult {
    if let Ok(conflict) = serde_json::from_str::<ConflictResponse>(text) {
        return ApplyResult::Conflict(conflict.current);
    }
    if let Ok(invalid) = serde_json::from_str::<InvalidResponse>(text) {
        return ApplyResult::Refused(invalid.reason);
    }
    match serde_json::from_str::<RefusedResponse>(text) {
        Ok(refused) if refused.error.run == "unknown" => {
            ApplyResult::Unknown(describe_error(&refused))
        }
        Ok(refused) => ApplyResult::Refused(describe_error(&refused)),
        Err(_) => ApplyResult::Unknown(format!("status {status}")),
    }
}

/// Returns the code in the body of a response that refuses a call.
fn parse_code(text: &str) -> Option<Code> {
    let refused: RefusedResponse = serde_json::from_str(text).ok()?;
    Code::from_number(refused.error.code)
}

/// Returns the text of a refusal for the operator.
fn describe_error(refused: &RefusedResponse) -> String {
    let error = &refused.error;
    format!("{} {}: {}", error.code, error.name, error.message)
}

/// Returns the error of a command whose call failed.
fn to_cli_error(err: HttpError) -> CliError {
    match err {
        HttpError::Connect(text) => CliError::Failed(text),
        HttpError::Status(status, text) => match serde_json::from_str::<RefusedResponse>(&text) {
            Ok(refused) => CliError::Failed(describe_error(&refused)),
            Err(_) => CliError::Failed(format!("status {status}: {text}")),
        },
        other => CliError::Failed(other.to_string()),
    }
}
