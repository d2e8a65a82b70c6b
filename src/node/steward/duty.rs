//! Takes, keeps and hands over stewardships.

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

const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two looks at whether the work of a handed over endpoint has ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Since when endpoints have had no steward.
type VacantSince = HashMap<EndpointId, Time>;

/// Keeps the lease, and takes and keeps the endpoints that belong to this node.
pub async fn run(node: Arc<Node>) {
    tokio::join!(
        lease::run(node.clone()),
        registry::run(node.clone()),
        reports::run(node.clone()),
        run_checks(&node),
    );
}

async fn run_checks(node: &Arc<Node>) {
    let mut vacant = VacantSince::new();
    loop {
        check_held(node).await;
        update_substitutes(node);
        take_vacant(node, &mut vacant).await;
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::select! {
            () = sleep(CHECK_INTERVAL.mul_f64(jitter)) => {}
            () = node.stewarded.registry.changed() => {}
        }
    }
}

async fn take_vacant(node: &Arc<Node>, vacant: &mut VacantSince) {
    let Some(config) = node.config() else { return };
    let Some(leases) = node.stewarded.registry.leases() else { return };
    let list = node.list.load_full();
    if node.freshness() != Freshness::Fresh {
        // A lapsed steward may renew first after every outage, so the wait starts again.
        vacant.clear();
        return;
    }
    if node.stewarded.is_leaving() {
        return;
    }
    let held = |id: &EndpointId| node.stewarded.endpoints.with(id, |_| ()).is_some();
    let live = list.endpoints.iter().filter(|e| e.state == ListedState::Live && !held(&e.id));
    let own = (&node.settings.instance, node.incarnation);
    let free = |record: Option<&EndpointRecord>| {
        stewardship::vacancy(own, record, &leases) != Vacancy::Held
    };
    let free = node.stewarded.registry.vacant(live, free);
    vacant.retain(|id, _| free.iter().any(|(endpoint, _)| endpoint.id == *id));
    for (endpoint, known) in free {
        consider_takeover(node, &config, &leases, endpoint, known, vacant).await;
    }
}

async fn consider_takeover(
    node: &Arc<Node>,
    config: &Config,
    leases: &Leases,
    endpoint: &ListedEndpoint,
    known: Option<VersionedRecord>,
    vacant: &mut VacantSince,
) {
    let Some(pool) = config.pools.get(&endpoint.pool) else { return };
    let own = (&node.settings.instance, node.incarnation);
    let record = known.as_ref().map(|known| &known.record);
    let vacancy = stewardship::vacancy(own, record, leases);
    let now = Time::now();
    let since = *vacant.entry(endpoint.id.clone()).or_insert(now);
    let mut ranked = stewardship::rank_instances(endpoint, &node.list.load());
    ranked.retain(|id| !node.is_leaving(id));
    let bid = TakeoverContext {
        own: &node.settings.instance,
        lease_held: node.authority() == Authority::Full && node.lease.revision().is_some(),
        freshness: node.freshness(),
        ranked: &ranked,
        leases,
        vacancy: &vacancy,
        vacant_for: now.since(since),
    };
    if stewardship::decide_takeover(&bid) == Takeover::Take {
        take_over(node, endpoint, pool, known, &vacancy).await;
    }
}

impl Node {
    /// Returns whether another instance says that it shuts down.
    fn is_leaving(&self, id: &InstanceId) -> bool {
        self.members.peer(id).is_some_and(|seen| seen.heartbeat.leaving)
    }
}

