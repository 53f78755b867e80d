//! Updates of the endpoint list, and the address of the discovery agent that serves it.

use crate::gateway::PlatformGateway;
use crate::known_servers::ListChange;
use petrelshore::interface::{Endpoint, Nanos};
use petrelshore_gateway_core::endpoint_history::ListVersion;
use petrelshore_gateway_core::event_budget::EventKind;
use petrelshore_platform_protocol::endpoint_list::EndpointList;
use std::net::SocketAddr;
use tracing::{debug, info};

impl PlatformGateway {
    /// Applies an endpoint list or a change to it. An older list does not undo what a newer one has told.
    pub fn update_endpoints(&self, mut list: EndpointList) {
        let state = &self.0;
        let now = state.event_loop.now();
        let version = ListVersion { version: list.index, scope: list.scope };
        let told = list.entries.iter_mut().map(|listed| (&mut listed.endpoint, &mut listed.address));
        let outdated = state.endpoint_history.borrow_mut().reconcile(now, version, told);
        let change = state.known_servers.borrow_mut().update(&list);
        let entries: Vec<(Endpoint, SocketAddr)> =
            list.entries.into_iter().map(|listed| (listed.endpoint, listed.address)).collect();
        state.event_loop.requests_mut().update_endpoints(now, list.scope, &entries);
        let listed = state.event_loop.requests().server_addresses();
        state.client.retain_endpoints(|address| listed.contains(address));
        let (index, scope, entries) = (list.index, list.scope, entries.len());
        if (change.count > 0 || outdated > 0) && state.may_log(EventKind::EndpointListChanged) {
            let ListChange { count: changes, logged } = change;
            info!(index, ?scope, entries, changes, changed = ?logged, outdated, "endpoint list updated");
        } else {
            debug!(index, ?scope, entries, "endpoint list updated");
        }
    }

    /// The maximum time between the notice that a server is draining and the last attempt that is sent to it.
    pub fn drain_grace(&self) -> Nanos {
        self.0.drain_grace
    }

    /// The address of the discovery agent whose endpoint list is watched.
    pub fn discovery_address(&self) -> SocketAddr {
        self.0.discovery_address.get()
    }

    /// Sets the address of the discovery agent whose endpoint list is watched from now on.
    pub fn set_discovery_address(&self, address: SocketAddr) {
        if self.0.discovery_address.replace(address) != address {
            self.0.discovery_address_changed.notify(usize::MAX);
        }
    }

    /// Completes when the address of the discovery agent changes after this call.
    pub fn discovery_address_changed(&self) -> impl Future<Output = ()> + use<> {
        self.0.discovery_address_changed.listen()
    }
}
