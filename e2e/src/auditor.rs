//! Judges the five rules from what passed on the sockets, and from nothing else.
//!
//! It knows no gateway's word: clients say what they asked and what came back, stand-ins say what arrived, ran, was
//! held and let go. Times between processes on one machine differ by scheduling, so each bound has some slack.

use petrelshore_emulator::record::{Entry, Event, FinalOutcome, Nanos};
use std::collections::{BTreeMap, BTreeSet};

const MILLISECOND: Nanos = 1_000_000;

/// The rules' figures in this rehearsal.
#[derive(Clone, Debug)]
pub struct Figures {
    pub release_within: Nanos,
    pub drain_grace: Nanos,
    /// How each traffic type may run again.
    pub effects: BTreeMap<String, Effect>,
    /// For what a busy machine adds between an event and its being written down.
    pub slack: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    /// Within a cell, for so long.
    TokenedInCell(Nanos),
    OnceOnly,
}

impl Figures {
    pub fn new(release_within: Nanos, drain_grace: Nanos) -> Self {
        Figures { release_within, drain_grace, effects: BTreeMap::new(), slack: 250 * MILLISECOND }
    }
}

/// One break of a rule.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Break {
    pub rule: u8,
    pub at: Nanos,
    pub what: String,
}

/// What was looked at, so that a clean verdict over nothing is seen as such.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Verdict {
    pub breaks: Vec<Break>,
    pub asked: usize,
    pub arrivals: usize,
    pub states: usize,
    pub told_closed: usize,
}

/// One client's request, with all that was seen of it.
#[derive(Default)]
struct Course<'a> {
    asked: Option<(Nanos, &'a str, &'a str, Nanos)>,
    answers: Vec<(Nanos, FinalOutcome, Option<Nanos>)>,
    arrivals: Vec<Arrival<'a>>,
}

struct Arrival<'a> {
    at: Nanos,
    server: &'a str,
    request: &'a str,
    reads: bool,
}

pub fn judge(entries: &[Entry], figures: &Figures) -> Verdict {
    let mut verdict = Verdict::default();
    let mut courses: BTreeMap<u64, Course> = BTreeMap::new();
    let mut turned: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    let mut cells: BTreeMap<&str, &str> = BTreeMap::new();
    for entry in entries {
        match &entry.event {
            Event::RequestSent { client, gateway, traffic, deadline: until } => {
                courses.entry(*client).or_default().asked = Some((entry.at, gateway, traffic, *until));
            }
            Event::ResponseReceived { client, outcome: answer, first_token, .. } => {
                courses.entry(*client).or_default().answers.push((entry.at, *answer, *first_token));
            }
            Event::DataAfterFinal { client } => {
                let what = format!("client {client} got something after its final answer");
                verdict.breaks.push(Break { rule: 1, at: entry.at, what });
            }
            Event::AttemptArrived { server, request, step: work, client: Some(client), .. } => {
                let reads = work == "read";
                let arrival = Arrival { at: entry.at, server, request, reads };
                courses.entry(*client).or_default().arrivals.push(arrival);
                verdict.arrivals += 1;
            }
            Event::AttemptRejected { server, request, code } => {
                turned.insert((server, request), code);
            }
            Event::FaultSet { server, cell, .. } => {
                cells.insert(server, cell);
            }
            Event::ServerOverloaded { server } => {
                let what = format!("{server} was pushed over while cold");
                verdict.breaks.push(Break { rule: 4, at: entry.at, what });
            }
            _ => {}
        }
    }
    verdict.asked = courses.values().filter(|course| course.asked.is_some()).count();
    let downs = downs(entries);
    for (client, course) in &courses {
        finals(*client, course, &downs, figures, &mut verdict);
        effects(*client, course, &turned, &cells, figures, &mut verdict);
    }
    drains(entries, figures, &mut verdict);
    states(entries, &downs, figures, &mut verdict);
    verdict.breaks.sort_by_key(|found| (found.at, found.rule));
    verdict
}

/// When each gateway was down after a kill.
fn downs(entries: &[Entry]) -> BTreeMap<&str, Vec<(Nanos, Nanos)>> {
    let mut downs: BTreeMap<&str, Vec<(Nanos, Nanos)>> = BTreeMap::new();
    for entry in entries {
        match &entry.event {
            Event::GatewayKilled { gateway } => {
                downs.entry(gateway).or_default().push((entry.at, Nanos::MAX))
            }
            Event::GatewayRestarted { gateway } => {
                if let Some(down) = downs.get_mut(gateway.as_str()).and_then(|downs| downs.last_mut()) {
                    down.1 = entry.at;
                }
            }
            _ => {}
        }
    }
    downs
}

