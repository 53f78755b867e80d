//! Start times in endpoint lists come from wall clocks, which may be wrong by an hour and may be stepped. A server's
//! slow start must be neither skipped nor prolonged by this.

mod common;

use common::*;
use petrelshore::Scheduler;
use petrelshore::interface::*;

const SECOND: Nanos = 1_000 * MILLISECOND;
/// One hour, in seconds.
const HOUR_SECONDS: i64 = 3_600;
/// A reading of the local clock, large enough for the largest offset to be subtracted from it.
const NOW: Nanos = 1_000_000 * SECOND;
const SLOW_START_SECONDS: usize = 10;
/// Offsets of the start times' wall clock from the gateway's clock, in seconds. A positive offset is ahead.
const OFFSETS: [i64; 6] = [-HOUR_SECONDS, -600, -30, 30, 600, HOUR_SECONDS];

fn settings(start_time_clock: StartTimeClock) -> Deployment {
    Deployment { start_time_clock, ..deployment() }
}

/// Returns two prefill servers with the given start times and two decode servers that started long ago, all in one
/// cell.
fn endpoints(starts: [Nanos; 2]) -> Vec<Endpoint> {
    let starts = [starts[0], starts[1], 0, 0];
    (0..4)
        .map(|n| Endpoint { started_at: starts[n as usize], ..ready_endpoint(n, usize::from(n >= 2), 0) })
        .collect()
}

/// Converts a local time to a wall clock that is `offset` seconds ahead.
fn wall_time(at: Nanos, offset: i64) -> Nanos {
    at.saturating_add_signed(offset * SECOND as i64)
}

/// Returns the number of prefills that server 1 gets in each of `seconds` seconds from `from` on. 100 sequences per
/// second arrive, and each prefill takes one millisecond.
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

/// Returns the number of prefills that server 1 gets in each second after it is listed as just restarted. The start
/// times' clock is `offset_before` seconds ahead at the server's first start and `offset` seconds ahead at its restart.
fn prefills_after_restart(start_time_clock: StartTimeClock, offset_before: i64, offset: i64) -> Vec<u64> {
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

/// Asserts that a server got at most slightly more prefills than expected in the first half of its slow start, and at
/// most slightly fewer after its slow start.
fn assert_same_slow_start(actual: &[u64], expected: &[u64], case: &str) {
    let sums =
        |sent: &[u64]| (sent[..SLOW_START_SECONDS / 2].iter().sum::<u64>(), sent[15..].iter().sum::<u64>());
    let (early, late) = sums(actual);
    let (expected_early, expected_late) = sums(expected);
    assert!(
        early as f64 <= 1.2 * expected_early as f64 + 5.0,
        "{case}: {early} prefills in slow start, expected {expected_early}"
    );
    assert!(
        late as f64 >= 0.8 * expected_late as f64,
        "{case}: {late} prefills after slow start, expected {expected_late}"
    );
}

#[test]
fn restart_gets_slow_start_despite_wrong_wall_clock() {
    let expected = prefills_after_restart(StartTimeClock::Local, 0, 0);
    assert!(expected[0] < 40 && expected[15] >= 40, "the reference run must show a slow start: {expected:?}");
    for offset in OFFSETS {
        assert_same_slow_start(
            &prefills_after_restart(StartTimeClock::Wall, offset, offset),
            &expected,
            &format!("{offset} s ahead"),
        );
        assert_same_slow_start(
            &prefills_after_restart(StartTimeClock::Wall, 0, offset),
            &expected,
            &format!("stepped by {offset} s"),
        );
    }
}

#[test]
fn gateway_start_with_wrong_clock_keeps_slow_start() {
    let prefills_after_start = |start_time_clock, offset| {
        let mut scheduler = Scheduler::new(NOW, settings(start_time_clock), 7);
        // Server 0 restarted a minute ago, server 1 just now.
        let list = endpoints([wall_time(NOW - 60 * SECOND, offset), wall_time(NOW, offset)]);
        scheduler.update_endpoints(NOW, SnapshotKind::Cached, &list);
        scheduler.update_endpoints(NOW + 10 * MILLISECOND, SnapshotKind::Full, &list);
        prefills(&mut scheduler, NOW + 20 * MILLISECOND, 20)
    };
    let expected = prefills_after_start(StartTimeClock::Local, 0);
    for offset in OFFSETS {
        assert_same_slow_start(
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
        assert!(
            decode_server.0 >= 2,
            "{offset} s ahead: prefilled again at {decode_server:?} instead of decoded"
        );
    }
}
