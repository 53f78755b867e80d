//! The oracle on records made by hand: a good course breaks nothing, and each rule's breach is named as that rule's.

use petrelshore_soak::oracle::{Rule, judge};
use petrelshore_soak::record::{Class, Event, Exchange, Outcome, Process, Role, Seen, Status, Time};
use petrelshore_soak::world::Terms;
use std::time::Duration;

const PROCESS: Process = Process { gateway: 0, run: 1 };
const PREFILL: usize = 0;
const DECODE: usize = 1;
const READ: Exchange = Exchange(1);
const WRITE: Exchange = Exchange(2);
const END: u64 = 20_000;

fn ms(time: u64) -> Time {
    Duration::from_millis(time)
}

fn terms() -> Terms {
    Terms {
        gateways: 1,
        servers: 4,
        clients: 1,
        drain_grace: ms(250),
        release_within: ms(500),
        token_window: ms(1_000),
        cold_for: ms(5_000),
        cold_from: 0.3,
        overload_factor: 2.5,
        overload_for: ms(1_500),
        longest_deadline: ms(3_000),
        resume: false,
    }
}

fn arrived(exchange: Exchange, server: usize, role: Role, at: u64, told: u64) -> (Time, Event) {
    let (began, told) = (ms(at), ms(told));
    (ms(at), Event::Arrived { exchange, request: 1, server, role, from: 0, began, told })
}

fn ended(exchange: Exchange, at: u64, outcome: Outcome) -> (Time, Event) {
    (ms(at), Event::Ended { exchange, outcome })
}

fn answered(at: u64, seen: Seen) -> (Time, Event) {
    (ms(at), Event::Answered { request: 1, seen })
}

/// One request of a class: read at once, written, answered whole.
fn course(class: Class) -> Vec<(Time, Event)> {
    vec![
        (ms(0), Event::Spawned { process: PROCESS }),
        (ms(10), Event::Ready { process: PROCESS, took: ms(10) }),
        (ms(1_000), Event::Asked { request: 1, to: PROCESS, class, deadline: ms(2_000), began: ms(1_000) }),
        arrived(READ, PREFILL, Role::Prefill, 1_001, 900),
        (ms(1_020), Event::Held { request: 1, server: PREFILL }),
        ended(READ, 1_020, Outcome::Answered),
        arrived(WRITE, DECODE, Role::Decode, 1_021, 1_900),
        (ms(1_040), Event::Freed { request: 1, server: PREFILL }),
        (ms(1_040), Event::AnswerBegan { request: 1 }),
        ended(WRITE, 1_200, Outcome::Answered),
        answered(1_201, Seen::Whole(200)),
        (ms(END), Event::Trouble { kind: "End".to_owned(), gateway: 0, number: 0, began: true }),
    ]
}

/// The rules that a record breaks, each once.
fn broken(mut events: Vec<(Time, Event)>) -> Vec<Rule> {
    events.sort_by_key(|(at, _)| *at);
    let mut rules: Vec<Rule> = judge(&terms(), &events).into_iter().map(|violation| violation.rule).collect();
    rules.dedup();
    rules
}

fn with(class: Class, more: Vec<(Time, Event)>) -> Vec<(Time, Event)> {
    course(class).into_iter().chain(more).collect()
}

/// The course without those of its events that a test replaces.
fn but(drops: impl Fn(&Event) -> bool, more: Vec<(Time, Event)>) -> Vec<(Time, Event)> {
    course(Class::OnceOnly).into_iter().filter(|(_, event)| !drops(event)).chain(more).collect()
}

fn is_answer(event: &Event) -> bool {
    matches!(event, Event::Answered { .. } | Event::AnswerBegan { .. })
}

#[test]
fn a_good_course_breaks_nothing_and_neither_does_a_kill_or_a_client_that_leaves() {
    for class in [Class::Repeatable, Class::OnceOnly, Class::Tokened] {
        assert_eq!(broken(course(class)), []);
    }
    let killed = (ms(1_030), Event::Killed { process: PROCESS });
    assert_eq!(broken(but(is_answer, vec![killed, answered(1_031, Seen::CutShort)])), []);
    assert_eq!(broken(but(is_answer, vec![(ms(1_022), Event::Left { request: 1 })])), []);
}

#[test]
fn requests_without_a_final_answer_in_time_are_lost() {
    assert_eq!(broken(but(is_answer, vec![])), [Rule::Lost]);
    assert_eq!(broken(but(is_answer, vec![answered(1_300, Seen::Nothing { reused: false })])), [Rule::Lost]);
    assert_eq!(broken(but(is_answer, vec![answered(1_300, Seen::CutShort)])), [Rule::Lost]);
    assert_eq!(broken(but(is_answer, vec![answered(9_000, Seen::Whole(502))])), [Rule::Lost]);
}

