//! Placement: models are loaded where they are in demand.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cardamomshore::{
    clock::Time,
    kernel::grants::{Demand, Endpoint, EndpointEntry, Outcome, PlanInput, Swap, plan},
};

use super::fleet::{
    LEADING, START, accept_orders, catalog, deliver_reports, end_request, engine, key,
    model_request, scheduler,
};

/// Plans swaps for engines with these entries. `demands` gives the demand for models in seconds of
/// work per second, `waiting` lists models with a queued request, and `loads` is the number of
/// loads from the weight store that may start.
fn planned(
    entries: &[EndpointEntry],
    demands: &[(&str, f64)],
    waiting: &[&str],
    loads: usize,
) -> Vec<(Arc<str>, Swap)> {
    let catalog = catalog(1.0);
    let spec = catalog.services["llm"].engine.as_ref().expect("engines");
    let engines: Vec<Endpoint> =
        entries.iter().map(|entry| Endpoint::new(entry.clone(), Time::default())).collect();
    let mut demand = Demand::default();
    for (model, work) in demands {
        demand.record(&Arc::from(*model), Duration::from_secs_f64(work * 2.5), START);
    }
    let waiting: HashMap<Arc<str>, usize> =
        waiting.iter().map(|model| (Arc::from(*model), 1)).collect();
    let (demand, waiting) = (&demand, &waiting);
    let input =
        PlanInput { spec, demand, waiting, max_loads: loads, max_spare_loads: loads, now: START };
    plan(engines.iter(), &input)
}

#[test]
fn plan_waiting_model_comes_first() {
    let entries = [engine("e1", &["m0", "m1"]), engine("e2", &["m0", "m2"])];
    let swaps = planned(&entries, &[("m0", 0.9)], &["m4"], 1);
    assert_eq!(&*swaps.first().expect("a swap is planned").1.load, "m4", "{swaps:?}");
}

#[test]
fn plan_busy_model_goes_to_idle_engine() {
    let entries = [engine("e1", &["m0"]), engine("e2", &["m1"]), engine("e3", &["m2"])];
    let swaps = planned(&entries, &[("m0", 0.8), ("m1", 0.4)], &[], 1);
    let (id, swap) = swaps.first().expect("a swap is planned");
    assert_eq!((&**id, &*swap.load), ("e3", "m0"), "{swaps:?}");
}

#[test]
fn plan_idle_fleet_no_swaps() {
    let entries = [engine("e1", &["m0", "m1"]), engine("e2", &["m2", "m3"])];
    let all = [engine("e3", &["m4", "m5"])];
    let entries: Vec<EndpointEntry> = entries.into_iter().chain(all).collect();
    assert!(planned(&entries, &[("m0", 0.02), ("m2", 0.02)], &[], 5).is_empty());
}

#[test]
fn plan_keeps_last_replica_in_use() {
    let entries = [engine("e1", &["m0", "m1"]), engine("e2", &["m2", "m3"])];
    let busy = [("m0", 0.2), ("m1", 0.2), ("m2", 0.2), ("m3", 0.2)];
    assert!(planned(&entries, &busy, &["m4"], 5).is_empty(), "all replicas are the last ones");
}

#[test]
fn plan_store_limit_reached_local_loads_only() {
    let mut spare = engine("e2", &[]);
    spare.on_disk = vec!["m1".into()];
    let entries = [engine("e1", &["m2"]), spare];
    let swaps = planned(&entries, &[], &["m1", "m4"], 0);
    assert_eq!(swaps.len(), 1, "{swaps:?}");
    assert_eq!(&*swaps[0].1.load, "m1");
}

#[test]
fn tick_busy_model_gets_replicas() {
    // The demand for a model with one replica exceeds what one engine can serve.
    let engines = vec![
        engine("e1", &["m0", "m1"]),
        engine("e2", &["m0", "m2"]),
        engine("e3", &["m0", "m3"]),
        engine("e4", &["m0", "m4"]),
    ];
    let mut scheduler = scheduler(LEADING, engines);
    deliver_reports(&mut scheduler, START);
    let mut now = START;
    let mut loads = 0;
    for number in 0..400 {
        scheduler.handle_request(key(number), model_request("m1", 6_000 + number as u32, now), now);
        loads += accept_orders(&mut scheduler, now, Duration::from_millis(20)).len();
        now = now + Duration::from_millis(20);
        if number >= 10 {
            end_request(&mut scheduler, number - 10, Outcome::Whole, now);
        }
    }
    assert!(loads >= 2, "only {loads} orders for a model whose demand exceeds one engine");
}

#[test]
fn tick_unreachable_engine_counts_as_no_replica() {
    let mut scheduler =
        scheduler(LEADING, vec![engine("e1", &["m0", "m3"]), engine("e2", &["m1", "m2"])]);
    deliver_reports(&mut scheduler, START);
    scheduler.handle_request(key(1), model_request("m0", 100, START), START);
    end_request(&mut scheduler, 1, Outcome::Unreached, START);
    scheduler.handle_request(key(2), model_request("m0", 100, START), START);
    let orders = accept_orders(&mut scheduler, START, Duration::from_secs(1));
    assert!(
        !orders.is_empty(),
        "the model is loaded elsewhere while the entry of e1 is still listed"
    );
}

/// Returns the entries of engines without weights on their disks.
fn engines_without_disk(engines: &[(&str, [&str; 2])]) -> Vec<EndpointEntry> {
    let entries = engines.iter().map(|(id, models)| engine(id, models));
    entries.map(|entry| EndpointEntry { on_disk: Vec::new(), ..entry }).collect()
}

#[test]
fn plan_busy_model_replaces_last_replicas() {
    // A third of the models is in use, and every engine is full of last replicas.
    let entries = [("e1", ["m0", "m1"]), ("e2", ["m2", "m3"]), ("e3", ["m4", "m5"])];
    let entries =
        entries.map(|(id, models)| EndpointEntry { on_disk: Vec::new(), ..engine(id, &models) });
    let swaps = planned(&entries, &[("m0", 3.0), ("m1", 0.05)], &[], 5);
    assert!(!swaps.is_empty(), "the demand for m0 exceeds one engine");
    assert!(swaps.iter().all(|(_, swap)| &*swap.load == "m0"), "{swaps:?}");
}

#[test]
fn plan_busy_model_without_replica_loaded() {
    let entries = engines_without_disk(&[("e1", ["m1", "m2"]), ("e2", ["m3", "m4"])]);
    let swaps = planned(&entries, &[("m0", 8.0), ("m1", 0.05), ("m3", 0.05)], &["m0"], 5);
    assert_eq!(&*swaps.first().expect("a swap is planned").1.load, "m0", "{swaps:?}");
}

#[test]
fn plan_rare_models_do_not_replace_each_other() {
    let entries = [engine("e1", &["m1", "m2"]), engine("e2", &["m3", "m4"])];
    let busy = [("m0", 0.01), ("m1", 0.01), ("m2", 0.01), ("m3", 0.01), ("m4", 0.01)];
    assert!(planned(&entries, &busy, &["m0"], 5).is_empty());
}

#[test]
fn plan_highest_demand_without_replica_first() {
    let entries =
        engines_without_disk(&[("e1", ["m4", "m5"]), ("e2", ["m4", "m5"]), ("e3", ["m4", "m5"])]);
    let swaps = planned(&entries, &[("m0", 0.01), ("m1", 8.0), ("m2", 0.3)], &["m0"], 1);
    assert_eq!(&*swaps.first().expect("a swap is planned").1.load, "m1", "{swaps:?}");
}
