//! Operators: races, confirmation, keys and the merged time line.

use std::{path::PathBuf, time::Duration};

use http::Method;
use rustix::process::Signal;
use serde_json::json;

use crate::util::{
    block_on,
    cli::{run, run_owned},
    eventually,
    fleet::{CONFIG, Fleet, KITES_KEY, NUTS_KEY, Plan},
    http::{call, chat},
};
use cardamomshore::config::hash_key;

/// Longest time for a change to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(20);

/// Writes the tests' configuration with another rate of team `kites`.
fn document(fleet: &Fleet, rate: u64) -> PathBuf {
    let text = CONFIG
        .replace("{kites}", &hash_key(KITES_KEY))
        .replace("{nuts}", &hash_key(NUTS_KEY))
        .replace("kites: { rate: 100000", &format!("kites: {{ rate: {rate}"));
    let path = fleet.dir().join(format!("rate-{rate}.yaml"));
    std::fs::write(&path, text).expect("a document is written");
    path
}

#[test]
fn apply_race_has_one_winner() {
    block_on(async {
        let fleet = Fleet::start("apply-race", Plan::default()).await;
        let to = [fleet.operators[0].to_string(), fleet.operators[1].to_string()];
        let files = [document(&fleet, 111_111), document(&fleet, 222_222)];
        let names = files.each_ref().map(|file| file.to_str().expect("a path is text"));
        let apply = |i: usize| ["config", "apply", names[i], "--seen", "1", "--to", &to[i]];
        let (args, others) = (apply(0), apply(1));
        let (first, second) = tokio::join!(run(&args), run(&others));
        let mut codes = [first.code, second.code];
        codes.sort_unstable();
        assert_eq!(codes, [0, 3], "{first:?} {second:?}");
        let (winner, loser, rate) =
            if first.code == 0 { (first, second, 111_111) } else { (second, first, 222_222) };
        assert!(winner.out.contains("version 2 accepted: 2 of 2"), "{winner:?}");
        assert!(loser.err.contains(&format!("-    rate: {rate}")), "{}", loser.err);
        assert!(loser.err.contains("apply with --seen 2"), "{}", loser.err);
        let late = document(&fleet, 333_333).display().to_string();
        let late = run(&["config", "apply", &late, "--seen", "1", "--to", &to[1]]).await;
        assert_eq!(late.code, 3, "{late:?}");
        let shown = run(&["config", "show", "--to", &to[0]]).await;
        assert!(shown.out.starts_with("# version 2\n"), "{shown:?}");
        assert!(shown.out.contains(&rate.to_string()), "{shown:?}");
    });
}

#[test]
fn apply_names_silent_instance() {
    block_on(async {
        let plan = Plan { instances: vec!["dc-a", "dc-b", "dc-b"], ..Plan::default() };
        let fleet = Fleet::start("apply-silent", plan).await;
        fleet.instances[2].signal(Signal::STOP);
        let file = document(&fleet, 90_000).display().to_string();
        let to = fleet.operators[0].to_string();
        let applied = run(&["config", "apply", &file, "--seen", "1", "--to", &to]).await;
        fleet.instances[2].signal(Signal::CONT);
        assert_eq!(applied.code, 0, "{applied:?}");
        assert!(applied.out.contains("accepted: 2 of 3"), "{applied:?}");
        assert!(applied.out.contains("not confirmed: i-2"), "{applied:?}");
        fleet.wait_ready(2).await;
    });
}

#[test]
fn apply_most_silent_not_accepted() {
    block_on(async {
        let plan = Plan { instances: vec!["dc-a", "dc-b", "dc-b"], ..Plan::default() };
        let fleet = Fleet::start("apply-most-silent", plan).await;
        let stopped = &fleet.instances[1..];
        stopped.iter().for_each(|instance| instance.signal(Signal::STOP));
        let file = document(&fleet, 60_000).display().to_string();
        let to = fleet.operators[0].to_string();
        let applied = run(&["config", "apply", &file, "--seen", "1", "--to", &to]).await;
        stopped.iter().for_each(|instance| instance.signal(Signal::CONT));
        assert_eq!(applied.code, 4, "{applied:?}");
        assert!(applied.err.contains("only 1 of 3"), "{applied:?}");
        assert!(applied.err.contains("Not confirmed: i-1, i-2"), "{applied:?}");
        fleet.wait_ready(2).await;
    });
}

#[test]
fn apply_answer_lost_is_resolved() {
    block_on(async {
        let fleet = Fleet::start("apply-mute", Plan::default()).await;
        let file = document(&fleet, 80_000).display().to_string();
        let to = fleet.operators[1].to_string();
        fleet.set_faults(fleet.platform, json!({ "mute": true })).await;
        let applied = run(&["config", "apply", &file, "--seen", "1", "--to", &to]).await;
        assert_eq!(applied.code, 0, "{applied:?}");
        fleet.set_faults(fleet.platform, json!({ "down": true })).await;
        let refused = run(&["config", "apply", &file, "--seen", "2", "--to", &to]).await;
        assert_eq!(refused.code, 1, "{refused:?}");
        assert!(refused.err.contains("1305"), "{refused:?}");
    });
}

