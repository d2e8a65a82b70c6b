//! This instance's part of every team's rate.

mod loans;
mod table;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{sync::Notify, time::sleep};

pub use self::{
    loans::handle_request,
    table::{hand_over, run},
};
use super::Node;
use crate::{
    clock::Time,
    codes::{Code, Refusal, RunStatus},
    kernel::{
        freshness::Freshness,
        shares::{ChargeOutcome, Owner, ShareTableView, TeamLimits, TeamShare},
    },
    names::Team,
    settings::Settings,
    shards::Shards,
};

/// Longest time for which a request waits for tokens.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(1_000);

/// Time between two looks for tokens.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two looks at the own part.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Limits of the time after which a refused caller may come back, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (100, 10_000);

type Teams = Shards<Team, TeamShare>;

/// The own parts by team and the view of the table.
pub struct Shares {
    teams: Arc<Teams>,
    table_view: Mutex<ShareTableView>,
    updated_at: AtomicU64,
    shortage: Notify,
}

impl Shares {
    /// Creates the shares of a process that just started.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let owner =
            Owner { instance: settings.instance.clone(), incarnation, address: settings.peer };
        Self {
            teams: Arc::default(),
            table_view: Mutex::new(ShareTableView::new(owner, Time::now())),
            updated_at: AtomicU64::new(0),
            shortage: Notify::new(),
        }
    }

    /// Notes which table a peer knows.
    pub fn record_revision(&self, revision: i64, at: Time) {
        self.table_view.lock().record_revision(revision, at);
    }

    /// Returns the highest known revision of the table and the age of that knowledge.
    pub fn known_revision(&self) -> (i64, u64) {
        let custody = self.table_view.lock();
        let stale = custody.is_stale();
        let age = Time::now().since(custody.confirmed_at()).as_micros().div_ceil(1_000) as u64;
        (custody.newest_revision(), if stale { u64::MAX / 2 } else { age })
    }
}

/// Tokens that were charged for a request.
#[derive(Clone)]
pub struct Charge {
    charged: Option<Arc<Tokens>>,
}

struct Tokens {
    teams: Arc<Teams>,
    team: Team,
    tokens: AtomicU64,
}

impl Charge {
    /// Creates the charge of a request that costs nothing.
    pub fn free() -> Self {
        Self { charged: None }
    }

    fn new(teams: Arc<Teams>, team: Team, tokens: u64) -> Self {
        Self { charged: Some(Arc::new(Tokens { teams, team, tokens: AtomicU64::new(tokens) })) }
    }

    /// Keeps what was used and gives the rest back, once.
    pub fn settle(&self, used: u64) {
        let Some(paid) = &self.charged else { return };
        let rest = paid.tokens.swap(0, Ordering::AcqRel).saturating_sub(used);
        if rest > 0 {
            paid.teams.with(&paid.team, |share| share.refund(rest as f64, Time::now()));
        }
    }

    /// Gives everything back where a refusal says that the request did not run.
    pub fn refund_if_not_run(&self, refusal: &Refusal) {
        if refusal.run == RunStatus::NotRun {
            self.settle(0);
        }
    }
}

impl Node {
    /// Returns the parts of every team's rate that this instance may use, loans apart.
    pub fn parts(&self) -> u32 {
        let down = self.freshness() == Freshness::ServiceDown;
        self.shares.table_view.lock().usable_parts(down, Time::now())
    }

    /// Charges a team, waiting briefly for tokens or a loan where the own part is spent.
    pub async fn charge(
        &self,
        team: &Team,
        tokens: u64,
        deadline: Time,
    ) -> Result<Charge, Refusal> {
        let begun = Time::now();
        let last = deadline.min(begun + MAX_TOKEN_WAIT);
        self.shares.teams.with(team, |share| share.record_demand(tokens as f64, begun));
        loop {
            let wait = match self.try_charge(team, tokens)? {
                ChargeOutcome::Taken => {
                    return Ok(Charge::new(self.shares.teams.clone(), team.clone(), tokens));
                }
                ChargeOutcome::TooLarge => return Err(Refusal::not_run(Code::TooLarge)),
                ChargeOutcome::Insufficient(wait) => wait,
            };
            if Time::now() + POLL_INTERVAL >= last {
                let retry = (wait.as_millis() as u64).clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1);
                return Err(Refusal::not_run(Code::RateExceeded).retry_after(retry));
            }
            self.shares.shortage.notify_one();
            sleep(POLL_INTERVAL).await;
        }
    }

    fn try_charge(&self, team: &Team, tokens: u64) -> Result<ChargeOutcome, Refusal> {
        let now = Time::now();
        // After a pause the own part may have been given to others.
        if now.since(Time(self.shares.updated_at.load(Ordering::Acquire))) > UPDATE_INTERVAL * 2 {
            update_shares(self);
        }
        let decision = self.shares.teams.with(team, |share| share.charge(tokens as f64, now));
        decision.ok_or(Refusal::not_run(Code::NoConfig).retry_after(RETRY_AFTER_MS.0))
    }
}

/// Follows the configuration and the table with every team's part.
fn update_shares(node: &Node) {
    let Some(config) = node.config() else { return };
    let down = node.freshness() == Freshness::ServiceDown;
    let now = Time::now();
    let contact = now - node.contact().age;
    let parts = {
        let mut custody = node.shares.table_view.lock();
        custody.record_contact(contact);
        custody.usable_parts(down, now)
    };
    for (team, spec) in &config.teams {
        let limits = TeamLimits { rate: spec.rate as f64, burst: spec.burst as f64 };
        let set = |share: &mut TeamShare| share.configure(limits, parts, now);
        node.shares.teams.with_or_insert(team.clone(), || TeamShare::empty(now), set);
    }
    // A team that is gone keeps its entry, since a part that it lent may still be in use.
    node.shares.teams.for_each(|team, share| {
        if !config.teams.contains_key(team) {
            share.configure(TeamLimits::default(), 0, now);
        }
    });
    node.shares.updated_at.store(now.0, Ordering::Release);
}
