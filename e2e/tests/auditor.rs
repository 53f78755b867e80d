//! Tests of the auditor with records in which exactly one rule is violated, and with the same records without the
//! violation.

use petrelshore_e2e::auditor::{Bounds, Effect, caches_left_behind, judge};
use petrelshore_emulator::record::{Entry, Event, FinalOutcome};

const MS: u64 = 1_000_000;
const NO_RULES: [u8; 0] = [];

fn bounds() -> Bounds {
    let mut bounds = Bounds::new(500 * MS, 250 * MS);
    bounds.effects.insert("at-most-once".to_owned(), Effect::AtMostOnce);
    bounds.effects.insert("keyed".to_owned(), Effect::KeyedInCell(5_000 * MS));
    bounds
}

fn request_sent(traffic: &str) -> Event {
    Event::RequestSent {
        client: 1,
        gateway: "gw".to_owned(),
        traffic: traffic.to_owned(),
        deadline: 4_000 * MS,
    }
}

fn response_received(outcome: FinalOutcome) -> Event {
    Event::ResponseReceived { client: 1, outcome, first_token: None, tokens: 0 }
}

fn attempt_arrived(server: &str, number: u32, step: &str) -> Event {
    Event::AttemptArrived {
        server: server.to_owned(),
        gateway: "petrelshore/gw".to_owned(),
        request: format!("s-{number}"),
        idempotency_key: None,
        step: step.to_owned(),
        client: Some(1),
    }
}

fn attempt_event(event: fn(String, String) -> Event, server: &str, number: u32) -> Event {
    event(server.to_owned(), format!("s-{number}"))
}

fn attempt_ended(server: &str, number: u32) -> Event {
    attempt_event(|server, request| Event::AttemptEnded { server, request }, server, number)
}

fn cache_reserved(server: &str, number: u32) -> Event {
    attempt_event(|server, request| Event::CacheReserved { server, request }, server, number)
}

fn cache_released(server: &str, number: u32) -> Event {
    attempt_event(|server, request| Event::CacheReleased { server, request }, server, number)
}

fn attempt_rejected(server: &str, number: u32, code: &str) -> Event {
    Event::AttemptRejected {
        server: server.to_owned(),
        request: format!("s-{number}"),
        code: code.to_owned(),
    }
}

fn server_in_cell(server: &str, cell: &str) -> Event {
    Event::FaultSet { server: server.to_owned(), cell: cell.to_owned(), fault: "None".to_owned() }
}

fn gateway_notified(open: bool) -> Event {
    Event::GatewayNotified { gateway: "gw".to_owned(), server: "w1".to_owned(), open }
}

fn gateway_killed() -> Event {
    Event::GatewayKilled { gateway: "gw".to_owned() }
}

