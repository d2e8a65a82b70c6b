//! Bytes that a leader sends to its peers, at the sizes of small and large fleets.

use std::{net::SocketAddr, time::Duration};

use cardamomshore::{
    gateway::{
        deflate::{deflate, inflate},
        messages::{
            Content, EncodedFrame, EndpointFrame, EndpointsFrame, Frame, FrameError, ModelFrame,
        },
        updates::{SentVersions, Updates},
    },
    kernel::{membership::Member, table_digest::TableDigest},
};
use prost::Message;
use tokio::time::Instant;

/// Numbers of instances; the last is the size that the system is designed for.
const FLEET_SIZES: [u32; 3] = [30, 195, 960];

/// Largest number of bytes that one change of a member or an endpoint may cost each peer.
const MAX_CHANGE_BYTES: usize = 400;

const TERM: u64 = 7;

fn member(number: u32) -> Member {
    let callers = SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 8_000));
    let instance = format!("edge-data-centre-a-{number}").into();
    let data_centre = "data-centre-a".into();
    Member {
        instance,
        data_centre,
        callers,
        peer: callers,
        relay: callers,
        cut_off: false,
        strength: 1_000,
        named: false,
    }
}

fn endpoint(number: u32, models: u32) -> EndpointFrame {
    let models = (0..models).map(|model| ModelFrame {
        model: format!("model-{model}"),
        adapters: (0..8).map(|adapter| format!("adapter-{adapter}")).collect(),
    });
    EndpointFrame {
        id: format!("engine-{number}"),
        service: "assistant".to_owned(),
        address: "10.2.0.1:9000".to_owned(),
        data_centre: "data-centre-a".to_owned(),
        slots: 48,
        models: models.collect(),
        ..EndpointFrame::default()
    }
}

/// The updates of a leader, and the versions that its peers have.
struct Fleet {
    updates: Updates,
    peers: Vec<SentVersions>,
}

impl Fleet {
    fn new() -> Self {
        Self { updates: Updates::new(0.0), peers: Vec::new() }
    }

    fn replace(&self, members: &[Member], endpoints: &[EndpointFrame]) {
        self.updates.replace(TERM, members, endpoints.to_vec(), false);
    }

    /// Returns the bytes that one round of updates sends to all peers.
    fn round_bytes(&mut self) -> usize {
        let updates = &self.updates;
        let pending = self.peers.iter_mut().filter_map(|sent| updates.take_pending(TERM, sent));
        pending.flat_map(|update| update.frames).map(|frame| frame.size()).sum()
    }

    /// Returns a fleet whose peers have all members and endpoints.
    fn settled(size: u32) -> (Self, Vec<Member>, Vec<EndpointFrame>) {
        let members: Vec<Member> = (0..size).map(member).collect();
        let endpoints: Vec<EndpointFrame> = (0..size).map(|number| endpoint(number, 2)).collect();
        let mut fleet = Self::new();
        fleet.replace(&members, &endpoints);
        fleet.peers = vec![SentVersions::default(); size as usize];
        fleet.round_bytes();
        (fleet, members, endpoints)
    }
}

#[test]
fn updates_join_costs_peer_one_entry() {
    for size in FLEET_SIZES {
        let (mut fleet, mut members, endpoints) = Fleet::settled(size);
        members.push(member(size));
        fleet.replace(&members, &endpoints);
        let bytes = fleet.round_bytes() / size as usize;
        assert!(bytes <= MAX_CHANGE_BYTES, "{bytes} bytes a peer with {size} instances");
    }
}

#[test]
fn updates_leave_costs_peer_one_name() {
    for size in FLEET_SIZES {
        let (mut fleet, mut members, endpoints) = Fleet::settled(size);
        members.pop();
        fleet.replace(&members, &endpoints);
        let bytes = fleet.round_bytes() / size as usize;
        assert!(bytes > 0 && bytes <= MAX_CHANGE_BYTES, "{bytes} bytes with {size} instances");
    }
}