/// Rule 1: exactly one final answer, in time, and nothing sent after it.
fn finals(
    client: u64,
    course: &Course,
    downs: &BTreeMap<&str, Vec<(Nanos, Nanos)>>,
    figures: &Figures,
    verdict: &mut Verdict,
) {
    let Some((asked, gateway, _, until)) = course.asked else { return };
    let mut wrong = |at: Nanos, what: String| verdict.breaks.push(Break { rule: 1, at, what });
    let [(at, answer, first_token)] = course.answers[..] else {
        let count = course.answers.len();
        return wrong(asked, format!("client {client} got {count} final answers from {gateway}"));
    };
    let was_down = |from: Nanos, to: Nanos| {
        let of_gateway = downs.get(gateway).into_iter().flatten();
        of_gateway.into_iter().any(|(down, back)| from <= back.saturating_add(figures.slack) && to >= *down)
    };
    match answer {
        FinalOutcome::NoResponse if was_down(asked, at) => return,
        FinalOutcome::NoResponse => wrong(at, format!("client {client} got no final answer from {gateway}")),
        FinalOutcome::Disconnected => {}
        _ => {
            let sign = first_token.map_or(at, |after| asked + after);
            if sign > until + figures.slack {
                let late = (sign - until) / MILLISECOND;
                wrong(at, format!("client {client} was answered {late} ms after its time was up"));
            }
        }
    }
    for arrival in course.arrivals.iter().filter(|arrival| arrival.at > at + figures.slack) {
        let Arrival { at, server, request, .. } = arrival;
        wrong(*at, format!("{request} was sent to {server} after client {client} had its final answer"));
    }
}

/// Rule 2: no effect twice, and a rejection only where nothing can have run.
fn effects(
    client: u64,
    course: &Course,
    turned: &BTreeMap<(&str, &str), &str>,
    cells: &BTreeMap<&str, &str>,
    figures: &Figures,
    verdict: &mut Verdict,
) {
    let Some((_, _, traffic, _)) = course.asked else { return };
    let effect = figures.effects.get(traffic).copied().unwrap_or(Effect::Repeatable);
    if effect == Effect::Repeatable {
        return;
    }
    let mut wrong = |at: Nanos, what: String| verdict.breaks.push(Break { rule: 2, at, what });
    // Turned away as full or without its state: provably never ran.
    let unrun = |arrival: &&Arrival| {
        let code = turned.get(&(arrival.server, arrival.request)).copied();
        matches!(code, Some("full" | "state_missing"))
    };
    let may_have_run: Vec<&Arrival> =
        course.arrivals.iter().filter(|arrival| !arrival.reads && !unrun(arrival)).collect();
    let Some(first) = may_have_run.first() else { return };
    for later in course.arrivals.iter().filter(|arrival| arrival.at > first.at && !arrival.reads) {
        let Arrival { at, server, request, .. } = later;
        match effect {
            Effect::OnceOnly => {
                wrong(
                    *at,
                    format!("once-only {request} came to {server} after it may have run at {}", first.server),
                );
            }
            Effect::TokenedInCell(window) => {
                if cells.get(server) != cells.get(first.server) {
                    wrong(*at, format!("tokened {request} left its group for {server}"));
                } else if *at > first.at + window + figures.slack {
                    wrong(*at, format!("tokened {request} came to {server} after its window"));
                }
            }
            Effect::Repeatable => {}
        }
    }
    let harmless = [FinalOutcome::Rejected, FinalOutcome::NotAccepted];
    if let Some((at, ..)) = course.answers.iter().find(|(_, answer, _)| harmless.contains(answer)) {
        let server = first.server;
        wrong(
            *at,
            format!("client {client} was told a retry is harmless after {traffic} may have run at {server}"),
        );
    }
}

/// Rule 3: nothing new to a server past the grace after this gateway was told.
fn drains(entries: &[Entry], figures: &Figures, verdict: &mut Verdict) {
    let mut closed: BTreeMap<(&str, &str), Nanos> = BTreeMap::new();
    for entry in entries {
        match &entry.event {
            Event::GatewayNotified { gateway, server, open: false } => {
                closed.insert((gateway, server), entry.at);
                verdict.told_closed += 1;
            }
            Event::GatewayNotified { gateway, server, open: true } => {
                closed.remove(&(gateway.as_str(), server.as_str()));
            }
            // A restarted gateway knows what it is told from then on.
            Event::GatewayKilled { gateway } => closed.retain(|(told, _), _| *told != gateway.as_str()),
            Event::AttemptArrived { server, gateway, request, .. } => {
                let gateway = gateway.strip_prefix("petrelshore/").unwrap_or(gateway);
                let Some(told) = closed.get(&(gateway, server.as_str())) else { continue };
                if entry.at > told + figures.drain_grace + figures.slack {
                    let after = (entry.at - told) / MILLISECOND;
                    let what =
                        format!("{gateway} sent {request} to {server} {after} ms after it was told to stop");
                    verdict.breaks.push(Break { rule: 3, at: entry.at, what });
                }
            }
            _ => {}
        }
    }
}

