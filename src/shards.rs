//! A hash map split into shards, each with its own lock.

use std::{
    borrow::Borrow,
    collections::HashMap,
    hash::{BuildHasher, Hash},
};

use parking_lot::Mutex;
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

const SHARD_COUNT: usize = 16;

type Shard<K, V> = Mutex<HashMap<K, V, Xxh3DefaultBuilder>>;

/// A concurrent map, where threads contend only if their keys are in the same shard.
#[derive(Debug)]
pub struct Shards<K, V> {
    shards: Vec<Shard<K, V>>,
}

impl<K: Hash + Eq, V> Default for Shards<K, V> {
    fn default() -> Self {
        Self { shards: (0..SHARD_COUNT).map(|_| Shard::default()).collect() }
    }
}

impl<K: Hash + Eq, V> Shards<K, V> {
    /// Runs `f` on the entry of `key` under the shard's lock, inserting the entry if it is absent.
    pub fn with_or_insert<T>(
        &self,
        key: K,
        init: impl FnOnce() -> V,
        f: impl FnOnce(&mut V) -> T,
    ) -> T {
        let mut shard = self.shard(&key).lock();
        f(shard.entry(key).or_insert_with(init))
    }

    /// Runs `f` on the entry of `key` under the shard's lock, or returns `None` if it is absent.
    pub fn with<Q, T>(&self, key: &Q, f: impl FnOnce(&mut V) -> T) -> Option<T>
    where
        K: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        self.shard(key).lock().get_mut(key).map(f)
    }

    /// Inserts an entry and returns the one it replaced.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.shard(&key).lock().insert(key, value)
    }

    /// Removes an entry and returns it.
    pub fn remove<Q>(&self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        self.shard(key).lock().remove(key)
    }

    /// Runs `f` on every entry, one shard after the other.
    pub fn for_each(&self, mut f: impl FnMut(&K, &mut V)) {
        for shard in &self.shards {
            for (key, value) in shard.lock().iter_mut() {
                f(key, value);
            }
        }
    }

    /// Keeps the entries for which `f` returns true.
    pub fn retain(&self, mut f: impl FnMut(&K, &mut V) -> bool) {
        for shard in &self.shards {
            shard.lock().retain(&mut f);
        }
    }

    /// Returns a copy of all keys.
    pub fn keys(&self) -> Vec<K>
    where
        K: Clone,
    {
        self.shards.iter().flat_map(|s| s.lock().keys().cloned().collect::<Vec<_>>()).collect()
    }

    fn shard<Q: Hash + ?Sized>(&self, key: &Q) -> &Shard<K, V> {
        let hash = Xxh3DefaultBuilder.hash_one(key);
        &self.shards[hash as usize % SHARD_COUNT]
    }
}
