//! Releases of KV caches by the passthrough request table.

use crate::common::{MS, S, START, deployment};
use crate::fixtures::{accept_prefill, at, endpoint, releases, requests, sent_dispatch, with_decode_servers};
use petrelshore::interface::{Deployment, Endpoint, EndpointState, SequenceId, ServerId, SnapshotKind, Step};
use petrelshore_gateway_core::CancelReason;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::cache_releases::CacheRelease;
use petrelshore_gateway_core::passthrough::{Command, FinalAnswer, PassthroughRequests};

/// A release request that is sent while the same sequence is prefilled again might release the second KV cache, so the
/// first KV cache is released only once the second KV cache has been fetched.
#[test]
fn cache_of_failed_decode_is_released_with_next_first_event() {
    let (mut requests, mut commands, id) = (requests(9), Vec::new(), SequenceId(5));
    let first = accept_prefill(&mut requests, id);
    requests.attempt_ended(START + MS, &first, AttemptEnd::PrefillDone { cached_tokens: 0.0 }, &mut commands);
    let failed_decode = sent_dispatch(&commands);
    // The prefill server is draining, so the prompt is prefilled again at the other server.
    let draining = Endpoint { state: EndpointState::Draining, ..endpoint(first.server.0, 0) };
    requests.update_endpoints(START + MS, SnapshotKind::Delta, &[(draining, at(first.server.0 as u16))]);
    requests.attempt_ended(START + 2 * MS, &failed_decode, AttemptEnd::Reset, &mut commands);
    let retry = sent_dispatch(&commands);
    assert_eq!(
        (retry.step, releases(&commands)),
        (Step::Prefill, vec![]),
        "a release request now might hit the second KV cache"
    );
    assert_ne!(retry.server, first.server);
    requests.attempt_ended(
        START + 3 * MS,
        &retry,
        AttemptEnd::PrefillDone { cached_tokens: 0.0 },
        &mut commands,
    );
    let decode = sent_dispatch(&commands);
    commands.clear();
    requests.first_token(START + 4 * MS, &decode, &mut commands);
    let released_by: Vec<ServerId> = releases(&commands).iter().map(|release| release.server).collect();
    assert_eq!(released_by, [first.server], "only the KV cache that was not fetched is released");
    commands.clear();
    requests.attempt_ended(START + 5 * MS, &decode, AttemptEnd::Completed, &mut commands);
    assert_eq!(commands, [Command::Answer { id, last: FinalAnswer::Completed }, Command::Remove { id }]);
    assert_eq!(requests.tracked(), 0);
}

/// Guards against the KV cache of a prefill that was cut off and completes after a second one at the same server: it was
/// never released.
#[test]
fn prefill_cut_off_at_the_same_server_is_released_with_the_first_event() {
    let (mut requests, mut commands, id) = (requests(9), Vec::new(), SequenceId(5));
    let cut_off = accept_prefill(&mut requests, id);
    requests.attempt_ended(START + MS, &cut_off, AttemptEnd::Reset, &mut commands);
    let mut prefill = sent_dispatch(&commands);
    if prefill.server != cut_off.server {
        commands.clear();
        requests.attempt_ended(START + 2 * MS, &prefill, AttemptEnd::NotConnected, &mut commands);
        prefill = sent_dispatch(&commands);
    }
    assert_eq!((prefill.step, prefill.server), (Step::Prefill, cut_off.server));
    commands.clear();
    let done = AttemptEnd::PrefillDone { cached_tokens: 0.0 };
    requests.attempt_ended(START + 3 * MS, &prefill, done, &mut commands);
    let decode = sent_dispatch(&commands);
    assert_eq!(releases(&commands), [], "a release request now might hit the second KV cache");
    commands.clear();
    requests.first_token(START + 4 * MS, &decode, &mut commands);
    let released_by: Vec<ServerId> = releases(&commands).iter().map(|release| release.server).collect();
    assert_eq!(released_by, [cut_off.server]);
}

#[test]
fn failed_connections_do_not_extend_the_release_deadline() {
    let (mut requests, mut commands, id) = (with_decode_servers(), Vec::new(), SequenceId(5));
    let prefill = accept_prefill(&mut requests, id);
    let held_since = START + 100 * MS;
    requests.attempt_ended(
        held_since,
        &prefill,
        AttemptEnd::PrefillDone { cached_tokens: 0.0 },
        &mut commands,
    );
    let (mut now, mut attempts) = (held_since, 0);
    // No decode server is reachable: each connection fails at its timeout.
    while releases(&commands).is_empty() {
        let decode = sent_dispatch(&commands);
        (now, attempts) = (now + decode.connect_timeout, attempts + 1);
        commands.clear();
        requests.attempt_ended(now, &decode, AttemptEnd::NotConnected, &mut commands);
    }
    assert!(
        attempts >= 2 && now <= held_since + 300 * MS,
        "{attempts} decode servers were tried, the KV cache was released after {} ms",
        (now - held_since) / MS
    );
    assert_eq!(requests.tracked(), 0);
}

