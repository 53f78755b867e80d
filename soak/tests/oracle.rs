//! Tests of the oracle on synthetic records: a valid run has no violations, and each violation is reported under its
//! rule.

use petrelshore_soak::oracle::{Rule, judge};
use petrelshore_soak::record::{
    Class, ClientOutcome, EndpointStatus, Event, Exchange, ExchangeOutcome, Process, Role, Time,
};
use petrelshore_soak::testbed::Parameters;
use std::time::Duration;

const PROCESS: Process = Process { gateway: 0, run: 1 };
const PREFILL: usize = 0;
const DECODE: usize = 1;
const PREFILL_EXCHANGE: Exchange = Exchange(1);
const DECODE_EXCHANGE: Exchange = Exchange(2);
const END_MS: u64 = 20_000;

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn parameters() -> Parameters {
    Parameters {
        gateways: 1,
        servers: 4,
        clients: 1,
        drain_grace: ms(250),
        release_timeout: ms(500),
        idempotency_window: ms(1_000),
        warm_up: ms(5_000),
        initial_capacity: 0.3,
        overload_factor: 2.5,
        overload_window: ms(1_500),
        max_deadline: ms(3_000),
        health_checks: true,
        resume_streams: false,
    }
}

fn arrived(exchange: Exchange, server: usize, role: Role, at: u64, deadline: u64) -> (Time, Event) {
    let (started_at, deadline) = (ms(at), ms(deadline));
    let received_at = ms(at);
    let started = Event::ExchangeStarted {
        exchange,
        request: 1,
        server,
        role,
        gateway: 0,
        started_at,
        received_at,
        deadline,
    };
    (ms(at), started)
}

fn ended(exchange: Exchange, at: u64, outcome: ExchangeOutcome) -> (Time, Event) {
    (ms(at), Event::ExchangeEnded { exchange, outcome })
}

fn response_ended(at: u64, outcome: ClientOutcome) -> (Time, Event) {
    (ms(at), Event::ResponseEnded { request: 1, outcome })
}

/// Returns the record of a valid run with one request: prefill, decode and a complete response.
fn valid_run(class: Class) -> Vec<(Time, Event)> {
    vec![
        (ms(0), Event::ProcessSpawned { process: PROCESS }),
        (ms(10), Event::ProcessReady { process: PROCESS, startup_time: ms(10) }),
        (
            ms(1_000),
            Event::RequestSent {
                request: 1,
                process: PROCESS,
                class,
                deadline: ms(2_000),
                started_at: ms(1_000),
            },
        ),
        arrived(PREFILL_EXCHANGE, PREFILL, Role::Prefill, 1_001, 900),
        (ms(1_020), Event::CacheReserved { request: 1, server: PREFILL }),
        ended(PREFILL_EXCHANGE, 1_020, ExchangeOutcome::Completed),
        arrived(DECODE_EXCHANGE, DECODE, Role::Decode, 1_021, 1_900),
        (ms(1_040), Event::CacheReleased { request: 1, server: PREFILL }),
        (ms(1_040), Event::ResponseStarted { request: 1 }),
        ended(DECODE_EXCHANGE, 1_200, ExchangeOutcome::Completed),
        response_ended(1_201, ClientOutcome::Complete(200)),
        (ms(END_MS), Event::Fault { kind: "End".to_owned(), gateway: 0, number: 0, began: true }),
    ]
}

/// Returns the rules that a record breaks, ordered by time and without consecutive repeats.
fn broken_rules(mut events: Vec<(Time, Event)>) -> Vec<Rule> {
    events.sort_by_key(|(at, _)| *at);
    let mut rules: Vec<Rule> =
        judge(&parameters(), &events).into_iter().map(|violation| violation.rule).collect();
    rules.dedup();
    rules
}

/// Returns the record of a valid run with `more` events.
fn adding(class: Class, more: Vec<(Time, Event)>) -> Vec<(Time, Event)> {
    valid_run(class).into_iter().chain(more).collect()
}

/// Returns the record of a valid run in which the events that match `is_replaced` are replaced by `more`.
fn replacing(is_replaced: impl Fn(&Event) -> bool, more: Vec<(Time, Event)>) -> Vec<(Time, Event)> {
    valid_run(Class::AtMostOnce).into_iter().filter(|(_, event)| !is_replaced(event)).chain(more).collect()
}

fn is_response(event: &Event) -> bool {
    matches!(event, Event::ResponseEnded { .. } | Event::ResponseStarted { .. })
}

#[test]
fn valid_runs_have_no_violations() {
    for class in [Class::Idempotent, Class::AtMostOnce, Class::Keyed] {
        assert_eq!(broken_rules(valid_run(class)), []);
    }
    let killed = (ms(1_030), Event::ProcessKilled { process: PROCESS });
    assert_eq!(
        broken_rules(replacing(is_response, vec![killed, response_ended(1_031, ClientOutcome::Truncated)])),
        []
    );
    assert_eq!(
        broken_rules(replacing(is_response, vec![(ms(1_022), Event::ClientDisconnected { request: 1 })])),
        []
    );
}

#[test]
fn requests_without_timely_response_are_lost() {
    assert_eq!(broken_rules(replacing(is_response, vec![])), [Rule::Lost]);
    assert_eq!(
        broken_rules(replacing(
            is_response,
            vec![response_ended(1_300, ClientOutcome::NoResponse { reused: false })]
        )),
        [Rule::Lost]
    );
    assert_eq!(
        broken_rules(replacing(is_response, vec![response_ended(1_300, ClientOutcome::Truncated)])),
        [Rule::Lost]
    );
    assert_eq!(
        broken_rules(replacing(is_response, vec![response_ended(9_000, ClientOutcome::Complete(502))])),
        [Rule::Lost]
    );
}

