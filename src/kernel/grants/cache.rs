//! Estimate of the prompt prefixes in an engine's KV cache.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{
    ModelWork,
    holders::{PartChange, PartKey},
};

/// A model and its adapter. A cached prefix can be reused only by requests with the same key.
type CacheKey = (Arc<str>, Option<Arc<str>>);

/// A prompt part that is cached, or will be once its prefill is done.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    tokens: u32,
    /// Number of the last use; `None` until a prefill of the part is done.
    used: Option<u64>,
    /// Runs that will have prefilled the part at their first event.
    pending: u32,
}

/// Prompt parts that an engine has prefilled; the least recently used are evicted first.
///
/// Running requests and cached parts share the memory. An engine prefills prompts one after the other, so
/// a part that a run ahead will prefill counts for a later request. It is lost if that run ends before
/// its first event.
#[derive(Clone, Debug, Default)]
pub struct KvCache {
    /// Prompt parts by hash.
    parts: HashMap<CacheKey, HashMap<u64, Part>>,
    /// Cached parts by the number of their last use.
    by_use: BTreeMap<u64, (CacheKey, u64)>,
    /// Number of uses so far.
    uses: u64,
    /// Number of tokens of all cached parts.
    tokens: u64,
    /// Upper bound of the tokens that running requests need beside the parts of their prompts.
    running: u64,
    /// What has changed since the changes were last taken.
    changes: Vec<PartChange>,
}

impl KvCache {
    /// Returns how many leading tokens of the prompt are cached now.
    pub fn held_tokens(&self, work: &ModelWork) -> u64 {
        let Some(parts) = self.parts.get(&key(work)) else { return 0 };
        let is_held = |id: &u64| parts.get(id).is_some_and(|part| part.used.is_some());
        let held = work.parts.iter().take_while(|(id, _)| is_held(id));
        held.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Returns all cached parts.
    pub(super) fn held_parts(&self) -> impl Iterator<Item = PartKey> {
        self.by_use.values().map(|(key, id)| part_key(key, *id))
    }

    /// Returns what has changed since the last call.
    pub(super) fn take_changes(&mut self) -> impl Iterator<Item = PartChange> {
        self.changes.drain(..)
    }

    /// Returns how many leading tokens of the prompt are cached, or will be before a further prefill.
    pub fn cached_tokens(&self, work: &ModelWork) -> u64 {
        if work.parts.is_empty() {
            return 0;
        }
        let Some(parts) = self.parts.get(&key(work)) else { return 0 };
        let cached = work.parts.iter().take_while(|(id, _)| parts.contains_key(id));
        cached.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Records that a run begins, which will prefill its prompt. What is cached of it is in use again.
    pub fn begin_prefill(&mut self, work: &ModelWork) {
        self.running += own_tokens(work);
        let key = key(work);
        for (id, tokens) in &work.parts {
            let part = self.parts.entry(key.clone()).or_default().entry(*id).or_default();
            part.tokens = part.tokens.max(*tokens);
            part.pending += 1;
            if part.used.is_some() {
                self.touch(&key, *id);
            }
        }
    }

    /// Records that a run has prefilled its prompt.
    pub fn finish_prefill(&mut self, work: &ModelWork) {
        let key = key(work);
        for (id, _) in &work.parts {
            let parts = self.parts.get_mut(&key);
            let Some(part) = parts.and_then(|parts| parts.get_mut(id)) else { continue };
            part.pending = part.pending.saturating_sub(1);
            if part.used.is_none() {
                self.tokens += u64::from(part.tokens);
                self.changes.push(PartChange::Cached(part_key(&key, *id)));
            }
            self.touch(&key, *id);
        }
    }

    /// Records that a run has ended, whose memory is free again.
    pub fn end_run(&mut self, work: &ModelWork) {
        self.running = self.running.saturating_sub(own_tokens(work));
    }

    /// Records that a run has ended without a prefill.
    pub fn drop_prefill(&mut self, work: &ModelWork) {
        let key = key(work);
        let Some(parts) = self.parts.get_mut(&key) else { return };
        for (id, _) in &work.parts {
            let Some(part) = parts.get_mut(id) else { continue };
            part.pending = part.pending.saturating_sub(1);
            if part.pending == 0 && part.used.is_none() {
                parts.remove(id);
            }
        }
    }

    /// Evicts the least recently used parts until they and the running requests fit into `capacity`
    /// tokens.
    pub fn limit(&mut self, capacity: u64) {
        while self.tokens + self.running > capacity {
            let Some((_, (key, id))) = self.by_use.pop_first() else { return };
            let Some(parts) = self.parts.get_mut(&key) else { continue };
            let Some(part) = parts.get_mut(&id) else { continue };
            self.tokens -= u64::from(part.tokens);
            part.used = None;
            self.changes.push(PartChange::Evicted(part_key(&key, id)));
            if part.pending == 0 {
                parts.remove(&id);
            }
            if parts.is_empty() {
                self.parts.remove(&key);
            }
        }
    }

    /// Evicts all parts of a model that is unloaded.
    pub fn evict_model(&mut self, model: &str) {
        let lost = self.by_use.values().filter(|((name, _), _)| &**name == model);
        self.changes.extend(lost.map(|(key, id)| PartChange::Evicted(part_key(key, *id))));
        self.parts.retain(|(name, _), _| &**name != model);
        self.by_use.retain(|_, ((name, _), _)| &**name != model);
        let remaining = self.parts.values().flat_map(|parts| parts.values());
        let cached = remaining.filter(|part| part.used.is_some());
        self.tokens = cached.map(|part| u64::from(part.tokens)).sum();
    }

    /// Returns the number of cached tokens.
    pub fn len(&self) -> u64 {
        self.tokens
    }

    /// Returns whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.tokens == 0
    }

    /// Makes a part the most recently used one.
    fn touch(&mut self, key: &CacheKey, id: u64) {
        self.uses += 1;
        let Some(part) = self.parts.get_mut(key).and_then(|parts| parts.get_mut(&id)) else {
            return;
        };
        if let Some(used) = part.used.replace(self.uses) {
            self.by_use.remove(&used);
        }
        self.by_use.insert(self.uses, (key.clone(), id));
    }
}

/// Returns the tokens that a request needs beside the parts of its prompt, which are counted once for all
/// requests.
fn own_tokens(work: &ModelWork) -> u64 {
    let shared: u64 = work.parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum();
    work.prompt_tokens.saturating_sub(shared) + work.output_tokens
}

/// Returns the key of a part in the index of holders.
fn part_key((model, adapter): &CacheKey, id: u64) -> PartKey {
    PartKey::new(model, adapter.as_deref(), id)
}

fn key(work: &ModelWork) -> CacheKey {
    (work.model.clone(), work.adapter.clone())
}
