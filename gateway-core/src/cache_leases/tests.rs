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

/// Guards against a prefill that was cut off and is forgotten because a second one at the same server completed: what
/// the first one left when it completed later was never released.
#[test]
fn completed_prefill_leaves_the_lease_of_an_earlier_one_at_its_server() {
    let (near, far) = (ServerId(1), ServerId(2));
    let mut leases = CacheLeases::default();
    leases.prefill_ended(near, AttemptEnd::TimedOut);
    leases.prefill_ended(near, AttemptEnd::PrefillDone { cached_tokens: 0.0 });
    leases.prefill_ended(far, AttemptEnd::Reset);
    assert_eq!(
        leases.take_uncertain(),
        [(far, CacheState::Uncertain)],
        "a decode server is to fetch from near"
    );
    assert_eq!(
        leases.clone().take_all(),
        [(near, CacheState::Uncertain)],
        "one release request for each server"
    );
    leases.cache_fetched(Some(near));
    assert_eq!(leases.take_uncertain(), [(near, CacheState::Uncertain)]);
    assert_eq!(leases.take_all(), []);
}
