//! Run-time checks of the invariants. A count above zero is a fault of this program, whatever the traffic. The runtime
//! of the passthrough request table logs the counts together with its other counts.

use crate::attempt_outcome::is_open;
use petrelshore::attempt_history::{first_possible_run, first_possible_run_of};
use petrelshore::interface::{Attempt, AttemptStatus, Idempotency, Nanos, Sequence, Step};
use std::collections::BTreeMap;

/// A final answer is late if it is given more than this time after the client's deadline, in nanoseconds.
const ANSWER_TOLERANCE: Nanos = 500_000_000;
/// A release is late if it happens more than this time after the release timeout, in nanoseconds. The tolerance is for
/// the turn of the event loop that a release needs.
const RELEASE_TOLERANCE: Nanos = 300_000_000;

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt was sent for a completed sequence.
    SentAfterCompletion,
    /// An attempt was sent while another attempt was in flight.
    ConcurrentAttempts,
    /// At-most-once work was sent again although an earlier attempt may have run, or keyed work was sent again after
    /// the window of its idempotency key.
    RepeatedEffect,
    /// A request was rejected as harmless to retry, although an attempt of at-most-once work, or of keyed work whose
    /// window has passed, may have run.
    UnsafeRejection,
    /// A KV cache was released after its release timeout.
    LateRelease,
    /// A final answer was given after the client's deadline.
    LateAnswer,
}

/// Checks the invariants and counts the violations of each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InvariantChecks {
    violations: BTreeMap<Violation, u64>,
}

impl InvariantChecks {
    /// Checks the last attempt of a sequence, which is about to be sent.
    pub fn attempt_sent(&mut self, now: Nanos, sequence: &Sequence, idempotency: Idempotency) {
        let Some((last, earlier)) = sequence.attempts.split_last() else { return };
        let in_flight = earlier.iter().any(is_open);
        self.check(!sequence.completed, Violation::SentAfterCompletion);
        self.check(!in_flight, Violation::ConcurrentAttempts);
        let repeatable = match idempotency {
            // A prefill has no effect that a second run would repeat.
            Idempotency::AtMostOnce if last.step == Step::Prefill => true,
            _ => may_repeat(now, first_possible_run_of(earlier), idempotency),
        };
        self.check(repeatable, Violation::RepeatedEffect);
    }

    /// Checks the rejection of a sequence, which tells the client that a retry is harmless.
    pub fn rejected(&mut self, now: Nanos, sequence: &Sequence, idempotency: Idempotency) {
        let repeatable = may_repeat(now, first_possible_run(sequence), idempotency);
        self.check(repeatable, Violation::UnsafeRejection);
    }

    /// Checks the time of a final answer. The client's deadline does not apply once a stream has started.
    pub fn answered(&mut self, now: Nanos, sequence: &Sequence) {
        let streaming = sequence.attempts.iter().any(|attempt| attempt.status == AttemptStatus::Streaming);
        let in_time = now <= sequence.first_token_deadline.saturating_add(ANSWER_TOLERANCE);
        self.check(streaming || in_time, Violation::LateAnswer);
    }

    /// Checks the time at which the KV caches reserved for a sequence are released, with no attempt in flight.
    pub fn cache_released(&mut self, now: Nanos, held_since: Option<Nanos>, release_timeout: Nanos) {
        let in_time = held_since.is_none_or(|since| {
            now <= since.saturating_add(release_timeout).saturating_add(RELEASE_TOLERANCE)
        });
        self.check(in_time, Violation::LateRelease);
    }

    /// Returns how often each invariant was violated, without the invariants that were not violated.
    pub fn violations(&self) -> &BTreeMap<Violation, u64> {
        &self.violations
    }

    fn check(&mut self, holds: bool, violation: Violation) {
        if !holds {
            *self.violations.entry(violation).or_insert(0) += 1;
        }
    }
}

/// Returns whether work may be sent again. `first_possible_run` is the first attempt that may have run, if any.
fn may_repeat(now: Nanos, first_possible_run: Option<&Attempt>, idempotency: Idempotency) -> bool {
    match (first_possible_run, idempotency) {
        (None, _) | (_, Idempotency::Idempotent) => true,
        (Some(first), Idempotency::Keyed { window, .. }) => now < first.sent_at.saturating_add(window),
        (Some(_), Idempotency::AtMostOnce) => false,
    }
}
