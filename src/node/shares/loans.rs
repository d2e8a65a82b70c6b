//! Asks peers for loans and answers theirs.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use tokio::time::{Instant, sleep_until, timeout};

use crate::{
    clock::Time,
    events::Event,
    kernel::freshness::Freshness,
    names::{InstanceId, Team},
    node::Node,
    platform::ListedState,
    wire::{LoanGrant, LoanRequest, PeerRequestBody, ReplyBody},
};

/// Time between two rounds of asks.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two rounds where requests wait for a loan.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Peers that are asked in one round.
const MAX_LENDERS: usize = 8;

/// Asks for loans wherever the own part does not last.
pub async fn run(node: &Arc<Node>) {
    loop {
        let begun = Instant::now();
        request_loans(node);
        let _ = timeout(ROUND_INTERVAL, node.shares.shortage.notified()).await;
        sleep_until(begun + MIN_ROUND_INTERVAL).await;
    }
}

fn request_loans(node: &Arc<Node>) {
    let now = Time::now();
    let mut wanted: Vec<(Team, u32)> = Vec::new();
    node.shares.teams.for_each(|team, share| {
        wanted.extend(share.begin_round(now).map(|parts| (team.clone(), parts)));
    });
    if wanted.is_empty() || node.freshness() == Freshness::CutOff {
        return;
    }
    let lenders = lenders(node);
    for (team, parts) in wanted {
        let each = parts.div_ceil(lenders.len().max(1) as u32);
        for lender in &lenders {
            tokio::spawn(borrow(node.clone(), team.clone(), lender.clone(), each));
        }
    }
}

/// Returns the peers to ask, those of the own data centre first, in a random order.
fn lenders(node: &Node) -> Vec<InstanceId> {
    let list = node.list.load();
    let own = &node.settings;
    let peers = list.instances.iter().filter(|peer| {
        peer.id != own.instance && peer.state == ListedState::Live && node.peers.is_up(&peer.id)
    });
    let mut rng = rand::rng();
    let mut ranked: Vec<_> = peers
        .map(|peer| (peer.data_centre != own.data_centre, rng.random::<u32>(), peer.id.clone()))
        .collect();
    ranked.sort();
    ranked.into_iter().take(MAX_LENDERS).map(|(_, _, id)| id).collect()
}

async fn borrow(node: Arc<Node>, team: Team, lender: InstanceId, parts: u32) {
    let ask =
        node.shares.teams.with(&team, |share| share.next_loan_request(&lender, parts, Time::now()));
    let Some(ask) = ask else { return };
    let ask = LoanRequest {
        team: team.to_string(),
        incarnation: node.incarnation,
        instance: node.settings.instance.to_string(),
        ..ask
    };
    let Ok(ReplyBody::Loan(grant)) = node.request(&lender, PeerRequestBody::Loan(ask)).await else {
        return;
    };
    let taken =
        node.shares.teams.with(&team, |share| share.apply_grant(&lender, &grant, Time::now()));
    if taken == Some(true) {
        let detail = format!("lender={lender} parts={} tokens={}", grant.parts, grant.tokens);
        node.timeline.record(Event::LoanTaken, team.as_str(), detail);
    }
}

/// Answers a peer that asks for a loan.
pub fn handle_request(node: &Node, ask: &LoanRequest) -> ReplyBody {
    // A node that was paused learns first what became of its part.
    super::update_shares(node);
    let borrower = InstanceId::from(ask.instance.as_str());
    let now = Time::now();
    let grant =
        node.shares.teams.with(ask.team.as_str(), |share| share.grant_loan(&borrower, ask, now));
    let grant = grant.unwrap_or(LoanGrant { number: ask.number, ..LoanGrant::default() });
    if grant.parts > 0 {
        let detail = format!("borrower={borrower} parts={}", grant.parts);
        node.timeline.record(Event::LoanGranted, &*ask.team, detail);
    }
    ReplyBody::Loan(grant)
}
