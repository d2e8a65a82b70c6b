//! Operators' commands: concurrent changes, confirmation by the instances, keys and the merged
//! time line.

use std::{path::PathBuf, time::Duration};

use http::Method;
use rustix::process::Signal;
use serde_json::json;

use crate::util::{
    block_on,
    cli::{run, spawn},
    fleet::{CONFIG, Fleet, FleetSpec, KITES_KEY, NUTS_KEY},
    http::{call, chat},
    wait_until,
};
use cardamomshore::config::hash_key;

/// Longest wait for a change to be in force on all instances.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Writes [`CONFIG`] with another rate of team `kites` to a file and returns its path.
fn write_config(fleet: &Fleet, rate: u64) -> PathBuf {
    let text = CONFIG
        .replace("{kites}", &hash_key(KITES_KEY))
        .replace("{nuts}", &hash_key(NUTS_KEY))
        .replace("kites: { rate: 100000", &format!("kites: {{ rate: {rate}"));
    let path = fleet.dir().join(format!("rate-{rate}.yaml"));
    std::fs::write(&path, text).expect("expected to write the configuration");
    path
}

/// Two operators apply different changes to the same version through two instances. If both
/// commands succeeded, one of the changes would be lost unnoticed.
#[test]
fn apply_race_has_one_winner() {
    block_on(async {
        let fleet = Fleet::start("apply-race", FleetSpec::default()).await;
        let to = [fleet.operators[0].to_string(), fleet.operators[1].to_string()];
        let files = [write_config(&fleet, 111_111), write_config(&fleet, 222_222)];
        let paths =
            files.each_ref().map(|file| file.to_str().expect("expected the path to be UTF-8"));
        let apply = |i: usize| ["config", "apply", paths[i], "--seen", "1", "--to", &to[i]];
        let (args, other_args) = (apply(0), apply(1));
        let (first, second) = tokio::join!(run(&args), run(&other_args));
        let mut codes = [first.code, second.code];
        codes.sort_unstable();
        assert_eq!(codes, [0, 3], "expected one command to fail: {first:?} {second:?}");
        let (winner, loser, rate) =
            if first.code == 0 { (first, second, 111_111) } else { (second, first, 222_222) };
        assert!(
            winner.stdout.contains("version 2 accepted: 2 of 2"),
            "expected `version 2 accepted: 2 of 2`: {winner:?}"
        );
        assert!(
            loser.stderr.contains(&format!("-    rate: {rate}")),
            "expected a diff: {}",
            loser.stderr
        );
        assert!(loser.stderr.contains("apply with --seen 2"), "expected advice: {}", loser.stderr);
        let outdated = write_config(&fleet, 333_333).display().to_string();
        let outdated = run(&["config", "apply", &outdated, "--seen", "1", "--to", &to[1]]).await;
        assert_eq!(outdated.code, 3, "expected exit code 3: {outdated:?}");
        let shown = run(&["config", "show", "--to", &to[0]]).await;
        assert!(shown.stdout.starts_with("# version 2\n"), "expected version 2: {shown:?}");
        assert!(shown.stdout.contains(&rate.to_string()), "expected rate {rate}: {shown:?}");
    });
}

/// An instance that is stopped cannot confirm a new version. The command must succeed with the
/// others and name the one that did not confirm.
#[test]
fn apply_names_silent_instance() {
    block_on(async {
        let spec = FleetSpec { instances: vec!["dc-a", "dc-b", "dc-b"], ..FleetSpec::default() };
        let fleet = Fleet::start("apply-silent", spec).await;
        fleet.instances[2].signal(Signal::STOP);
        let file = write_config(&fleet, 90_000).display().to_string();
        let to = fleet.operators[0].to_string();
        let applied = run(&["config", "apply", &file, "--seen", "1", "--to", &to]).await;
        fleet.instances[2].signal(Signal::CONT);
        assert_eq!(applied.code, 0, "expected exit code 0: {applied:?}");
        assert!(
            applied.stdout.contains("accepted: 2 of 3"),
            "expected `accepted: 2 of 3`: {applied:?}"
        );
        assert!(
            applied.stdout.contains("not confirmed: i-2"),
            "expected `not confirmed: i-2`: {applied:?}"
        );
        fleet.wait_ready(2).await;
    });
}

