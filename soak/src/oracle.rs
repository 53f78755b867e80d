//! Judges a run from its record alone.

mod history;

use crate::record::{Class, Event, Outcome, Process, Role, Seen, Status, Time};
use crate::world::{Terms, ZONES};
use history::{Arrival, Life, Request, Run, sort};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a rule forgives for the way between two parties, beyond its own slack.
const WAY: Duration = Duration::from_millis(50);
/// An attempt may begin this long after its client has left.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// By so much more than is left to the client a server may be told.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// A final answer that comes this long after its client's time is lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const HELD_SLACK: Duration = Duration::from_millis(300);
/// A gateway is told at the latest this long after discovery had a change and could be reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// After word of a new configuration it is told this late.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Requests that come later than this after the word to stop have to be answered before the kill.
const STOP_SLACK: Duration = Duration::from_millis(700);
const EVENT_LATE: Duration = Duration::from_millis(300);
const LATE_STREAMS: f64 = 0.05;
const READY_WITHIN: Duration = Duration::from_secs(10);
const LATE_STARTS: f64 = 0.1;
/// A stream whose server has written its end has to reach its end at the client after this at the latest.
const STREAM_END_WITHIN: Duration = Duration::from_secs(1);

/// What may be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// One final answer in time for each request taken.
    Lost,
    /// Nothing is sent for a request that is over, or whose client has left.
    SentAfterEnd,
    /// A server is told no more time than the client has left.
    Deadline,
    /// No effect twice, no second copy, no harmless-looking refusal of what has run.
    Duplicate,
    /// Nothing new to a server that drains or is gone.
    Drain,
    SlowStart,
    Held,
    Crash,
    /// Restarts are ready in time.
    Ready,
    /// Events pass at once.
    Events,
    /// Bad clients get an error or a close in time, and no service.
    BadClient,
}

pub const RULES: [(Rule, &str); 11] = [
    (Rule::Lost, "lost"),
    (Rule::SentAfterEnd, "sent_after_end"),
    (Rule::Deadline, "deadline"),
    (Rule::Duplicate, "duplicate"),
    (Rule::Drain, "drain"),
    (Rule::SlowStart, "slow_start"),
    (Rule::Held, "held"),
    (Rule::Crash, "crash"),
    (Rule::Ready, "ready"),
    (Rule::Events, "events"),
    (Rule::BadClient, "bad_client"),
];

#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub at: Time,
    pub request: Option<u64>,
    pub process: Option<Process>,
    pub what: String,
}

/// Judges a whole run.
pub fn judge(terms: &Terms, events: &[(Time, Event)]) -> Vec<Violation> {
    let (run, mut violations) = sort(events);
    let judged = Judged { terms, run: &run };
    for (id, request) in &run.requests {
        judged.answered(*id, request, &mut violations);
        judged.attempts(*id, request, &mut violations);
        judged.held(*id, request, &mut violations);
    }
    judged.drains(&mut violations);
    judged.slow_starts(&mut violations);
    judged.lives(&mut violations);
    judged.events(&mut violations);
    violations.sort_by_key(|violation| violation.at);
    violations
}

struct Judged<'a> {
    terms: &'a Terms,
    run: &'a Run,
}

