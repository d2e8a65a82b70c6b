//! Responses to non-repeatable requests, stored for callers that retry.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use crate::{
    kernel::once::ClaimId,
    wire::{Chunk, Head},
};

/// Most responses that are stored for one bucket.
const MAX_RESPONSES: usize = 4_096;

/// Most bytes of response bodies that are stored for one bucket.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A complete response.
#[derive(Debug)]
pub struct StoredResponse {
    /// Status and headers of the response.
    pub head: Head,
    /// Body of the response.
    pub chunk: Chunk,
}

/// The responses of one bucket, of which the oldest is dropped first.
#[derive(Debug, Default)]
pub struct ResponseStore {
    by_id: HashMap<ClaimId, Arc<StoredResponse>>,
    /// Ids in the order of their insertion.
    oldest_first: VecDeque<ClaimId>,
    /// Bytes of all stored bodies.
    bytes: usize,
}

impl ResponseStore {
    /// Returns the response of a claim.
    pub fn get(&self, id: &ClaimId) -> Option<Arc<StoredResponse>> {
        self.by_id.get(id).cloned()
    }

    /// Stores a response and drops the oldest ones beyond the bounds.
    pub fn insert(&mut self, id: ClaimId, response: Arc<StoredResponse>) {
        self.bytes += response.chunk.data.len();
        if let Some(old) = self.by_id.insert(id, response) {
            self.bytes -= old.chunk.data.len();
        } else {
            self.oldest_first.push_back(id);
        }
        while self.oldest_first.len() > MAX_RESPONSES || self.bytes > MAX_BODY_BYTES {
            self.drop_oldest();
        }
    }

    /// Drops the oldest response.
    fn drop_oldest(&mut self) {
        let Some(id) = self.oldest_first.pop_front() else { return };
        if let Some(old) = self.by_id.remove(&id) {
            self.bytes -= old.chunk.data.len();
        }
    }
}
