//! What the attempts of a sequence prove: whether one may have run, and since when a KV cache may be held.

use crate::interface::{Attempt, AttemptStatus, Nanos, Outcome, Sequence, Step};

/// The first attempt that may have taken effect. Prefills have none.
pub fn first_possible_run(sequence: &Sequence) -> Option<&Attempt> {
    first_possible_run_of(&sequence.attempts)
}

/// The same of some attempts of a sequence.
pub fn first_possible_run_of(attempts: &[Attempt]) -> Option<&Attempt> {
    attempts.iter().find(|attempt| attempt.step != Step::Prefill && !has_provably_not_run(attempt))
}

fn has_provably_not_run(attempt: &Attempt) -> bool {
    use Outcome::{AtCapacity, ConnectFailed, KvCacheMissing, NeverSent};
    matches!(attempt.status, AttemptStatus::Finished(AtCapacity | KvCacheMissing | ConnectFailed | NeverSent))
}

/// Since when a KV cache may be held for a sequence with no attempt in flight, once this attempt has ended (rule 5).
/// Every prefill that ran may have left one, whatever came back; a decode server that finds none leaves those of older
/// prefills. The time starts again only where the server had the attempt: while connections fail to come up, or lose what
/// is sent on them, it runs on.
pub fn cache_held_since(
    now: Nanos,
    sequence: &Sequence,
    attempt: &Attempt,
    outcome: Outcome,
) -> Option<Nanos> {
    use Outcome::{ConnectFailed, KvCacheMissing, NeverSent};
    let is_missing = |a: &&Attempt| a.status == AttemptStatus::Finished(KvCacheMissing);
    let left = sequence.attempts.iter().filter(|a| may_leave_kv_cache(a)).count();
    let missing = sequence.attempts.iter().filter(is_missing).count();
    match sequence.cache_held_since {
        None => may_leave_kv_cache(attempt).then_some(now),
        Some(_) if outcome == KvCacheMissing && left <= missing => None,
        Some(since) if !attempt.delivered || matches!(outcome, ConnectFailed | NeverSent) => Some(since),
        Some(_) => Some(now),
    }
}

/// Whether an attempt is a prefill that may have run.
fn may_leave_kv_cache(attempt: &Attempt) -> bool {
    use Outcome::{AtCapacity, ConnectFailed, NeverSent};
    let has_not_run =
        matches!(attempt.status, AttemptStatus::Finished(ConnectFailed | NeverSent | AtCapacity));
    attempt.step == Step::Prefill && !has_not_run
}
