//! Tests of streams that go on only at the software version that began them.

use std::time::Duration;

use cardamomshore::{
    clock::Time,
    kernel::endpoint_table::SETTLE_TIME,
    kernel::grants::{
        Action, Decider, EndpointEntry, Mode, Origin, Outcome, Reason, STREAM_TTL, Scheduler,
        StreamId, StreamOrigins, VersionNeed, VersionStreams,
    },
};

use super::fleet::*;

const LEADING: Mode = Mode::Leading { may_order: true, share: 1.0 };

fn engine_of(id: &str, version: &str) -> EndpointEntry {
    EndpointEntry { version: version.into(), ..engine(id, &["m0"]) }
}

/// Returns a scheduler that has run for long, with two engines of each of two versions.
fn two_versions() -> Scheduler {
    let ids = [("a1", "v1"), ("b1", "v2"), ("a2", "v1"), ("b2", "v2")];
    scheduler(LEADING, ids.map(|(id, version)| engine_of(id, version)).to_vec())
}

/// Begins or resumes a stream; returns the endpoint, or the reason of the refusal.
fn send(
    scheduler: &mut Scheduler,
    number: u64,
    stream: u64,
    version: VersionNeed,
    now: Time,
) -> Result<String, Reason> {
    let mut request = model_request("m0", 100, now);
    request.stream = Some(StreamId(stream));
    request.version = version;
    let actions = scheduler.handle_request(key(number), request, now);
    match &actions[..] {
        [Action::Grant(_, grant)] => Ok(grant.endpoint.to_string()),
        [Action::Refuse(_, refusal)] => Err(refusal.reason),
        other => panic!("expected a decision, got {other:?}"),
    }
}

#[test]
fn stream_goes_on_at_its_version() {
    let mut scheduler = two_versions();
    for number in 0..20 {
        let first = send(&mut scheduler, number, number, VersionNeed::Any, START);
        let first = first.expect("expected a grant");
        scheduler.record_first_event(&key(number), START);
        scheduler.handle_outcome(&key(number), Outcome::Broke, START);
        let next = send(&mut scheduler, 100 + number, number, VersionNeed::Origin, START);
        let next = next.expect("expected a grant");
        assert_eq!(first[..1], next[..1], "{first} began it, {next} goes on");
        scheduler.handle_outcome(&key(100 + number), Outcome::Whole, START);
    }
}

#[test]
fn stream_unknown_refused_while_two_versions_serve() {
    let mut scheduler = two_versions();
    let sent = send(&mut scheduler, 1, 77, VersionNeed::Origin, START);
    assert_eq!(sent, Err(Reason::NoOrigin));
}

#[test]
fn stream_of_version_that_left_refused_at_once() {
    let mut scheduler = two_versions();
    send(&mut scheduler, 1, 1, VersionNeed::Exactly("v1".into()), START).expect("a grant");
    scheduler.set_endpoints(vec![engine_of("b1", "v2")], START);
    let sent = send(&mut scheduler, 2, 1, VersionNeed::Exactly("v1".into()), START);
    assert_eq!(sent, Err(Reason::NoOrigin));
    let sent = send(&mut scheduler, 3, 77, VersionNeed::Origin, START);
    assert_eq!(sent, Err(Reason::NoOrigin), "it may have begun at the version that has left");
}

#[test]
fn stream_unknown_goes_on_while_one_version_serves() {
    let mut scheduler = scheduler(LEADING, vec![engine_of("a1", "v1"), engine_of("a2", "v1")]);
    scheduler.origins().confirm_versions(START);
    send(&mut scheduler, 1, 77, VersionNeed::Origin, START).expect("it can only be of v1");
    let later = START + Duration::from_secs(5);
    let sent = send(&mut scheduler, 2, 78, VersionNeed::Origin, later);
    assert_eq!(sent, Err(Reason::NoOrigin), "cut off, it would not see another version");
}

