//! Endpoint lists give start times by wall clocks, and those may be wrong by an hour, and be stepped: slow start is neither
//! skipped nor prolonged by it.

mod common;

use common::*;
use petrelshore::Scheduler;
use petrelshore::interface::*;

const SECOND: Nanos = 1_000 * MILLISECOND;
/// Seconds of an hour.
const HOUR: i64 = 3_600;
/// A time of the local clock from which an hour can be taken away.
const NOW: Nanos = 1_000_000 * SECOND;
const SLOW_START_SECONDS: usize = 10;
/// By how many seconds the wall clock of the start times is ahead of the gateway's.
const OFFSETS: [i64; 6] = [-HOUR, -600, -30, 30, 600, HOUR];

fn settings(start_time_clock: StartTimeClock) -> Deployment {
    Deployment { start_time_clock, ..deployment() }
}

/// Two prefill servers of one cell, each with its start time, and two decode servers that started long ago.
fn endpoints(starts: [Nanos; 2]) -> Vec<Endpoint> {
    let starts = [starts[0], starts[1], 0, 0];
    (0..4)
        .map(|n| Endpoint { started_at: starts[n as usize], ..ready_endpoint(n, usize::from(n >= 2), 0) })
        .collect()
}

/// A time by a wall clock that is so many seconds ahead.
fn wall_time(at: Nanos, offset: i64) -> Nanos {
    at.saturating_add_signed(offset * SECOND as i64)
}

/// Prefills that go to server 1 in each of so many seconds, while 100 a second come and each is done at once.
fn prefills(scheduler: &mut Scheduler, from: Nanos, seconds: usize) -> Vec<u64> {
    let prefill = |now: Nanos| {
        let mut sequence = Sequence { session: None, ..new_sequence(now, 0, now) };
        let Decision::Send(server) = scheduler.schedule(now, &mut sequence) else { return 0 };
        finish_last_attempt(scheduler, now + MILLISECOND, &mut sequence, PREFILL_DONE);
        u64::from(server == ServerId(1))
    };
    let mut sent: Vec<u64> =
        (0..100 * seconds as u64).map(|n| from + 10 * MILLISECOND * n).map(prefill).collect();
    sent.chunks_exact_mut(100).map(|second| second.iter().sum()).collect()
}

/// The same from the moment on at which server 1 is listed as just restarted. The offset of the start times' clock is
/// `offset_before` at its first start and `offset` at this one.
fn restarted(start_time_clock: StartTimeClock, offset_before: i64, offset: i64) -> Vec<u64> {
    let mut scheduler = Scheduler::new(NOW, settings(start_time_clock), 7);
    scheduler.update_endpoints(
        NOW,
        SnapshotKind::Full,
        &endpoints([0, wall_time(NOW - 50 * SECOND, offset_before)]),
    );
    prefills(&mut scheduler, NOW, 30);
    scheduler.update_endpoints(NOW + 30 * SECOND, SnapshotKind::Delta, &[]);
    let restarted =
        Endpoint { started_at: wall_time(NOW + 30 * SECOND, offset), ..endpoints([0, 0])[1].clone() };
    scheduler.update_endpoints(NOW + 30 * SECOND, SnapshotKind::Delta, &[restarted]);
    prefills(&mut scheduler, NOW + 30 * SECOND, 2 * SLOW_START_SECONDS)
}

/// Asserts that a server got no more than it should during slow start, and as much as it should after.
fn assert_like(actual: &[u64], expected: &[u64], case: &str) {
    let sums =
        |sent: &[u64]| (sent[..SLOW_START_SECONDS / 2].iter().sum::<u64>(), sent[15..].iter().sum::<u64>());
    let (early, late) = sums(actual);
    let (expected_early, expected_late) = sums(expected);
    assert!(
        early as f64 <= 1.2 * expected_early as f64 + 5.0,
        "{case}: {early} for {expected_early} in slow start"
    );
    assert!(late as f64 >= 0.8 * expected_late as f64, "{case}: {late} for {expected_late} after it");
}

#[test]
fn restart_gets_slow_start_despite_wrong_wall_clock() {
    let expected = restarted(StartTimeClock::Local, 0, 0);
    assert!(expected[0] < 40 && expected[15] >= 40, "the case shows slow start: {expected:?}");
    for offset in OFFSETS {
        assert_like(
            &restarted(StartTimeClock::Wall, offset, offset),
            &expected,
            &format!("{offset} s ahead"),
        );
        assert_like(&restarted(StartTimeClock::Wall, 0, offset), &expected, &format!("a step of {offset} s"));
    }
}

#[test]
fn gateway_start_with_wrong_clock_keeps_slow_start() {
    let prefills_after_start = |start_time_clock, offset| {
        let mut scheduler = Scheduler::new(NOW, settings(start_time_clock), 7);
        // One restarted a minute ago, the other just now.
        let list = endpoints([wall_time(NOW - 60 * SECOND, offset), wall_time(NOW, offset)]);
        scheduler.update_endpoints(NOW, SnapshotKind::Cached, &list);
        scheduler.update_endpoints(NOW + 10 * MILLISECOND, SnapshotKind::Full, &list);
        prefills(&mut scheduler, NOW + 20 * MILLISECOND, 20)
    };
    let expected = prefills_after_start(StartTimeClock::Local, 0);
    for offset in OFFSETS {
        assert_like(
            &prefills_after_start(StartTimeClock::Wall, offset),
            &expected,
            &format!("{offset} s ahead"),
        );
    }
}

#[test]
fn kv_cache_since_start_is_used_despite_wrong_clock() {
    for offset in OFFSETS {
        let mut scheduler = Scheduler::new(NOW, settings(StartTimeClock::Wall), 7);
        scheduler.update_endpoints(NOW, SnapshotKind::Full, &endpoints([0, 0]));
        let restarted = [0, 1].map(|n| Endpoint {
            started_at: wall_time(NOW + SECOND, offset),
            ..endpoints([0, 0])[n].clone()
        });
        scheduler.update_endpoints(NOW + SECOND, SnapshotKind::Delta, &restarted);
        let now = NOW + 15 * SECOND;
        let mut sequence = new_sequence(1, 0, now);
        prefill(&mut scheduler, now, &mut sequence, 10 * MILLISECOND);
        let decode_server = sent_to(scheduler.schedule(now + 10 * MILLISECOND, &mut sequence));
        assert!(decode_server.0 >= 2, "{offset} s ahead: prefilled again at {decode_server:?}");
    }
}
