//! Decides which instances a leader names as members, to which callers may connect, and which of
//! them watch the platform's store.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Time for which a new leader keeps the members that it knew before it led.
///
/// The instances of a large fleet need a while to open their links to a new leader. If it named only
/// those that are linked, all callers would move to the first few of them.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Strength of an instance that can lead many others.
const SUFFICIENT_STRENGTH: u32 = 1_000;

/// Requests a second that an instance of [`SUFFICIENT_STRENGTH`] serves with ease.
const EASY_REQUEST_RATE: f64 = 100.0;

/// Capacity of the named members, as a multiple of the peak of the demand. Demand may rise several
/// times before callers learn of further members.
const CAPACITY_FACTOR: f64 = 4.0;

/// Fewest members that are named in each data centre, so that a loss of some is borne.
const MIN_NAMED_PER_DATA_CENTRE: usize = 3;

/// Time after the election for which a new leader names no fewer members than the former one, since
/// it has not measured the demand for long.
const DEMAND_UNKNOWN_TIME: Duration = Duration::from_secs(60);

/// Fraction of a team's rate that the named members have without a leader. All members share the
/// rest, since some callers keep old addresses.
const NAMED_RATE_FRACTION: f64 = 0.85;

/// Time for which a leader is cut off from the endpoints before it lets another instance lead.
const MAX_CUT_OFF_TIME: Duration = Duration::from_millis(1_500);

/// Least time for which a leader leads. A new one gives no orders for most of it.
const MIN_LEAD_TIME: Duration = Duration::from_secs(6);

/// A member: an instance that is ready to serve callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Data centre in which the instance runs.
    pub data_centre: Arc<str>,
    /// Address at which the instance serves callers.
    pub callers: SocketAddr,
    /// Address at which the instance accepts links of other instances.
    pub peer: SocketAddr,
    /// Address at which the instance takes requests of instances that are cut off from the endpoints.
    pub relay: SocketAddr,
    /// Whether the instance is cut off from the endpoints itself.
    pub cut_off: bool,
    /// Resources of the instance, in thousandths of those that suffice to lead many instances.
    pub strength: u32,
    /// Whether callers are told to connect to the instance.
    pub named: bool,
}

/// An instance that is linked to the leader, or the leader itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkedInstance {
    /// The instance.
    pub member: Member,
    /// Whether it is ready to serve callers.
    pub ready: bool,
}

/// Returns the members in the order of their names.
///
/// These are the linked instances that are ready. For [`JOIN_TIMEOUT`] after the leader's election,
/// `led_for` ago, the members `known` before count as well, except the former leader, which has most
/// likely stopped.
pub fn current_members(
    linked: &[LinkedInstance],
    known: &[Member],
    former_leader: Option<&str>,
    led_for: Duration,
) -> Vec<Member> {
    let is_linked = |member: &Member| linked.iter().any(|it| it.member.instance == member.instance);
    let ready = linked.iter().filter(|it| it.ready).map(|it| it.member.clone());
    let mut members: Vec<Member> = ready.collect();
    if led_for < JOIN_TIMEOUT {
        let kept = known.iter().filter(|member| Some(&*member.instance) != former_leader);
        members.extend(kept.filter(|member| !is_linked(member)).cloned());
    }
    members.sort();
    members
}

/// Returns the instances that watch the store besides the leader: the strongest of each data centre,
/// and of equal ones the first by name. Those that are cut off from the endpoints come last.
///
/// They learn at once when the leader's lease ends, and one of them becomes leader. All others hear
/// from the new leader itself, so that a change of the leader does not cost the store several calls
/// for each instance.
pub fn store_watchers<'a>(members: &'a [Member], leader: Option<&str>) -> Vec<&'a Member> {
    let mut watchers: BTreeMap<&str, &Member> = BTreeMap::new();
    for member in members.iter().filter(|member| Some(&*member.instance) != leader) {
        let strongest = watchers.entry(&*member.data_centre).or_insert(member);
        let rank =
            |member: &Member| (member.cut_off, Reverse(member.strength), member.instance.clone());
        if rank(member) < rank(strongest) {
            *strongest = member;
        }
    }
    watchers.into_values().collect()
}

/// Returns whether a leader that has been cut off from the endpoints for `cut_off_for`, and was elected
/// `led_for` ago, lets another instance lead. One that watches the store must reach the endpoints, or
/// the lead would go from one instance that is cut off to the next.
pub fn should_hand_over(
    members: &[Member],
    leader: &str,
    cut_off_for: Duration,
    led_for: Duration,
) -> bool {
    cut_off_for > MAX_CUT_OFF_TIME
        && led_for > MIN_LEAD_TIME
        && store_watchers(members, Some(leader)).iter().any(|member| !member.cut_off)
}

/// Returns how weak an instance is compared with the strongest member: from 0, for the strongest
/// itself, to 1.
pub fn weakness(strength: u32, members: &[Member]) -> f64 {
    let strongest = members.iter().map(|member| member.strength).max();
    let reference = strongest.unwrap_or(SUFFICIENT_STRENGTH).max(1);
    1.0 - (f64::from(strength) / f64::from(reference)).min(1.0)
}

/// Names the members to which callers should connect: so many in each data centre that together they
/// have several times the capacity for `peak_rate` requests a second.
///
/// A connection to an endpoint serves the requests of one instance only. Where each of many
/// instances serves few requests, most of them need a new connection. `known` are the members
/// before, and the leader was elected `led_for` ago. The leader itself is named only if its data
/// centre has too few others, since it decides on all requests.
pub fn name_members(
    members: &mut [Member],
    known: &[Member],
    peak_rate: f64,
    leader: &str,
    led_for: Duration,
) {
    let is_new = led_for < DEMAND_UNKNOWN_TIME;
    let min_total = if is_new { known.iter().filter(|member| member.named).count() } else { 0 };
    let mut data_centres: BTreeMap<Arc<str>, Vec<&mut Member>> = BTreeMap::new();
    for member in members {
        member.named = false;
        data_centres.entry(member.data_centre.clone()).or_default().push(member);
    }
    let count = data_centres.len().max(1);
    let min_named = MIN_NAMED_PER_DATA_CENTRE.max(min_total.div_ceil(count));
    let needed_rate = peak_rate * CAPACITY_FACTOR / count as f64;
    for members in data_centres.values_mut() {
        members.sort_by_key(|member| {
            let is_leader = &*member.instance == leader;
            (member.cut_off, is_leader, Reverse(member.strength), member.instance.clone())
        });
        let mut rate = 0.0;
        for (index, member) in members.iter_mut().enumerate() {
            if index >= min_named && rate >= needed_rate {
                break;
            }
            member.named = true;
            rate += EASY_REQUEST_RATE * f64::from(member.strength) / f64::from(SUFFICIENT_STRENGTH);
        }
    }
}

/// Returns the share of the teams' rates and of the endpoints' capacity that an instance has while it
/// is without a leader. The shares of all instances of a fleet add up to at most 1.
///
/// Most of it goes to the named members, since the requests arrive there.
pub fn lone_share(instance: &str, members: &[Member], fleet_size: usize) -> f64 {
    let fleet_size = fleet_size.max(members.len()).max(1) as f64;
    let named = members.iter().filter(|member| member.named);
    let is_named = named.clone().any(|member| *member.instance == *instance);
    match named.count() {
        0 => 1.0 / fleet_size,
        count if is_named => {
            NAMED_RATE_FRACTION / count as f64 + (1.0 - NAMED_RATE_FRACTION) / fleet_size
        }
        _ => (1.0 - NAMED_RATE_FRACTION) / fleet_size,
    }
}
