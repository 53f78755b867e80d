//! The endpoint list: the model servers of a fleet.

use petrelshore::interface::{EndpointState, ServerId};
use petrelshore_gateway_core::fingerprint::stable_id;
use std::net::SocketAddr;

/// A model server as the endpoint list has it. The field names are those of the cached list's file.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Server {
    /// The name, unique in a list.
    pub name: String,
    /// Where the server listens, unique in a list.
    pub address: SocketAddr,
    /// The server kind, one of those that the settings define.
    pub kind: String,
    /// The cell; empty for a server that is a cell of its own.
    pub cell: String,
    /// The zone that the server runs in.
    pub zone: String,
    /// The capacity relative to other servers of the kind.
    pub weight: f64,
    /// Whether the server takes no new work.
    pub draining: bool,
}

impl Server {
    /// An id derived from the name, the same at every gateway.
    pub fn id(&self) -> ServerId {
        ServerId(stable_id(&self.name))
    }

    /// The state that the scheduler sees.
    pub fn state(&self) -> EndpointState {
        if self.draining { EndpointState::Draining } else { EndpointState::Ready }
    }
}

/// A full list, ordered by name, each name and address once.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EndpointList {
    /// The servers, ordered by name.
    pub servers: Vec<Server>,
}
