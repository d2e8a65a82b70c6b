//! Which instances a caller should connect to.

use super::stewardship::weight;
use crate::names::{DataCentre, InstanceId, Team};

/// Fewest instances that a team is given where there are as many.
const MIN_INSTANCES: usize = 3;

/// A team is given one in this many instances.
const TEAM_DIVISOR: usize = 3;

/// What is known of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Instance.
    pub id: InstanceId,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Whether it serves and is not about to leave.
    pub serves: bool,
    /// Whether operators keep its data centre in service.
    pub in_service: bool,
}

/// Returns the instances that a caller should use, in the order in which to try them.
///
/// A team's callers are kept on few instances, so that its rate need not be spread over all. They
/// lie in two data centres where that is possible. Instances of a data centre that was taken out
/// are named only when nobody else serves, since a caller without an address is not served at all.
pub fn choose(candidates: &[Candidate], team: Option<&Team>, draw: u64) -> Vec<InstanceId> {
    let preferred: Vec<&Candidate> =
        candidates.iter().filter(|c| c.serves && c.in_service).collect();
    let usable = if preferred.is_empty() {
        candidates.iter().filter(|c| c.serves).collect()
    } else {
        preferred
    };
    match team {
        Some(team) => few(usable, team),
        None => all(usable, draw),
    }
}

/// Returns every instance in an order of chance, so that callers without a key spread.
fn all(mut usable: Vec<&Candidate>, draw: u64) -> Vec<InstanceId> {
    let subject = draw.to_string();
    usable.sort_by_key(|candidate| weight(&subject, &candidate.id));
    usable.into_iter().map(|candidate| candidate.id.clone()).collect()
}

/// Returns the team's instances by rendezvous hashing, which moves few callers when one leaves.
fn few(mut usable: Vec<&Candidate>, team: &Team) -> Vec<InstanceId> {
    usable.sort_by_key(|candidate| u64::MAX - weight(team.as_str(), &candidate.id));
    let count = usable.len().div_ceil(TEAM_DIVISOR).max(MIN_INSTANCES).min(usable.len());
    let mut chosen = usable[..count].to_vec();
    if let (Some(first), Some(last)) = (chosen.first().copied(), chosen.last_mut())
        && usable[..count].iter().all(|c| c.data_centre == first.data_centre)
        && let Some(away) = usable[count..].iter().find(|c| c.data_centre != first.data_centre)
    {
        *last = away;
    }
    chosen.into_iter().map(|candidate| candidate.id.clone()).collect()
}
