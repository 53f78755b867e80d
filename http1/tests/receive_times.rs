//! Receive times of the bytes in a connection's buffer.

use petrelshore_http1::receive_times::ReceiveTimes;
use std::time::{Duration, Instant};

#[test]
fn buffered_bytes_keep_their_receive_time() {
    let (start, mut times) = (Instant::now(), ReceiveTimes::default());
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert_eq!(times.first_unread(0), None);
    times.record(at(0), 100, 0);
    times.record(at(1_000), 50, 100);
    // The first 80 bytes are consumed. The next byte was received together with them.
    assert_eq!(times.first_unread(70), Some(at(0)));
    assert_eq!(times.first_unread(50), Some(at(1_000)));
    assert_eq!(times.first_unread(0), None);
    times.record(at(2_000), 1, 0);
    assert_eq!(times.first_unread(1), Some(at(2_000)));
}

#[test]
fn single_bytes_are_coalesced_and_never_appear_younger() {
    let (start, mut times) = (Instant::now(), ReceiveTimes::default());
    for microseconds in (0..1_000_000).step_by(100) {
        times.record(start + Duration::from_micros(microseconds), 1, (microseconds / 100) as usize);
    }
    // Consumes the bytes one by one, in order.
    for unread in (1..=10_000).rev() {
        let received = start + Duration::from_micros((10_000 - unread as u64) * 100);
        let recorded = times.first_unread(unread).unwrap();
        assert!(recorded <= received && received - recorded < Duration::from_millis(20), "{unread}");
    }
}

#[test]
fn unqueried_times_of_consumed_bytes_are_dropped() {
    let (start, mut times) = (Instant::now(), ReceiveTimes::default());
    for second in 0..10_000 {
        times.record(start + Duration::from_secs(second), 200, 0);
        assert_eq!(times.segments(), 1);
    }
}
