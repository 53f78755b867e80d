//! Limits of attempts (rules 1, 2 and 5): how many, until when, at which servers, and the final answer.

use super::Scheduler;
use super::parameters::HIGH_QUANTILE_DEVIATIONS;
use crate::attempt_history::first_possible_run;
use crate::fleet::ServerScope;
use crate::interface::{
    Attempt, AttemptStatus, Decision, Idempotency, KeyScope, Nanos, Sequence, ServerId, Step,
};

/// Timeout of an attempt, as a multiple of the high response time of late.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.5;
/// Least response time that timeouts are reckoned from, as a divisor of the latency objective.
const MIN_RESPONSE_TIME_SLO_DIVISOR: f64 = 6.0;
/// High response time of one prefill server, as a multiple of that of all together, while too little is known of them
/// one by one.
const FLEET_PREFILL_TIME_FACTOR: f64 = 2.0;
/// Share of the latency objective for which a sequence that no server can take waits.
const MAX_WAIT_SLO_SHARE: f64 = 0.5;
/// Pause in nanoseconds before a sequence that no server could take is scheduled again.
const RESCHEDULE_INTERVAL: Nanos = 20_000_000;

impl Scheduler {
    /// The timeout of the attempt in flight; without one, how long until `schedule` is worth calling. Where no response
    /// times are known it is half the time left: a gateway that starts during an overload must not add to it.
    pub fn next_timeout(&self, now: Nanos, sequence: &Sequence) -> Nanos {
        let left = sequence.first_token_deadline.saturating_sub(now);
        let in_flight = sequence.attempts.last().filter(|a| a.status == AttemptStatus::InFlight);
        let Some(attempt) = in_flight else {
            return self.reschedule_interval().min(left);
        };
        if !self.has_response_timeout(sequence, attempt) {
            return left;
        }
        let min_response_time = self.deployment.slo(sequence) as f64 / MIN_RESPONSE_TIME_SLO_DIVISOR;
        let timeout = self
            .usual_response_time(now, attempt)
            .map_or(left / 2, |usual| (ATTEMPT_TIMEOUT_FACTOR * usual.max(min_response_time)) as Nanos);
        timeout.min(self.max_timeout(sequence, attempt, left))
    }

    /// Whether an attempt may time out before its client's deadline. A timeout proves nothing, so only an answer lets a
    /// sequence that may run once complete. And the times of first tokens say nothing of a buffered answer.
    fn has_response_timeout(&self, sequence: &Sequence, attempt: &Attempt) -> bool {
        let idempotency = self.deployment.types[sequence.traffic.0].idempotency;
        let runs_once = attempt.step != Step::Prefill && idempotency == Idempotency::AtMostOnce;
        !runs_once && self.deployment.shows_progress(sequence.traffic, attempt.step)
    }

    /// The high response time that an attempt may be expected to stay below, in nanoseconds.
    fn usual_response_time(&self, now: Nanos, attempt: &Attempt) -> Option<f64> {
        let queue_time = self.prefill_wait(now, attempt.load_tokens);
        let of_role = self.typical_times[self.fleet[attempt.server].role as usize].map(|times| times.upper);
        let of_step = self.fleet_response_time(now, attempt.step, HIGH_QUANTILE_DEVIATIONS);
        match attempt.step {
            // A queue is no reason to prefill again elsewhere, nor a slow link to migrate elsewhere.
            Step::Prefill => of_role
                .or(of_step.map(|time| FLEET_PREFILL_TIME_FACTOR * time))
                .map(|time| time.max(queue_time)),
            Step::MigratedDecode => of_step.map(|time| time.max(of_role.unwrap_or(0.0))),
            Step::Decode | Step::Combined => of_role.or(of_step),
        }
    }

    /// Timeouts raise the usual response time: where few answers are known, one server that hangs must not get all the
    /// time there is. A latency objective's worth is left for the next attempt.
    fn max_timeout(&self, sequence: &Sequence, attempt: &Attempt, left: Nanos) -> Nanos {
        if attempt.step == Step::Prefill || sequence.attempts.len() >= self.max_attempts(sequence) {
            return left;
        }
        left.saturating_sub(self.deployment.slo(sequence)).max(left / 2)
    }

    /// How many attempts a sequence may take: every one may have a prefill and a decode, retries go by priority weight.
    pub(super) fn max_attempts(&self, sequence: &Sequence) -> usize {
        let max_attempts = self.deployment.max_attempts;
        let max_retries = max_attempts.saturating_sub(2) as f64;
        let retries = (max_retries * self.deployment.relative_priority(sequence.traffic)).ceil() as usize;
        max_attempts.min(2 + retries)
    }

    /// Whether no further attempt may begin: they are used up, or it is too late for a repeat.
    pub(super) fn attempts_exhausted(&self, now: Nanos, sequence: &Sequence) -> bool {
        sequence.attempts.len() >= self.max_attempts(sequence)
            || self.send_deadline(sequence).is_some_and(|deadline| now >= deadline)
    }

