//! A run's record, sorted by who it is about.

use super::{EVENT_LATE, Rule, Violation};
use crate::record::{Class, Event, Exchange, Outcome, Process, Role, Seen, Status, Time};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
pub(super) struct Request {
    pub(super) to: Option<Process>,
    pub(super) class: Option<Class>,
    pub(super) deadline: Duration,
    /// Its last byte was written: each time, where it was sent once more.
    pub(super) asked: Vec<Time>,
    pub(super) answer_began: Option<Time>,
    pub(super) answered: Option<(Time, Seen)>,
    pub(super) left: Option<Time>,
    pub(super) exchanges: Vec<Exchange>,
    pub(super) held: Vec<(usize, Time, Option<Time>)>,
    pub(super) late_event: bool,
    pub(super) streamed: bool,
}

pub(super) struct Arrival {
    pub(super) request: u64,
    pub(super) server: usize,
    pub(super) role: Role,
    pub(super) from: usize,
    pub(super) began: Time,
    pub(super) at: Time,
    pub(super) told: Duration,
    pub(super) ended: Option<(Time, Outcome)>,
}

#[derive(Default)]
pub(super) struct Life {
    pub(super) spawned: Time,
    pub(super) ready: Option<Duration>,
    pub(super) told_to_stop: Option<Time>,
    pub(super) over: Option<Time>,
    pub(super) killed: Option<Time>,
}

#[derive(Default)]
pub(super) struct Run {
    pub(super) requests: BTreeMap<u64, Request>,
    pub(super) arrivals: BTreeMap<Exchange, Arrival>,
    pub(super) lives: BTreeMap<Process, Life>,
    /// Word of servers that gateways' agents have had.
    pub(super) had: BTreeMap<(usize, usize), Vec<(Time, Status)>>,
    pub(super) watches_silent: BTreeMap<usize, Vec<Time>>,
    pub(super) reloads: BTreeMap<usize, Vec<Time>>,
    pub(super) slow: BTreeMap<usize, Vec<(Time, Duration)>>,
    pub(super) breaks: BTreeMap<usize, Vec<(Time, bool)>>,
    pub(super) started: Vec<(usize, Time)>,
    pub(super) lags: Vec<(Time, Duration)>,
    pub(super) end: Time,
}

/// Sorts a record; violations that single events show come along.
pub(super) fn sort(events: &[(Time, Event)]) -> (Run, Vec<Violation>) {
    let (mut run, mut violations) = (Run::default(), Vec::new());
    for (at, event) in events {
        let at = *at;
        run.end = at;
        match event.clone() {
            Event::Asked { request, to, class, deadline, began: _ } => {
                let request = run.requests.entry(request).or_default();
                (request.to, request.class, request.deadline) = (Some(to), Some(class), deadline);
                request.asked.push(at);
                request.answered = None;
            }
            Event::AnswerBegan { request } => {
                run.requests.entry(request).or_default().answer_began.get_or_insert(at);
            }
            Event::Answered { request, seen } => {
                run.requests.entry(request).or_default().answered = Some((at, seen));
            }
            Event::Left { request } => run.requests.entry(request).or_default().left = Some(at),
            Event::EventCame { request, late } => {
                let request = run.requests.entry(request).or_default();
                request.streamed = true;
                request.late_event |= late > EVENT_LATE + run.lags.last().map_or(Duration::ZERO, |lag| lag.1);
            }
            Event::BadClient { to, answered, served } => {
                if !answered || served {
                    run.lives.entry(to).or_default();
                    let what = format!("a bad client: answered {answered}, served {served}");
                    violations.push(Violation {
                        rule: Rule::BadClient,
                        at,
                        request: None,
                        process: Some(to),
                        what,
                    });
                }
            }
            Event::Arrived { exchange, request, server, role, from, began, told } => {
                let arrival = Arrival { request, server, role, from, began, at, told, ended: None };
                run.arrivals.insert(exchange, arrival);
                run.requests.entry(request).or_default().exchanges.push(exchange);
            }
            Event::Ended { exchange, outcome } => {
                if let Some(arrival) = run.arrivals.get_mut(&exchange) {
                    arrival.ended = Some((at, outcome));
                }
            }
            Event::Held { request, server } => {
                run.requests.entry(request).or_default().held.push((server, at, None));
            }
            Event::Freed { request, server } => {
                let held = &mut run.requests.entry(request).or_default().held;
                if let Some(held) = held.iter_mut().rev().find(|held| held.0 == server && held.2.is_none()) {
                    held.2 = Some(at);
                }
            }
            Event::Started { server } => run.started.push((server, at)),
            Event::Had { gateway, server, status } => {
                run.had.entry((gateway, server)).or_default().push((at, status));
            }
            Event::WatchesSilent { gateway } => run.watches_silent.entry(gateway).or_default().push(at),
            Event::AgentSlow { gateway, slow } => run.slow.entry(gateway).or_default().push((at, slow)),
            Event::Breaks { gateway, breaks } => run.breaks.entry(gateway).or_default().push((at, breaks)),
            Event::Spawned { process } => run.lives.entry(process).or_default().spawned = at,
            Event::Ready { process, took } => run.lives.entry(process).or_default().ready = Some(took),
            Event::NotReady { process } => {
                let what = "it did not get ready".to_owned();
                violations.push(Violation {
                    rule: Rule::Crash,
                    at,
                    request: None,
                    process: Some(process),
                    what,
                });
            }
            Event::ToldToStop { process } => run.lives.entry(process).or_default().told_to_stop = Some(at),
            Event::ToldToReload { process } => run.reloads.entry(process.gateway).or_default().push(at),
            Event::Killed { process } => {
                let life = run.lives.entry(process).or_default();
                (life.killed, life.over) = (Some(at), Some(at));
            }
            Event::Exited { process, clean } => {
                let life = run.lives.entry(process).or_default();
                life.over = Some(at);
                if !clean || life.told_to_stop.is_none() {
                    let what = format!("its process ended by itself, cleanly: {clean}");
                    violations.push(Violation {
                        rule: Rule::Crash,
                        at,
                        request: None,
                        process: Some(process),
                        what,
                    });
                }
            }
            Event::Lag { late } => run.lags.push((at, late)),
            Event::Agent { .. } | Event::Cut { .. } | Event::Trouble { .. } => {}
        }
    }
    (run, violations)
}
