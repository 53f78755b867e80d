//! The endpoint list: the model servers of a fleet.

use petrelshore::interface::{EndpointState, ServerId};
use petrelshore_gateway_core::fingerprint::stable_id;
use std::net::SocketAddr;

/// A model server on the endpoint list. The field names are the keys of the cached list's JSON.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Server {
    /// The name, unique within a list.
    pub name: String,
    /// The address at which the server listens, unique within a list.
    pub address: SocketAddr,
    /// The name of the server kind, which the settings define.
    pub kind: String,
    /// The name of the cell; empty for a server that is a cell of its own.
    pub cell: String,
    /// The name of the zone in which the server runs.
    pub zone: String,
    /// The capacity relative to other servers of the same kind.
    pub weight: f64,
    /// True if the server is draining: it receives no new requests.
    pub draining: bool,
}

impl Server {
    /// Returns the id, which is derived from the name and thus the same at every gateway.
    pub fn id(&self) -> ServerId {
        ServerId(stable_id(&self.name))
    }

    /// Returns the state that is reported to the scheduler.
    pub fn state(&self) -> EndpointState {
        if self.draining { EndpointState::Draining } else { EndpointState::Ready }
    }
}

/// A full endpoint list. Names and addresses are unique.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EndpointList {
    /// The servers, ordered by name.
    pub servers: Vec<Server>,
}
