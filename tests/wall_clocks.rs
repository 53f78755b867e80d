//! Lists tell by wall clocks when servers started, and those clocks may be wrong by an hour, and be stepped: slow start
//! neither is skipped nor lasts longer for it.

mod common;

use common::*;
use petrelshore::Scheduler;
use petrelshore::interface::*;

const S: Nanos = 1_000 * MS;
const HOUR: i64 = 3_600;
/// A time of the own clock from which an hour can be taken away.
const NOW: Nanos = 1_000_000 * S;
const COLD_SECONDS: usize = 10;
/// By how many seconds the wall clock that stamps starts is ahead of the gateway's.
const AHEAD: [i64; 6] = [-HOUR, -600, -30, 30, 600, HOUR];

fn settings(start_stamps: StartTimeClock) -> Deployment {
    Deployment { start_time_clock: start_stamps, ..deployment() }
}

/// Two prefill servers of one cell, each started at a time of its own, and two decode servers that were there for long.
fn endpoints(starts: [Nanos; 2]) -> Vec<Endpoint> {
    let starts = [starts[0], starts[1], 0, 0];
    (0..4).map(|n| Endpoint { started_at: starts[n as usize], ..entry(n, usize::from(n >= 2), 0) }).collect()
}

fn stamp(at: Nanos, ahead: i64) -> Nanos {
    at.saturating_add_signed(ahead * S as i64)
}

/// Reads that go to server 1 in each of so many seconds, while 100 reads a second come and each is answered at once.
fn reads(scheduler: &mut Scheduler, from: Nanos, seconds: usize) -> Vec<u64> {
    let read = |now: Nanos| {
        let mut sequence = Sequence { session: None, ..new_sequence(now, 0, now) };
        let Decision::Send(server) = scheduler.schedule(now, &mut sequence) else { return 0 };
        close(scheduler, now + MS, &mut sequence, Outcome::PrefillDone { cached_tokens: 0.0 });
        u64::from(server == ServerId(1))
    };
    let mut reads: Vec<u64> = (0..100 * seconds as u64).map(|n| from + 10 * MS * n).map(read).collect();
    reads.chunks_exact_mut(100).map(|second| second.iter().sum()).collect()
}

/// The same from the moment on in which server 1 is listed as started anew just now. How far the clock that stamps its
/// starts is ahead, at its first start and at this one.
fn restarted(start_stamps: StartTimeClock, before: i64, ahead: i64) -> Vec<u64> {
    let mut scheduler = Scheduler::new(NOW, settings(start_stamps), 7);
    scheduler.update_endpoints(NOW, SnapshotKind::Full, &endpoints([0, stamp(NOW - 50 * S, before)]));
    reads(&mut scheduler, NOW, 30);
    scheduler.update_endpoints(NOW + 30 * S, SnapshotKind::Delta, &[]);
    let again = Endpoint { started_at: stamp(NOW + 30 * S, ahead), ..endpoints([0, 0])[1].clone() };
    scheduler.update_endpoints(NOW + 30 * S, SnapshotKind::Delta, &[again]);
    reads(&mut scheduler, NOW + 30 * S, 2 * COLD_SECONDS)
}

/// No more than it should be sent while cold, and as much as it should once warm.
fn like(seen: &[u64], right: &[u64], what: &str) {
    let sums =
        |reads: &[u64]| (reads[..COLD_SECONDS / 2].iter().sum::<u64>(), reads[15..].iter().sum::<u64>());
    let ((cold, warm), (right_cold, right_warm)) = (sums(seen), sums(right));
    assert!(cold as f64 <= 1.2 * right_cold as f64 + 5.0, "{what}: {cold} for {right_cold} while cold");
    assert!(warm as f64 >= 0.8 * right_warm as f64, "{what}: {warm} for {right_warm} once warm");
}

#[test]
fn a_restart_is_slow_start_whatever_the_wall_clock_says_or_however_it_was_stepped() {
    let right = restarted(StartTimeClock::Local, 0, 0);
    assert!(right[0] < 40 && right[15] >= 40, "the case tells cold from warm: {right:?}");
    for ahead in AHEAD {
        like(&restarted(StartTimeClock::Wall, ahead, ahead), &right, &format!("{ahead} s ahead"));
        like(&restarted(StartTimeClock::Wall, 0, ahead), &right, &format!("a step of {ahead} s"));
    }
}

#[test]
fn a_gateway_that_starts_with_a_wrong_wall_clock_keeps_slow_start_and_ends_it() {
    let started = |start_stamps, ahead| {
        let mut scheduler = Scheduler::new(NOW, settings(start_stamps), 7);
        // One restarted a minute ago, the other just now.
        let list = endpoints([stamp(NOW - 60 * S, ahead), stamp(NOW, ahead)]);
        scheduler.update_endpoints(NOW, SnapshotKind::Cached, &list);
        scheduler.update_endpoints(NOW + 10 * MS, SnapshotKind::Full, &list);
        reads(&mut scheduler, NOW + 20 * MS, 20)
    };
    let right = started(StartTimeClock::Local, 0);
    for ahead in AHEAD {
        like(&started(StartTimeClock::Wall, ahead), &right, &format!("{ahead} s ahead"));
    }
}

#[test]
fn what_a_server_has_read_since_its_start_is_used_whatever_the_wall_clock_says() {
    for ahead in AHEAD {
        let mut scheduler = Scheduler::new(NOW, settings(StartTimeClock::Wall), 7);
        scheduler.update_endpoints(NOW, SnapshotKind::Full, &endpoints([0, 0]));
        let again =
            [0, 1].map(|n| Endpoint { started_at: stamp(NOW + S, ahead), ..endpoints([0, 0])[n].clone() });
        scheduler.update_endpoints(NOW + S, SnapshotKind::Delta, &again);
        let now = NOW + 15 * S;
        let mut sequence = new_sequence(1, 0, now);
        read(&mut scheduler, now, &mut sequence, 10 * MS);
        let writer = sent(scheduler.schedule(now + 10 * MS, &mut sequence));
        assert!(writer.0 >= 2, "{ahead} s ahead: read once more at {writer:?}");
    }
}
