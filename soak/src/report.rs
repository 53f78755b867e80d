//! The report of a run: counts, violations, and timelines of the events that led to the violations.

use crate::oracle::{RULES, Rule, Violation};
use crate::record::{ClientOutcome, Event, Time};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

const MAX_TIMELINE_LINES: usize = 60;
/// The time before a violation that a timeline shows.
const TIMELINE_BEFORE: Duration = Duration::from_secs(3);
/// The time after a violation that a timeline shows.
const TIMELINE_AFTER: Duration = Duration::from_secs(1);
/// The maximum number of violations that are printed for a rule.
const MAX_PRINTED_VIOLATIONS: usize = 3;

/// Two kinds of faults, in the alphabetical order of their names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FaultPair {
    /// The name that comes first.
    pub first: String,
    /// The name that comes second.
    pub second: String,
}

/// The results of a run.
pub struct Report {
    /// The number of requests that clients sent to gateways; a request that was sent twice counts twice.
    pub requests: usize,
    /// The number of complete responses with status 200.
    pub served: usize,
    /// The number of injected faults.
    pub faults: usize,
    /// The number of overlaps in time, by the kinds of the two faults.
    pub overlaps: BTreeMap<FaultPair, usize>,
    /// The violations of rules, ordered by time.
    pub violations: Vec<Violation>,
    events: Vec<(Time, Event)>,
}

impl Report {
    /// Creates the report from the violations and the recorded events of a run.
    pub(crate) fn new(violations: Vec<Violation>, events: Vec<(Time, Event)>) -> Report {
        let count = |matches: fn(&Event) -> bool| events.iter().filter(|(_, event)| matches(event)).count();
        Report {
            requests: count(|event| matches!(event, Event::RequestSent { .. })),
            served: count(|event| {
                matches!(event, Event::ResponseEnded { outcome: ClientOutcome::Complete(200), .. })
            }),
            faults: count(|event| matches!(event, Event::Fault { began: true, .. })),
            overlaps: overlaps(&events),
            violations,
            events,
        }
    }

    /// Returns the counts, and the number of violations of each rule, as one line of JSON.
    pub fn json(&self) -> String {
        let by_rule: serde_json::Map<String, serde_json::Value> = RULES
            .iter()
            .map(|(rule, name)| ((*name).to_owned(), self.violations_of(*rule).len().into()))
            .collect();
        serde_json::json!({
            "requests": self.requests,
            "served": self.served,
            "faults": self.faults,
            "overlaps": self.overlaps.values().sum::<usize>(),
            "violations": by_rule,
        })
        .to_string()
    }

    /// Returns a text with the first violations of each rule and a timeline of the events around the first violation.
    pub fn explain(&self, seed: u64, folder: &Path) -> String {
        let mut text = String::new();
        for (rule, name) in RULES {
            let violations = self.violations_of(rule);
            let Some(first) = violations.first() else { continue };
            text.push_str(&format!(
                "{name}: {} times; seed {seed}, logs in {}\n",
                violations.len(),
                folder.display()
            ));
            for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
                text.push_str(&format!(
                    "  at {:?}, request {}, {:?}: {}\n",
                    violation.at,
                    violation.request.map_or("-".to_owned(), |id| format!("{id:016x}")),
                    violation.process,
                    violation.description
                ));
            }
            text.push_str(&self.timeline(first));
        }
        text
    }

    fn violations_of(&self, rule: Rule) -> Vec<&Violation> {
        self.violations.iter().filter(|violation| violation.rule == rule).collect()
    }

    /// Returns the timeline around a violation: the events of the violation's request, and faults.
    fn timeline(&self, violation: &Violation) -> String {
        let from = violation.at.saturating_sub(TIMELINE_BEFORE);
        let to = violation.at + TIMELINE_AFTER;
        let exchanges = self.exchanges_of(violation.request);
        let is_related = |event: &Event| match event {
            Event::Fault { .. }
            | Event::ProcessKilled { .. }
            | Event::StopSignalSent { .. }
            | Event::ServerStarted { .. } => true,
            Event::ExchangeEnded { exchange, .. } => exchanges.contains(&exchange.0),
            other => request_of(other).is_some_and(|id| Some(id) == violation.request),
        };
        let near = self.events.iter().filter(|(at, _)| *at >= from && *at <= to);
        near.filter(|(_, event)| is_related(event))
            .take(MAX_TIMELINE_LINES)
            .map(|(at, event)| format!("    {:9.4} {}\n", at.as_secs_f64(), timeline_entry(event)))
            .collect()
    }

    fn exchanges_of(&self, request: Option<u64>) -> Vec<u64> {
        let exchange = |(_, event): &(Time, Event)| match event {
            Event::ExchangeStarted { exchange, request: id, .. } if Some(*id) == request => Some(exchange.0),
            _ => None,
        };
        self.events.iter().filter_map(exchange).collect()
    }
}

