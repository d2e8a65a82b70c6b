//! Requests loans of parts from peers, and grants the loans that peers request.

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

/// Time between two rounds of requests while no request waits for tokens.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two rounds while requests wait for tokens.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Most peers from which a loan is requested in one round.
const MAX_LENDERS: usize = 8;

/// Requests loans for every team whose parts do not suffice.
pub async fn run(node: &Arc<Node>) {
    loop {
        let started = Instant::now();
        request_loans(node);
        let _ = timeout(ROUND_INTERVAL, node.shares.shortage.notified()).await;
        sleep_until(started + MIN_ROUND_INTERVAL).await;
    }
}

/// Requests loans from several lenders for each team whose parts do not suffice.
fn request_loans(node: &Arc<Node>) {
    let now = Time::now();
    let mut wanted_parts: Vec<(Team, u32)> = Vec::new();
    node.shares.teams.for_each(|team, share| {
        wanted_parts.extend(share.begin_round(now).map(|parts| (team.clone(), parts)));
    });
    if wanted_parts.is_empty() || node.freshness() == Freshness::CutOff {
        return;
    }
    let lenders = lenders(node);
    for (team, parts) in wanted_parts {
        let parts_each = parts.div_ceil(lenders.len().max(1) as u32);
        for lender in &lenders {
            tokio::spawn(borrow(node.clone(), team.clone(), lender.clone(), parts_each));
        }
    }
}

/// Returns the peers to request loans from: those of the own data centre first, in random order.
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

/// Requests a loan from one lender and applies its grant.
async fn borrow(node: Arc<Node>, team: Team, lender: InstanceId, parts: u32) {
    let request =
        node.shares.teams.with(&team, |share| share.next_loan_request(&lender, parts, Time::now()));
    let Some(request) = request else { return };
    let request = LoanRequest {
        team: team.to_string(),
        incarnation: node.incarnation,
        instance: node.settings.instance.to_string(),
        ..request
    };
    let Ok(ReplyBody::Loan(grant)) = node.request(&lender, PeerRequestBody::Loan(request)).await
    else {
        return;
    };
    let applied =
        node.shares.teams.with(&team, |share| share.apply_grant(&lender, &grant, Time::now()));
    if applied == Some(true) {
        let detail = format!("lender={lender} parts={} tokens={}", grant.parts, grant.tokens);
        node.timeline.record(Event::LoanTaken, team.as_str(), detail);
    }
}

/// Handles a peer's request for a loan, and returns the grant, which may be empty.
pub fn handle_request(node: &Node, request: &LoanRequest) -> ReplyBody {
    // After a pause of the process, the shares are updated before anything is lent.
    super::update_shares(node);
    let borrower = InstanceId::from(request.instance.as_str());
    let now = Time::now();
    let grant = node
        .shares
        .teams
        .with(request.team.as_str(), |share| share.grant_loan(&borrower, request, now));
    let grant = grant.unwrap_or(LoanGrant { number: request.number, ..LoanGrant::default() });
    if grant.parts > 0 {
        let detail = format!("borrower={borrower} parts={}", grant.parts);
        node.timeline.record(Event::LoanGranted, &*request.team, detail);
    }
    ReplyBody::Loan(grant)
}