#[test]
fn origin_unknown_to_process_that_just_started() {
    let mut origins = StreamOrigins::new(START);
    origins.record_version(&"llm".into(), &"v2".into(), START);
    let stream = Some(StreamId(1));
    let leader = Decider::Leader;
    assert_eq!(
        origins.find(stream, "llm", leader, START),
        Origin::Unknown,
        "another may have left"
    );
    let later = START + STREAM_TTL;
    origins.confirm_versions(later);
    assert_eq!(origins.find(stream, "llm", leader, later), Origin::OnlyOne);
}

/// Returns the origins of a process that has just started and has read from the store that one version
/// serves, and no streams. `is_complete` says whether a leader has confirmed them in this era.
fn just_started(is_complete: bool) -> StreamOrigins {
    let mut origins = StreamOrigins::new(START);
    origins.record_version(&"llm".into(), &"v1".into(), START);
    origins.load(Vec::new(), 2, is_complete, START);
    origins
}

/// Guards against streams of a new version that go on at the old one after the store has returned from a
/// copy without the new one, and all who knew better have ended.
#[test]
fn origin_unknown_where_store_may_have_returned() {
    let stream = Some(StreamId(1));
    let mut origins = just_started(false);
    assert_eq!(origins.find(stream, "llm", Decider::Leader, START), Origin::Unknown);
    let settled = START + SETTLE_TIME;
    origins.confirm_versions(settled);
    let found = origins.find(stream, "llm", Decider::Leader, settled);
    assert_eq!(found, Origin::OnlyOne, "the endpoints have written their entries again");
    origins.record_version(&"llm".into(), &"v2".into(), settled);
    let found = origins.find(stream, "llm", Decider::Leader, settled);
    assert_eq!(found, Origin::Unknown, "an endpoint has written its entry again");
}

#[test]
fn origin_of_only_version_known_where_leader_confirmed() {
    let origins = just_started(true);
    let found = origins.find(Some(StreamId(1)), "llm", Decider::Leader, START);
    assert_eq!(found, Origin::OnlyOne, "the store knows no other");
}

/// Guards against an instance that is cut off from the leader and takes what it knew before for all: a
/// stream may have begun at a newer version since.
#[test]
fn origin_unknown_to_lone_instance_without_fresh_read() {
    let stream = Some(StreamId(1));
    let mut origins = just_started(true);
    let later = START + Duration::from_millis(500);
    assert_eq!(origins.find(stream, "llm", Decider::Lone, later), Origin::Unknown);
    assert_eq!(origins.find(stream, "llm", Decider::Leader, later), Origin::OnlyOne);
    origins.confirm_versions(later);
    assert_eq!(origins.find(stream, "llm", Decider::Lone, later), Origin::OnlyOne);
}

/// Guards against records that are missing in a new era because the process that leads now has only read
/// them in the former one.
#[test]
fn origin_read_in_former_era_recorded_again() {
    let list = |streams: &[u64]| VersionStreams {
        service: "llm".into(),
        version: "v1".into(),
        streams: streams.iter().map(|id| StreamId(*id)).collect(),
    };
    let mut origins = StreamOrigins::new(START);
    origins.load(vec![list(&[1])], 1, true, START);
    origins.record_version(&"llm".into(), &"v2".into(), START);
    assert_eq!(origins.take_unrecorded(1, START)[0], list(&[]));
    assert_eq!(origins.take_unrecorded(2, START)[0], list(&[1]));
}

#[test]
fn origin_read_from_store_known() {
    let mut before = StreamOrigins::new(START);
    for (version, stream) in [("v1", 1), ("v2", 2)] {
        before.record_version(&"llm".into(), &version.into(), START);
        before.begin(StreamId(stream), "llm".into(), version.into(), START);
    }
    let recorded = before.take_unrecorded(1, START);
    assert!(before.take_unrecorded(1, START).iter().all(|list| list.streams.is_empty()));
    let mut after = StreamOrigins::new(START);
    after.load(recorded.clone(), 1, true, START);
    let found = after.find(Some(StreamId(1)), "llm", Decider::Leader, START);
    assert_eq!(found, Origin::Version("v1".into()));
    let found = after.find(Some(StreamId(3)), "llm", Decider::Leader, START);
    assert_eq!(found, Origin::Unknown);
    before.mark_unrecorded(&recorded);
    assert_eq!(before.take_unrecorded(1, START), recorded, "the store has lost them");
}

