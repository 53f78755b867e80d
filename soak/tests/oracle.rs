//! The oracle on records made by hand: a valid run has no violations, and each breach is reported under its rule.

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

fn answered(at: u64, outcome: ClientOutcome) -> (Time, Event) {
    (ms(at), Event::ResponseEnded { request: 1, outcome })
}

/// One request of a class: prefill, decode, a complete response.
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
        answered(1_201, ClientOutcome::Complete(200)),
        (ms(END_MS), Event::Fault { kind: "End".to_owned(), gateway: 0, number: 0, began: true }),
    ]
}

/// The rules that a record breaks, each once.
fn broken(mut events: Vec<(Time, Event)>) -> Vec<Rule> {
    events.sort_by_key(|(at, _)| *at);
    let mut rules: Vec<Rule> =
        judge(&parameters(), &events).into_iter().map(|violation| violation.rule).collect();
    rules.dedup();
    rules
}

fn with(class: Class, more: Vec<(Time, Event)>) -> Vec<(Time, Event)> {
    valid_run(class).into_iter().chain(more).collect()
}

/// A valid run without those of its events that a test replaces.
fn replacing(is_replaced: impl Fn(&Event) -> bool, more: Vec<(Time, Event)>) -> Vec<(Time, Event)> {
    valid_run(Class::AtMostOnce).into_iter().filter(|(_, event)| !is_replaced(event)).chain(more).collect()
}

fn is_response(event: &Event) -> bool {
    matches!(event, Event::ResponseEnded { .. } | Event::ResponseStarted { .. })
}

#[test]
fn valid_runs_have_no_violations() {
    for class in [Class::Idempotent, Class::AtMostOnce, Class::Keyed] {
        assert_eq!(broken(valid_run(class)), []);
    }
    let killed = (ms(1_030), Event::ProcessKilled { process: PROCESS });
    assert_eq!(broken(replacing(is_response, vec![killed, answered(1_031, ClientOutcome::Truncated)])), []);
    assert_eq!(
        broken(replacing(is_response, vec![(ms(1_022), Event::ClientDisconnected { request: 1 })])),
        []
    );
}

#[test]
fn requests_without_timely_response_are_lost() {
    assert_eq!(broken(replacing(is_response, vec![])), [Rule::Lost]);
    assert_eq!(
        broken(replacing(is_response, vec![answered(1_300, ClientOutcome::NoResponse { reused: false })])),
        [Rule::Lost]
    );
    assert_eq!(broken(replacing(is_response, vec![answered(1_300, ClientOutcome::Truncated)])), [Rule::Lost]);
    assert_eq!(
        broken(replacing(is_response, vec![answered(9_000, ClientOutcome::Complete(502))])),
        [Rule::Lost]
    );
}

#[test]
fn late_sends_and_excess_deadlines_are_reported() {
    let late = arrived(Exchange(3), DECODE, Role::Decode, 1_400, 100);
    let over = ended(Exchange(3), 1_401, ExchangeOutcome::Declined);
    assert_eq!(broken(with(Class::Idempotent, vec![late, over])), [Rule::SentAfterEnd]);
    let disconnected = (ms(1_100), Event::ClientDisconnected { request: 1 });
    let after_disconnect = arrived(Exchange(3), DECODE, Role::Decode, 1_300, 100);
    let declined = ended(Exchange(3), 1_301, ExchangeOutcome::Declined);
    assert_eq!(
        broken(replacing(is_response, vec![disconnected, after_disconnect, declined])),
        [Rule::SentAfterEnd]
    );
    let excess_deadline = arrived(Exchange(3), PREFILL, Role::Prefill, 1_001, 2_400);
    let answer = ended(Exchange(3), 1_002, ExchangeOutcome::Completed);
    let is_prefill =
        |event: &Event| matches!(event, Event::ExchangeStarted { exchange: PREFILL_EXCHANGE, .. });
    assert_eq!(broken(replacing(is_prefill, vec![excess_deadline, answer])), [Rule::Deadline]);
}

#[test]
fn repeated_or_denied_effects_are_duplicates() {
    let again = |server, at| arrived(Exchange(3), server, Role::Decode, at, 100);
    let over = |at| ended(Exchange(3), at, ExchangeOutcome::Completed);
    // Before the answer, on the same server once its first exchange is over.
    let twice = vec![again(DECODE, 1_201), over(1_202)];
    assert_eq!(broken(with(Class::AtMostOnce, twice.clone())), [Rule::Duplicate]);
    assert_eq!(broken(with(Class::Keyed, twice)), []);
    // A server of the other zone.
    assert_eq!(broken(with(Class::Keyed, vec![again(3, 1_201), over(1_202)])), [Rule::Duplicate]);
    // While the first one is in flight.
    assert_eq!(broken(with(Class::Idempotent, vec![again(DECODE, 1_100), over(1_150)])), [Rule::Duplicate]);
    assert_eq!(
        broken(replacing(is_response, vec![answered(1_300, ClientOutcome::Complete(503))])),
        [Rule::Duplicate]
    );
}

#[test]
fn sends_to_draining_servers_and_late_releases_are_reported() {
    let update = |at, status| (ms(at), Event::EndpointUpdated { gateway: 0, server: DECODE, status });
    assert_eq!(broken(with(Class::Idempotent, vec![update(900, EndpointStatus::Draining)])), []);
    assert_eq!(broken(with(Class::Idempotent, vec![update(500, EndpointStatus::Draining)])), [Rule::Drain]);
    let back = vec![update(500, EndpointStatus::Removed), update(900, EndpointStatus::Active)];
    assert_eq!(broken(with(Class::Idempotent, back)), []);
    let is_release = |event: &Event| matches!(event, Event::CacheReleased { .. });
    let released = |at| vec![(ms(at), Event::CacheReleased { request: 1, server: PREFILL })];
    assert_eq!(broken(replacing(is_release, released(1_900))), []);
    assert_eq!(broken(replacing(is_release, released(2_200))), [Rule::Held]);
}

#[test]
fn overload_crashes_and_bad_clients_are_reported() {
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
        broken(with(Class::Idempotent, started.into_iter().chain(sends).collect())),
        [Rule::SlowStart]
    );
    let exited = (ms(5_000), Event::ProcessExited { process: PROCESS, clean: true });
    assert_eq!(broken(with(Class::Idempotent, vec![exited])), [Rule::Crash]);
    let bad = (ms(5_000), Event::InvalidRequestFinished { process: PROCESS, answered: false, served: false });
    assert_eq!(broken(with(Class::Idempotent, vec![bad])), [Rule::BadClient]);
}

#[test]
fn request_at_a_stopped_server_stops_no_clock() {
    // Its host has the decode request at once; the server reads it only once it goes on.
    let stopped_for = |delay: u64| {
        let delayed = |(at, event): (Time, Event)| match at {
            at if at >= ms(1_021) && at < ms(END_MS) => (at + ms(delay), event),
            at => (at, event),
        };
        valid_run(Class::Idempotent).into_iter().map(delayed).collect::<Vec<_>>()
    };
    assert_eq!(broken(stopped_for(400)), []);
    assert_eq!(broken(stopped_for(1_000)), [Rule::Held]);
}
