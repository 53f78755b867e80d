//! What is done against a rule is counted, each kind by itself, and what keeps them is not.

mod common;

use common::*;
use petrelshore::interface::*;
use petrelshore_gateway_core::invariants::{InvariantChecks, Violation};

const WINDOW: Nanos = 2_000 * MS;
const TOKENED: Idempotency = Idempotency::Keyed { scope: KeyScope::Fleet, window: WINDOW };

fn attempt(step: Step, sent: Nanos, status: AttemptStatus) -> Attempt {
    Attempt {
        server: ServerId(1),
        sent_at: sent,
        step,
        status,
        delivered: true,
        load_tokens: 1.0,
        expected_cached_tokens: 0.0,
    }
}

fn new_sequence(attempts: Vec<Attempt>, ended: bool) -> Sequence {
    Sequence {
        id: SequenceId(1),
        traffic: TrafficTypeId(0),
        tenant: None,
        session: None,
        prefix: None,
        prompt_tokens: 100.0,
        prefix_tokens: 0.0,
        max_output_tokens: 10.0,
        output_length_hint: None,
        resumed: false,
        arrived_at: START,
        first_token_deadline: START + 3_000 * MS,
        attempts,
        kv_cache: None,
        cache_held_since: None,
        admitted: true,
        completed: ended,
    }
}

fn only(audit: &InvariantChecks, breach: Violation) {
    assert_eq!(audit.violations().iter().collect::<Vec<_>>(), [(&breach, &1)]);
}

#[test]
fn attempts_against_the_rules_are_counted_and_others_are_not() {
    let reset = AttemptStatus::Finished(Outcome::Reset);
    let unrun = AttemptStatus::Finished(Outcome::ConnectFailed);
    let write = |sent, status| attempt(Step::Decode, sent, status);
    let now = START + 100 * MS;
    let judged = |sequence: &Sequence, now, effect| {
        let mut audit = InvariantChecks::default();
        audit.attempt_sent(now, sequence, effect);
        audit
    };
    let repeated = new_sequence(vec![write(START, reset), write(now, AttemptStatus::InFlight)], false);
    let proven = new_sequence(vec![write(START, unrun), write(now, AttemptStatus::InFlight)], false);
    for (sequence, effect) in
        [(&repeated, Idempotency::Idempotent), (&repeated, TOKENED), (&proven, Idempotency::AtMostOnce)]
    {
        assert!(judged(sequence, now, effect).violations().is_empty(), "{effect:?}");
    }
    only(&judged(&repeated, now, Idempotency::AtMostOnce), Violation::RepeatedEffect);
    only(&judged(&repeated, START + WINDOW, TOKENED), Violation::RepeatedEffect);
    let two =
        new_sequence(vec![write(START, AttemptStatus::InFlight), write(now, AttemptStatus::InFlight)], false);
    only(&judged(&two, now, Idempotency::Idempotent), Violation::ConcurrentAttempts);
    let over = new_sequence(vec![write(now, AttemptStatus::InFlight)], true);
    only(&judged(&over, now, Idempotency::Idempotent), Violation::SentAfterCompletion);
}

#[test]
fn answers_and_releases_against_the_rules_are_counted_and_others_are_not() {
    let ran =
        new_sequence(vec![attempt(Step::Decode, START, AttemptStatus::Finished(Outcome::TimedOut))], true);
    let mut audit = InvariantChecks::default();
    audit.rejected(START + MS, &ran, Idempotency::Idempotent);
    audit.rejected(START + MS, &ran, TOKENED);
    audit.answered(START + 3_000 * MS, &ran);
    audit.cache_released(START + 500 * MS, Some(START), 400 * MS);
    audit.cache_released(START + 10_000 * MS, None, 400 * MS);
    assert!(audit.violations().is_empty(), "{:?}", audit.violations());
    audit.rejected(START + MS, &ran, Idempotency::AtMostOnce);
    only(&audit, Violation::UnsafeRejection);
    let mut audit = InvariantChecks::default();
    audit.answered(START + 3_600 * MS, &ran);
    only(&audit, Violation::LateAnswer);
    let mut audit = InvariantChecks::default();
    audit.cache_released(START + 800 * MS, Some(START), 400 * MS);
    only(&audit, Violation::LateRelease);
}
