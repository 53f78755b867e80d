//! Endpoints, sequences and request tables for the tests of the passthrough request table.

use crate::common::{S, START, deployment};
use petrelshore::interface::{
    CellId, Endpoint, EndpointState, SequenceId, ServerId, ServerKindId, SnapshotKind, TrafficTypeId, ZoneId,
};
use petrelshore_gateway_core::cache_releases::CacheRelease;
use petrelshore_gateway_core::passthrough::{Command, PassthroughRequests};
use petrelshore_gateway_core::send_gate::PendingSend;
use petrelshore_gateway_core::{Dispatch, NewSequence, Relay, RequestManager};
use std::net::SocketAddr;

pub(crate) fn endpoint(server: u64, kind: usize) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        kind: ServerKindId(kind),
        cell: CellId(0),
        zone: ZoneId(0),
        weight: 1.0,
        started_at: 0,
        state: EndpointState::Ready,
    }
}

/// A request manager with a prefill server, 1, and a decode server, 2.
pub(crate) fn manager() -> RequestManager {
    let mut manager = RequestManager::new(START, deployment(), 7);
    manager.update_endpoints(START, SnapshotKind::Full, &[endpoint(1, 0), endpoint(2, 1)]);
    manager
}

/// The address of a server that listens on this port.
pub(crate) fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A request table with prefill servers 1 and 2 and decode server 3. The port of each server is its number.
pub(crate) fn requests(max_requests: usize) -> PassthroughRequests<&'static str> {
    let mut requests = PassthroughRequests::new(START, deployment(), 7, max_requests);
    let entries = [(endpoint(1, 0), at(1)), (endpoint(2, 0), at(2)), (endpoint(3, 1), at(3))];
    requests.update_endpoints(START, SnapshotKind::Full, &entries);
    requests
}

/// Accepts a sequence and returns the dispatch of its prefill.
pub(crate) fn accept_prefill(requests: &mut PassthroughRequests<&'static str>, id: SequenceId) -> Dispatch {
    let mut commands = Vec::new();
    requests.accept(START, new_sequence(id, Relay::Passthrough), "hello", &mut commands).unwrap();
    sent_dispatch(&commands)
}

/// Returns the last dispatch that the commands send.
pub(crate) fn sent_dispatch(commands: &[Command<&'static str>]) -> Dispatch {
    let last_dispatch = commands.iter().rev().find_map(|command| match command {
        Command::Send { dispatch, address: to, message: Some("hello") } => {
            assert_eq!(*to, Some(at(dispatch.server.0 as u16)));
            Some(*dispatch)
        }
        _ => None,
    });
    last_dispatch.unwrap_or_else(|| panic!("no attempt is sent: {commands:?}"))
}

/// An attempt whose connection to the address `to` is established.
pub(crate) fn pending_send<'a>(
    requests: &PassthroughRequests<&'static str>,
    dispatch: &'a Dispatch,
    to: SocketAddr,
) -> PendingSend<'a> {
    PendingSend {
        dispatch,
        decided_at: START,
        address: to,
        server_started_at: requests.server_started_at(dispatch.server),
        client_left: false,
    }
}

/// Returns the release requests among the commands.
pub(crate) fn releases(commands: &[Command<&'static str>]) -> Vec<CacheRelease> {
    let releases = commands.iter().filter_map(|command| match command {
        Command::Release(release) => Some(release.clone()),
        _ => None,
    });
    releases.collect()
}

pub(crate) fn new_sequence(id: SequenceId, relay: Relay) -> NewSequence {
    NewSequence {
        id,
        traffic: TrafficTypeId(0),
        tenant: None,
        session: None,
        prefix: None,
        prompt_tokens: 100.0,
        prefix_tokens: 0.0,
        max_output_tokens: 400.0,
        output_length_hint: None,
        resumed: false,
        relay,
        first_token_deadline: START + 5 * S,
        completion_deadline: None,
    }
}

/// A request table with one prefill server, 1, and eight decode servers, 2 to 9.
pub(crate) fn with_decode_servers() -> PassthroughRequests<&'static str> {
    let mut requests = requests(9);
    let entries: Vec<_> = (1..10).map(|n| (endpoint(n, usize::from(n > 1)), at(n as u16))).collect();
    requests.update_endpoints(START, SnapshotKind::Full, &entries);
    requests
}
