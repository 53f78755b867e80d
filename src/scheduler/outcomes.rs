//! Outcomes of attempts: what follows each one for its sequence, and what it shows of its server.

use super::Scheduler;
use super::is_finished;
use super::parameters::LOAD_REPORT_STALENESS;
use crate::attempt_history::cache_held_since;
use crate::decay::DecayingShare;
use crate::fleet::Server;
use crate::interface::{Attempt, AttemptStatus, KvCacheLocation, Nanos, NextStep, Outcome, Sequence, Step};
use crate::statistics::{RequestClass, ServerClass};

/// Half-life of failure shares, in nanoseconds: time for a few of a gateway's own sequences.
const FAILURE_HALF_LIFE: Nanos = 10_000_000_000;
/// Ejection time after a connection attempt that failed, in nanoseconds: some attempts' time, short against an outage.
const CONNECT_FAILURE_EJECTION: Nanos = 2_000_000_000;
/// Factor on the replicas of new prefixes after a prefill that found its prefix cached.
const CACHE_HIT_FACTOR: f64 = 1.2;
/// The same after one that did not.
const CACHE_MISS_FACTOR: f64 = 0.4;
/// Bounds of the replicas of new prefixes, in servers.
const MIN_NEW_PREFIX_REPLICAS: f64 = 1.0;
const MAX_NEW_PREFIX_REPLICAS: f64 = 1e3;

/// An attempt as it ended.
struct FinishedAttempt<'a> {
    sequence: &'a Sequence,
    attempt: &'a Attempt,
    outcome: Outcome,
    /// Whether its first token had come.
    began: bool,
    /// Whether it was to show progress before its end.
    shows_progress: bool,
    /// Nanoseconds since it was sent.
    elapsed: Nanos,
}

impl FinishedAttempt<'_> {
    /// The response time that the end shows, in nanoseconds; zero where it shows none.
    fn response_time(&self) -> f64 {
        let ends_a_wait = matches!(self.outcome, Outcome::PrefillDone { .. } | Outcome::TimedOut);
        if ends_a_wait && !self.began && self.shows_progress { self.elapsed as f64 } else { 0.0 }
    }

    /// Whether the outcome says anything of its server's health.
    fn is_evidence(&self) -> bool {
        !matches!(self.outcome, Outcome::KvCacheMissing | Outcome::Cancelled | Outcome::NeverSent)
    }

    /// Whether it ended without any of what was asked for.
    fn has_failed(&self) -> bool {
        !self.began && !matches!(self.outcome, Outcome::PrefillDone { .. } | Outcome::Completed)
    }
}

impl Scheduler {
    /// What to do after the outcome of attempt `n`; `last` where it ended the sequence.
    pub fn attempt_finished(
        &mut self,
        now: Nanos,
        sequence: &mut Sequence,
        n: usize,
        outcome: Outcome,
        last: bool,
    ) -> NextStep {
        let Some(attempt) = sequence.attempts.get_mut(n).filter(|attempt| !is_finished(attempt)) else {
            return NextStep::Wait;
        };
        let began = attempt.status == AttemptStatus::Streaming;
        attempt.status = AttemptStatus::Finished(outcome);
        let attempt = attempt.clone();
        self.record_outcome(
            now,
            &FinishedAttempt {
                sequence,
                attempt: &attempt,
                outcome,
                began,
                shows_progress: self.deployment.shows_progress(sequence.traffic, attempt.step),
                elapsed: now.saturating_sub(attempt.sent_at),
            },
        );
        if last || sequence.completed {
            sequence.completed = true;
            // A first token releases all that is held elsewhere; a buffered answer does not.
            return NextStep::Complete { release: outcome != Outcome::Completed || !began };
        }
        match outcome {
            Outcome::PrefillDone { .. } => {
                sequence.kv_cache = Some(KvCacheLocation { server: attempt.server, since: now })
            }
            Outcome::KvCacheMissing => sequence.kv_cache = None,
            _ => {}
        }
        sequence.cache_held_since = cache_held_since(now, sequence, &attempt, outcome);
        NextStep::Schedule
    }

