//! The auditor on records in which one rule at a time is broken, and on the same without the breach.

use petrelshore_e2e::auditor::{Bounds, Effect, caches_left_behind, judge};
use petrelshore_emulator::record::{Entry, Event, FinalOutcome};

const MS: u64 = 1_000_000;
const NONE: [u8; 0] = [];

fn bounds() -> Bounds {
    let mut bounds = Bounds::new(500 * MS, 250 * MS);
    bounds.effects.insert("once".to_owned(), Effect::AtMostOnce);
    bounds.effects.insert("marked".to_owned(), Effect::KeyedInCell(5_000 * MS));
    bounds
}

fn asked(traffic: &str) -> Event {
    Event::RequestSent {
        client: 1,
        gateway: "gw".to_owned(),
        traffic: traffic.to_owned(),
        deadline: 4_000 * MS,
    }
}

fn answered(outcome: FinalOutcome) -> Event {
    Event::ResponseReceived { client: 1, outcome, first_token: None, tokens: 0 }
}

fn arrived(server: &str, number: u32, step: &str) -> Event {
    Event::AttemptArrived {
        server: server.to_owned(),
        gateway: "petrelshore/gw".to_owned(),
        request: format!("s-{number}"),
        idempotency_key: None,
        step: step.to_owned(),
        client: Some(1),
    }
}

fn of(what: fn(String, String) -> Event, server: &str, number: u32) -> Event {
    what(server.to_owned(), format!("s-{number}"))
}

fn ended(server: &str, number: u32) -> Event {
    of(|server, request| Event::AttemptEnded { server, request }, server, number)
}

fn reserved(server: &str, number: u32) -> Event {
    of(|server, request| Event::CacheReserved { server, request }, server, number)
}

fn released(server: &str, number: u32) -> Event {
    of(|server, request| Event::CacheReleased { server, request }, server, number)
}

fn rejected(server: &str, number: u32, code: &str) -> Event {
    Event::AttemptRejected {
        server: server.to_owned(),
        request: format!("s-{number}"),
        code: code.to_owned(),
    }
}

fn cell(server: &str, cell: &str) -> Event {
    Event::FaultSet { server: server.to_owned(), cell: cell.to_owned(), fault: "None".to_owned() }
}

fn notified(open: bool) -> Event {
    Event::GatewayNotified { gateway: "gw".to_owned(), server: "w1".to_owned(), open }
}

fn killed() -> Event {
    Event::GatewayKilled { gateway: "gw".to_owned() }
}

