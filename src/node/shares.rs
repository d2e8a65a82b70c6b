//! This instance's share of every team's rate, from which callers' requests are charged.
//!
//! A team's rate is divided into parts, and the share table says how many parts each instance holds.
//! An instance whose parts do not suffice for a team borrows parts from its peers for a short time.

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

/// Time between two attempts to charge a request that waits for tokens.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two updates of the shares from the configuration and the table.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Least and greatest time after which a refused request may be retried, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (100, 10_000);

/// The share of every team.
type Teams = Shards<Team, TeamShare>;

/// This instance's share of every team's rate, and its view of the share table.
pub struct Shares {
    teams: Arc<Teams>,
    table_view: Mutex<ShareTableView>,
    /// When the shares were last updated.
    updated_at: AtomicU64,
    /// Notified when a request waits for tokens.
    shortage: Notify,
}

impl Shares {
    /// Creates the shares of a process that just started; they are empty.
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

    /// Records that the table had this revision at the time `at`, as reported by a peer's heartbeat.
    pub fn record_revision(&self, revision: i64, at: Time) {
        self.table_view.lock().record_revision(revision, at);
    }

    /// Returns the highest known revision of the table, and the time since it was confirmed in
    /// milliseconds.
    pub fn known_revision(&self) -> (i64, u64) {
        let view = self.table_view.lock();
        let stale = view.is_stale();
        let age = Time::now().since(view.confirmed_at()).as_micros().div_ceil(1_000) as u64;
        (view.newest_revision(), if stale { u64::MAX / 2 } else { age })
    }
}

/// The tokens that were charged for a request.
#[derive(Clone)]
pub struct Charge {
    /// The charged tokens, or `None` for a request that costs nothing.
    charged: Option<Arc<Tokens>>,
}

/// Tokens that were charged to a team and can be refunded to it once.
struct Tokens {
    teams: Arc<Teams>,
    team: Team,
    /// Tokens that may still be refunded; zero after the refund.
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

    /// Refunds the charged tokens beyond the `used` ones; later calls change nothing.
    pub fn refund_unused(&self, used: u64) {
        let Some(charged) = &self.charged else { return };
        let unused = charged.tokens.swap(0, Ordering::AcqRel).saturating_sub(used);
        if unused > 0 {
            charged.teams.with(&charged.team, |share| share.refund(unused as f64, Time::now()));
        }
    }

    /// Refunds all tokens if a refusal says that the request did not run.
    pub fn refund_if_not_run(&self, refusal: &Refusal) {
        if refusal.run == RunStatus::NotRun {
            self.refund_unused(0);
        }
    }
}

impl Node {
    /// Returns the parts of every team's rate that this instance may use, without loans.
    pub fn parts(&self) -> u32 {
        let down = self.freshness() == Freshness::ServiceDown;
        self.shares.table_view.lock().usable_parts(down, Time::now())
    }

    /// Charges a team for a request, waiting briefly for tokens or a loan if there are too few.
    ///
    /// Fails if the request costs more than the team's burst, or tokens did not arrive in time.
    pub async fn charge(
        &self,
        team: &Team,
        tokens: u64,
        deadline: Time,
    ) -> Result<Charge, Refusal> {
        let started = Time::now();
        let wait_until = deadline.min(started + MAX_TOKEN_WAIT);
        self.shares.teams.with(team, |share| share.record_demand(tokens as f64, started));
        loop {
            let wait = match self.try_charge(team, tokens)? {
                ChargeOutcome::Taken => {
                    return Ok(Charge::new(self.shares.teams.clone(), team.clone(), tokens));
                }
                ChargeOutcome::TooLarge => return Err(Refusal::not_run(Code::TooLarge)),
                ChargeOutcome::Insufficient(wait) => wait,
            };
            if Time::now() + POLL_INTERVAL >= wait_until {
                let retry_ms = (wait.as_millis() as u64).clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1);
                return Err(Refusal::not_run(Code::RateExceeded).retry_after(retry_ms));
            }
            self.shares.shortage.notify_one();
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Charges a team if it has enough tokens now.
    fn try_charge(&self, team: &Team, tokens: u64) -> Result<ChargeOutcome, Refusal> {
        let now = Time::now();
        // After a pause of the process, other instances may hold the parts that were this instance's.
        if now.since(Time(self.shares.updated_at.load(Ordering::Acquire))) > UPDATE_INTERVAL * 2 {
            update_shares(self);
        }
        let outcome = self.shares.teams.with(team, |share| share.charge(tokens as f64, now));
        outcome.ok_or(Refusal::not_run(Code::NoConfig).retry_after(RETRY_AFTER_MS.0))
    }
}

/// Updates every team's limits from the configuration and its parts from the share table.
fn update_shares(node: &Node) {
    let Some(config) = node.config() else { return };
    let down = node.freshness() == Freshness::ServiceDown;
    let now = Time::now();
    let contact = now - node.contact().age;
    let parts = {
        let mut view = node.shares.table_view.lock();
        view.record_contact(contact);
        view.usable_parts(down, now)
    };
    for (team, spec) in &config.teams {
        let limits = TeamLimits { rate: spec.rate as f64, burst: spec.burst as f64 };
        let configure = |share: &mut TeamShare| share.configure(limits, parts, now);
        node.shares.teams.with_or_insert(team.clone(), || TeamShare::empty(now), configure);
    }
    // A team that was removed keeps its entry, since parts that were lent may still be in use.
    node.shares.teams.for_each(|team, share| {
        if !config.teams.contains_key(team) {
            share.configure(TeamLimits::default(), 0, now);
        }
    });
    node.shares.updated_at.store(now.0, Ordering::Release);
}