/// Returns the numbers of the rules that the auditor finds violated in a record. Each event has its time in
/// milliseconds.
fn violated_rules(record: Vec<(u64, Event)>) -> Vec<u8> {
    let entries: Vec<Entry> = record.into_iter().map(|(at, event)| Entry { at: at * MS, event }).collect();
    let mut rules: Vec<u8> =
        judge(&entries, &bounds()).violations.iter().map(|violation| violation.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn rule_one_requires_one_final_response_in_time() {
    assert_eq!(
        violated_rules(vec![
            (0, request_sent("idempotent")),
            (100, response_received(FinalOutcome::Completed))
        ]),
        NO_RULES
    );
    assert_eq!(violated_rules(vec![(0, request_sent("idempotent"))]), [1]);
    assert_eq!(
        violated_rules(vec![
            (0, request_sent("idempotent")),
            (100, response_received(FinalOutcome::NoResponse))
        ]),
        [1]
    );
    assert_eq!(
        violated_rules(vec![
            (0, request_sent("idempotent")),
            (50, gateway_killed()),
            (100, response_received(FinalOutcome::NoResponse))
        ]),
        NO_RULES
    );
    assert_eq!(
        violated_rules(vec![
            (0, request_sent("idempotent")),
            (100, response_received(FinalOutcome::Rejected)),
            (200, response_received(FinalOutcome::Aborted))
        ]),
        [1]
    );
    assert_eq!(
        violated_rules(vec![
            (0, request_sent("idempotent")),
            (4_500, response_received(FinalOutcome::Rejected))
        ]),
        [1]
    );
    assert_eq!(
        violated_rules(vec![
            (0, request_sent("idempotent")),
            (100, response_received(FinalOutcome::Disconnected)),
            (900, attempt_arrived("w1", 0, "write"))
        ]),
        [1]
    );
    assert_eq!(
        violated_rules(vec![
            (0, request_sent("idempotent")),
            (9, response_received(FinalOutcome::Completed)),
            (9, Event::DataAfterFinal { client: 1 })
        ]),
        [1]
    );
}

#[test]
fn rule_two_forbids_repeated_effects() {
    let sent_twice = |traffic, second_server: &str, at| {
        let cells = [
            (0, server_in_cell("w1", "a")),
            (0, server_in_cell("w2", "a")),
            (0, server_in_cell("w3", "b")),
            (0, request_sent(traffic)),
        ];
        let attempts =
            [(10, attempt_arrived("w1", 1, "write")), (at, attempt_arrived(second_server, 2, "write"))];
        cells
            .into_iter()
            .chain(attempts)
            .chain([(at + 10, response_received(FinalOutcome::Aborted))])
            .collect::<Vec<_>>()
    };
    assert_eq!(violated_rules(sent_twice("idempotent", "w2", 500)), NO_RULES);
    assert_eq!(violated_rules(sent_twice("at-most-once", "w2", 500)), [2]);
    assert_eq!(violated_rules(sent_twice("keyed", "w2", 500)), NO_RULES);
    assert_eq!(violated_rules(sent_twice("keyed", "w3", 500)), [2]);
    let mut first_rejected = sent_twice("at-most-once", "w2", 500);
    first_rejected.insert(5, (20, attempt_rejected("w1", 1, "full")));
    assert_eq!(violated_rules(first_rejected), NO_RULES);
    let sent_once = |outcome| {
        vec![
            (0, request_sent("at-most-once")),
            (9, attempt_arrived("w1", 1, "write")),
            (99, response_received(outcome)),
        ]
    };
    assert_eq!(
        (violated_rules(sent_once(FinalOutcome::Aborted)), violated_rules(sent_once(FinalOutcome::Rejected))),
        (vec![], vec![2])
    );
    let mut after_window = sent_twice("keyed", "w2", 3_900);
    after_window.iter_mut().filter(|(at, _)| *at >= 3_900).for_each(|(at, _)| *at += 2_000);
    assert!(violated_rules(after_window).contains(&2));
}

#[test]
fn rule_three_forbids_sends_to_draining_servers() {
    let sent_after_drain = |at| vec![(0, gateway_notified(false)), (at, attempt_arrived("w1", 0, "write"))];
    assert_eq!(
        (violated_rules(sent_after_drain(300)), violated_rules(sent_after_drain(900))),
        (vec![], vec![3])
    );
    assert_eq!(
        violated_rules(vec![
            (0, gateway_notified(false)),
            (100, gateway_notified(true)),
            (900, attempt_arrived("w1", 0, "write"))
        ]),
        NO_RULES
    );
}

#[test]
fn rule_four_forbids_overload_during_warm_up() {
    assert_eq!(violated_rules(vec![(0, Event::ServerOverloaded { server: "w1".to_owned() })]), [4]);
}

#[test]
fn rule_five_requires_cache_releases() {
    let prefill = || {
        vec![
            (0, attempt_arrived("r1", 0, "read")),
            (50, cache_reserved("r1", 0)),
            (50, attempt_ended("r1", 0)),
        ]
    };
    let violated_with =
        |later: Vec<(u64, Event)>| violated_rules(prefill().into_iter().chain(later).collect());
    assert_eq!(
        violated_with(vec![(400, cache_released("r1", 0)), (5_000, gateway_notified(true))]),
        NO_RULES
    );
    assert_eq!(violated_with(vec![(5_000, cache_released("r1", 0))]), [5]);
    assert_eq!(violated_with(vec![(5_000, gateway_notified(true))]), [5]);
    // The sequence may keep its KV cache while one of its attempts is in flight.
    let decode = vec![
        (300, attempt_arrived("w1", 1, "write")),
        (4_000, attempt_ended("w1", 1)),
        (4_100, cache_released("r1", 0)),
    ];
    assert_eq!(violated_with(decode), NO_RULES);
    assert_eq!(violated_with(vec![(100, gateway_killed()), (5_000, gateway_notified(true))]), NO_RULES);
    // A gateway that was killed while its prefill request was in transit need not release the KV cache. The restarted
    // gateway has to release the KV caches of its own prefill requests.
    let restarted = || Event::GatewayRestarted { gateway: "gw".to_owned() };
    let killed_at_9_ms = |restart_ms: u64, arrival_ms: u64| {
        let prefill = prefill().into_iter().map(|(at, event)| (at + arrival_ms, event));
        let mut record: Vec<(u64, Event)> = prefill
            .chain([(9, gateway_killed()), (restart_ms, restarted()), (5_000, gateway_notified(true))])
            .collect();
        record.sort_by_key(|(at, _)| *at);
        record
    };
    assert_eq!(violated_rules(killed_at_9_ms(600, 10)), NO_RULES);
    assert_eq!(violated_rules(killed_at_9_ms(600, 700)), [5]);
    let left_behind = |record: Vec<(u64, Event)>| {
        caches_left_behind(
            &record.into_iter().map(|(at, event)| Entry { at: at * MS, event }).collect::<Vec<_>>(),
        )
    };
    assert_eq!((left_behind(killed_at_9_ms(600, 10)), left_behind(killed_at_9_ms(600, 700))), (0, 1));
}
