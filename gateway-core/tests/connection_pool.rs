//! Reuse of idle connections to model servers.

use petrelshore_gateway_core::connection_pool::{ConnectionPool, PooledConnection};

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;

fn pooled(connection: u32, idle_for: u64) -> Option<PooledConnection<u32>> {
    Some(PooledConnection { connection, idle_for })
}

#[test]
fn last_used_connection_is_reused_and_old_and_closed_are_dropped() {
    let mut pool: ConnectionPool<u8, u32> = ConnectionPool::default();
    (1..=4).for_each(|c| pool.check_in(c * SECOND, 9, c as u32));
    assert_eq!(pool.check_out(5 * SECOND, 9, |c| *c != 4), pooled(3, 2 * SECOND));
    assert_eq!((pool.idle(), pool.check_out(60 * SECOND, 9, |_| true), pool.idle()), (2, None, 0));
    assert_eq!(pool.check_out(0, 8, |_| true), None);
}

#[test]
fn oldest_idle_connection_is_closed_after_any_history() {
    let mut random = oorandom::Rand64::new(5);
    let mut pool: ConnectionPool<u64, u64> = ConnectionPool::bounded(3_600_000 * MILLISECOND, 300);
    let mut expected: Vec<(u64, u64)> = Vec::new();
    for now in 1..20_000u64 {
        let server = random.rand_range(0..4_200);
        match random.rand_range(0..5) {
            0..=2 if expected.len() < 300 => {
                pool.check_in(now * MILLISECOND, server, now);
                expected.push((server, now));
            }
            3 => {
                let index = random.rand_range(0..expected.len().max(1) as u64) as usize;
                if let Some((server, _)) = expected.get(index).copied() {
                    // Of one server the one used last that may be reused already goes first.
                    let usable = |&(s, since): &(u64, u64)| s == server && now >= since + 100;
                    let newest = expected.iter().rposition(usable);
                    let taken = pool.check_out(now * MILLISECOND, server, |_| true);
                    assert_eq!(
                        taken.map(|pooled| pooled.connection),
                        newest.map(|index| expected.remove(index).1)
                    );
                }
            }
            4 => {
                let before = pool.idle();
                assert_eq!(pool.close_oldest_idle(), !expected.is_empty());
                if !expected.is_empty() {
                    expected.remove(0);
                }
                assert_eq!(pool.idle(), before.saturating_sub(1));
            }
            _ => {}
        }
        assert_eq!(pool.idle(), expected.len());
    }
}

#[test]
fn frequent_breaks_stop_reuse_until_they_are_long_ago() {
    let mut pool: ConnectionPool<u8, u32> = ConnectionPool::default();
    (0..20).for_each(|_| pool.reuse_succeeded(SECOND));
    pool.reuse_failed(SECOND, 9, SECOND);
    pool.check_in(SECOND, 9, 1);
    assert!(pool.check_out(SECOND, 9, |_| true).is_some(), "one in twenty is chance");
    pool.check_in(SECOND, 9, 1);
    (0..4).for_each(|_| pool.reuse_failed(SECOND, 8, SECOND));
    assert_eq!(pool.check_out(SECOND, 9, |_| true), None);
    pool.check_in(80 * SECOND, 9, 2);
    assert_eq!(pool.check_out(80 * SECOND, 9, |_| true), pooled(2, 0));
}

#[test]
fn broken_connection_shortens_idle_time_until_exchanges_succeed() {
    let mut pool: ConnectionPool<u8, u32> = ConnectionPool::default();
    (1..=3).for_each(|c| pool.check_in(c * SECOND, 9, c as u32));
    assert_eq!(pool.check_out(10 * SECOND, 9, |_| true), pooled(3, 7 * SECOND));
    pool.reuse_failed(10 * SECOND, 9, 7 * SECOND);
    assert_eq!(pool.idle(), 0, "those that were idle for longer than half of that went too");
    pool.check_in(10 * SECOND, 9, 5);
    assert_eq!(pool.check_out(14 * SECOND, 9, |_| true), None);
    (0..100).for_each(|_| pool.check_in(20 * SECOND, 9, 6));
    assert!(pool.check_out(30 * SECOND, 9, |_| true).is_some(), "exchanges that succeed restore the trust");
    pool.remove(|server| *server == 9);
    assert_eq!(pool.idle(), 0);
}