#[test]
fn updates_engine_change_costs_peer_one_entry() {
    for size in FLEET_SIZES {
        let (mut fleet, members, mut endpoints) = Fleet::settled(size);
        endpoints[3] = endpoint(3, 1);
        fleet.replace(&members, &endpoints);
        let bytes = fleet.round_bytes() / size as usize;
        assert!(bytes > 0 && bytes <= MAX_CHANGE_BYTES, "{bytes} bytes with {size} instances");
    }
}

#[test]
fn updates_start_costs_peer_two_tables() {
    // All instances join within five rounds; a peer should get each entry about once.
    for size in FLEET_SIZES {
        let members: Vec<Member> = (0..size).map(member).collect();
        let (table, ..) = Fleet::settled(size);
        let mut newcomer = SentVersions::default();
        let whole = table.updates.take_pending(TERM, &mut newcomer).expect("it has nothing yet");
        let whole: usize = whole.frames.iter().map(EncodedFrame::size).sum();
        let endpoints: Vec<EndpointFrame> = (0..size).map(|number| endpoint(number, 2)).collect();
        let mut fleet = Fleet::new();
        let mut bytes = 0;
        for joined in (1..=5).map(|round| (size * round / 5) as usize) {
            fleet.replace(&members[..joined], &endpoints);
            fleet.peers.resize(joined, SentVersions::default());
            bytes += fleet.round_bytes();
        }
        let each = bytes / size as usize;
        assert!(each <= 2 * whole, "{each} bytes a peer, {whole} in the tables, {size} instances");
    }
}

#[test]
fn updates_wait_for_tables_of_term() {
    let (fleet, ..) = Fleet::settled(30);
    let mut newcomer = SentVersions::default();
    assert!(fleet.updates.take_pending(TERM + 1, &mut newcomer).is_none(), "tables of an old term");
    assert!(fleet.updates.take_pending(TERM, &mut newcomer).is_some());
}

/// Link of a leader of a large fleet, in megabits a second.
const LEADER_LINK_MBPS: f64 = 100.0;

/// Longest time until the last of 300 instances has the tables of a leader that it has followed before.
const MAX_FOLLOW_TIME: Duration = Duration::from_millis(1_500);

/// Longest time until the last of 300 instances has the tables after all have started. They serve callers by
/// the leader's grants meanwhile.
const MAX_START_TIME: Duration = Duration::from_secs(6);

/// Returns the endpoints of a fleet of 300 instances.
fn many_endpoints() -> Vec<EndpointFrame> {
    let endpoint = |number: u32| EndpointFrame {
        id: format!("engine-{number:05}"),
        incarnation: 1_765_000_000_000 + u64::from(number * 7_919),
        address: format!("10.{}.{}.{}:9000", number % 4, number >> 8, number & 255),
        data_centre: format!("data-centre-{}", number % 9),
        version: "2026.11.3".to_owned(),
        ..endpoint(number, 1 + number % 3)
    };
    (0..2_998).map(endpoint).collect()
}

fn digest(endpoints: &[EndpointFrame]) -> Vec<u64> {
    let entries = endpoints.iter().map(|frame| (&frame.id, frame.encode_known()));
    TableDigest::new(entries).as_slice().to_vec()
}

/// Returns the bytes that a new leader sends to each of 300 instances, and the time until the last one has
/// them.
fn join_cost(endpoints: &[EndpointFrame], joining: &SentVersions) -> (usize, Duration) {
    let members: Vec<Member> = (0..300).map(member).collect();
    let updates = Updates::new(LEADER_LINK_MBPS);
    updates.replace(TERM, &members, endpoints.to_vec(), false);
    let began_at = Instant::now();
    let pending = (0..300).filter_map(|_| updates.take_pending(TERM, &mut joining.clone()));
    let pending: Vec<_> = pending.collect();
    let bytes: usize = pending.iter().flat_map(|it| &it.frames).map(EncodedFrame::size).sum();
    let last = pending.iter().map(|it| it.send_at).max().unwrap_or(began_at);
    (bytes / 300, last - began_at)
}

