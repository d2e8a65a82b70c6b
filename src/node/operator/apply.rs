//! Reads and changes the configuration; a change is a compare-and-swap on the version that was read.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::json as value;
use tokio::time::sleep;
use volo_http::{request::Request, response::Response};

use crate::{
    clock::Time,
    codes::{Code, Refusal},
    config::Config,
    events::Event,
    http::json_response,
    names::InstanceId,
    node::{
        Node,
        config_sync::{self, CONFIG_KEY, ConfigRecord},
    },
    platform::{Kv, ListedState, PlatformError, Put},
};

/// Longest wait until most instances have confirmed a change.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of the confirmations.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// A configuration document with the version that the operator read.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct VersionedConfig {
    /// Version that the operator read; zero if there was none.
    pub seen: u64,
    /// The document as YAML.
    pub text: String,
}

/// Which of the listed live instances have a version in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Confirmation {
    /// Version in force at the instance that received the operator's request.
    pub version: u64,
    /// Instances that have this version or a later one in force.
    pub confirmed: Vec<InstanceId>,
    /// Instances that have not reported this version.
    pub missing: Vec<InstanceId>,
}

impl Confirmation {
    /// Returns whether more than half of the listed instances confirmed the version.
    pub fn is_accepted(&self) -> bool {
        self.confirmed.len() > self.missing.len()
    }
}

/// The configuration that the platform's service stores.
struct StoredConfig {
    /// Revision of the record; zero if the service has none.
    revision: i64,
    version: u64,
    text: String,
}

/// Returns the stored configuration, or the one in force if the service does not respond.
pub async fn show(node: &Arc<Node>) -> Result<Response, Refusal> {
    let newest = match read_stored(node).await {
        Ok(stored) => VersionedConfig { seen: stored.version, text: stored.text },
        Err(_) => in_force(node),
    };
    if newest.seen == 0 {
        return Err(Refusal::not_run(Code::NoConfig));
    }
    Ok(json_response(200, &newest))
}

/// Returns the configuration in force.
fn in_force(node: &Node) -> VersionedConfig {
    let config = node.config();
    let text = config.as_ref().and_then(|config| serde_saphyr::to_string(&config.raw).ok());
    VersionedConfig { seen: node.config_version(), text: text.unwrap_or_default() }
}

/// Writes a configuration if the version that the operator read is still the newest.
///
/// An invalid document or a conflict is a response, not a failure.
pub async fn apply(node: &Arc<Node>, request: Request) -> Result<Response, Refusal> {
    let change: VersionedConfig = super::read(request).await?;
    let version = change.seen.checked_add(1).ok_or(Refusal::not_run(Code::BadRequest))?;
    if let Err(err) = Config::parse_new(version, &change.text) {
        return Ok(invalid(&err.to_string()));
    }
    let stored = read_stored(node).await?;
    if stored.version != change.seen {
        return Ok(conflict(stored));
    }
    let record = ConfigRecord { version, text: change.text, nonce: rand::random() };
    let value = serde_json::to_vec(&record).map_err(|_| Refusal::not_run(Code::Internal))?;
    let put = Put { key: CONFIG_KEY.to_owned(), value, lease: 0 };
    let reply = node.platform.put_if(put, stored.revision).await.map_err(write_refusal)?;
    if !reply.succeeded {
        return Ok(conflict(self::read_stored(node).await?));
    }
    config_sync::apply(node, version, &record.text);
    tokio::spawn(record_confirmation(node.clone(), version));
    Ok(json_response(200, &value!({ "version": version })))
}

/// Returns the refusal for a write that failed.
fn write_refusal(err: PlatformError) -> Refusal {
    match err {
        PlatformError::Unknown(_) => Refusal::unknown(Code::PlatformDown),
        _ => Refusal::not_run(Code::PlatformDown),
    }
}

/// Reads the stored configuration; fails if the service does not respond.
async fn read_stored(node: &Node) -> Result<StoredConfig, Refusal> {
    let current = node.platform.get(CONFIG_KEY).await;
    match current.map_err(|_| Refusal::not_run(Code::PlatformDown))? {
        Some(kv) => parse_stored(&kv),
        // If the service lost the record, versions continue from the one in force.
        None => {
            let VersionedConfig { seen, text } = in_force(node);
            Ok(StoredConfig { revision: 0, version: seen, text })
        }
    }
}

/// Parses the record of the configuration.
fn parse_stored(kv: &Kv) -> Result<StoredConfig, Refusal> {
    let record: ConfigRecord =
        serde_json::from_slice(&kv.value).map_err(|_| Refusal::not_run(Code::Internal))?;
    Ok(StoredConfig { revision: kv.revision, version: record.version, text: record.text })
}

/// Returns the response to an invalid document.
fn invalid(reason: &str) -> Response {
    json_response(400, &value!({ "code": Code::ConfigInvalid.number(), "reason": reason }))
}

/// Returns the response to a change that conflicts with a newer configuration, which it contains.
fn conflict(stored: StoredConfig) -> Response {
    let code = Code::Conflict;
    let error = value!({ "code": code.number(), "name": code.name(), "message": code.text() });
    let current = VersionedConfig { seen: stored.version, text: stored.text };
    json_response(code.status(), &value!({ "error": error, "current": current }))
}

/// Returns which of the listed live instances confirmed the version in force here.
pub fn confirmation(node: &Node) -> Confirmation {
    let version = node.config_version();
    let mut confirmation = Confirmation { version, ..Confirmation::default() };
    let list = node.list.load();
    for listed in list.instances.iter().filter(|listed| listed.state == ListedState::Live) {
        let is_own = listed.id == node.settings.instance;
        let heartbeat = node.members.peer(&listed.id).map(|peer| peer.heartbeat);
        if is_own || heartbeat.is_some_and(|heartbeat| heartbeat.config_version >= version) {
            confirmation.confirmed.push(listed.id.clone());
        } else {
            confirmation.missing.push(listed.id.clone());
        }
    }
    confirmation
}

/// Records in the time line when most instances have confirmed a version.
async fn record_confirmation(node: Arc<Node>, version: u64) {
    let start = Time::now();
    while Time::now().since(start) < CONFIRM_TIMEOUT && node.config_version() == version {
        let confirmation = confirmation(&node);
        if confirmation.is_accepted() {
            let detail = format!(
                "confirmed={} missing={}",
                confirmation.confirmed.len(),
                confirmation.missing.len()
            );
            node.timeline.record(Event::ConfigConfirmed, format!("config-{version}"), detail);
            return;
        }
        sleep(CONFIRM_INTERVAL).await;
    }
}