#[test]
fn origin_of_only_version_not_recorded() {
    let mut origins = StreamOrigins::new(START);
    origins.record_version(&"llm".into(), &"v1".into(), START);
    origins.begin(StreamId(1), "llm".into(), "v1".into(), START);
    assert_eq!(origins.take_unrecorded(1, START), []);
    origins.record_version(&"llm".into(), &"v2".into(), START);
    let list = |version: &str, streams: &[u64]| VersionStreams {
        service: "llm".into(),
        version: version.into(),
        streams: streams.iter().map(|id| StreamId(*id)).collect(),
    };
    let lists = [list("v1", &[1]), list("v2", &[])];
    assert_eq!(origins.take_unrecorded(1, START), lists, "now it matters which one it was");
}

#[test]
fn origin_of_complete_stream_forgotten_soon() {
    let mut origins = StreamOrigins::new(START);
    origins.begin(StreamId(1), "llm".into(), "v1".into(), START);
    origins.begin(StreamId(2), "llm".into(), "v1".into(), START);
    origins.complete(StreamId(1), START);
    origins.forget_old(START + Duration::from_secs(30));
    let left: Vec<_> = origins.all().into_iter().flat_map(|list| list.streams).collect();
    assert_eq!(left, [StreamId(2)]);
}

#[test]
fn stream_waits_for_load_at_only_version() {
    let empty = EndpointEntry { models: Vec::new(), ..engine_of("a1", "v1") };
    let mut scheduler = scheduler(LEADING, vec![empty]);
    let mut request = model_request("m0", 100, START);
    request.version = VersionNeed::Exactly("v1".into());
    let actions = scheduler.handle_request(key(1), request, START);
    assert_eq!(actions, [], "its engine has crashed and loads the model again");
}

/// Interval of the endpoints' heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Returns the origins of a process that has just read a copy of the store, with the entries of two
/// endpoints of one version.
fn just_read() -> StreamOrigins {
    let mut origins = StreamOrigins::new(START);
    origins.record_version(&"llm".into(), &"v1".into(), START);
    origins.read_heartbeats(2, [("a1".into(), 40), ("a2".into(), 7)], START, START);
    origins.load(Vec::new(), 2, false, START);
    origins
}

/// Records the heartbeat `number` of an endpoint at its time, and returns this time.
fn beat(origins: &mut StreamOrigins, id: &str, number: u64, at: Duration) -> Time {
    let now = START + at;
    origins.record_heartbeat(id, number, now);
    origins.confirm_versions(now);
    now
}

/// Guards against streams that are refused for longer than endpoints take to write their entries again.
#[test]
fn origin_of_only_version_known_after_round_of_heartbeats() {
    let mut origins = just_read();
    let phase = Duration::from_millis(200);
    beat(&mut origins, "a1", 50, phase);
    beat(&mut origins, "a2", 18, phase * 4);
    let now = beat(&mut origins, "a1", 51, phase + HEARTBEAT);
    assert!(!origins.is_complete(now), "the other one has shown no interval yet");
    let now = beat(&mut origins, "a2", 19, phase * 4 + HEARTBEAT);
    let found = origins.find(Some(StreamId(1)), "llm", Decider::Leader, now);
    assert_eq!(found, Origin::OnlyOne);
}

/// Guards against two writes between heartbeats that pass for a whole interval.
#[test]
fn origin_unknown_after_writes_without_interval() {
    let mut origins = just_read();
    for (number, ms) in [(50, 100), (51, 200)] {
        beat(&mut origins, "a1", number, Duration::from_millis(ms));
        beat(&mut origins, "a2", number, Duration::from_millis(ms));
    }
    let now = beat(&mut origins, "a1", 51, HEARTBEAT);
    assert_eq!(origins.find(Some(StreamId(1)), "llm", Decider::Leader, now), Origin::Unknown);
    let mut origins = just_read();
    for ms in [100, 1_300, 2_500] {
        beat(&mut origins, "a1", 50, Duration::from_millis(ms));
        beat(&mut origins, "a2", 18, Duration::from_millis(ms));
    }
    assert!(!origins.is_complete(START + 3 * HEARTBEAT), "the numbers have not grown");
}

