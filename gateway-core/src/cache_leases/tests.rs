use super::*;

#[test]
fn every_prefill_leaves_a_lease_unless_it_provably_never_ran() {
    let (near, far) = (ServerId(1), ServerId(2));
    let mut leases = CacheLeases::default();
    for never_ran in [AttemptEnd::NotConnected, AttemptEnd::ReturnedUnsent, AttemptEnd::AtCapacity] {
        leases.prefill_ended(near, never_ran);
    }
    assert_eq!(leases.take_all(), []);
    for uncertain in [AttemptEnd::Cancelled, AttemptEnd::Reset, AttemptEnd::TimedOut, AttemptEnd::Malformed] {
        leases.prefill_ended(near, uncertain);
        assert_eq!(leases.take_uncertain(), [(near, CacheState::Uncertain)], "{uncertain:?}");
    }
    leases.prefill_ended(near, AttemptEnd::Cancelled);
    leases.prefill_ended(far, AttemptEnd::PrefillDone { cached_tokens: 0.0 });
    assert_eq!(leases.take_uncertain(), [(near, CacheState::Uncertain)]);
    assert_eq!(leases.clone().take_all(), [(far, CacheState::Held)]);
    leases.prefill_ended(near, AttemptEnd::PrefillDone { cached_tokens: 0.0 });
    leases.cache_fetched(Some(near));
    assert_eq!(leases.take_all(), [(far, CacheState::Held)], "the unfetched KV cache is still held");
}
