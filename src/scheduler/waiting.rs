//! Sequences that no server can take (rules 1, 2 and 5): limits their wait and decides the final answer.

use super::Scheduler;
use crate::attempt_history::first_possible_run;
use crate::interface::{Decision, Idempotency, KeyScope, Nanos, Sequence};

/// Maximum wait of a sequence that no server can take, as a share of the latency objective.
const MAX_WAIT_SLO_SHARE: f64 = 0.5;
/// Pause before a sequence that no server could take is scheduled again, in nanoseconds.
const RESCHEDULE_INTERVAL: Nanos = 20_000_000;

impl Scheduler {
    /// Decides what to do with a sequence that no server can take: the sequence waits if it may still complete,
    /// otherwise it gets its final answer.
    pub(super) fn wait_or_give_up(
        &self,
        now: Nanos,
        sequence: &mut Sequence,
        has_kv_cache: bool,
    ) -> Decision {
        if self.can_complete(sequence, has_kv_cache) && self.may_wait(now, sequence) {
            return Decision::Wait;
        }
        self.reject_or_abort(now, sequence)
    }

    /// Returns true if a sequence that no server can take may wait. The sequence may wait for part of its latency
    /// objective, or of its client's time if that is shorter. The next call of [`Scheduler::schedule`] has to come
    /// before the client's deadline, and before the release of a KV cache is due.
    pub(super) fn may_wait(&self, now: Nanos, sequence: &Sequence) -> bool {
        let client_time = sequence.first_token_deadline.saturating_sub(sequence.arrived_at);
        let time_budget = self.deployment.slo(sequence).min(client_time);
        let max_wait = (time_budget as f64 * MAX_WAIT_SLO_SHARE) as Nanos;
        let next_schedule_at = now + self.reschedule_interval();
        now < sequence.arrived_at.saturating_add(max_wait)
            && next_schedule_at + self.deployment.timer_resolution < sequence.first_token_deadline
            && !self.release_is_due(next_schedule_at, sequence)
    }

    /// Pause before a sequence is scheduled again, in nanoseconds. It is at least the timer resolution, because no
    /// timer fires sooner.
    pub(super) fn reschedule_interval(&self) -> Nanos {
        RESCHEDULE_INTERVAL.max(self.deployment.timer_resolution)
    }

    /// The time until which a KV cache may wait for a decode server. The wait may take half the release timeout; the
    /// other half is left for the release.
    pub fn cache_release_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        sequence.cache_held_since.map(|since| since.saturating_add(self.deployment.release_timeout / 2))
    }

    /// Returns true if KV caches at prefill servers have to be released before the sequence is scheduled again.
    pub(super) fn release_is_due(&self, now: Nanos, sequence: &Sequence) -> bool {
        let margin = self.reschedule_interval().min(self.deployment.release_timeout / 4);
        self.cache_release_deadline(sequence).is_some_and(|deadline| now + margin >= deadline)
    }

    /// Ends a sequence with its final answer: a rejection if a retry is provably harmless, otherwise an abort.
    pub(super) fn reject_or_abort(&self, now: Nanos, sequence: &mut Sequence) -> Decision {
        let release = !sequence.attempts.is_empty();
        let retry_deadline = self.client_retry_deadline(now, sequence);
        sequence.completed = true;
        sequence.kv_cache = None;
        sequence.cache_held_since = None;
        if now >= retry_deadline {
            return Decision::Abort { release };
        }
        // The client must not be asked to retry at a time when a retry is no longer harmless.
        let max_pause = (self.deployment.slo(sequence) / 2).min((retry_deadline - now) / 2);
        let retry_after = self.deployment.max_retry_after.map(|max| max.min(max_pause));
        Decision::Reject { retry_after, release }
    }

    /// The time until which a retry by the client is harmless; `now` if a retry is not harmless.
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
