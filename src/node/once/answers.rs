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
const COUNT_LIMIT: usize = 4_096;

/// Most bytes of answers that one bucket keeps.
const BYTES_LIMIT: usize = 1 << 20;

/// A whole answer.
#[derive(Debug)]
pub struct Kept {
    /// Status and headers.
    pub head: Head,
    /// Body.
    pub chunk: Chunk,
}

/// The answers of one bucket, the oldest of which is dropped first.
#[derive(Debug, Default)]
pub struct Answers {
    by_id: HashMap<ClaimId, Arc<Kept>>,
    order: VecDeque<ClaimId>,
    bytes: usize,
}

impl Answers {
    /// Returns the answer of a claim.
    pub fn get(&self, id: &ClaimId) -> Option<Arc<Kept>> {
        self.by_id.get(id).cloned()
    }

    /// Keeps an answer.
    pub fn keep(&mut self, id: ClaimId, kept: Arc<Kept>) {
        self.bytes += kept.chunk.data.len();
        if let Some(old) = self.by_id.insert(id, kept) {
            self.bytes -= old.chunk.data.len();
        } else {
            self.order.push_back(id);
        }
        while self.order.len() > COUNT_LIMIT || self.bytes > BYTES_LIMIT {
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
