//! What is done against a rule is counted, each kind by itself, and what keeps them is not.

mod common;

use common::*;
use petrelshore::interface::*;
use petrelshore_gateway_core::audit::{Audit, Breach};

const WINDOW: Nanos = 2_000 * MS;
const TOKENED: Effect = Effect::Tokened { scope: Scope::All, window: WINDOW };

fn attempt(step: Step, sent: Nanos, status: Status) -> Attempt {
    Attempt { server: ServerId(1), sent, step, status, reached: true, tokens: 1.0, credit: 0.0 }
}

fn sequence(attempts: Vec<Attempt>, ended: bool) -> Sequence {
    Sequence {
        id: SeqId(1),
        traffic: TypeId(0),
        tenant: None,
        session: None,
        prefix: None,
        prompt_tokens: 100.0,
        prefix_tokens: 0.0,
        max_out: 10.0,
        hint: None,
        resumed: false,
        arrived: START,
        abandon_at: START + 3_000 * MS,
        attempts,
        state: None,
        held_since: None,
        admitted: true,
        ended,
    }
}

fn only(audit: &Audit, breach: Breach) {
    assert_eq!(audit.breaches().iter().collect::<Vec<_>>(), [(&breach, &1)]);
}

#[test]
fn attempts_against_the_rules_are_counted_and_others_are_not() {
    let reset = Status::Closed(Outcome::Reset);
    let unrun = Status::Closed(Outcome::ConnectFailed);
    let write = |sent, status| attempt(Step::Write, sent, status);
    let now = START + 100 * MS;
    let judged = |seq: &Sequence, now, effect| {
        let mut audit = Audit::default();
        audit.attempt(now, seq, effect);
        audit
    };
    let repeated = sequence(vec![write(START, reset), write(now, Status::Out)], false);
    let proven = sequence(vec![write(START, unrun), write(now, Status::Out)], false);
    for (seq, effect) in [(&repeated, Effect::Repeatable), (&repeated, TOKENED), (&proven, Effect::OnceOnly)]
    {
        assert!(judged(seq, now, effect).breaches().is_empty(), "{effect:?}");
    }
    only(&judged(&repeated, now, Effect::OnceOnly), Breach::RepeatedEffect);
    only(&judged(&repeated, START + WINDOW, TOKENED), Breach::RepeatedEffect);
    let two = sequence(vec![write(START, Status::Out), write(now, Status::Out)], false);
    only(&judged(&two, now, Effect::Repeatable), Breach::SecondCopy);
    let over = sequence(vec![write(now, Status::Out)], true);
    only(&judged(&over, now, Effect::Repeatable), Breach::SentAfterEnd);
}

#[test]
fn answers_and_releases_against_the_rules_are_counted_and_others_are_not() {
    let ran = sequence(vec![attempt(Step::Write, START, Status::Closed(Outcome::TimedOut))], true);
    let mut audit = Audit::default();
    audit.rejection(START + MS, &ran, Effect::Repeatable);
    audit.rejection(START + MS, &ran, TOKENED);
    audit.final_answer(START + 3_000 * MS, &ran);
    audit.release(START + 500 * MS, Some(START), 400 * MS);
    audit.release(START + 10_000 * MS, None, 400 * MS);
    assert!(audit.breaches().is_empty(), "{:?}", audit.breaches());
    audit.rejection(START + MS, &ran, Effect::OnceOnly);
    only(&audit, Breach::FalseRejection);
    let mut audit = Audit::default();
    audit.final_answer(START + 3_600 * MS, &ran);
    only(&audit, Breach::LateAnswer);
    let mut audit = Audit::default();
    audit.release(START + 800 * MS, Some(START), 400 * MS);
    only(&audit, Breach::HeldTooLong);
}
