//! Room, doors, connections, releases and replays: each decision by itself.

use petrelshore::interface::ServerId;
use petrelshore_gateway_core::cache_releases::{CacheRelease, CacheReleases, CacheState, ReleaseOutcome};
use petrelshore_gateway_core::cancellation_limits::CancellationLimits;
use petrelshore_gateway_core::capacity::{CapacityError, CapacityLimit};
use petrelshore_gateway_core::connection_pool::ConnectionPool;
use petrelshore_gateway_core::flow_control::FlowControl;
use petrelshore_gateway_core::http2_abuse::{Abuse, AbuseDetector, KeepaliveAction, PeerFrame};
use petrelshore_gateway_core::idempotency::{CompletedRequest, IdempotencyStore, KeyStatus};
use petrelshore_gateway_core::ingress_limits::{IngressError, IngressLimits};
use petrelshore_gateway_core::{fingerprint, timeouts, token_estimate};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;

#[test]
fn the_last_of_the_room_is_for_what_is_worth_most_and_one_client_has_its_part() {
    let mut room = CapacityLimit::new(0, 1000);
    let taken = (0..1000).filter(|client| room.acquire(0, *client, 0.0).is_ok()).count();
    assert_eq!(taken, 900);
    assert_eq!(
        (room.acquire(0, 7000, 0.0), room.acquire(0, 7000, 1.0)),
        (Err(CapacityError::Gateway), Ok(()))
    );
    let mut room = CapacityLimit::new(0, 1000);
    let own = (0..1000).filter(|_| room.acquire(0, 1, 1.0).is_ok()).count();
    assert_eq!(
        (own, room.acquire(0, 1, 1.0), room.acquire(0, 2, 1.0)),
        (250, Err(CapacityError::Client), Ok(()))
    );
    room.release(0, 1);
    assert_eq!(room.acquire(0, 1, 1.0), Ok(()));
}

#[test]
fn the_time_to_come_back_grows_with_the_crowd_and_stays_within_its_bounds() {
    let mut room = CapacityLimit::new(0, 10);
    let crowd =
        |room: &mut CapacityLimit, now| (0..200).filter(|c| room.acquire(now, *c, 1.0).is_err()).count();
    crowd(&mut room, S);
    let jammed = room.retry_after(S, Some(8 * S));
    (0..10).for_each(|client| room.release(S, client));
    assert_eq!(jammed, 8 * S);
    let moving = room.retry_after(20 * S, Some(8 * S));
    assert!((100 * MS..jammed).contains(&moving), "{moving}");
}

#[test]
fn connections_and_unread_bytes_are_bounded_in_all_and_for_each_address() {
    let mut limits = IngressLimits::new(200, 1000);
    let first = (0..200).filter(|_| limits.acquire_connection(1).is_ok()).count();
    assert_eq!(
        (first, limits.acquire_connection(1), limits.acquire_connection(2)),
        (100, Err(IngressError::AddressAtCapacity), Ok(()))
    );
    limits.release_connection(1);
    assert_eq!((limits.acquire_connection(1), limits.connections()), (Ok(()), 101));
    assert_eq!(limits.acquire_bytes(1, 600, 500), Err(IngressError::TooLarge));
    let bodies = (0..64).filter(|_| limits.acquire_bytes(1, 0, 1000).is_ok()).count();
    assert_eq!(
        (bodies, limits.acquire_bytes(1, 0, 1), limits.acquire_bytes(2, 0, 1000)),
        (32, Err(IngressError::AddressAtCapacity), Ok(()))
    );
    (0..32).for_each(|_| limits.release_bytes(1, 1000));
    limits.release_bytes(2, 1000);
    assert_eq!(limits.bytes(), 0);
}

#[test]
fn the_connection_used_last_goes_first_and_old_and_closed_ones_are_dropped() {
    let mut idle: ConnectionPool<u8, u32> = ConnectionPool::default();
    (1..=4).for_each(|c| idle.check_in(c * S, 9, c as u32));
    assert_eq!(idle.check_out(5 * S, 9, |c| *c != 4), Some((3, 2 * S)));
    assert_eq!((idle.idle(), idle.check_out(60 * S, 9, |_| true), idle.idle()), (2, None, 0));
    assert_eq!(idle.check_out(0, 8, |_| true), None);
}

