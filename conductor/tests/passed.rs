//! Streams whose events pass unchanged, and the bounds of a gateway with few descriptors.

use petrelshore::interface::*;
use petrelshore_conductor::connections::Connections;
use petrelshore_conductor::passage::{Final, Order, Passage, Refusal};
use petrelshore_conductor::proof::Ending;
use petrelshore_conductor::releases::Release;
use petrelshore_conductor::{Action, Conductor, Dispatch, NewSequence, Reason, Relay};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const START: Nanos = 1_000 * S;

fn deployment() -> Deployment {
    let kind = |role| Kind { role, memory_tokens: 100_000.0 };
    Deployment {
        gateways: 1,
        zone: ZoneId(0),
        types: vec![TrafficType {
            utility: 1.0,
            latency_slo: S,
            slo_per_prompt_token: 0,
            token_pace: 20 * MS,
            effect: Effect::Repeatable,
        }],
        kinds: vec![kind(Role::Reader), kind(Role::Writer)],
        tenants: vec![],
        over_share_utility: 0.1,
        weights: Weights::Unused,
        discovery: Discovery::Pushed,
        ask_within: S,
        max_attempts: 4,
        longest_retry_after: None,
        writers_read: false,
        release_within: 500 * MS,
        cold_for: 10 * S,
        cold_from: 0.3,
        cold_multiple: 2.5,
        cold_window: S,
    }
}

fn entry(server: u64, kind: usize) -> Listing {
    Listing {
        server: ServerId(server),
        kind: KindId(kind),
        cell: CellId(0),
        zone: ZoneId(0),
        weight: 1.0,
        since: 0,
        condition: Condition::Ready,
    }
}

fn conductor() -> Conductor {
    let mut conductor = Conductor::new(START, deployment(), 7);
    conductor.listed(START, ListScope::Whole, &[entry(1, 0), entry(2, 1)]);
    conductor
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Two readers, 1 and 2, and a writer, 3, each at a port of its number.
fn passage(most: usize) -> Passage<&'static str> {
    let mut passage = Passage::new(START, deployment(), 7, most);
    let entries = [(entry(1, 0), at(1)), (entry(2, 0), at(2)), (entry(3, 1), at(3))];
    passage.listed(START, ListScope::Whole, &entries);
    passage
}

