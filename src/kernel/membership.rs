//! Decides which instances a leader names as members, to which callers may connect.

use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Time for which a new leader keeps the members that it knew before it led.
///
/// The instances of a large fleet need a while to open their links to a new leader. If it named only
/// those that are linked, all callers would move to the first few of them.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A member: an instance that is ready to serve callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Address at which the instance serves callers.
    pub callers: SocketAddr,
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
