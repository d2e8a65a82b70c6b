//! Brings the newest configuration into force and sends it to peers that lack it.
//!
//! A few instances of each data centre watch the configuration's record at the platform's service.
//! The others learn of a new version from heartbeats.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::Node;
use crate::{
    config::Config,
    events::Event,
    kernel::configuration::{self, OfferResult},
    platform::{Change, InstanceList, Kv, PlatformError},
    wire::{ConfigDoc, ConfigRequest, ReplyBody},
};

/// Key of the configuration's record.
pub const CONFIG_KEY: &str = "cardamomshore/config";

/// Wait after a watch ended before the next one, with a random factor.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);
/// Time between two reads of the record, with a random factor.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Age of the last contact above which an instance that is no watcher reads the record itself.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(1_500);

/// The configuration as stored at the platform's service.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Version, which grows with every change.
    pub version: u64,
    /// The document as YAML.
    pub text: String,
    /// Random number of the write, by which its writer recognizes it.
    pub nonce: u64,
}

/// Watches and polls the configuration's record; polling also keeps up the contact with the service.
pub async fn run(node: Arc<Node>) {
    tokio::join!(run_watch(&node), run_poll(&node));
}

/// Watches the record while this instance is one of its data centre's watchers.
async fn run_watch(node: &Node) {
    loop {
        if is_watcher(node)
            && let Err(err) = watch_record(node).await
        {
            log::debug!("cannot watch the configuration {CONFIG_KEY}: {err}");
        }
        sleep(jittered(RETRY_BACKOFF)).await;
    }
}

/// Reads the record at an interval: watchers always, other instances only if heartbeats of peers
/// show no recent contact with the service.
async fn run_poll(node: &Node) {
    loop {
        if is_watcher(node) || node.contact().age > MAX_CONTACT_AGE {
            read_record(node).await;
        }
        sleep(jittered(POLL_INTERVAL)).await;
    }
}

/// Reads the record and applies it.
async fn read_record(node: &Node) {
    match node.platform.get(CONFIG_KEY).await {
        Ok(Some(kv)) => apply_record(node, &kv),
        Ok(None) => {}
        Err(err) => log::debug!("cannot read the configuration {CONFIG_KEY}: {err}"),
    }
}

/// Returns whether this instance is one of its data centre's watchers.
pub fn is_watcher(node: &Node) -> bool {
    let settings = &node.settings;
    configuration::is_watcher(&settings.instance, &settings.data_centre, &node.list.load())
}

/// Returns the duration with a random factor.
fn jittered(duration: Duration) -> Duration {
    duration.mul_f64(rand::rng().random_range(0.8..1.2))
}

/// Reads and watches the record until the watch fails or this instance is no watcher any longer.
async fn watch_record(node: &Node) -> Result<(), PlatformError> {
    let snapshot = node.platform.range(CONFIG_KEY).await?;
    for kv in snapshot.kvs.iter().filter(|kv| kv.key == CONFIG_KEY) {
        apply_record(node, kv);
    }
    let mut watch = node.platform.watch(CONFIG_KEY, snapshot.revision + 1).await?;
    while is_watcher(node) {
        let (changes, _) = watch.next().await?;
        for change in changes {
            match change {
                Change::Put(kv) if kv.key == CONFIG_KEY => apply_record(node, &kv),
                _ => {}
            }
        }
    }
    Ok(())
}

/// Parses the record and applies its configuration.
fn apply_record(node: &Node, kv: &Kv) {
    match serde_json::from_slice::<ConfigRecord>(&kv.value) {
        Ok(record) => apply(node, record.version, &record.text),
        Err(err) => log::warn!("cannot parse the configuration record {CONFIG_KEY}: {err}"),
    }
}

/// Brings a configuration into force if its version is higher than the one in force.
pub fn apply(node: &Node, version: u64, text: &str) {
    if !node.versions.lock().should_read(version) {
        return;
    }
    let parsed = Config::parse(version, text);
    let subject = format!("config-{version}");
    let mut versions = node.versions.lock();
    match (versions.offer(version, parsed.is_ok()), parsed) {
        (OfferResult::Applied, Ok(config)) => {
            // Stored under the lock, so that a lower version cannot be stored after a higher one.
            node.config.store(Some(Arc::new(config)));
            drop(versions);
            node.timeline.record(Event::ConfigInForce, subject, "");
            node.peers.request_heartbeat();
        }
        (OfferResult::Unreadable, Err(err)) => {
            node.timeline.record(Event::ConfigRejected, subject, err.to_string());
        }
        _ => {}
    }
}

/// Handles a peer's request for the configuration.
pub fn handle_request(node: &Node, request: &ConfigRequest) -> ReplyBody {
    ReplyBody::Config(newer_than(node, request.version).unwrap_or_default())
}

/// Returns the configuration in force if it is newer than `version`.
pub fn newer_than(node: &Node, version: u64) -> Option<ConfigDoc> {
    let config = node.config().filter(|config| config.version > version)?;
    let text = serde_saphyr::to_string(&config.raw).ok()?;
    let list = serde_json::to_string(&**node.list.load()).unwrap_or_default();
    Some(ConfigDoc { version: config.version, text, list })
}

/// Applies the configuration that a peer pushed, and the peer's instance list if this one has none.
pub fn apply_pushed(node: &Arc<Node>, doc: &ConfigDoc) {
    if node.list.load().instances.is_empty()
        && let Ok(list) = serde_json::from_str::<InstanceList>(&doc.list)
    {
        node.list.store(Arc::new(list));
        node.peers.apply_list(node);
    }
    apply(node, doc.version, &doc.text);
}

impl Node {
    /// Returns the version of the configuration in force, or zero.
    pub fn config_version(&self) -> u64 {
        self.config().map_or(0, |config| config.version)
    }
}