impl Judged<'_> {
    /// What the soak's own delays in that time may account for, with the way between two parties.
    fn slack(&self, from: Time, to: Time) -> Duration {
        let margin = Duration::from_millis(200);
        let range = from.saturating_sub(margin)..=to + margin;
        let lags = self.run.lags.iter().filter(|(at, _)| range.contains(at));
        WAY + lags.map(|(_, late)| *late).max().unwrap_or(Duration::ZERO) * 2
    }

    fn life(&self, process: Process) -> Option<&Life> {
        self.run.lives.get(&process)
    }

    /// Whether a process was killed outright before that time, without the word to stop.
    fn crashed_by(&self, process: Process, at: Time) -> bool {
        let killed =
            |life: &Life| life.told_to_stop.is_none() && life.killed.is_some_and(|killed| killed <= at);
        self.life(process).is_some_and(killed)
    }

    /// Rule 1: one final answer in time.
    fn answered(&self, id: u64, request: &Request, out: &mut Vec<Violation>) {
        let (Some(to), Some(&asked)) = (request.to, request.asked.last()) else { return };
        let due = asked + request.deadline + ANSWER_SLACK;
        let slack = self.slack(asked, due);
        let until = request.answered.map_or(due, |(at, _)| at);
        if request.left.is_some() || self.crashed_by(to, until.max(due) + slack) || due + slack > self.run.end
        {
            return;
        }
        let lost = |what: String, at: Time| Violation {
            rule: Rule::Lost,
            at,
            request: Some(id),
            process: Some(to),
            what,
        };
        match request.answered {
            None => out.push(lost("no answer at all".to_owned(), due)),
            Some((at, Seen::Silence)) => out.push(lost("its connection fell silent".to_owned(), at)),
            Some((at, Seen::Nothing { reused })) => {
                let arrived = !request.exchanges.is_empty();
                if !reused || arrived {
                    let what =
                        format!("closed without an answer, connection reused: {reused}, sent on: {arrived}");
                    out.push(lost(what, at));
                }
            }
            Some((at, Seen::CutShort)) => self.cut_short(id, request, at, out),
            Some((at, Seen::Whole(status))) => {
                let began = request.answer_began.unwrap_or(at);
                if began > due + slack {
                    out.push(lost(format!("{status} came {:?} late", began - due), began));
                }
            }
        }
    }

    /// A stream that its server has written to its end has to be passed on to its end; others may be cut where their
    /// own connection broke.
    fn cut_short(&self, id: u64, request: &Request, at: Time, out: &mut Vec<Violation>) {
        let Some(to) = request.to else { return };
        let mut arrivals = request.exchanges.iter().filter_map(|exchange| self.run.arrivals.get(exchange));
        let last = arrivals.rfind(|arrival| arrival.role == Role::Decode);
        let ended = last.and_then(|arrival| arrival.ended);
        let life = self.life(to);
        let stop = life.and_then(|life| life.told_to_stop);
        // What was taken early enough before the kill may be under way then; clients that resume move on.
        let excused = stop.is_some_and(|stop| {
            let early = request.asked.iter().all(|asked| *asked <= stop + STOP_SLACK);
            self.terms.resume
                || (early && life.is_some_and(|life| life.killed.is_some_and(|killed| at >= killed)))
        });
        let cut = match ended {
            // The end may have been on its way as its connection was broken.
            Some((ended, Outcome::Answered | Outcome::GivenUp))
                if self.connections_broke(to.gateway, ended) =>
            {
                false
            }
            // The server wrote to the end, or the gateway gave up a stream that was still coming.
            Some((_, Outcome::Answered)) => true,
            Some((gave_up, Outcome::GivenUp)) => {
                gave_up + STREAM_END_WITHIN >= at && !self.was_silent(request, at)
            }
            _ => false,
        };
        if cut && !excused {
            let what = format!("its stream was cut, at its server: {ended:?}");
            out.push(Violation { rule: Rule::Lost, at, request: Some(id), process: Some(to), what });
        }
    }

    /// Whether nothing had come from its server for so long that the stream counts as dead. A server that hangs, or a
    /// way that is cut, shows as a stream that is given up some seconds after the last event.
    fn was_silent(&self, request: &Request, at: Time) -> bool {
        request.answer_began.is_some_and(|began| at.saturating_sub(began) >= Duration::from_millis(4_500))
    }

    /// Whether connections that the gateway had made were being broken under it just then: its server sees that as an end
    /// by the gateway.
    fn connections_broke(&self, gateway: usize, at: Time) -> bool {
        let told = self.run.breaks.get(&gateway).into_iter().flatten();
        let before: Vec<bool> =
            told.clone().filter(|(from, _)| *from <= at).map(|(_, breaks)| *breaks).collect();
        let just_ended = told.clone().any(|(from, breaks)| !breaks && *from <= at && at <= *from + WAY);
        before.last() == Some(&true) || just_ended
    }

    /// Rules 1 and 2 by what arrived at servers.
    fn attempts(&self, id: u64, request: &Request, out: &mut Vec<Violation>) {
        let arrivals: Vec<&Arrival> =
            request.exchanges.iter().filter_map(|exchange| self.run.arrivals.get(exchange)).collect();
        let mut broken = |rule: Rule, at: Time, what: String| {
            out.push(Violation { rule, at, request: Some(id), process: request.to, what });
        };
        for arrival in &arrivals {
            let slack = self.slack(arrival.began, arrival.at);
            let at = arrival.at;
            if let Some(left) = request.left.filter(|left| arrival.began > *left + LEFT_SLACK + slack) {
                broken(
                    Rule::SentAfterEnd,
                    at,
                    format!("sent to s-{} {:?} after its client left", arrival.server, arrival.began - left),
                );
            }
            let answer = request.answered.map(|(at, _)| at).filter(|over| arrival.began > *over + slack);
            if let Some(over) = answer {
                broken(
                    Rule::SentAfterEnd,
                    at,
                    format!("sent to s-{} {:?} after its answer", arrival.server, arrival.began - over),
                );
            }
            let asked = request.asked.iter().rev().find(|asked| **asked <= arrival.at);
            if let Some(asked) = asked {
                let left = (*asked + request.deadline).saturating_sub(arrival.at);
                if arrival.told > left + DEADLINE_SLACK + slack {
                    broken(
                        Rule::Deadline,
                        at,
                        format!("s-{} was told {:?} of {left:?}", arrival.server, arrival.told),
                    );
                }
            }
        }
        for (n, arrival) in arrivals.iter().enumerate() {
            for earlier in &arrivals[..n] {
                let open = match earlier.ended {
                    None => arrival.at + WAY < self.run.end,
                    Some((_, Outcome::Broken)) => false,
                    Some((ended, _)) => ended > arrival.at + self.slack(arrival.at, ended),
                };
                if open {
                    let what =
                        format!("a second copy at s-{} while s-{} has one", arrival.server, earlier.server);
                    broken(Rule::Duplicate, arrival.at, what);
                }
            }
        }
        self.effects(request, &arrivals, &mut broken);
    }

    fn effects(&self, request: &Request, arrivals: &[&Arrival], broken: &mut impl FnMut(Rule, Time, String)) {
        let declined = |arrival: &&&Arrival| matches!(arrival.ended, Some((_, Outcome::Declined)));
        let ran: Vec<&&Arrival> = arrivals
            .iter()
            .filter(|arrival| arrival.role == Role::Decode)
            .filter(|arrival| !declined(arrival))
            .collect();
        let Some(first) = ran.first() else { return };
        match request.class {
            Some(Class::OnceOnly) => {
                if let Some(again) = ran.get(1) {
                    broken(
                        Rule::Duplicate,
                        again.at,
                        format!("ran at s-{} and s-{}", first.server, again.server),
                    );
                }
                let refused = |(_, seen): &(Time, Seen)| matches!(seen, Seen::Whole(429 | 503));
                if let Some((at, seen)) = request.answered.filter(refused) {
                    broken(
                        Rule::Duplicate,
                        at,
                        format!("{seen:?} after it may have run at s-{}", first.server),
                    );
                }
            }
            Some(Class::Tokened) => {
                for again in &ran[1..] {
                    let until = first.began + self.terms.token_window + DEADLINE_SLACK;
                    let late = again.began > until + self.slack(again.began, again.at);
                    let elsewhere = first.server / 2 % ZONES.len() != again.server / 2 % ZONES.len();
                    if late || elsewhere {
                        let what = format!(
                            "repeated at s-{} after s-{}: late {late}, in another zone {elsewhere}",
                            again.server, first.server
                        );
                        broken(Rule::Duplicate, again.at, what);
                    }
                }
            }
            _ => {}
        }
    }

    /// Rule 5: with no attempt out, what is held is taken or let go in time.
    fn held(&self, id: u64, request: &Request, out: &mut Vec<Violation>) {
        let Some(to) = request.to else { return };
        let over = self.life(to).and_then(|life| life.over).unwrap_or(self.run.end);
        for (server, from, until) in &request.held {
            let until = until.unwrap_or(self.run.end).min(over);
            let mut idle_from = *from;
            let arrivals = request.exchanges.iter().filter_map(|exchange| self.run.arrivals.get(exchange));
            let mut spans: Vec<(Time, Time)> = arrivals
                .map(|arrival| (arrival.at, arrival.ended.map_or(self.run.end, |(at, _)| at)))
                .filter(|(_, end)| *end > *from)
                .collect();
            spans.sort_unstable();
            spans.push((until, until));
            for (begin, end) in spans {
                let begin = begin.min(until);
                let most = self.terms.release_within + HELD_SLACK + self.slack(idle_from, begin);
                if begin.saturating_sub(idle_from) > most {
                    let what = format!("held at s-{server} for {:?} with no attempt out", begin - idle_from);
                    out.push(Violation {
                        rule: Rule::Held,
                        at: begin,
                        request: Some(id),
                        process: Some(to),
                        what,
                    });
                    break;
                }
                idle_from = idle_from.max(end);
            }
        }
    }

    /// Rule 3: nothing new past the grace after word that a server drains or is gone.
    fn drains(&self, out: &mut Vec<Violation>) {
        for arrival in self.run.arrivals.values() {
            let Some(words) = self.run.had.get(&(arrival.from, arrival.server)) else { continue };
            let process = self.process_at(arrival.from, arrival.began);
            let Some(told) = self.told_to_stop_sending(arrival, words, process) else { continue };
            let most = self.terms.drain_grace + self.slack(told, arrival.at);
            if arrival.began > told + most {
                let what = format!(
                    "sent to s-{} {:?} after word that it drains or is gone",
                    arrival.server,
                    arrival.began - told
                );
                let request = Some(arrival.request);
                out.push(Violation { rule: Rule::Drain, at: arrival.at, request, process, what });
            }
        }
    }

    fn process_at(&self, gateway: usize, at: Time) -> Option<Process> {
        let lives =
            self.run.lives.iter().filter(|(process, life)| process.gateway == gateway && life.spawned <= at);
        lives.map(|(process, _)| *process).next_back()
    }

    /// Since when the process that sent something counts as told that its server takes nothing new.
    fn told_to_stop_sending(
        &self,
        arrival: &Arrival,
        words: &[(Time, Status)],
        process: Option<Process>,
    ) -> Option<Time> {
        let mut since = None;
        for (at, status) in words.iter().filter(|(at, _)| *at <= arrival.began) {
            match status {
                Status::Active => since = None,
                Status::Leaving | Status::Left => since = since.or(Some(*at)),
            }
        }
        let had: Time = since?;
        let spawned =
            process.and_then(|process| self.life(process)).map_or(Duration::ZERO, |life| life.spawned);
        let mut told = had.max(spawned);
        let gateway = arrival.from;
        let near = |times: Option<&Vec<Time>>, time: Duration| {
            times
                .into_iter()
                .flatten()
                .filter(|at| **at <= told && told <= **at + time)
                .map(|at| *at + time)
                .max()
        };
        let silent = near(self.run.watches_silent.get(&gateway), TOLD_WITHIN);
        let reloaded = near(self.run.reloads.get(&gateway), TOLD_AFTER_RELOAD);
        let slow = self.run.slow.get(&gateway).into_iter().flatten().rev().find(|(at, _)| *at <= had);
        let slow = slow.filter(|(_, slow)| !slow.is_zero()).map(|_| had + TOLD_WITHIN);
        told = told
            .max(silent.unwrap_or_default())
            .max(reloaded.unwrap_or_default())
            .max(slow.unwrap_or_default());
        Some(told)
    }

    /// Rule 4: no cold server gets more than it can take, by gateways that were told of its start.
    fn slow_starts(&self, out: &mut Vec<Violation>) {
        let window = self.terms.overload_for;
        for (server, started) in &self.run.started {
            let next = self.run.started.iter().find(|(other, at)| other == server && at > started);
            let until = (*started + self.terms.cold_for).min(next.map_or(self.run.end, |(_, at)| *at));
            let own: Vec<&Arrival> =
                self.within(*started, until).filter(|arrival| arrival.server == *server).collect();
            for (n, first) in own.iter().enumerate() {
                let burst: Vec<&&Arrival> =
                    own[n..].iter().take_while(|arrival| arrival.at < first.at + window).collect();
                let told = burst.iter().filter(|arrival| self.knew_start(arrival, *server, *started)).count();
                let part = (first.at - *started).as_secs_f64() / self.terms.cold_for.as_secs_f64();
                let present = self.terms.cold_from + (1.0 - self.terms.cold_from) * part.min(1.0);
                let allowed = self.terms.overload_factor * present * self.fair(*server, first.at, window);
                let (deviations, more) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
                let budget = allowed + deviations * allowed.sqrt() + more;
                if burst.len() as f64 > budget && 3 * told > 2 * burst.len() {
                    let what = format!(
                        "s-{server} got {} calls for {budget:.1} {:?} after its start",
                        burst.len(),
                        first.at - *started
                    );
                    out.push(Violation {
                        rule: Rule::SlowStart,
                        at: first.at,
                        request: None,
                        process: None,
                        what,
                    });
                    break;
                }
            }
        }
    }

    fn within(&self, from: Time, to: Time) -> impl Iterator<Item = &Arrival> {
        self.run.arrivals.values().filter(move |arrival| arrival.at >= from && arrival.at < to)
    }

    /// What one server of the role would get of an even share, over the seconds before.
    fn fair(&self, server: usize, at: Time, window: Duration) -> f64 {
        let over = Duration::from_secs(6);
        let role = server % 2;
        let from = at.saturating_sub(over / 2);
        let all = self.within(from, from + over).filter(|arrival| arrival.server % 2 == role).count();
        let servers = self.terms.servers / 2;
        all as f64 / servers as f64 * window.as_secs_f64() / over.as_secs_f64()
    }

    fn knew_start(&self, arrival: &Arrival, server: usize, started: Time) -> bool {
        let words = self.run.had.get(&(arrival.from, server));
        words.into_iter().flatten().any(|(at, _)| *at > started && *at <= arrival.at)
    }

    fn lives(&self, out: &mut Vec<Violation>) {
        let restarts: Vec<(&Process, Duration)> = self
            .run
            .lives
            .iter()
            .filter(|(process, _)| process.run > 1)
            .filter_map(|(process, life)| Some((process, life.ready?)))
            .collect();
        let late: Vec<_> = restarts.iter().filter(|(_, took)| *took > READY_WITHIN).collect();
        if late.len() as f64 > LATE_STARTS * restarts.len() as f64 {
            let what =
                format!("{} of {} restarts took longer than {READY_WITHIN:?}", late.len(), restarts.len());
            out.push(Violation { rule: Rule::Ready, at: self.run.end, request: None, process: None, what });
        }
    }

    fn events(&self, out: &mut Vec<Violation>) {
        let streams: Vec<&Request> = self.run.requests.values().filter(|request| request.streamed).collect();
        let late = streams.iter().filter(|request| request.late_event).count();
        if late as f64 > LATE_STREAMS * streams.len() as f64 + 3.0 {
            let what = format!("{late} of {} streams had an event held back", streams.len());
            out.push(Violation { rule: Rule::Events, at: self.run.end, request: None, process: None, what });
        }
    }
}

/// How often troubles of two kinds overlapped in time, each pair in the order of its names.
pub fn overlaps(events: &[(Time, Event)]) -> BTreeMap<(String, String), usize> {
    let (mut open, mut pairs) = (BTreeMap::new(), BTreeMap::new());
    for (_, event) in events {
        let Event::Trouble { kind, number, began, .. } = event else { continue };
        if !began {
            open.remove(number);
            continue;
        }
        for other in open.values() {
            let (first, second) = if kind <= other { (kind, other) } else { (other, kind) };
            *pairs.entry((first.clone(), second.clone())).or_insert(0) += 1;
        }
        open.insert(*number, kind.clone());
    }
    pairs
}