/// When most instances do not confirm a new version, the command must not report it as accepted.
#[test]
fn apply_most_silent_not_accepted() {
    block_on(async {
        let spec = FleetSpec { instances: vec!["dc-a", "dc-b", "dc-b"], ..FleetSpec::default() };
        let fleet = Fleet::start("apply-most-silent", spec).await;
        let stopped = &fleet.instances[1..];
        stopped.iter().for_each(|instance| instance.signal(Signal::STOP));
        let file = write_config(&fleet, 60_000).display().to_string();
        let to = fleet.operators[0].to_string();
        let applied = run(&["config", "apply", &file, "--seen", "1", "--to", &to]).await;
        stopped.iter().for_each(|instance| instance.signal(Signal::CONT));
        assert_eq!(applied.code, 4, "expected exit code 4: {applied:?}");
        assert!(applied.stderr.contains("only 1 of 3"), "expected `only 1 of 3`: {applied:?}");
        assert!(
            applied.stderr.contains("Not confirmed: i-1, i-2"),
            "expected `Not confirmed: i-1, i-2`: {applied:?}"
        );
        fleet.wait_ready(2).await;
    });
}

/// The platform's response to a write that took effect can be lost. The instance must find the
/// write instead of reporting a failure.
#[test]
fn apply_answer_lost_is_resolved() {
    block_on(async {
        let fleet = Fleet::start("apply-mute", FleetSpec::default()).await;
        let file = write_config(&fleet, 80_000).display().to_string();
        let to = fleet.operators[1].to_string();
        fleet.set_faults(fleet.platform, json!({ "mute": true })).await;
        let applied = run(&["config", "apply", &file, "--seen", "1", "--to", &to]).await;
        assert_eq!(applied.code, 0, "expected exit code 0: {applied:?}");
        fleet.set_faults(fleet.platform, json!({ "down": true })).await;
        let refused = run(&["config", "apply", &file, "--seen", "2", "--to", &to]).await;
        assert_eq!(refused.code, 1, "expected exit code 1: {refused:?}");
        assert!(refused.stderr.contains("1305"), "expected `1305`: {refused:?}");
    });
}

/// The platform's response to a write is lost, and the platform goes down before the write can be
/// looked up. The command must say that the change may have been written.
#[test]
fn apply_outcome_unknown_said() {
    block_on(async {
        let fleet = Fleet::start("apply-unknown", FleetSpec::default()).await;
        let file = write_config(&fleet, 70_000).display().to_string();
        let to = fleet.operators[0].to_string();
        fleet.set_faults(fleet.platform, json!({ "mute": true })).await;
        let apply = spawn(&["config", "apply", &file, "--seen", "1", "--to", &to]);
        wait_until("the other instance has the new version", IN_FORCE_TIMEOUT, || async {
            fleet.fetch_status(fleet.operators[1]).await["version"] == 2
        })
        .await;
        fleet.set_faults(fleet.platform, json!({ "mute": true, "down": true })).await;
        let applied = apply.await.expect("expected the command to end");
        assert_eq!(applied.code, 4, "expected exit code 4: {applied:?}");
        assert!(
            applied.stderr.contains("may have been written"),
            "expected `may have been written`: {applied:?}"
        );
        fleet.set_faults(fleet.platform, json!({})).await;
        fleet.wait_ready(2).await;
    });
}

/// Callers could still be sent to instances of a data centre that an operator has taken out of
/// service.
#[test]
fn data_centre_out_leaves_addresses() {
    block_on(async {
        let fleet = Fleet::start("addresses", FleetSpec::default()).await;
        let to = fleet.operators[0].to_string();
        let listed_count = async |index: usize| {
            let response = call(Method::GET, fleet.caller_address(index), "/v1/instances", &[], "")
                .await
                .unwrap();
            response.json()["instances"].as_array().map_or(0, Vec::len)
        };
        for (command, count) in [("out", 1), ("return", 2)] {
            let changed = run(&["data-centre", command, "dc-b", "--to", &to]).await;
            assert_eq!(changed.code, 0, "expected exit code 0: {changed:?}");
            for index in 0..2 {
                wait_until(
                    "callers get the addresses of the data centres in service",
                    IN_FORCE_TIMEOUT,
                    || async { listed_count(index).await == count },
                )
                .await;
            }
        }
        let unknown = run(&["data-centre", "out", "dc-z", "--to", &to]).await;
        assert_eq!(unknown.code, 1, "expected exit code 1: {unknown:?}");
        assert!(unknown.stderr.contains("there is no data centre dc-z, only dc-a, dc-b"));
    });
}