/// The rules that the auditor finds broken in a record of events with their milliseconds.
fn broken(record: Vec<(u64, Event)>) -> Vec<u8> {
    let entries: Vec<Entry> = record.into_iter().map(|(at, event)| Entry { at: at * MS, event }).collect();
    let mut rules: Vec<u8> =
        judge(&entries, &bounds()).violations.iter().map(|violation| violation.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn rule_one_requires_one_final_response_in_time() {
    assert_eq!(broken(vec![(0, asked("any")), (100, answered(FinalOutcome::Completed))]), NONE);
    assert_eq!(broken(vec![(0, asked("any"))]), [1]);
    assert_eq!(broken(vec![(0, asked("any")), (100, answered(FinalOutcome::NoResponse))]), [1]);
    assert_eq!(
        broken(vec![(0, asked("any")), (50, killed()), (100, answered(FinalOutcome::NoResponse))]),
        NONE
    );
    assert_eq!(
        broken(vec![
            (0, asked("any")),
            (100, answered(FinalOutcome::Rejected)),
            (200, answered(FinalOutcome::Aborted))
        ]),
        [1]
    );
    assert_eq!(broken(vec![(0, asked("any")), (4_500, answered(FinalOutcome::Rejected))]), [1]);
    assert_eq!(
        broken(vec![
            (0, asked("any")),
            (100, answered(FinalOutcome::Disconnected)),
            (900, arrived("w1", 0, "write"))
        ]),
        [1]
    );
    assert_eq!(
        broken(vec![
            (0, asked("any")),
            (9, answered(FinalOutcome::Completed)),
            (9, Event::DataAfterFinal { client: 1 })
        ]),
        [1]
    );
}

#[test]
fn rule_two_forbids_repeated_effects() {
    let twice = |traffic, second: &str, at| {
        let cells = [(0, cell("w1", "a")), (0, cell("w2", "a")), (0, cell("w3", "b")), (0, asked(traffic))];
        let sent = [(10, arrived("w1", 1, "write")), (at, arrived(second, 2, "write"))];
        cells.into_iter().chain(sent).chain([(at + 10, answered(FinalOutcome::Aborted))]).collect::<Vec<_>>()
    };
    assert_eq!(broken(twice("any", "w2", 500)), NONE);
    assert_eq!(broken(twice("once", "w2", 500)), [2]);
    assert_eq!(broken(twice("marked", "w2", 500)), NONE);
    assert_eq!(broken(twice("marked", "w3", 500)), [2]);
    let mut proven = twice("once", "w2", 500);
    proven.insert(5, (20, rejected("w1", 1, "full")));
    assert_eq!(broken(proven), NONE);
    let refused = |answer| vec![(0, asked("once")), (9, arrived("w1", 1, "write")), (99, answered(answer))];
    assert_eq!(
        (broken(refused(FinalOutcome::Aborted)), broken(refused(FinalOutcome::Rejected))),
        (vec![], vec![2])
    );
    let mut late = twice("marked", "w2", 3_900);
    late.iter_mut().filter(|(at, _)| *at >= 3_900).for_each(|(at, _)| *at += 2_000);
    assert!(broken(late).contains(&2));
}

#[test]
fn rule_three_forbids_sends_to_draining_servers() {
    let sent = |at| vec![(0, notified(false)), (at, arrived("w1", 0, "write"))];
    assert_eq!((broken(sent(300)), broken(sent(900))), (vec![], vec![3]));
    assert_eq!(
        broken(vec![(0, notified(false)), (100, notified(true)), (900, arrived("w1", 0, "write"))]),
        NONE
    );
}

#[test]
fn rule_four_forbids_overload_during_warm_up() {
    assert_eq!(broken(vec![(0, Event::ServerOverloaded { server: "w1".to_owned() })]), [4]);
}

#[test]
fn rule_five_requires_cache_releases() {
    let read = || vec![(0, arrived("r1", 0, "read")), (50, reserved("r1", 0)), (50, ended("r1", 0))];
    let with = |more: Vec<(u64, Event)>| broken(read().into_iter().chain(more).collect());
    assert_eq!(with(vec![(400, released("r1", 0)), (5_000, notified(true))]), NONE);
    assert_eq!(with(vec![(5_000, released("r1", 0))]), [5]);
    assert_eq!(with(vec![(5_000, notified(true))]), [5]);
    // An attempt in flight keeps it for as long as that runs.
    let out = vec![(300, arrived("w1", 1, "write")), (4_000, ended("w1", 1)), (4_100, released("r1", 0))];
    assert_eq!(with(out), NONE);
    assert_eq!(with(vec![(100, killed()), (5_000, notified(true))]), NONE);
    // A prefill in transit as its gateway was killed need not be released; one from the restarted gateway has to be.
    let back = || Event::GatewayRestarted { gateway: "gw".to_owned() };
    let killed_first = |returns: u64, arrives: u64| {
        let read = read().into_iter().map(|(at, event)| (at + arrives, event));
        let mut record: Vec<(u64, Event)> =
            read.chain([(9, killed()), (returns, back()), (5_000, notified(true))]).collect();
        record.sort_by_key(|(at, _)| *at);
        record
    };
    assert_eq!(broken(killed_first(600, 10)), NONE);
    assert_eq!(broken(killed_first(600, 700)), [5]);
    let left = |record: Vec<(u64, Event)>| {
        caches_left_behind(
            &record.into_iter().map(|(at, event)| Entry { at: at * MS, event }).collect::<Vec<_>>(),
        )
    };
    assert_eq!((left(killed_first(600, 10)), left(killed_first(600, 700))), (0, 1));
}
