//! Selects the instances whose addresses a caller is told to connect to.
//!
//! A caller asks any instance for this list before it sends its requests.

use super::stewardship::weight;
use crate::names::{DataCentre, InstanceId, Team};

/// Smallest number of instances whose addresses a team's callers receive, unless fewer are usable.
const MIN_INSTANCES: usize = 3;

/// A team's callers receive the addresses of one in this many usable instances, rounded up.
const TEAM_DIVISOR: usize = 3;

/// An instance whose address callers may receive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the instance.
    pub id: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Whether the instance serves requests and is not shutting down.
    pub serves: bool,
    /// Whether the data centre is in service; operators take data centres out of service.
    pub in_service: bool,
}

/// Returns the instances that a caller should use, in the order in which to try them.
///
/// The callers of a team are kept on few instances, so that the team's rate is split into few
/// shares. These instances lie in at least two data centres where that is possible. Instances of a
/// data centre that is out of service are returned only if no other instance serves, since a caller
/// without an address cannot be served at all. `draw` is a random number, used for callers without
/// a team.
pub fn choose_instances(
    candidates: &[Candidate],
    team: Option<&Team>,
    draw: u64,
) -> Vec<InstanceId> {
    let preferred: Vec<&Candidate> =
        candidates.iter().filter(|c| c.serves && c.in_service).collect();
    let usable = if preferred.is_empty() {
        candidates.iter().filter(|c| c.serves).collect()
    } else {
        preferred
    };
    match team {
        Some(team) => team_instances(usable, team),
        None => shuffled(usable, draw),
    }
}

/// Returns every usable instance in a random order, which spreads the callers without a team.
fn shuffled(mut usable: Vec<&Candidate>, draw: u64) -> Vec<InstanceId> {
    let seed = draw.to_string();
    usable.sort_by_key(|candidate| weight(&seed, &candidate.id));
    usable.into_iter().map(|candidate| candidate.id.clone()).collect()
}

/// Returns the instances of a team. Rendezvous hashing selects them, so that few callers move when
/// an instance leaves.
fn team_instances(mut usable: Vec<&Candidate>, team: &Team) -> Vec<InstanceId> {
    usable.sort_by_key(|candidate| u64::MAX - weight(team.as_str(), &candidate.id));
    let count = usable.len().div_ceil(TEAM_DIVISOR).max(MIN_INSTANCES).min(usable.len());
    let mut chosen = usable[..count].to_vec();
    if let (Some(first), Some(last)) = (chosen.first().copied(), chosen.last_mut())
        && usable[..count].iter().all(|c| c.data_centre == first.data_centre)
        && let Some(remote) = usable[count..].iter().find(|c| c.data_centre != first.data_centre)
    {
        *last = remote;
    }
    chosen.into_iter().map(|candidate| candidate.id.clone()).collect()
}
