//! Where a request's prompt is read, where its answer is written, and what follows each outcome.
//!
//! A gateway keeps one `Brain` and holds its sequences itself. It asks three things: `schedule` (where to
//! send this sequence, or not yet, or never), `settle` (what to do after this outcome) and `wait` (how long
//! to wait: for the attempt just sent, else before asking again). Other facts are told: `listed`, `refused`,
//! `began`, `reported`. The types that cross are in `interface`; fading sums are in `decay`, servers in `fleet`.

mod admission;
mod affinity;
mod attempts;
mod cell_shares;
mod decode;
mod outlier;
mod prefill;
mod slow_start;

pub use attempts::held_since;

use crate::bounded::BoundedTable;
use crate::decay::{DecayingSum, FadingShare, FadingTimes};
use crate::fleet::{Fleet, Out, Server, mix};
use crate::interface::*;
use affinity::*;
use prefill::race;

use cell_shares::*;
use decode::*;
use oorandom::Rand64;
use outlier::*;
use std::collections::{BTreeMap, HashMap};

/// Memory of measured times and rates: long against one answer, short against a trouble.
const HALF_LIFE: Nanos = 4_000_000_000;
/// Memory of the read pace that refusal goes by: a jam that has cleared must not go on turning work away.
const READ_LIFE: Nanos = 2_000_000_000;
/// Bounds of the tables: failures by server, traffic type and tenant, by the last two alone, prompts by server, texts.
const FAILURES: usize = 8_192;
const STREAMS: usize = 64;
const KEPT: usize = 65_536;
const PREFIXES: usize = 8_192;
/// Points of a prefill server on its zone's hash ring.
const RING_POINTS: usize = 8;

/// What a server may treat apart: a traffic type of a tenant.
type Stream = (TypeId, Option<TenantId>);

pub struct Brain {
    deployment: Deployment,
    started: Nanos,
    chance: Rand64,
    fleet: Fleet,
    surveyed: Option<Nanos>,
    cells: BTreeMap<CellId, Cell>,
    /// For each role, the high quantile of answer times that its servers have in the middle.
    usual: [Option<(f64, f64)>; 3],
    /// The mean share of memory that servers which answer have told.
    told: f64,
    /// Answer times of late, of all servers together, by step.
    times: [FadingTimes; 4],
    /// Attempts of late that failed, of all servers together and by server.
    failed: BoundedTable<Stream, FadingShare>,
    failed_at: BoundedTable<(u64, Stream), FadingShare>,
    /// Sequences admitted of late: those read at a reader first, and those taken whole.
    admitted: [DecayingSum; 2],
    /// Their prompt tokens.
    admitted_tokens: DecayingSum,
    tenants: Vec<DecayingSum>,
    /// Time that reads took, and the prompt work they were sent into.
    read_time: DecayingSum,
    read_tokens: DecayingSum,
    /// Texts that servers were sent.
    kept: BoundedTable<(u64, Text), Kept>,
    /// How often a shared text was sent of late, and all of them together.
    prefixes: BoundedTable<PrefixId, DecayingSum>,
    texts: DecayingSum,
    /// At how many readers new texts are at home, and the share of reads that did not find theirs.
    new_homes: f64,
    missed: FadingShare,
    refusals: u32,
}

/// A server to be sent to, and prompt tokens that it is hoped to have kept.
struct Pick {
    server: ServerId,
    step: Step,
    kept: f64,
}

