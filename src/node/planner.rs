//! The planner's duty: one instance at a time decides where copies of models should be.
//!
//! The plan's record names the holder, which holds the duty while its lease exists. While nobody
//! holds it nothing moves, and all that is resident goes on serving.

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

use self::{round::run_round, take::take};
use super::Node;
use crate::{
    kernel::{
        placement::{PLAN_KEY, PlanRecord, Planning},
        stewardship::{lease_key, weight},
    },
    platform::{ListedState, PlatformError, Put, Txn},
};

/// Time between two rounds of the holder.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two looks at the duty of an instance that may take it.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Instances that look at the duty; the rest leave the platform's service alone.
const MAX_CANDIDATES: usize = 3;

/// Subject by which the candidates are ranked.
const RANKING_SUBJECT: &str = "planner";

/// State of the planner.
#[derive(Default)]
pub struct Planner {
    held: AtomicBool,
}

impl Planner {
    /// Returns whether this node holds the duty.
    pub fn is_held(&self) -> bool {
        self.held.load(Ordering::Relaxed)
    }
}

/// The duty in the hands of this node.
struct PlannerTerm {
    /// Revision of the lease under which the duty was taken; another lease may have been
    /// preceded by another holder.
    lease: i64,
    record: PlanRecord,
    revision: i64,
    planning: Planning,
}

/// What to do next with the duty.
enum Role {
    /// Look again after a while.
    Candidate,
    /// Carry the duty out.
    Planner(PlannerTerm),
}

impl PlannerTerm {
    fn is_held(&self, node: &Node) -> bool {
        may_hold(node) && node.lease.revision() == Some(self.lease)
    }
}

/// Takes the duty when it is free and carries it out.
pub async fn run(node: Arc<Node>) {
    let mut next = Role::Candidate;
    loop {
        node.planner.held.store(matches!(next, Role::Planner(_)), Ordering::Relaxed);
        let period = if matches!(next, Role::Candidate) { CHECK_INTERVAL } else { ROUND_INTERVAL };
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(period.mul_f64(jitter)).await;
        next = match next {
            Role::Candidate if is_candidate(&node) => take(&node).await,
            Role::Candidate => Role::Candidate,
            Role::Planner(duty) => run_round(&node, duty).await,
        };
    }
}

/// Returns whether this node may hold the duty now.
fn may_hold(node: &Node) -> bool {
    node.lease.is_held() && !node.drain.is_draining()
}

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
    may_hold(node) && ranked.iter().rev().take(MAX_CANDIDATES).any(|(_, id)| *id == own)
}

/// Writes the plan while this node's lease exists and `expect` holds; `None` means that the record
/// is another's by now.
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

/// Returns the expectation that this node's lease exists.
fn lease_expectation(node: &Node) -> Option<(String, i64)> {
    Some((lease_key(&node.settings.instance), node.lease.revision()?))
}
