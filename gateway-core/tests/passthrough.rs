//! Streams whose events pass unchanged, and the bounds of a gateway with few descriptors.

mod common;

use common::*;
use petrelshore::interface::*;
use petrelshore_gateway_core::attempt_outcome::Ending;
use petrelshore_gateway_core::cache_releases::Release;
use petrelshore_gateway_core::connection_pool::Connections;
use petrelshore_gateway_core::passthrough::{Final, Order, Passage, Refusal};
use petrelshore_gateway_core::send_gate::{Denial, Due};
use petrelshore_gateway_core::{Action, Conductor, Dispatch, NewSequence, Reason, Relay};
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

fn conductor() -> Conductor {
    let mut conductor = Conductor::new(START, deployment(), 7);
    conductor.listed(START, SnapshotKind::Full, &[entry(1, 0), entry(2, 1)]);
    conductor
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Two readers, 1 and 2, and a writer, 3, each at a port of its number.
fn passage(most: usize) -> Passage<&'static str> {
    let mut passage = Passage::new(START, deployment(), 7, most);
    let entries = [(entry(1, 0), at(1)), (entry(2, 0), at(2)), (entry(3, 1), at(3))];
    passage.listed(START, SnapshotKind::Full, &entries);
    passage
}

/// Takes a sequence; where its prompt is read.
fn taken(passage: &mut Passage<&'static str>, id: SequenceId) -> Dispatch {
    let mut out = Vec::new();
    passage.take(START, sequence(id, Relay::Passthrough), "hello", &mut out).unwrap();
    sent(&out)
}