/// Guards against a new leader that sends all endpoints to instances which know nearly all of them: the
/// last of 300 instances had the table after 50 s.
#[test]
fn updates_new_leader_sends_differences() {
    let endpoints = many_endpoints();
    let mut known = endpoints.clone();
    for changed in known.iter_mut().step_by(300) {
        changed.draining = true;
    }
    known.pop();
    let (bytes, time) = join_cost(&endpoints, &SentVersions::of_joining(digest(&known), true));
    println!("a new leader sends {bytes} bytes to each of 300 instances in {time:?}");
    assert!(time < MAX_FOLLOW_TIME, "{bytes} bytes each take {time:?}");
}

/// Guards against a fleet that was killed and waits for the table of its leader.
#[test]
fn updates_started_fleet_gets_table_in_time() {
    let endpoints = many_endpoints();
    let (whole, whole_time) = join_cost(&endpoints, &SentVersions::default());
    let (bytes, time) = join_cost(&endpoints, &SentVersions::of_joining(Vec::new(), true));
    println!("{bytes} bytes in {time:?}; to an earlier release {whole} in {whole_time:?}");
    assert!(time < MAX_START_TIME, "{bytes} bytes each take {time:?}");
}

/// Guards against an endpoint that is sent again while it warms up, each time that it writes its entry.
#[test]
fn updates_warming_endpoint_sent_once() {
    let (mut fleet, members, mut endpoints) = Fleet::settled(30);
    endpoints[3].cold_ms = 5_000;
    fleet.replace(&members, &endpoints);
    assert!(fleet.round_bytes() > 0, "it is cold");
    endpoints[3].cold_ms = 3_800;
    fleet.replace(&members, &endpoints);
    assert_eq!(fleet.round_bytes(), 0, "the peers count the time themselves");
    endpoints[3].cold_ms = 0;
    fleet.replace(&members, &endpoints);
    assert!(fleet.round_bytes() > 0, "it is warm");
}

/// Guards against data that is cut at the limit and taken for a shorter document.
#[test]
fn updates_inflate_refuses_longer_data() {
    let deflated = deflate(&[7; 1_000]);
    assert_eq!(inflate(&deflated, 1_000).expect("as long as allowed"), vec![7; 1_000]);
    let error = inflate(&deflated, 999).expect_err("one byte too long");
    assert_eq!(error.kind(), std::io::ErrorKind::InvalidData);
}

/// Guards against a frame that the leader deflates and records as sent, and that no peer inflates.
#[test]
fn updates_frame_too_large_to_inflate_not_deflated() {
    let content = |bytes| {
        Content::Endpoints(EndpointsFrame {
            removed: vec!["a".repeat(bytes)],
            ..EndpointsFrame::default()
        })
    };
    let small = EncodedFrame::from(content(16 << 19));
    assert!(small.clone().deflated().size() < small.size() / 100);
    let large = EncodedFrame::from(content(16 << 20));
    assert_eq!(large.clone().deflated(), large);
}

/// Guards against a link that goes on after a deflated table could not be read: the leader has recorded
/// it as sent, so the table would stay old until the link ends.
#[test]
fn updates_unreadable_deflated_frame_fails() {
    let deflate_frame = |content| deflate(&Frame { content }.encode_to_vec());
    let table = Content::Endpoints(EndpointsFrame { full: true, ..EndpointsFrame::default() });
    let valid = deflate_frame(Some(table.clone()));
    assert_eq!(Content::inflate(&valid).expect("a valid frame"), table);
    let nested = deflate_frame(Some(Content::Deflated(valid)));
    assert!(matches!(Content::inflate(&nested), Err(FrameError::NoContent)));
    assert!(matches!(Content::inflate(&deflate_frame(None)), Err(FrameError::NoContent)));
    assert!(matches!(Content::inflate(&deflate(&[0xff; 64])), Err(FrameError::Malformed(_))));
    assert!(matches!(Content::inflate(&[0xff; 64]), Err(FrameError::Io(_))));
}
