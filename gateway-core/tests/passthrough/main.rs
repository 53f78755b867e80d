//! Streams whose events pass unchanged, and the bounds of a gateway with few descriptors.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use petrelshore::interface::*;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::cache_releases::CacheRelease;
use petrelshore_gateway_core::connection_pool::{ConnectionPool, PooledConnection};
use petrelshore_gateway_core::passthrough::{Command, FinalAnswer, PassthroughRequests, Rejection};
use petrelshore_gateway_core::send_gate::{PendingSend, SendDenial};
use petrelshore_gateway_core::{Action, Dispatch, FailureReason, NewSequence, Relay, RequestManager};
use std::net::SocketAddr;

fn entry(server: u64, kind: usize) -> Endpoint {
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

fn manager() -> RequestManager {
    let mut manager = RequestManager::new(START, deployment(), 7);
    manager.update_endpoints(START, SnapshotKind::Full, &[entry(1, 0), entry(2, 1)]);
    manager
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Two readers, 1 and 2, and a writer, 3, each at a port of its number.
fn requests(most: usize) -> PassthroughRequests<&'static str> {
    let mut requests = PassthroughRequests::new(START, deployment(), 7, most);
    let entries = [(entry(1, 0), at(1)), (entry(2, 0), at(2)), (entry(3, 1), at(3))];
    requests.update_endpoints(START, SnapshotKind::Full, &entries);
    requests
}

/// Takes a sequence; where its prompt is read.
fn taken(requests: &mut PassthroughRequests<&'static str>, id: SequenceId) -> Dispatch {
    let mut out = Vec::new();
    requests.accept(START, new_sequence(id, Relay::Passthrough), "hello", &mut out).unwrap();
    sent(&out)
}

fn sent(out: &[Command<&'static str>]) -> Dispatch {
    let sent = out.iter().rev().find_map(|order| match order {
        Command::Send { dispatch, address: to, message: Some("hello") } => {
            assert_eq!(*to, Some(at(dispatch.server.0 as u16)));
            Some(*dispatch)
        }
        _ => None,
    });
    sent.unwrap_or_else(|| panic!("nothing is sent: {out:?}"))
}

/// An attempt whose connection has come up there.
fn due<'a>(
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

#[test]
fn an_attempt_may_not_begin_once_its_client_left_its_answer_is_given_or_its_time_is_over() {
    let (mut requests, mut out, id) = (requests(9), Vec::new(), SequenceId(5));
    let read = taken(&mut requests, id);
    let to = at(read.server.0 as u16);
    let ready = due(&requests, &read, to);
    assert_eq!(requests.may_send(START + MS, &ready), Ok(()));
    let left = PendingSend { client_left: true, ..ready };
    assert_eq!(requests.may_send(START + MS, &left), Err(SendDenial::ClientLeft));
    assert_eq!(requests.may_send(START + read.timeout, &ready), Err(SendDenial::DeadlineExceeded));
    requests.attempt_ended(START + MS, &read, AttemptEnd::Reset, &mut out);
    assert_eq!(requests.may_send(START + MS, &ready), Err(SendDenial::Superseded), "another attempt is out");
    let again = sent(&out);
    requests.terminate_all(START + 2 * MS, &mut out);
    let ended = due(&requests, &again, to);
    assert_eq!(requests.may_send(START + 2 * MS, &ended), Err(SendDenial::Superseded), "its answer is given");
    assert!(requests.violations().is_empty(), "{:?}", requests.violations());
}

fn let_go(out: &[Command<&'static str>]) -> Vec<CacheRelease> {
    let releases = out.iter().filter_map(|order| match order {
        Command::Release(release) => Some(release.clone()),
        _ => None,
    });
    releases.collect()
}

/// A sequence whose first event has come.
fn streaming(manager: &mut RequestManager, relay: Relay) -> SequenceId {
    let (id, mut out) = (SequenceId(5), Vec::new());
    manager.accept(START, new_sequence(id, relay), &mut out);
    manager.attempt_ended(START + 10 * MS, id, 0, AttemptEnd::PrefillDone { cached_tokens: 0.0 }, &mut out);
    assert!(matches!(out[..], [Action::Send(_), Action::Send(_)]), "{out:?}");
    manager.first_token(START + 20 * MS, id, 1);
    id
}

fn new_sequence(id: SequenceId, relay: Relay) -> NewSequence {
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

#[test]
fn a_passed_stream_that_breaks_has_ended_for_good_where_another_would_go_on() {
    for (relay, goes_on) in [(Relay::Passthrough, false), (Relay::Streamed, true)] {
        let (mut manager, mut out) = (manager(), Vec::new());
        let id = streaming(&mut manager, relay);
        manager.token_received(START + 30 * MS, id);
        manager.attempt_ended(START + 40 * MS, id, 1, AttemptEnd::Reset, &mut out);
        let over =
            Action::Complete { id, outcome: Outcome::Reset, reason: Some(FailureReason::StreamBroken) };
        let held = out
            .iter()
            .any(|action| matches!(action, Action::Send(Dispatch { holds_cache: true, attempt: 2, .. })));
        assert!(!held, "its writer had fetched the state: {out:?}");
        assert_eq!((out.contains(&over), manager.contains(id)), (!goes_on, goes_on), "{relay:?}: {out:?}");
    }
}

#[test]
fn a_passed_stream_may_pause_for_as_long_as_one_that_still_comes_and_a_dead_one_ends_within_five_seconds() {
    let (mut manager, mut out) = (manager(), Vec::new());
    let id = streaming(&mut manager, Relay::Passthrough);
    // Slow, and far past what its type's pace allows for the whole.
    let mut now = START;
    for _ in 0..20 {
        now += 4_500 * MS;
        manager.on_timeout(now, &mut out);
        manager.token_received(now, id);
    }
    assert_eq!(out, []);
    manager.on_timeout(now + 4_500 * MS, &mut out);
    assert_eq!(out, []);
    manager.on_timeout(now + 4_700 * MS, &mut out);
    assert!(
        matches!(
            out[..],
            [Action::Cancel { .. }, Action::Complete { reason: Some(FailureReason::StreamBroken), .. }, ..]
        ),
        "{out:?}"
    );
}

#[test]
fn told_to_end_all_a_passed_stream_ends_and_one_without_an_event_is_rejected() {
    let (mut manager, mut out) = (manager(), Vec::new());
    let id = streaming(&mut manager, Relay::Passthrough);
    manager.terminate_all(START + S, &mut out);
    let over =
        Action::Complete { id, outcome: Outcome::Cancelled, reason: Some(FailureReason::ShuttingDown) };
    assert_eq!((out.contains(&over), manager.unanswered()), (true, 0));
}

#[test]
fn streams_that_are_moved_leave_what_has_not_begun_in_hand() {
    let (mut manager, mut out) = (manager(), Vec::new());
    let id = streaming(&mut manager, Relay::Passthrough);
    let waits = SequenceId(6);
    manager.accept(START + 30 * MS, new_sequence(waits, Relay::Passthrough), &mut out);
    out.clear();
    manager.terminate_streams(START + S, manager.running_streams(), &mut out);
    let over =
        Action::Complete { id, outcome: Outcome::Cancelled, reason: Some(FailureReason::ShuttingDown) };
    assert_eq!((out.contains(&over), manager.unanswered(), manager.contains(waits)), (true, 1, true));
}

#[test]
fn the_newest_stream_is_moved_first_and_one_that_was_moved_before_last() {
    let (mut manager, mut out) = (manager(), Vec::new());
    for (id, after, resumed) in [(1, 0, false), (2, S, false), (3, 2 * S, true)] {
        let now = START + after;
        let new = NewSequence {
            resumed,
            first_token_deadline: now + 5 * S,
            ..new_sequence(SequenceId(id), Relay::Passthrough)
        };
        manager.accept(now, new, &mut out);
        manager.attempt_ended(
            now + MS,
            SequenceId(id),
            0,
            AttemptEnd::PrefillDone { cached_tokens: 0.0 },
            &mut out,
        );
        manager.first_token(now + 2 * MS, SequenceId(id), 1);
    }
    let moved = [1, 1, 1].map(|most| {
        out.clear();
        manager.terminate_streams(START + 3 * S, most, &mut out);
        out.iter().find_map(|action| if let Action::Complete { id, .. } = action { Some(id.0) } else { None })
    });
    assert_eq!((moved, manager.running_streams()), ([Some(2), Some(1), Some(3)], 0));
}

#[test]
fn idle_connections_are_given_up_before_their_servers_do_and_the_longest_idle_makes_room() {
    let mut idle: ConnectionPool<u8, u32> = ConnectionPool::bounded(5 * S, 3);
    (1..=4).for_each(|c| idle.check_in(c * S, c as u8, c as u32));
    assert_eq!(idle.idle(), 3, "no more than so many");
    assert!(idle.close_oldest_idle());
    assert_eq!((idle.check_out(4 * S, 1, |_| true), idle.idle()), (None, 2), "the first had waited longest");
    assert_eq!(idle.check_out(6 * S, 2, |_| true), Some(PooledConnection { connection: 2, idle_for: 4 * S }));
    assert_eq!(idle.check_out(7 * S + 1, 3, |_| true), None, "its server may be about to close it");
    assert!(!idle.close_oldest_idle());
}

#[test]
fn a_state_whose_writer_broke_is_let_go_with_the_first_event_of_the_next() {
    let (mut requests, mut out, id) = (requests(9), Vec::new(), SequenceId(5));
    let first = taken(&mut requests, id);
    requests.attempt_ended(START + MS, &first, AttemptEnd::PrefillDone { cached_tokens: 0.0 }, &mut out);
    let broken = sent(&out);
    // Its reader drains, so that the prompt is read anew at the other one.
    let drains = Endpoint { state: EndpointState::Draining, ..entry(first.server.0, 0) };
    requests.update_endpoints(START + MS, SnapshotKind::Delta, &[(drains, at(first.server.0 as u16))]);
    requests.attempt_ended(START + 2 * MS, &broken, AttemptEnd::Reset, &mut out);
    let again = sent(&out);
    assert_eq!(
        (again.step, let_go(&out)),
        (Step::Prefill, vec![]),
        "a word now might overtake the read anew"
    );
    assert_ne!(again.server, first.server);
    requests.attempt_ended(START + 3 * MS, &again, AttemptEnd::PrefillDone { cached_tokens: 0.0 }, &mut out);
    let writes = sent(&out);
    out.clear();
    requests.first_token(START + 4 * MS, &writes, &mut out);
    let left: Vec<ServerId> = let_go(&out).iter().map(|release| release.server).collect();
    assert_eq!(left, [first.server], "and nothing at the reader whose state was fetched");
    out.clear();
    requests.attempt_ended(START + 5 * MS, &writes, AttemptEnd::Completed, &mut out);
    assert_eq!(out, [Command::Answer { id, last: FinalAnswer::Completed }, Command::Remove { id }]);
    assert_eq!(requests.tracked(), 0);
}

/// A reader, 1, and eight writers.
fn with_writers() -> PassthroughRequests<&'static str> {
    let mut requests = requests(9);
    let entries: Vec<_> = (1..10).map(|n| (entry(n, usize::from(n > 1)), at(n as u16))).collect();
    requests.update_endpoints(START, SnapshotKind::Full, &entries);
    requests
}

#[test]
fn connections_that_never_come_up_do_not_stop_the_time_of_a_state_that_waits() {
    let (mut requests, mut out, id) = (with_writers(), Vec::new(), SequenceId(5));
    let read = taken(&mut requests, id);
    let held = START + 100 * MS;
    requests.attempt_ended(held, &read, AttemptEnd::PrefillDone { cached_tokens: 0.0 }, &mut out);
    let (mut now, mut tried) = (held, 0);
    // Each writer is cut off: its connection is given up when its time is over.
    while let_go(&out).is_empty() {
        let write = sent(&out);
        (now, tried) = (now + write.connect_timeout, tried + 1);
        out.clear();
        requests.attempt_ended(now, &write, AttemptEnd::NotConnected, &mut out);
    }
    assert!(tried >= 2 && now <= held + 300 * MS, "{tried} writers, let go after {} ms", (now - held) / MS);
    assert_eq!(requests.tracked(), 0);
}

#[test]
fn a_write_that_its_server_never_proved_to_have_does_not_stop_the_time_and_one_that_it_had_does() {
    for reached in [false, true] {
        let (mut requests, mut out, id) = (with_writers(), Vec::new(), SequenceId(5));
        let read = taken(&mut requests, id);
        requests.attempt_ended(
            START + 100 * MS,
            &read,
            AttemptEnd::PrefillDone { cached_tokens: 0.0 },
            &mut out,
        );
        let write = sent(&out);
        assert!(write.holds_cache, "a used connection has to prove itself");
        if reached {
            requests.attempt_delivered(id, write.attempt);
        }
        out.clear();
        requests.attempt_ended(START + 500 * MS, &write, AttemptEnd::TimedOut, &mut out);
        let states: Vec<ServerId> = let_go(&out).iter().map(|release| release.server).collect();
        assert_eq!(states, if reached { vec![] } else { vec![read.server] }, "reached: {reached}");
    }
}

#[test]
fn what_an_older_read_left_has_its_time_after_the_newest_state_is_gone() {
    let six = Deployment { max_attempts: 6, ..deployment() };
    let (mut requests, mut out, id) = (PassthroughRequests::new(START, six, 7, 9), Vec::new(), SequenceId(5));
    let both =
        |n: u64, condition| (Endpoint { state: condition, ..entry(n, usize::from(n > 2)) }, at(n as u16));
    let entries: Vec<_> = (1..5).map(|n| both(n, EndpointState::Ready)).collect();
    requests.update_endpoints(START, SnapshotKind::Full, &entries);
    let first = taken(&mut requests, id);
    requests.attempt_ended(START + MS, &first, AttemptEnd::PrefillDone { cached_tokens: 0.0 }, &mut out);
    let broken = sent(&out);
    requests.update_endpoints(
        START + MS,
        SnapshotKind::Delta,
        &[both(first.server.0, EndpointState::Draining)],
    );
    requests.attempt_delivered(id, broken.attempt);
    requests.attempt_ended(START + 2 * MS, &broken, AttemptEnd::Reset, &mut out);
    let again = sent(&out);
    assert!(again.step == Step::Prefill && again.server != first.server && again.holds_cache);
    requests.attempt_delivered(id, again.attempt);
    requests.attempt_ended(START + 3 * MS, &again, AttemptEnd::PrefillDone { cached_tokens: 0.0 }, &mut out);
    let writes = sent(&out);
    // Nobody is left to be asked once the newest state is gone.
    let gone: Vec<_> = (1..5).map(|n| both(n, EndpointState::Gone)).collect();
    requests.update_endpoints(START + 4 * MS, SnapshotKind::Delta, &gone);
    out.clear();
    requests.attempt_ended(START + 5 * MS, &writes, AttemptEnd::KvCacheMissing, &mut out);
    assert_eq!(requests.tracked(), 1, "it waits for a server");
    let mut now = START + 5 * MS;
    while let_go(&out).is_empty() {
        now = requests.next_timeout().expect("it is given up");
        requests.on_timeout(now, &mut out);
    }
    assert!(now <= START + 5 * MS + 250 * MS, "{} ms", (now - START) / MS);
    assert_eq!(let_go(&out)[0].server, first.server);
}

#[test]
fn nothing_is_said_for_a_sequence_that_reads_anew_and_a_second_state_is_let_go_at_once() {
    let (mut requests, mut out, id) = (requests(9), Vec::new(), SequenceId(5));
    let read = taken(&mut requests, id);
    let gone = |n: u64| (Endpoint { state: EndpointState::Gone, ..entry(n, 0) }, at(n as u16));
    requests.update_endpoints(START, SnapshotKind::Delta, &[gone(1), gone(2)]);
    requests.attempt_delivered(id, read.attempt);
    requests.attempt_ended(START + MS, &read, AttemptEnd::Reset, &mut out);
    assert_eq!(let_go(&out).len(), 1, "nothing is out, and it may hold something");
    out.clear();
    requests.update_endpoints(
        START + 2 * MS,
        SnapshotKind::Delta,
        &[(entry(1, 0), at(1)), (entry(2, 0), at(2))],
    );
    requests.on_timeout(START + 50 * MS, &mut out);
    let again = sent(&out);
    assert_eq!(
        (again.step, requests.pending_releases()),
        (Step::Prefill, 0),
        "the word would take the second state"
    );
    requests.attempt_delivered(id, again.attempt);
    out.clear();
    requests.on_timeout(START + 400 * MS, &mut out);
    assert_eq!(let_go(&out), []);
    requests.client_cancelled(START + 400 * MS, id, &mut out);
    let mut told: Vec<ServerId> = let_go(&out).iter().map(|release| release.server).collect();
    told.sort_unstable();
    told.dedup();
    let mut both = vec![read.server, again.server];
    both.sort_unstable();
    both.dedup();
    assert_eq!(told, both);
}

#[test]
fn what_is_owed_takes_places_of_sequences_beyond_those_kept_for_it() {
    let (mut requests, mut out) = (requests(20), Vec::new());
    let ids: Vec<SequenceId> = (1..=19).map(SequenceId).collect();
    let reads: Vec<Dispatch> = ids.iter().map(|id| taken(&mut requests, *id)).collect();
    reads.iter().for_each(|read| requests.client_cancelled(START + MS, read.id, &mut out));
    assert_eq!((requests.tracked(), requests.pending_releases()), (0, 19));
    let takes = |requests: &mut PassthroughRequests<&'static str>, id| {
        requests
            .accept(START + MS, new_sequence(SequenceId(id), Relay::Passthrough), "hello", &mut Vec::new())
            .is_ok()
    };
    let taken = (100..120).filter(|id| takes(&mut requests, *id)).count();
    assert_eq!(taken, 20 - (19 - 8), "eight are kept, eleven more take the place of sequences");
}

/// What model servers see of one sequence: what they hold for it, and which attempt they have.
#[derive(Default)]
struct Seen {
    held: Vec<ServerId>,
    /// And whether it provably has it, and until when its connection may take.
    out: Option<(Dispatch, bool, Nanos)>,
    /// Since when something is held while no server has an attempt.
    since: Option<Nanos>,
}

impl Seen {
    fn look(&mut self, now: Nanos) -> Result<(), String> {
        let idle = !self.held.is_empty() && !self.out.is_some_and(|(_, has, _)| has);
        self.since = if idle { self.since.or(Some(now)) } else { None };
        match self.since {
            Some(since) if now - since > 300 * MS => Err(format!("held for {} ms", (now - since) / MS)),
            _ => Ok(()),
        }
    }
}

/// One course of a few sequences before servers that answer, break, are cut off or fall silent by chance.
fn course(seed: u64) -> Result<(), String> {
    let mut chance = oorandom::Rand64::new(seed.into());
    let mut draw = |below: u64| chance.rand_range(0..below);
    let mut requests = with_writers();
    let both =
        |n: u64, condition| (Endpoint { state: condition, ..entry(n, usize::from(n > 3)) }, at(n as u16));
    let entries: Vec<_> = (1..10).map(|n| both(n, EndpointState::Ready)).collect();
    requests.update_endpoints(START, SnapshotKind::Full, &entries);
    let (mut now, mut out) = (START, Vec::new());
    let mut seen: std::collections::BTreeMap<SequenceId, Seen> = Default::default();
    for step in 0..400 {
        if step % 16 == 0 {
            let id = SequenceId(step);
            let new =
                NewSequence { first_token_deadline: now + 5 * S, ..new_sequence(id, Relay::Passthrough) };
            requests.accept(now, new, "hello", &mut out).map_err(|refusal| format!("{refusal:?}"))?;
        }
        loop {
            for order in std::mem::take(&mut out) {
                match order {
                    Command::Send { dispatch, .. } => {
                        let until = now + dispatch.connect_timeout;
                        seen.entry(dispatch.id).or_default().out = Some((dispatch, false, until));
                    }

                    Command::Cancel { id, attempt } => {
                        let seen = seen.entry(id).or_default();
                        seen.out.take_if(|(out, ..)| out.attempt == attempt);
                    }
                    Command::Release(release) => {
                        let id = SequenceId(u64::from_str_radix(&release.request_id, 16).unwrap());
                        // A word lets go of all that is held for its request, whoever is told.
                        seen.entry(id).or_default().held.clear();
                        requests.release_finished(
                            now,
                            &release,
                            requests.release_pending_since(&release),
                            Some(release.server).filter(|_| draw(3) > 0),
                        );
                    }
                    Command::Answer { .. } | Command::Remove { .. } => {}
                }
            }
            for seen in seen.values_mut() {
                seen.look(now)?;
            }
            // Connections that are not up in their time are given up.
            let late =
                |(_, s): &(&SequenceId, &Seen)| s.out.is_some_and(|(_, has, until)| !has && now >= until);
            let late: Vec<SequenceId> = seen.iter().filter(late).map(|(id, _)| *id).collect();
            for id in &late {
                let (dispatch, ..) = seen.get_mut(id).and_then(|seen| seen.out.take()).unwrap();
                requests.attempt_ended(now, &dispatch, AttemptEnd::NotConnected, &mut out);
            }
            if !late.is_empty() {
                continue;
            }
            // Time goes on in steps of chance, but not past what is due.
            let waits =
                seen.values().filter_map(|s| s.out).filter(|(_, has, _)| !has).map(|(.., until)| until);
            let due = waits.chain(requests.next_timeout()).min().unwrap_or(Nanos::MAX).max(now + 1);
            now = (now + 1 + draw(60 * MS)).min(due);
            requests.on_timeout(now, &mut out);
            if draw(3) == 0 {
                break;
            }
        }
        if draw(12) == 0 {
            let condition =
                [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone][draw(3) as usize];
            requests.update_endpoints(now, SnapshotKind::Delta, &[both(1 + draw(9), condition)]);
        }
        let ids: Vec<SequenceId> = seen.keys().copied().collect();
        let id = ids[draw(ids.len() as u64) as usize];
        if draw(25) == 0 {
            requests.client_cancelled(now, id, &mut out);
            continue;
        }
        let Some((dispatch, has, until)) = seen[&id].out else { continue };
        let reads = dispatch.step == Step::Prefill;
        let seen = seen.get_mut(&id).unwrap();
        if !has {
            if draw(2) == 0 {
                seen.out = Some((dispatch, true, until));
                requests.attempt_delivered(id, dispatch.attempt);
            } else {
                seen.out = None;
                // Never up, or a used connection that leads nowhere.
                let ending = if draw(2) == 0 { AttemptEnd::NotConnected } else { AttemptEnd::Reset };
                requests.attempt_ended(now, &dispatch, ending, &mut out);
            }
            continue;
        }
        seen.out = None;
        let ending = match draw(7) {
            0 => AttemptEnd::Reset,
            1 => AttemptEnd::AtCapacity,
            2 => AttemptEnd::ErrorStatus { status: 500 },
            3 if !reads => AttemptEnd::KvCacheMissing,
            _ if reads => AttemptEnd::PrefillDone { cached_tokens: 0.0 },
            _ => {
                requests.first_token(now, &dispatch, &mut out);
                AttemptEnd::Completed
            }
        };
        match (ending, reads) {
            (AttemptEnd::PrefillDone { .. }, _) => seen.held.push(dispatch.server),
            // It may have ended well just as its connection broke.
            (AttemptEnd::Reset, true) if draw(2) == 0 => seen.held.push(dispatch.server),
            (AttemptEnd::Completed | AttemptEnd::KvCacheMissing, _) => {
                seen.held.retain(|reader| Some(*reader) != dispatch.prefill_server);
            }
            _ => {}
        }
        requests.attempt_ended(now, &dispatch, ending, &mut out);
    }
    match requests.violations().is_empty() {
        true => Ok(()),
        false => Err(format!("counted at run time: {:?}", requests.violations())),
    }
}

#[test]
fn whatever_breaks_or_never_comes_up_nothing_is_held_past_its_time() {
    for seed in 0..200 {
        if let Err(what) = course(seed) {
            panic!("seed {seed}: {what}");
        }
    }
}

#[test]
fn a_thousand_servers_and_gateways_are_listed_replaced_and_changed() {
    let many = Deployment { gateways: 1_024, ..deployment() };
    let (mut requests, mut out) = (PassthroughRequests::new(START, many, 7, 9), Vec::new());
    let both =
        |n: u64, condition| (Endpoint { state: condition, ..entry(n, (n % 2) as usize) }, at(1 + n as u16));
    let listed = |requests: &PassthroughRequests<&str>| {
        let addresses = requests.server_addresses();
        (0..4_000).filter(|n| addresses.contains(&at(1 + n))).count()
    };
    let first: Vec<_> = (0..1_024).map(|n| both(n, EndpointState::Ready)).collect();
    requests.update_endpoints(START, SnapshotKind::Cached, &first);
    requests.accept(START, new_sequence(SequenceId(5), Relay::Passthrough), "hello", &mut out).unwrap();
    let Some(Command::Send { dispatch: read, .. }) = out.pop() else { panic!("nothing is sent") };
    assert_eq!((listed(&requests), read.step), (1_024, Step::Prefill));
    // A whole new list takes the place of the old one, and half of that is replaced.
    let next: Vec<_> = (1_024..2_048).map(|n| both(n, EndpointState::Ready)).collect();
    requests.update_endpoints(START, SnapshotKind::Full, &next);
    assert_eq!((listed(&requests), requests.server_address(read.server)), (1_024, None));
    let gone = (1_024..1_536).map(|n| both(n, EndpointState::Gone));
    let changes: Vec<_> = gone.chain((2_048..2_560).map(|n| both(n, EndpointState::Ready))).collect();
    requests.update_endpoints(START, SnapshotKind::Delta, &changes);
    assert_eq!(listed(&requests), 1_024);
    requests.attempt_ended(START + MS, &read, AttemptEnd::Reset, &mut out);
    let again = out.iter().find_map(|order| match order {
        Command::Send { dispatch, address: to, .. } => Some((dispatch.server.0, *to)),
        _ => None,
    });
    let (server, to) = again.expect("it is read elsewhere");
    assert!((1_536..2_560).contains(&server) && to == Some(at(1 + server as u16)));
}

#[test]
fn an_id_in_hand_and_more_than_there_is_room_for_are_refused_and_leave_nothing_behind() {
    let (mut requests, mut out) = (requests(1), Vec::new());
    taken(&mut requests, SequenceId(5));
    let again = requests.accept(START, new_sequence(SequenceId(5), Relay::Passthrough), "hello", &mut out);
    assert_eq!(again, Err(Rejection::DuplicateId));
    let other = requests.accept(START, new_sequence(SequenceId(6), Relay::Passthrough), "hello", &mut out);
    assert_eq!(
        other,
        Err(Rejection::AtCapacity { retry_after: None }),
        "these settings allow no time to come back"
    );
    assert_eq!((out.len(), requests.tracked()), (0, 1));
    requests.terminate_all(START + MS, &mut out);
    let last = FinalAnswer::Rejected { retry_after: None, reason: FailureReason::ShuttingDown };
    assert!(out.contains(&Command::Answer { id: SequenceId(5), last }), "{out:?}");
    assert_eq!(out.iter().filter(|order| matches!(order, Command::Answer { .. })).count(), 1);
    assert_eq!((requests.tracked(), requests.counts().accepted), (0, 1));
}

#[test]
fn a_client_that_leaves_during_its_read_has_it_broken_off_and_let_go_until_its_reader_says_so() {
    let (mut requests, mut out, id) = (requests(9), Vec::new(), SequenceId(5));
    let read = taken(&mut requests, id);
    requests.client_cancelled(START + MS, id, &mut out);
    let release = CacheRelease { server: read.server, request_id: format!("{:016x}", id.0) };
    assert_eq!(
        out,
        [Command::Cancel { id, attempt: 0 }, Command::Release(release.clone()), Command::Remove { id }]
    );
    let others: Vec<ServerId> = requests.release_relays(&release).iter().map(|(other, _)| *other).collect();
    assert!(others.len() == 2 && !others.contains(&read.server), "{others:?}");
    requests.release_finished(START + 2 * MS, &release, requests.release_pending_since(&release), None);
    requests.release_finished(
        START + 2 * MS,
        &release,
        requests.release_pending_since(&release),
        Some(read.server),
    );
    assert_eq!(requests.pending_releases(), 1, "the read may come behind the word");
    out.clear();
    requests.on_timeout(START + 3 * S, &mut out);
    assert_eq!(let_go(&out), std::slice::from_ref(&release));
    requests.release_finished(
        START + 3 * S,
        &release,
        requests.release_pending_since(&release),
        Some(read.server),
    );
    assert_eq!(requests.pending_releases(), 0);
}

#[test]
fn an_address_that_changes_under_its_name_is_the_one_used_and_what_is_not_listed_any_more_is_gone() {
    let (mut requests, mut out, id) = (requests(9), Vec::new(), SequenceId(5));
    let read = taken(&mut requests, id);
    requests.update_endpoints(START, SnapshotKind::Delta, &[(entry(3, 1), at(30))]);
    let addresses = requests.server_addresses();
    assert_eq!((addresses.contains(&at(3)), addresses.contains(&at(30))), (false, true));
    requests.attempt_ended(START + MS, &read, AttemptEnd::PrefillDone { cached_tokens: 0.0 }, &mut out);
    assert!(matches!(out[..], [Command::Send { address: Some(to), .. }] if to == at(30)), "{out:?}");
    let gone = Endpoint { state: EndpointState::Gone, ..entry(read.server.0, 0) };
    requests.update_endpoints(START + MS, SnapshotKind::Delta, &[(gone, at(9))]);
    out.clear();
    requests.client_cancelled(START + 2 * MS, id, &mut out);
    let release = let_go(&out)[0].clone();
    assert_eq!(requests.server_address(release.server), None);
    requests.release_finished(START + 2 * MS, &release, requests.release_pending_since(&release), None);
    assert_eq!(requests.pending_releases(), 1, "its reader may run, and nobody has heard the word");
    requests.release_finished(
        START + 2 * MS,
        &release,
        requests.release_pending_since(&release),
        Some(ServerId(3)),
    );
    assert_eq!(requests.pending_releases(), 0, "one that answers passes it on");
}

#[test]
fn an_attempt_that_was_ordered_may_not_begin_once_its_server_drains_has_gone_moved_or_started_anew() {
    let port = |dispatch: &Dispatch| at(dispatch.server.0 as u16);
    let ready = entry(1, 0);
    let changes = [
        (Some(ready.clone()), at(1), Ok(())),
        (
            Some(Endpoint { state: EndpointState::Draining, ..ready.clone() }),
            at(1),
            Err(SendDenial::Draining),
        ),
        (Some(Endpoint { state: EndpointState::Gone, ..ready.clone() }), at(1), Err(SendDenial::Gone)),
        (Some(Endpoint { started_at: START, ..ready.clone() }), at(1), Err(SendDenial::Restarted)),
        (Some(ready.clone()), at(9), Err(SendDenial::AddressChanged)),
        (None, at(1), Err(SendDenial::Gone)),
    ];
    for (change, address, may) in changes {
        let mut requests = requests(9);
        let read = (0..9)
            .map(|id| taken(&mut requests, SequenceId(id)))
            .find(|read| read.server == ServerId(1))
            .unwrap();
        let due = due(&requests, &read, port(&read));
        assert_eq!(requests.may_send(START + MS, &due), Ok(()));
        let scope = if change.is_some() { SnapshotKind::Delta } else { SnapshotKind::Full };
        let entries: Vec<_> = change.iter().map(|endpoint| (endpoint.clone(), address)).collect();
        requests.update_endpoints(START + 2 * MS, scope, &entries);
        assert_eq!(requests.may_send(START + 3 * MS, &due), may, "{change:?}");
    }
}

#[test]
fn a_repeat_may_not_begin_once_the_servers_forget_its_mark() {
    let mut deployment = deployment();
    let window = 300 * MS;
    deployment.types[0].idempotency = Idempotency::Keyed { scope: KeyScope::Fleet, window };
    let mut requests = PassthroughRequests::new(START, deployment, 7, 9);
    requests.update_endpoints(
        START,
        SnapshotKind::Full,
        &[(entry(1, 0), at(1)), (entry(2, 0), at(2)), (entry(3, 1), at(3)), (entry(4, 1), at(4))],
    );
    let read = taken(&mut requests, SequenceId(5));
    let mut out = Vec::new();
    assert_eq!(read.send_deadline, Nanos::MAX, "nothing has run yet");
    requests.attempt_ended(START + 10 * MS, &read, AttemptEnd::PrefillDone { cached_tokens: 0.0 }, &mut out);
    let first = sent(&out);
    requests.attempt_ended(START + 100 * MS, &first, AttemptEnd::Reset, &mut out);
    let again = sent(&out);
    assert!(again.attempt > first.attempt && again.send_deadline == START + 10 * MS + window, "{again:?}");
    let to = at(again.server.0 as u16);
    let (late, last) = (again.send_deadline, again.send_deadline - 1);
    assert_eq!(requests.may_send(last, &due(&requests, &again, to)), Ok(()));
    let denied = Err(SendDenial::KeyExpired);
    assert_eq!(
        requests.may_send(late, &due(&requests, &again, to)),
        denied,
        "its connection came up too late"
    );
    // Told as never sent, it is over: nothing goes out past the window, and no retry is called harmless.
    out.clear();
    requests.attempt_ended(again.send_deadline, &again, AttemptEnd::NotSent, &mut out);
    let answers =
        out.iter().filter(|order| matches!(order, Command::Answer { last: FinalAnswer::Aborted { .. }, .. }));
    assert_eq!(
        (answers.count(), out.iter().any(|order| matches!(order, Command::Send { .. }))),
        (1, false),
        "{out:?}"
    );
}

#[test]
fn an_answer_to_an_older_word_settles_nothing_that_is_owed_anew() {
    let (mut requests, mut out, id) = (requests(9), Vec::new(), SequenceId(5));
    let read = taken(&mut requests, id);
    requests.client_cancelled(START + MS, id, &mut out);
    let release = CacheRelease { server: read.server, request_id: format!("{:016x}", id.0) };
    let older = requests.release_pending_since(&release);
    // The same id comes again to the same reader, is read, and its client leaves too.
    let again = loop {
        let again = taken(&mut requests, id);
        if again.server == read.server {
            break again;
        }
        requests.client_cancelled(START + 2 * MS, id, &mut out);
    };
    assert_eq!(
        requests.release_pending_since(&release),
        None,
        "taken back: a word now would take what is read"
    );
    requests.attempt_ended(START + 3 * S, &again, AttemptEnd::PrefillDone { cached_tokens: 0.0 }, &mut out);
    requests.client_cancelled(START + 3 * S + MS, id, &mut out);
    let newer = requests.release_pending_since(&release);
    assert!(newer.is_some() && newer != older);
    requests.release_finished(START + 6 * S, &release, older, Some(read.server));
    assert_eq!(requests.release_pending_since(&release), newer, "it was told before that state was there");
    requests.release_finished(START + 6 * S, &release, newer, Some(read.server));
    assert_eq!(requests.release_pending_since(&release), None);
}

#[test]
fn a_word_that_is_owed_outlives_word_of_a_restart_before_the_read() {
    let (mut requests, mut out, id) = (requests(9), Vec::new(), SequenceId(5));
    let read = taken(&mut requests, id);
    // Its reader had restarted before that read, and the list tells it only now: what was read is held all the same.
    requests.client_cancelled(START + MS, id, &mut out);
    let release = let_go(&out)[0].clone();
    let again = Endpoint { started_at: START - S, ..entry(read.server.0, 0) };
    requests.update_endpoints(START + 2 * MS, SnapshotKind::Delta, &[(again, at(read.server.0 as u16))]);
    assert_eq!(requests.pending_releases(), 1, "its reader has not answered");
    requests.release_finished(
        START + 3 * S,
        &release,
        requests.release_pending_since(&release),
        Some(read.server),
    );
    assert_eq!(requests.pending_releases(), 0);
}
