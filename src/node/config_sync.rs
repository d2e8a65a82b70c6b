//! Brings the newest configuration into force and passes it on to peers.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::Node;
use crate::{
    config::Config,
    events::Event,
    platform::{Change, Kv, PlatformError},
    wire::{ConfigAsk, ConfigDoc, ReplyBody},
};

/// Key of the configuration's record.
pub const CONFIG_KEY: &str = "cardamomshore/config";

const RETRY_PERIOD: Duration = Duration::from_millis(500);

/// The configuration as the platform's service keeps it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Version, which only grows.
    pub version: u64,
    /// The document as YAML.
    pub text: String,
    /// Random number of the write, by which its writer recognizes it.
    pub nonce: u64,
}

/// Follows the configuration's record.
pub async fn run(node: Arc<Node>) {
    loop {
        if let Err(err) = follow(&node).await {
            log::debug!("configuration watch: {err}");
        }
        sleep(RETRY_PERIOD).await;
    }
}

async fn follow(node: &Node) -> Result<(), PlatformError> {
    let snapshot = node.platform.range(CONFIG_KEY).await?;
    node.members.contacted();
    for kv in &snapshot.kvs {
        take_record(node, kv);
    }
    let mut watch = node.platform.watch(CONFIG_KEY, snapshot.revision + 1).await?;
    loop {
        let (changes, _) = watch.next().await?;
        node.members.contacted();
        for change in changes {
            if let Change::Put(kv) = change {
                take_record(node, &kv);
            }
        }
    }
}

fn take_record(node: &Node, kv: &Kv) {
    match serde_json::from_slice::<ConfigRecord>(&kv.value) {
        Ok(record) => take(node, record.version, &record.text),
        Err(err) => log::warn!("unreadable configuration record: {err}"),
    }
}

/// Brings a configuration into force if its version is higher than the one in force.
pub fn take(node: &Node, version: u64, text: &str) {
    if node.version() >= version {
        return;
    }
    let subject = format!("config-{version}");
    match Config::parse(version, text) {
        Ok(config) => {
            let config = Arc::new(config);
            let newer = |current: &Option<Arc<Config>>| {
                current.as_ref().is_none_or(|current| current.version < version)
            };
            let previous = node
                .config
                .rcu(|current| if newer(current) { Some(config.clone()) } else { current.clone() });
            if newer(&previous) {
                node.timeline.record(Event::ConfigInForce, subject, "");
                node.peers.beat_now();
            }
        }
        Err(err) => node.timeline.record(Event::ConfigRejected, subject, err.to_string()),
    }
}

/// Answers a peer that asks for the configuration.
pub fn answer(node: &Node, ask: &ConfigAsk) -> ReplyBody {
    let doc = match node.config() {
        Some(config) if config.version > ask.version => ConfigDoc {
            version: config.version,
            text: serde_saphyr::to_string(&config.raw).unwrap_or_default(),
        },
        _ => ConfigDoc::default(),
    };
    ReplyBody::Config(doc)
}

impl Node {
    /// Returns the version of the configuration in force, or zero.
    pub fn version(&self) -> u64 {
        self.config().map_or(0, |config| config.version)
    }
}