#[test]
fn the_connection_that_was_idle_for_longest_makes_room_whatever_came_and_went_before() {
    let mut chance = oorandom::Rand64::new(5);
    let mut idle: ConnectionPool<u64, u64> = ConnectionPool::bounded(3_600_000 * MS, 300);
    let mut kept: Vec<(u64, u64)> = Vec::new();
    for now in 1..20_000u64 {
        let server = chance.rand_range(0..4_200);
        match chance.rand_range(0..5) {
            0..=2 if kept.len() < 300 => {
                idle.check_in(now * MS, server, now);
                kept.push((server, now));
            }
            3 => {
                let known = chance.rand_range(0..kept.len().max(1) as u64) as usize;
                if let Some((server, _)) = kept.get(known).copied() {
                    // Of one server the one used last that has rested goes first.
                    let rested = |&(s, since): &(u64, u64)| s == server && now >= since + 100;
                    let newest = kept.iter().rposition(rested);
                    let taken = idle.check_out(now * MS, server, |_| true).map(|(connection, _)| connection);
                    assert_eq!(taken, newest.map(|at| kept.remove(at).1));
                }
            }
            4 => {
                let before = idle.idle();
                assert_eq!(idle.close_oldest_idle(), !kept.is_empty());
                if !kept.is_empty() {
                    kept.remove(0);
                }
                assert_eq!(idle.idle(), before.saturating_sub(1));
            }
            _ => {}
        }
        assert_eq!(idle.idle(), kept.len());
    }
}

#[test]
fn where_used_connections_break_too_often_each_request_gets_a_new_one_until_that_is_long_ago() {
    let mut idle: ConnectionPool<u8, u32> = ConnectionPool::default();
    (0..20).for_each(|_| idle.reuse_succeeded(S));
    idle.reuse_failed(S, 9, S);
    idle.check_in(S, 9, 1);
    assert!(idle.check_out(S, 9, |_| true).is_some(), "one in twenty is chance");
    idle.check_in(S, 9, 1);
    (0..4).for_each(|_| idle.reuse_failed(S, 8, S));
    assert_eq!(idle.check_out(S, 9, |_| true), None);
    idle.check_in(80 * S, 9, 2);
    assert_eq!(idle.check_out(80 * S, 9, |_| true), Some((2, 0)));
}

#[test]
fn a_connection_that_breaks_under_its_request_makes_the_idle_ones_less_trusted_for_a_while() {
    let mut idle: ConnectionPool<u8, u32> = ConnectionPool::default();
    (1..=3).for_each(|c| idle.check_in(c * S, 9, c as u32));
    assert_eq!(idle.check_out(10 * S, 9, |_| true), Some((3, 7 * S)));
    idle.reuse_failed(10 * S, 9, 7 * S);
    assert_eq!(idle.idle(), 0, "those that were idle for longer than half of that went too");
    idle.check_in(10 * S, 9, 5);
    assert_eq!(idle.check_out(14 * S, 9, |_| true), None);
    (0..100).for_each(|_| idle.check_in(20 * S, 9, 6));
    assert!(idle.check_out(30 * S, 9, |_| true).is_some(), "good exchanges bring the trust back");
    idle.remove(|server| *server == 9);
    assert_eq!(idle.idle(), 0);
}

#[test]
fn a_release_is_told_again_until_it_is_answered_and_not_for_ever() {
    let release = CacheRelease { server: petrelshore::interface::ServerId(1), request_id: "a-0".to_owned() };
    let mut releases = CacheReleases::new(400 * MS);
    releases.add(0, &release, CacheState::Held);
    let mut told = Vec::new();
    while let Some(due) = releases.next_timeout() {
        told.extend(releases.on_timeout(due).iter().map(|_| due));
    }
    assert_eq!(&told[..3], &[100 * MS, 300 * MS, 700 * MS]);
    assert!(told.len() < 30 && told.last().is_some_and(|at| *at < 61 * S));
    assert_eq!((releases.pending(), releases.abandoned()), (0, 1));
    releases.add(0, &release, CacheState::Held);
    releases.finished(0, &release, ReleaseOutcome::Acknowledged);
    assert_eq!((releases.pending(), releases.next_timeout(), releases.abandoned()), (0, None, 1));
}

#[test]
fn a_repeat_gets_the_end_that_its_first_one_got_and_nothing_runs_twice() {
    let key = ("riders".to_owned(), "k".to_owned());
    let mut replays: IdempotencyStore<&str> = IdempotencyStore::default();
    assert_eq!(replays.begin(0, &key, 1), KeyStatus::New);
    assert_eq!(
        (replays.begin(0, &key, 1), replays.begin(0, &key, 2)),
        (KeyStatus::InFlight, KeyStatus::DifferentRequest)
    );
    replays.complete(S, &key, "text", "generated", 10 * S);
    let again = KeyStatus::Completed(CompletedRequest::Answered { text: "text".into(), end: "generated" });
    assert_eq!(
        (replays.begin(10 * S, &key, 1), replays.begin(10 * S, &key, 2)),
        (again, KeyStatus::DifferentRequest)
    );
    assert_eq!((replays.begin(12 * S, &key, 1), replays.bytes()), (KeyStatus::New, 0));
    replays.remove(&key);
    assert_eq!((replays.begin(12 * S, &key, 3), replays.keys()), (KeyStatus::New, 1));
    let other = ("workshops".to_owned(), "k".to_owned());
    assert_eq!(replays.begin(12 * S, &other, 9), KeyStatus::New, "tenants can't meet in a key");
}

