//! At which software version of its endpoint each stream began.
//!
//! What two versions write does not fit together, so a stream may go on only at the version that began
//! it. Callers take streams up at any instance, also after all instances have ended at once.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use super::heartbeats::{Heartbeat, HeartbeatRound};
use crate::{clock::Time, kernel::endpoint_table::SETTLE_TIME};

/// Time for which a stream that has not ended, and a version that has left, are remembered. No caller
/// takes a stream up later.
pub const STREAM_TTL: Duration = Duration::from_secs(60);

/// Time for which a stream is remembered that has come from its endpoint completely. Its last events
/// may still be lost on the way to the caller.
const COMPLETE_TTL: Duration = Duration::from_secs(5);

/// Time for which the endpoints that a leader knows count as those of the store. All streams begin with
/// its grants, so none begins at a version that it does not know.
const LEADER_CONFIRMATION_TTL: Duration = Duration::from_secs(1);

/// The same time for an instance that is cut off from the leader, whose streams may have begun elsewhere.
/// It is shorter than a new version takes to be known, to begin a stream and to break off, and longer
/// than the instance takes to read the endpoints.
const LONE_CONFIRMATION_TTL: Duration = Duration::from_millis(350);

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

/// Who decides at which version a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decider {
    /// The leader, which grants all requests.
    Leader,
    /// An instance without a leader.
    Lone,
}

impl Decider {
    fn confirmation_ttl(self) -> Duration {
        match self {
            Decider::Leader => LEADER_CONFIRMATION_TTL,
            Decider::Lone => LONE_CONFIRMATION_TTL,
        }
    }
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
    /// From when on what was read from the store counts as complete, also without heartbeats; `None`
    /// before the first read.
    complete_from: Option<Time>,
    /// Heartbeats that are awaited in an era of which no leader has confirmed the records.
    round: Option<HeartbeatRound>,
    /// Era of the store in which streams were recorded last.
    recorded_era: Option<u64>,
}

impl StreamOrigins {
    /// Creates the origins of a process that starts at `now` and knows nothing of earlier streams.
    pub fn new(now: Time) -> Self {
        Self {
            streams: HashMap::new(),
            versions: HashMap::new(),
            known_since: now,
            confirmed_at: now,
            complete_from: None,
            round: None,
            recorded_era: None,
        }
    }

    /// Records that endpoints of this version of a service are known.
    pub fn record_version(&mut self, service: &Arc<str>, version: &Arc<str>, now: Time) {
        let versions = self.versions.entry(service.clone()).or_default();
        versions.insert(version.clone(), now);
    }

    /// Records that the endpoints which are known are those of the store. An instance that is cut off
    /// does not see new versions. `at` is when they began to be read.
    pub fn confirm_versions(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(at);
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
        let round = self.round.as_ref().and_then(HeartbeatRound::complete_from);
        let is_read = self.complete_from.is_some_and(|from| now >= round.unwrap_or(from).min(from));
        is_read || now.since(self.known_since) >= STREAM_TTL
    }

    /// Returns whether it will soon be known if all streams of a service began at the same version, of
    /// which only one is known so far.
    pub fn is_settling(&self, service: &str, now: Time) -> bool {
        self.awaits_versions(now) && !self.has_several_versions(service, now)
    }

    /// Returns whether the records were read and versions may still be missing.
    pub fn awaits_versions(&self, now: Time) -> bool {
        self.complete_from.is_some() && !self.is_complete(now)
    }

    /// Returns whether several versions of a service have served lately, so that the version of a stream
    /// that is not known now will never be.
    pub fn has_several_versions(&self, service: &str, now: Time) -> bool {
        self.recent_versions(service, now).len() > 1
    }

    /// Returns the version of a service that has served lately, if it is the only one.
    pub fn only_version(&self, service: &str, now: Time) -> Option<Arc<str>> {
        let versions = self.recent_versions(service, now);
        versions.into_iter().next().filter(|_| !self.has_several_versions(service, now))
    }

