//! Takes endpoints over, decides which of them to keep, and hands them over.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use rand::RngExt;
use tokio::time::sleep;

use super::{
    StewardedEndpoint, registry, registry::VersionedRecord, reports,
    substitute::update_substitutes, write::write_record,
};
use crate::{
    clock::Time,
    config::{Config, PoolKind, PoolSpec},
    endpoint::EndpointClient,
    events::Event,
    kernel::{
        freshness::Freshness,
        ledger::{EndpointRecord, Ledger, LedgerLimits},
        stewardship::{
            self, Authority, KeepContext, KeepDecision, Leases, Takeover, TakeoverContext, Vacancy,
            lease_key, record_key,
        },
        warmup::Warmup,
    },
    names::{EndpointId, InstanceId},
    node::{Node, lease},
    platform::{InstanceList, ListedEndpoint, ListedState, PlatformError, Put, Txn},
};

/// Time between two checks of all endpoints.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two checks whether the requests of an endpoint have ended before its handover.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The time since when each endpoint has had no steward, as seen by this instance.
type VacantSince = HashMap<EndpointId, Time>;

/// Runs the tasks of the steward: the lease, the registry, the reports and the checks of endpoints.
pub async fn run(node: Arc<Node>) {
    tokio::join!(
        lease::run(node.clone()),
        registry::run(node.clone()),
        reports::run(node.clone()),
        run_checks(&node),
    );
}

/// Checks all endpoints at an interval and whenever the registry changes.
async fn run_checks(node: &Arc<Node>) {
    let mut vacant_since = VacantSince::new();
    loop {
        check_stewarded(node).await;
        update_substitutes(node);
        take_over_vacant(node, &mut vacant_since).await;
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::select! {
            () = sleep(CHECK_INTERVAL.mul_f64(jitter)) => {}
            () = node.stewarded.registry.changed() => {}
        }
    }
}

/// Takes over the endpoints without a steward whose turn has come for this instance.
async fn take_over_vacant(node: &Arc<Node>, vacant_since: &mut VacantSince) {
    let Some(config) = node.config() else { return };
    let Some(leases) = node.stewarded.registry.leases() else { return };
    let list = node.list.load_full();
    if node.freshness() != Freshness::Fresh {
        // After every outage a steward whose lease lapsed gets the time to renew it first.
        vacant_since.clear();
        return;
    }
    if node.stewarded.is_leaving() {
        return;
    }
    let is_stewarded = |id: &EndpointId| node.stewarded.endpoints.with(id, |_| ()).is_some();
    let live =
        list.endpoints.iter().filter(|e| e.state == ListedState::Live && !is_stewarded(&e.id));
    let own_process = (&node.settings.instance, node.incarnation);
    let is_vacant = |record: Option<&EndpointRecord>| {
        stewardship::vacancy(own_process, record, &leases) != Vacancy::Held
    };
    let vacant = node.stewarded.registry.vacant(live, is_vacant);
    vacant_since.retain(|id, _| vacant.iter().any(|(endpoint, _)| endpoint.id == *id));
    for (endpoint, known) in vacant {
        consider_takeover(node, &config, &leases, endpoint, known, vacant_since).await;
    }
}

/// Takes an endpoint without a steward over if [`stewardship::decide_takeover`] says so.
async fn consider_takeover(
    node: &Arc<Node>,
    config: &Config,
    leases: &Leases,
    endpoint: &ListedEndpoint,
    known: Option<VersionedRecord>,
    vacant_since: &mut VacantSince,
) {
    let Some(pool) = config.pools.get(&endpoint.pool) else { return };
    let own_process = (&node.settings.instance, node.incarnation);
    let record = known.as_ref().map(|known| &known.record);
    let vacancy = stewardship::vacancy(own_process, record, leases);
    let now = Time::now();
    let since = *vacant_since.entry(endpoint.id.clone()).or_insert(now);
    let mut ranked = stewardship::rank_instances(endpoint, &node.list.load());
    ranked.retain(|id| !node.is_leaving(id));
    let context = TakeoverContext {
        own: &node.settings.instance,
        lease_held: node.authority() == Authority::Full && node.lease.revision().is_some(),
        freshness: node.freshness(),
        ranked: &ranked,
        leases,
        vacancy: &vacancy,
        vacant_for: now.since(since),
    };
    if stewardship::decide_takeover(&context) == Takeover::Take {
        take_over(node, endpoint, pool, known, &vacancy).await;
    }
}

