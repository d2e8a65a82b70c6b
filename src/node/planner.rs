//! The planner: one instance at a time decides at which endpoints models should be resident.
//!
//! The plan's record names the planner, which keeps its term while its lease exists. While there is
//! no planner, no model is loaded or unloaded, and all resident models go on serving requests.

mod round;
mod take;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::RngExt;
use tokio::time::sleep;

use self::{round::run_round, take::become_planner};
use super::Node;
use crate::{
    kernel::{
        placement::{PLAN_KEY, PlanRecord, Planning},
        stewardship::{lease_key, weight},
    },
    platform::{ListedState, PlatformError, Put, Txn},
};

/// Time between two rounds of the planner, with a random factor.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two checks by a candidate whether there is a planner, with a random factor.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Most instances that are candidates; the others do not read the plan, which spares the platform's
/// service.
const MAX_CANDIDATES: usize = 3;

/// Subject by which instances are ranked as candidates in rendezvous order.
const RANKING_SUBJECT: &str = "planner";

/// Whether this instance is the planner, for the status page.
#[derive(Default)]
pub struct Planner {
    is_planner: AtomicBool,
}

impl Planner {
    /// Returns whether this instance is the planner.
    pub fn is_planner(&self) -> bool {
        self.is_planner.load(Ordering::Relaxed)
    }
}

/// A term of this instance as the planner.
struct PlannerTerm {
    /// Revision of the lease under which the term began.
    ///
    /// Before a later lease of this instance another planner may have held a term.
    lease: i64,
    /// The plan as last written.
    record: PlanRecord,
    /// Revision of that write.
    revision: i64,
    /// Loads and moves that are under way.
    planning: Planning,
}

/// The role of this instance in planning.
enum Role {
    /// The instance is not the planner, and may become it.
    Candidate,
    /// The instance is the planner.
    Planner(PlannerTerm),
}

impl PlannerTerm {
    /// Returns whether this instance may plan and certainly still holds the lease under which the
    /// term began.
    fn may_continue(&self, node: &Node) -> bool {
        may_plan(node) && node.lease.revision() == Some(self.lease)
    }
}

/// Becomes the planner when there is none, and runs the planner's rounds.
pub async fn run(node: Arc<Node>) {
    let mut role = Role::Candidate;
    loop {
        node.planner.is_planner.store(matches!(role, Role::Planner(_)), Ordering::Relaxed);
        let interval =
            if matches!(role, Role::Candidate) { CHECK_INTERVAL } else { ROUND_INTERVAL };
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(interval.mul_f64(jitter)).await;
        role = match role {
            Role::Candidate if is_candidate(&node) => become_planner(&node).await,
            Role::Candidate => Role::Candidate,
            Role::Planner(term) => run_round(&node, term).await,
        };
    }
}

/// Returns whether this instance may be the planner now.
fn may_plan(node: &Node) -> bool {
    node.lease.is_held() && !node.drain.is_draining()
}

/// Returns whether this instance is among those that may become the planner.
fn is_candidate(node: &Node) -> bool {
    let list = node.list.load();
    let mut ranked: Vec<_> = list
        .instances
        .iter()
        .filter(|instance| instance.state == ListedState::Live)
        .map(|instance| (weight(RANKING_SUBJECT, &instance.id), &instance.id))
        .collect();
    ranked.sort();
    let own = &node.settings.instance;
    may_plan(node) && ranked.iter().rev().take(MAX_CANDIDATES).any(|(_, id)| *id == own)
}

/// Writes the plan if the keys have the revisions of `expect`, and returns the write's revision.
///
/// Returns `None` if a key has another revision.
async fn write_plan(
    node: &Node,
    record: &PlanRecord,
    expect: Vec<(String, i64)>,
) -> Result<Option<i64>, PlatformError> {
    let value = serde_json::to_vec(record).unwrap_or_default();
    let puts = vec![Put { key: PLAN_KEY.to_owned(), value, lease: 0 }];
    let reply = node.platform.commit(&Txn { expect, puts, deletes: Vec::new() }).await?;
    Ok(reply.succeeded.then_some(reply.revision))
}

/// Returns the key and the revision of this instance's lease, for the expectations of a write.
fn lease_expectation(node: &Node) -> Option<(String, i64)> {
    Some((lease_key(&node.settings.instance), node.lease.revision()?))
}
