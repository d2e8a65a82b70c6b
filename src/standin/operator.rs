//! The operators' document, in the format of the users' platform.

use serde_json::{Value, json};

use super::worker::inventory::Room;
use crate::platform::catalog::DOCUMENT_KEY;

/// Room of each engine: three models and a few adapters.
pub const ENGINE_ROOM: Room =
    Room { weights_mb: 200_000, adapter_slots: 8, model_mb: 60_000, adapter_mb: 60 };

/// Adapters of each model, named a1, a2 and so on.
pub const ADAPTERS: u64 = 6;

/// Largest number of endpoints of the plain service in each data centre, if it is scaled.
const MAX_SCALED: u32 = 6;

/// Time until a new endpoint of the plain service serves, in seconds.
const SCALED_BOOT_S: f64 = 2.0;

/// Tokens a second of the team, which no trial reaches.
const TEAM_RATE: u64 = 10_000_000;

/// A configuration with three routes and some that were added, engines, a plain service and one team.
#[derive(Clone, Debug)]
pub struct Document {
    /// Version of the configuration.
    pub version: u64,
    /// Host of all routes.
    pub host: &'static str,
    /// Models of the engines.
    pub models: &'static [&'static str],
    /// Name of the team.
    pub team: &'static str,
    /// Keys of the team.
    pub keys: Vec<&'static str>,
    /// Names of further routes to the plain service.
    pub added: Vec<String>,
    /// Least number of endpoints of the plain service in each data centre, if it is scaled.
    pub scaling: Option<u32>,
    /// Whether engines fetch cached prompt parts from one another.
    pub fetches: bool,
}

impl Document {
    /// Returns the key of the record in the store.
    pub fn key() -> &'static str {
        DOCUMENT_KEY
    }

    /// Returns the value of the record in the store.
    pub fn to_text(&self) -> String {
        let models = self.models.iter().map(|name| {
            json!({
                "name": name, "weights_mb": ENGINE_ROOM.model_mb, "load_s": 0.3,
                "adapters": ADAPTERS, "adapter_mb": ENGINE_ROOM.adapter_mb,
            })
        });
        let mut routes = vec![
            self.route("chat", "streaming", "engines", 3, 1),
            self.route("pay", "non_idempotent", "desk", 2, 0),
            self.route("look", "idempotent", "desk", 2, 2),
        ];
        routes.extend(self.added.iter().map(|name| self.route(name, "idempotent", "desk", 2, 2)));
        let mut document = json!({
            "version": self.version,
            "routes": routes,
            "services": [
                { "name": "engines", "health_path": "/h", "max_conns": 400, "engine": {
                    "slots": 32, "kv_capacity_tokens": 200_000, "weights_mb": ENGINE_ROOM.weights_mb,
                    "adapter_slots": ENGINE_ROOM.adapter_slots, "loads_per_s": 4.0, "models": models.collect::<Value>() } },
                { "name": "desk", "health_path": "/h", "max_conns": 200 },
            ],
            "tenants": [{ "name": self.team, "api_keys": self.keys, "unit": "tokens",
                "plain_tokens": 10, "rate_per_s": TEAM_RATE, "burst": TEAM_RATE }],
            "limits": { "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
        });
        if let Some(min) = self.scaling {
            document["services"][1]["scaling"] =
                json!({ "min": min, "max": MAX_SCALED, "boot_s": SCALED_BOOT_S });
        }
        if self.fetches {
            let engine = &mut document["services"][0]["engine"];
            (engine["kv_token_bytes"], engine["link_mbps"]) = (163_840.into(), 700_000.into());
        }
        document.to_string()
    }

    fn route(&self, name: &str, kind: &str, service: &str, attempts: u32, priority: u32) -> Value {
        json!({
            "name": name, "host": self.host, "path_prefix": format!("/{name}/"), "type": kind,
            "timeout_ms": 5_000, "target_latency_ms": 500, "priority": priority,
            "service": service, "max_attempts": attempts, "resumable": kind == "streaming",
        })
    }
}