#[test]
fn late_sends_and_excess_deadlines_are_reported() {
    let late = arrived(Exchange(3), DECODE, Role::Decode, 1_400, 100);
    let late_end = ended(Exchange(3), 1_401, ExchangeOutcome::Declined);
    assert_eq!(broken_rules(adding(Class::Idempotent, vec![late, late_end])), [Rule::SentAfterEnd]);
    let disconnected = (ms(1_100), Event::ClientDisconnected { request: 1 });
    let after_disconnect = arrived(Exchange(3), DECODE, Role::Decode, 1_300, 100);
    let declined = ended(Exchange(3), 1_301, ExchangeOutcome::Declined);
    assert_eq!(
        broken_rules(replacing(is_response, vec![disconnected, after_disconnect, declined])),
        [Rule::SentAfterEnd]
    );
    let excess_deadline = arrived(Exchange(3), PREFILL, Role::Prefill, 1_001, 2_400);
    let answer = ended(Exchange(3), 1_002, ExchangeOutcome::Completed);
    let is_prefill =
        |event: &Event| matches!(event, Event::ExchangeStarted { exchange: PREFILL_EXCHANGE, .. });
    assert_eq!(broken_rules(replacing(is_prefill, vec![excess_deadline, answer])), [Rule::Deadline]);
}

#[test]
fn repeated_or_denied_effects_are_duplicates() {
    let again = |server, at| arrived(Exchange(3), server, Role::Decode, at, 100);
    let completed = |at| ended(Exchange(3), at, ExchangeOutcome::Completed);
    // The second attempt arrives at the same server after the first has ended, but not after the end of the response.
    let twice = vec![again(DECODE, 1_201), completed(1_202)];
    assert_eq!(broken_rules(adding(Class::AtMostOnce, twice.clone())), [Rule::Duplicate]);
    assert_eq!(broken_rules(adding(Class::Keyed, twice)), []);
    // The retry arrives at a server of the other zone.
    assert_eq!(
        broken_rules(adding(Class::Keyed, vec![again(3, 1_201), completed(1_202)])),
        [Rule::Duplicate]
    );
    // The second attempt arrives while the first is in flight.
    assert_eq!(
        broken_rules(adding(Class::Idempotent, vec![again(DECODE, 1_100), completed(1_150)])),
        [Rule::Duplicate]
    );
    assert_eq!(
        broken_rules(replacing(is_response, vec![response_ended(1_300, ClientOutcome::Complete(503))])),
        [Rule::Duplicate]
    );
}

#[test]
fn sends_to_draining_servers_and_late_releases_are_reported() {
    let update = |at, status| (ms(at), Event::EndpointUpdated { gateway: 0, server: DECODE, status });
    assert_eq!(broken_rules(adding(Class::Idempotent, vec![update(900, EndpointStatus::Draining)])), []);
    assert_eq!(
        broken_rules(adding(Class::Idempotent, vec![update(500, EndpointStatus::Draining)])),
        [Rule::Drain]
    );
    let active_again = vec![update(500, EndpointStatus::Removed), update(900, EndpointStatus::Active)];
    assert_eq!(broken_rules(adding(Class::Idempotent, active_again)), []);
    let is_release = |event: &Event| matches!(event, Event::CacheReleased { .. });
    let released = |at| vec![(ms(at), Event::CacheReleased { request: 1, server: PREFILL })];
    assert_eq!(broken_rules(replacing(is_release, released(1_900))), []);
    assert_eq!(broken_rules(replacing(is_release, released(2_200))), [Rule::Held]);
}

#[test]
fn overload_crashes_and_invalid_requests_are_reported() {
    let started = [
        (ms(2_000), Event::ServerStarted { server: PREFILL }),
        (ms(2_001), Event::EndpointUpdated { gateway: 0, server: PREFILL, status: EndpointStatus::Active }),
    ];
    let sends = (0..60).flat_map(|n| {
        let (exchange, request, at) = (Exchange(100 + n), 100 + n, ms(2_100 + 5 * n));
        let (server, role, deadline) = (PREFILL, Role::Prefill, ms(10));
        let arrived = Event::ExchangeStarted {
            exchange,
            request,
            server,
            role,
            gateway: 0,
            started_at: at,
            received_at: at,
            deadline,
        };
        [(at, arrived), (at, Event::ExchangeEnded { exchange, outcome: ExchangeOutcome::Completed })]
    });
    assert_eq!(
        broken_rules(adding(Class::Idempotent, started.into_iter().chain(sends).collect())),
        [Rule::SlowStart]
    );
    let exited = (ms(5_000), Event::ProcessExited { process: PROCESS, clean: true });
    assert_eq!(broken_rules(adding(Class::Idempotent, vec![exited])), [Rule::Crash]);
    let invalid =
        (ms(5_000), Event::InvalidRequestFinished { process: PROCESS, answered: false, served: false });
    assert_eq!(broken_rules(adding(Class::Idempotent, vec![invalid])), [Rule::BadClient]);
}

#[test]
fn time_at_a_stopped_server_counts_toward_the_cache_release() {
    // The decode request reaches the server's host at once, but the stopped server reads it only after it resumes.
    let stopped_for = |delay: u64| {
        let delayed = |(at, event): (Time, Event)| match at {
            at if at >= ms(1_021) && at < ms(END_MS) => (at + ms(delay), event),
            at => (at, event),
        };
        valid_run(Class::Idempotent).into_iter().map(delayed).collect::<Vec<_>>()
    };
    assert_eq!(broken_rules(stopped_for(400)), []);
    assert_eq!(broken_rules(stopped_for(1_000)), [Rule::Held]);
}
