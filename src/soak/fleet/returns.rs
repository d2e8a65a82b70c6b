//! Copies of the store, and its returns from them.

use std::time::Duration;

use super::{
    super::{plan::MAX_COPY_AGE_MS, process::GatewayProcess},
    DATA_CENTRES, Fleet, evacuation_key,
};
use crate::{
    clock::Time,
    platform::registration::ENDPOINT_PREFIX,
    standin::{metadata::StoreFaults, worker::Worker},
};

/// Interval at which the store is copied.
const COPY_INTERVAL: Duration = Duration::from_millis(500);

impl Fleet {
    pub(super) fn mend_store(&self) {
        let mend = |gateway: &GatewayProcess| gateway.store.set_faults(StoreFaults::default());
        self.gateways.iter().for_each(mend);
    }

    /// Copies the store from time to time.
    pub(super) fn copy_store(&mut self, now: Time) {
        if self.copies.back().is_some_and(|(at, _)| now.since(*at) < COPY_INTERVAL) {
            return;
        }
        let max_age = Duration::from_millis(MAX_COPY_AGE_MS) + COPY_INTERVAL;
        self.copies.push_back((now, self.store.copy()));
        while self.copies.front().is_some_and(|(at, _)| now.since(*at) > max_age) {
            self.copies.pop_front();
        }
    }

    /// Lets the store return from the first copy after `copied_at`.
    pub(super) fn restore_store(&mut self, copied_at: Time) {
        if let Some((_, copy)) = self.copies.iter().find(|(at, _)| *at >= copied_at) {
            self.store.restore(copy.clone());
        }
        // What was copied since is not in the history of the store any more.
        self.copies.retain(|(at, _)| *at <= copied_at);
        self.mend_store();
    }

    /// Writes the operators' records again after a return of the store.
    pub(super) fn write_again(&self) {
        self.write_document();
        for index in 0..DATA_CENTRES.len() {
            let key = evacuation_key(index);
            let is_out = self.evacuations.iter().any(|e| e.data_centre == index && e.to.is_none());
            match is_out {
                true => self.store.put(&key, "{}"),
                false => self.store.delete(&key),
            }
        }
    }

    /// Removes the entries of endpoints that the store has from a copy and that have ended.
    pub(super) fn remove_ghosts(&self) {
        let alive: Vec<String> = self.workers.iter().map(Worker::entry_key).collect();
        let keys = self.store.keys(ENDPOINT_PREFIX).into_iter();
        keys.filter(|key| !alive.contains(key)).for_each(|key| self.store.delete(&key));
    }
}
