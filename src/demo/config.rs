//! Configuration of the demo.

use crate::config::hash_key;

/// Key of the team whose callers the demo runs.
pub const COUNTER_KEY: &str = "demo-counter-key";

/// Data centre that the demo takes out of service and returns.
pub const OTHER_DATA_CENTRE: &str = "dc-b";

/// Name, data centre and models of each engine; every model is resident in both data centres.
pub const ENGINES: &[(&str, &str, [&str; 3])] = &[
    ("engine-a1", "dc-a", ["glue", "spar", "tissue"]),
    ("engine-a2", "dc-a", ["paste", "tail", "line"]),
    ("engine-b1", "dc-b", ["glue", "paste", "tail"]),
    ("engine-b2", "dc-b", ["spar", "tissue", "line"]),
];

/// All models.
pub const MODELS: &[&str] = &["glue", "spar", "tissue", "paste", "tail", "line"];

/// Size of each model in megabytes.
pub const MODEL_MB: u64 = 100;

/// Size of each engine's memory in megabytes.
pub const ENGINE_MB: u64 = 400;

/// Configuration document with a placeholder for the hash of the team's key.
const CONFIG_TEXT: &str = "
classes:
  chat: { first_ms: 1500, gap_ms: 73, deadline_ms: 20000, percent: 95 }
  payment: { first_ms: 1000, deadline_ms: 8000, percent: 99 }
teams:
  counter: { rate: 200000, burst: 400000, classes: [chat, payment] }
keys:
  counter-1: { team: counter, hash: '{counter}' }
data_centres:
  dc-a: {}
  dc-b: {}
pools:
  assistant: { kind: engine, fencing: true, memory_mb: 400, cold_limit: 8, warm_limit: 32 }
  ledger: { kind: service, cold_limit: 8, warm_limit: 32 }
services:
  ledger:
    pool: ledger
    routes:
      - { method: POST, path: /payments, class: payment, repeat: never }
models:
  glue: { pool: assistant, mb: 100 }
  spar: { pool: assistant, mb: 100 }
  tissue: { pool: assistant, mb: 100 }
  paste: { pool: assistant, mb: 100 }
  tail: { pool: assistant, mb: 100 }
  line: { pool: assistant, mb: 100 }
";

/// Returns the configuration document, with the hash of the team's key filled in.
pub fn config_text() -> String {
    CONFIG_TEXT.replace("{counter}", &hash_key(COUNTER_KEY))
}
