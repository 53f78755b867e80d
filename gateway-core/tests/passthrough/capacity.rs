//! Capacity of the passthrough request table and of the connection pool, and the endpoint list of the table.

use crate::common::{MS, S, START, deployment};
use crate::fixtures::{accept_prefill, at, endpoint, new_sequence, releases, requests};
use petrelshore::interface::{Deployment, Endpoint, EndpointState, SequenceId, ServerId, SnapshotKind, Step};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::connection_pool::{ConnectionPool, PooledConnection};
use petrelshore_gateway_core::passthrough::{Command, FinalAnswer, PassthroughRequests, Rejection};
use petrelshore_gateway_core::{Dispatch, FailureReason, Relay};

#[test]
fn connection_pool_expires_idle_and_evicts_longest_idle() {
    let mut pool: ConnectionPool<u8, u32> = ConnectionPool::bounded(5 * S, 3);
    (1..=4).for_each(|number| pool.check_in(number * S, number as u8, number as u32));
    assert_eq!(pool.idle(), 3, "the pool holds at most three idle connections");
    assert!(pool.close_oldest_idle());
    assert_eq!(
        (pool.check_out(4 * S, 1, |_| true), pool.idle()),
        (None, 2),
        "the connection that was idle for longest is closed"
    );
    assert_eq!(pool.check_out(6 * S, 2, |_| true), Some(PooledConnection { connection: 2, idle_for: 4 * S }));
    assert_eq!(
        pool.check_out(7 * S + 1, 3, |_| true),
        None,
        "the server may be about to close the connection"
    );
    assert!(!pool.close_oldest_idle());
}

#[test]
fn pending_releases_beyond_reserved_connections_use_capacity() {
    let (mut requests, mut commands) = (requests(20), Vec::new());
    let ids: Vec<SequenceId> = (1..=19).map(SequenceId).collect();
    let prefills: Vec<Dispatch> = ids.iter().map(|id| accept_prefill(&mut requests, *id)).collect();
    prefills.iter().for_each(|prefill| requests.client_cancelled(START + MS, prefill.id, &mut commands));
    assert_eq!((requests.tracked(), requests.pending_releases()), (0, 19));
    let is_accepted = |requests: &mut PassthroughRequests<&'static str>, id| {
        requests
            .accept(START + MS, new_sequence(SequenceId(id), Relay::Passthrough), "hello", &mut Vec::new())
            .is_ok()
    };
    let accepted = (100..120).filter(|id| is_accepted(&mut requests, *id)).count();
    assert_eq!(
        accepted,
        20 - (19 - 8),
        "eight releases use reserved connections, the other eleven use capacity"
    );
}

#[test]
fn endpoint_lists_of_a_thousand_servers_are_replaced_and_changed() {
    let large = Deployment { gateways: 1_024, ..deployment() };
    let (mut requests, mut commands) = (PassthroughRequests::new(START, large, 7, 9), Vec::new());
    let listed_endpoint =
        |n: u64, state| (Endpoint { state, ..endpoint(n, (n % 2) as usize) }, at(1 + n as u16));
    let count_listed = |requests: &PassthroughRequests<&str>| {
        let addresses = requests.server_addresses();
        (0..4_000).filter(|n| addresses.contains(&at(1 + n))).count()
    };
    let first: Vec<_> = (0..1_024).map(|n| listed_endpoint(n, EndpointState::Ready)).collect();
    requests.update_endpoints(START, SnapshotKind::Cached, &first);
    requests.accept(START, new_sequence(SequenceId(5), Relay::Passthrough), "hello", &mut commands).unwrap();
    let Some(Command::Send { dispatch: prefill, .. }) = commands.pop() else { panic!("no prefill is sent") };
    assert_eq!((count_listed(&requests), prefill.step), (1_024, Step::Prefill));
    // A new full list replaces all servers, and a delta then replaces half of them.
    let next: Vec<_> = (1_024..2_048).map(|n| listed_endpoint(n, EndpointState::Ready)).collect();
    requests.update_endpoints(START, SnapshotKind::Full, &next);
    assert_eq!((count_listed(&requests), requests.server_address(prefill.server)), (1_024, None));
    let gone = (1_024..1_536).map(|n| listed_endpoint(n, EndpointState::Gone));
    let changes: Vec<_> =
        gone.chain((2_048..2_560).map(|n| listed_endpoint(n, EndpointState::Ready))).collect();
    requests.update_endpoints(START, SnapshotKind::Delta, &changes);
    assert_eq!(count_listed(&requests), 1_024);
    requests.attempt_ended(START + MS, &prefill, AttemptEnd::Reset, &mut commands);
    let retry = commands.iter().find_map(|command| match command {
        Command::Send { dispatch, address: to, .. } => Some((dispatch.server.0, *to)),
        _ => None,
    });
    let (server, to) = retry.expect("the prompt is prefilled at another server");
    assert!((1_536..2_560).contains(&server) && to == Some(at(1 + server as u16)));
}

