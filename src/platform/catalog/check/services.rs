//! Checks of the services of a document.

use std::collections::HashSet;

use super::{
    super::{RawDocument, RawEngine, RawModel, RawScaling, decode_fetch},
    Checker, Rule,
};

impl Checker {
    /// Checks the services, their engines and their scaling.
    pub(super) fn check_services(&mut self, document: &RawDocument) {
        let names = document.services.iter().map(|service| &*service.name);
        self.check_names("services", Rule::SameName, names);
        let routes = &document.routes;
        let split = routes.iter().flat_map(|route| &route.split).map(|target| &*target.service);
        let direct = routes.iter().filter_map(|route| route.service.as_deref());
        let used: HashSet<&str> = split.chain(direct).collect();
        for (index, service) in document.services.iter().enumerate() {
            let path = format!("services[{index}]");
            if !used.contains(&*service.name) {
                let message = format!("no route leads to service {}", service.name);
                self.add(Rule::UnusedService, &*path, message);
            }
            self.check_sign(format!("{path}.cold_per_s"), service.cold_per_s);
            if let Some(engine) = &service.engine {
                self.check_engine(&format!("{path}.engine"), engine);
            }
            if let Some(scaling) = &service.scaling {
                self.check_scaling(&format!("{path}.scaling"), scaling);
            }
        }
    }

    fn check_engine(&mut self, path: &str, engine: &RawEngine) {
        let room = [
            ("slots", f64::from(engine.slots)),
            ("kv_capacity_tokens", engine.kv_capacity_tokens),
            ("weights_mb", engine.weights_mb),
        ];
        for (field, number) in room {
            if number <= 0.0 {
                let message = format!("an engine with {number} serves no request");
                self.add(Rule::NoRoom, format!("{path}.{field}"), message);
            }
        }
        self.check_sign(format!("{path}.loads_per_s"), engine.loads_per_s);
        if engine.loads_per_s == 0.0 && !engine.models.is_empty() {
            let message = "nothing can be loaded from the weight store";
            self.add(Rule::NoLoads, format!("{path}.loads_per_s"), message);
        }
        let fetches = [engine.kv_token_bytes.unwrap_or(0.0), engine.link_mbps.unwrap_or(0.0)];
        self.check_sign(format!("{path}.kv_token_bytes"), fetches[0]);
        self.check_sign(format!("{path}.link_mbps"), fetches[1]);
        if decode_fetch(engine).is_none() && fetches.iter().any(|number| *number > 0.0) {
            let message = "set both kv_token_bytes and link_mbps, or none of them";
            self.add(Rule::NoFetch, path, message);
        }
        if engine.adapter_slots == 0 && engine.models.iter().any(|model| model.adapter_mb > 0.0) {
            let message = "models have adapters, and an engine keeps none";
            self.add(Rule::NoAdapterSlots, format!("{path}.adapter_slots"), message);
        }
        let names = engine.models.iter().map(|model| &*model.name);
        self.check_names(&format!("{path}.models"), Rule::SameName, names);
        for (index, model) in engine.models.iter().enumerate() {
            self.check_model(&format!("{path}.models[{index}]"), engine, model);
        }
    }

    fn check_model(&mut self, path: &str, engine: &RawEngine, model: &RawModel) {
        self.check_sign(format!("{path}.weights_mb"), model.weights_mb);
        self.check_sign(format!("{path}.adapter_mb"), model.adapter_mb);
        let times =
            [("load_s", Some(model.load_s)), ("disk_s", model.disk_s), ("warm_s", model.warm_s)];
        for (field, time) in times {
            self.check_time(format!("{path}.{field}"), time.unwrap_or(0.0));
        }
        let (name, room) = (&model.name, engine.weights_mb);
        if model.weights_mb > room {
            let message =
                format!("{name} needs {} MB, and an engine has {room} MB", model.weights_mb);
            self.add(Rule::ModelTooLarge, format!("{path}.weights_mb"), message);
        }
        let adapter_path = format!("{path}.adapter_mb");
        if model.adapter_mb > room {
            let message =
                format!("an adapter needs {} MB, and an engine has {room} MB", model.adapter_mb);
            self.add(Rule::AdapterTooLarge, adapter_path, message);
        } else if model.adapter_mb > 0.0
            && model.weights_mb <= room
            && model.weights_mb + model.adapter_mb > room
        {
            let left = room - model.weights_mb;
            let message =
                format!("{name} leaves {left} MB, and an adapter needs {} MB", model.adapter_mb);
            self.add(Rule::AdapterBesideModel, adapter_path, message);
        }
    }

    fn check_scaling(&mut self, path: &str, scaling: &RawScaling) {
        self.check_time(format!("{path}.boot_s"), scaling.boot_s);
        let (min, max) = (scaling.min, scaling.max);
        if min > max {
            let message = format!("{min} is above max, which is {max}");
            self.add(Rule::ScalingBounds, format!("{path}.min"), message);
        } else if max == 0 {
            let message = "the service is scaled to no engines";
            self.add(Rule::ScalingToZero, format!("{path}.max"), message);
        }
    }
}
