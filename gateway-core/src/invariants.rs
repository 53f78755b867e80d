//! Holds at run time what was decided against the rules, and counts what breaks one. A count above zero is a fault of
//! this program, whatever the traffic: it is logged as it happens, and told with the other counts.

use petrelshore::attempt_history::{first_that_ran, maybe_ran};
use petrelshore::interface::*;
use std::collections::BTreeMap;

/// A final answer that comes this long after its client's time is lost.
const ANSWER_SLACK: Nanos = 500_000_000;
/// What is held may be so late: word of it needs a turn of the loop.
const RELEASE_SLACK: Nanos = 300_000_000;

/// What was done against a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Breach {
    /// An attempt was sent for a sequence that had ended.
    SentAfterEnd,
    /// An attempt was sent while another one was out.
    SecondCopy,
    /// What may run once was sent again though an earlier attempt may have run, or a repeat was sent past its window.
    RepeatedEffect,
    /// What may run once was called harmless to repeat though an attempt may have run.
    FalseRejection,
    /// A state was let go of after its time.
    HeldTooLong,
    /// A final answer came after its client's time.
    LateAnswer,
}

/// Breaches so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Audit {
    counts: BTreeMap<Breach, u64>,
}

impl Audit {
    /// The last attempt of a sequence is about to be sent.
    pub fn attempt(&mut self, now: Nanos, seq: &Sequence, effect: Idempotency) {
        let Some((last, earlier)) = seq.attempts.split_last() else { return };
        let open = earlier.iter().any(|attempt| !matches!(attempt.status, AttemptStatus::Finished(_)));
        self.holds(!seq.completed, Breach::SentAfterEnd);
        self.holds(!open, Breach::SecondCopy);
        let may_repeat = match (first_that_ran(earlier), effect) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(first), Idempotency::Keyed { window, .. }) => now < first.sent_at.saturating_add(window),
            (Some(_), Idempotency::AtMostOnce) => last.step == Step::Prefill,
        };
        self.holds(may_repeat, Breach::RepeatedEffect);
    }

    /// Its client is told that trying again is harmless.
    pub fn rejection(&mut self, now: Nanos, seq: &Sequence, effect: Idempotency) {
        let harmless = match (maybe_ran(seq), effect) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(first), Idempotency::Keyed { window, .. }) => now < first.sent_at.saturating_add(window),
            (Some(_), Idempotency::AtMostOnce) => false,
        };
        self.holds(harmless, Breach::FalseRejection);
    }

    /// A final answer is given before any token has come.
    pub fn final_answer(&mut self, now: Nanos, seq: &Sequence) {
        let streamed = seq.attempts.iter().any(|attempt| attempt.status == AttemptStatus::Streaming);
        let in_time = now <= seq.first_token_deadline.saturating_add(ANSWER_SLACK);
        self.holds(streamed || in_time, Breach::LateAnswer);
    }

    /// What is held for a sequence is let go of, with no attempt out.
    pub fn release(&mut self, now: Nanos, held_since: Option<Nanos>, release_within: Nanos) {
        let in_time = held_since
            .is_none_or(|since| now <= since.saturating_add(release_within).saturating_add(RELEASE_SLACK));
        self.holds(in_time, Breach::HeldTooLong);
    }

    /// How often each rule was broken; empty where none was.
    pub fn breaches(&self) -> &BTreeMap<Breach, u64> {
        &self.counts
    }

    fn holds(&mut self, holds: bool, breach: Breach) {
        if !holds {
            *self.counts.entry(breach).or_insert(0) += 1;
        }
    }
}