#[test]
fn duplicate_ids_and_excess_sequences_are_rejected() {
    let (mut requests, mut commands) = (requests(1), Vec::new());
    accept_prefill(&mut requests, SequenceId(5));
    let duplicate =
        requests.accept(START, new_sequence(SequenceId(5), Relay::Passthrough), "hello", &mut commands);
    assert_eq!(duplicate, Err(Rejection::DuplicateId));
    let other =
        requests.accept(START, new_sequence(SequenceId(6), Relay::Passthrough), "hello", &mut commands);
    assert_eq!(
        other,
        Err(Rejection::AtCapacity { retry_after: None }),
        "the deployment allows no Retry-After"
    );
    assert_eq!((commands.len(), requests.tracked()), (0, 1));
    requests.terminate_all(START + MS, &mut commands);
    let last = FinalAnswer::Rejected { retry_after: None, reason: FailureReason::ShuttingDown };
    assert!(commands.contains(&Command::Answer { id: SequenceId(5), last }), "{commands:?}");
    assert_eq!(commands.iter().filter(|command| matches!(command, Command::Answer { .. })).count(), 1);
    assert_eq!((requests.tracked(), requests.counts().accepted), (0, 1));
}

#[test]
fn changed_address_is_used_and_unlisted_server_is_gone() {
    let (mut requests, mut commands, id) = (requests(9), Vec::new(), SequenceId(5));
    let prefill = accept_prefill(&mut requests, id);
    requests.update_endpoints(START, SnapshotKind::Delta, &[(endpoint(3, 1), at(30))]);
    let addresses = requests.server_addresses();
    assert_eq!((addresses.contains(&at(3)), addresses.contains(&at(30))), (false, true));
    requests.attempt_ended(
        START + MS,
        &prefill,
        AttemptEnd::PrefillDone { cached_tokens: 0.0 },
        &mut commands,
    );
    assert!(
        matches!(commands[..], [Command::Send { address: Some(to), .. }] if to == at(30)),
        "{commands:?}"
    );
    let gone = Endpoint { state: EndpointState::Gone, ..endpoint(prefill.server.0, 0) };
    requests.update_endpoints(START + MS, SnapshotKind::Delta, &[(gone, at(9))]);
    commands.clear();
    requests.client_cancelled(START + 2 * MS, id, &mut commands);
    let release = releases(&commands)[0].clone();
    assert_eq!(requests.server_address(release.server), None);
    requests.release_finished(START + 2 * MS, &release, requests.release_pending_since(&release), None);
    assert_eq!(
        requests.pending_releases(),
        1,
        "the server may still be running, and no server has received the release request"
    );
    requests.release_finished(
        START + 2 * MS,
        &release,
        requests.release_pending_since(&release),
        Some(ServerId(3)),
    );
    assert_eq!(requests.pending_releases(), 0, "a relay that answers has forwarded the release request");
}
