//! Run-time checks of the invariants: each violation is counted under its kind, and behavior that is allowed is not
//! counted.

mod common;

use common::{MS, START};
use petrelshore::interface::{
    Attempt, AttemptStatus, Idempotency, KeyScope, Nanos, Outcome, Sequence, SequenceId, ServerId, Step,
    TrafficTypeId,
};
use petrelshore_gateway_core::invariants::{InvariantChecks, Violation};

const WINDOW: Nanos = 2_000 * MS;
const KEYED: Idempotency = Idempotency::Keyed { scope: KeyScope::Fleet, window: WINDOW };

fn attempt(step: Step, sent_at: Nanos, status: AttemptStatus) -> Attempt {
    Attempt {
        server: ServerId(1),
        sent_at,
        step,
        status,
        delivered: true,
        load_tokens: 1.0,
        expected_cached_tokens: 0.0,
    }
}

fn new_sequence(attempts: Vec<Attempt>, completed: bool) -> Sequence {
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
        completed,
    }
}

/// Asserts that exactly one violation was counted, and that it is of this kind.
fn assert_only_violation(checks: &InvariantChecks, violation: Violation) {
    assert_eq!(checks.violations().iter().collect::<Vec<_>>(), [(&violation, &1)]);
}

#[test]
fn only_attempts_that_violate_an_invariant_are_counted() {
    let reset = AttemptStatus::Finished(Outcome::Reset);
    let not_run = AttemptStatus::Finished(Outcome::ConnectFailed);
    let decode = |sent_at, status| attempt(Step::Decode, sent_at, status);
    let now = START + 100 * MS;
    let checks_of = |sequence: &Sequence, now, idempotency| {
        let mut checks = InvariantChecks::default();
        checks.attempt_sent(now, sequence, idempotency);
        checks
    };
    let repeated = new_sequence(vec![decode(START, reset), decode(now, AttemptStatus::InFlight)], false);
    let repeated_without_run =
        new_sequence(vec![decode(START, not_run), decode(now, AttemptStatus::InFlight)], false);
    for (sequence, idempotency) in [
        (&repeated, Idempotency::Idempotent),
        (&repeated, KEYED),
        (&repeated_without_run, Idempotency::AtMostOnce),
    ] {
        assert!(checks_of(sequence, now, idempotency).violations().is_empty(), "{idempotency:?}");
    }
    assert_only_violation(&checks_of(&repeated, now, Idempotency::AtMostOnce), Violation::RepeatedEffect);
    assert_only_violation(&checks_of(&repeated, START + WINDOW, KEYED), Violation::RepeatedEffect);
    let concurrent = new_sequence(
        vec![decode(START, AttemptStatus::InFlight), decode(now, AttemptStatus::InFlight)],
        false,
    );
    assert_only_violation(
        &checks_of(&concurrent, now, Idempotency::Idempotent),
        Violation::ConcurrentAttempts,
    );
    let completed = new_sequence(vec![decode(now, AttemptStatus::InFlight)], true);
    assert_only_violation(
        &checks_of(&completed, now, Idempotency::Idempotent),
        Violation::SentAfterCompletion,
    );
}

#[test]
fn only_late_or_unsafe_answers_and_releases_are_counted() {
    let may_have_run =
        new_sequence(vec![attempt(Step::Decode, START, AttemptStatus::Finished(Outcome::TimedOut))], true);
    let mut checks = InvariantChecks::default();
    checks.rejected(START + MS, &may_have_run, Idempotency::Idempotent);
    checks.rejected(START + MS, &may_have_run, KEYED);
    checks.answered(START + 3_000 * MS, &may_have_run);
    checks.cache_released(START + 500 * MS, Some(START), 400 * MS);
    checks.cache_released(START + 10_000 * MS, None, 400 * MS);
    assert!(checks.violations().is_empty(), "{:?}", checks.violations());
    checks.rejected(START + MS, &may_have_run, Idempotency::AtMostOnce);
    assert_only_violation(&checks, Violation::UnsafeRejection);
    let mut checks = InvariantChecks::default();
    checks.answered(START + 3_600 * MS, &may_have_run);
    assert_only_violation(&checks, Violation::LateAnswer);
    let mut checks = InvariantChecks::default();
    checks.cache_released(START + 800 * MS, Some(START), 400 * MS);
    assert_only_violation(&checks, Violation::LateRelease);
}
