//! The inventory of model servers: read as it is kept, judged whole, and merged with what connections show.
//!
//! [`read_list`] turns the text of a CSV or YAML file into a [`List`], or says every problem with file, line and
//! field. [`Membership`] keeps the last good list and tells the decisions what changes. [`kept`] is how that list
//! outlives a kill. Only [`kept::store`] and [`kept::load`] touch the disk.

mod formats;
mod guard;
pub mod kept;
mod membership;

pub use formats::{Format, Problem, read_list};
pub use guard::{Doubt, Guard};
pub use membership::{Change, Membership};

use petrelshore::interface::{EndpointState, ServerId};
use petrelshore_gateway_core::fingerprint::stable_id;
use std::net::SocketAddr;

/// A model server as the list has it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub kind: String,
    pub cell: String,
    pub zone: String,
    pub weight: f64,
    pub draining: bool,
}

impl Server {
    /// The same at every gateway.
    pub fn id(&self) -> ServerId {
        ServerId(stable_id(&self.name))
    }

    pub fn condition(&self) -> EndpointState {
        if self.draining { EndpointState::Draining } else { EndpointState::Ready }
    }
}

/// A whole list, ordered by name, each name and address once.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct List {
    pub servers: Vec<Server>,
}
