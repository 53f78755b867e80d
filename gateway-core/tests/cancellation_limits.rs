//! Limits on the requests that a client may cancel before their first token.

use petrelshore::interface::TenantId;
use petrelshore_gateway_core::cancellation_limits::{CancellationLimits, ClientId};

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;

fn client(address: u64) -> ClientId {
    ClientId { address, tenant: None }
}

#[test]
fn client_that_cancels_all_uses_up_its_credit_and_regains_it() {
    let mut limits = CancellationLimits::default();
    let (flood, other) = (client(1), ClientId { address: 1, tenant: Some(TenantId(0)) });
    let mut admitted = 0;
    // For ten seconds the client opens and cancels a thousand requests per second.
    for event in 0..10_000 {
        let now = SECOND + event * MILLISECOND;
        if limits.check(now, flood).is_ok() {
            admitted += 1;
            limits.cancelled(now, flood, MILLISECOND / 2);
        }
        assert_eq!(limits.check(now, other), Ok(()), "another tenant at the same address is limited too");
    }
    // The client may cancel 32 requests at once, and then at most 5 per second as the counted cancellations decay.
    assert!((32..=32 + 10 * 5).contains(&admitted), "{admitted}");
    let now = 11 * SECOND;
    let wait = limits.check(now, flood).expect_err("the credit is used up").retry_after;
    assert!(
        wait > 0 && limits.check(now + wait, flood).is_ok(),
        "a Retry-After of {wait} ns is zero or too short"
    );
    assert!(limits.check(now + wait / 2, flood).is_err() || wait < 2);
}

#[test]
fn occasional_or_late_cancellations_are_never_rejected() {
    let mut limits = CancellationLimits::default();
    let (occasional, late) = (client(1), client(2));
    for event in 0..20_000 {
        let now = SECOND + event * MILLISECOND;
        assert_eq!((limits.check(now, occasional), limits.check(now, late)), (Ok(()), Ok(())));
        // The first client cancels a third of its requests, after 50 ms. The second client cancels every request, but
        // only after a wait of two seconds for the first token.
        match event % 3 {
            0 => limits.cancelled(now, occasional, 50 * MILLISECOND),
            _ => limits.first_token(now, occasional),
        }
        limits.cancelled(now, late, 2 * SECOND);
    }
}

#[test]
fn tracked_clients_are_bounded_and_the_worst_is_kept() {
    let mut limits = CancellationLimits::default();
    (0..100).for_each(|_| limits.cancelled(SECOND, client(7), MILLISECOND));
    (100..20_000).for_each(|address| limits.cancelled(SECOND, client(address), MILLISECOND));
    assert!(limits.tracked_clients() <= 4_096, "{}", limits.tracked_clients());
    assert!(limits.check(SECOND, client(7)).is_err(), "the client with the most cancellations was dropped");
}
