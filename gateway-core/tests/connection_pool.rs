//! Reuse of idle connections to model servers.

use petrelshore_gateway_core::connection_pool::ConnectionPool;

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;

#[test]
fn the_connection_used_last_goes_first_and_old_and_closed_ones_are_dropped() {
    let mut idle: ConnectionPool<u8, u32> = ConnectionPool::default();
    (1..=4).for_each(|c| idle.check_in(c * S, 9, c as u32));
    assert_eq!(idle.check_out(5 * S, 9, |c| *c != 4), Some((3, 2 * S)));
    assert_eq!((idle.idle(), idle.check_out(60 * S, 9, |_| true), idle.idle()), (2, None, 0));
    assert_eq!(idle.check_out(0, 8, |_| true), None);
}

#[test]
fn the_connection_that_was_idle_for_longest_makes_room_whatever_came_and_went_before() {
    let mut chance = oorandom::Rand64::new(5);
    let mut idle: ConnectionPool<u64, u64> = ConnectionPool::bounded(3_600_000 * MS, 300);
    let mut kept: Vec<(u64, u64)> = Vec::new();
    for now in 1..20_000u64 {
        let server = chance.rand_range(0..4_200);
        match chance.rand_range(0..5) {
            0..=2 if kept.len() < 300 => {
                idle.check_in(now * MS, server, now);
                kept.push((server, now));
            }
            3 => {
                let known = chance.rand_range(0..kept.len().max(1) as u64) as usize;
                if let Some((server, _)) = kept.get(known).copied() {
                    // Of one server the one used last that has rested goes first.
                    let rested = |&(s, since): &(u64, u64)| s == server && now >= since + 100;
                    let newest = kept.iter().rposition(rested);
                    let taken = idle.check_out(now * MS, server, |_| true).map(|(connection, _)| connection);
                    assert_eq!(taken, newest.map(|at| kept.remove(at).1));
                }
            }
            4 => {
                let before = idle.idle();
                assert_eq!(idle.close_oldest_idle(), !kept.is_empty());
                if !kept.is_empty() {
                    kept.remove(0);
                }
                assert_eq!(idle.idle(), before.saturating_sub(1));
            }
            _ => {}
        }
        assert_eq!(idle.idle(), kept.len());
    }
}

#[test]
fn where_used_connections_break_too_often_each_request_gets_a_new_one_until_that_is_long_ago() {
    let mut idle: ConnectionPool<u8, u32> = ConnectionPool::default();
    (0..20).for_each(|_| idle.reuse_succeeded(S));
    idle.reuse_failed(S, 9, S);
    idle.check_in(S, 9, 1);
    assert!(idle.check_out(S, 9, |_| true).is_some(), "one in twenty is chance");
    idle.check_in(S, 9, 1);
    (0..4).for_each(|_| idle.reuse_failed(S, 8, S));
    assert_eq!(idle.check_out(S, 9, |_| true), None);
    idle.check_in(80 * S, 9, 2);
    assert_eq!(idle.check_out(80 * S, 9, |_| true), Some((2, 0)));
}

#[test]
fn a_connection_that_breaks_under_its_request_makes_the_idle_ones_less_trusted_for_a_while() {
    let mut idle: ConnectionPool<u8, u32> = ConnectionPool::default();
    (1..=3).for_each(|c| idle.check_in(c * S, 9, c as u32));
    assert_eq!(idle.check_out(10 * S, 9, |_| true), Some((3, 7 * S)));
    idle.reuse_failed(10 * S, 9, 7 * S);
    assert_eq!(idle.idle(), 0, "those that were idle for longer than half of that went too");
    idle.check_in(10 * S, 9, 5);
    assert_eq!(idle.check_out(14 * S, 9, |_| true), None);
    (0..100).for_each(|_| idle.check_in(20 * S, 9, 6));
    assert!(idle.check_out(30 * S, 9, |_| true).is_some(), "good exchanges bring the trust back");
    idle.remove(|server| *server == 9);
    assert_eq!(idle.idle(), 0);
}
