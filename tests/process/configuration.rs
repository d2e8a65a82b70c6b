//! Distribution of configuration versions to instances: its duration, and faults of the platform.

use cardamomshore::clock::Time;
use http::Method;
use serde_json::json;

use crate::util::{
    block_on,
    fleet::{CONFIG, Fleet, FleetSpec, KITES_KEY, READY_TIMEOUT},
    http::{call, chat},
    wait_until,
};

/// Returns a fleet of four instances in two data centres.
fn four_instances() -> FleetSpec {
    FleetSpec { instances: vec!["dc-a", "dc-a", "dc-b", "dc-b"], ..FleetSpec::default() }
}

/// Waits until every instance has exactly this version in force.
async fn wait_version(fleet: &Fleet, version: u64) {
    for operator in &fleet.operators {
        wait_until("the version is in force on every instance", READY_TIMEOUT, || async {
            fleet.fetch_status(*operator).await["version"].as_u64() == Some(version)
        })
        .await;
    }
}

/// Every instance must put each new version in force, also when the watches of the platform skip
/// the change.
#[test]
fn configuration_in_force_on_all() {
    block_on(async {
        let fleet = Fleet::start("configuration-speed", four_instances()).await;
        for version in 1..4 {
            let start = Time::now();
            fleet.apply_config(version, CONFIG).await;
            wait_version(&fleet, version + 1).await;
            println!("version {} on 4 instances after {:?}", version + 1, Time::now().since(start));
        }
        fleet.set_faults(fleet.platform, json!({ "gap": true })).await;
        let start = Time::now();
        fleet.apply_config(4, CONFIG).await;
        wait_version(&fleet, 5).await;
        println!("without watches on 4 instances after {:?}", Time::now().since(start));
    });
}

/// If the platform hangs right after it has accepted a version, and watches skip the change, the
/// instances must get the version from each other.
#[test]
fn configuration_accepted_then_platform_hangs() {
    block_on(async {
        let fleet = Fleet::start("configuration-hang", four_instances()).await;
        fleet.set_faults(fleet.platform, json!({ "gap": true })).await;
        let start = Time::now();
        fleet.apply_config(1, CONFIG).await;
        fleet.set_faults(fleet.platform, json!({ "hang": true })).await;
        wait_version(&fleet, 2).await;
        println!("platform hung after the write: 4 instances after {:?}", Time::now().since(start));
    });
}

/// An instance that starts while the platform is down must get the configuration from its peers
/// and serve.
#[test]
fn configuration_started_while_platform_is_down() {
    block_on(async {
        let mut fleet = Fleet::start("configuration-start", four_instances()).await;
        fleet.apply_config(1, CONFIG).await;
        wait_version(&fleet, 2).await;
        fleet.set_faults(fleet.platform, json!({ "down": true })).await;
        fleet.instances[3].restart();
        wait_version(&fleet, 2).await;
        wait_until("the restarted instance serves", READY_TIMEOUT, || async {
            let response = chat(fleet.caller_address(3), KITES_KEY, "glue", 3, false).await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await;
    });
}

/// After a data centre is taken out of service, its endpoints could still get new requests and
/// callers could still be sent to its instances.
#[test]
fn configuration_data_centre_out_gets_no_new_work() {
    block_on(async {
        let fleet = Fleet::start("configuration-out", four_instances()).await;
        let config = CONFIG.replace("dc-b: {}", "dc-b: { out: true }");
        let start = Time::now();
        fleet.apply_config(1, &config).await;
        wait_version(&fleet, 2).await;
        println!("data centre out on 4 instances after {:?}", Time::now().since(start));
        let count_posts = || async {
            let seen = fleet.fetch_json(fleet.endpoint_address("engine-1"), "/standin/seen").await;
            let lines = seen.as_array().cloned().unwrap_or_default();
            let posts = lines
                .iter()
                .filter(|line| line.as_str().is_some_and(|line| line.starts_with("POST")));
            posts.count()
        };
        let before = count_posts().await;
        for index in [0, 1, 2, 3, 0, 1, 2, 3] {
            let response =
                chat(fleet.caller_address(index), KITES_KEY, "glue", 3, false).await.unwrap();
            assert_eq!(response.status, 200, "response: {}", response.text());
        }
        assert_eq!(count_posts().await, before);
        let response =
            call(Method::GET, fleet.caller_address(0), "/v1/instances", &[], "").await.unwrap();
        assert!(
            !response.text().contains("dc-b"),
            "expected no instance in dc-b: {}",
            response.text()
        );
    });
}

/// Invalid records written to the platform directly must be rejected and must leave the version in
/// force.
#[test]
fn configuration_bad_record_keeps_the_good_one() {
    block_on(async {
        let fleet = Fleet::start("configuration-bad", four_instances()).await;
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
            let response =
                call(Method::POST, fleet.platform, "/v3/kv/txn", &[], body).await.unwrap();
            assert_eq!(response.status, 200, "response: {}", response.text());
        }
        wait_until("an instance rejects the record", READY_TIMEOUT, || async {
            fleet
                .fetch_json(fleet.operators[0], "/timeline")
                .await
                .to_string()
                .contains("ConfigRejected")
        })
        .await;
        for index in 0..4 {
            assert_eq!(fleet.fetch_status(fleet.operators[index]).await["version"], 1);
            let response =
                chat(fleet.caller_address(index), KITES_KEY, "glue", 3, false).await.unwrap();
            assert_eq!(response.status, 200, "response: {}", response.text());
        }
    });
}
