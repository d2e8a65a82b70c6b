//! Versions of the configuration over real processes: how fast, and through faults.

use cardamomshore::clock::Time;
use http::Method;
use serde_json::json;

use crate::util::{
    block_on, eventually,
    fleet::{CONFIG, Fleet, KITES_KEY, Plan, READY},
    http::{call, chat},
};

fn four() -> Plan {
    Plan { instances: vec!["dc-a", "dc-a", "dc-b", "dc-b"], ..Plan::default() }
}

async fn all_at(fleet: &Fleet, version: u64) {
    for operator in &fleet.operators {
        eventually("the version is in force", READY, || async {
            fleet.status(*operator).await["version"].as_u64() == Some(version)
        })
        .await;
    }
}

#[test]
fn configuration_in_force_on_all() {
    block_on(async {
        let fleet = Fleet::start("configuration-speed", four()).await;
        for version in 1..4 {
            let start = Time::now();
            fleet.apply(version, CONFIG).await;
            all_at(&fleet, version + 1).await;
            println!("version {} on 4 instances after {:?}", version + 1, Time::now().since(start));
        }
        fleet.set_faults(fleet.platform, json!({ "gap": true })).await;
        let start = Time::now();
        fleet.apply(4, CONFIG).await;
        all_at(&fleet, 5).await;
        println!("without watches on 4 instances after {:?}", Time::now().since(start));
    });
}

#[test]
fn configuration_accepted_then_platform_hangs() {
    block_on(async {
        let fleet = Fleet::start("configuration-hang", four()).await;
        fleet.set_faults(fleet.platform, json!({ "gap": true })).await;
        let start = Time::now();
        fleet.apply(1, CONFIG).await;
        fleet.set_faults(fleet.platform, json!({ "hang": true })).await;
        all_at(&fleet, 2).await;
        println!("platform hung after the write: 4 instances after {:?}", Time::now().since(start));
    });
}

#[test]
fn configuration_started_while_platform_is_down() {
    block_on(async {
        let mut fleet = Fleet::start("configuration-start", four()).await;
        fleet.apply(1, CONFIG).await;
        all_at(&fleet, 2).await;
        fleet.set_faults(fleet.platform, json!({ "down": true })).await;
        fleet.instances[3].restart();
        all_at(&fleet, 2).await;
        eventually("the new process serves", READY, || async {
            let answer = chat(fleet.caller(3), KITES_KEY, "glue", 3, false).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    });
}

#[test]
fn configuration_data_centre_out_gets_no_new_work() {
    block_on(async {
        let fleet = Fleet::start("configuration-out", four()).await;
        let out = CONFIG.replace("dc-b: {}", "dc-b: { out: true }");
        let start = Time::now();
        fleet.apply(1, &out).await;
        all_at(&fleet, 2).await;
        println!("data centre out on 4 instances after {:?}", Time::now().since(start));
        let runs = || async {
            let seen = fleet.read(fleet.endpoint("engine-1"), "/standin/seen").await;
            let lines = seen.as_array().cloned().unwrap_or_default();
            let posts = lines.iter().filter(|l| l.as_str().is_some_and(|l| l.starts_with("POST")));
            posts.count()
        };
        let before = runs().await;
        for index in [0, 1, 2, 3, 0, 1, 2, 3] {
            let answer = chat(fleet.caller(index), KITES_KEY, "glue", 3, false).await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        assert_eq!(runs().await, before);
        let answer = call(Method::GET, fleet.caller(0), "/v1/instances", &[], "").await.unwrap();
        assert!(!answer.text().contains("dc-b"), "{}", answer.text());
    });
}

#[test]
fn configuration_bad_record_keeps_the_good_one() {
    block_on(async {
        let fleet = Fleet::start("configuration-bad", four()).await;
        let put = |value: &str| {
            use base64::{Engine, engine::general_purpose::STANDARD};
            let key = STANDARD.encode("cardamomshore/config");
            let put = json!({ "key": key, "value": STANDARD.encode(value) });
            json!({ "success": [{ "request_put": put }] }).to_string()
        };
        for value in
            ["not json", r#"{"version":9,"text":"teams: 7","nonce":1}"#, r#"{"version":0}"#]
        {
            let body = put(value);
            let answer = call(Method::POST, fleet.platform, "/v3/kv/txn", &[], body).await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        eventually("an instance rejects the record", READY, || async {
            fleet.read(fleet.operators[0], "/timeline").await.to_string().contains("ConfigRejected")
        })
        .await;
        for index in 0..4 {
            assert_eq!(fleet.status(fleet.operators[index]).await["version"], 1);
            let answer = chat(fleet.caller(index), KITES_KEY, "glue", 3, false).await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    });
}
