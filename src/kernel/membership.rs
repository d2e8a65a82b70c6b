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
    /// Resources of the instance, in thousandths of those that suffice to lead many instances.
    pub strength: u32,
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
/// and of equal ones the first by name.
///
/// They learn at once when the leader's lease ends, and one of them becomes leader. All others hear
/// from the new leader itself, so that a change of the leader does not cost the store several calls
/// for each instance.
pub fn store_watchers<'a>(members: &'a [Member], leader: Option<&str>) -> Vec<&'a Member> {
    let mut watchers: BTreeMap<&str, &Member> = BTreeMap::new();
    for member in members.iter().filter(|member| Some(&*member.instance) != leader) {
        let strongest = watchers.entry(&*member.data_centre).or_insert(member);
        let rank = |member: &Member| (Reverse(member.strength), member.instance.clone());
        if rank(member) < rank(strongest) {
            *strongest = member;
        }
    }
    watchers.into_values().collect()
}

/// Returns how weak an instance is compared with the strongest member: from 0, for the strongest
/// itself, to 1.
pub fn weakness(strength: u32, members: &[Member]) -> f64 {
    let strongest = members.iter().map(|member| member.strength).max();
    let reference = strongest.unwrap_or(SUFFICIENT_STRENGTH).max(1);
    1.0 - (f64::from(strength) / f64::from(reference)).min(1.0)
}
