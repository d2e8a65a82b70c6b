//! Rate and burst over real processes: overload, a restart and a pause in the middle.

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
    block_on, eventually,
    fleet::{CONFIG, Fleet, KITES_KEY, Plan, READY},
    http::call,
};

const RATE: u64 = 2_000;
const BURST: u64 = 4_000;
const COST: u64 = 50;

fn plan(rate: u64, burst: u64, cost: u64) -> Plan {
    let config = CONFIG
        .replace(
            "kites: { rate: 100000, burst: 400000",
            &format!("kites: {{ rate: {rate}, burst: {burst}"),
        )
        .replace(
            "path: /stock/*, class: chat }",
            &format!("path: /stock/*, class: chat, tokens: {cost} }}"),
        );
    Plan { instances: vec!["dc-a", "dc-a", "dc-b", "dc-b"], config, ..Plan::default() }
}

async fn stock(address: SocketAddr) -> Option<(u16, u64)> {
    let headers = [("x-api-key", KITES_KEY)];
    let answer = call(Method::GET, address, "/services/ledger/stock/a", &headers, "").await.ok()?;
    Some((answer.status, answer.code()))
}

/// Callers that ask without a pause until they are told to stop.
struct Load {
    served: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    fn start(addresses: &[SocketAddr], each: usize) -> Self {
        let (served, over) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let callers = addresses.iter().flat_map(|address| (0..each).map(|_| *address));
        let tasks = callers.map(|address| {
            let (served, over) = (served.clone(), over.clone());
            tokio::spawn(async move {
                while !over.load(Ordering::Relaxed) {
                    if stock(address).await.is_some_and(|(status, _)| status == 200) {
                        served.fetch_add(COST, Ordering::Relaxed);
                    }
                }
            })
        });
        let tasks = tasks.collect();
        Self { served, over, tasks }
    }

    fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    async fn stop(self) -> u64 {
        self.over.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a caller ends");
        }
        self.served.load(Ordering::Relaxed)
    }
}

async fn until_served(load: &Load, tokens: u64) {
    let target = load.served() + tokens;
    eventually("tokens are served", READY, || async { load.served() >= target }).await;
}

#[test]
fn rate_bound_holds_through_restart_and_pause() {
    block_on(async {
        let mut fleet = Fleet::start("rate-bound", plan(RATE, BURST, COST)).await;
        let addresses: Vec<SocketAddr> = (0..4).map(|index| fleet.caller(index)).collect();
        let start = Instant::now();
        let load = Load::start(&addresses, 4);
        until_served(&load, 2 * BURST).await;
        fleet.instances[1].restart();
        until_served(&load, BURST).await;
        fleet.instances[2].signal(Signal::STOP);
        until_served(&load, BURST).await;
        fleet.instances[2].signal(Signal::CONT);
        until_served(&load, 2 * BURST).await;
        let served = load.stop().await;
        let allowed = RATE as f64 * start.elapsed().as_secs_f64() + BURST as f64;
        println!("served {served} of {allowed:.0} tokens in {:?}", start.elapsed());
        assert!(served as f64 <= allowed, "served {served}, allowed {allowed}");
    });
}

#[test]
fn rate_one_instance_gets_the_team_s_rate() {
    block_on(async {
        let fleet = Fleet::start("rate-skew", plan(RATE, BURST, COST)).await;
        let load = Load::start(&[fleet.caller(0)], 8);
        until_served(&load, BURST).await;
        let (start, before) = (Instant::now(), load.served());
        until_served(&load, 5 * RATE).await;
        let (passed, served) = (start.elapsed(), load.served() - before);
        let part = served as f64 / (RATE as f64 * passed.as_secs_f64());
        load.stop().await;
        println!("one of four instances served {part:.3} of the team's rate");
        assert!(part > 0.5, "more than twice its own quarter: {part}");
    });
}

#[test]
fn rate_refused_request_costs_nothing() {
    block_on(async {
        let mut fleet = Fleet::start("rate-refund", plan(300, 600, 500)).await;
        let address = fleet.caller(0);
        eventually("a request of most of the burst is served", READY, || async {
            stock(address).await == Some((200, 0))
        })
        .await;
        fleet.services[0].kill();
        eventually("the endpoint is known to be gone", READY, || async {
            stock(address).await.is_some_and(|(_, code)| code == 1304)
        })
        .await;
        for _ in 0..5 {
            let (status, code) = stock(address).await.expect("an answer");
            assert_eq!((status, code), (503, 1304));
        }
    });
}

#[test]
fn rate_outage_changes_nothing() {
    block_on(async {
        let fleet = Fleet::start("rate-outage", plan(RATE, BURST, COST)).await;
        let down = serde_json::json!({ "down": true });
        fleet.set_faults(fleet.platform, down).await;
        let start = Instant::now();
        let addresses: Vec<SocketAddr> = (0..4).map(|index| fleet.caller(index)).collect();
        let load = Load::start(&addresses, 2);
        until_served(&load, 10 * RATE).await;
        let later = Duration::from_secs(9);
        eventually("the outage lasts", READY, || async { start.elapsed() > later }).await;
        until_served(&load, 2 * RATE).await;
        load.stop().await;
    });
}

#[test]
fn rate_answer_is_bounded_by_the_charge() {
    block_on(async {
        let fleet = Fleet::start("rate-answer", Plan::default()).await;
        let headers = [("x-api-key", KITES_KEY)];
        let ask = |fields: &str| {
            let body = format!(r#"{{"model":"glue","messages":[]{fields}}}"#);
            call(Method::POST, fleet.caller(0), "/v1/chat/completions", &headers, body)
        };
        let cases = [
            (r#","max_completion_tokens":7"#, 7),
            (r#","max_tokens":9,"max_completion_tokens":5"#, 5),
            (r#","max_tokens":3"#, 3),
        ];
        for (fields, tokens) in cases {
            let answer = ask(fields).await.unwrap();
            let text = answer.json()["choices"][0]["message"]["content"].clone();
            assert_eq!(text, crate::util::http::expected_text(tokens), "{}", answer.text());
        }
        let refused = ask(r#","max_tokens":3,"n":1000000"#).await.unwrap();
        assert_eq!((refused.status, refused.code()), (400, 1101));
        let large = ask(r#","max_tokens":32768,"n":20"#).await.unwrap();
        assert_eq!((large.status, large.code()), (400, 1204), "{}", large.text());
        let seen = fleet.read(fleet.endpoint("engine-0"), "/standin/seen").await.to_string()
            + &fleet.read(fleet.endpoint("engine-1"), "/standin/seen").await.to_string();
        assert!(!seen.contains("max_completion_tokens"), "{seen}");
    });
}
