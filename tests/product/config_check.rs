//! The check of documents of the users' platform: its findings, its comparison and its exit codes.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::Command,
    sync::{Arc, mpsc},
};

use cardamomshore::{
    platform::catalog::{
        check::{Rule, Severity, check, check_version},
        decode,
        diff::compare,
    },
    soak::process::free_address,
    standin::{
        metadata::{MetadataStore, StoreAddress},
        operator::Document,
    },
};
use expect_test::{Expect, expect};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const GOOD: &str = r#"{"version": 7,
 "routes": [
  {"name": "chat", "host": "shop.example", "path_prefix": "/chat/", "type": "streaming",
   "timeout_ms": 5000, "target_latency_ms": 800, "gap_aim_ms": 200,
   "split": [{"service": "new", "weight": 10}, {"service": "old", "weight": 90}]},
  {"name": "pay", "host": "shop.example", "path_prefix": "/pay/", "type": "non_idempotent",
   "timeout_ms": 600, "target_latency_ms": 100, "service": "desk", "max_attempts": 2}],
 "services": [
  {"name": "new", "engine": {"slots": 64, "kv_capacity_tokens": 232000, "weights_mb": 100,
   "adapter_slots": 8, "loads_per_s": 2.1,
   "models": [{"name": "m", "weights_mb": 80, "load_s": 3.8, "adapter_mb": 12}]}},
  {"name": "old", "scaling": {"min": 1, "max": 4}},
  {"name": "desk", "health_path": "/h"}],
 "tenants": [
  {"name": "t", "api_keys": ["secret-1", "secret-2"], "plain_tokens": 200,
   "rate_per_s": 1000, "burst": 500}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
"#;

/// Returns [`GOOD`] with its first `old` replaced.
fn replaced(old: &str, new: &str) -> String {
    assert!(GOOD.contains(old), "{old}");
    GOOD.replacen(old, new, 1)
}

/// Returns the findings of a document, one a line.
fn findings(text: &str) -> String {
    check(text).iter().map(|finding| format!("{finding}\n")).collect()
}

/// Checks the findings of [`GOOD`] with its first `old` replaced.
fn assert_found(old: &str, new: &str, expected: &Expect) {
    expected.assert_eq(&findings(&replaced(old, new)));
}

/// Guards against findings in a document that is fine, whatever its layout.
#[test]
fn document_good_has_no_findings() {
    assert_eq!(findings(GOOD), "");
    assert_eq!(findings(&GOOD.replace('\n', "")), "");
    assert_eq!(findings(&GOOD.replace("\n ", "\r\n\t\t")), "");
}

/// Guards against rules that a document of a fleet that serves breaks.
#[test]
fn document_of_soak_has_no_findings() {
    let document = Document {
        version: 1,
        host: "soak.example",
        models: &["m0", "m1"],
        team: "kites",
        keys: vec!["k1"],
        added: vec!["added0".to_owned()],
        scaling: Some(2),
        fetches: true,
    };
    assert_eq!(findings(&document.to_text()), "");
}

/// Guards against entries that no request can reach and that nobody notices.
#[test]
fn document_entries_that_never_match() {
    let second_chat = r#""name": "pay", "host": "SHOP.example", "path_prefix": "/chat/""#;
    let pay = r#""name": "pay", "host": "shop.example", "path_prefix": "/pay/""#;
    assert_found(
        pay,
        second_chat,
        &expect![[r#"
        line 6: error: routes[1].path_prefix: route chat has the same host and path prefix [same-prefix]
    "#]],
    );
    assert_found(
        r#""/pay/""#,
        r#""pay/""#,
        &expect![[r#"
        line 6: error: routes[1].path_prefix: "pay/" does not begin and end with a slash [prefix-slash]
    "#]],
    );
    assert_found(
        r#""/pay/""#,
        r#""/pay""#,
        &expect![[r#"
        line 6: error: routes[1].path_prefix: "/pay" does not begin and end with a slash [prefix-slash]
    "#]],
    );
    assert_found(
        r#""host": "shop.example""#,
        r#""host": "shop.example:443""#,
        &expect![[r#"
        line 3: error: routes[0].host: no request has the host "shop.example:443"; write a name only [unmatched-host]
    "#]],
    );
    assert_found(
        r#""service": "desk""#,
        r#""service": "desks""#,
        &expect![[r#"
        line 7: error: routes[1].service: there is no service desks [unknown-service]
        line 13: warning: services[2]: no route leads to service desk [unused-service]
    "#]],
    );
    assert_found(
        r#""service": "new""#,
        r#""service": "news""#,
        &expect![[r#"
        line 5: error: routes[0].split[0].service: there is no service news [unknown-service]
        line 9: warning: services[0]: no route leads to service new [unused-service]
    "#]],
    );
    assert_found(
        r#""service": "desk", "#,
        "",
        &expect![[r#"
        line 6: error: routes[1]: there is no service and no split [no-service]
        line 13: warning: services[2]: no route leads to service desk [unused-service]
    "#]],
    );
    assert_found(
        r#""weight": 10"#,
        r#""weight": 0"#,
        &expect![[r#"
        line 5: error: routes[0].split[0].weight: with weight 0 the service new gets no requests [zero-weight]
    "#]],
    );
    assert_found(
        r#""weight": 10"#,
        r#""weight": 1e9"#,
        &expect![[r#"
        line 5: error: routes[0].split: the weights add up to too much; divide all by the same number [large-weights]
    "#]],
    );
    assert_found(
        r#""name": "old", "scaling""#,
        r#""name": "new", "scaling""#,
        &expect![[r#"
        line 5: error: routes[0].split[1].service: there is no service old [unknown-service]
        line 12: error: services[1].name: an earlier entry is named new too [same-name]
    "#]],
    );
    assert_found(
        r#""secret-2""#,
        r#""secret-1""#,
        &expect![[r#"
        line 15: error: tenants[0].api_keys[1]: team t has the same key [same-key]
    "#]],
    );
    assert_found(
        r#""version": 7"#,
        r#""version": 0"#,
        &expect![[r#"
        line 1: error: version: instances ignore version 0; write a version above that in force [version]
    "#]],
    );
}

/// Guards against limits that contradict each other, which let every request of a route fail.
#[test]
fn document_limits_that_contradict() {
    assert_found(
        r#""timeout_ms": 600"#,
        r#""timeout_ms": 99.5"#,
        &expect![[r#"
        line 7: error: routes[1].timeout_ms: 99.5 is below target_latency_ms, which is 100 [timeout-below-target]
    "#]],
    );
    assert_found(
        r#""gap_aim_ms": 200"#,
        r#""gap_aim_ms": 5001"#,
        &expect![[r#"
        line 4: error: routes[0].gap_aim_ms: 5001 is above timeout_ms, which is 5000 [pause-above-timeout]
    "#]],
    );
    assert_found(
        r#""max_attempts": 2"#,
        r#""max_attempts": 0"#,
        &expect![[r#"
        line 7: error: routes[1].max_attempts: 0 attempts serve no request; write 1 or more [no-attempts]
    "#]],
    );
    assert_found(
        r#""burst": 500"#,
        r#""burst": 199"#,
        &expect![[r#"
        line 16: error: tenants[0].burst: 199 is below plain_tokens, which is 200: one request needs more than the burst [burst-below-request]
    "#]],
    );
    assert_found(
        r#""weights_mb": 80"#,
        r#""weights_mb": 101"#,
        &expect![[r#"
        line 11: error: services[0].engine.models[0].weights_mb: m needs 101 MB, and an engine has 100 MB [model-too-large]
    "#]],
    );
    assert_found(
        r#""adapter_mb": 12"#,
        r#""adapter_mb": 101"#,
        &expect![[r#"
        line 11: error: services[0].engine.models[0].adapter_mb: an adapter needs 101 MB, and an engine has 100 MB [adapter-too-large]
    "#]],
    );
    assert_found(
        r#""adapter_mb": 12"#,
        r#""adapter_mb": 21"#,
        &expect![[r#"
        line 11: warning: services[0].engine.models[0].adapter_mb: m leaves 20 MB, and an adapter needs 21 MB [adapter-beside-model]
    "#]],
    );
    assert_found(
        r#""min": 1"#,
        r#""min": 5"#,
        &expect![[r#"
        line 12: error: services[1].scaling.min: 5 is above max, which is 4 [scaling-bounds]
    "#]],
    );
    assert_found(
        r#""max_header_bytes": 16384"#,
        r#""max_header_bytes": 4194305"#,
        &expect![[r#"
        line 17: warning: limits.max_header_bytes: 4194305 is above max_body_bytes, which is 4194304 [header-above-body]
    "#]],
    );
    assert_found(
        r#""idle_timeout_ms": 15000"#,
        r#""idle_timeout_ms": 2999"#,
        &expect![[r#"
        line 18: error: limits.idle_timeout_ms: 2999 is below header_timeout_ms, which is 3000 [idle-below-header]
    "#]],
    );
    assert_found(
        r#""slots": 64"#,
        r#""slots": 0"#,
        &expect![[r#"
        line 9: error: services[0].engine.slots: an engine with 0 serves no request [no-room]
    "#]],
    );
    assert_found(
        r#""load_s": 3.8"#,
        r#""load_s": -1"#,
        &expect![[r#"
        line 11: error: services[0].engine.models[0].load_s: -1 is below zero [negative]
    "#]],
    );
    assert_found(
        r#""timeout_ms": 5000"#,
        r#""timeout_ms": 1e12"#,
        &expect![[r#"
        line 4: warning: routes[0].timeout_ms: 1000000000 s is cut to a day [long-time]
    "#]],
    );
    assert_found(
        r#""slots": 64"#,
        r#""slots": 64, "link_mbps": 7e5"#,
        &expect![[r#"
        line 9: warning: services[0].engine: set both kv_token_bytes and link_mbps, or none of them [no-fetch]
    "#]],
    );
}

/// Guards against errors where a value has a special meaning.
#[test]
fn document_special_values_accepted() {
    for (old, new) in [
        (r#""timeout_ms": 600"#, r#""timeout_ms": 0"#),
        (r#""rate_per_s": 1000, "burst": 500"#, r#""rate_per_s": 0, "burst": 0"#),
        (r#", "max_attempts": 2"#, ""),
        (r#""adapter_mb": 12"#, r#""adapter_mb": 20"#),
        (r#""gap_aim_ms": 200"#, r#""gap_aim_ms": 0"#),
    ] {
        assert_eq!(findings(&replaced(old, new)), "", "{new}");
    }
}

/// Guards against an API key in the output that was written in place of a team.
#[test]
fn document_unreadable_quotes_no_key() {
    for wrong in
        [r#""tenants": ["secret-1", "#, r#""tenants": [{"name": "t", "burst": "secret-1"}, "#]
    {
        let found = findings(&replaced(r#""tenants": ["#, wrong));
        assert!(found.contains("[unreadable]"), "{found}");
        assert!(!found.contains("secret-1"), "{found}");
    }
}

/// Guards against an error in a document of thousands of lines that says neither line nor field.
#[test]
fn document_unreadable_names_line_and_field() {
    assert_found(
        r#""timeout_ms": 600"#,
        r#""timeout_ms": "600""#,
        &expect![[r#"
        line 7: error: routes[1].timeout_ms: invalid type: string "600", expected f64 [unreadable]
    "#]],
    );
    assert_found(
        r#""load_s": 3.8, "#,
        "",
        &expect![[r#"
        line 11: error: services[0].engine.models[0]: missing field `load_s` [unreadable]
    "#]],
    );
    assert_found(
        r#""slots": 64"#,
        r#""slots": -1"#,
        &expect![[r#"
        line 9: error: services[0].engine.slots: invalid value: integer `-1`, expected u32 [unreadable]
    "#]],
    );
    assert_found(
        r#""max": 4}"#,
        r#""max": 4"#,
        &expect![[r#"
        line 13: error: services[1]: key must be a string [unreadable]
    "#]],
    );
    assert_found(
        r#""type": "streaming""#,
        r#""type": "stream""#,
        &expect![[r#"
        line 3: error: routes[0].type: "stream" is not known; write idempotent, non_idempotent or streaming [unknown-type]
    "#]],
    );
    assert_found(
        r#"["secret-1", "secret-2"]"#,
        r#""secret-1""#,
        &expect![[r#"
        line 15: error: tenants[0].api_keys: write a list of strings [unreadable]
    "#]],
    );
    expect![[r#"
        line 1: error: document: EOF while parsing a value [unreadable]
    "#]]
    .assert_eq(&findings(""));
    assert_eq!(check(&"[".repeat(100_000)).len(), 1);
}

/// Guards against a document that the check accepts and instances refuse.
#[test]
fn document_without_errors_decoded() {
    let values = ["0", "-1", "1e300", "0.5", "\"x\"", "null", "[]", "{}"];
    let fields: Vec<(usize, usize)> = GOOD
        .match_indices("\": ")
        .map(|(at, found)| (at + found.len(), GOOD[at..].find([',', '}', '\n']).unwrap_or(0) + at))
        .collect();
    let mut accepted = 0;
    for (from, to) in fields.into_iter().filter(|(from, to)| from < to) {
        for value in values {
            let text = format!("{}{value}{}", &GOOD[..from], &GOOD[to..]);
            let found = check(&text);
            if found.iter().all(|finding| finding.severity() == Severity::Warning) {
                decode(text.as_bytes()).expect(&text);
                accepted += 1;
            }
        }
    }
    assert!(accepted > 20, "only {accepted} documents were accepted");
}

/// Guards against a change that the comparison hides, and against API keys in its output.
#[test]
fn comparison_names_fields() {
    let difference = |new: &str| -> String {
        let found = compare(GOOD, new).expect("both are JSON");
        found.iter().map(|difference| format!("{difference}\n")).collect()
    };
    assert_eq!(difference(&replaced(r#""version": 7"#, r#""version": 8"#)), "");
    assert_eq!(difference(&replaced("5000", "5000.0")), "");
    let swapped = replaced(r#"{"service": "new", "weight": 10}, "#, "");
    let swapped =
        swapped.replace(r#""weight": 90}"#, r#""weight": 90}, {"service": "new", "weight": 10}"#);
    assert_eq!(difference(&swapped), "", "the order does not matter");
    let changed = [
        (r#""timeout_ms": 600, "#, ""),
        (r#""weight": 90"#, r#""weight": 80"#),
        (r#""name": "old""#, r#""name": "older""#),
        (r#""health_path": "/h""#, r#""health_path": "/health""#),
        (r#""secret-2""#, r#""secret-3", "secret-4""#),
        (r#""name": "m", "#, r#""name": "m", "disk_s": 1.5, "#),
    ];
    let text = changed.iter().fold(GOOD.to_owned(), |text, (old, new)| text.replacen(old, new, 1));
    expect![[r#"
        ~ routes[chat].split[old].weight: 90 -> 80
        - routes[pay].timeout_ms: 600
        ~ services[desk].health_path: "/h" -> "/health"
        + services[new].engine.models[m].disk_s: 1.5
        - services[old]
        + services[older]
        ~ tenants[t].api_keys: 2 added, 1 removed
    "#]]
    .assert_eq(&difference(&text));
    let without_teams = replaced(r#""name": "t""#, r#""name": "u""#);
    expect![[r#"
        - tenants[t]
        + tenants[u]
    "#]]
    .assert_eq(&difference(&without_teams));
}

/// Guards against a change that instances ignore since its version is old.
#[test]
fn comparison_needs_higher_version() {
    assert_eq!(check_version(&replaced(r#""version": 7"#, r#""version": 8"#), GOOD), None);
    let finding = check_version(GOOD, GOOD).expect("the version is the same");
    assert_eq!((finding.rule, finding.line), (Rule::Version, 1));
}

/// A file that is deleted in the end.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let file = format!("cardamomshore-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, text).expect("the file can be written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is text")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Runs `config check`. Returns its exit code and its output, standard error last.
fn run(args: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cardamomshore"));
    let output = command.args(["config", "check"]).args(args).output().expect("the binary starts");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

/// Guards against scripts that go on after an error, or stop without one.
#[test]
fn exit_code_follows_findings() {
    let good = TempFile::new("good", GOOD);
    let next = replaced(r#""version": 7"#, r#""version": 8"#);
    let next = TempFile::new("next", &next.replacen("5000", "4000", 1));
    let warned = replaced(r#""loads_per_s": 2.1"#, r#""loads_per_s": 0"#);
    let warned = TempFile::new("warned", &warned);
    let wrong = TempFile::new("wrong", &replaced(r#""max_attempts": 2"#, r#""max_attempts": 0"#));
    let against = ["--against", good.path()];
    let check = |args: &[&str], code: i32, part: &str| {
        let (actual, output) = run(args);
        assert_eq!(actual, code, "{args:?}: {output}");
        assert!(output.contains(part), "{args:?}: {output}");
    };
    check(&[good.path()], 0, "usable, version 7, routes: 2, services: 3, keys: 2");
    check(&[wrong.path()], 1, "line 7: error: routes[1].max_attempts: ");
    check(&[warned.path()], 5, "[no-loads]");
    check(&[next.path(), against[0], against[1]], 0, "~ routes[chat].timeout_ms: 5000 -> 4000");
    check(&[next.path(), against[0], against[1], "--exit-code"], 6, ".json: 1\n");
    check(&[good.path(), against[0], against[1], "--exit-code"], 0, ".json: 0\n");
    check(&[good.path(), "--against", next.path()], 1, "line 1: error: version: ");
    check(&[good.path(), "--against", "no/such/file"], 1, "cannot read no/such/file");
    check(&["deploy/harmattan.yaml", against[0], against[1]], 2, "--against");
    check(&[good.path(), "--other"], 2, "--other");
    check(&[good.path(), "--exit-code"], 2, "--exit-code needs --against");
}

/// Guards against a service route that is accepted twice, and against instances that refuse a document
/// that is in force with one.
#[test]
fn route_given_twice_refused() {
    let text = std::fs::read_to_string("deploy/harmattan.yaml").expect("the sample exists");
    let text = text.replace("path: /payments", "path: /orders");
    let file = TempFile::new("twice", &text);
    let (code, output) = run(&[file.path()]);
    assert_eq!(code, 1, "{output}");
    let error = "line 77: services.ordering.routes[1]: POST /orders is given twice";
    assert!(output.contains(error), "{output}");
    assert!(cardamomshore::config::Config::parse_new(1, &text).is_ok());
}

fn block_on(test: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().expect("the runtime starts").block_on(test);
}

/// Runs `config check` against a store in this process.
async fn run_against(path: &str, store: SocketAddr) -> (i32, String) {
    let args = [path.to_owned(), "--against".to_owned(), store.to_string()];
    let run = move || run(&args.each_ref().map(|arg| arg.as_str()));
    tokio::task::spawn_blocking(run).await.expect("the command runs")
}

/// Guards against a comparison with another record than that of the operators.
#[test]
fn store_names_document_in_force() {
    block_on(async {
        let store = MetadataStore::start();
        let address = StoreAddress::start(store.clone(), free_address()).expect("the port is free");
        let next = replaced(r#""version": 7"#, r#""version": 8"#).replacen("5000", "4000", 1);
        let next = TempFile::new("store", &next);
        store.put("op/configuration", "{}");
        let (code, output) = run_against(next.path(), address.address).await;
        assert_eq!(code, 0, "{output}");
        assert!(output.contains("+ routes\n"), "there is no document: {output}");
        store.put("op/config", GOOD);
        let (code, output) = run_against(next.path(), address.address).await;
        assert_eq!(code, 0, "{output}");
        assert!(output.contains(&format!("differences from {}: 1\n", address.address)), "{output}");
        assert!(output.contains("~ routes[chat].timeout_ms: 5000 -> 4000\n"), "{output}");
        assert_eq!(store.value("op/config").as_deref(), Some(GOOD));
        drop(address);
        let (code, output) = run_against(next.path(), free_address()).await;
        assert_eq!(code, 1, "{output}");
        assert!(output.contains("cannot read the store at "), "{output}");
    });
}

/// Guards against a check that can change a fleet: it sends nothing but reads.
#[test]
fn store_is_only_read() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (sender, requests) = mpsc::channel();
        let sender = Arc::new(sender);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let sender = sender.clone();
                tokio::spawn(async move {
                    let mut buffer = [0; 4_096];
                    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                        let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
                        let _ = sender.send(head.lines().next().unwrap_or_default().to_owned());
                        let body = r#"{"items":[],"truncated":false,"as_of":7}"#;
                        let length = body.len();
                        let response =
                            format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
                        let _ = stream.write_all(response.as_bytes()).await;
                    }
                });
            }
        });
        let file = TempFile::new("reads", GOOD);
        let (code, output) = run_against(file.path(), address).await;
        assert_eq!(code, 0, "{output}");
        let lines: Vec<String> = requests.try_iter().collect();
        assert_eq!(lines, ["GET /api/kv-range?path_prefix=op/config HTTP/1.1"]);
    });
}