fn request_of(event: &Event) -> Option<u64> {
    match event {
        Event::RequestSent { request, .. }
        | Event::ResponseStarted { request }
        | Event::ResponseEnded { request, .. }
        | Event::ClientDisconnected { request }
        | Event::ExchangeStarted { request, .. }
        | Event::CacheReserved { request, .. }
        | Event::CacheReleased { request, .. } => Some(*request),
        _ => None,
    }
}

/// Returns the text of an event in reports.
fn timeline_entry(event: &Event) -> String {
    match event {
        Event::RequestSent { request, process, class, deadline, started_at } => format!(
            "Asked {{ request: {request}, to: {process:?}, class: {class}, deadline: {deadline:?}, began: {started_at:?} }}"
        ),
        Event::ResponseStarted { request } => format!("AnswerBegan {{ request: {request} }}"),
        Event::ResponseEnded { request, outcome } => {
            format!("Answered {{ request: {request}, seen: {outcome} }}")
        }
        Event::ClientDisconnected { request } => format!("Left {{ request: {request} }}"),
        Event::ExchangeStarted { exchange, request, server, role, gateway, started_at, deadline, .. } => {
            format!(
                "Arrived {{ exchange: {exchange:?}, request: {request}, server: {server}, role: {role:?}, \
             from: {gateway}, began: {started_at:?}, told: {deadline:?} }}"
            )
        }
        Event::ExchangeEnded { exchange, outcome } => {
            format!("Ended {{ exchange: {exchange:?}, outcome: {outcome} }}")
        }
        Event::CacheReserved { request, server } => {
            format!("Held {{ request: {request}, server: {server} }}")
        }
        Event::CacheReleased { request, server } => {
            format!("Freed {{ request: {request}, server: {server} }}")
        }
        Event::ServerStarted { server } => format!("Started {{ server: {server} }}"),
        Event::StopSignalSent { process } => format!("ToldToStop {{ process: {process:?} }}"),
        Event::ProcessKilled { process } => format!("Killed {{ process: {process:?} }}"),
        Event::Fault { kind, gateway, number, began } => {
            format!("Trouble {{ kind: {kind:?}, gateway: {gateway}, number: {number}, began: {began} }}")
        }
        other => format!("{other:?}"),
    }
}

/// Counts the overlaps in time between faults, by the kinds of the two faults.
fn overlaps(events: &[(Time, Event)]) -> BTreeMap<FaultPair, usize> {
    let mut active: BTreeMap<usize, &String> = BTreeMap::new();
    let mut pairs = BTreeMap::new();
    for (_, event) in events {
        let Event::Fault { kind, number, began, .. } = event else { continue };
        if !began {
            active.remove(number);
            continue;
        }
        for other in active.values() {
            let pair = FaultPair { first: kind.min(other).to_owned(), second: kind.max(other).to_owned() };
            *pairs.entry(pair).or_insert(0) += 1;
        }
        active.insert(*number, kind);
    }
    pairs
}