#[test]
fn only_delivered_decode_attempt_suspends_the_release_deadline() {
    for delivered in [false, true] {
        let (mut requests, mut commands, id) = (with_decode_servers(), Vec::new(), SequenceId(5));
        let prefill = accept_prefill(&mut requests, id);
        requests.attempt_ended(
            START + 100 * MS,
            &prefill,
            AttemptEnd::PrefillDone { cached_tokens: 0.0 },
            &mut commands,
        );
        let decode = sent_dispatch(&commands);
        assert!(decode.holds_cache, "a reused connection must prove that the decode server is there");
        if delivered {
            requests.attempt_delivered(id, decode.attempt);
        }
        commands.clear();
        requests.attempt_ended(START + 500 * MS, &decode, AttemptEnd::TimedOut, &mut commands);
        let released_by: Vec<ServerId> = releases(&commands).iter().map(|release| release.server).collect();
        assert_eq!(
            released_by,
            if delivered { vec![] } else { vec![prefill.server] },
            "delivered: {delivered}"
        );
    }
}

#[test]
fn older_cache_keeps_its_deadline_after_newer_cache_is_lost() {
    let six_attempts = Deployment { max_attempts: 6, ..deployment() };
    let (mut requests, mut commands, id) =
        (PassthroughRequests::new(START, six_attempts, 7, 9), Vec::new(), SequenceId(5));
    let listed_endpoint =
        |n: u64, state| (Endpoint { state, ..endpoint(n, usize::from(n > 2)) }, at(n as u16));
    let entries: Vec<_> = (1..5).map(|n| listed_endpoint(n, EndpointState::Ready)).collect();
    requests.update_endpoints(START, SnapshotKind::Full, &entries);
    let first = accept_prefill(&mut requests, id);
    requests.attempt_ended(START + MS, &first, AttemptEnd::PrefillDone { cached_tokens: 0.0 }, &mut commands);
    let failed_decode = sent_dispatch(&commands);
    requests.update_endpoints(
        START + MS,
        SnapshotKind::Delta,
        &[listed_endpoint(first.server.0, EndpointState::Draining)],
    );
    requests.attempt_delivered(id, failed_decode.attempt);
    requests.attempt_ended(START + 2 * MS, &failed_decode, AttemptEnd::Reset, &mut commands);
    let retry = sent_dispatch(&commands);
    assert!(retry.step == Step::Prefill && retry.server != first.server && retry.holds_cache);
    requests.attempt_delivered(id, retry.attempt);
    requests.attempt_ended(
        START + 3 * MS,
        &retry,
        AttemptEnd::PrefillDone { cached_tokens: 0.0 },
        &mut commands,
    );
    let decode = sent_dispatch(&commands);
    // All servers are gone when the newer KV cache is lost.
    let gone: Vec<_> = (1..5).map(|n| listed_endpoint(n, EndpointState::Gone)).collect();
    requests.update_endpoints(START + 4 * MS, SnapshotKind::Delta, &gone);
    commands.clear();
    requests.attempt_ended(START + 5 * MS, &decode, AttemptEnd::KvCacheMissing, &mut commands);
    assert_eq!(requests.tracked(), 1, "the sequence waits for a server");
    let mut now = START + 5 * MS;
    while releases(&commands).is_empty() {
        now = requests.next_timeout().expect("a timer releases the older KV cache");
        requests.on_timeout(now, &mut commands);
    }
    assert!(now <= START + 5 * MS + 250 * MS, "released after {} ms", (now - START) / MS);
    assert_eq!(releases(&commands)[0].server, first.server);
}

#[test]
fn release_is_revoked_while_prefill_is_retried() {
    let (mut requests, mut commands, id) = (requests(9), Vec::new(), SequenceId(5));
    let prefill = accept_prefill(&mut requests, id);
    let gone = |n: u64| (Endpoint { state: EndpointState::Gone, ..endpoint(n, 0) }, at(n as u16));
    requests.update_endpoints(START, SnapshotKind::Delta, &[gone(1), gone(2)]);
    requests.attempt_delivered(id, prefill.attempt);
    requests.attempt_ended(START + MS, &prefill, AttemptEnd::Reset, &mut commands);
    assert_eq!(releases(&commands).len(), 1, "no attempt is in flight, and the server may hold a KV cache");
    commands.clear();
    requests.update_endpoints(
        START + 2 * MS,
        SnapshotKind::Delta,
        &[(endpoint(1, 0), at(1)), (endpoint(2, 0), at(2))],
    );
    requests.on_timeout(START + 50 * MS, &mut commands);
    let retry = sent_dispatch(&commands);
    assert_eq!(
        (retry.step, requests.pending_releases()),
        (Step::Prefill, 0),
        "a release request would also release the second KV cache"
    );
    requests.attempt_delivered(id, retry.attempt);
    commands.clear();
    requests.on_timeout(START + 400 * MS, &mut commands);
    assert_eq!(releases(&commands), []);
    requests.client_cancelled(START + 400 * MS, id, &mut commands);
    let mut released: Vec<ServerId> = releases(&commands).iter().map(|release| release.server).collect();
    released.sort_unstable();
    released.dedup();
    let mut expected = vec![prefill.server, retry.server];
    expected.sort_unstable();
    expected.dedup();
    assert_eq!(released, expected);
}

