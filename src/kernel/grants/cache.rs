//! Estimate of the prompt prefixes in an engine's KV cache.

use std::{collections::HashMap, sync::Arc};

use super::ModelWork;
use crate::clock::Time;

/// A model and its adapter. A cached prefix can be reused only by requests with the same key.
type CacheKey = (Arc<str>, Option<Arc<str>>);

/// Prompt parts that an engine has prefilled; the least recently used are evicted first.
#[derive(Clone, Debug, Default)]
pub struct KvCache {
    /// Cached prompt parts by hash, each with its number of tokens and when it was last used.
    parts: HashMap<CacheKey, HashMap<u64, (u32, Time)>>,
    /// Number of tokens of all cached parts.
    tokens: u64,
}

impl KvCache {
    /// Returns how many leading tokens of the prompt are cached.
    pub fn cached_tokens(&self, work: &ModelWork) -> u64 {
        let key = (work.model.clone(), work.adapter.clone());
        let Some(parts) = self.parts.get(&key) else { return 0 };
        let cached = work.parts.iter().take_while(|(id, _)| parts.contains_key(id));
        cached.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Records the prefill of a prompt; `capacity` is the number of tokens that the KV cache can
    /// hold for prefixes.
    pub fn record_prefill(&mut self, work: &ModelWork, capacity: u64, now: Time) {
        let key = (work.model.clone(), work.adapter.clone());
        let parts = self.parts.entry(key).or_default();
        for (id, tokens) in &work.parts {
            if parts.insert(*id, (*tokens, now)).is_none() {
                self.tokens += u64::from(*tokens);
            }
        }
        if self.tokens > capacity {
            self.evict_oldest(capacity);
        }
    }

    /// Evicts the least recently used parts until at most three quarters of `capacity` are used.
    fn evict_oldest(&mut self, capacity: u64) {
        let mut all: Vec<(Time, CacheKey, u64, u32)> = Vec::new();
        for (key, parts) in &self.parts {
            all.extend(
                parts
                    .iter()
                    .map(|(id, (tokens, last_used))| (*last_used, key.clone(), *id, *tokens)),
            );
        }
        all.sort_by_key(|(last_used, ..)| *last_used);
        for (_, key, id, tokens) in all {
            if self.tokens <= capacity / 4 * 3 {
                return;
            }
            if let Some(parts) = self.parts.get_mut(&key) {
                parts.remove(&id);
                self.tokens -= u64::from(tokens);
            }
        }
    }

    /// Evicts all parts of a model that is unloaded.
    pub fn evict_model(&mut self, model: &str) {
        self.parts.retain(|(name, _), _| &**name != model);
        let remaining = self.parts.values().flat_map(|parts| parts.values());
        self.tokens = remaining.map(|(tokens, _)| u64::from(*tokens)).sum();
    }
}
