//! Frames about endpoints.

use std::{sync::Arc, time::Duration};

use prost::Message;

use crate::kernel::grants::{Incarnation, Registration};

/// Endpoints that changed.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct EndpointsFrame {
    /// Whether all others are gone.
    #[prost(bool, tag = "1")]
    pub full: bool,
    /// Changed endpoints.
    #[prost(message, repeated, tag = "2")]
    pub changed: Vec<EndpointFrame>,
    /// Endpoints that are gone.
    #[prost(string, repeated, tag = "3")]
    pub removed: Vec<String>,
}

/// An endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct EndpointFrame {
    /// Name.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Address.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Requests that run at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Whether it takes no new work.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// Time for which it bears little, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub cold_ms: u64,
    /// Models.
    #[prost(message, repeated, tag = "10")]
    pub models: Vec<ModelFrame>,
    /// Models in host memory.
    #[prost(string, repeated, tag = "11")]
    pub in_memory: Vec<String>,
    /// Models on disk.
    #[prost(string, repeated, tag = "12")]
    pub on_disk: Vec<String>,
}

/// A model at an endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ModelFrame {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Adapters.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
}

fn to_strings(list: &[Arc<str>]) -> Vec<String> {
    list.iter().map(|text| text.to_string()).collect()
}

fn to_names(list: Vec<String>) -> Vec<Arc<str>> {
    list.into_iter().map(Arc::from).collect()
}

impl From<&Registration> for EndpointFrame {
    fn from(info: &Registration) -> Self {
        let models = info.models.iter().map(|(model, adapters)| ModelFrame {
            model: model.to_string(),
            adapters: to_strings(adapters),
        });
        Self {
            id: info.id.to_string(),
            incarnation: info.incarnation.0,
            service: info.service.to_string(),
            address: info.address.to_string(),
            data_centre: info.data_centre.to_string(),
            slots: info.slots,
            // An endpoint that is removed at short notice takes no new work either.
            draining: info.draining || info.removed_in.is_some(),
            cold_ms: info.cold_remaining.as_millis() as u64,
            models: models.collect(),
            in_memory: to_strings(&info.in_memory),
            on_disk: to_strings(&info.on_disk),
        }
    }
}

impl EndpointFrame {
    /// Returns whether another instance should be told of the change to `newer`.
    pub fn differs(&self, newer: &EndpointFrame, adapters: bool) -> bool {
        if adapters {
            return self != newer;
        }
        let bare = |frame: &EndpointFrame| {
            let mut frame = frame.clone();
            frame.models.iter_mut().for_each(|model| model.adapters.clear());
            frame
        };
        bare(self) != bare(newer)
    }

    /// Returns the endpoint; `None` where the address cannot be read.
    pub fn into_registration(self) -> Option<Registration> {
        let models = self.models.into_iter().map(|m| (m.model.into(), to_names(m.adapters)));
        Some(Registration {
            id: self.id.into(),
            incarnation: Incarnation(self.incarnation),
            service: self.service.into(),
            address: self.address.parse().ok()?,
            data_centre: self.data_centre.into(),
            slots: self.slots,
            draining: self.draining,
            removed_in: None,
            cold_remaining: Duration::from_millis(self.cold_ms),
            models: models.collect(),
            in_memory: to_names(self.in_memory),
            on_disk: to_names(self.on_disk),
        })
    }
}
