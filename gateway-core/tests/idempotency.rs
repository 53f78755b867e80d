//! Replays of completed requests by idempotency key.

use petrelshore_gateway_core::idempotency::{CompletedRequest, IdempotencyStore, KeyStatus};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;

#[test]
fn a_repeat_gets_the_end_that_its_first_one_got_and_nothing_runs_twice() {
    let key = ("riders".to_owned(), "k".to_owned());
    let mut replays: IdempotencyStore<&str> = IdempotencyStore::default();
    assert_eq!(replays.begin(0, &key, 1), KeyStatus::New);
    assert_eq!(
        (replays.begin(0, &key, 1), replays.begin(0, &key, 2)),
        (KeyStatus::InFlight, KeyStatus::DifferentRequest)
    );
    replays.complete(S, &key, "text", "generated", 10 * S);
    let again = KeyStatus::Completed(CompletedRequest::Answered { text: "text".into(), end: "generated" });
    assert_eq!(
        (replays.begin(10 * S, &key, 1), replays.begin(10 * S, &key, 2)),
        (again, KeyStatus::DifferentRequest)
    );
    assert_eq!((replays.begin(12 * S, &key, 1), replays.bytes()), (KeyStatus::New, 0));
    replays.remove(&key);
    assert_eq!((replays.begin(12 * S, &key, 3), replays.keys()), (KeyStatus::New, 1));
    let other = ("workshops".to_owned(), "k".to_owned());
    assert_eq!(replays.begin(12 * S, &other, 9), KeyStatus::New, "tenants can't meet in a key");
}

#[test]
fn kept_texts_are_bounded_and_a_key_is_remembered_longer_than_its_text() {
    let mut replays: IdempotencyStore<u8> = IdempotencyStore::default();
    let text = "x".repeat(1 << 20);
    let key = |number: u64| ("t".to_owned(), number.to_string());
    for number in 0..100 {
        assert_eq!(replays.begin(number, &key(number), 1), KeyStatus::New);
        replays.complete(number, &key(number), &text, 7, 100 * S);
        assert!(replays.bytes() <= 32 << 20);
    }
    assert_eq!(replays.begin(S, &key(0), 1), KeyStatus::Completed(CompletedRequest::TooLarge));
    assert!(matches!(
        replays.begin(S, &key(99), 1),
        KeyStatus::Completed(CompletedRequest::Answered { end: 7, .. })
    ));
    replays.begin(S, &key(500), 1);
    replays.complete(S, &key(500), &"y".repeat((1 << 20) + 1), 7, S);
    assert_eq!(replays.begin(S, &key(500), 1), KeyStatus::Completed(CompletedRequest::TooLarge));
}
