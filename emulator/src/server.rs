//! An emulated model server on a socket: completions with transfer of the KV cache, load reports in headers, release
//! requests, and faults.

mod completions;
mod connection;
mod prompt;
mod response;
mod routes;
mod state;
mod transfer;

use crate::model::Model;
use crate::profile::{Fault, Profile};
use crate::record::Record;
use async_executor::{LocalExecutor, Task};
use async_net::TcpListener;
use state::ServerState;
use std::net::SocketAddr;
use std::rc::Rc;

/// What a server is called, and where it belongs.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name in the inventory.
    pub name: String,
    /// Its cell.
    pub cell: String,
}

/// How a server starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartState {
    /// At its full speed.
    Warm,
    /// It has to warm up.
    Cold,
}

/// A running server. Dropping it is a crash: its socket and its streams break.
pub struct EmulatedServer {
    state: Rc<ServerState>,
    address: SocketAddr,
    _tasks: Vec<Task<()>>,
}

impl EmulatedServer {
    /// Starts on `address`; port 0 takes a free one.
    pub async fn start(
        executor: &Rc<LocalExecutor<'static>>,
        record: &Record,
        identity: Identity,
        profile: Profile,
        address: SocketAddr,
        start: StartState,
    ) -> std::io::Result<EmulatedServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let model = match start {
            StartState::Warm => Model::new(profile),
            StartState::Cold => Model::cold(profile, record.now()),
        };
        let state = Rc::new(ServerState::new(identity, address, record.clone(), model));
        state.record_fault(Fault::None);
        let work = executor.spawn(state.clone().work());
        let accept = executor.spawn(connection::accept(listener, state.clone()));
        Ok(EmulatedServer { state, address, _tasks: vec![work, accept] })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its name in the inventory.
    pub fn name(&self) -> &str {
        self.state.name()
    }

    /// Changes how it misbehaves.
    pub fn set_fault(&self, fault: Fault) {
        self.state.set_fault(fault);
    }

    /// Clears its prefix cache, unnoticed by gateways.
    pub fn clear_prefix_cache(&self) {
        self.state.clear_prefix_cache();
    }

    /// How many KV caches it holds now.
    pub fn held_caches(&self) -> usize {
        self.state.held_caches()
    }

    /// Jobs that wait or are being executed.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight()
    }
}

impl Drop for EmulatedServer {
    fn drop(&mut self) {
        // What a crashed process held is lost with it.
        self.state.release_all();
    }
}
