//! The platform's list of instances and endpoints, which may be out of date.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{DataCentre, EndpointId, InstanceId, Pool};

/// The list as returned by the platform.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances that run a node.
    pub instances: Vec<ListedInstance>,
    /// Endpoints of all pools.
    pub endpoints: Vec<ListedEndpoint>,
}

/// State of a listed instance or endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The instance or endpoint runs.
    Live,
    /// The instance or endpoint will be removed and takes no new requests.
    Leaving,
}

/// An instance that runs a node.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address at which callers connect.
    pub listen: SocketAddr,
    /// Address at which other instances connect.
    pub peer: SocketAddr,
    /// State of the instance.
    pub state: ListedState,
}

/// An endpoint in the list.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Pool that the endpoint belongs to.
    pub pool: Pool,
    /// Address for requests, orders and reports.
    pub address: SocketAddr,
    /// State of the endpoint.
    pub state: ListedState,
}

impl InstanceList {
    /// Returns the instance with the given name.
    pub fn instance(&self, id: &InstanceId) -> Option<&ListedInstance> {
        self.instances.iter().find(|instance| instance.id == *id)
    }

    /// Returns the endpoint with the given name.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&ListedEndpoint> {
        self.endpoints.iter().find(|endpoint| endpoint.id == *id)
    }
}
