//! Replayed answers of completed requests, by idempotency key.

use petrelshore::interface::SequenceId;
use petrelshore_gateway_core::idempotency::{
    CompletedRequest, IdempotencyKey, IdempotencyStore, KeyStatus, KeyedRequest,
};

const SECOND: u64 = 1_000_000_000;

fn key_of(tenant: &str, key: &str) -> KeyedRequest {
    let key = IdempotencyKey { tenant: tenant.to_owned(), key: key.to_owned() };
    KeyedRequest { key, id: SequenceId(1) }
}

/// Guards against an earlier request that frees or completes a key which is in flight for a later one.
#[test]
fn key_in_flight_changes_for_its_own_request_alone() {
    let first = key_of("tenant-a", "k");
    let second = KeyedRequest { id: SequenceId(2), ..first.clone() };
    let mut store: IdempotencyStore<&str> = IdempotencyStore::default();
    assert_eq!(store.begin(0, &first, 1), KeyStatus::New);
    store.remove(&first);
    assert_eq!(store.begin(0, &second, 1), KeyStatus::New);
    store.remove(&first);
    store.complete(0, &first, "text", "generated", SECOND);
    assert_eq!(store.begin(0, &first, 1), KeyStatus::InFlight);
    store.remove(&second);
    assert_eq!(store.begin(0, &first, 1), KeyStatus::New);
}

#[test]
fn repeat_gets_the_first_answer_and_nothing_runs_twice() {
    let key = key_of("tenant-a", "k");
    let mut store: IdempotencyStore<&str> = IdempotencyStore::default();
    assert_eq!(store.begin(0, &key, 1), KeyStatus::New);
    assert_eq!(
        (store.begin(0, &key, 1), store.begin(0, &key, 2)),
        (KeyStatus::InFlight, KeyStatus::DifferentRequest)
    );
    store.complete(SECOND, &key, "text", "generated", 10 * SECOND);
    let replay = KeyStatus::Completed(CompletedRequest::Answered { text: "text".into(), end: "generated" });
    assert_eq!(
        (store.begin(10 * SECOND, &key, 1), store.begin(10 * SECOND, &key, 2)),
        (replay, KeyStatus::DifferentRequest)
    );
    assert_eq!((store.begin(12 * SECOND, &key, 1), store.bytes()), (KeyStatus::New, 0));
    store.remove(&key);
    assert_eq!((store.begin(12 * SECOND, &key, 3), store.keys()), (KeyStatus::New, 1));
    let other = key_of("tenant-b", "k");
    assert_eq!(
        store.begin(12 * SECOND, &other, 9),
        KeyStatus::New,
        "an idempotency key belongs to a single tenant"
    );
}

#[test]
fn texts_are_bounded_and_keys_outlive_them() {
    let mut store: IdempotencyStore<u8> = IdempotencyStore::default();
    let text = "x".repeat(1 << 20);
    let key = |number: u64| key_of("t", &number.to_string());
    for number in 0..100 {
        assert_eq!(store.begin(number, &key(number), 1), KeyStatus::New);
        store.complete(number, &key(number), &text, 7, 100 * SECOND);
        assert!(store.bytes() <= 32 << 20);
    }
    assert_eq!(store.begin(SECOND, &key(0), 1), KeyStatus::Completed(CompletedRequest::AnswerNotStored));
    assert!(matches!(
        store.begin(SECOND, &key(99), 1),
        KeyStatus::Completed(CompletedRequest::Answered { end: 7, .. })
    ));
    store.begin(SECOND, &key(500), 1);
    store.complete(SECOND, &key(500), &"y".repeat((1 << 20) + 1), 7, SECOND);
    assert_eq!(store.begin(SECOND, &key(500), 1), KeyStatus::Completed(CompletedRequest::AnswerNotStored));
}