/// A cancelled prefill may arrive at its server after the release request, which the server has then acknowledged
/// without holding a KV cache. The release stays pending until the prefill can no longer arrive.
#[test]
fn cancelled_prefill_is_released_until_acknowledged() {
    let (mut requests, mut commands, id) = (requests(9), Vec::new(), SequenceId(5));
    let prefill = accept_prefill(&mut requests, id);
    requests.client_cancelled(START + MS, id, &mut commands);
    let release = CacheRelease { server: prefill.server, request_id: format!("{:016x}", id.0) };
    assert_eq!(
        commands,
        [
            Command::Cancel { id, attempt: 0, reason: CancelReason::ClientLeft },
            Command::Release(release.clone()),
            Command::Remove { id }
        ]
    );
    let relays: Vec<ServerId> = requests.release_relays(&release).iter().map(|(relay, _)| *relay).collect();
    assert!(relays.len() == 2 && !relays.contains(&prefill.server), "{relays:?}");
    requests.release_finished(START + 2 * MS, &release, requests.release_pending_since(&release), None);
    requests.release_finished(
        START + 2 * MS,
        &release,
        requests.release_pending_since(&release),
        Some(prefill.server),
    );
    assert_eq!(requests.pending_releases(), 1, "the prefill may arrive after the release request");
    commands.clear();
    requests.on_timeout(START + 3 * S, &mut commands);
    assert_eq!(releases(&commands), std::slice::from_ref(&release));
    requests.release_finished(
        START + 3 * S,
        &release,
        requests.release_pending_since(&release),
        Some(prefill.server),
    );
    assert_eq!(requests.pending_releases(), 0);
}

#[test]
fn answer_to_older_release_does_not_settle_newer_one() {
    let (mut requests, mut commands, id) = (requests(9), Vec::new(), SequenceId(5));
    let prefill = accept_prefill(&mut requests, id);
    requests.client_cancelled(START + MS, id, &mut commands);
    let release = CacheRelease { server: prefill.server, request_id: format!("{:016x}", id.0) };
    let older_since = requests.release_pending_since(&release);
    // A second sequence with the same id is prefilled at the same prefill server, and its client leaves too.
    let second_prefill = loop {
        let second_prefill = accept_prefill(&mut requests, id);
        if second_prefill.server == prefill.server {
            break second_prefill;
        }
        requests.client_cancelled(START + 2 * MS, id, &mut commands);
    };
    assert_eq!(
        requests.release_pending_since(&release),
        None,
        "the release is revoked, since it would also release the second KV cache"
    );
    requests.attempt_ended(
        START + 3 * S,
        &second_prefill,
        AttemptEnd::PrefillDone { cached_tokens: 0.0 },
        &mut commands,
    );
    requests.client_cancelled(START + 3 * S + MS, id, &mut commands);
    let newer_since = requests.release_pending_since(&release);
    assert!(newer_since.is_some() && newer_since != older_since);
    requests.release_finished(START + 6 * S, &release, older_since, Some(prefill.server));
    assert_eq!(
        requests.release_pending_since(&release),
        newer_since,
        "the older release request was sent before the second KV cache existed"
    );
    requests.release_finished(START + 6 * S, &release, newer_since, Some(prefill.server));
    assert_eq!(requests.release_pending_since(&release), None);
}

#[test]
fn pending_release_survives_news_of_earlier_restart() {
    let (mut requests, mut commands, id) = (requests(9), Vec::new(), SequenceId(5));
    let prefill = accept_prefill(&mut requests, id);
    // The server restarted before the prefill, but the endpoint list shows the restart only now. The KV cache is still
    // held.
    requests.client_cancelled(START + MS, id, &mut commands);
    let release = releases(&commands)[0].clone();
    let restarted = Endpoint { started_at: START - S, ..endpoint(prefill.server.0, 0) };
    requests.update_endpoints(
        START + 2 * MS,
        SnapshotKind::Delta,
        &[(restarted, at(prefill.server.0 as u16))],
    );
    assert_eq!(requests.pending_releases(), 1, "the prefill server has not acknowledged the release");
    requests.release_finished(
        START + 3 * S,
        &release,
        requests.release_pending_since(&release),
        Some(prefill.server),
    );
    assert_eq!(requests.pending_releases(), 0);
}