    /// Until when another attempt may begin, once one may have run: servers forget idempotency keys after their window.
    pub fn send_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        let first = first_possible_run(sequence)?;
        match self.deployment.types[sequence.traffic.0].idempotency {
            Idempotency::Idempotent => None,
            Idempotency::Keyed { window, .. } => Some(first.sent_at.saturating_add(window)),
            Idempotency::AtMostOnce => Some(first.sent_at),
        }
    }

    /// Whether the attempts left can end in an answer, by the roles there are.
    pub(super) fn can_complete(&self, sequence: &Sequence, has_kv_cache: bool) -> bool {
        let one_attempt_is_enough = has_kv_cache || self.deployment.any_kind_serves_combined();
        let needed = if one_attempt_is_enough { 1 } else { 2 };
        sequence.attempts.len() + needed <= self.max_attempts(sequence)
    }

    /// The servers that a sequence with an idempotency key is bound to, once an attempt may have run: those that know the
    /// key. Where the server of that attempt is no longer known, none are.
    pub(super) fn idempotency_scope(&self, sequence: &Sequence) -> Option<ServerScope> {
        let Idempotency::Keyed { scope, .. } = self.deployment.types[sequence.traffic.0].idempotency else {
            return None;
        };
        if scope == KeyScope::Fleet {
            return None;
        }
        let first = first_possible_run(sequence)?;
        Some(self.scope_around(scope, first.server))
    }

    /// The servers that know the idempotency keys of one server.
    fn scope_around(&self, scope: KeyScope, server: ServerId) -> ServerScope {
        let Some(server) = self.fleet.get(server) else { return ServerScope::Empty };
        match scope {
            KeyScope::Cell => ServerScope::Cell(server.endpoint.cell),
            KeyScope::Zone | KeyScope::Fleet => ServerScope::Zone(server.endpoint.zone),
        }
    }

    /// Whether a sequence that no server can take may wait: for part of its latency objective, or of its client's time
    /// where that is shorter, for as long as its KV cache need not be released, and so that the next look comes in time.
    pub(super) fn may_wait(&self, now: Nanos, sequence: &Sequence) -> bool {
        let client_time = sequence.first_token_deadline.saturating_sub(sequence.arrived_at);
        let full_time = self.deployment.slo(sequence).min(client_time);
        let max_wait = (full_time as f64 * MAX_WAIT_SLO_SHARE) as Nanos;
        let next_look = now + self.reschedule_interval();
        now < sequence.arrived_at.saturating_add(max_wait)
            && next_look + self.deployment.timer_resolution < sequence.first_token_deadline
            && !self.release_is_due(next_look, sequence)
    }

    /// Pause before a sequence is scheduled again: no timer fires sooner than its resolution.
    pub(super) fn reschedule_interval(&self) -> Nanos {
        RESCHEDULE_INTERVAL.max(self.deployment.timer_resolution)
    }

    /// Until when a KV cache may wait for a decode server: half the release timeout, the other half is for the release.
    pub fn cache_release_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        sequence.cache_held_since.map(|since| since.saturating_add(self.deployment.release_timeout / 2))
    }

    /// Whether what prefill servers hold has to be released before the next look at a sequence.
    pub(super) fn release_is_due(&self, now: Nanos, sequence: &Sequence) -> bool {
        let margin = self.reschedule_interval().min(self.deployment.release_timeout / 4);
        self.cache_release_deadline(sequence).is_some_and(|deadline| now + margin >= deadline)
    }

    /// The final answer: a rejection where a retry is provably harmless, an abort elsewhere.
    pub(super) fn reject_or_abort(&self, now: Nanos, sequence: &mut Sequence) -> Decision {
        let release = !sequence.attempts.is_empty();
        let retry_deadline = self.client_retry_deadline(now, sequence);
        sequence.completed = true;
        sequence.kv_cache = None;
        sequence.cache_held_since = None;
        if now >= retry_deadline {
            return Decision::Abort { release };
        }
        // No client is asked to retry after the time in which that is harmless.
        let max_pause = (self.deployment.slo(sequence) / 2).min((retry_deadline - now) / 2);
        let retry_after = self.deployment.max_retry_after.map(|max| max.min(max_pause));
        Decision::Reject { retry_after, release }
    }

    /// Until when a retry of the client is harmless; now, where it is not.
    fn client_retry_deadline(&self, now: Nanos, sequence: &Sequence) -> Nanos {
        let idempotency = self.deployment.types[sequence.traffic.0].idempotency;
        match (first_possible_run(sequence), idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Nanos::MAX,
            (Some(first), Idempotency::Keyed { scope: KeyScope::Fleet, window }) => {
                first.sent_at.saturating_add(window)
            }
            _ => now,
        }
    }
}
