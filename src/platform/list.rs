//! The platform's list of instances and endpoints, which lags behind what is true.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{DataCentre, EndpointId, InstanceId, Pool};

/// The list as the platform gives it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances that run a node.
    pub instances: Vec<ListedInstance>,
    /// Endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Runs.
    Live,
    /// Will be removed; takes no new work.
    Leaving,
}

/// An instance that runs a node.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub id: InstanceId,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// State.
    pub state: ListedState,
}

/// An endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Name.
    pub id: EndpointId,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Pool.
    pub pool: Pool,
    /// Address for work, orders and reports.
    pub address: SocketAddr,
    /// State.
    pub state: ListedState,
}

impl InstanceList {
    /// Returns the instance with this name.
    pub fn instance(&self, id: &InstanceId) -> Option<&ListedInstance> {
        self.instances.iter().find(|instance| instance.id == *id)
    }

    /// Returns the endpoint with this name.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&ListedEndpoint> {
        self.endpoints.iter().find(|endpoint| endpoint.id == *id)
    }
}
