//! Limits on client connections and on the bytes of requests that have not been received completely.

use petrelshore_gateway_core::ingress_limits::{IngressError, IngressLimits};

#[test]
fn connections_and_bytes_are_bounded_in_total_and_per_address() {
    let mut limits = IngressLimits::new(200, 1000);
    let connections = (0..200).filter(|_| limits.acquire_connection(1).is_ok()).count();
    assert_eq!(
        (connections, limits.acquire_connection(1), limits.acquire_connection(2)),
        (100, Err(IngressError::AddressAtCapacity), Ok(()))
    );
    limits.release_connection(1);
    assert_eq!((limits.acquire_connection(1), limits.connections()), (Ok(()), 101));
    assert_eq!(limits.acquire_bytes(1, 600, 500), Err(IngressError::TooLarge));
    let bodies = (0..64).filter(|_| limits.acquire_bytes(1, 0, 1000).is_ok()).count();
    assert_eq!(
        (bodies, limits.acquire_bytes(1, 0, 1), limits.acquire_bytes(2, 0, 1000)),
        (32, Err(IngressError::AddressAtCapacity), Ok(()))
    );
    (0..32).for_each(|_| limits.release_bytes(1, 1000));
    limits.release_bytes(2, 1000);
    assert_eq!(limits.bytes(), 0);
}
