//! Checks that no service route is given twice.

use std::collections::HashSet;

use super::{Config, ConfigError};

impl Config {
    /// Fails if a service has two routes with the same method and path, of which the later one never
    /// matches; `text` is the text of the document.
    ///
    /// Only operators' files are checked for this. Instances accept such a document, so that a key can
    /// still be withdrawn where an earlier release has put one in force.
    pub fn check_duplicates(&self, text: &str) -> Result<(), ConfigError> {
        for (name, service) in &self.services {
            let mut seen = HashSet::new();
            for (index, route) in service.routes.iter().enumerate() {
                if !seen.insert((&route.method, &route.path)) {
                    let path = format!("services.{name}.routes[{index}]");
                    let reason = format!("{} {} is given twice", route.method, route.path);
                    return Err(ConfigError::Field { line: None, path, reason }.locate(text));
                }
            }
        }
        Ok(())
    }
}
