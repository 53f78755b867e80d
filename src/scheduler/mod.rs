//! Where a request's prompt is read, where its answer is written, and what follows each outcome.
//!
//! A gateway keeps one `Scheduler` and holds its sequences itself. It asks `schedule` (where to send a sequence, or not
//! yet, or never), `settle` (what to do after an outcome) and `wait` (how long to wait: for the attempt just sent,
//! else before asking again). Other facts are told. What is remembered is in `statistics`, servers are in `fleet`.

mod admission;
mod affinity;
mod attempts;
mod candidates;
mod cell_quota;
mod decode;
mod outlier;
mod prefill;
mod slow_start;
mod start_times;

use crate::attempt_history::{cache_held_since, first_possible_run};
use crate::decay::{DecayingSum, FadingShare};
use crate::fleet::*;
use crate::interface::*;
use crate::statistics::*;
use affinity::*;
use candidates::*;
use decode::*;
use oorandom::Rand64;
use outlier::*;
use start_times::StartTimes;
use std::cell::RefCell;
use std::collections::HashMap;

/// Memory of measured times and rates: long against one answer, short against a trouble.
const HALF_LIFE: Nanos = 4_000_000_000;
/// Memory of the read pace that refusal goes by: a jam that has cleared must not go on turning work away.
const READ_LIFE: Nanos = 2_000_000_000;
/// What is remembered, and bounds of its tables: failures by traffic type and tenant, and at each server, texts that
/// servers were sent, shared texts.
const MEMORY: Memory = Memory {
    times: HALF_LIFE,
    prefills: READ_LIFE,
    texts: TEXT_LIFE,
    most_streams: 64,
    most_failures: 8_192,
    most_kept: 16_384,
    most_prefixes: 8_192,
};
/// Points of a prefill server on its zone's hash ring.
const RING_POINTS: usize = 16;

pub struct Scheduler {
    deployment: Deployment,
    chance: Rand64,
    fleet: Fleet,
    start_times: StartTimes,
    sampler: RefCell<Sampler>,
    /// Fleets up to this size are looked at whole.
    bound: usize,
    stats: Statistics,
    survey: Option<Survey>,
    surveyed: Option<Nanos>,
    shares: Shares,
    /// For each role, the high quantile of answer times that its servers have in the middle.
    usual: [Option<(f64, f64)>; 3],
    /// At how many readers new texts are at home.
    new_homes: f64,
    refusals: u32,
}

/// A server to be sent to, and prompt tokens that it is hoped to have kept.
struct Pick {
    server: ServerId,
    step: Step,
    kept: f64,
}

impl Scheduler {
    pub fn new(now: Nanos, deployment: Deployment, seed: u64) -> Self {
        let stats = Statistics::new(now, deployment.tenants.len(), MEMORY);
        Scheduler {
            chance: Rand64::new(seed.into()),
            fleet: Fleet::new(deployment.kinds.clone(), deployment.weights, RING_POINTS),
            start_times: StartTimes::new(deployment.start_time_clock),
            sampler: RefCell::new(Sampler::new(seed)),
            bound: SMALL_FLEET,
            stats,
            survey: None,
            surveyed: None,
            shares: Shares::default(),
            usual: [None; 3],
            new_homes: NEW_HOMES,
            refusals: 0,
            deployment,
        }
    }

    /// The same decisions over all servers, however many there are: to compare with.
    pub fn scanning(now: Nanos, deployment: Deployment, seed: u64) -> Self {
        Scheduler { bound: usize::MAX, ..Self::new(now, deployment, seed) }
    }

    /// Servers looked at so far.
    pub fn servers_examined(&self) -> u64 {
        self.fleet.examined()
    }

    /// The list of servers, or what has changed in it. A server that started anew has forgotten everything.
    pub fn update_endpoints(&mut self, now: Nanos, scope: SnapshotKind, entries: &[Endpoint]) {
        self.refusals = 0;
        self.surveyed = None;
        let entries = self.start_times.on_own_clock(now, scope, entries);
        let (cold_for, chance) = (self.deployment.slow_start_duration, &mut self.chance);
        self.fleet.listed(scope, &entries, |entry| {
            let cold_until = if entry.started_at > 0 { entry.started_at.saturating_add(cold_for) } else { 0 };
            Server::new(now, entry.clone(), cold_until, chance.rand_float(), HALF_LIFE)
        });
    }

    /// The list could not be had: how long to wait before asking again, jittered so gateways spread out.
    pub fn endpoint_poll_failed(&mut self) -> Nanos {
        self.refusals = (self.refusals + 1).min(4);
        let pause = ((SHUN / 4) << self.refusals).min(self.deployment.max_poll_interval / 2);
        ((pause as f64 * (0.5 + 0.5 * self.chance.rand_float())) as Nanos).max(self.recheck())
    }

