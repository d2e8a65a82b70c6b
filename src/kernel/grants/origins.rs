//! At which software version of its endpoint each stream began.
//!
//! What two versions write does not fit together, so a stream may go on only at the version that began
//! it. Callers take streams up at any instance, also after all instances have ended at once.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::clock::Time;

/// Time for which a stream that has not ended, and a version that has left, are remembered. No caller
/// takes a stream up later.
pub const STREAM_TTL: Duration = Duration::from_secs(60);

/// Time for which a stream is remembered that has come from its endpoint completely. Its last events
/// may still be lost on the way to the caller.
const COMPLETE_TTL: Duration = Duration::from_secs(5);

/// Time for which the endpoints that are known count as those of the store.
const CONFIRMATION_TTL: Duration = Duration::from_secs(1);

/// Most streams that are recorded at once.
const MAX_RECORDED: usize = 50_000;

/// Identifies a stream by a hash of the id of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// The software version that an endpoint must have to run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum VersionNeed {
    /// Any version: nothing of the response was delivered yet.
    #[default]
    Any,
    /// The version that began the stream, which the scheduler must find out.
    Origin,
    /// This version.
    Exactly(Arc<str>),
}

/// What is known of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The stream began at this version.
    Version(Arc<str>),
    /// Only one version has served, which therefore began the stream.
    OnlyOne,
    /// Several versions have served, or it is not known how many.
    Unknown,
}

/// The streams that began at one version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionStreams {
    /// Name of the service.
    pub service: Arc<str>,
    /// Version of the endpoints' software.
    pub version: Arc<str>,
    /// The streams.
    pub streams: Vec<StreamId>,
}

/// A stream that has begun.
#[derive(Clone, Debug)]
struct Begun {
    service: Arc<str>,
    version: Arc<str>,
    /// When it is forgotten.
    forget_at: Time,
    /// Whether the store has it.
    recorded: bool,
}

/// The origins of streams that run or have broken off.
#[derive(Debug)]
pub struct StreamOrigins {
    streams: HashMap<StreamId, Begun>,
    /// When an endpoint of each version was last known, by service.
    versions: HashMap<Arc<str>, BTreeMap<Arc<str>, Time>>,
    /// Since when the versions are known.
    known_since: Time,
    /// When the endpoints were last known to be those of the store.
    confirmed_at: Time,
    /// Whether the origins that the store has were added.
    loaded: bool,
}

impl StreamOrigins {
    /// Creates the origins of a process that starts at `now` and knows nothing of earlier streams.
    pub fn new(now: Time) -> Self {
        Self {
            streams: HashMap::new(),
            versions: HashMap::new(),
            known_since: now,
            confirmed_at: now,
            loaded: false,
        }
    }

    /// Records that endpoints of this version of a service are known.
    pub fn record_version(&mut self, service: &Arc<str>, version: &Arc<str>, now: Time) {
        let versions = self.versions.entry(service.clone()).or_default();
        versions.insert(version.clone(), now);
    }

    /// Records that the endpoints which are known are those of the store. An instance that is cut off
    /// does not see new versions.
    pub fn confirm_versions(&mut self, now: Time) {
        self.confirmed_at = now;
    }

    /// Records that a stream has begun.
    pub fn begin(&mut self, stream: StreamId, service: Arc<str>, version: Arc<str>, now: Time) {
        let forget_at = now + STREAM_TTL;
        let begun = Begun { service, version, forget_at, recorded: false };
        self.streams.entry(stream).or_insert(begun).forget_at = forget_at;
    }

    /// Records that a stream has come from its endpoint completely.
    pub fn complete(&mut self, stream: StreamId, now: Time) {
        if let Some(begun) = self.streams.get_mut(&stream) {
            begun.forget_at = now + COMPLETE_TTL;
        }
    }

    /// Records that a stream has broken off.
    pub fn break_off(&mut self, stream: StreamId, now: Time) {
        if let Some(begun) = self.streams.get_mut(&stream) {
            begun.forget_at = now + STREAM_TTL;
        }
    }

    /// Returns whether all versions are known at which a stream may have begun.
    pub fn is_complete(&self, now: Time) -> bool {
        self.loaded || now.since(self.known_since) >= STREAM_TTL
    }