#[test]
fn kept_texts_are_bounded_and_a_key_is_remembered_longer_than_its_text() {
    let mut replays: IdempotencyStore<u8> = IdempotencyStore::default();
    let text = "x".repeat(1 << 20);
    let key = |number: u64| ("t".to_owned(), number.to_string());
    for number in 0..100 {
        assert_eq!(replays.begin(number, &key(number), 1), KeyStatus::New);
        replays.complete(number, &key(number), &text, 7, 100 * S);
        assert!(replays.bytes() <= 32 << 20);
    }
    assert_eq!(replays.begin(S, &key(0), 1), KeyStatus::Completed(CompletedRequest::TooLarge));
    assert!(matches!(
        replays.begin(S, &key(99), 1),
        KeyStatus::Completed(CompletedRequest::Answered { end: 7, .. })
    ));
    replays.begin(S, &key(500), 1);
    replays.complete(S, &key(500), &"y".repeat((1 << 20) + 1), 7, S);
    assert_eq!(replays.begin(S, &key(500), 1), KeyStatus::Completed(CompletedRequest::TooLarge));
}

#[test]
fn a_longer_conversation_keeps_its_shared_text_and_times_leave_room_for_the_way() {
    let system = token_estimate::Message { role: "system", text: "You explain faults." };
    let user = token_estimate::Message { role: "user", text: "why" };
    let (one, two) = (token_estimate::estimate_prompt(&[system, user]), {
        let system = token_estimate::Message { role: "system", text: "You explain faults." };
        let other = token_estimate::Message { role: "user", text: "and now something else" };
        token_estimate::estimate_prompt(&[system, other])
    });
    assert!(one.prefix == two.prefix && one.prefix.is_some() && one.prompt_tokens < two.prompt_tokens);
    assert_ne!(fingerprint::session_id("a", "bc"), fingerprint::session_id("ab", "c"));
    assert_ne!(fingerprint::request_fingerprint("m", "p", 1), fingerprint::request_fingerprint("m", "p", 2));
    assert_eq!(timeouts::first_token_deadline(0, 4 * S), 3_950 * MS);
    assert_eq!(timeouts::first_token_deadline(0, 40 * MS), 30 * MS);
    assert!(
        timeouts::connect_timeout(10 * MS, None) <= 10 * MS && timeouts::connect_timeout(60 * S, None) == S
    );
    assert_eq!(timeouts::connect_timeout(5 * S, Some(250 * MS)), 125 * MS, "another is tried after it");
}

#[test]
fn a_client_that_asks_and_withdraws_runs_out_of_credit_and_gets_it_back() {
    let mut withdrawals = CancellationLimits::default();
    let (flood, other) = ((1, None), (1, Some(petrelshore::interface::TenantId(0))));
    let mut taken = 0;
    // A thousand streams a second, each opened and cancelled, for ten seconds.
    for event in 0..10_000 {
        let now = S + event * MS;
        if withdrawals.check(now, flood).is_ok() {
            taken += 1;
            withdrawals.cancelled(now, flood, MS / 2);
        }
        assert_eq!(withdrawals.check(now, other), Ok(()), "another tenant of that address pays for it");
    }
    // 32 at once, and what fades of them in ten seconds.
    assert!((32..=32 + 10 * 5).contains(&taken), "{taken}");
    let now = 11 * S;
    let wait = withdrawals.check(now, flood).expect_err("the credit is used up");
    assert!(wait > 0 && withdrawals.check(now + wait, flood).is_ok(), "the time told is not true: {wait}");
    assert!(withdrawals.check(now + wait / 2, flood).is_err() || wait < 2);
}

#[test]
fn clients_that_leave_now_and_then_or_after_long_are_never_refused() {
    let mut withdrawals = CancellationLimits::default();
    let (some, slow) = ((1, None), (2, None));
    for event in 0..20_000 {
        let now = S + event * MS;
        assert_eq!((withdrawals.check(now, some), withdrawals.check(now, slow)), (Ok(()), Ok(())));
        // A third of one's leave at once; all of the other's wait two seconds in vain.
        match event % 3 {
            0 => withdrawals.cancelled(now, some, 50 * MS),
            _ => withdrawals.first_token(now, some),
        }
        withdrawals.cancelled(now, slow, 2 * S);
    }
}

