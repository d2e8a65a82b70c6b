//! Checks of the teams of a document and of its limits on callers.

use std::collections::HashMap;

use super::{
    super::{RawLimits, RawTenant},
    Checker, Rule,
};

impl Checker {
    /// Checks the teams. A message never contains an API key.
    pub(super) fn check_teams(&mut self, teams: &[RawTenant]) {
        self.check_names("tenants", Rule::SameName, teams.iter().map(|team| &*team.name));
        let mut owners = HashMap::new();
        for (index, team) in teams.iter().enumerate() {
            let path = format!("tenants[{index}]");
            if team.api_keys.is_empty() {
                let message = format!("nobody can send requests as team {}", team.name);
                self.add(Rule::NoKeys, format!("{path}.api_keys"), message);
            }
            for (number, key) in team.api_keys.iter().enumerate() {
                if let Some(owner) = owners.insert(&**key, &*team.name) {
                    let message = format!("team {owner} has the same key");
                    self.add(Rule::SameKey, format!("{path}.api_keys[{number}]"), message);
                }
            }
            self.check_rate(&path, team);
        }
    }

    /// Checks the rate and the burst of a team. A rate of zero means that there is no limit.
    fn check_rate(&mut self, path: &str, team: &RawTenant) {
        self.check_sign(format!("{path}.rate_per_s"), team.rate_per_s);
        self.check_sign(format!("{path}.burst"), team.burst);
        if team.rate_per_s > 0.0 && team.burst < team.plain_tokens as f64 {
            let message = format!(
                "{} is below plain_tokens, which is {}: one request needs more than the burst",
                team.burst, team.plain_tokens
            );
            self.add(Rule::BurstBelowRequest, format!("{path}.burst"), message);
        }
    }

    /// Checks the limits on callers.
    pub(super) fn check_limits(&mut self, limits: &RawLimits) {
        let (header_ms, idle_ms) = (limits.header_timeout_ms, limits.idle_timeout_ms);
        self.check_time("limits.header_timeout_ms".to_owned(), header_ms / 1e3);
        self.check_time("limits.idle_timeout_ms".to_owned(), idle_ms / 1e3);
        let needed = [
            ("max_header_bytes", limits.max_header_bytes == 0),
            ("header_timeout_ms", header_ms == 0.0),
            ("idle_timeout_ms", idle_ms == 0.0),
        ];
        for (field, is_zero) in needed {
            if is_zero {
                let message = "with 0 every request is refused";
                self.add(Rule::ZeroLimit, format!("limits.{field}"), message);
            }
        }
        if limits.max_header_bytes > limits.max_body_bytes {
            let message = format!(
                "{} is above max_body_bytes, which is {}",
                limits.max_header_bytes, limits.max_body_bytes
            );
            self.add(Rule::HeaderAboveBody, "limits.max_header_bytes", message);
        }
        if idle_ms < header_ms {
            let message = format!("{idle_ms} is below header_timeout_ms, which is {header_ms}");
            self.add(Rule::IdleBelowHeader, "limits.idle_timeout_ms", message);
        }
    }
}
