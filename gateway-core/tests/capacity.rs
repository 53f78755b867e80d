//! The number of requests that a gateway holds at once, and the Retry-After of the requests that it rejects.

use petrelshore_gateway_core::capacity::{CapacityError, CapacityLimit};

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;

#[test]
fn capacity_reserves_for_high_priority_and_bounds_each_client() {
    let mut limit = CapacityLimit::new(0, 1000);
    let admitted = (0..1000).filter(|client| limit.acquire(0, *client, 0.0).is_ok()).count();
    assert_eq!(admitted, 900);
    assert_eq!(
        (limit.acquire(0, 7000, 0.0), limit.acquire(0, 7000, 1.0)),
        (Err(CapacityError::Gateway), Ok(()))
    );
    let mut limit = CapacityLimit::new(0, 1000);
    let admitted_of_client = (0..1000).filter(|_| limit.acquire(0, 1, 1.0).is_ok()).count();
    assert_eq!(
        (admitted_of_client, limit.acquire(0, 1, 1.0), limit.acquire(0, 2, 1.0)),
        (250, Err(CapacityError::Client), Ok(()))
    );
    limit.release(0, 1);
    assert_eq!(limit.acquire(0, 1, 1.0), Ok(()));
}

#[test]
fn retry_after_grows_with_rejections_within_its_bounds() {
    let mut limit = CapacityLimit::new(0, 10);
    let reject_many = |limit: &mut CapacityLimit, now| {
        (0..200).filter(|client| limit.acquire(now, *client, 1.0).is_err()).count()
    };
    reject_many(&mut limit, SECOND);
    let without_releases = limit.retry_after(SECOND, Some(8 * SECOND));
    (0..10).for_each(|client| limit.release(SECOND, client));
    assert_eq!(without_releases, 8 * SECOND);
    let after_releases = limit.retry_after(20 * SECOND, Some(8 * SECOND));
    assert!((100 * MILLISECOND..without_releases).contains(&after_releases), "{after_releases}");
}
