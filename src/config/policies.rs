//! Checks that the policies named in a new document are registered.

use super::{Config, ConfigError};
use crate::kernel::registry::{DispatchPlugin, PlacementPlugin, RoutingPlugin};

impl Config {
    /// Validates a new document before it is applied.
    ///
    /// Unlike [`Config::parse`], this rejects unknown policies. An instance that runs an older
    /// release must apply a document even if it does not know a policy.
    pub fn parse_new(version: u64, text: &str) -> Result<Self, ConfigError> {
        let config = Self::parse(version, text)?;
        let policy = &config.policy;
        let dispatch = inventory::iter::<DispatchPlugin>().map(|plugin| plugin.name);
        check_registered("policy.dispatch", &policy.dispatch, dispatch, text)?;
        let routing = inventory::iter::<RoutingPlugin>().map(|plugin| plugin.name);
        check_registered("policy.routing", &policy.routing, routing, text)?;
        let placement = inventory::iter::<PlacementPlugin>().map(|plugin| plugin.name);
        check_registered("policy.placement", &policy.placement, placement, text)?;
        Ok(config)
    }
}

fn check_registered(
    path: &str,
    name: &str,
    known: impl Iterator<Item = &'static str>,
    text: &str,
) -> Result<(), ConfigError> {
    let mut known: Vec<&str> = known.collect();
    if known.contains(&name) {
        return Ok(());
    }
    known.sort_unstable();
    let reason = format!("there is no policy {name}; write one of {}", known.join(", "));
    Err(ConfigError::Field { line: None, path: path.to_owned(), reason }.locate(text))
}