    /// Returns the versions of a service that have served lately.
    fn recent_versions(&self, service: &str, now: Time) -> BTreeSet<Arc<str>> {
        let versions = self.versions.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, seen)| now.since(**seen) < STREAM_TTL);
        recent.map(|(version, _)| version.clone()).collect()
    }

    /// Returns what is known of the version that began a stream of a service.
    pub fn find(&self, stream: Option<StreamId>, service: &str, now: Time) -> Origin {
        let begun = stream.and_then(|stream| self.streams.get(&stream));
        match begun {
            Some(begun) => Origin::Version(begun.version.clone()),
            None if self.has_one_version(service, now) => Origin::OnlyOne,
            None => Origin::Unknown,
        }
    }

    /// Returns whether all streams of a service certainly began at the same version.
    fn has_one_version(&self, service: &str, now: Time) -> bool {
        self.is_complete(now)
            && now.since(self.confirmed_at) < CONFIRMATION_TTL
            && self.recent_versions(service, now).len() <= 1
    }

    /// Forgets what is too old.
    pub fn forget_old(&mut self, now: Time) {
        self.streams.retain(|_, begun| now < begun.forget_at);
        for versions in self.versions.values_mut() {
            versions.retain(|_, seen| now.since(*seen) < STREAM_TTL);
        }
    }

    /// Returns all versions of the services that have several, with the streams that the store does not
    /// have yet, which then count as recorded. Only these services need a record.
    pub fn take_unrecorded(&mut self, now: Time) -> Vec<VersionStreams> {
        let services: Vec<Arc<str>> = self.versions.keys().cloned().collect();
        let mut lists: BTreeMap<(Arc<str>, Arc<str>), Vec<StreamId>> = BTreeMap::new();
        for service in services {
            let versions = self.recent_versions(&service, now);
            if versions.len() > 1 {
                let names = versions.into_iter().map(|version| (service.clone(), version));
                lists.extend(names.map(|name| (name, Vec::new())));
            }
        }
        let unrecorded = self.streams.iter_mut().filter(|(_, begun)| !begun.recorded);
        for (id, begun) in unrecorded.take(MAX_RECORDED) {
            if let Some(list) = lists.get_mut(&(begun.service.clone(), begun.version.clone())) {
                list.push(*id);
                begun.recorded = true;
            }
        }
        let lists = lists.into_iter();
        lists
            .map(|((service, version), streams)| VersionStreams { service, version, streams })
            .collect()
    }

    /// Records that the store does not have these streams after all.
    pub fn mark_unrecorded(&mut self, lists: &[VersionStreams]) {
        for stream in lists.iter().flat_map(|list| &list.streams) {
            if let Some(begun) = self.streams.get_mut(stream) {
                begun.recorded = false;
            }
        }
    }

    /// Records that the store may have lost all streams.
    pub fn mark_all_unrecorded(&mut self) {
        self.streams.values_mut().for_each(|begun| begun.recorded = false);
    }

    /// Returns the streams that are known, for another instance.
    pub fn all(&self) -> Vec<VersionStreams> {
        let mut lists: BTreeMap<(&Arc<str>, &Arc<str>), Vec<StreamId>> = BTreeMap::new();
        for (id, begun) in &self.streams {
            lists.entry((&begun.service, &begun.version)).or_default().push(*id);
        }
        let lists = lists.into_iter();
        lists
            .map(|((service, version), streams)| VersionStreams {
                service: service.clone(),
                version: version.clone(),
                streams,
            })
            .collect()
    }

    /// Adds streams that another instance knows.
    pub fn merge(&mut self, lists: Vec<VersionStreams>, now: Time) {
        self.add(lists, false, now);
    }

    /// Adds all streams that the store has.
    pub fn load(&mut self, lists: Vec<VersionStreams>, now: Time) {
        self.add(lists, true, now);
        self.loaded = true;
    }

    fn add(&mut self, lists: Vec<VersionStreams>, recorded: bool, now: Time) {
        for VersionStreams { service, version, streams } in lists {
            self.record_version(&service, &version, now);
            for stream in streams {
                let (service, version) = (service.clone(), version.clone());
                let begun = Begun { service, version, forget_at: now + STREAM_TTL, recorded };
                self.streams.entry(stream).or_insert(begun);
            }
        }
    }
}
