//! Endpoint lists that arrive out of order: what an older list may change.

use petrelshore::interface::{
    CellId, Endpoint, EndpointState, Nanos, ServerId, ServerKindId, SnapshotKind, ZoneId,
};
use petrelshore_gateway_core::endpoint_history::{EndpointHistory, ListVersion, RETENTION};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn endpoint(server: u64, state: EndpointState, started_at: Nanos) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        kind: ServerKindId(0),
        cell: CellId(0),
        zone: ZoneId(0),
        weight: 1.0,
        started_at,
        state,
    }
}

/// Applies a list and returns the state, the start time and the port of each entry after the correction.
fn apply(
    history: &mut EndpointHistory,
    now: Nanos,
    version: u64,
    scope: SnapshotKind,
    entries: &[(u64, EndpointState, Nanos, u16)],
) -> Vec<(u64, EndpointState, Nanos, u16)> {
    let mut listed: Vec<(Endpoint, SocketAddr)> = entries
        .iter()
        .map(|&(server, state, started_at, port)| (endpoint(server, state, started_at), address(port)))
        .collect();
    let entries = listed.iter_mut().map(|(endpoint, address)| (endpoint, address));
    history.reconcile(now, ListVersion { version, scope }, entries);
    let corrected = listed.iter();
    corrected
        .map(|(endpoint, address)| (endpoint.server.0, endpoint.state, endpoint.started_at, address.port()))
        .collect()
}

/// Guards against an older list that undoes a drain: the servers that it calls ready got new work.
#[test]
fn older_list_makes_no_drained_or_removed_server_ready() {
    use EndpointState::{Draining, Gone, Ready};
    use SnapshotKind::{Delta, Full};
    let mut history = EndpointHistory::default();
    let all_ready = [(1, Ready, 0, 1), (2, Ready, 0, 2), (3, Ready, 0, 3), (4, Ready, 0, 4)];
    assert_eq!(apply(&mut history, 0, 5, Full, &all_ready), all_ready);
    apply(&mut history, MS, 6, Delta, &[(1, Draining, 0, 1), (2, Gone, 0, 2)]);
    apply(&mut history, 2 * MS, 7, Full, &[(1, Draining, 0, 1), (4, Ready, 0, 4)]);
    let corrected = [(1, Draining, 0, 1), (2, Gone, 0, 2), (3, Gone, 0, 3), (4, Ready, 0, 4)];
    assert_eq!(apply(&mut history, 3 * MS, 5, Full, &all_ready), corrected);
    // A change that is older than the drain undoes it neither.
    assert_eq!(apply(&mut history, 4 * MS, 5, Delta, &all_ready[..1]), corrected[..1]);
    // A list that is as new as the one that told the drain counts.
    assert_eq!(apply(&mut history, 5 * MS, 7, Full, &all_ready), all_ready);
}

/// Guards against an older list that undoes a restart: the server would count as warm, and its old address would be used.
#[test]
fn older_list_makes_no_restarted_server_warm() {
    use EndpointState::{Draining, Ready};
    use SnapshotKind::Full;
    let mut history = EndpointHistory::default();
    apply(&mut history, 0, 5, Full, &[(1, Ready, 100, 1), (2, Draining, 100, 2)]);
    apply(&mut history, MS, 6, Full, &[(1, Ready, 200, 9), (2, Draining, 100, 2)]);
    let older = [(1, Ready, 100, 1), (2, Ready, 200, 8)];
    // Server 2 has started after the drain was told, so the drain was that of its earlier process.
    assert_eq!(apply(&mut history, 2 * MS, 5, Full, &older), [(1, Ready, 200, 9), (2, Ready, 200, 8)]);
}

#[test]
fn older_list_may_drain_servers_and_add_new_ones() {
    use EndpointState::{Draining, Ready};
    use SnapshotKind::Full;
    let mut history = EndpointHistory::default();
    apply(&mut history, 0, 50, Full, &[(1, Ready, 0, 1)]);
    let renumbered = [(1, Draining, 0, 1), (2, Ready, 0, 2)];
    assert_eq!(apply(&mut history, MS, 1, Full, &renumbered), renumbered);
}

#[test]
fn lower_versions_count_once_the_entry_is_old() {
    use EndpointState::{Draining, Ready};
    use SnapshotKind::Full;
    let mut history = EndpointHistory::default();
    apply(&mut history, 0, 50, Full, &[(1, Draining, 0, 1)]);
    let ready = [(1, Ready, 0, 1)];
    assert_eq!(apply(&mut history, RETENTION - 1, 1, Full, &ready), [(1, Draining, 0, 1)]);
    assert_eq!(apply(&mut history, RETENTION, 2, Full, &ready), ready);
}

#[test]
fn removed_servers_are_forgotten() {
    let mut history = EndpointHistory::default();
    for version in 0..40_u64 {
        let servers = version * 1_000..(version + 1) * 1_000;
        let entries: Vec<_> = servers.map(|server| (server, EndpointState::Ready, 0, 1)).collect();
        apply(&mut history, version * MS, version, SnapshotKind::Full, &entries);
        assert!(history.len() <= 16_384 + 1_000, "{}", history.len());
    }
    apply(&mut history, RETENTION, 40, SnapshotKind::Full, &[(1, EndpointState::Ready, 0, 1)]);
    // The changes of a list make room too.
    apply(&mut history, 3 * RETENTION, 41, SnapshotKind::Delta, &[]);
    assert_eq!(history.len(), 1);
}