/// Rule 5: with no attempt out, a held state is taken or let go in time.
fn states(
    entries: &[Entry],
    downs: &BTreeMap<&str, Vec<(Nanos, Nanos)>>,
    figures: &Figures,
    verdict: &mut Verdict,
) {
    #[derive(Default)]
    struct Holding<'a> {
        gateway: &'a str,
        /// Its first arrival at any box.
        began: Nanos,
        out: usize,
        held: BTreeMap<(&'a str, &'a str), ()>,
        /// Since when states are held with nothing out.
        idle_since: Option<Nanos>,
    }
    let mut holdings: BTreeMap<&str, Holding> = BTreeMap::new();
    let mut hanging: BTreeMap<&str, bool> = BTreeMap::new();
    let last = entries.last().map_or(0, |entry| entry.at);
    let check = |sequence: &str, holding: &Holding, until: Nanos, verdict: &mut Verdict| {
        let Some(since) = holding.idle_since else { return };
        // What a killed gateway held is no longer its duty. What arrives from it while it is down was on its way before.
        let killed = downs
            .get(holding.gateway)
            .into_iter()
            .flatten()
            .any(|(down, back)| *back > holding.began && *down <= until);
        if until > since + figures.release_within + figures.slack && !killed {
            let held = (until - since) / MILLISECOND;
            let what = format!("a state of {sequence} was held for {held} ms with no attempt out");
            verdict.breaks.push(Break { rule: 5, at: until, what });
        }
    };
    for entry in entries {
        let (server, request) = match &entry.event {
            Event::FaultSet { server, fault, .. } => {
                hanging.insert(server, fault == "Hangs" || fault == "Silent");
                continue;
            }
            Event::AttemptArrived { server, request, .. }
            | Event::AttemptEnded { server, request }
            | Event::CacheReserved { server, request }
            | Event::CacheReleased { server, request } => (server.as_str(), request.as_str()),
            _ => continue,
        };
        let sequence = request.split('-').next().unwrap_or(request);
        let holding = holdings.entry(sequence).or_default();
        check(sequence, holding, entry.at, verdict);
        match &entry.event {
            Event::AttemptArrived { gateway, .. } => {
                holding.gateway = gateway.strip_prefix("petrelshore/").unwrap_or(gateway);
                holding.began = if holding.began == 0 { entry.at } else { holding.began };
                holding.out += 1;
            }
            Event::AttemptEnded { .. } => holding.out = holding.out.saturating_sub(1),
            // A box that takes nothing off its sockets can't be told to let go.
            Event::CacheReserved { .. } if !hanging.get(server).copied().unwrap_or(false) => {
                holding.held.insert((server, request), ());
                verdict.states += 1;
            }
            Event::CacheReleased { .. } => {
                holding.held.remove(&(server, request));
            }
            _ => {}
        }
        let reachable = holding.held.keys().any(|(server, _)| !hanging.get(server).copied().unwrap_or(false));
        let idle = reachable && holding.out == 0;
        holding.idle_since = if idle { holding.idle_since.or(Some(entry.at)) } else { None };
    }
    for (sequence, holding) in &holdings {
        check(sequence, holding, last, verdict);
    }
}

/// States that boxes still hold at the end, but for those of gateways that were killed since: boxes drop those by
/// themselves, later.
pub fn left_behind(entries: &[Entry]) -> usize {
    let mut held: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    let mut gateways: BTreeMap<&str, &str> = BTreeMap::new();
    let mut down: BTreeSet<&str> = BTreeSet::new();
    for entry in entries {
        match &entry.event {
            Event::AttemptArrived { gateway, request, .. } => {
                let gateway = gateway.strip_prefix("petrelshore/").unwrap_or(gateway);
                // What arrives from a gateway that is down was on its way before.
                gateways.insert(request, if down.contains(gateway) { "" } else { gateway });
            }
            Event::GatewayRestarted { gateway } => {
                down.remove(gateway.as_str());
            }
            Event::CacheReserved { server, request } => {
                let gateway = gateways.get(request.as_str()).copied().unwrap_or_default();
                held.insert((server, request), gateway);
            }
            Event::CacheReleased { server, request } => {
                held.remove(&(server.as_str(), request.as_str()));
            }
            Event::GatewayKilled { gateway } => {
                down.insert(gateway);
                held.retain(|_, of| *of != gateway);
                gateways.retain(|_, of| *of != gateway);
            }
            _ => {}
        }
    }
    held.into_values().filter(|gateway| !gateway.is_empty()).count()
}