impl Node {
    /// Returns whether a peer announces in its heartbeats that it is shutting down.
    fn is_leaving(&self, id: &InstanceId) -> bool {
        self.members.peer(id).is_some_and(|peer| peer.heartbeat.leaving)
    }
}

/// Writes the endpoint's record with this instance as its steward, and starts the term if the write
/// succeeded.
///
/// The transaction also expects this instance's lease and, where the former steward's lease lapsed,
/// that it was not renewed.
async fn take_over(
    node: &Arc<Node>,
    endpoint: &ListedEndpoint,
    pool: &PoolSpec,
    known: Option<VersionedRecord>,
    vacancy: &Vacancy,
) {
    let Some(own_lease) = node.lease.revision() else { return };
    let revision = known.as_ref().map_or(0, |known| known.revision);
    let previous = known.map(|known| known.record).unwrap_or_default();
    let record = EndpointRecord {
        holder: Some(node.settings.instance.clone()),
        incarnation: node.incarnation,
        fence: previous.fence + 1,
        nonce: rand::random(),
        ..previous
    };
    let key = record_key(&endpoint.id);
    let mut expect = vec![(key.clone(), revision), (lease_key(&node.settings.instance), own_lease)];
    if let Vacancy::Lapsed(holder) = vacancy
        && *holder != node.settings.instance
    {
        let leases = node.stewarded.registry.leases().unwrap_or_default();
        expect.push((lease_key(holder), leases.get(holder).map_or(0, |lease| lease.revision)));
    }
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let txn = Txn { expect, puts: vec![Put { key, value, lease: 0 }], deletes: Vec::new() };
    let Ok(reply) = node.platform.commit(&txn).await else { return };
    if reply.succeeded {
        start_term(node, endpoint, pool, VersionedRecord { record, revision: reply.revision });
    } else if let Some((id, current)) = reply.current.iter().find_map(registry::parse_record) {
        node.stewarded.registry.insert_newer(id, current);
    }
}

/// Starts a term as the endpoint's steward; the endpoint counts as cold until it proves warm.
fn start_term(node: &Node, endpoint: &ListedEndpoint, pool: &PoolSpec, known: VersionedRecord) {
    let detail = format!("fence={} intents={}", known.record.fence, known.record.intents.len());
    node.stewarded.endpoints.insert(endpoint.id.clone(), new_endpoint(endpoint, pool, &known));
    node.stewarded.registry.insert_newer(endpoint.id.clone(), known);
    node.timeline.record(Event::StewardTaken, endpoint.id.as_str(), detail);
}

/// Returns the initial state of an endpoint at a new steward, which knows only its record.
pub fn new_endpoint(
    endpoint: &ListedEndpoint,
    pool: &PoolSpec,
    known: &VersionedRecord,
) -> StewardedEndpoint {
    let limits = LedgerLimits {
        weight_bytes: pool.memory.saturating_sub(pool.adapter_bytes),
        adapter_bytes: pool.adapter_bytes,
        max_orders: pool.adapter_loads as usize,
        order_ttl: pool.order_ttl,
    };
    let mut ledger = Ledger::from_record(limits, &known.record, Time::now());
    ledger.record_write(&known.record);
    StewardedEndpoint {
        listed: endpoint.clone(),
        client: Arc::new(EndpointClient::new(endpoint.address)),
        warmup: Warmup::new(pool),
        pool: pool.clone(),
        record: known.record.clone(),
        revision: known.revision,
        queue: Default::default(),
        running: 0,
        report: None,
        dispatch: Default::default(),
        ledger,
        substitute: false,
        accepting: true,
        running_models: HashMap::new(),
    }
}

/// Decides for each endpoint of this instance whether it is kept, handed over or dropped.
async fn check_stewarded(node: &Arc<Node>) {
    let Some(leases) = node.stewarded.registry.leases() else { return };
    let list = node.list.load_full();
    let authority = node.authority();
    for id in node.stewarded.endpoints.keys() {
        let decided = node.stewarded.endpoints.with(&id, |endpoint| {
            let decision = next_decision(node, endpoint, &list, &leases);
            endpoint.accepting = decision == KeepDecision::Keep
                && authority != Authority::Stop
                && !node.stewarded.is_leaving();
            if !endpoint.accepting {
                super::refuse_queued(endpoint);
            }
            decision
        });
        match decided {
            Some(KeepDecision::Lost) => drop_lost(node, &id),
            Some(KeepDecision::HandOver) if authority == Authority::Full => {
                hand_over_endpoint(node, &id).await
            }
            _ => {}
        }
    }
}