/// Guards against a version that is missed since its endpoint writes its entry last of all.
#[test]
fn origin_unknown_if_heartbeat_shows_other_version() {
    let mut origins = just_read();
    for round in 1..=2 {
        beat(&mut origins, "a1", 50 + round, HEARTBEAT * round as u32);
        beat(&mut origins, "a2", 18 + round, HEARTBEAT * round as u32);
        origins.record_version(&"llm".into(), &"v2".into(), START + HEARTBEAT);
    }
    let now = START + HEARTBEAT * 2;
    assert!(origins.is_complete(now));
    assert_eq!(origins.find(Some(StreamId(1)), "llm", Decider::Leader, now), Origin::Unknown);
}

/// Guards against a wait for endpoints that are gone, and against taking their removal for heartbeats.
#[test]
fn round_ends_without_endpoints_that_left() {
    let mut origins = just_read();
    origins.end_heartbeats("a2", START + HEARTBEAT);
    beat(&mut origins, "a1", 50, HEARTBEAT);
    let now = beat(&mut origins, "a1", 51, HEARTBEAT * 2);
    assert!(origins.is_complete(now));
    let mut origins = just_read();
    origins.end_heartbeats("a1", START + HEARTBEAT);
    origins.end_heartbeats("a2", START + HEARTBEAT);
    assert!(!origins.is_complete(START + HEARTBEAT * 3), "no endpoint has shown an interval");
    assert!(origins.is_complete(START + SETTLE_TIME));
}

/// Guards against heartbeats of before a return that count for the time after it.
#[test]
fn round_begins_again_in_new_era() {
    let mut origins = just_read();
    beat(&mut origins, "a1", 50, HEARTBEAT);
    beat(&mut origins, "a2", 18, HEARTBEAT);
    let read_at = START + HEARTBEAT;
    origins.read_heartbeats(3, [("a1".into(), 40), ("a2".into(), 7)], read_at, read_at);
    origins.load(Vec::new(), 3, false, read_at);
    beat(&mut origins, "a1", 51, HEARTBEAT * 2);
    let now = beat(&mut origins, "a2", 19, HEARTBEAT * 2);
    assert!(!origins.is_complete(now));
    // A watch that was lost ends no round.
    let read_at = START + HEARTBEAT * 3;
    origins.read_heartbeats(3, [("a1".into(), 52), ("a2".into(), 20)], read_at, read_at);
    assert!(origins.is_complete(read_at));
}

/// Returns a scheduler of a process that has just read a copy of the store, with two engines of a version.
fn scheduler_just_started(mode: Mode) -> Scheduler {
    let mut scheduler = Scheduler::new(limits(), mode, START);
    scheduler.set_catalog(catalog(100_000.0));
    scheduler.set_endpoints(vec![engine_of("a1", "v1"), engine_of("a2", "v1")], START);
    let origins = scheduler.origins();
    origins.read_heartbeats(2, [("a1".into(), 40), ("a2".into(), 7)], START, START);
    origins.load(Vec::new(), 2, false, START);
    origins.confirm_versions(START);
    scheduler
}

/// Time for which the callers of streams wait.
const DEADLINE: Duration = Duration::from_secs(8);

/// Sends the take-up of a stream that nobody knows, and expects that it waits.
fn hold(scheduler: &mut Scheduler, number: u64) {
    let mut request = model_request("m0", 100, START);
    request.stream = Some(StreamId(number));
    request.version = VersionNeed::Origin;
    request.deadline = START + DEADLINE;
    let actions = scheduler.handle_request(key(number), request, START);
    assert_eq!(actions, [], "expected it to wait");
}

/// Records a round of heartbeats that ends at the returned time.
fn end_round(scheduler: &mut Scheduler) -> Time {
    for round in 1..=2 {
        beat(scheduler.origins(), "a1", 50 + round, HEARTBEAT * round as u32);
        beat(scheduler.origins(), "a2", 18 + round, HEARTBEAT * round as u32);
    }
    START + HEARTBEAT * 2
}