    /// The first token of attempt `n` has come.
    pub fn first_token(&mut self, now: Nanos, sequence: &mut Sequence, n: usize) {
        let Some(attempt) = sequence.attempts.get_mut(n) else { return };
        attempt.status = AttemptStatus::Streaming;
        sequence.kv_cache = None;
        sequence.cache_held_since = None;
        let Some(server) = self.fleet.get_mut(attempt.server) else { return };
        server.last_heard_at = now;
        let response_time = now.saturating_sub(attempt.sent_at) as f64;
        self.statistics.response_times[attempt.step as usize].add(now, response_time);
        if attempt.step != Step::MigratedDecode {
            server.response_times.add(now, response_time);
        }
        for in_flight in server.in_flight.iter_mut().filter(|a| a.sequence == sequence.id) {
            in_flight.awaits_first_token = false;
        }
    }

    /// Takes in what an outcome shows of its server and of the fleet.
    fn record_outcome(&mut self, now: Nanos, finished: &FinishedAttempt) {
        let FinishedAttempt { sequence, attempt, .. } = *finished;
        let Some(server) = self.fleet.get_mut(attempt.server) else { return };
        server.in_flight.retain(|in_flight| in_flight.sequence != sequence.id);
        record_server_state(now, server, finished);
        let generation = server.generation;
        let response_time = finished.response_time();
        if response_time > 0.0 {
            self.statistics.response_times[attempt.step as usize].add(now, response_time);
        }
        if finished.is_evidence() {
            self.record_failure_share(now, generation, finished);
        }
        if let Outcome::PrefillDone { cached_tokens } = finished.outcome {
            self.statistics.prefill_time.add(now, response_time);
            self.statistics.prefill_tokens.add(now, attempt.load_tokens);
            self.record_cache_hit(now, sequence, cached_tokens);
        }
    }

    /// Counts the outcome to its class of requests, at its server and in the fleet.
    fn record_failure_share(&mut self, now: Nanos, generation: u64, finished: &FinishedAttempt) {
        let failed = finished.has_failed();
        let new_share = || DecayingShare::new(FAILURE_HALF_LIFE);
        let class = RequestClass::of(finished.sequence);
        let at_server = ServerClass { generation, class };
        self.statistics.server_failures.entry_or_insert_with(at_server, new_share).add(now, failed);
        self.statistics.failures.entry_or_insert_with(class, new_share).add(now, failed);
    }

    /// Whether a prefill found the shared prefix of its sequence: the more often, the more replicas new ones get.
    fn record_cache_hit(&mut self, now: Nanos, sequence: &Sequence, cached_tokens: f64) {
        if sequence.prefix_tokens <= 0.0 {
            return;
        }
        let missed = cached_tokens < sequence.prefix_tokens / 2.0;
        self.statistics.prefix_misses.add(now, missed);
        let factor = if missed { CACHE_MISS_FACTOR } else { CACHE_HIT_FACTOR };
        self.new_prefix_replicas =
            (self.new_prefix_replicas * factor).clamp(MIN_NEW_PREFIX_REPLICAS, MAX_NEW_PREFIX_REPLICAS);
    }
}

/// Takes in what an outcome shows of its server alone.
fn record_server_state(now: Nanos, server: &mut Server, finished: &FinishedAttempt) {
    let attempt = finished.attempt;
    match finished.outcome {
        Outcome::PrefillDone { cached_tokens } => {
            server.last_heard_at = now;
            server.response_times.add(now, finished.response_time());
            if cached_tokens + 1.0 < attempt.expected_cached_tokens / 2.0 {
                server.evicted_tokens = server.prefilled_tokens;
            }
        }
        // A server at capacity says so at once; one that takes its time rejects this kind of traffic.
        Outcome::AtCapacity if finished.elapsed < LOAD_REPORT_STALENESS => {
            server.last_heard_at = now;
            server.ejected_until = now + LOAD_REPORT_STALENESS;
        }
        Outcome::Completed | Outcome::AtCapacity | Outcome::KvCacheMissing | Outcome::Error => {
            server.last_heard_at = now;
        }
        // One broken connection may be all that broke; a server that is gone shows at the next connection.
        Outcome::Reset => {
            server.ejected_until = server.ejected_until.max(now + LOAD_REPORT_STALENESS);
        }
        Outcome::ConnectFailed => server.ejected_until = now + CONNECT_FAILURE_EJECTION,
        Outcome::TimedOut if finished.shows_progress && attempt.step != Step::MigratedDecode => {
            server.response_times.add(now, finished.elapsed as f64);
        }
        Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => {}
    }
}
