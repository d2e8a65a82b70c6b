//! A key in every place where a caller could put it, and withdrawn keys, over real processes.

use cardamomshore::clock::Time;
use http::Method;
use rustix::process::Signal;

use crate::util::{
    block_on, eventually,
    fleet::{CONFIG, Fleet, KITES_KEY, NUTS_KEY, Plan, READY},
    http::{Answer, call, chat},
};

const CHAT: &str = "/v1/chat/completions";
const STOCK: &str = "/services/ledger/stock/bamboo";
const OPEN: &str = "/services/ledger/open/hours";
const BODY: &str = r#"{"model":"glue","max_tokens":3,"messages":[]}"#;

async fn ask(
    fleet: &Fleet,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let body = body.to_owned();
    call(method, fleet.caller(0), path, headers, body).await.expect("an answer")
}

#[test]
fn key_in_any_place_reaches_nothing() {
    block_on(async {
        let mut fleet = Fleet::start("keys", Plan::default()).await;
        let bearer = format!("Bearer {KITES_KEY}");
        let odd = format!("bEaReR  {KITES_KEY} ");
        let query = format!("?key={KITES_KEY}&api_key={KITES_KEY}");
        let session = format!("session={KITES_KEY}");
        let json = "application/json";
        let served: Vec<Vec<(&str, &str)>> = vec![
            vec![("authorization", &bearer)],
            vec![("AUTHORIZATION", &odd)],
            vec![("X-Api-Key", KITES_KEY)],
            vec![("authorization", &bearer), ("x-api-key", KITES_KEY)],
            vec![("authorization", &bearer), ("authorization", &bearer)],
            vec![("x-api-key", KITES_KEY), ("cookie", &session), ("referer", &query)],
            vec![("x-api-key", KITES_KEY), ("x-forwarded-for", KITES_KEY), ("te", KITES_KEY)],
            vec![("x-api-key", KITES_KEY), ("x-request-id", KITES_KEY), ("user-agent", KITES_KEY)],
        ];
        for (number, headers) in served.iter().enumerate() {
            // Each prompt differs, so that no engine is the home of all.
            let body = BODY.replace("[]", &format!(r#"[{{"role":"user","content":"{number}"}}]"#));
            let headers: Vec<_> = headers.iter().copied().chain([("content-type", json)]).collect();
            let path = format!("{CHAT}{query}");
            let answer = ask(&fleet, Method::POST, &path, &headers, &body).await;
            assert_eq!(answer.status, 200, "{headers:?} {}", answer.text());
            let path = format!("{STOCK}{query}");
            let answer = ask(&fleet, Method::GET, &path, &headers, "").await;
            assert_eq!(answer.status, 200, "{headers:?} {}", answer.text());
            let open = ask(&fleet, Method::GET, &format!("{OPEN}{query}"), &headers, "").await;
            assert_eq!(open.status, 200, "{headers:?} {}", open.text());
        }
        refuse_misplaced(&fleet, &bearer).await;
        refuse_unclear(&fleet, &bearer).await;
        assert_nowhere(&mut fleet).await;
    });
}

/// Requests whose key would be forwarded with the path, the body or a header.
async fn refuse_misplaced(fleet: &Fleet, bearer: &str) {
    let key = ("authorization", bearer);
    let body = BODY.replace("[]", &format!(r#"[{{"role":"user","content":"{KITES_KEY}"}}]"#));
    let model = BODY.replace("glue", KITES_KEY);
    let path = format!("/services/ledger/stock/{KITES_KEY}");
    let payments = "/services/ledger/payments";
    let cases = [
        (Method::POST, CHAT, vec![key], &*body),
        (Method::POST, CHAT, vec![key], &model),
        (Method::POST, CHAT, vec![key, ("accept", bearer)], BODY),
        (Method::POST, CHAT, vec![key, ("content-type", KITES_KEY)], BODY),
        (Method::GET, &path, vec![key], ""),
        (Method::POST, payments, vec![key, ("idempotency-key", KITES_KEY)], "{}"),
    ];
    for (method, path, headers, body) in cases {
        let answer = ask(fleet, method, path, &headers, body).await;
        assert_eq!((answer.status, answer.code()), (400, 1005), "{path} {}", answer.text());
        assert!(answer.is_not_run());
    }
}

/// Requests of which it is not clear for whom they come.
async fn refuse_unclear(fleet: &Fleet, bearer: &str) {
    let basic = format!("Basic {KITES_KEY}");
    let cases: Vec<(Vec<(&str, &str)>, u64)> = vec![
        (vec![], 1001),
        (vec![("cookie", KITES_KEY)], 1001),
        (vec![("authorization", "Bearer ")], 1002),
        (vec![("authorization", &basic)], 1002),
        (vec![("x-api-key", "")], 1002),
        (vec![("authorization", ""), ("x-api-key", KITES_KEY)], 1002),
        (vec![("authorization", bearer), ("x-api-key", NUTS_KEY)], 1004),
        (vec![("x-api-key", KITES_KEY), ("x-api-key", NUTS_KEY)], 1004),
        (vec![("x-api-key", KITES_KEY), ("x-api-key", "")], 1002),
    ];
    for (headers, code) in cases {
        let answer = ask(fleet, Method::POST, CHAT, &headers, BODY).await;
        assert_eq!((answer.status, answer.code()), (401, code), "{headers:?} {}", answer.text());
        assert!(answer.is_not_run());
        assert!(!answer.text().contains(KITES_KEY));
    }
}

/// Checks what the endpoints saw, the time lines and the logs at debug level.
async fn assert_nowhere(fleet: &mut Fleet) {
    let mut all = String::new();
    for endpoint in ["engine-0", "engine-1", "ledger-0"] {
        let seen = fleet.read(fleet.endpoint(endpoint), "/standin/seen").await.to_string();
        assert!(!seen.contains(KITES_KEY), "{endpoint} saw {seen}");
        all.push_str(&seen);
    }
    for path in ["/v1/chat/completions", "/stock/bamboo", "/open/hours"] {
        assert!(all.contains(path), "no endpoint saw {path}");
    }
    for operator in &fleet.operators {
        for path in ["/timeline", "/status", "/config"] {
            let text = fleet.read(*operator, path).await.to_string();
            assert!(!text.contains(KITES_KEY), "{path} shows the key");
        }
    }
    let all = fleet.instances.iter().chain(&fleet.engines).chain(&fleet.services);
    for process in all.chain([&fleet.platform_process]) {
        assert!(!process.output().contains(KITES_KEY), "a log shows the key");
    }
    assert!(fleet.instances[0].output().contains("DEBUG"), "the log is not at debug level");
}

#[test]
fn key_sizes_are_bounded() {
    block_on(async {
        let fleet = Fleet::start("key-sizes", Plan::default()).await;
        let long = "x".repeat(17 << 10);
        let many: Vec<(String, String)> =
            (0..70).map(|i| (format!("x-h{i}"), "v".to_owned())).collect();
        let many: Vec<(&str, &str)> = many.iter().map(|(k, v)| (&**k, &**v)).collect();
        let path = format!("{STOCK}?{}", "q".repeat(5 << 10));
        for (path, headers) in
            [(CHAT, vec![("x-long", long.as_str())]), (CHAT, many), (&*path, vec![])]
        {
            let answer = ask(&fleet, Method::POST, path, &headers, BODY).await;
            assert_eq!((answer.status, answer.code()), (431, 1111), "{}", answer.text());
        }
        let key = "k".repeat(600);
        let answer = ask(&fleet, Method::POST, CHAT, &[("x-api-key", &key)], BODY).await;
        assert_eq!((answer.status, answer.code()), (401, 1002));
    });
}

fn without_nuts() -> String {
    CONFIG.replace("  nuts-1: { team: hazelnuts, hash: '{nuts}' }\n", "")
}

#[test]
fn key_withdrawn_stops_on_every_instance() {
    block_on(async {
        let plan = Plan { instances: vec!["dc-a", "dc-a", "dc-b", "dc-b"], ..Plan::default() };
        let fleet = Fleet::start("key-withdrawn", plan).await;
        for index in 0..4 {
            let served = chat(fleet.caller(index), NUTS_KEY, "glue", 3, false).await.unwrap();
            assert_eq!(served.status, 200, "{}", served.text());
        }
        let start = Time::now();
        fleet.apply(1, &without_nuts()).await;
        for index in 0..4 {
            eventually("the key is refused", READY, || async {
                let answer = chat(fleet.caller(index), NUTS_KEY, "glue", 3, false).await;
                answer.is_ok_and(|answer| answer.code() == 1002 && answer.is_not_run())
            })
            .await;
        }
        println!("withdrawn key refused at 4 instances after {:?}", Time::now().since(start));
        let kept = chat(fleet.caller(2), KITES_KEY, "glue", 3, false).await.unwrap();
        assert_eq!(kept.status, 200);
    });
}

#[test]
fn key_withdrawn_while_an_instance_was_frozen() {
    block_on(async {
        let plan = Plan { instances: vec!["dc-a", "dc-b", "dc-b"], ..Plan::default() };
        let fleet = Fleet::start("key-frozen", plan).await;
        fleet.instances[2].signal(Signal::STOP);
        fleet.apply(1, &without_nuts()).await;
        let stopped = Time::now();
        // The request waits in the frozen instance's socket.
        let caller = fleet.caller(2);
        let asked = tokio::spawn(async move { chat(caller, NUTS_KEY, "glue", 3, false).await });
        eventually("the freeze is longer than the bound", READY, || async {
            Time::now().since(stopped).as_secs() >= 4
        })
        .await;
        fleet.instances[2].signal(Signal::CONT);
        let answer = asked.await.unwrap().unwrap();
        assert!(answer.is_not_run(), "{}", answer.text());
        assert!([1002, 1301].contains(&answer.code()), "{}", answer.text());
    });
}
