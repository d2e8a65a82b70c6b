//! Callers' keys: wherever a caller puts its key, the key reaches no endpoint and no log, and a
//! withdrawn key stops working.

use cardamomshore::clock::Time;
use http::Method;
use rustix::process::Signal;

use crate::util::{
    block_on,
    fleet::{CONFIG, Fleet, FleetSpec, KITES_KEY, NUTS_KEY, READY_TIMEOUT},
    http::{Response, call, chat},
    wait_until,
};

/// Path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of the plain service that needs a key.
const STOCK_PATH: &str = "/services/ledger/stock/bamboo";
/// Path of the plain service that needs no key.
const OPEN_PATH: &str = "/services/ledger/open/hours";
/// Body of a chat request; `[]` is replaced to add a prompt.
const CHAT_BODY: &str = r#"{"model":"glue","max_tokens":3,"messages":[]}"#;

/// Sends a request to instance 0 and returns its response.
async fn send_request(
    fleet: &Fleet,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    let body = body.to_owned();
    call(method, fleet.caller_address(0), path, headers, body).await.expect("expected a response")
}

/// A caller can send its key in several headers, the path, the query or the body. The key must be
/// taken out or the request refused; it must not reach endpoints or logs.
#[test]
fn key_in_any_place_reaches_nothing() {
    block_on(async {
        let mut fleet = Fleet::start("keys", FleetSpec::default()).await;
        let bearer = format!("Bearer {KITES_KEY}");
        let mixed_case = format!("bEaReR  {KITES_KEY} ");
        let query = format!("?key={KITES_KEY}&api_key={KITES_KEY}");
        let session = format!("session={KITES_KEY}");
        let json = "application/json";
        let served: Vec<Vec<(&str, &str)>> = vec![
            vec![("authorization", &bearer)],
            vec![("AUTHORIZATION", &mixed_case)],
            vec![("X-Api-Key", KITES_KEY)],
            vec![("authorization", &bearer), ("x-api-key", KITES_KEY)],
            vec![("authorization", &bearer), ("authorization", &bearer)],
            vec![("x-api-key", KITES_KEY), ("cookie", &session), ("referer", &query)],
            vec![("x-api-key", KITES_KEY), ("x-forwarded-for", KITES_KEY), ("te", KITES_KEY)],
            vec![("x-api-key", KITES_KEY), ("x-request-id", KITES_KEY), ("user-agent", KITES_KEY)],
        ];
        for (number, headers) in served.iter().enumerate() {
            // Requests with equal prompts go to one engine, so each prompt differs.
            let body =
                CHAT_BODY.replace("[]", &format!(r#"[{{"role":"user","content":"{number}"}}]"#));
            let headers: Vec<_> = headers.iter().copied().chain([("content-type", json)]).collect();
            let path = format!("{CHAT_PATH}{query}");
            let response = send_request(&fleet, Method::POST, &path, &headers, &body).await;
            assert_eq!(response.status, 200, "headers {headers:?}, response: {}", response.text());
            let path = format!("{STOCK_PATH}{query}");
            let response = send_request(&fleet, Method::GET, &path, &headers, "").await;
            assert_eq!(response.status, 200, "headers {headers:?}, response: {}", response.text());
            let open =
                send_request(&fleet, Method::GET, &format!("{OPEN_PATH}{query}"), &headers, "")
                    .await;
            assert_eq!(open.status, 200, "headers {headers:?}, response: {}", open.text());
        }
        assert_misplaced_refused(&fleet, &bearer).await;
        assert_ambiguous_refused(&fleet, &bearer).await;
        assert_key_not_leaked(&mut fleet).await;
    });
}

/// Checks that requests are refused whose key would be forwarded in the path, the body or a header.
async fn assert_misplaced_refused(fleet: &Fleet, bearer: &str) {
    let key = ("authorization", bearer);
    let body = CHAT_BODY.replace("[]", &format!(r#"[{{"role":"user","content":"{KITES_KEY}"}}]"#));
    let model = CHAT_BODY.replace("glue", KITES_KEY);
    let path = format!("/services/ledger/stock/{KITES_KEY}");
    let payments = "/services/ledger/payments";
    let cases = [
        (Method::POST, CHAT_PATH, vec![key], &*body),
        (Method::POST, CHAT_PATH, vec![key], &model),
        (Method::POST, CHAT_PATH, vec![key, ("accept", bearer)], CHAT_BODY),
        (Method::POST, CHAT_PATH, vec![key, ("content-type", KITES_KEY)], CHAT_BODY),
        (Method::GET, &path, vec![key], ""),
        (Method::POST, payments, vec![key, ("idempotency-key", KITES_KEY)], "{}"),
    ];
    for (method, path, headers, body) in cases {
        let response = send_request(fleet, method, path, &headers, body).await;
        assert_eq!(
            (response.status, response.code()),
            (400, 1005),
            "path {path}, response: {}",
            response.text()
        );
        assert!(response.is_not_run());
    }
}

/// Checks that requests are refused which carry no valid key or more than one.
async fn assert_ambiguous_refused(fleet: &Fleet, bearer: &str) {
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
        let response = send_request(fleet, Method::POST, CHAT_PATH, &headers, CHAT_BODY).await;
        assert_eq!(
            (response.status, response.code()),
            (401, code),
            "headers {headers:?}, response: {}",
            response.text()
        );
        assert!(response.is_not_run());
        assert!(!response.text().contains(KITES_KEY));
    }
}

/// Checks that the key stands in no request that reached an endpoint, in no document for operators
/// and in no log, which includes the debug level.
async fn assert_key_not_leaked(fleet: &mut Fleet) {
    let mut all = String::new();
    for endpoint in ["engine-0", "engine-1", "ledger-0"] {
        let seen =
            fleet.fetch_json(fleet.endpoint_address(endpoint), "/standin/seen").await.to_string();
        assert!(!seen.contains(KITES_KEY), "expected no key at {endpoint}: {seen}");
        all.push_str(&seen);
    }
    for path in ["/v1/chat/completions", "/stock/bamboo", "/open/hours"] {
        assert!(all.contains(path), "expected an endpoint to get {path}");
    }
    for operator in &fleet.operators {
        for path in ["/timeline", "/status", "/config"] {
            let text = fleet.fetch_json(*operator, path).await.to_string();
            assert!(!text.contains(KITES_KEY), "expected no key in {path}");
        }
    }
    let all = fleet.instances.iter().chain(&fleet.engines).chain(&fleet.services);
    for process in all.chain([&fleet.platform_process]) {
        assert!(!process.output().contains(KITES_KEY), "expected no key in the logs");
    }
    assert!(fleet.instances[0].output().contains("DEBUG"), "expected a log at debug level");
}

/// Oversized headers, paths and keys must be refused with the right code.
#[test]
fn key_sizes_are_bounded() {
    block_on(async {
        let fleet = Fleet::start("key-sizes", FleetSpec::default()).await;
        let long = "x".repeat(17 << 10);
        let many: Vec<(String, String)> =
            (0..70).map(|i| (format!("x-h{i}"), "v".to_owned())).collect();
        let many: Vec<(&str, &str)> = many.iter().map(|(k, v)| (&**k, &**v)).collect();
        let path = format!("{STOCK_PATH}?{}", "q".repeat(5 << 10));
        for (path, headers) in
            [(CHAT_PATH, vec![("x-long", long.as_str())]), (CHAT_PATH, many), (&*path, vec![])]
        {
            let response = send_request(&fleet, Method::POST, path, &headers, CHAT_BODY).await;
            assert_eq!(
                (response.status, response.code()),
                (431, 1111),
                "response: {}",
                response.text()
            );
        }
        let key = "k".repeat(600);
        let response =
            send_request(&fleet, Method::POST, CHAT_PATH, &[("x-api-key", &key)], CHAT_BODY).await;
        assert_eq!((response.status, response.code()), (401, 1002));
    });
}

/// Returns [`CONFIG`] without team `hazelnuts`' key.
fn config_without_nuts() -> String {
    CONFIG.replace("  nuts-1: { team: hazelnuts, hash: '{nuts}' }\n", "")
}

/// An instance that has not got the new configuration yet could still accept a withdrawn key.
#[test]
fn key_withdrawn_stops_on_every_instance() {
    block_on(async {
        let spec =
            FleetSpec { instances: vec!["dc-a", "dc-a", "dc-b", "dc-b"], ..FleetSpec::default() };
        let fleet = Fleet::start("key-withdrawn", spec).await;
        for index in 0..4 {
            let served =
                chat(fleet.caller_address(index), NUTS_KEY, "glue", 3, false).await.unwrap();
            assert_eq!(served.status, 200, "response: {}", served.text());
        }
        let start = Time::now();
        fleet.apply_config(1, &config_without_nuts()).await;
        for index in 0..4 {
            wait_until("the key is refused", READY_TIMEOUT, || async {
                let response = chat(fleet.caller_address(index), NUTS_KEY, "glue", 3, false).await;
                response.is_ok_and(|response| response.code() == 1002 && response.is_not_run())
            })
            .await;
        }
        println!("withdrawn key refused at 4 instances after {:?}", Time::now().since(start));
        let other_team = chat(fleet.caller_address(2), KITES_KEY, "glue", 3, false).await.unwrap();
        assert_eq!(other_team.status, 200);
    });
}

/// An instance that was stopped while a key was withdrawn still knows the key when it resumes. It
/// must not serve a request that arrived meanwhile.
#[test]
fn key_withdrawn_while_an_instance_was_frozen() {
    block_on(async {
        let spec = FleetSpec { instances: vec!["dc-a", "dc-b", "dc-b"], ..FleetSpec::default() };
        let fleet = Fleet::start("key-frozen", spec).await;
        fleet.instances[2].signal(Signal::STOP);
        fleet.apply_config(1, &config_without_nuts()).await;
        let stopped = Time::now();
        // The request waits in the socket of the stopped instance.
        let caller = fleet.caller_address(2);
        let request = tokio::spawn(async move { chat(caller, NUTS_KEY, "glue", 3, false).await });
        wait_until("the instance was stopped for 4 seconds", READY_TIMEOUT, || async {
            Time::now().since(stopped).as_secs() >= 4
        })
        .await;
        fleet.instances[2].signal(Signal::CONT);
        let response = request.await.unwrap().unwrap();
        assert!(
            response.is_not_run(),
            "expected a response that says `not-run`: {}",
            response.text()
        );
        assert!(
            [1002, 1301].contains(&response.code()),
            "expected code 1002 or 1301: {}",
            response.text()
        );
    });
}
