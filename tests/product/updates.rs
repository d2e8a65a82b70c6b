//! Bytes that a leader sends to its peers, at the sizes of small and large fleets.

use std::net::SocketAddr;

use cardamomshore::{
    gateway::{
        messages::{EncodedFrame, EndpointFrame, ModelFrame},
        updates::{SentVersions, Updates},
    },
    kernel::membership::Member,
};

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
