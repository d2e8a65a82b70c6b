//! Brings the newest configuration into force and passes it on to peers.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::Node;
use crate::{
    config::Config,
    events::Event,
    kernel::configuration::{self, Offer},
    platform::{Change, InstanceList, Kv, PlatformError},
    wire::{ConfigDoc, ConfigRequest, ReplyBody},
};

/// Key of the configuration's record.
pub const CONFIG_KEY: &str = "cardamomshore/config";

const RETRY_BACKOFF: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Age of the last contact above which a node that is no watcher reads the record itself.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(1_500);

/// The configuration as the platform's service keeps it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Version, which only grows.
    pub version: u64,
    /// The document as YAML.
    pub text: String,
    /// Random number of the write, by which its writer recognizes it.
    pub nonce: u64,
}

/// Follows the configuration's record and keeps in contact with the platform's service.
pub async fn run(node: Arc<Node>) {
    tokio::join!(run_watch(&node), run_poll(&node));
}

/// Watches the record while this node is one of its data centre's watchers.
async fn run_watch(node: &Node) {
    loop {
        if is_watcher(node)
            && let Err(err) = watch_record(node).await
        {
            log::debug!("configuration watch: {err}");
        }
        sleep(jittered(RETRY_BACKOFF)).await;
    }
}

/// Reads the record every now and then: watchers always, the others where peers pass no young
/// contact on.
async fn run_poll(node: &Node) {
    loop {
        if is_watcher(node) || node.contact().age > MAX_CONTACT_AGE {
            read_record(node).await;
        }
        sleep(jittered(POLL_INTERVAL)).await;
    }
}

async fn read_record(node: &Node) {
    match node.platform.get(CONFIG_KEY).await {
        Ok(Some(kv)) => apply_record(node, &kv),
        Ok(None) => {}
        Err(err) => log::debug!("configuration read: {err}"),
    }
}

/// Returns whether this node is one of its data centre's watchers.
pub fn is_watcher(node: &Node) -> bool {
    let settings = &node.settings;
    configuration::is_watcher(&settings.instance, &settings.data_centre, &node.list.load())
}

fn jittered(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random_range(0.8..1.2))
}

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

fn apply_record(node: &Node, kv: &Kv) {
    match serde_json::from_slice::<ConfigRecord>(&kv.value) {
        Ok(record) => apply(node, record.version, &record.text),
        Err(err) => log::warn!("unreadable configuration record: {err}"),
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
        (Offer::Take, Ok(config)) => {
            // Stored under the lock, so that a lower version cannot be stored after a higher one.
            node.config.store(Some(Arc::new(config)));
            drop(versions);
            node.timeline.record(Event::ConfigInForce, subject, "");
            node.peers.request_heartbeat();
        }
        (Offer::Unreadable, Err(err)) => {
            node.timeline.record(Event::ConfigRejected, subject, err.to_string());
        }
        _ => {}
    }
}

/// Answers a peer that asks for the configuration.
pub fn handle_request(node: &Node, ask: &ConfigRequest) -> ReplyBody {
    ReplyBody::Config(newer_than(node, ask.version).unwrap_or_default())
}

/// Returns the configuration in force where it is newer than a version.
pub fn newer_than(node: &Node, version: u64) -> Option<ConfigDoc> {
    let config = node.config().filter(|config| config.version > version)?;
    let text = serde_saphyr::to_string(&config.raw).ok()?;
    let list = serde_json::to_string(&**node.list.load()).unwrap_or_default();
    Some(ConfigDoc { version: config.version, text, list })
}

/// Takes in the configuration that a peer pushed, and its list where this node has none.
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
