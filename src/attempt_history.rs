//! Conclusions from the attempts of a sequence: which attempt may have run, and since when servers may hold a KV cache.

use crate::interface::{Attempt, AttemptStatus, Nanos, Outcome, Sequence, Step};

/// The first attempt of a sequence that may have taken effect. Prefills have no effect and are skipped.
pub fn first_possible_run(sequence: &Sequence) -> Option<&Attempt> {
    first_possible_run_of(&sequence.attempts)
}

/// The first of the given attempts that may have taken effect. Prefills have no effect and are skipped.
pub fn first_possible_run_of(attempts: &[Attempt]) -> Option<&Attempt> {
    attempts.iter().find(|attempt| attempt.step != Step::Prefill && !has_provably_not_run(attempt))
}

fn has_provably_not_run(attempt: &Attempt) -> bool {
    use Outcome::{AtCapacity, ConnectFailed, KvCacheMissing, NeverSent};
    matches!(attempt.status, AttemptStatus::Finished(AtCapacity | KvCacheMissing | ConnectFailed | NeverSent))
}

/// Returns the time since which prefill servers may hold a KV cache for a sequence, once `attempt` has ended and no
/// attempt is in flight. The release timeout (rule 5) counts from this time.
///
/// Every prefill that may have run may have left a KV cache, whatever its outcome. A decode attempt that finds no KV
/// cache accounts for only one KV cache: the KV caches of older prefills may still be held. The time starts again only
/// if the server received the attempt. The earlier time stays valid if no connection was established, or if the
/// connection lost what was sent on it.
pub fn cache_held_since(
    now: Nanos,
    sequence: &Sequence,
    attempt: &Attempt,
    outcome: Outcome,
) -> Option<Nanos> {
    use Outcome::{ConnectFailed, KvCacheMissing, NeverSent};
    let is_missing = |a: &&Attempt| a.status == AttemptStatus::Finished(KvCacheMissing);
    let possible_caches = sequence.attempts.iter().filter(|a| may_leave_kv_cache(a)).count();
    let missing_caches = sequence.attempts.iter().filter(is_missing).count();
    match sequence.cache_held_since {
        None => may_leave_kv_cache(attempt).then_some(now),
        Some(_) if outcome == KvCacheMissing && possible_caches <= missing_caches => None,
        Some(since) if !attempt.delivered || matches!(outcome, ConnectFailed | NeverSent) => Some(since),
        Some(_) => Some(now),
    }
}

/// Returns true if an attempt is a prefill that may have run, and so may have left a KV cache.
fn may_leave_kv_cache(attempt: &Attempt) -> bool {
    use Outcome::{AtCapacity, ConnectFailed, NeverSent};
    let has_not_run =
        matches!(attempt.status, AttemptStatus::Finished(ConnectFailed | NeverSent | AtCapacity));
    attempt.step == Step::Prefill && !has_not_run
}
