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
