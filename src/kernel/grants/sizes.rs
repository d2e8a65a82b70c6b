//! Megabytes that an engine's models and adapters take up, also after the configuration has changed.

use std::{collections::HashMap, sync::Arc};

use super::Endpoint;
use crate::catalog::EngineSpec;

/// Megabytes of a model at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ModelSize {
    /// Megabytes of the model's weights.
    pub weights_mb: f64,
    /// Megabytes of each of its adapters.
    pub adapter_mb: f64,
}

impl ModelSize {
    /// Returns the size that the configuration names for a model.
    fn named(spec: &EngineSpec, model: &str) -> Option<Self> {
        let model = spec.models.get(model)?;
        Some(Self { weights_mb: model.weights_mb, adapter_mb: model.adapter_mb })
    }

    /// Returns the larger of two sizes.
    fn max(self, other: Self) -> Self {
        Self {
            weights_mb: self.weights_mb.max(other.weights_mb),
            adapter_mb: self.adapter_mb.max(other.adapter_mb),
        }
    }
}

/// Sizes that earlier configurations named for models that the engine holds.
pub(super) type KeptSizes = HashMap<Arc<str>, ModelSize>;

impl Endpoint {
    /// Keeps the sizes of the models that the engine holds, before another configuration applies.
    pub(super) fn keep_sizes(&mut self, spec: &EngineSpec) {
        let loading = self.loading.iter().map(|(model, _)| model);
        let held: Vec<Arc<str>> = self.replicas.keys().chain(loading).cloned().collect();
        self.kept_sizes.retain(|model, _| held.contains(model));
        for model in held {
            let Some(named) = ModelSize::named(spec, &model) else { continue };
            self.kept_sizes
                .entry(model)
                .and_modify(|size| *size = size.max(named))
                .or_insert(named);
        }
    }

    /// Returns an upper bound of the size of a model that the engine holds. A model that no known
    /// configuration names may be as large as the engine.
    pub(super) fn held_size(&self, model: &str, spec: &EngineSpec) -> ModelSize {
        let kept = self.kept_sizes.get(model).copied();
        match (kept, ModelSize::named(spec, model)) {
            (Some(kept), Some(named)) => kept.max(named),
            (Some(size), None) | (None, Some(size)) => size,
            (None, None) => ModelSize { weights_mb: spec.weights_mb, adapter_mb: spec.weights_mb },
        }
    }

    /// Returns an upper bound of the megabytes of what is loaded or being loaded.
    pub(super) fn used_weights_mb(&self, spec: &EngineSpec) -> f64 {
        let loaded = self.replicas.iter().map(|(model, replica)| {
            let size = self.held_size(model, spec);
            size.weights_mb + size.adapter_mb * replica.adapters.len() as f64
        });
        let loading = self.loading.iter().filter(|(model, _)| !self.replicas.contains_key(model));
        let loading = loading.map(|(model, _)| self.held_size(model, spec).weights_mb);
        loaded.sum::<f64>() + loading.sum::<f64>()
    }
}
