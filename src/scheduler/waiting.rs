//! Sequences that no server can take (rules 1, 2 and 5): how long they wait, and the final answer.

use super::Scheduler;
use crate::attempt_history::first_possible_run;
use crate::interface::{Decision, Idempotency, KeyScope, Nanos, Sequence};

/// Share of the latency objective for which a sequence that no server can take waits.
const MAX_WAIT_SLO_SHARE: f64 = 0.5;
/// Pause in nanoseconds before a sequence that no server could take is scheduled again.
const RESCHEDULE_INTERVAL: Nanos = 20_000_000;

impl Scheduler {
    /// No server can take the sequence: it waits for one where that may help.
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
