//! The addresses of model servers, and the time of each server's last response.

use crate::send_gate::CurrentEndpoint;
use petrelshore::interface::{Endpoint, EndpointState, Nanos, ServerId, SnapshotKind};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

struct ListedEndpoint {
    address: SocketAddr,
    state: EndpointState,
    started_at: Nanos,
    /// The time at which the server last answered a request; zero before the first answer.
    last_response_at: Nanos,
}

/// The listed endpoints.
#[derive(Default)]
pub(super) struct EndpointDirectory {
    endpoints: BTreeMap<ServerId, ListedEndpoint>,
}

impl EndpointDirectory {
    /// Applies the endpoint list or a change to it. A server that stays listed keeps the time of its last response.
    pub(super) fn update(&mut self, kind: SnapshotKind, listed: &[(Endpoint, SocketAddr)]) {
        let previous = match kind {
            SnapshotKind::Delta => BTreeMap::new(),
            SnapshotKind::Full | SnapshotKind::Cached => std::mem::take(&mut self.endpoints),
        };
        for (endpoint, address) in listed {
            let known = self.endpoints.get(&endpoint.server).or_else(|| previous.get(&endpoint.server));
            let entry = ListedEndpoint {
                address: *address,
                state: endpoint.state,
                started_at: endpoint.started_at,
                last_response_at: known.map_or(0, |known| known.last_response_at),
            };
            self.endpoints.insert(endpoint.server, entry);
        }
        self.endpoints.retain(|_, endpoint| endpoint.state != EndpointState::Gone);
    }

    /// Records that a server answered a request.
    pub(super) fn response_received(&mut self, now: Nanos, server: ServerId) {
        if let Some(endpoint) = self.endpoints.get_mut(&server) {
            endpoint.last_response_at = now;
        }
    }

    /// The current entry of a server in the endpoint list.
    pub(super) fn current(&self, server: ServerId) -> Option<CurrentEndpoint> {
        self.endpoints.get(&server).map(|endpoint| CurrentEndpoint {
            address: endpoint.address,
            state: endpoint.state,
            started_at: endpoint.started_at,
        })
    }

    pub(super) fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.endpoints.get(&server).map(|endpoint| endpoint.address)
    }

    pub(super) fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.endpoints.values().map(|endpoint| endpoint.address).collect()
    }

    /// The ready servers, each with the time of its last response.
    pub(super) fn ready_servers(&self) -> Vec<(Nanos, ServerId)> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.state == EndpointState::Ready)
            .map(|(server, endpoint)| (endpoint.last_response_at, *server))
            .collect()
    }
}
