//! Validation of configuration documents and its error messages.

use cardamomshore::config::Config;
use expect_test::{Expect, expect};

const GOOD: &str = "\
classes:
  chat: { first_ms: 1500, deadline_ms: 20000, percent: 95 }
teams:
  kites: { rate: 100, burst: 400, classes: [chat] }
data_centres:
  dc-a: {}
pools:
  assistant: { kind: engine, memory_mb: 1000, adapter_mb: 100, cold_limit: 4, warm_limit: 32 }
  ledger: { kind: service, cold_limit: 8, warm_limit: 32 }
models:
  glue: { pool: assistant, mb: 900, adapters: { spar: 50 } }
services:
  ledger:
    pool: ledger
    routes:
      - { method: POST, path: /payments, class: chat, repeat: never }
";

fn check(old: &str, new: &str, expected: &Expect) {
    assert!(GOOD.contains(old), "{old}");
    let text = GOOD.replacen(old, new, 1);
    let error = Config::parse(1, &text).expect_err(new).to_string();
    expected.assert_eq(error.lines().next().unwrap_or_default());
}

#[test]
fn config_good_accepted() {
    let config = Config::parse(3, GOOD).expect("a valid document");
    assert_eq!((config.version, config.models.len(), config.services.len()), (3, 1, 1));
}

#[test]
fn config_samples_match_stated_sizes() {
    let count = |text: &str| {
        let config = Config::parse(1, text).expect("a valid sample");
        let adapters: usize = config.models.values().map(|model| model.adapters.len()).sum();
        let store = config.weight_store;
        (
            config.models.len(),
            adapters,
            config.data_centres.len(),
            config.teams.len(),
            store.max_loads,
        )
    };
    let harmattan = include_str!("../../deploy/harmattan.yaml");
    let cuenca = include_str!("../../deploy/cuenca.yaml");
    assert_eq!(count(harmattan), (30, 95, 4, 5, 7));
    assert_eq!(count(cuenca), (40, 100, 4, 5, 6));
}

#[test]
fn config_field_refused() {
    check("rate: 100,", "rate: 0,", &expect!["line 4: teams.kites: rate must be above zero"]);
    check("burst: 400", "burst: 0", &expect!["line 4: teams.kites: burst must be above zero"]);
    check(
        "first_ms: 1500",
        "first_ms: 0",
        &expect!["line 2: classes.chat: first_ms must be above zero"],
    );
    check(
        "percent: 95",
        "percent: .nan",
        &expect!["classes.chat: percent lies above 0, up to 100"],
    );
    check(
        "deadline_ms: 20000",
        "deadline_ms: 9000000000",
        &expect!["line 2: classes.chat: deadline_ms must not exceed a week"],
    );
    check(
        "cold_limit: 8",
        "cold_limit: 0",
        &expect!["line 9: pools.ledger: cold_limit must be above zero"],
    );
    check(
        "memory_mb: 1000",
        "memory_mb: 18446744073709551615",
        &expect!["line 8: pools.assistant: memory_mb is no plausible size"],
    );
    check(
        "mb: 900",
        "mb: 901",
        &expect!["line 11: models.glue: the model is too large for every endpoint of its pool"],
    );
    check(
        "spar: 50",
        "spar: 101",
        &expect!["line 11: models.glue: adapter spar exceeds adapter_mb"],
    );
    check(
        "repeat: never",
        "repeat: never, open: true",
        &expect![
            "line 16: services.ledger.routes[0]: a route that may not be repeated needs a key"
        ],
    );
    check(
        "path: /payments",
        "path: payments",
        &expect!["line 16: services.ledger.routes[0]: path must start with /"],
    );
    check(
        "  kites:",
        "  'kites and nuts':",
        &expect![
            "line 4: teams.kites and nuts: write a name of letters, digits, '-', '_', '.', '/' and ':' only"
        ],
    );
}

#[test]
fn config_reference_refused() {
    check(
        "classes: [chat]",
        "classes: [chat, audit]",
        &expect!["line 4: teams.kites: class audit does not exist"],
    );
    check(
        "glue: { pool: assistant",
        "glue: { pool: missing",
        &expect!["line 11: models.glue: pool missing does not exist"],
    );
    check(
        "glue: { pool: assistant",
        "glue: { pool: ledger",
        &expect!["line 11: models.glue: its pool must be of kind engine"],
    );
    check(
        "    pool: ledger",
        "    pool: assistant",
        &expect!["line 13: services.ledger: its pool must be of kind service"],
    );
    check(
        "class: chat",
        "class: audit",
        &expect!["line 16: services.ledger.routes[0]: class audit does not exist"],
    );
    check(
        "data_centres:",
        "keys: { k: { team: nuts, hash: '00' } }\ndata_centres:",
        &expect!["line 5: keys.k: team nuts does not exist"],
    );
    check(
        "data_centres:",
        "keys: { k: { team: kites, hash: '00' } }\ndata_centres:",
        &expect!["line 5: keys.k: hash must be 64 hexadecimal digits"],
    );
}

#[test]
fn config_policy_refused() {
    let text = format!("{GOOD}policy:\n  routing: any-copy\n");
    assert!(Config::parse(1, &text).is_ok(), "an older release accepts it");
    let error = Config::parse_new(1, &text).expect_err("operators get an error").to_string();
    expect!["line 18: policy.routing: there is no policy any-copy; write one of any, round-robin, two-choices"].assert_eq(&error);
    assert!(Config::parse_new(1, GOOD).is_ok());
}

#[test]
fn config_shape_refused() {
    check("rate: 100,", "rate: much,", &expect!["line 4 column 18: invalid u64"]);
    check(
        "percent: 95",
        "percent: 95, speed: 3",
        &expect![
            "line 2 column 60: unknown field `speed`, expected one of first_ms, gap_ms, deadline_ms, percent, background"
        ],
    );
    check(
        "data_centres:",
        "zones: {}\ndata_centres:",
        &expect![
            "line 5 column 1: unknown field `zones`, expected one of classes, teams, keys, data_centres, pools, models, services, weight_store, policy"
        ],
    );
    check(
        "  dc-a: {}",
        "  dc-a: {}\n  dc-a: {}",
        &expect!["line 7 column 3: duplicate mapping key: dc-a"],
    );
    check("models:", "models: [", &expect!["line 10 column 9: expected mapping start"]);
    check(
        "teams:\n  kites: { rate: 100, burst: 400, classes: [chat] }\n",
        "",
        &expect!["line 10 column 1: missing field `teams`"],
    );
}