#[test]
fn what_is_sent_too_late_or_with_too_much_time_is_named() {
    let late = arrived(Exchange(3), DECODE, Role::Decode, 1_400, 100);
    let over = ended(Exchange(3), 1_401, Outcome::Declined);
    assert_eq!(broken(with(Class::Repeatable, vec![late, over])), [Rule::SentAfterEnd]);
    let left = (ms(1_100), Event::Left { request: 1 });
    let after_leave = arrived(Exchange(3), DECODE, Role::Decode, 1_300, 100);
    let declined = ended(Exchange(3), 1_301, Outcome::Declined);
    assert_eq!(broken(but(is_answer, vec![left, after_leave, declined])), [Rule::SentAfterEnd]);
    let told_more = arrived(Exchange(3), PREFILL, Role::Prefill, 1_001, 2_400);
    let answer = ended(Exchange(3), 1_002, Outcome::Answered);
    let is_read = |event: &Event| matches!(event, Event::Arrived { exchange: READ, .. });
    assert_eq!(broken(but(is_read, vec![told_more, answer])), [Rule::Deadline]);
}

#[test]
fn effects_that_come_twice_or_are_denied_are_duplicates() {
    let again = |server, at| arrived(Exchange(3), server, Role::Decode, at, 100);
    let over = |at| ended(Exchange(3), at, Outcome::Answered);
    // Before the answer, on the same server once its first exchange is over.
    let twice = vec![again(DECODE, 1_201), over(1_202)];
    assert_eq!(broken(with(Class::OnceOnly, twice.clone())), [Rule::Duplicate]);
    assert_eq!(broken(with(Class::Tokened, twice)), []);
    // A server of the other zone.
    assert_eq!(broken(with(Class::Tokened, vec![again(3, 1_201), over(1_202)])), [Rule::Duplicate]);
    // While the first one is out.
    assert_eq!(broken(with(Class::Repeatable, vec![again(DECODE, 1_100), over(1_150)])), [Rule::Duplicate]);
    assert_eq!(broken(but(is_answer, vec![answered(1_300, Seen::Whole(503))])), [Rule::Duplicate]);
}

#[test]
fn sends_past_the_grace_and_states_held_too_long_are_named() {
    let word = |at, status| (ms(at), Event::Had { gateway: 0, server: DECODE, status });
    assert_eq!(broken(with(Class::Repeatable, vec![word(900, Status::Leaving)])), []);
    assert_eq!(broken(with(Class::Repeatable, vec![word(500, Status::Leaving)])), [Rule::Drain]);
    let back = vec![word(500, Status::Left), word(900, Status::Active)];
    assert_eq!(broken(with(Class::Repeatable, back)), []);
    let is_freed = |event: &Event| matches!(event, Event::Freed { .. });
    let freed = |at| vec![(ms(at), Event::Freed { request: 1, server: PREFILL })];
    assert_eq!(broken(but(is_freed, freed(1_900))), []);
    assert_eq!(broken(but(is_freed, freed(2_200))), [Rule::Held]);
}

#[test]
fn cold_servers_that_are_pushed_over_crashes_and_bad_clients_are_named() {
    let started = [
        (ms(2_000), Event::Started { server: PREFILL }),
        (ms(2_001), Event::Had { gateway: 0, server: PREFILL, status: Status::Active }),
    ];
    let sends = (0..60).flat_map(|n| {
        let (exchange, request, at) = (Exchange(100 + n), 100 + n, ms(2_100 + 5 * n));
        let (server, role, told) = (PREFILL, Role::Prefill, ms(10));
        let arrived = Event::Arrived { exchange, request, server, role, from: 0, began: at, told };
        [(at, arrived), (at, Event::Ended { exchange, outcome: Outcome::Answered })]
    });
    assert_eq!(
        broken(with(Class::Repeatable, started.into_iter().chain(sends).collect())),
        [Rule::SlowStart]
    );
    let exited = (ms(5_000), Event::Exited { process: PROCESS, clean: true });
    assert_eq!(broken(with(Class::Repeatable, vec![exited])), [Rule::Crash]);
    let bad = (ms(5_000), Event::BadClient { to: PROCESS, answered: false, served: false });
    assert_eq!(broken(with(Class::Repeatable, vec![bad])), [Rule::BadClient]);
}