#[test]
fn withdrawals_remember_a_bounded_number_of_clients_and_the_worst_of_them() {
    let mut withdrawals = CancellationLimits::default();
    (0..100).for_each(|_| withdrawals.cancelled(S, (7, None), MS));
    (100..20_000).for_each(|client| withdrawals.cancelled(S, (client, None), MS));
    assert!(withdrawals.remembered() <= 4_096, "{}", withdrawals.remembered());
    assert!(withdrawals.check(S, (7, None)).is_err(), "the worst was forgotten");
}

#[test]
fn pings_for_nothing_are_bad_manners_and_those_that_measure_a_path_are_not() {
    let mut abuse = AbuseDetector::new(0, 100);
    // A client that measures its path: a ping for each burst that it gets, forty a second.
    for event in 1..10_000 {
        abuse.frame_sent();
        abuse.frame_received(event * 25 * MS, PeerFrame::Ping);
    }
    assert_eq!(abuse.detected(), None);
    // One that keeps an idle connection alive every ten seconds.
    (1..100).for_each(|event| abuse.frame_received(300 * S + event * 10 * S, PeerFrame::Ping));
    assert_eq!(abuse.detected(), None);
    let mut flood = AbuseDetector::new(0, 100);
    let first = (1..1000).find(|event| {
        flood.frame_received(event * MS, PeerFrame::Ping);
        flood.detected().is_some()
    });
    assert_eq!((first, flood.detected()), (Some(10), Some(Abuse::Pings)));
    // On a stream that runs, a flood of pings is one all the same.
    let mut flood = AbuseDetector::new(0, 100);
    (0..1000).for_each(|event| {
        flood.frame_sent();
        flood.frame_received(event * MS, PeerFrame::Ping);
    });
    assert_eq!(flood.detected(), Some(Abuse::Pings));
}

#[test]
fn all_calls_may_be_reset_at_once_and_resets_without_end_may_not() {
    let mut abuse = AbuseDetector::new(0, 1000);
    for round in 1..20 {
        (0..1000).for_each(|_| abuse.frame_received(round * 10 * S, PeerFrame::Reset));
    }
    assert_eq!(abuse.detected(), None);
    let mut flood = AbuseDetector::new(0, 1000);
    (0..5000).for_each(|event| flood.frame_received(event * MS, PeerFrame::Reset));
    assert_eq!(flood.detected(), Some(Abuse::Resets));
    for (what, bad) in [(PeerFrame::Settings, Abuse::Settings), (PeerFrame::Small, Abuse::SmallFrames)] {
        let mut flood = AbuseDetector::new(0, 1000);
        (0..50_000).for_each(|event| flood.frame_received(event * MS / 100, what));
        assert_eq!(flood.detected(), Some(bad));
    }
}

#[test]
fn a_peer_with_calls_that_says_nothing_is_asked_and_then_gone() {
    let mut abuse = AbuseDetector::new(0, 10);
    abuse.call_started();
    abuse.frame_received(S, PeerFrame::Call);
    assert_eq!((abuse.next_timeout(), abuse.on_timeout(15 * S)), (16 * S, None));
    assert_eq!((abuse.on_timeout(16 * S), abuse.on_timeout(17 * S)), (Some(KeepaliveAction::Ping), None));
    // Any word of it is an answer.
    abuse.frame_received(18 * S, PeerFrame::Small);
    assert_eq!((abuse.next_timeout(), abuse.on_timeout(33 * S)), (33 * S, Some(KeepaliveAction::Ping)));
    assert_eq!((abuse.on_timeout(42 * S), abuse.on_timeout(43 * S)), (None, Some(KeepaliveAction::PeerGone)));
    // Without calls nobody asks; the connection is closed when it is idle for long.
    let mut idle = AbuseDetector::new(0, 10);
    idle.call_started();
    idle.call_ended(S);
    assert_eq!(
        (idle.on_timeout(299 * S), idle.on_timeout(301 * S)),
        (None, Some(KeepaliveAction::CloseIdle))
    );
}