/// Decides whether this instance keeps an endpoint.
///
/// A substitute is always kept, since [`update_substitutes`] ends it.
fn next_decision(
    node: &Node,
    endpoint: &StewardedEndpoint,
    list: &InstanceList,
    leases: &Leases,
) -> KeepDecision {
    if endpoint.substitute {
        return KeepDecision::Keep;
    }
    let listed = list.endpoint(&endpoint.listed.id);
    let preferred =
        stewardship::preferred_steward(&endpoint.listed, list, |id| !node.is_leaving(id));
    let known = node.stewarded.registry.record(&endpoint.listed.id);
    let known = known.filter(|known| known.revision >= endpoint.revision);
    stewardship::decide_keep(&KeepContext {
        own: &node.settings.instance,
        written: &endpoint.record,
        record: known.as_ref().map(|known| &known.record),
        listed: listed.is_some_and(|listed| {
            listed.state == ListedState::Live && listed.address == endpoint.listed.address
        }),
        idle: endpoint.is_idle(),
        preferred,
        leases,
    })
}

/// Drops an endpoint whose record shows another term or no steward.
///
/// Queued requests are refused; requests that already run continue until they end.
fn drop_lost(node: &Node, id: &EndpointId) {
    let Some(mut endpoint) = node.stewarded.endpoints.remove(id) else { return };
    super::refuse_queued(&mut endpoint);
    let known = node.stewarded.registry.record(id).map(|known| known.record);
    // The watch can show this instance's own handover before the write's response arrives.
    let handed_over = known.is_some_and(|r| r.holder.is_none() && r.fence == endpoint.record.fence);
    let event = if handed_over { Event::StewardHandedOver } else { Event::StewardLost };
    node.timeline.record(event, id.as_str(), "");
}

/// Removes the steward from an endpoint's record, then drops the endpoint.
///
/// The record keeps the orders that may still take effect. Nothing is dropped if the write fails.
async fn hand_over_endpoint(node: &Node, id: &EndpointId) {
    let written = write_record(node, id, |record| record.holder = None).await;
    if written.is_ok()
        && let Some(mut endpoint) = node.stewarded.endpoints.remove(id)
    {
        super::refuse_queued(&mut endpoint);
        node.timeline.record(Event::StewardHandedOver, id.as_str(), "");
    }
}

/// Reads all records and drops the endpoints whose record shows another term.
///
/// Called before a new lease is used; fails if the records cannot be read.
pub async fn drop_superseded(node: &Node) -> Result<(), PlatformError> {
    let snapshot = node.platform.range(stewardship::RECORD_PREFIX).await?;
    node.stewarded.registry.replace_records(&snapshot.kvs);
    for id in node.stewarded.endpoints.keys() {
        let known = node.stewarded.registry.record(&id);
        let is_own = node.stewarded.endpoints.with(&id, |endpoint| {
            known.is_some_and(|known| known.record.is_same_term(&endpoint.record))
        });
        if is_own == Some(false) {
            drop_lost(node, &id);
        }
    }
    Ok(())
}

/// Hands every endpoint over as soon as its requests have ended, then releases the lease.
pub async fn hand_over(node: &Node) {
    node.stewarded.leaving.store(true, Ordering::Release);
    let ids = node.stewarded.endpoints.keys();
    let handovers = ids.iter().map(|id| async move {
        node.stewarded.endpoints.with(id, |endpoint| {
            endpoint.accepting = false;
            super::refuse_queued(endpoint);
        });
        while node.stewarded.endpoints.with(id, |endpoint| endpoint.running > 0) == Some(true) {
            sleep(IDLE_CHECK_INTERVAL).await;
        }
        hand_over_endpoint(node, id).await;
    });
    futures_util::future::join_all(handovers).await;
    lease::release(node).await;
}

impl StewardedEndpoint {
    /// Returns whether the endpoint has no running or queued requests and no open orders.
    fn is_idle(&self) -> bool {
        self.running == 0 && self.queue.is_empty() && !self.ledger.is_busy()
    }

    /// Returns whether the endpoint is an engine.
    pub fn is_engine(&self) -> bool {
        self.pool.kind == PoolKind::Engine
    }
}