impl Brain {
    pub fn new(now: Nanos, deployment: Deployment, seed: u64) -> Self {
        Brain {
            started: now,
            chance: Rand64::new(seed.into()),
            fleet: Fleet::new(deployment.kinds.clone(), deployment.weights, RING_POINTS),
            surveyed: None,
            cells: BTreeMap::new(),
            usual: [None; 3],
            told: 0.0,
            times: std::array::from_fn(|_| FadingTimes::new(HALF_LIFE)),
            failed: BoundedTable::new(STREAMS),
            failed_at: BoundedTable::new(FAILURES),
            admitted: std::array::from_fn(|_| DecayingSum::new(HALF_LIFE)),
            admitted_tokens: DecayingSum::new(HALF_LIFE),
            tenants: vec![DecayingSum::new(HALF_LIFE); deployment.tenants.len()],
            read_time: DecayingSum::new(READ_LIFE),
            read_tokens: DecayingSum::new(READ_LIFE),
            kept: BoundedTable::new(KEPT),
            prefixes: BoundedTable::new(PREFIXES),
            texts: DecayingSum::new(TEXT_LIFE),
            new_homes: NEW_HOMES,
            missed: FadingShare::new(TEXT_LIFE),
            refusals: 0,
            deployment,
        }
    }

    /// The list of servers, or what has changed in it. A server that started anew has forgotten everything.
    pub fn listed(&mut self, now: Nanos, scope: ListScope, entries: &[Listing]) {
        self.refusals = 0;
        self.surveyed = None;
        let (cold_for, chance) = (self.deployment.cold_for, &mut self.chance);
        self.fleet.listed(scope, entries, |entry| {
            let cold_until = if entry.since > 0 { entry.since.saturating_add(cold_for) } else { 0 };
            Server::new(now, entry.clone(), cold_until, chance.rand_float(), HALF_LIFE)
        });
    }

    /// The list could not be had: how long to wait before asking again, jittered so gateways spread out.
    pub fn refused(&mut self) -> Nanos {
        self.refusals = (self.refusals + 1).min(4);
        let pause = ((SHUN / 4) << self.refusals).min(self.deployment.ask_within / 2);
        ((pause as f64 * (0.5 + 0.5 * self.chance.rand_float())) as Nanos).max(self.recheck())
    }

    /// A server has told its load.
    pub fn reported(&mut self, now: Nanos, server: ServerId, report: Report) {
        if let Some(server) = self.fleet.get_mut(server) {
            (server.report, server.reported) = (report, now);
        }
    }

    /// Where to send this sequence now.
    pub fn schedule(&mut self, now: Nanos, seq: &mut Sequence) -> Schedule {
        if seq.ended || seq.attempts.iter().any(|a| !matches!(a.status, Status::Closed(_))) {
            return Schedule::NotYet;
        }
        self.fleet.refresh(now);
        self.survey(now);
        let first = !seq.admitted && seq.attempts.is_empty();
        if let Some(TenantId(tenant)) = seq.tenant.filter(|_| first && seq.arrived == now) {
            self.tenants[tenant].add(now, 1.0);
        }
        if now + self.recheck() >= seq.abandon_at || self.spent(now, seq) || self.pinned(now, seq) {
            return self.give_up(now, seq);
        }
        // Guards against asking for a state that went with its reader, or with a writer whose answer went
        // wrong once begun: asked for in vain, it costs the attempt that a new read and write need. Its clock
        // runs on. Where too few attempts are left for both, the last one may still find it.
        let wrong = |a: &Attempt| matches!(a.status, Status::Closed(Outcome::Error | Outcome::Reset));
        let anew = seq.attempts.len() + 2 <= self.most_attempts(seq);
        let wrong = anew && seq.attempts.last().is_some_and(wrong);
        let state = seq.state.filter(|_| !wrong).filter(|(reader, since)| {
            let reader = self.fleet.get(*reader).map(|s| &s.listing);
            reader.is_some_and(|l| l.condition != Condition::Gone && l.since <= *since)
        });
        let picked = match state {
            Some((reader, _)) => self.select_decode(now, seq, reader),
            None => self.select_mixed(now, seq).or_else(|| self.select_prefill(now, seq)),
        };
        let whole = || self.select_whole(now, seq).filter(|_| state.is_none());
        let Some(pick) = picked.or_else(whole) else {
            let hold = self.may_go_on(seq, state.is_some()) && self.may_hold(now, seq);
            return if hold { Schedule::NotYet } else { self.give_up(now, seq) };
        };
        if first && self.overloaded(now, seq, &pick) {
            return self.give_up(now, seq);
        }
        if first {
            self.admitted[usize::from(pick.step == Step::Whole)].add(now, 1.0);
            self.admitted_tokens.add(now, seq.prompt_tokens);
        }
        seq.admitted = true;
        self.send(now, seq, &pick);
        Schedule::Send(pick.server)
    }

