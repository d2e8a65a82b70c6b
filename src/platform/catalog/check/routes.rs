//! Checks of the routes of a document.

use std::collections::{HashMap, HashSet};

use super::{
    super::{RawDocument, RawRoute, WEIGHT_SCALE, decode_type},
    Checker, Rule,
};

impl Checker {
    /// Checks the routes, alone and among each other.
    pub(super) fn check_routes(&mut self, document: &RawDocument) {
        if document.routes.is_empty() {
            self.add(Rule::NoRoutes, "routes", "there are no routes");
        }
        let services: HashSet<&str> =
            document.services.iter().map(|service| &*service.name).collect();
        let mut prefixes = HashMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            let path = format!("routes[{index}]");
            self.check_match(&path, route);
            let key = (route.host.to_ascii_lowercase(), &*route.path_prefix);
            if let Some(earlier) = prefixes.insert(key, &*route.name) {
                let message = format!("route {earlier} has the same host and path prefix");
                self.add(Rule::SamePrefix, format!("{path}.path_prefix"), message);
            }
            self.check_targets(&path, route, &services);
            self.check_times(&path, route);
        }
        let names = document.routes.iter().map(|route| &*route.name);
        self.check_names("routes", Rule::SameRouteName, names);
    }

    /// Checks that requests can match a route and be sent.
    fn check_match(&mut self, path: &str, route: &RawRoute) {
        // The host of a request is compared without its port. An IPv6 address ends with a bracket.
        let has_port = route.host.contains(':') && !route.host.ends_with(']');
        let is_foreign = |c: char| c.is_whitespace() || c == '/';
        if route.host.is_empty() || has_port || route.host.contains(is_foreign) {
            let message = format!("no request has the host {:?}; write a name only", route.host);
            self.add(Rule::UnmatchedHost, format!("{path}.host"), message);
        }
        let prefix = &route.path_prefix;
        if !(prefix.starts_with('/') && prefix.ends_with('/')) {
            let message = format!("{prefix:?} does not begin and end with a slash");
            self.add(Rule::PrefixSlash, format!("{path}.path_prefix"), message);
        }
        if decode_type(&route.kind, route.resumable).is_none() {
            let message = format!(
                "{:?} is not known; write idempotent, non_idempotent or streaming",
                route.kind
            );
            self.add(Rule::UnknownType, format!("{path}.type"), message);
        }
        if route.max_attempts == Some(0) {
            let message = "0 attempts serve no request; write 1 or more";
            self.add(Rule::NoAttempts, format!("{path}.max_attempts"), message);
        }
    }

    /// Checks the services that a route names.
    fn check_targets(&mut self, path: &str, route: &RawRoute, services: &HashSet<&str>) {
        let check = |checker: &mut Self, path: String, service: &str| {
            if !services.contains(service) {
                let message = format!("there is no service {service}");
                checker.add(Rule::UnknownService, path, message);
            }
        };
        if let Some(service) = &route.service {
            check(self, format!("{path}.service"), service);
        }
        let mut total = 0.0;
        for (index, target) in route.split.iter().enumerate() {
            let path = format!("{path}.split[{index}]");
            check(self, format!("{path}.service"), &target.service);
            let weight = target.weight * WEIGHT_SCALE;
            total += weight;
            if weight < 1.0 {
                let message = format!(
                    "with weight {} the service {} gets no requests",
                    target.weight, target.service
                );
                self.add(Rule::ZeroWeight, format!("{path}.weight"), message);
            }
        }
        if total > f64::from(u32::MAX) {
            let message = "the weights add up to too much; divide all by the same number";
            self.add(Rule::LargeWeights, format!("{path}.split"), message);
        }
        match (&route.service, route.split.is_empty()) {
            (None, true) => self.add(Rule::NoService, path, "there is no service and no split"),
            (Some(_), false) => {
                let message = "the service beside the split gets almost no requests; remove one";
                self.add(Rule::ServiceAndSplit, format!("{path}.service"), message);
            }
            _ => {}
        }
    }

    /// Checks the times of a route, alone and against its timeout. A timeout of zero is none.
    fn check_times(&mut self, path: &str, route: &RawRoute) {
        let (timeout, target) = (route.timeout_ms, route.target_latency_ms);
        let pause = route.gap_aim_ms.unwrap_or(0.0);
        self.check_time(format!("{path}.timeout_ms"), timeout / 1e3);
        self.check_time(format!("{path}.target_latency_ms"), target / 1e3);
        self.check_time(format!("{path}.gap_aim_ms"), pause / 1e3);
        if timeout <= 0.0 {
            return;
        }
        if timeout < target {
            let message = format!("{timeout} is below target_latency_ms, which is {target}");
            self.add(Rule::TimeoutBelowTarget, format!("{path}.timeout_ms"), message);
        }
        if pause > timeout {
            let message = format!("{pause} is above timeout_ms, which is {timeout}");
            self.add(Rule::PauseAboveTimeout, format!("{path}.gap_aim_ms"), message);
        }
    }
}