/// A new key must work on every instance but must not be stored in clear; a withdrawn one must
/// stop working on every instance.
#[test]
fn key_given_then_withdrawn() {
    block_on(async {
        let fleet = Fleet::start("key-cycle", FleetSpec::default()).await;
        let to = fleet.operators[1].to_string();
        let given = run(&["key", "give", "spare", "--team", "kites", "--to", &to]).await;
        assert_eq!(given.code, 0, "expected exit code 0: {given:?}");
        let key =
            given.stdout.lines().find_map(|line| line.strip_prefix("key spare of team kites: "));
        let key = key.expect("expected the command to print the key");
        let stored = run(&["config", "show", "--to", &to]).await;
        assert!(
            stored.stdout.contains(&hash_key(key)) && !stored.stdout.contains(key),
            "expected the hash of the key but not the key: {stored:?}"
        );
        for index in 0..2 {
            let response = chat(fleet.caller_address(index), key, "glue", 4, false).await.unwrap();
            assert_eq!(response.status, 200, "response: {}", response.text());
        }
        let withdrawn = run(&["key", "withdraw", "spare", "--to", &to]).await;
        assert_eq!(withdrawn.code, 0, "expected exit code 0: {withdrawn:?}");
        for index in 0..2 {
            wait_until("the key is refused", IN_FORCE_TIMEOUT, || async {
                let response = chat(fleet.caller_address(index), key, "glue", 4, false).await;
                response.is_ok_and(|response| response.code() == 1002)
            })
            .await;
        }
        let second_withdrawal = run(&["key", "withdraw", "spare", "--to", &to]).await;
        assert_eq!(second_withdrawal.code, 1, "expected exit code 1: {second_withdrawal:?}");
    });
}

/// Several instances hold the events of one request, so the command must merge their time lines. An
/// instance that cannot be reached must not fail the commands.
#[test]
fn timeline_merges_all_instances() {
    block_on(async {
        let fleet = Fleet::start("timeline-merged", FleetSpec::default()).await;
        let response = chat(fleet.caller_address(0), KITES_KEY, "glue", 4, false).await.unwrap();
        let request = response.headers["x-request-id"].to_str().unwrap().to_owned();
        let to = fleet.operators[1].to_string();
        let shown = run(&["timeline", "--filter", &request, "--to", &to]).await;
        assert_eq!(shown.code, 0, "expected exit code 0: {shown:?}");
        let position = |name: &str| {
            shown
                .stdout
                .find(name)
                .unwrap_or_else(|| panic!("expected {name} in the time line: {shown:?}"))
        };
        assert!(position("RequestAdmitted") < position("RequestDispatched"));
        assert!(position("RequestDispatched") < position("RequestCompleted"));
        let all = run(&["timeline", "--to", &to]).await;
        assert!(
            all.stdout.contains("i-0 ") && all.stdout.contains("i-1 "),
            "expected both instances: {all:?}"
        );
        let status = run(&["status", "--to", &to]).await;
        assert_eq!(status.stdout.lines().count(), 3, "expected 3 lines: {status:?}");
        let metrics = call(Method::GET, fleet.operators[0], "/metrics", &[], "").await.unwrap();
        let answered = "cardamomshore_requests_total{code=\"0\"} 1";
        assert!(metrics.text().contains(answered), "expected `{answered}`: {}", metrics.text());
        let missing = run(&["status", "--to", "127.0.0.1:1", "--to", &to]).await;
        assert_eq!(missing.code, 0, "expected exit code 0: {missing:?}");
    });
}