    /// A server has told its load.
    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        if let Some(server) = self.fleet.get_mut(server) {
            (server.report, server.reported) = (report, now);
        }
    }

    /// Where to send this sequence now.
    pub fn schedule(&mut self, now: Nanos, sequence: &mut Sequence) -> Decision {
        if sequence.completed
            || sequence.attempts.iter().any(|a| !matches!(a.status, AttemptStatus::Finished(_)))
        {
            return Decision::Wait;
        }
        self.fleet.refresh(now);
        self.survey(now);
        let first = !sequence.admitted && sequence.attempts.is_empty();
        if let Some(TenantId(tenant)) = sequence.tenant.filter(|_| first && sequence.arrived_at == now) {
            self.stats.tenants[tenant].add(now, 1.0);
        }
        if now + self.recheck() >= sequence.first_token_deadline
            || self.spent(now, sequence)
            || self.pinned(now, sequence)
        {
            return self.give_up(now, sequence);
        }
        // Guards against asking in vain for a state that went with its reader, or with a writer whose answer went
        // wrong once begun. Where too few attempts are left for a new read and write, the last one may find it.
        let wrong =
            |a: &Attempt| matches!(a.status, AttemptStatus::Finished(Outcome::Error | Outcome::Reset));
        let anew = sequence.attempts.len() + 2 <= self.most_attempts(sequence);
        let wrong = anew && sequence.attempts.last().is_some_and(wrong);
        let kv_cache = sequence.kv_cache.filter(|_| !wrong).filter(|held| {
            let endpoint = self.fleet.get(held.server).map(|server| &server.endpoint);
            endpoint.is_some_and(|e| e.state != EndpointState::Gone && e.started_at <= held.since)
        });
        let picked = match kv_cache {
            Some(held) => self.select_decode(now, sequence, held.server),
            None => self.select_mixed(now, sequence).or_else(|| self.select_prefill(now, sequence)),
        };
        let whole = kv_cache.is_none() && self.deployment.any_kind_serves_combined();
        let Some(pick) = picked.or_else(|| whole.then(|| self.select_whole(now, sequence))?) else {
            let hold = self.may_go_on(sequence, kv_cache.is_some()) && self.may_hold(now, sequence);
            return if hold { Decision::Wait } else { self.give_up(now, sequence) };
        };
        // Of a large fleet another look may find a ready one.
        let ready = self.is_small() || self.ready(now, &self.fleet[pick.server]);
        if !ready && self.may_hold(now, sequence) {
            return Decision::Wait;
        }
        if first && self.overloaded(now, sequence, &pick) {
            return self.give_up(now, sequence);
        }
        if first {
            self.stats.admitted[usize::from(pick.step == Step::Combined)].add(now, 1.0);
            self.stats.admitted_tokens.add(now, sequence.prompt_tokens);
        }
        sequence.admitted = true;
        self.send(now, sequence, &pick);
        Decision::Send(pick.server)
    }

    /// What to do after the outcome of attempt `n`; `last` where it ended the sequence.
    pub fn attempt_finished(
        &mut self,
        now: Nanos,
        sequence: &mut Sequence,
        n: usize,
        got: Outcome,
        last: bool,
    ) -> NextStep {
        let open = |a: &&mut Attempt| !matches!(a.status, AttemptStatus::Finished(_));
        let Some(attempt) = sequence.attempts.get_mut(n).filter(open) else { return NextStep::Wait };
        let began = attempt.status == AttemptStatus::Streaming;
        attempt.status = AttemptStatus::Finished(got);
        let attempt = attempt.clone();
        self.learn(now, sequence, &attempt, got, began);
        if last || sequence.completed {
            sequence.completed = true;
            // A first token lets go of all that is held elsewhere; an answer that came whole does not.
            return NextStep::Complete { release: got != Outcome::Completed || !began };
        }
        match got {
            Outcome::PrefillDone { .. } => {
                sequence.kv_cache = Some(KvCacheLocation { server: attempt.server, since: now })
            }
            Outcome::KvCacheMissing => sequence.kv_cache = None,
            _ => {}
        }
        sequence.cache_held_since = cache_held_since(now, sequence, &attempt, got);
        NextStep::Schedule
    }

    /// The first token of attempt `n` has come.
    pub fn first_token(&mut self, now: Nanos, sequence: &mut Sequence, n: usize) {
        let Some(attempt) = sequence.attempts.get_mut(n) else { return };
        (attempt.status, sequence.kv_cache, sequence.cache_held_since) =
            (AttemptStatus::Streaming, None, None);
        if let Some(server) = self.fleet.get_mut(attempt.server) {
            server.heard = now;
            let time = now.saturating_sub(attempt.sent_at) as f64;
            self.stats.times[attempt.step as usize].add(now, time);
            if attempt.step != Step::MigratedDecode {
                server.times.add(now, time);
            }
            server
                .out
                .iter_mut()
                .filter(|out| out.sequence == sequence.id)
                .for_each(|out| out.waiting = false);
        }
    }

    /// Books an attempt: its load, the text its reader will keep, and its place in a cold server's budget.
    fn send(&mut self, now: Nanos, sequence: &mut Sequence, pick: &Pick) {
        let Pick { server: id, step, kept } = *pick;
        let server = &self.fleet[id];
        let (work, credit) =
            (self.read_work(now, server, sequence, kept), self.credit(server, sequence, 0.0));
        let shows = self.deployment.shows_progress(sequence.traffic, step);
        let heavy = sequence.prompt_tokens / self.stats.mean_prompt(now).max(1.0); // rule 4 counts by work
        let own =
            if step == Step::Prefill { sequence.prompt_tokens - kept } else { self.stream_tokens(sequence) };
        if matches!(step, Step::Prefill | Step::Combined) {
            self.keep(now, sequence, id, kept);
        }
        let Some(server) = self.fleet.get_mut(id) else { return };
        (server.cold_sent, server.cold_part) = (now, heavy.max(1.0));
        server.out.push(Out { sequence: sequence.id, sent: now, tokens: own, waiting: shows });
        let (tokens, status) = (if step == Step::Prefill { work } else { own }, AttemptStatus::InFlight);
        sequence.attempts.push(Attempt {
            server: id,
            sent_at: now,
            step,
            status,
            delivered: false,
            load_tokens: tokens,
            expected_cached_tokens: credit,
        });
    }
}