/// Takes a sequence; where its prompt is read.
fn taken(passage: &mut Passage<&'static str>, id: SeqId) -> Dispatch {
    let mut out = Vec::new();
    passage.take(START, sequence(id, Relay::Passed), "hello", &mut out).unwrap();
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

fn let_go(out: &[Order<&'static str>]) -> Vec<Release> {
    let releases = out.iter().filter_map(|order| match order {
        Order::LetGo(release) => Some(release.clone()),
        _ => None,
    });
    releases.collect()
}

/// A sequence whose first event has come.
fn streaming(conductor: &mut Conductor, relay: Relay) -> SeqId {
    let (id, mut out) = (SeqId(5), Vec::new());
    conductor.take(START, sequence(id, relay), &mut out);
    conductor.ended(START + 10 * MS, id, 0, Ending::ReadDone { kept: 0.0 }, &mut out);
    assert!(matches!(out[..], [Action::Send(_), Action::Send(_)]), "{out:?}");
    conductor.began(START + 20 * MS, id, 1);
    id
}

fn sequence(id: SeqId, relay: Relay) -> NewSequence {
    NewSequence {
        id,
        traffic: TypeId(0),
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
    for (relay, goes_on) in [(Relay::Passed, false), (Relay::Streamed, true)] {
        let (mut conductor, mut out) = (conductor(), Vec::new());
        let id = streaming(&mut conductor, relay);
        conductor.progressed(START + 30 * MS, id);
        conductor.ended(START + 40 * MS, id, 1, Ending::Reset, &mut out);
        let over = Action::Over { id, outcome: Outcome::Reset, reason: Some(Reason::Broken) };
        assert_eq!((out.contains(&over), conductor.holds(id)), (!goes_on, goes_on), "{relay:?}: {out:?}");
    }
}

#[test]
fn a_passed_stream_may_pause_for_as_long_as_one_that_still_comes_and_a_dead_one_ends_within_five_seconds() {
    let (mut conductor, mut out) = (conductor(), Vec::new());
    let id = streaming(&mut conductor, Relay::Passed);
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
    let id = streaming(&mut conductor, Relay::Passed);
    conductor.finish_all(START + S, &mut out);
    let over = Action::Over { id, outcome: Outcome::Cancelled, reason: Some(Reason::Draining) };
    assert_eq!((out.contains(&over), conductor.in_hand()), (true, 0));
}

#[test]
fn streams_that_are_moved_leave_what_has_not_begun_in_hand() {
    let (mut conductor, mut out) = (conductor(), Vec::new());
    let id = streaming(&mut conductor, Relay::Passed);
    let waits = SeqId(6);
    conductor.take(START + 30 * MS, sequence(waits, Relay::Passed), &mut out);
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
        let new = NewSequence { resumed, abandon_at: now + 5 * S, ..sequence(SeqId(id), Relay::Passed) };
        conductor.take(now, new, &mut out);
        conductor.ended(now + MS, SeqId(id), 0, Ending::ReadDone { kept: 0.0 }, &mut out);
        conductor.began(now + 2 * MS, SeqId(id), 1);
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
    let (mut passage, mut out, id) = (passage(9), Vec::new(), SeqId(5));
    let first = taken(&mut passage, id);
    passage.ended(START + MS, &first, Ending::ReadDone { kept: 0.0 }, &mut out);
    let broken = sent(&out);
    // Its reader drains, so that the prompt is read anew at the other one.
    let drains = Listing { condition: Condition::Draining, ..entry(first.server.0, 0) };
    passage.listed(START + MS, ListScope::Changes, &[(drains, at(first.server.0 as u16))]);
    passage.ended(START + 2 * MS, &broken, Ending::Reset, &mut out);
    let again = sent(&out);
    assert_eq!((again.step, let_go(&out)), (Step::Read, vec![]), "a word now might overtake the read anew");
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
    passage.listed(START, ListScope::Whole, &entries);
    passage
}

#[test]
fn connections_that_never_come_up_do_not_stop_the_time_of_a_state_that_waits() {
    let (mut passage, mut out, id) = (with_writers(), Vec::new(), SeqId(5));
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
fn an_id_in_hand_and_more_than_there_is_room_for_are_refused_and_leave_nothing_behind() {
    let (mut passage, mut out) = (passage(1), Vec::new());
    taken(&mut passage, SeqId(5));
    let again = passage.take(START, sequence(SeqId(5), Relay::Passed), "hello", &mut out);
    assert_eq!(again, Err(Refusal::IdInHand));
    let other = passage.take(START, sequence(SeqId(6), Relay::Passed), "hello", &mut out);
    assert_eq!(other, Err(Refusal::Full { retry_after: None }), "these settings allow no time to come back");
    assert_eq!((out.len(), passage.in_hand()), (0, 1));
    passage.end_all(START + MS, &mut out);
    let last = Final::Rejected { retry_after: None, reason: Reason::Draining };
    assert!(out.contains(&Order::Answer { id: SeqId(5), last }), "{out:?}");
    assert_eq!(out.iter().filter(|order| matches!(order, Order::Answer { .. })).count(), 1);
    assert_eq!((passage.in_hand(), passage.counts().taken), (0, 1));
}

#[test]
fn a_client_that_leaves_during_its_read_has_it_broken_off_and_let_go_until_its_reader_says_so() {
    let (mut passage, mut out, id) = (passage(9), Vec::new(), SeqId(5));
    let read = taken(&mut passage, id);
    passage.withdrawn(START + MS, id, &mut out);
    let release = Release { server: read.server, request: format!("{:016x}", id.0) };
    assert_eq!(out, [Order::BreakOff { id, attempt: 0 }, Order::LetGo(release.clone()), Order::Over { id }]);
    assert!(passage.by_way_of(&release).is_some_and(|other| Some(other) != passage.address(read.server)));
    passage.told(START + 2 * MS, &release, false);
    passage.told(START + 2 * MS, &release, true);
    assert_eq!(passage.releases_owed(), 1, "the read may come behind the word");
    out.clear();
    passage.due(START + 3 * S, &mut out);
    assert_eq!(let_go(&out), std::slice::from_ref(&release));
    passage.told(START + 3 * S, &release, true);
    assert_eq!(passage.releases_owed(), 0);
}

#[test]
fn an_address_that_changes_under_its_name_is_the_one_used_and_what_is_not_listed_any_more_is_gone() {
    let (mut passage, mut out, id) = (passage(9), Vec::new(), SeqId(5));
    let read = taken(&mut passage, id);
    passage.listed(START, ListScope::Changes, &[(entry(3, 1), at(30))]);
    assert_eq!((passage.lists(&at(3)), passage.lists(&at(30))), (false, true));
    passage.ended(START + MS, &read, Ending::ReadDone { kept: 0.0 }, &mut out);
    assert!(matches!(out[..], [Order::Send { to: Some(to), .. }] if to == at(30)), "{out:?}");
    let gone = Listing { condition: Condition::Gone, ..entry(read.server.0, 0) };
    passage.listed(START + MS, ListScope::Changes, &[(gone, at(9))]);
    out.clear();
    passage.withdrawn(START + 2 * MS, id, &mut out);
    let release = let_go(&out)[0].clone();
    assert_eq!(passage.address(release.server), None);
    passage.told(START + 2 * MS, &release, false);
    assert_eq!(passage.releases_owed(), 0);
}
