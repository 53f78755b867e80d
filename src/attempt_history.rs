//! What the attempts of a sequence prove: whether one may have run, and since when something may be held.

use crate::interface::*;

/// The first attempt that may have taken effect. Prefills have none.
pub fn first_possible_run(sequence: &Sequence) -> Option<&Attempt> {
    first_possible_run_of(&sequence.attempts)
}

/// The same of some attempts of a sequence.
pub fn first_possible_run_of(attempts: &[Attempt]) -> Option<&Attempt> {
    attempts.iter().find(|attempt| {
        use Outcome::*;
        let proven = matches!(
            attempt.status,
            AttemptStatus::Finished(AtCapacity | KvCacheMissing | ConnectFailed | NeverSent)
        );
        attempt.step != Step::Prefill && !proven
    })
}

/// Rule 5: since when something may be held for a sequence with nothing out, once this attempt has ended.
/// Every read that ran may have left its state, whatever came back; a writer that finds none leaves those of
/// older reads. The time starts anew only where the server had the attempt: while connections fail to come
/// up, or swallow what they are given, it runs on.
pub fn cache_held_since(now: Nanos, sequence: &Sequence, attempt: &Attempt, got: Outcome) -> Option<Nanos> {
    use Outcome::*;
    let leaves = |a: &Attempt| {
        let unrun = matches!(a.status, AttemptStatus::Finished(ConnectFailed | NeverSent | AtCapacity));
        a.step == Step::Prefill && !unrun
    };
    let reads = sequence.attempts.iter().filter(|a| leaves(a)).count();
    let missing =
        sequence.attempts.iter().filter(|a| a.status == AttemptStatus::Finished(KvCacheMissing)).count();
    match sequence.cache_held_since {
        None => leaves(attempt).then_some(now),
        Some(_) if got == KvCacheMissing && reads <= missing => None,
        Some(since) if !attempt.delivered || matches!(got, ConnectFailed | NeverSent) => Some(since),
        Some(_) => Some(now),
    }
}
