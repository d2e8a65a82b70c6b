//! Teams' rates and bursts over all instances: under overload, through a restart, a pause and an
//! outage of the platform.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use http::Method;
use rustix::process::Signal;

use crate::util::{
    block_on,
    fleet::{CONFIG, Fleet, FleetSpec, KITES_KEY, READY_TIMEOUT},
    http::call,
    wait_until,
};

/// Rate of the team, in tokens a second.
const RATE: u64 = 2_000;
/// Burst of the team, in tokens.
const BURST: u64 = 4_000;
/// Cost of one request, in tokens.
const COST: u64 = 50;

/// Returns a fleet of four instances with this rate and burst of team `kites` and this cost of a
/// request.
fn spec(rate: u64, burst: u64, cost: u64) -> FleetSpec {
    let config = CONFIG
        .replace(
            "kites: { rate: 100000, burst: 400000",
            &format!("kites: {{ rate: {rate}, burst: {burst}"),
        )
        .replace(
            "path: /stock/*, class: chat }",
            &format!("path: /stock/*, class: chat, tokens: {cost} }}"),
        );
    FleetSpec { instances: vec!["dc-a", "dc-a", "dc-b", "dc-b"], config, ..FleetSpec::default() }
}

/// Sends a request to the plain service and returns the status and the error code.
async fn get_stock(address: SocketAddr) -> Option<(u16, u64)> {
    let headers = [("x-api-key", KITES_KEY)];
    let response =
        call(Method::GET, address, "/services/ledger/stock/a", &headers, "").await.ok()?;
    Some((response.status, response.code()))
}

/// Callers that send requests without a pause until they are stopped.
struct Traffic {
    /// Tokens of all requests that were served.
    served: Arc<AtomicU64>,
    /// Whether the callers should stop.
    stop: Arc<AtomicBool>,
    /// Tasks of the callers.
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Traffic {
    /// Starts `callers_each` callers for each address.
    fn start(addresses: &[SocketAddr], callers_each: usize) -> Self {
        let (served, stop) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let callers = addresses.iter().flat_map(|address| (0..callers_each).map(|_| *address));
        let tasks = callers.map(|address| {
            let (served, stop) = (served.clone(), stop.clone());
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    if get_stock(address).await.is_some_and(|(status, _)| status == 200) {
                        served.fetch_add(COST, Ordering::Relaxed);
                    }
                }
            })
        });
        let tasks = tasks.collect();
        Self { served, stop, tasks }
    }

    /// Returns the tokens served so far.
    fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Stops the callers and returns the tokens served.
    async fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("expected the caller to end");
        }
        self.served.load(Ordering::Relaxed)
    }
}

/// Waits until `tokens` more tokens have been served.
async fn wait_served(traffic: &Traffic, tokens: u64) {
    let target = traffic.served() + tokens;
    wait_until("tokens are served", READY_TIMEOUT, || async { traffic.served() >= target }).await;
}

/// An instance that restarts or resumes could use a share of the team's rate that others have got
/// meanwhile. All instances together must stay within the rate and burst.
#[test]
fn rate_bound_holds_through_restart_and_pause() {
    block_on(async {
        let mut fleet = Fleet::start("rate-bound", spec(RATE, BURST, COST)).await;
        let addresses: Vec<SocketAddr> = (0..4).map(|index| fleet.caller_address(index)).collect();
        let start = Instant::now();
        let traffic = Traffic::start(&addresses, 4);
        wait_served(&traffic, 2 * BURST).await;
        fleet.instances[1].restart();
        wait_served(&traffic, BURST).await;
        fleet.instances[2].signal(Signal::STOP);
        wait_served(&traffic, BURST).await;
        fleet.instances[2].signal(Signal::CONT);
        wait_served(&traffic, 2 * BURST).await;
        let served = traffic.stop().await;
        let allowed = RATE as f64 * start.elapsed().as_secs_f64() + BURST as f64;
        println!("served {served} of {allowed:.0} tokens in {:?}", start.elapsed());
        assert!(served as f64 <= allowed, "expected at most {allowed} tokens, served {served}");
    });
}