    /// Returns whether heartbeats of endpoints are of use.
    pub fn awaits_heartbeats(&self, now: Time) -> bool {
        !self.is_complete(now)
    }

    /// Records the heartbeats of all entries that were read in `era` by a read that began at `began_at`.
    pub fn read_heartbeats(
        &mut self,
        era: u64,
        entries: impl IntoIterator<Item = Heartbeat>,
        began_at: Time,
        now: Time,
    ) {
        let is_complete = self.is_complete(now);
        match &mut self.round {
            Some(round) if round.era() == era => round.read_again(entries, now),
            _ if is_complete => {}
            round => *round = Some(HeartbeatRound::new(era, entries, began_at)),
        }
    }

    /// Records that an endpoint has written its entry, with the number of its heartbeat.
    pub fn record_heartbeat(&mut self, id: &str, number: u64, now: Time) {
        if let Some(round) = &mut self.round {
            round.record(id, number, now);
        }
    }

    /// Records that an endpoint has no entry any more.
    pub fn end_heartbeats(&mut self, id: &str, now: Time) {
        if let Some(round) = &mut self.round {
            round.remove(id, now);
        }
    }

    /// Returns whether the versions that are known are those of the store, as far as `decider` must know.
    pub fn is_confirmed(&self, decider: Decider, now: Time) -> bool {
        now.since(self.confirmed_at) < decider.confirmation_ttl()
    }

    /// Returns the versions of a service that have served lately.
    fn recent_versions(&self, service: &str, now: Time) -> BTreeSet<Arc<str>> {
        let versions = self.versions.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, seen)| now.since(**seen) < STREAM_TTL);
        recent.map(|(version, _)| version.clone()).collect()
    }

    /// Returns what is known of the version that began a stream of a service.
    pub fn find(
        &self,
        stream: Option<StreamId>,
        service: &str,
        decider: Decider,
        now: Time,
    ) -> Origin {
        let begun = stream.and_then(|stream| self.streams.get(&stream));
        match begun {
            Some(begun) => Origin::Version(begun.version.clone()),
            None if self.has_one_version(service, decider, now) => Origin::OnlyOne,
            None => Origin::Unknown,
        }
    }

    /// Returns whether all streams of a service certainly began at the same version.
    fn has_one_version(&self, service: &str, decider: Decider, now: Time) -> bool {
        self.is_complete(now)
            && self.is_confirmed(decider, now)
            && self.recent_versions(service, now).len() <= 1
    }

    /// Forgets what is too old.
    pub fn forget_old(&mut self, now: Time) {
        self.streams.retain(|_, begun| now < begun.forget_at);
        for versions in self.versions.values_mut() {
            versions.retain(|_, seen| now.since(*seen) < STREAM_TTL);
        }
    }

    /// Returns all versions of the services that have several, with the streams that the store, which is
    /// in `era`, does not have yet. They then count as recorded. Only these services need a record.
    pub fn take_unrecorded(&mut self, era: u64, now: Time) -> Vec<VersionStreams> {
        if self.recorded_era.is_some_and(|recorded| recorded != era) {
            self.streams.values_mut().for_each(|begun| begun.recorded = false);
        }
        self.recorded_era = Some(era);
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

    /// Adds all streams that the store has in `era`. `is_complete` says whether a leader has confirmed in
    /// this era that nothing is missing.
    ///
    /// Otherwise the store may have just returned from an older copy that lacks streams and versions. The
    /// endpoints write their entries again, which then shows all versions: after a round of heartbeats,
    /// and within [`SETTLE_TIME`] in any case.
    pub fn load(&mut self, lists: Vec<VersionStreams>, era: u64, is_complete: bool, now: Time) {
        self.add(lists, true, now);
        self.recorded_era.get_or_insert(era);
        if !self.is_complete(now) {
            self.round = self.round.take().filter(|round| round.era() == era);
        }
        let read_at = self.round.as_ref().map_or(now, HeartbeatRound::began_at);
        let from = if is_complete { now } else { read_at + SETTLE_TIME };
        self.complete_from = Some(self.complete_from.map_or(from, |known| known.min(from)));
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
