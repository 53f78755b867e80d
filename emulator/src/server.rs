//! An emulated model server on a socket: completions with KV cache transfer, load reports in response headers, release
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

/// The name and the location of a server.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The server's name in the inventory.
    pub name: String,
    /// The server's cell.
    pub cell: String,
}

/// The state in which a server starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartState {
    /// The server runs at full speed from its start.
    Warm,
    /// The server has to warm up.
    Cold,
}

/// A running server. Dropping the value emulates a crash: the server's socket and connections are closed at once.
pub struct EmulatedServer {
    state: Rc<ServerState>,
    address: SocketAddr,
    _tasks: Vec<Task<()>>,
}

impl EmulatedServer {
    /// Starts a server that listens on `address`. Port 0 selects a free port.
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
        let run_model = executor.spawn(state.clone().run_model());
        let accept = executor.spawn(connection::accept(listener, state.clone()));
        Ok(EmulatedServer { state, address, _tasks: vec![run_model, accept] })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The server's name in the inventory.
    pub fn name(&self) -> &str {
        self.state.name()
    }

    /// Sets the server's fault.
    pub fn set_fault(&self, fault: Fault) {
        self.state.set_fault(fault);
    }

    /// Clears the prefix cache. Gateways are not notified.
    pub fn clear_prefix_cache(&self) {
        self.state.clear_prefix_cache();
    }

    /// The number of KV caches that the server holds.
    pub fn held_caches(&self) -> usize {
        self.state.held_caches()
    }

    /// The number of jobs that are queued or being executed.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight()
    }
}

impl Drop for EmulatedServer {
    fn drop(&mut self) {
        // A crashed process loses the KV caches that it held.
        self.state.release_all();
    }
}
