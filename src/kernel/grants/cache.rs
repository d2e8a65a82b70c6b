//! What an engine probably keeps of earlier prompts.

use std::{collections::HashMap, sync::Arc};

use super::ModelWork;
use crate::clock::Time;

type Owner = (Arc<str>, Option<Arc<str>>);

/// Prompt parts that an engine was given, the least recently used of which yield.
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    parts: HashMap<Owner, HashMap<u64, (u32, Time)>>,
    tokens: u64,
}

impl PromptCache {
    /// Returns how many of the prompt's leading tokens are kept.
    pub fn kept(&self, work: &ModelWork) -> u64 {
        let owner = (work.model.clone(), work.adapter.clone());
        let Some(parts) = self.parts.get(&owner) else { return 0 };
        let held = work.parts.iter().take_while(|(id, _)| parts.contains_key(id));
        held.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Notes that an engine reads a prompt; `room` is the memory left for kept parts.
    pub fn read(&mut self, work: &ModelWork, room: u64, now: Time) {
        let owner = (work.model.clone(), work.adapter.clone());
        let parts = self.parts.entry(owner).or_default();
        for (id, tokens) in &work.parts {
            if parts.insert(*id, (*tokens, now)).is_none() {
                self.tokens += u64::from(*tokens);
            }
        }
        if self.tokens > room {
            self.shrink(room);
        }
    }

    /// Drops the oldest parts until three quarters of `room` are used.
    fn shrink(&mut self, room: u64) {
        let mut all: Vec<(Time, Owner, u64, u32)> = Vec::new();
        for (owner, parts) in &self.parts {
            all.extend(parts.iter().map(|(id, (tokens, at))| (*at, owner.clone(), *id, *tokens)));
        }
        all.sort_by_key(|(at, ..)| *at);
        for (_, owner, id, tokens) in all {
            if self.tokens <= room / 4 * 3 {
                return;
            }
            if let Some(parts) = self.parts.get_mut(&owner) {
                parts.remove(&id);
                self.tokens -= u64::from(tokens);
            }
        }
    }

    /// Drops what was kept for a model that is unloaded.
    pub fn drop_model(&mut self, model: &str) {
        self.parts.retain(|(name, _), _| &**name != model);
        let left = self.parts.values().flat_map(|parts| parts.values());
        self.tokens = left.map(|(tokens, _)| u64::from(*tokens)).sum();
    }
}
