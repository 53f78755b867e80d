//! Holds at run time what was decided against the rules, and counts what breaks one. A count above zero is a fault of
//! this program, whatever the traffic: it is logged as it happens, and told with the other counts.

use petrelshore::attempt_history::{first_possible_run, first_possible_run_of};
use petrelshore::interface::*;
use std::collections::BTreeMap;

/// A final answer that comes this long after its client's time is lost.
const ANSWER_SLACK: Nanos = 500_000_000;
/// What is held may be so late: word of it needs a turn of the loop.
const RELEASE_SLACK: Nanos = 300_000_000;

/// What was done against a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt was sent for a sequence that had ended.
    SentAfterCompletion,
    /// An attempt was sent while another one was out.
    ConcurrentAttempts,
    /// What may run once was sent again though an earlier attempt may have run, or a repeat was sent past its window.
    RepeatedEffect,
    /// What may run once was called harmless to repeat though an attempt may have run.
    UnsafeRejection,
    /// A state was let go of after its time.
    LateRelease,
    /// A final answer came after its client's time.
    LateAnswer,
}

/// Breaches so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InvariantChecks {
    counts: BTreeMap<Violation, u64>,
}

impl InvariantChecks {
    /// The last attempt of a sequence is about to be sent.
    pub fn attempt_sent(&mut self, now: Nanos, sequence: &Sequence, effect: Idempotency) {
        let Some((last, earlier)) = sequence.attempts.split_last() else { return };
        let open = earlier.iter().any(|attempt| !matches!(attempt.status, AttemptStatus::Finished(_)));
        self.holds(!sequence.completed, Violation::SentAfterCompletion);
        self.holds(!open, Violation::ConcurrentAttempts);
        let may_repeat = match (first_possible_run_of(earlier), effect) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(first), Idempotency::Keyed { window, .. }) => now < first.sent_at.saturating_add(window),
            (Some(_), Idempotency::AtMostOnce) => last.step == Step::Prefill,
        };
        self.holds(may_repeat, Violation::RepeatedEffect);
    }

    /// Its client is told that trying again is harmless.
    pub fn rejected(&mut self, now: Nanos, sequence: &Sequence, effect: Idempotency) {
        let harmless = match (first_possible_run(sequence), effect) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(first), Idempotency::Keyed { window, .. }) => now < first.sent_at.saturating_add(window),
            (Some(_), Idempotency::AtMostOnce) => false,
        };
        self.holds(harmless, Violation::UnsafeRejection);
    }

    /// A final answer is given before any token has come.
    pub fn answered(&mut self, now: Nanos, sequence: &Sequence) {
        let streamed = sequence.attempts.iter().any(|attempt| attempt.status == AttemptStatus::Streaming);
        let in_time = now <= sequence.first_token_deadline.saturating_add(ANSWER_SLACK);
        self.holds(streamed || in_time, Violation::LateAnswer);
    }

    /// What is held for a sequence is let go of, with no attempt out.
    pub fn cache_released(&mut self, now: Nanos, held_since: Option<Nanos>, release_within: Nanos) {
        let in_time = held_since
            .is_none_or(|since| now <= since.saturating_add(release_within).saturating_add(RELEASE_SLACK));
        self.holds(in_time, Violation::LateRelease);
    }

    /// How often each rule was broken; empty where none was.
    pub fn violations(&self) -> &BTreeMap<Violation, u64> {
        &self.counts
    }

    fn holds(&mut self, holds: bool, breach: Violation) {
        if !holds {
            *self.counts.entry(breach).or_insert(0) += 1;
        }
    }
}
