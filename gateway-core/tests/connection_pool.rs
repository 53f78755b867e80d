//! Reuse of idle connections to model servers, and closing of old ones.

use petrelshore_gateway_core::connection_pool::{ConnectionPool, PooledConnection};

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;

fn pooled(connection: u32, idle_for: u64) -> Option<PooledConnection<u32>> {
    Some(PooledConnection { connection, idle_for })
}

#[test]
fn last_used_connection_is_reused_and_old_and_closed_are_dropped() {
    let mut pool: ConnectionPool<u8, u32> = ConnectionPool::default();
    (1..=4).for_each(|number| pool.check_in(number * SECOND, 9, number as u32));
    assert_eq!(pool.check_out(5 * SECOND, 9, |connection| *connection != 4), pooled(3, 2 * SECOND));
    assert_eq!((pool.idle(), pool.check_out(60 * SECOND, 9, |_| true), pool.idle()), (2, None, 0));
    assert_eq!(pool.check_out(0, 8, |_| true), None);
}

/// Compares the pool with a plain list of the idle connections while connections are used and closed at random.
#[test]
fn oldest_idle_connection_is_closed_after_any_history() {
    let mut random = oorandom::Rand64::new(5);
    let mut pool: ConnectionPool<u64, u64> = ConnectionPool::bounded(3_600_000 * MILLISECOND, 300);
    // The idle connections, the oldest first: server, and the time of the check-in, which also names the connection.
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
                    // The pool hands out the server's last used connection that is past the reuse delay of 100 ms.
                    let is_usable =
                        |&(idle_server, since): &(u64, u64)| idle_server == server && now >= since + 100;
                    let newest = expected.iter().rposition(is_usable);
                    let reused = pool.check_out(now * MILLISECOND, server, |_| true);
                    assert_eq!(
                        reused.map(|pooled| pooled.connection),
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
    assert!(
        pool.check_out(SECOND, 9, |_| true).is_some(),
        "one break after twenty successes must not stop reuse"
    );
    pool.check_in(SECOND, 9, 1);
    (0..4).for_each(|_| pool.reuse_failed(SECOND, 8, SECOND));
    assert_eq!(pool.check_out(SECOND, 9, |_| true), None);
    pool.check_in(80 * SECOND, 9, 2);
    assert_eq!(pool.check_out(80 * SECOND, 9, |_| true), pooled(2, 0));
}

#[test]
fn broken_connection_shortens_idle_time_until_exchanges_succeed() {
    let mut pool: ConnectionPool<u8, u32> = ConnectionPool::default();
    (1..=3).for_each(|number| pool.check_in(number * SECOND, 9, number as u32));
    assert_eq!(pool.check_out(10 * SECOND, 9, |_| true), pooled(3, 7 * SECOND));
    pool.reuse_failed(10 * SECOND, 9, 7 * SECOND);
    assert_eq!(pool.idle(), 0, "connections that were idle for longer than half of that time are closed too");
    pool.check_in(10 * SECOND, 9, 5);
    assert_eq!(pool.check_out(14 * SECOND, 9, |_| true), None);
    (0..100).for_each(|_| pool.check_in(20 * SECOND, 9, 6));
    assert!(
        pool.check_out(30 * SECOND, 9, |_| true).is_some(),
        "successful exchanges must restore the longer idle time"
    );
    pool.remove(|server| *server == 9);
    assert_eq!(pool.idle(), 0);
}
