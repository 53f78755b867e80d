//! Limits on requests that clients cancel before their first token.

use petrelshore_gateway_core::cancellation_limits::CancellationLimits;

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;

#[test]
fn a_client_that_asks_and_withdraws_runs_out_of_credit_and_gets_it_back() {
    let mut withdrawals = CancellationLimits::default();
    let (flood, other) = ((1, None), (1, Some(petrelshore::interface::TenantId(0))));
    let mut taken = 0;
    // A thousand streams a second, each opened and cancelled, for ten seconds.
    for event in 0..10_000 {
        let now = S + event * MS;
        if withdrawals.check(now, flood).is_ok() {
            taken += 1;
            withdrawals.cancelled(now, flood, MS / 2);
        }
        assert_eq!(withdrawals.check(now, other), Ok(()), "another tenant of that address pays for it");
    }
    // 32 at once, and what fades of them in ten seconds.
    assert!((32..=32 + 10 * 5).contains(&taken), "{taken}");
    let now = 11 * S;
    let wait = withdrawals.check(now, flood).expect_err("the credit is used up");
    assert!(wait > 0 && withdrawals.check(now + wait, flood).is_ok(), "the time told is not true: {wait}");
    assert!(withdrawals.check(now + wait / 2, flood).is_err() || wait < 2);
}

#[test]
fn clients_that_leave_now_and_then_or_after_long_are_never_refused() {
    let mut withdrawals = CancellationLimits::default();
    let (some, slow) = ((1, None), (2, None));
    for event in 0..20_000 {
        let now = S + event * MS;
        assert_eq!((withdrawals.check(now, some), withdrawals.check(now, slow)), (Ok(()), Ok(())));
        // A third of one's leave at once; all of the other's wait two seconds in vain.
        match event % 3 {
            0 => withdrawals.cancelled(now, some, 50 * MS),
            _ => withdrawals.first_token(now, some),
        }
        withdrawals.cancelled(now, slow, 2 * S);
    }
}

#[test]
fn withdrawals_remember_a_bounded_number_of_clients_and_the_worst_of_them() {
    let mut withdrawals = CancellationLimits::default();
    (0..100).for_each(|_| withdrawals.cancelled(S, (7, None), MS));
    (100..20_000).for_each(|client| withdrawals.cancelled(S, (client, None), MS));
    assert!(withdrawals.remembered() <= 4_096, "{}", withdrawals.remembered());
    assert!(withdrawals.check(S, (7, None)).is_err(), "the worst was forgotten");
}