fn sent(out: &[Order<&'static str>]) -> Dispatch {
    let sent = out.iter().rev().find_map(|order| match order {
        Order::Send { dispatch, to, message: Some("hello") } => {
            assert_eq!(*to, Some(at(dispatch.server.0 as u16)));
            Some(*dispatch)
        }
        _ => None,
    });
    sent.unwrap_or_else(|| panic!("nothing is sent: {out:?}"))
}

/// An attempt whose connection has come up there.
fn due<'a>(passage: &Passage<&'static str>, dispatch: &'a Dispatch, to: SocketAddr) -> Due<'a> {
    Due { dispatch, ordered: START, to, server_start: passage.since(dispatch.server), client_left: false }
}

#[test]
fn an_attempt_may_not_begin_once_its_client_left_its_answer_is_given_or_its_time_is_over() {
    let (mut passage, mut out, id) = (passage(9), Vec::new(), SequenceId(5));
    let read = taken(&mut passage, id);
    let to = at(read.server.0 as u16);
    let ready = due(&passage, &read, to);
    assert_eq!(passage.may_begin(START + MS, &ready), Ok(()));
    let left = Due { client_left: true, ..ready };
    assert_eq!(passage.may_begin(START + MS, &left), Err(Denial::ClientLeft));
    assert_eq!(passage.may_begin(START + read.limit, &ready), Err(Denial::OutOfTime));
    passage.ended(START + MS, &read, Ending::Reset, &mut out);
    assert_eq!(passage.may_begin(START + MS, &ready), Err(Denial::Superseded), "another attempt is out");
    let again = sent(&out);
    passage.end_all(START + 2 * MS, &mut out);
    let ended = due(&passage, &again, to);
    assert_eq!(passage.may_begin(START + 2 * MS, &ended), Err(Denial::Superseded), "its answer is given");
    assert!(passage.breaches().is_empty(), "{:?}", passage.breaches());
}

fn let_go(out: &[Order<&'static str>]) -> Vec<Release> {
    let releases = out.iter().filter_map(|order| match order {
        Order::LetGo(release) => Some(release.clone()),
        _ => None,
    });
    releases.collect()
}

/// A sequence whose first event has come.
fn streaming(conductor: &mut Conductor, relay: Relay) -> SequenceId {
    let (id, mut out) = (SequenceId(5), Vec::new());
    conductor.take(START, sequence(id, relay), &mut out);
    conductor.ended(START + 10 * MS, id, 0, Ending::ReadDone { kept: 0.0 }, &mut out);
    assert!(matches!(out[..], [Action::Send(_), Action::Send(_)]), "{out:?}");
    conductor.began(START + 20 * MS, id, 1);
    id
}

fn sequence(id: SequenceId, relay: Relay) -> NewSequence {
    NewSequence {
        id,
        traffic: TrafficTypeId(0),
        tenant: None,
        session: None,
        prefix: None,
        prompt_tokens: 100.0,
        prefix_tokens: 0.0,
        max_out: 400.0,
        hint: None,
        resumed: false,
        relay,
        abandon_at: START + 5 * S,
        whole_by: None,
    }
}

#[test]
fn a_passed_stream_that_breaks_has_ended_for_good_where_another_would_go_on() {
    for (relay, goes_on) in [(Relay::Passthrough, false), (Relay::Streamed, true)] {
        let (mut conductor, mut out) = (conductor(), Vec::new());
        let id = streaming(&mut conductor, relay);
        conductor.progressed(START + 30 * MS, id);
        conductor.ended(START + 40 * MS, id, 1, Ending::Reset, &mut out);
        let over = Action::Over { id, outcome: Outcome::Reset, reason: Some(Reason::Broken) };
        let held =
            out.iter().any(|action| matches!(action, Action::Send(Dispatch { held: true, attempt: 2, .. })));
        assert!(!held, "its writer had fetched the state: {out:?}");
        assert_eq!((out.contains(&over), conductor.holds(id)), (!goes_on, goes_on), "{relay:?}: {out:?}");
    }
}

#[test]
fn a_passed_stream_may_pause_for_as_long_as_one_that_still_comes_and_a_dead_one_ends_within_five_seconds() {
    let (mut conductor, mut out) = (conductor(), Vec::new());
    let id = streaming(&mut conductor, Relay::Passthrough);
    // Slow, and far past what its type's pace allows for the whole.
    let mut now = START;
    for _ in 0..20 {
        now += 4_500 * MS;
        conductor.due(now, &mut out);
        conductor.progressed(now, id);
    }
    assert_eq!(out, []);
    conductor.due(now + 4_500 * MS, &mut out);
    assert_eq!(out, []);
    conductor.due(now + 4_700 * MS, &mut out);
    assert!(
        matches!(out[..], [Action::Cancel { .. }, Action::Over { reason: Some(Reason::Broken), .. }, ..]),
        "{out:?}"
    );
}

#[test]
fn told_to_end_all_a_passed_stream_ends_and_one_without_an_event_is_rejected() {
    let (mut conductor, mut out) = (conductor(), Vec::new());
    let id = streaming(&mut conductor, Relay::Passthrough);
    conductor.finish_all(START + S, &mut out);
    let over = Action::Over { id, outcome: Outcome::Cancelled, reason: Some(Reason::Draining) };
    assert_eq!((out.contains(&over), conductor.in_hand()), (true, 0));
}

#[test]
fn streams_that_are_moved_leave_what_has_not_begun_in_hand() {
    let (mut conductor, mut out) = (conductor(), Vec::new());
    let id = streaming(&mut conductor, Relay::Passthrough);
    let waits = SequenceId(6);
    conductor.take(START + 30 * MS, sequence(waits, Relay::Passthrough), &mut out);
    out.clear();
    conductor.finish_streams(START + S, conductor.streams(), &mut out);
    let over = Action::Over { id, outcome: Outcome::Cancelled, reason: Some(Reason::Draining) };
    assert_eq!((out.contains(&over), conductor.in_hand(), conductor.holds(waits)), (true, 1, true));
}

#[test]
fn the_newest_stream_is_moved_first_and_one_that_was_moved_before_last() {
    let (mut conductor, mut out) = (conductor(), Vec::new());
    for (id, after, resumed) in [(1, 0, false), (2, S, false), (3, 2 * S, true)] {
        let now = START + after;
        let new =
            NewSequence { resumed, abandon_at: now + 5 * S, ..sequence(SequenceId(id), Relay::Passthrough) };
        conductor.take(now, new, &mut out);
        conductor.ended(now + MS, SequenceId(id), 0, Ending::ReadDone { kept: 0.0 }, &mut out);
        conductor.began(now + 2 * MS, SequenceId(id), 1);
    }
    let moved = [1, 1, 1].map(|most| {
        out.clear();
        conductor.finish_streams(START + 3 * S, most, &mut out);
        out.iter().find_map(|action| if let Action::Over { id, .. } = action { Some(id.0) } else { None })
    });
    assert_eq!((moved, conductor.streams()), ([Some(2), Some(1), Some(3)], 0));
}

#[test]
fn idle_connections_are_given_up_before_their_servers_do_and_the_longest_idle_makes_room() {
    let mut idle: Connections<u8, u32> = Connections::bounded(5 * S, 3);
    (1..=4).for_each(|c| idle.keep(c * S, c as u8, c as u32));
    assert_eq!(idle.idle(), 3, "no more than so many");
    assert!(idle.shed());
    assert_eq!((idle.take(4 * S, 1, |_| true), idle.idle()), (None, 2), "the first had waited longest");
    assert_eq!(idle.take(6 * S, 2, |_| true), Some((2, 4 * S)));
    assert_eq!(idle.take(7 * S + 1, 3, |_| true), None, "its server may be about to close it");
    assert!(!idle.shed());
}

#[test]
fn a_state_whose_writer_broke_is_let_go_with_the_first_event_of_the_next() {
    let (mut passage, mut out, id) = (passage(9), Vec::new(), SequenceId(5));
    let first = taken(&mut passage, id);
    passage.ended(START + MS, &first, Ending::ReadDone { kept: 0.0 }, &mut out);
    let broken = sent(&out);
    // Its reader drains, so that the prompt is read anew at the other one.
    let drains = Endpoint { state: EndpointState::Draining, ..entry(first.server.0, 0) };
    passage.listed(START + MS, SnapshotKind::Delta, &[(drains, at(first.server.0 as u16))]);
    passage.ended(START + 2 * MS, &broken, Ending::Reset, &mut out);
    let again = sent(&out);
    assert_eq!(
        (again.step, let_go(&out)),
        (Step::Prefill, vec![]),
        "a word now might overtake the read anew"
    );
    assert_ne!(again.server, first.server);
    passage.ended(START + 3 * MS, &again, Ending::ReadDone { kept: 0.0 }, &mut out);
    let writes = sent(&out);
    out.clear();
    passage.began(START + 4 * MS, &writes, &mut out);
    let left: Vec<ServerId> = let_go(&out).iter().map(|release| release.server).collect();
    assert_eq!(left, [first.server], "and nothing at the reader whose state was fetched");
    out.clear();
    passage.ended(START + 5 * MS, &writes, Ending::Generated, &mut out);
    assert_eq!(out, [Order::Answer { id, last: Final::Generated }, Order::Over { id }]);
    assert_eq!(passage.in_hand(), 0);
}

/// A reader, 1, and eight writers.
fn with_writers() -> Passage<&'static str> {
    let mut passage = passage(9);
    let entries: Vec<_> = (1..10).map(|n| (entry(n, usize::from(n > 1)), at(n as u16))).collect();
    passage.listed(START, SnapshotKind::Full, &entries);
    passage
}

#[test]
fn connections_that_never_come_up_do_not_stop_the_time_of_a_state_that_waits() {
    let (mut passage, mut out, id) = (with_writers(), Vec::new(), SequenceId(5));
    let read = taken(&mut passage, id);
    let held = START + 100 * MS;
    passage.ended(held, &read, Ending::ReadDone { kept: 0.0 }, &mut out);
    let (mut now, mut tried) = (held, 0);
    // Each writer is cut off: its connection is given up when its time is over.
    while let_go(&out).is_empty() {
        let write = sent(&out);
        (now, tried) = (now + write.connect_within, tried + 1);
        out.clear();
        passage.ended(now, &write, Ending::NotConnected, &mut out);
    }
    assert!(tried >= 2 && now <= held + 300 * MS, "{tried} writers, let go after {} ms", (now - held) / MS);
    assert_eq!(passage.in_hand(), 0);
}

#[test]
fn a_write_that_its_server_never_proved_to_have_does_not_stop_the_time_and_one_that_it_had_does() {
    for reached in [false, true] {
        let (mut passage, mut out, id) = (with_writers(), Vec::new(), SequenceId(5));
        let read = taken(&mut passage, id);
        passage.ended(START + 100 * MS, &read, Ending::ReadDone { kept: 0.0 }, &mut out);
        let write = sent(&out);
        assert!(write.held, "a used connection has to prove itself");
        if reached {
            passage.reached(id, write.attempt);
        }
        out.clear();
        passage.ended(START + 500 * MS, &write, Ending::TimedOut, &mut out);
        let states: Vec<ServerId> = let_go(&out).iter().map(|release| release.server).collect();
        assert_eq!(states, if reached { vec![] } else { vec![read.server] }, "reached: {reached}");
    }
}

#[test]
fn what_an_older_read_left_has_its_time_after_the_newest_state_is_gone() {
    let six = Deployment { max_attempts: 6, ..deployment() };
    let (mut passage, mut out, id) = (Passage::new(START, six, 7, 9), Vec::new(), SequenceId(5));
    let both =
        |n: u64, condition| (Endpoint { state: condition, ..entry(n, usize::from(n > 2)) }, at(n as u16));
    let entries: Vec<_> = (1..5).map(|n| both(n, EndpointState::Ready)).collect();
    passage.listed(START, SnapshotKind::Full, &entries);
    let first = taken(&mut passage, id);
    passage.ended(START + MS, &first, Ending::ReadDone { kept: 0.0 }, &mut out);
    let broken = sent(&out);
    passage.listed(START + MS, SnapshotKind::Delta, &[both(first.server.0, EndpointState::Draining)]);
    passage.reached(id, broken.attempt);
    passage.ended(START + 2 * MS, &broken, Ending::Reset, &mut out);
    let again = sent(&out);
    assert!(again.step == Step::Prefill && again.server != first.server && again.held);
    passage.reached(id, again.attempt);
    passage.ended(START + 3 * MS, &again, Ending::ReadDone { kept: 0.0 }, &mut out);
    let writes = sent(&out);
    // Nobody is left to be asked once the newest state is gone.
    let gone: Vec<_> = (1..5).map(|n| both(n, EndpointState::Gone)).collect();
    passage.listed(START + 4 * MS, SnapshotKind::Delta, &gone);
    out.clear();
    passage.ended(START + 5 * MS, &writes, Ending::StateMissing, &mut out);
    assert_eq!(passage.in_hand(), 1, "it waits for a server");
    let mut now = START + 5 * MS;
    while let_go(&out).is_empty() {
        now = passage.next_due().expect("it is given up");
        passage.due(now, &mut out);
    }
    assert!(now <= START + 5 * MS + 250 * MS, "{} ms", (now - START) / MS);
    assert_eq!(let_go(&out)[0].server, first.server);
}

#[test]
fn nothing_is_said_for_a_sequence_that_reads_anew_and_a_second_state_is_let_go_at_once() {
    let (mut passage, mut out, id) = (passage(9), Vec::new(), SequenceId(5));
    let read = taken(&mut passage, id);
    let gone = |n: u64| (Endpoint { state: EndpointState::Gone, ..entry(n, 0) }, at(n as u16));
    passage.listed(START, SnapshotKind::Delta, &[gone(1), gone(2)]);
    passage.reached(id, read.attempt);
    passage.ended(START + MS, &read, Ending::Reset, &mut out);
    assert_eq!(let_go(&out).len(), 1, "nothing is out, and it may hold something");
    out.clear();
    passage.listed(START + 2 * MS, SnapshotKind::Delta, &[(entry(1, 0), at(1)), (entry(2, 0), at(2))]);
    passage.due(START + 50 * MS, &mut out);
    let again = sent(&out);
    assert_eq!(
        (again.step, passage.releases_owed()),
        (Step::Prefill, 0),
        "the word would take the second state"
    );
    passage.reached(id, again.attempt);
    out.clear();
    passage.due(START + 400 * MS, &mut out);
    assert_eq!(let_go(&out), []);
    passage.withdrawn(START + 400 * MS, id, &mut out);
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
    let (mut passage, mut out) = (passage(20), Vec::new());
    let ids: Vec<SequenceId> = (1..=19).map(SequenceId).collect();
    let reads: Vec<Dispatch> = ids.iter().map(|id| taken(&mut passage, *id)).collect();
    reads.iter().for_each(|read| passage.withdrawn(START + MS, read.id, &mut out));
    assert_eq!((passage.in_hand(), passage.releases_owed()), (0, 19));
    let takes = |passage: &mut Passage<&'static str>, id| {
        passage
            .take(START + MS, sequence(SequenceId(id), Relay::Passthrough), "hello", &mut Vec::new())
            .is_ok()
    };
    let taken = (100..120).filter(|id| takes(&mut passage, *id)).count();
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
    let mut passage = with_writers();
    let both =
        |n: u64, condition| (Endpoint { state: condition, ..entry(n, usize::from(n > 3)) }, at(n as u16));
    let entries: Vec<_> = (1..10).map(|n| both(n, EndpointState::Ready)).collect();
    passage.listed(START, SnapshotKind::Full, &entries);
    let (mut now, mut out) = (START, Vec::new());
    let mut seen: std::collections::BTreeMap<SequenceId, Seen> = Default::default();
    for step in 0..400 {
        if step % 16 == 0 {
            let id = SequenceId(step);
            let new = NewSequence { abandon_at: now + 5 * S, ..sequence(id, Relay::Passthrough) };
            passage.take(now, new, "hello", &mut out).map_err(|refusal| format!("{refusal:?}"))?;
        }
        loop {
            for order in std::mem::take(&mut out) {
                match order {
                    Order::Send { dispatch, .. } => {
                        let until = now + dispatch.connect_within;
                        seen.entry(dispatch.id).or_default().out = Some((dispatch, false, until));
                    }

                    Order::BreakOff { id, attempt } => {
                        let seen = seen.entry(id).or_default();
                        seen.out.take_if(|(out, ..)| out.attempt == attempt);
                    }
                    Order::LetGo(release) => {
                        let id = SequenceId(u64::from_str_radix(&release.request, 16).unwrap());
                        // A word lets go of all that is held for its request, whoever is told.
                        seen.entry(id).or_default().held.clear();
                        passage.told(
                            now,
                            &release,
                            passage.owed_since(&release),
                            Some(release.server).filter(|_| draw(3) > 0),
                        );
                    }
                    Order::Answer { .. } | Order::Over { .. } => {}
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
                passage.ended(now, &dispatch, Ending::NotConnected, &mut out);
            }
            if !late.is_empty() {
                continue;
            }
            // Time goes on in steps of chance, but not past what is due.
            let waits =
                seen.values().filter_map(|s| s.out).filter(|(_, has, _)| !has).map(|(.., until)| until);
            let due = waits.chain(passage.next_due()).min().unwrap_or(Nanos::MAX).max(now + 1);
            now = (now + 1 + draw(60 * MS)).min(due);
            passage.due(now, &mut out);
            if draw(3) == 0 {
                break;
            }
        }
        if draw(12) == 0 {
            let condition =
                [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone][draw(3) as usize];
            passage.listed(now, SnapshotKind::Delta, &[both(1 + draw(9), condition)]);
        }
        let ids: Vec<SequenceId> = seen.keys().copied().collect();
        let id = ids[draw(ids.len() as u64) as usize];
        if draw(25) == 0 {
            passage.withdrawn(now, id, &mut out);
            continue;
        }
        let Some((dispatch, has, until)) = seen[&id].out else { continue };
        let reads = dispatch.step == Step::Prefill;
        let seen = seen.get_mut(&id).unwrap();
        if !has {
            if draw(2) == 0 {
                seen.out = Some((dispatch, true, until));
                passage.reached(id, dispatch.attempt);
            } else {
                seen.out = None;
                // Never up, or a used connection that leads nowhere.
                let ending = if draw(2) == 0 { Ending::NotConnected } else { Ending::Reset };
                passage.ended(now, &dispatch, ending, &mut out);
            }
            continue;
        }
        seen.out = None;
        let ending = match draw(7) {
            0 => Ending::Reset,
            1 => Ending::RefusedFull,
            2 => Ending::Refused { status: 500 },
            3 if !reads => Ending::StateMissing,
            _ if reads => Ending::ReadDone { kept: 0.0 },
            _ => {
                passage.began(now, &dispatch, &mut out);
                Ending::Generated
            }
        };
        match (ending, reads) {
            (Ending::ReadDone { .. }, _) => seen.held.push(dispatch.server),
            // It may have ended well just as its connection broke.
            (Ending::Reset, true) if draw(2) == 0 => seen.held.push(dispatch.server),
            (Ending::Generated | Ending::StateMissing, _) => {
                seen.held.retain(|reader| Some(*reader) != dispatch.reader);
            }
            _ => {}
        }
        passage.ended(now, &dispatch, ending, &mut out);
    }
    match passage.breaches().is_empty() {
        true => Ok(()),
        false => Err(format!("counted at run time: {:?}", passage.breaches())),
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
    let (mut passage, mut out) = (Passage::new(START, many, 7, 9), Vec::new());
    let both =
        |n: u64, condition| (Endpoint { state: condition, ..entry(n, (n % 2) as usize) }, at(1 + n as u16));
    let listed = |passage: &Passage<&str>| {
        let addresses = passage.addresses();
        (0..4_000).filter(|n| addresses.contains(&at(1 + n))).count()
    };
    let first: Vec<_> = (0..1_024).map(|n| both(n, EndpointState::Ready)).collect();
    passage.listed(START, SnapshotKind::Cached, &first);
    passage.take(START, sequence(SequenceId(5), Relay::Passthrough), "hello", &mut out).unwrap();
    let Some(Order::Send { dispatch: read, .. }) = out.pop() else { panic!("nothing is sent") };
    assert_eq!((listed(&passage), read.step), (1_024, Step::Prefill));
    // A whole new list takes the place of the old one, and half of that is replaced.
    let next: Vec<_> = (1_024..2_048).map(|n| both(n, EndpointState::Ready)).collect();
    passage.listed(START, SnapshotKind::Full, &next);
    assert_eq!((listed(&passage), passage.address(read.server)), (1_024, None));
    let gone = (1_024..1_536).map(|n| both(n, EndpointState::Gone));
    let changes: Vec<_> = gone.chain((2_048..2_560).map(|n| both(n, EndpointState::Ready))).collect();
    passage.listed(START, SnapshotKind::Delta, &changes);
    assert_eq!(listed(&passage), 1_024);
    passage.ended(START + MS, &read, Ending::Reset, &mut out);
    let again = out.iter().find_map(|order| match order {
        Order::Send { dispatch, to, .. } => Some((dispatch.server.0, *to)),
        _ => None,
    });
    let (server, to) = again.expect("it is read elsewhere");
    assert!((1_536..2_560).contains(&server) && to == Some(at(1 + server as u16)));
}

#[test]
fn an_id_in_hand_and_more_than_there_is_room_for_are_refused_and_leave_nothing_behind() {
    let (mut passage, mut out) = (passage(1), Vec::new());
    taken(&mut passage, SequenceId(5));
    let again = passage.take(START, sequence(SequenceId(5), Relay::Passthrough), "hello", &mut out);
    assert_eq!(again, Err(Refusal::IdInHand));
    let other = passage.take(START, sequence(SequenceId(6), Relay::Passthrough), "hello", &mut out);
    assert_eq!(other, Err(Refusal::Full { retry_after: None }), "these settings allow no time to come back");
    assert_eq!((out.len(), passage.in_hand()), (0, 1));
    passage.end_all(START + MS, &mut out);
    let last = Final::Rejected { retry_after: None, reason: Reason::Draining };
    assert!(out.contains(&Order::Answer { id: SequenceId(5), last }), "{out:?}");
    assert_eq!(out.iter().filter(|order| matches!(order, Order::Answer { .. })).count(), 1);
    assert_eq!((passage.in_hand(), passage.counts().taken), (0, 1));
}

#[test]
fn a_client_that_leaves_during_its_read_has_it_broken_off_and_let_go_until_its_reader_says_so() {
    let (mut passage, mut out, id) = (passage(9), Vec::new(), SequenceId(5));
    let read = taken(&mut passage, id);
    passage.withdrawn(START + MS, id, &mut out);
    let release = Release { server: read.server, request: format!("{:016x}", id.0) };
    assert_eq!(out, [Order::BreakOff { id, attempt: 0 }, Order::LetGo(release.clone()), Order::Over { id }]);
    let others: Vec<ServerId> = passage.by_way_of(&release).iter().map(|(other, _)| *other).collect();
    assert!(others.len() == 2 && !others.contains(&read.server), "{others:?}");
    passage.told(START + 2 * MS, &release, passage.owed_since(&release), None);
    passage.told(START + 2 * MS, &release, passage.owed_since(&release), Some(read.server));
    assert_eq!(passage.releases_owed(), 1, "the read may come behind the word");
    out.clear();
    passage.due(START + 3 * S, &mut out);
    assert_eq!(let_go(&out), std::slice::from_ref(&release));
    passage.told(START + 3 * S, &release, passage.owed_since(&release), Some(read.server));
    assert_eq!(passage.releases_owed(), 0);
}

#[test]
fn an_address_that_changes_under_its_name_is_the_one_used_and_what_is_not_listed_any_more_is_gone() {
    let (mut passage, mut out, id) = (passage(9), Vec::new(), SequenceId(5));
    let read = taken(&mut passage, id);
    passage.listed(START, SnapshotKind::Delta, &[(entry(3, 1), at(30))]);
    let addresses = passage.addresses();
    assert_eq!((addresses.contains(&at(3)), addresses.contains(&at(30))), (false, true));
    passage.ended(START + MS, &read, Ending::ReadDone { kept: 0.0 }, &mut out);
    assert!(matches!(out[..], [Order::Send { to: Some(to), .. }] if to == at(30)), "{out:?}");
    let gone = Endpoint { state: EndpointState::Gone, ..entry(read.server.0, 0) };
    passage.listed(START + MS, SnapshotKind::Delta, &[(gone, at(9))]);
    out.clear();
    passage.withdrawn(START + 2 * MS, id, &mut out);
    let release = let_go(&out)[0].clone();
    assert_eq!(passage.address(release.server), None);
    passage.told(START + 2 * MS, &release, passage.owed_since(&release), None);
    assert_eq!(passage.releases_owed(), 1, "its reader may run, and nobody has heard the word");
    passage.told(START + 2 * MS, &release, passage.owed_since(&release), Some(ServerId(3)));
    assert_eq!(passage.releases_owed(), 0, "one that answers passes it on");
}

#[test]
fn an_attempt_that_was_ordered_may_not_begin_once_its_server_drains_has_gone_moved_or_started_anew() {
    let port = |dispatch: &Dispatch| at(dispatch.server.0 as u16);
    let ready = entry(1, 0);
    let changes = [
        (Some(ready.clone()), at(1), Ok(())),
        (Some(Endpoint { state: EndpointState::Draining, ..ready.clone() }), at(1), Err(Denial::Draining)),
        (Some(Endpoint { state: EndpointState::Gone, ..ready.clone() }), at(1), Err(Denial::Gone)),
        (Some(Endpoint { started_at: START, ..ready.clone() }), at(1), Err(Denial::StartedAnew)),
        (Some(ready.clone()), at(9), Err(Denial::Moved)),
        (None, at(1), Err(Denial::Gone)),
    ];
    for (change, address, may) in changes {
        let mut passage = passage(9);
        let read = (0..9)
            .map(|id| taken(&mut passage, SequenceId(id)))
            .find(|read| read.server == ServerId(1))
            .unwrap();
        let due = due(&passage, &read, port(&read));
        assert_eq!(passage.may_begin(START + MS, &due), Ok(()));
        let scope = if change.is_some() { SnapshotKind::Delta } else { SnapshotKind::Full };
        let entries: Vec<_> = change.iter().map(|endpoint| (endpoint.clone(), address)).collect();
        passage.listed(START + 2 * MS, scope, &entries);
        assert_eq!(passage.may_begin(START + 3 * MS, &due), may, "{change:?}");
    }
}

#[test]
fn a_repeat_may_not_begin_once_the_servers_forget_its_mark() {
    let mut deployment = deployment();
    let window = 300 * MS;
    deployment.types[0].idempotency = Idempotency::Keyed { scope: KeyScope::Fleet, window };
    let mut passage = Passage::new(START, deployment, 7, 9);
    passage.listed(
        START,
        SnapshotKind::Full,
        &[(entry(1, 0), at(1)), (entry(2, 0), at(2)), (entry(3, 1), at(3)), (entry(4, 1), at(4))],
    );
    let read = taken(&mut passage, SequenceId(5));
    let mut out = Vec::new();
    assert_eq!(read.send_by, Nanos::MAX, "nothing has run yet");
    passage.ended(START + 10 * MS, &read, Ending::ReadDone { kept: 0.0 }, &mut out);
    let first = sent(&out);
    passage.ended(START + 100 * MS, &first, Ending::Reset, &mut out);
    let again = sent(&out);
    assert!(again.attempt > first.attempt && again.send_by == START + 10 * MS + window, "{again:?}");
    let to = at(again.server.0 as u16);
    let (late, last) = (again.send_by, again.send_by - 1);
    assert_eq!(passage.may_begin(last, &due(&passage, &again, to)), Ok(()));
    let denied = Err(Denial::WindowOver);
    assert_eq!(
        passage.may_begin(late, &due(&passage, &again, to)),
        denied,
        "its connection came up too late"
    );
    // Told as never sent, it is over: nothing goes out past the window, and no retry is called harmless.
    out.clear();
    passage.ended(again.send_by, &again, Ending::NotSent, &mut out);
    let answers =
        out.iter().filter(|order| matches!(order, Order::Answer { last: Final::Aborted { .. }, .. }));
    assert_eq!(
        (answers.count(), out.iter().any(|order| matches!(order, Order::Send { .. }))),
        (1, false),
        "{out:?}"
    );
}

#[test]
fn an_answer_to_an_older_word_settles_nothing_that_is_owed_anew() {
    let (mut passage, mut out, id) = (passage(9), Vec::new(), SequenceId(5));
    let read = taken(&mut passage, id);
    passage.withdrawn(START + MS, id, &mut out);
    let release = Release { server: read.server, request: format!("{:016x}", id.0) };
    let older = passage.owed_since(&release);
    // The same id comes again to the same reader, is read, and its client leaves too.
    let again = loop {
        let again = taken(&mut passage, id);
        if again.server == read.server {
            break again;
        }
        passage.withdrawn(START + 2 * MS, id, &mut out);
    };
    assert_eq!(passage.owed_since(&release), None, "taken back: a word now would take what is read");
    passage.ended(START + 3 * S, &again, Ending::ReadDone { kept: 0.0 }, &mut out);
    passage.withdrawn(START + 3 * S + MS, id, &mut out);
    let newer = passage.owed_since(&release);
    assert!(newer.is_some() && newer != older);
    passage.told(START + 6 * S, &release, older, Some(read.server));
    assert_eq!(passage.owed_since(&release), newer, "it was told before that state was there");
    passage.told(START + 6 * S, &release, newer, Some(read.server));
    assert_eq!(passage.owed_since(&release), None);
}

#[test]
fn a_word_that_is_owed_outlives_word_of_a_restart_before_the_read() {
    let (mut passage, mut out, id) = (passage(9), Vec::new(), SequenceId(5));
    let read = taken(&mut passage, id);
    // Its reader had restarted before that read, and the list tells it only now: what was read is held all the same.
    passage.withdrawn(START + MS, id, &mut out);
    let release = let_go(&out)[0].clone();
    let again = Endpoint { started_at: START - S, ..entry(read.server.0, 0) };
    passage.listed(START + 2 * MS, SnapshotKind::Delta, &[(again, at(read.server.0 as u16))]);
    assert_eq!(passage.releases_owed(), 1, "its reader has not answered");
    passage.told(START + 3 * S, &release, passage.owed_since(&release), Some(read.server));
    assert_eq!(passage.releases_owed(), 0);
}