async fn take_over(
    node: &Arc<Node>,
    endpoint: &ListedEndpoint,
    pool: &PoolSpec,
    known: Option<VersionedRecord>,
    vacancy: &Vacancy,
) {
    let Some(own) = node.lease.revision() else { return };
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
    let mut expect = vec![(key.clone(), revision), (lease_key(&node.settings.instance), own)];
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

/// Starts a tenure from cold.
fn start_term(node: &Node, endpoint: &ListedEndpoint, pool: &PoolSpec, taken: VersionedRecord) {
    let detail = format!("fence={} intents={}", taken.record.fence, taken.record.intents.len());
    node.stewarded.endpoints.insert(endpoint.id.clone(), new_endpoint(endpoint, pool, &taken));
    node.stewarded.registry.insert_newer(endpoint.id.clone(), taken);
    node.timeline.record(Event::StewardTaken, endpoint.id.as_str(), detail);
}

/// Creates the state of an endpoint of which only the record is known.
pub fn new_endpoint(
    endpoint: &ListedEndpoint,
    pool: &PoolSpec,
    taken: &VersionedRecord,
) -> StewardedEndpoint {
    let limits = LedgerLimits {
        weight_bytes: pool.memory.saturating_sub(pool.adapter_bytes),
        adapter_bytes: pool.adapter_bytes,
        max_orders: pool.adapter_loads as usize,
        order_ttl: pool.order_ttl,
    };
    let mut ledger = Ledger::from_record(limits, &taken.record, Time::now());
    ledger.record_write(&taken.record);
    StewardedEndpoint {
        listed: endpoint.clone(),
        client: Arc::new(EndpointClient::new(endpoint.address)),
        warmup: Warmup::new(pool),
        pool: pool.clone(),
        record: taken.record.clone(),
        revision: taken.revision,
        queue: Default::default(),
        running: 0,
        report: None,
        dispatch: Default::default(),
        ledger,
        substitute: false,
        accepting: true,
        active: HashMap::new(),
    }
}

async fn check_held(node: &Arc<Node>) {
    let Some(leases) = node.stewarded.registry.leases() else { return };
    let list = node.list.load_full();
    let duty = node.authority();
    for id in node.stewarded.endpoints.keys() {
        let kept = node.stewarded.endpoints.with(&id, |stewarded| {
            let keep = next_decision(node, stewarded, &list, &leases);
            stewarded.accepting = keep == KeepDecision::Keep
                && duty != Authority::Stop
                && !node.stewarded.is_leaving();
            if !stewarded.accepting {
                super::refuse_queued(stewarded);
            }
            keep
        });
        match kept {
            Some(KeepDecision::Lost) => drop_lost(node, &id),
            Some(KeepDecision::HandOver) if duty == Authority::Full => {
                hand_over_endpoint(node, &id).await
            }
            _ => {}
        }
    }
}

fn next_decision(
    node: &Node,
    stewarded: &StewardedEndpoint,
    list: &InstanceList,
    leases: &Leases,
) -> KeepDecision {
    if stewarded.substitute {
        return KeepDecision::Keep;
    }
    let listed = list.endpoint(&stewarded.listed.id);
    let preferred =
        stewardship::preferred_steward(&stewarded.listed, list, |id| !node.is_leaving(id));
    let known = node.stewarded.registry.record(&stewarded.listed.id);
    let known = known.filter(|known| known.revision >= stewarded.revision);
    stewardship::decide_keep(&KeepContext {
        own: &node.settings.instance,
        written: &stewarded.record,
        record: known.as_ref().map(|known| &known.record),
        listed: listed.is_some_and(|listed| {
            listed.state == ListedState::Live && listed.address == stewarded.listed.address
        }),
        idle: stewarded.is_idle(),
        preferred,
        leases,
    })
}

/// Drops an endpoint whose record names another tenure or no steward; what runs there ends.
fn drop_lost(node: &Node, id: &EndpointId) {
    let Some(mut stewarded) = node.stewarded.endpoints.remove(id) else { return };
    super::refuse_queued(&mut stewarded);
    let known = node.stewarded.registry.record(id).map(|known| known.record);
    // The watch can show this node's own handover before its write is answered.
    let given = known.is_some_and(|r| r.holder.is_none() && r.fence == stewarded.record.fence);
    let event = if given { Event::StewardHandedOver } else { Event::StewardLost };
    node.timeline.record(event, id.as_str(), "");
}

/// Hands one endpoint over; its record keeps the orders that may still take effect.
async fn hand_over_endpoint(node: &Node, id: &EndpointId) {
    let given = write_record(node, id, |record| record.holder = None).await;
    if given.is_ok()
        && let Some(mut stewarded) = node.stewarded.endpoints.remove(id)
    {
        super::refuse_queued(&mut stewarded);
        node.timeline.record(Event::StewardHandedOver, id.as_str(), "");
    }
}

/// Drops the endpoints whose record names another tenure, before a new lease counts.
pub async fn drop_superseded(node: &Node) -> Result<(), PlatformError> {
    let snapshot = node.platform.range(stewardship::RECORD_PREFIX).await?;
    node.stewarded.registry.replace_records(&snapshot.kvs);
    for id in node.stewarded.endpoints.keys() {
        let known = node.stewarded.registry.record(&id);
        let own = node.stewarded.endpoints.with(&id, |stewarded| {
            known.is_some_and(|known| known.record.is_same_term(&stewarded.record))
        });
        if own == Some(false) {
            drop_lost(node, &id);
        }
    }
    Ok(())
}

/// Gives every stewardship back as soon as its work has ended, then the lease.
pub async fn hand_over(node: &Node) {
    node.stewarded.leaving.store(true, Ordering::Release);
    let ids = node.stewarded.endpoints.keys();
    let all = ids.iter().map(|id| async move {
        node.stewarded.endpoints.with(id, |stewarded| {
            stewarded.accepting = false;
            super::refuse_queued(stewarded);
        });
        while node.stewarded.endpoints.with(id, |s| s.running > 0) == Some(true) {
            sleep(IDLE_CHECK_INTERVAL).await;
        }
        hand_over_endpoint(node, id).await;
    });
    futures_util::future::join_all(all).await;
    lease::release(node).await;
}

impl StewardedEndpoint {
    /// Returns whether nothing runs, waits or is ordered at the endpoint.
    fn is_idle(&self) -> bool {
        self.running == 0 && self.queue.is_empty() && !self.ledger.is_busy()
    }

    /// Returns whether the endpoint is an engine.
    pub fn is_engine(&self) -> bool {
        self.pool.kind == PoolKind::Engine
    }
}