#[test]
fn apply_outcome_unknown_said() {
    block_on(async {
        let fleet = Fleet::start("apply-unknown", Plan::default()).await;
        let file = document(&fleet, 70_000).display().to_string();
        let to = fleet.operators[0].to_string();
        fleet.set_faults(fleet.platform, json!({ "mute": true })).await;
        let apply = run_owned(&["config", "apply", &file, "--seen", "1", "--to", &to]);
        eventually("another instance sees the write", IN_FORCE, || async {
            fleet.status(fleet.operators[1]).await["version"] == 2
        })
        .await;
        fleet.set_faults(fleet.platform, json!({ "mute": true, "down": true })).await;
        let applied = apply.await.expect("the command ends");
        assert_eq!(applied.code, 4, "{applied:?}");
        assert!(applied.err.contains("may have been written"), "{applied:?}");
        fleet.set_faults(fleet.platform, json!({})).await;
        fleet.wait_ready(2).await;
    });
}

#[test]
fn data_centre_out_leaves_addresses() {
    block_on(async {
        let fleet = Fleet::start("addresses", Plan::default()).await;
        let to = fleet.operators[0].to_string();
        let named = async |index: usize| {
            let answer =
                call(Method::GET, fleet.caller(index), "/v1/instances", &[], "").await.unwrap();
            answer.json()["instances"].as_array().map_or(0, Vec::len)
        };
        for (command, count) in [("out", 1), ("return", 2)] {
            let changed = run(&["data-centre", command, "dc-b", "--to", &to]).await;
            assert_eq!(changed.code, 0, "{changed:?}");
            for index in 0..2 {
                eventually("the addresses follow", IN_FORCE, || async {
                    named(index).await == count
                })
                .await;
            }
        }
        let unknown = run(&["data-centre", "out", "dc-z", "--to", &to]).await;
        assert_eq!(unknown.code, 1, "{unknown:?}");
        assert!(unknown.err.contains("there is no data centre dc-z, only dc-a, dc-b"));
    });
}

#[test]
fn key_given_then_withdrawn() {
    block_on(async {
        let fleet = Fleet::start("key-cycle", Plan::default()).await;
        let to = fleet.operators[1].to_string();
        let given = run(&["key", "give", "spare", "--team", "kites", "--to", &to]).await;
        assert_eq!(given.code, 0, "{given:?}");
        let key = given.out.lines().find_map(|line| line.strip_prefix("key spare of team kites: "));
        let key = key.expect("the key is printed");
        let stored = run(&["config", "show", "--to", &to]).await;
        assert!(stored.out.contains(&hash_key(key)) && !stored.out.contains(key), "{stored:?}");
        for index in 0..2 {
            let answer = chat(fleet.caller(index), key, "glue", 4, false).await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        let withdrawn = run(&["key", "withdraw", "spare", "--to", &to]).await;
        assert_eq!(withdrawn.code, 0, "{withdrawn:?}");
        for index in 0..2 {
            eventually("the key is refused", IN_FORCE, || async {
                let answer = chat(fleet.caller(index), key, "glue", 4, false).await;
                answer.is_ok_and(|answer| answer.code() == 1002)
            })
            .await;
        }
        let again = run(&["key", "withdraw", "spare", "--to", &to]).await;
        assert_eq!(again.code, 1, "{again:?}");
    });
}

#[test]
fn timeline_merges_all_instances() {
    block_on(async {
        let fleet = Fleet::start("timeline-merged", Plan::default()).await;
        let answer = chat(fleet.caller(0), KITES_KEY, "glue", 4, false).await.unwrap();
        let request = answer.headers["x-request-id"].to_str().unwrap().to_owned();
        let to = fleet.operators[1].to_string();
        let shown = run(&["timeline", "--filter", &request, "--to", &to]).await;
        assert_eq!(shown.code, 0, "{shown:?}");
        let at = |name: &str| shown.out.find(name).unwrap_or_else(|| panic!("{name}: {shown:?}"));
        assert!(at("RequestAdmitted") < at("RequestDispatched"));
        assert!(at("RequestDispatched") < at("RequestCompleted"));
        let all = run(&["timeline", "--to", &to]).await;
        assert!(all.out.contains("i-0 ") && all.out.contains("i-1 "), "{all:?}");
        let status = run(&["status", "--to", &to]).await;
        assert_eq!(status.out.lines().count(), 3, "{status:?}");
        let metrics = call(Method::GET, fleet.operators[0], "/metrics", &[], "").await.unwrap();
        let answered = "cardamomshore_requests_total{code=\"0\"} 1";
        assert!(metrics.text().contains(answered), "{}", metrics.text());
        let missing = run(&["status", "--to", "127.0.0.1:1", "--to", &to]).await;
        assert_eq!(missing.code, 0, "{missing:?}");
    });
}
