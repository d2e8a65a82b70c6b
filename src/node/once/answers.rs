//! Answers of non-repeatable requests, kept for callers that send the request again.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use crate::{
    kernel::once::ClaimId,
    wire::{Chunk, Head},
};

/// Most answers that one bucket keeps.
const MAX_RESPONSES: usize = 4_096;

/// Most bytes of answers that one bucket keeps.
const MAX_BYTES: usize = 1 << 20;

/// A whole answer.
#[derive(Debug)]
pub struct StoredResponse {
    /// Status and headers.
    pub head: Head,
    /// Body.
    pub chunk: Chunk,
}

/// The answers of one bucket, the oldest of which is dropped first.
#[derive(Debug, Default)]
pub struct ResponseStore {
    by_id: HashMap<ClaimId, Arc<StoredResponse>>,
    order: VecDeque<ClaimId>,
    bytes: usize,
}

impl ResponseStore {
    /// Returns the answer of a claim.
    pub fn get(&self, id: &ClaimId) -> Option<Arc<StoredResponse>> {
        self.by_id.get(id).cloned()
    }

    /// Keeps an answer.
    pub fn insert(&mut self, id: ClaimId, kept: Arc<StoredResponse>) {
        self.bytes += kept.chunk.data.len();
        if let Some(old) = self.by_id.insert(id, kept) {
            self.bytes -= old.chunk.data.len();
        } else {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_RESPONSES || self.bytes > MAX_BYTES {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else { return };
        if let Some(old) = self.by_id.remove(&id) {
            self.bytes -= old.chunk.data.len();
        }
    }
}