#[test]
fn a_stream_that_is_not_read_leaves_the_others_room() {
    let mut windows = FlowControl::default();
    (1..=9).step_by(2).for_each(|stream| windows.stream_opened(stream));
    // Stream 1 is never read, and sends whatever it may.
    let all = windows.sendable(1);
    windows.data_sent(0, 1, all);
    assert_eq!((all, windows.sendable(1)), (40_959, 0));
    // The others are read: each gives back what it was sent, and none of them ever lacks room.
    for turn in 0..10_000 {
        let stream = 3 + 2 * (turn % 4);
        assert!(windows.sendable(stream) >= 1000, "turn {turn}");
        windows.data_sent(turn as u64, stream, 1000);
        windows.window_update(turn as u64, stream, 1000);
        windows.window_update(turn as u64, 0, 1000);
    }
    assert_eq!((windows.next_timeout(), windows.stream_to_reset(100 * S)), (None, None));
    // A client that tells a larger window gives each more of it.
    windows.window_update(0, 0, 1_000_000);
    assert!(windows.sendable(1) > 500_000);
}

#[test]
fn of_a_connection_that_stands_still_the_stream_that_holds_most_is_ended_and_no_other_at_once() {
    let mut windows = FlowControl::default();
    (1..=7).step_by(2).for_each(|stream| windows.stream_opened(stream));
    windows.data_sent(S, 1, 40_000);
    windows.data_sent(S, 3, 25_000);
    windows.data_sent(S, 5, 535);
    assert_eq!((windows.stream_to_reset(3 * S), windows.next_timeout()), (None, Some(4 * S)));
    assert_eq!((windows.stream_to_reset(4 * S), windows.stream_to_reset(5 * S)), (Some(1), None));
    windows.stream_closed(1);
    // It helped: its bytes are given back.
    windows.window_update(5 * S, 0, 40_000);
    assert_eq!((windows.next_timeout(), windows.stream_to_reset(60 * S)), (None, None));
    // A crowd of equals is not at fault one by one, and nor is a stream that is alone.
    let mut crowd = FlowControl::default();
    (0..100).for_each(|stream| {
        crowd.stream_opened(stream + 1);
        crowd.data_sent(0, stream + 1, 656);
    });
    assert_eq!(crowd.stream_to_reset(60 * S), None);
    let mut alone = FlowControl::default();
    alone.stream_opened(1);
    alone.data_sent(0, 1, 65_535);
    assert_eq!(alone.stream_to_reset(60 * S), None);
}

#[test]
fn the_state_of_a_read_that_was_cut_off_is_asked_for_until_the_read_can_no_longer_come() {
    let release = CacheRelease { server: petrelshore::interface::ServerId(1), request_id: "a-0".to_owned() };
    let mut releases = CacheReleases::new(400 * MS);
    releases.add(0, &release, CacheState::Uncertain);
    // Its reader holds nothing yet, and says so; the read is still on its way.
    releases.finished(MS, &release, ReleaseOutcome::Acknowledged);
    let mut told = Vec::new();
    while let Some(due) = releases.next_timeout().filter(|due| *due < 10 * S) {
        if !releases.on_timeout(due).is_empty() {
            told.push(due);
            releases.finished(due + MS, &release, ReleaseOutcome::Acknowledged);
        }
    }
    assert!(told[0] <= 100 * MS && told.iter().any(|at| *at >= 2 * S), "{told:?}");
    assert!(told.windows(2).all(|two| two[1] - two[0] <= 200 * MS), "it may come at any time: {told:?}");
    assert!(told.len() <= 12 && releases.pending() == 0, "{told:?}");
    // A reader that provably does not run holds nothing, and nothing is on its way to it.
    releases.add(0, &release, CacheState::Uncertain);
    releases.finished(MS, &release, ReleaseOutcome::ServerGone);
    assert_eq!(releases.pending(), 0);
}

#[test]
fn a_reader_that_cannot_be_had_is_told_by_way_of_those_heard_last_and_then_of_others() {
    let mut owed = CacheReleases::new(500 * MS);
    let release = CacheRelease { server: ServerId(2), request_id: "a".to_owned() };
    let ready: Vec<(u64, ServerId)> = (1..=7).map(|n| (n * MS, ServerId(n))).collect();
    owed.add(0, &release, CacheState::Held);
    let by = |owed: &CacheReleases| owed.relays(&release, &ready).iter().map(|id| id.0).collect::<Vec<u64>>();
    assert_eq!(by(&owed), [7, 6, 5], "the others were cut off for longer");
    assert_eq!(owed.on_timeout(150 * MS).len(), 1);
    assert_eq!(by(&owed), [4, 3, 1], "not the reader itself");
    assert_eq!(owed.on_timeout(400 * MS).len(), 1);
    assert_eq!(by(&owed), [7, 6, 5]);
    assert_eq!(owed.relays(&release, &[(0, ServerId(2))]), []);
}
