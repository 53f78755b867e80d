//! Outcomes of attempts: determines the next step of the sequence, and updates the state of the server and the
//! statistics.

use super::Scheduler;
use super::is_finished;
use super::parameters::LOAD_REPORT_STALENESS;
use crate::attempt_history::cache_held_since;
use crate::decay::DecayingShare;
use crate::fleet::Server;
use crate::interface::{Attempt, AttemptStatus, KvCacheLocation, Nanos, NextStep, Outcome, Sequence, Step};
use crate::statistics::{RequestClass, ServerClass};

/// Half-life of failure shares, in nanoseconds. It is long enough for a few of a gateway's own sequences.
const FAILURE_HALF_LIFE: Nanos = 10_000_000_000;
/// Ejection time after a failed connection attempt, in nanoseconds. It is as long as some attempts take, and short
/// compared with an outage.
const CONNECT_FAILURE_EJECTION: Nanos = 2_000_000_000;
/// Factor on the number of replicas of new prefixes after a prefill that found its prefix cached.
const CACHE_HIT_FACTOR: f64 = 1.2;
/// Factor on the number of replicas of new prefixes after a prefill that did not find its prefix cached.
const CACHE_MISS_FACTOR: f64 = 0.4;
/// Minimum number of replicas of new prefixes, in servers.
const MIN_NEW_PREFIX_REPLICAS: f64 = 1.0;
/// Maximum number of replicas of new prefixes, in servers.
const MAX_NEW_PREFIX_REPLICAS: f64 = 1e3;

/// An attempt and its outcome.
struct FinishedAttempt<'a> {
    sequence: &'a Sequence,
    attempt: &'a Attempt,
    outcome: Outcome,
    /// True if the first token had come.
    had_first_token: bool,
    /// True if the attempt's step shows progress before its end.
    shows_progress: bool,
    /// Nanoseconds since the attempt was sent.
    elapsed: Nanos,
}

impl FinishedAttempt<'_> {
    /// The response time to record for the attempt, in nanoseconds; zero if the outcome shows no response time.
    fn response_time(&self) -> f64 {
        let ends_a_wait = matches!(self.outcome, Outcome::PrefillDone { .. } | Outcome::TimedOut);
        if ends_a_wait && !self.had_first_token && self.shows_progress { self.elapsed as f64 } else { 0.0 }
    }

    /// Returns true if the outcome shows anything about the server's health.
    fn shows_server_health(&self) -> bool {
        !matches!(self.outcome, Outcome::KvCacheMissing | Outcome::Cancelled | Outcome::NeverSent)
    }

    /// Returns true if the attempt ended without any part of its result.
    fn has_failed(&self) -> bool {
        !self.had_first_token && !matches!(self.outcome, Outcome::PrefillDone { .. } | Outcome::Completed)
    }
}

impl Scheduler {
    /// Records the outcome of an attempt and returns the next step of its sequence. `ends_sequence` is set if this
    /// outcome ends the sequence.
    pub fn attempt_finished(
        &mut self,
        now: Nanos,
        sequence: &mut Sequence,
        attempt_index: usize,
        outcome: Outcome,
        ends_sequence: bool,
    ) -> NextStep {
        let Some(attempt) = sequence.attempts.get_mut(attempt_index).filter(|attempt| !is_finished(attempt))
        else {
            return NextStep::Wait;
        };
        let had_first_token = attempt.status == AttemptStatus::Streaming;
        attempt.status = AttemptStatus::Finished(outcome);
        let attempt = attempt.clone();
        self.record_outcome(
            now,
            &FinishedAttempt {
                sequence,
                attempt: &attempt,
                outcome,
                had_first_token,
                shows_progress: self.deployment.shows_progress(sequence.traffic, attempt.step),
                elapsed: now.saturating_sub(attempt.sent_at),
            },
        );
        if ends_sequence || sequence.completed {
            sequence.completed = true;
            // The first token releases the KV caches that other servers hold; a buffered answer does not.
            return NextStep::Complete { release: outcome != Outcome::Completed || !had_first_token };
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

    /// Records the first token of an attempt.
    pub fn first_token(&mut self, now: Nanos, sequence: &mut Sequence, attempt_index: usize) {
        let Some(attempt) = sequence.attempts.get_mut(attempt_index) else { return };
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

    /// Updates the state of the server and the statistics of the fleet after an outcome.
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
        if finished.shows_server_health() {
            self.record_failure_share(now, generation, finished);
        }
        if let Outcome::PrefillDone { cached_tokens } = finished.outcome {
            self.statistics.prefill_time.add(now, response_time);
            self.statistics.prefill_tokens.add(now, attempt.load_tokens);
            self.record_cache_hit(now, sequence, cached_tokens);
        }
    }

    /// Counts the outcome in the failure shares of its request class, at its server and over the fleet.
    fn record_failure_share(&mut self, now: Nanos, generation: u64, finished: &FinishedAttempt) {
        let failed = finished.has_failed();
        let new_share = || DecayingShare::new(FAILURE_HALF_LIFE);
        let class = RequestClass::of(finished.sequence);
        let at_server = ServerClass { generation, class };
        self.statistics.server_failures.entry_or_insert_with(at_server, new_share).add(now, failed);
        self.statistics.failures.entry_or_insert_with(class, new_share).add(now, failed);
    }

    /// Records whether a prefill found the shared prefix of its sequence cached. The more often prefills find their
    /// prefix, the more replicas new prefixes get.
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

/// Updates the state of the server after an outcome.
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
        // A server at capacity rejects at once; a server that rejects later rejects this kind of traffic and is not
        // ejected.
        Outcome::AtCapacity if finished.elapsed < LOAD_REPORT_STALENESS => {
            server.last_heard_at = now;
            server.ejected_until = now + LOAD_REPORT_STALENESS;
        }
        Outcome::Completed | Outcome::AtCapacity | Outcome::KvCacheMissing | Outcome::Error => {
            server.last_heard_at = now;
        }
        // A reset may concern this connection only. If the server is down, the next connection attempt fails.
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