/// Guards against callers that spend their retries on refusals while the version is not known yet.
#[test]
fn stream_held_until_version_known() {
    let mut scheduler = scheduler_just_started(LEADING);
    hold(&mut scheduler, 1);
    let before = START + HEARTBEAT;
    scheduler.origins().confirm_versions(before);
    assert!(granted(&scheduler.tick(before)).is_none(), "its version is not known yet");
    let now = end_round(&mut scheduler);
    let actions = scheduler.tick(now);
    assert!(granted(&actions).is_some(), "expected a grant, got {actions:?}");
}

#[test]
fn stream_held_refused_once_other_version_shows() {
    let mut scheduler = scheduler_just_started(LEADING);
    hold(&mut scheduler, 1);
    let now = START + HEARTBEAT;
    let entries = ["a1", "a2"].map(|id| engine_of(id, "v1")).into_iter();
    scheduler.set_endpoints(entries.chain([engine_of("b1", "v2")]).collect(), now);
    let refusal = refused(&scheduler.tick(now)).map(|refusal| refusal.reason);
    assert_eq!(refusal, Some(Reason::NoOrigin), "nobody will know its version");
}

/// Guards against a caller that waits for nothing until its deadline.
#[test]
fn stream_held_refused_in_time_for_retry() {
    let mut scheduler = scheduler_just_started(LEADING);
    hold(&mut scheduler, 1);
    let now = START + DEADLINE / 2;
    let refusal = refused(&scheduler.tick(now)).map(|refusal| refusal.reason);
    assert_eq!(refusal, Some(Reason::NoOrigin));
}

#[test]
fn stream_held_goes_on_once_peer_tells_its_version() {
    let mut scheduler = scheduler_just_started(LEADING);
    hold(&mut scheduler, 1);
    let streams = vec![StreamId(1)];
    let list = VersionStreams { service: "llm".into(), version: "v1".into(), streams };
    let now = START + Duration::from_millis(100);
    scheduler.origins().merge(vec![list], now);
    assert!(granted(&scheduler.tick(now)).is_some(), "a peer knows it");
}

/// Guards against grants for callers that have left, and for instances that ask another leader.
#[test]
fn stream_held_forgotten_with_its_caller() {
    let mut scheduler = scheduler_just_started(LEADING);
    hold(&mut scheduler, 1);
    hold(&mut scheduler, 2);
    scheduler.cancel_waiting(&key(1));
    scheduler.remove_instance("entry", START);
    assert_eq!(scheduler.held_streams(), 0);
    let now = end_round(&mut scheduler);
    assert!(granted(&scheduler.tick(now)).is_none());
}

/// Guards against an instance without a leader that lets a stream go on by versions it read long ago.
#[test]
fn stream_held_without_leader_waits_for_fresh_read() {
    let mut scheduler = scheduler_just_started(Mode::Alone { share: 1.0 });
    hold(&mut scheduler, 1);
    let now = end_round(&mut scheduler) + Duration::from_millis(500);
    assert!(granted(&scheduler.tick(now)).is_none(), "another version may serve since");
    let now = now + Duration::from_millis(100);
    scheduler.origins().confirm_versions(now);
    assert!(granted(&scheduler.tick(now)).is_some());
}

/// Guards against a stream of the only version that is queued, and goes on at a version that begins to
/// serve while it waits.
#[test]
fn stream_queued_while_one_version_served_keeps_to_it() {
    let empty = EndpointEntry { models: Vec::new(), ..engine_of("a1", "v1") };
    let mut scheduler = scheduler(LEADING, vec![empty.clone()]);
    scheduler.origins().confirm_versions(START);
    hold(&mut scheduler, 1);
    let now = START + Duration::from_millis(100);
    scheduler.set_endpoints(vec![empty, engine_of("b1", "v2")], now);
    let actions = scheduler.tick(now);
    assert!(granted(&actions).is_none(), "it began at the other version: {actions:?}");
}
