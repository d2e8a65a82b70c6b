//! Decoding of the platform's documents, entries, reports and headers, and of the gateway's settings.

use std::time::Duration;

use cardamomshore::{
    catalog::{FetchSpec, RetryPolicy},
    gateway::settings::GatewaySettings,
    kernel::grants::LoadFigures,
    platform::{caller, catalog, engine, registration},
};
use http::{HeaderMap, HeaderValue, Request, StatusCode};

const DOCUMENT: &str = r#"{"version":7,"routes":[
    {"name":"r1","host":"Shop.example","path_prefix":"/a/","type":"streaming","timeout_ms":5000,
     "target_latency_ms":800,"priority":1,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
     "max_attempts":2,"public":false,"resumable":true},
    {"name":"r2","host":"shop.example","path_prefix":"/a/b/","type":"non_idempotent","timeout_ms":600,
     "target_latency_ms":100,"priority":2,"service":"s2","max_attempts":1,"public":true}],
  "services":[{"name":"s1","health_path":"/h","max_conns":9,"cold_start_s":3.0,"cold_per_s":6.5,
     "engine":{"slots":64,"kv_capacity_tokens":232000,"weights_mb":200000.0,"adapter_slots":8,"loads_per_s":2.1,
     "kv_token_bytes":163840,"link_mbps":700000,
     "models":[{"name":"m","weights_mb":65100.0,"load_s":3.8,"adapters":3,"adapter_mb":12.0,"warm_s":0.38}]}}],
  "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"unit":"tokens","plain_tokens":200,
     "rate_per_s":1000,"burst":500}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

#[test]
fn document_decoded() {
    let catalog = catalog::decode(DOCUMENT.as_bytes()).expect("the document is valid");
    assert_eq!(catalog.version, 7);
    let long = catalog.route("shop.example", "/a/b/c").expect("a route matches");
    assert_eq!((&*long.name, long.retry), ("r2", RetryPolicy::Once), "the longest prefix wins");
    let short = catalog.route("shop.example", "/a/c").expect("a route matches");
    assert_eq!(short.retry, RetryPolicy::Stream { resumable: true });
    assert_eq!(short.target_latency, Duration::from_millis(800));
    assert!(catalog.route("shop.example", "/b/").is_none());
    assert_eq!(&*catalog.keys["k2"].name, "t");
    let engine = catalog.services["s1"].engine.as_ref().expect("the service has engines");
    assert_eq!(
        engine.models["m"].disk_time,
        Duration::from_millis(3_800),
        "without a disk time, the load time counts"
    );
    assert_eq!(engine.models["m"].memory_time, Duration::from_millis(380));
    assert_eq!(engine.fetch, Some(FetchSpec { token_bytes: 163_840.0, link_mbps: 700_000.0 }));
}

/// Guards against engines that are told to fetch although the document does not say how.
#[test]
fn document_without_fetch_fields() {
    let fields = [("kv_token_bytes", "163840"), ("link_mbps", "700000")];
    for (name, value) in fields {
        let field = format!("\"{name}\":{value},");
        for text in [String::new(), field.replace(value, "0")] {
            let document = DOCUMENT.replace(&field, &text);
            assert_ne!(document, DOCUMENT);
            let catalog = catalog::decode(document.as_bytes()).expect("the document is valid");
            let engine = catalog.services["s1"].engine.as_ref().expect("the service has engines");
            assert_eq!(engine.fetch, None, "{name}: {text:?}");
        }
    }
}

#[test]
fn document_split_follows_weights() {
    let catalog = catalog::decode(DOCUMENT.as_bytes()).expect("the document is valid");
    let route = catalog.route("shop.example", "/a/c").expect("a route matches");
    let first =
        (0..100_000).filter(|draw| route.choose_service(*draw).is_some_and(|s| &**s == "s1"));
    assert_eq!(first.count(), 90_000);
}

#[test]
fn document_huge_times_decoded() {
    let huge = DOCUMENT.replace("\"load_s\":3.8", "\"load_s\":1e300");
    let huge = huge.replace("\"idle_timeout_ms\":15000", "\"idle_timeout_ms\":1e300");
    let catalog = catalog::decode(huge.as_bytes()).expect("the document is valid");
    assert!(catalog.limits.idle_timeout >= Duration::from_secs(3_600));
}

#[test]
fn document_malformed_rejected() {
    assert!(catalog::decode(b"{").is_err());
    let unknown = DOCUMENT.replace("\"streaming\"", "\"unknown\"");
    assert!(catalog::decode(unknown.as_bytes()).is_err());
}

