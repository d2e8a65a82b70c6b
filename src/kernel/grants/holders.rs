//! Index from prompt parts to the engines that have them cached, so that the holders of a prompt are found
//! without a look at all engines.

use std::{collections::HashMap, sync::Arc};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Identifies a prompt part that was prefilled with one model and adapter.
///
/// It is a hash; whoever finds an engine by it looks into the estimate of the engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PartKey(u64);

impl PartKey {
    /// Returns the key of the part with the hash `part`.
    pub fn new(model: &str, adapter: Option<&str>, part: u64) -> Self {
        let model = xxh3_64(model.as_bytes());
        let scope = adapter.map_or(model, |adapter| xxh3_64_with_seed(adapter.as_bytes(), !model));
        Self(xxh3_64_with_seed(&part.to_le_bytes(), scope))
    }
}

/// What has happened to a part in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PartChange {
    /// The part was prefilled.
    Cached(PartKey),
    /// The part was evicted.
    Evicted(PartKey),
}

/// Engines that have each prompt part cached.
#[derive(Debug, Default)]
pub(super) struct Holders {
    engines: HashMap<PartKey, Vec<Arc<str>>>,
}

impl Holders {
    /// Applies a change of an engine's cache.
    pub fn apply(&mut self, engine: &Arc<str>, change: PartChange) {
        match change {
            PartChange::Cached(part) => {
                self.engines.entry(part).or_default().push(engine.clone());
            }
            PartChange::Evicted(part) => self.remove(engine, part),
        }
    }

    /// Returns the engines that have a part cached.
    pub fn of(&self, part: PartKey) -> &[Arc<str>] {
        self.engines.get(&part).map_or(&[], Vec::as_slice)
    }

    /// Removes all parts.
    pub fn clear(&mut self) {
        self.engines.clear();
    }

    fn remove(&mut self, engine: &str, part: PartKey) {
        let Some(engines) = self.engines.get_mut(&part) else { return };
        if let Some(position) = engines.iter().position(|known| **known == *engine) {
            engines.swap_remove(position);
        }
        if engines.is_empty() {
            self.engines.remove(&part);
        }
    }
}
