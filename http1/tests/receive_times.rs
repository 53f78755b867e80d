//! When the bytes of a buffer came.

use petrelshore_http1::receive_times::Arrivals;
use std::time::{Duration, Instant};

#[test]
fn what_waits_in_the_buffer_keeps_the_time_at_which_it_came() {
    let (start, mut arrivals) = (Instant::now(), Arrivals::default());
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert_eq!(arrivals.first_of(0), None);
    arrivals.came(at(0), 100, 0);
    arrivals.came(at(1_000), 50, 100);
    // The first 80 bytes are used: the next one came with them.
    assert_eq!(arrivals.first_of(70), Some(at(0)));
    assert_eq!(arrivals.first_of(50), Some(at(1_000)));
    assert_eq!(arrivals.first_of(0), None);
    arrivals.came(at(2_000), 1, 0);
    assert_eq!(arrivals.first_of(1), Some(at(2_000)));
}

#[test]
fn bytes_that_come_one_by_one_take_no_place_each_and_never_look_younger_than_they_are() {
    let (start, mut arrivals) = (Instant::now(), Arrivals::default());
    for microseconds in (0..1_000_000).step_by(100) {
        arrivals.came(start + Duration::from_micros(microseconds), 1, (microseconds / 100) as usize);
    }
    // Used up one by one, as they came.
    for unused in (1..=10_000).rev() {
        let came = start + Duration::from_micros((10_000 - unused as u64) * 100);
        let told = arrivals.first_of(unused).unwrap();
        assert!(told <= came && came - told < Duration::from_millis(20), "{unused}");
    }
}

#[test]
fn a_long_stream_whose_times_nobody_asks_for_keeps_none_of_what_was_used() {
    let (start, mut arrivals) = (Instant::now(), Arrivals::default());
    for second in 0..10_000 {
        arrivals.came(start + Duration::from_secs(second), 200, 0);
        assert_eq!(arrivals.pieces(), 1);
    }
}
