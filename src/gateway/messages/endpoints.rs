//! Frames in which the leader sends its endpoints to other instances.

use std::{sync::Arc, time::Duration};

use prost::Message;

use crate::kernel::{
    endpoint_table::LeavingEndpoint,
    grants::{EndpointEntry, Incarnation},
    table_digest::Parts,
    versioned::Changes,
};

/// Changes of the endpoints.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct EndpointsFrame {
    /// Whether the frame holds all endpoints, so that the receiver removes all others.
    #[prost(bool, tag = "1")]
    pub full: bool,
    /// Endpoints that are new or have changed.
    #[prost(message, repeated, tag = "2")]
    pub changed: Vec<EndpointFrame>,
    /// Names of endpoints that no longer exist.
    #[prost(string, repeated, tag = "3")]
    pub removed: Vec<String>,
    /// Whether `changed` holds all endpoints of the listed parts of the table, see
    /// [`table_digest`](crate::kernel::table_digest). The other parts are as the receiver knows them.
    #[prost(bool, tag = "4")]
    pub partial: bool,
    /// Numbers of the parts.
    #[prost(uint32, repeated, tag = "5")]
    pub parts: Vec<u32>,
}

/// An endpoint, as the leader knows it.
///
/// The frame holds what an instance needs to grant its own requests without a leader. Where an
/// engine keeps weights that are not loaded is left out, since only a leader orders loads, and it
/// reads the endpoints from the store.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct EndpointFrame {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Incarnation, which differs after each start of the endpoint.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Service that the endpoint belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Address of the endpoint.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Data centre of the endpoint.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Requests that the endpoint runs at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Whether the endpoint takes no new requests.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// Time for which the endpoint is still cold and takes few requests, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub cold_ms: u64,
    /// Models that are loaded.
    #[prost(message, repeated, tag = "10")]
    pub models: Vec<ModelFrame>,
    /// Version of the endpoint's software; empty if it is not known.
    #[prost(string, tag = "11")]
    pub version: String,
}

impl From<Changes<EndpointFrame>> for EndpointsFrame {
    fn from(changes: Changes<EndpointFrame>) -> Self {
        Self {
            full: changes.full,
            changed: changes.changed,
            removed: changes.removed.iter().map(|id| id.to_string()).collect(),
            ..Self::default()
        }
    }
}

impl EndpointsFrame {
    /// Creates a frame with all endpoints of these parts of the table.
    pub fn with_parts<'a>(
        parts: &Parts,
        endpoints: impl Iterator<Item = &'a EndpointFrame>,
    ) -> Self {
        Self {
            changed: endpoints.filter(|frame| parts.contains_entry(&frame.id)).cloned().collect(),
            partial: true,
            parts: parts.iter().map(|part| part as u32).collect(),
            ..Self::default()
        }
    }

    /// Returns the parts of the table that the frame holds.
    pub fn held_parts(&self) -> Parts {
        self.parts.iter().map(|part| *part as usize).collect()
    }
}

/// Endpoints that an instance knew to drain or to be gone when the store returned from an older copy.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct LeavingFrame {
    /// Era of the store in which the instance knew it.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// The endpoints.
    #[prost(message, repeated, tag = "2")]
    pub endpoints: Vec<LeavingEndpointFrame>,
}

/// An endpoint that drains or is gone.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct LeavingEndpointFrame {
    /// Name of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Latest incarnation that leaves.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether the endpoint is gone.
    #[prost(bool, tag = "3")]
    pub gone: bool,
}

impl From<LeavingEndpoint> for LeavingEndpointFrame {
    fn from(leaving: LeavingEndpoint) -> Self {
        let LeavingEndpoint { id, incarnation, gone } = leaving;
        Self { id: id.to_string(), incarnation: incarnation.0, gone }
    }
}

impl From<LeavingEndpointFrame> for LeavingEndpoint {
    fn from(frame: LeavingEndpointFrame) -> Self {
        let incarnation = Incarnation(frame.incarnation);
        Self { id: frame.id.into(), incarnation, gone: frame.gone }
    }
}

/// A model that is loaded on an endpoint.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct ModelFrame {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Loaded adapters of the model.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
}

fn to_strings(texts: &[Arc<str>]) -> Vec<String> {
    texts.iter().map(|text| text.to_string()).collect()
}

fn to_names(names: Vec<String>) -> Vec<Arc<str>> {
    names.into_iter().map(Arc::from).collect()
}

impl From<&EndpointEntry> for EndpointFrame {
    fn from(entry: &EndpointEntry) -> Self {
        let models = entry.models.iter().map(|(model, adapters)| ModelFrame {
            model: model.to_string(),
            adapters: to_strings(adapters),
        });
        Self {
            id: entry.id.to_string(),
            incarnation: entry.incarnation.0,
            service: entry.service.to_string(),
            address: entry.address.to_string(),
            data_centre: entry.data_centre.to_string(),
            slots: entry.slots,
            // An endpoint that is about to be removed takes no new requests either.
            draining: entry.draining || entry.removed_in.is_some(),
            cold_ms: entry.cold_remaining.as_millis() as u64,
            models: models.collect(),
            version: entry.version.to_string(),
        }
    }
}

impl EndpointFrame {
    /// Returns whether the change to `newer` must be sent to the peers. A change of the adapters
    /// alone counts only if `include_adapters` is set. That an endpoint is cold for less time than
    /// before is no change, since the peers count the time themselves.
    pub fn differs(&self, newer: &EndpointFrame, include_adapters: bool) -> bool {
        let is_colder = newer.cold_ms > self.cold_ms || (newer.cold_ms == 0) != (self.cold_ms == 0);
        let has_same_models = match include_adapters {
            true => self.models == newer.models,
            false => {
                let names = |frame: &EndpointFrame| frame.models.len();
                let mut pairs = self.models.iter().zip(&newer.models);
                names(self) == names(newer) && pairs.all(|(old, new)| old.model == new.model)
            }
        };
        is_colder || !has_same_models || !self.has_same_fields(newer)
    }

    /// Returns whether `other` differs from this frame at most in its models and in how long the
    /// endpoint is cold.
    fn has_same_fields(&self, other: &EndpointFrame) -> bool {
        self.id == other.id
            && self.incarnation == other.incarnation
            && self.service == other.service
            && self.address == other.address
            && self.data_centre == other.data_centre
            && self.slots == other.slots
            && self.draining == other.draining
            && self.version == other.version
    }

    /// Returns the encoding by which two instances compare what they know of the endpoint. It lacks what
    /// is not sent to a large fleet: the adapters, and how long the endpoint is still cold.
    pub fn encode_known(&self) -> Vec<u8> {
        let models = self
            .models
            .iter()
            .map(|model| ModelFrame { model: model.model.clone(), adapters: Vec::new() });
        Self { models: models.collect(), cold_ms: u64::from(self.cold_ms > 0), ..self.clone() }
            .encode_to_vec()
    }

    /// Returns the endpoint; `None` if its address cannot be parsed.
    pub fn into_registration(self) -> Option<EndpointEntry> {
        let models =
            self.models.into_iter().map(|model| (model.model.into(), to_names(model.adapters)));
        Some(EndpointEntry {
            id: self.id.into(),
            incarnation: Incarnation(self.incarnation),
            version: self.version.into(),
            service: self.service.into(),
            address: self.address.parse().ok()?,
            data_centre: self.data_centre.into(),
            slots: self.slots,
            draining: self.draining,
            removed_in: None,
            cold_remaining: Duration::from_millis(self.cold_ms),
            models: models.collect(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        })
    }
}