/// With fixed shares a team whose callers all use one instance would get a quarter of its rate.
/// Shares must follow the load.
#[test]
fn rate_one_instance_gets_the_team_s_rate() {
    block_on(async {
        let fleet = Fleet::start("rate-skew", spec(RATE, BURST, COST)).await;
        let traffic = Traffic::start(&[fleet.caller_address(0)], 8);
        wait_served(&traffic, BURST).await;
        let (start, before) = (Instant::now(), traffic.served());
        wait_served(&traffic, 5 * RATE).await;
        let (elapsed, served) = (start.elapsed(), traffic.served() - before);
        let fraction = served as f64 / (RATE as f64 * elapsed.as_secs_f64());
        traffic.stop().await;
        println!("one of four instances served {fraction:.3} of the team's rate");
        assert!(fraction > 0.5, "expected more than twice its quarter of the rate, got {fraction}");
    });
}

/// A request that is charged and then refused must be refunded. Without the refund the second one
/// would be refused for lack of tokens.
#[test]
fn rate_refused_request_costs_nothing() {
    block_on(async {
        let mut fleet = Fleet::start("rate-refund", spec(300, 600, 500)).await;
        let address = fleet.caller_address(0);
        wait_until("a request that costs most of the burst is served", READY_TIMEOUT, || async {
            get_stock(address).await == Some((200, 0))
        })
        .await;
        fleet.services[0].kill();
        wait_until("the instance knows that the endpoint is gone", READY_TIMEOUT, || async {
            get_stock(address).await.is_some_and(|(_, code)| code == 1304)
        })
        .await;
        for _ in 0..5 {
            let (status, code) = get_stock(address).await.expect("expected a response");
            assert_eq!((status, code), (503, 1304));
        }
    });
}

/// The shares of the rates must stay in force while the platform is down, so requests must still
/// be served.
#[test]
fn rate_outage_changes_nothing() {
    block_on(async {
        let fleet = Fleet::start("rate-outage", spec(RATE, BURST, COST)).await;
        let down = serde_json::json!({ "down": true });
        fleet.set_faults(fleet.platform, down).await;
        let start = Instant::now();
        let addresses: Vec<SocketAddr> = (0..4).map(|index| fleet.caller_address(index)).collect();
        let traffic = Traffic::start(&addresses, 2);
        wait_served(&traffic, 10 * RATE).await;
        let outage = Duration::from_secs(9);
        wait_until("the outage has lasted 9 seconds", READY_TIMEOUT, || async {
            start.elapsed() > outage
        })
        .await;
        wait_served(&traffic, 2 * RATE).await;
        traffic.stop().await;
    });
}

/// A request is charged for its output tokens before it runs. A field that the charge does not
/// cover could make the engine generate more than was paid for.
#[test]
fn rate_answer_is_bounded_by_the_charge() {
    block_on(async {
        let fleet = Fleet::start("rate-answer", FleetSpec::default()).await;
        let headers = [("x-api-key", KITES_KEY)];
        let send_chat = |fields: &str| {
            let body = format!(r#"{{"model":"glue","messages":[]{fields}}}"#);
            call(Method::POST, fleet.caller_address(0), "/v1/chat/completions", &headers, body)
        };
        let cases = [
            (r#","max_completion_tokens":7"#, 7),
            (r#","max_tokens":9,"max_completion_tokens":5"#, 5),
            (r#","max_tokens":3"#, 3),
        ];
        for (fields, tokens) in cases {
            let response = send_chat(fields).await.unwrap();
            let text = response.json()["choices"][0]["message"]["content"].clone();
            assert_eq!(
                text,
                crate::util::http::expected_text(tokens),
                "response: {}",
                response.text()
            );
        }
        let refused = send_chat(r#","max_tokens":3,"n":1000000"#).await.unwrap();
        assert_eq!((refused.status, refused.code()), (400, 1101));
        let oversized = send_chat(r#","max_tokens":32768,"n":20"#).await.unwrap();
        assert_eq!(
            (oversized.status, oversized.code()),
            (400, 1204),
            "response: {}",
            oversized.text()
        );
        let seen =
            fleet.fetch_json(fleet.endpoint_address("engine-0"), "/standin/seen").await.to_string()
                + &fleet
                    .fetch_json(fleet.endpoint_address("engine-1"), "/standin/seen")
                    .await
                    .to_string();
        assert!(!seen.contains("max_completion_tokens"), "{seen}");
    });
}