const ENTRY: &str = r#"{"service":"s1","address":"10.0.0.9:80","zone":"a","slots":64,"state":"ready",
    "cold_remaining_ms":1500,"seq":9,"born":1700000000000,
    "models":[{"name":"m","version":1,"adapters":["a1"]}],"at_hand":{"in_memory":["m"],"on_disk":[]}}"#;

#[test]
fn entry_decoded() {
    let entry = registration::decode("i-1", ENTRY.as_bytes()).expect("the entry is valid");
    assert_eq!(entry.cold_remaining, Duration::from_millis(1_500));
    assert_eq!(entry.incarnation.0, 1_700_000_000_000);
    assert_eq!(entry.models, [("m".into(), vec!["a1".into()])]);
    assert!(!entry.draining);
}

#[test]
fn entry_nonsense_names_no_endpoint() {
    let cases = [
        "not json".to_owned(),
        "{}".to_owned(),
        ENTRY.replace("\"ready\"", "\"broken\""),
        ENTRY.replace("\"10.0.0.9:80\"", "12"),
        ENTRY.replace("\"born\":1700000000000", "\"born\":\"x\""),
        ENTRY.replace("\"cold_remaining_ms\":1500", "\"cold_remaining_ms\":1e300"),
        ENTRY.replace("\"seq\":9", "\"remaining_ms\":1e300"),
        ENTRY.replace("\"seq\":9", "\"remaining_ms\":1e400"),
        ENTRY.replace("\"slots\":64", "\"slots\":99999999999"),
        ENTRY.replace("10.0.0.9:80", "10.0.0.9:70000"),
        ENTRY.replace("\"seq\":9", &format!("\"version\":{}1", "[".repeat(100_000))),
        ENTRY.replace("\"seq\":9", &format!("\"other\":{}1", "{\"a\":".repeat(100_000))),
    ];
    for case in cases {
        assert_eq!(registration::decode("i-1", case.as_bytes()), None, "{case}");
    }
}

fn head(headers: &[(&'static str, &str)]) -> http::request::Parts {
    let mut request = Request::builder().uri("/a/x?q=1");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).expect("the request is valid").into_parts().0
}

#[test]
fn caller_head_decoded() {
    let parts = head(&[
        ("host", "Shop.example:8221"),
        ("x-request-id", "9c41"),
        ("x-model", "m/a3"),
        ("x-token-count", "1460,80"),
        ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410"),
        ("x-deadline-ms", "4000"),
        ("authorization", "Token k1"),
    ]);
    let head = caller::decode(&parts);
    assert_eq!(head.host, "shop.example");
    assert_eq!((head.model.as_deref(), head.adapter.as_deref()), (Some("m"), Some("a3")));
    assert_eq!(head.tokens, Some((1_460, 80)));
    assert_eq!(head.parts, [(0x5c1e_07a2, 800), (0x91bd_3f06, 410)]);
    assert_eq!(head.timeout, Some(Duration::from_secs(4)));
    assert_eq!(head.key.as_deref(), Some("k1"));
}

#[test]
fn request_headers_show_no_key_and_nothing_forged() {
    let parts = head(&[
        ("host", "shop.example"),
        ("authorization", "Token k1"),
        ("x-tenant", "forged"),
        ("x-hold", "1"),
        ("x-pin-ms", "4000"),
        ("x-kv-backup", "10.0.0.1:1"),
        ("kv-from", "10.0.0.1:1/x"),
        ("kv-fetch", "10.0.0.1:1"),
        ("x-request-priority", "0"),
        ("connection", "x-hop, keep-alive"),
        ("x-hop", "1"),
        ("x-kept", "1"),
    ]);
    let added = caller::AddedHeaders {
        holder: None,
        endpoint: "i-1",
        team: Some("t"),
        time_left: Duration::from_millis(900),
        priority: None,
        after: Some(12),
    };
    let headers = caller::request_headers(&parts.headers, &added);
    let mut names: Vec<&str> = headers.keys().map(|name| name.as_str()).collect();
    names.sort_unstable();
    let expected =
        ["host", "last-event-id", "x-deadline-ms", "x-expect-instance", "x-kept", "x-tenant"];
    assert_eq!(names, expected);
    assert_eq!(headers["x-tenant"], "t");
    assert_eq!(headers["x-deadline-ms"], "900");
    let holder = Some("10.0.0.2:8000".parse().expect("an address"));
    let added = caller::AddedHeaders { holder, ..added };
    let headers = caller::request_headers(&parts.headers, &added);
    let holders: Vec<_> = headers.get_all("kv-fetch").iter().collect();
    assert_eq!(holders, ["10.0.0.2:8000"], "the holder that was granted, not the caller's");
}

#[test]
fn response_head_not_run() {
    let mut headers = HeaderMap::new();
    assert!(caller::response_head(StatusCode::MISDIRECTED_REQUEST, &headers).not_run);
    assert!(!caller::response_head(StatusCode::SERVICE_UNAVAILABLE, &headers).not_run);
    headers.insert("x-not-executed", HeaderValue::from_static("1"));
    headers.insert("keep-alive", HeaderValue::from_static("timeout=10, max=5"));
    headers.insert("x-server-load", HeaderValue::from_static("3,1,8"));
    let head = caller::response_head(StatusCode::SERVICE_UNAVAILABLE, &headers);
    assert!(head.not_run);
    let load = LoadFigures { running: 3, waiting: 1, slots: Some(8), pace: None };
    assert_eq!((head.load, head.keep_alive), (Some(load), Some(Duration::from_secs(10))));
}

#[test]
fn report_decoded() {
    let text = br#"{"stage":"unified","models":[{"name":"m","version":1,"adapters":["a1"]}],"busy":true,
        "seq":4,"queued_requests":1,"running":12,"kv_used":41000,"kv_total":90000,"coming":["m/a2@1"]}"#;
    let report = engine::decode_report(text).expect("the report is valid");
    assert_eq!((report.orders, report.busy), (4, true));
    assert_eq!(report.loading_adapters, [("m".into(), "a2".into())]);
}

