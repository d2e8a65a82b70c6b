//! This instance's part of every team's rate.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::Node;
use crate::{
    clock::Time,
    codes::{Code, Refusal},
    kernel::quota::{Bucket, Charge as Decision},
    names::Team,
    platform::ListedState,
    shards::Shards,
    wire::{LoanAsk, LoanGrant, ReplyBody},
};

/// Buckets by team.
#[derive(Default)]
pub struct Shares {
    buckets: Arc<Shards<Team, Bucket>>,
}

/// Tokens that were charged for a request.
pub struct Charge {
    buckets: Option<Arc<Shards<Team, Bucket>>>,
    team: Option<Team>,
    tokens: u64,
}

impl Charge {
    /// Creates the charge of a request that costs nothing.
    pub fn free() -> Self {
        Self { buckets: None, team: None, tokens: 0 }
    }

    /// Keeps what was used and gives the rest back.
    pub fn settle(&mut self, used: u64) {
        let rest = self.tokens.saturating_sub(used);
        self.tokens = 0;
        if let (Some(buckets), Some(team)) = (&self.buckets, &self.team) {
            buckets.with(team, |bucket| bucket.give_back(rest as f64, Time::now()));
        }
    }
}

impl Node {
    /// Charges a team, waiting for tokens up to the deadline where they will come.
    pub async fn charge(
        &self,
        team: &Team,
        tokens: u64,
        deadline: Time,
    ) -> Result<Charge, Refusal> {
        loop {
            let now = Time::now();
            let decision = self
                .shares
                .buckets
                .with(team, |bucket| bucket.charge(tokens as f64, now))
                .ok_or(Refusal::not_run(Code::RateExceeded).retry_after(500))?;
            match decision {
                Decision::Taken => {
                    let buckets = Some(self.shares.buckets.clone());
                    return Ok(Charge { buckets, team: Some(team.clone()), tokens });
                }
                Decision::Wait(wait) if wait <= MAX_WAIT && now + wait < deadline => {
                    sleep(wait).await;
                }
                Decision::Wait(wait) => {
                    let refusal = Refusal::not_run(Code::RateExceeded);
                    return Err(refusal.retry_after(wait.as_millis() as u64));
                }
                Decision::Never => return Err(Refusal::not_run(Code::TooLarge)),
            }
        }
    }
}

const MAX_WAIT: Duration = Duration::from_millis(250);
const RESIZE_PERIOD: Duration = Duration::from_millis(250);

/// Follows the configuration and the list with the sizes of the buckets.
pub async fn run(node: Arc<Node>) {
    loop {
        resize(&node);
        sleep(RESIZE_PERIOD).await;
    }
}

fn resize(node: &Node) {
    let Some(config) = node.config() else { return };
    let list = node.list.load();
    let live = list.instances.iter().filter(|i| i.state == ListedState::Live).count().max(1);
    let now = Time::now();
    for (team, spec) in &config.teams {
        let rate = spec.rate as f64 / live as f64;
        let burst = spec.burst as f64 / live as f64;
        node.shares.buckets.with_or(
            team.clone(),
            || Bucket::empty(rate, burst, now),
            |bucket| bucket.resize(rate, burst, now),
        );
    }
}

/// Answers a peer that asks for a loan.
pub fn answer(_: &Node, ask: &LoanAsk) -> ReplyBody {
    ReplyBody::Loan(LoanGrant { number: ask.number, ..LoanGrant::default() })
}
