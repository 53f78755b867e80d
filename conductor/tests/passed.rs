//! Streams whose events pass unchanged, and the bounds of a gateway with few descriptors.

use petrelshore::interface::*;
use petrelshore_conductor::connections::Connections;
use petrelshore_conductor::proof::Ending;
use petrelshore_conductor::{Action, Conductor, NewSequence, Reason, Relay};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const START: Nanos = 1_000 * S;

fn conductor() -> Conductor {
    let kind = |role| Kind { role, memory_tokens: 100_000.0 };
    let deployment = Deployment {
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
    };
    let mut conductor = Conductor::new(START, deployment, 7);
    let entry = |server, kind| Listing {
        server: ServerId(server),
        kind: KindId(kind),
        cell: CellId(0),
        zone: ZoneId(0),
        weight: 1.0,
        since: 0,
        condition: Condition::Ready,
    };
    conductor.listed(START, ListScope::Whole, &[entry(1, 0), entry(2, 1)]);
    conductor
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