    /// What to do after the outcome of attempt `n`; `last` where it ended the sequence.
    pub fn settle(&mut self, now: Nanos, seq: &mut Sequence, n: usize, got: Outcome, last: bool) -> Settled {
        let Some(attempt) = seq.attempts.get_mut(n) else { return Settled::Wait };
        if matches!(attempt.status, Status::Closed(_)) {
            return Settled::Wait;
        }
        let began = attempt.status == Status::Streaming;
        attempt.status = Status::Closed(got);
        let attempt = attempt.clone();
        self.learn(now, seq, &attempt, got, began);
        if last || seq.ended {
            seq.ended = true;
            // A first token lets go of all that is held elsewhere; an answer that came whole does not.
            return Settled::Ended { release: got != Outcome::Generated || !began };
        }
        match got {
            Outcome::ReadDone { .. } => seq.state = Some((attempt.server, now)),
            Outcome::NoState => seq.state = None,
            _ => {}
        }
        seq.held_since = held_since(now, seq, &attempt, got);
        Settled::Schedule
    }

    /// The first token of attempt `n` has come.
    pub fn began(&mut self, now: Nanos, seq: &mut Sequence, n: usize) {
        let Some(attempt) = seq.attempts.get_mut(n) else { return };
        (attempt.status, seq.state, seq.held_since) = (Status::Streaming, None, None);
        if let Some(server) = self.fleet.get_mut(attempt.server) {
            server.heard = now;
            let time = now.saturating_sub(attempt.sent) as f64;
            self.times[attempt.step as usize].add(now, time);
            if attempt.step != Step::Move {
                server.times.add(now, time);
            }
            for out in server.out.iter_mut().filter(|out| out.seq == seq.id) {
                out.waiting = false;
            }
        }
    }

    /// The server with the least of a measure, of those that have one and may be sent this; ties go by lot.
    fn least(&self, now: Nanos, seq: &Sequence, by: impl Fn(&Server) -> Option<f64>) -> Option<ServerId> {
        let open = self.fleet.values().filter(|s| self.allowed(now, s) && self.in_scope(seq, s));
        let least = open.filter_map(|s| Some((by(s)?, s)));
        let least = least.min_by(|(a, x), (b, y)| a.total_cmp(b).then(x.lot.total_cmp(&y.lot)));
        least.map(|(_, server)| server.listing.server)
    }

    /// Books an attempt: its load, the text its reader will keep, and its place in a cold server's budget.
    fn send(&mut self, now: Nanos, seq: &mut Sequence, pick: &Pick) {
        let Pick { server: id, step, kept } = *pick;
        let server = &self.fleet[id];
        let (work, credit) = (self.read_work(now, server, seq, kept), self.credit(server, seq, 0.0));
        let shows = self.shows(seq, step);
        let heavy = seq.prompt_tokens / self.mean_prompt(now).max(1.0); // rule 4 counts by work
        let own = if step == Step::Read { seq.prompt_tokens - kept } else { self.stream_tokens(seq) };
        if matches!(step, Step::Read | Step::Whole) {
            self.keep(now, seq, id, kept);
        }
        let Some(server) = self.fleet.get_mut(id) else { return };
        (server.cold_sent, server.cold_part) = (now, heavy.max(1.0));
        server.out.push(Out { seq: seq.id, sent: now, tokens: own, waiting: shows });
        let (tokens, status) = (if step == Step::Read { work } else { own }, Status::Out);
        seq.attempts.push(Attempt { server: id, sent: now, step, status, reached: false, tokens, credit });
    }
}