/// Returns the template of the settings with its placeholders filled in, as the platform does.
fn filled_template() -> String {
    fill_template(&[])
}

/// Returns the template with the placeholders of the duties filled in too.
fn fill_template(duties: &[(&str, &str)]) -> String {
    let values = [
        ("node", "edge-1"),
        ("zone", "a"),
        ("ip", "10.0.0.1"),
        ("listen.front", "10.0.0.1:1"),
        ("listen.directory", "10.0.0.1:2"),
        ("listen.ready", "10.0.0.1:3"),
        ("internal_ports.0", "7600"),
        ("internal_ports.1", "7615"),
        ("platform.address", "10.0.0.9:4"),
        ("limits.cpu_share", "0.25"),
        ("limits.link_mbps", "1000.0"),
        ("bounds.retry_budget_ratio", "0.2"),
        ("bounds.retry_slack", "58"),
        ("bounds.budget_window_s", "10"),
        ("bounds.ceiling_window_s", "5"),
        ("bounds.quota_slack", "110000"),
        ("bounds.lease_ms", "3000"),
        ("bounds.grace_s", "8"),
        ("bounds.ttl_max_s", "5"),
        ("bounds.drain_ms", "2000"),
        ("limits.memory_mb", "120"),
        ("limits.max_fds", "3075"),
    ];
    let mut text = include_str!("../../deploy/gateway.yaml").to_owned();
    let (begin, end) = ("{{#cloud.address}}", "{{/cloud.address}}");
    if duties.is_empty() {
        let (from, to) = (text.find(begin).expect("a section"), text.find(end).expect("its end"));
        text.replace_range(from..to, "");
    }
    text = text.replace(begin, "").replace(end, "");
    for (name, value) in values.iter().chain(duties) {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

#[test]
fn template_gives_settings() {
    let settings = GatewaySettings::parse(&filled_template()).expect("the settings are valid");
    assert_eq!(&*settings.instance, "edge-1");
    assert_eq!(settings.metrics.port(), 7_615);
    assert_eq!(settings.order_gap, Duration::from_secs(3));
    assert_eq!(settings.resources.strength(), 1_000);
}

/// Guards against a process that does not start with the settings of an older template, and against a
/// budget beyond the limits of the machine.
#[test]
fn settings_without_limits_of_machine_have_a_budget() {
    let with = GatewaySettings::parse(&filled_template()).expect("the settings are valid");
    assert_eq!(with.intake.bytes, 36 << 20);
    assert_eq!(with.intake.sockets, 1_382, "0.6 of the bytes, 16 kB a connection");
    let text: Vec<String> = filled_template()
        .lines()
        .filter(|line| !line.contains("memory_mb") && !line.contains("max_fds"))
        .map(str::to_owned)
        .collect();
    let without = GatewaySettings::parse(&text.join("\n")).expect("the settings are valid");
    assert_eq!(without.intake.bytes, 48 << 20);
    let wrong = format!("{}\nintake: {{ peer_fraction: 0 }}\n", filled_template());
    let error = GatewaySettings::parse(&wrong).expect_err("the fraction is not valid").to_string();
    assert!(error.contains("intake.peer_fraction"), "{error}");
}

const DUTIES: [(&str, &str); 5] = [
    ("cloud.address", "10.0.0.7:90"),
    ("cloud.duties", "usage_reporting,autoscaling"),
    ("cloud.duty_per_s", "50"),
    ("bounds.window_s", "5"),
    ("bounds.usage_late_s", "10"),
];

/// Guards against duties on a platform that has no API for them.
#[test]
fn template_without_api_gives_no_duties() {
    let settings = GatewaySettings::parse(&filled_template()).expect("the settings are valid");
    assert_eq!(settings.duties, None);
    let mut empty = DUTIES;
    empty[0].1 = "";
    let settings = GatewaySettings::parse(&fill_template(&empty)).expect("the settings are valid");
    assert_eq!(settings.duties, None);
}

/// Guards against duties that the platform names and nobody carries out.
#[test]
fn template_gives_duties() {
    let settings = GatewaySettings::parse(&fill_template(&DUTIES)).expect("the settings are valid");
    let duties = settings.duties.expect("there are duties");
    assert!(duties.usage && duties.scaling);
    assert_eq!(duties.address.to_string(), "10.0.0.7:90");
    assert_eq!(duties.limits.window, Duration::from_secs(5));
    let usage_only = DUTIES.map(|(name, value)| match name {
        "cloud.duties" => (name, "usage_reporting"),
        _ => (name, value),
    });
    let settings = GatewaySettings::parse(&fill_template(&usage_only)).expect("valid settings");
    assert!(settings.duties.is_some_and(|duties| duties.usage && !duties.scaling));
}

#[test]
fn settings_name_the_wrong_field() {
    let text = filled_template().replace("10.0.0.9:4", "nowhere");
    let error = GatewaySettings::parse(&text).expect_err("the address is not valid").to_string();
    assert!(error.contains("store"), "{error}");
}

fn refusal(id: Option<&str>) -> caller::ResponseHead {
    let mut headers = http::HeaderMap::new();
    headers.insert("x-not-executed", HeaderValue::from_static("1"));
    if let Some(id) = id {
        headers.insert("x-request-id", HeaderValue::from_str(id).expect("a header value"));
    }
    caller::response_head(StatusCode::SERVICE_UNAVAILABLE, &headers)
}

#[test]
fn refusal_on_used_connection_must_name_request() {
    assert!(refusal(Some("a1")).refuses("a1", false));
    assert!(!refusal(None).refuses("a1", false), "it may be an earlier one, sent once more");
    assert!(refusal(None).refuses("a1", true), "nothing came before it on this connection");
    assert!(!refusal(Some("b2")).refuses("a1", true), "it is that of another request");
}

#[test]
fn response_head_says_leaving_pause_and_brittle() {
    let mut headers = http::HeaderMap::new();
    let sound = caller::response_head(StatusCode::OK, &headers);
    assert_eq!((sound.leaving, sound.pause, sound.max_refusals), (false, None, None));
    headers.insert("server-leaving", HeaderValue::from_static("1"));
    headers.insert("server-brittle", HeaderValue::from_static("6"));
    headers.insert("retry-after", HeaderValue::from_static("2.5"));
    let head = caller::response_head(StatusCode::SERVICE_UNAVAILABLE, &headers);
    assert!(head.leaving);
    assert_eq!(head.max_refusals, Some(6));
    assert_eq!(head.pause, Some(std::time::Duration::from_millis(2_500)));
    let head = caller::response_head(StatusCode::OK, &headers);
    assert_eq!(head.pause, None, "only a refusal asks for a pause");
}

#[test]
fn response_to_other_call_says_nothing_of_the_order() {
    let mut headers = HeaderMap::new();
    let new = |headers: &HeaderMap| {
        engine::OrderResponse::new(StatusCode::ACCEPTED, engine::answers(headers, "c1"))
    };
    assert_eq!(new(&headers), engine::OrderResponse::Accepted, "engines need not name the call");
    headers.insert("x-request-id", HeaderValue::from_static("c1"));
    assert_eq!(new(&headers), engine::OrderResponse::Accepted);
    headers.insert("x-request-id", HeaderValue::from_static("another"));
    assert_eq!(new(&headers), engine::OrderResponse::OfOther);
}
