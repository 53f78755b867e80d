//! A pool of idle connections to model servers. The pool decides which connection an exchange uses, which connections
//! are kept open between exchanges, and for how long.
//!
//! A pooled connection saves a round trip, but its server may close it just as a request is sent, and the gateway then
//! can't tell whether the request ran. So connections are kept for a short time, and for a shorter time where a server
//! closes connections during requests.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// The maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 64;
/// The maximum number of idle connections to all servers together, where the caller sets no limit.
const DEFAULT_MAX_IDLE: usize = 4096;
/// Upper bound of [`ServerPool::max_idle_time`], in nanoseconds. Servers close idle connections after a timeout of
/// their own; this value is safe where that timeout is unknown.
const MAX_IDLE_TIME: Nanos = 20 * SECOND;
/// Lower bound of [`ServerPool::max_idle_time`], in nanoseconds, however many connections broke.
const MIN_IDLE_TIME: Nanos = 500 * MILLISECOND;
/// Margin before the server's idle timeout in which a connection is no longer used, in nanoseconds: the request has to
/// arrive before the server closes the connection.
const SERVER_CLOSE_MARGIN: Nanos = SECOND;
/// After a reused connection broke during a request, the maximum idle time is this share of the time for which that
/// connection was idle.
const IDLE_TIME_FACTOR_AFTER_BREAK: f64 = 0.5;
/// The maximum idle time is multiplied by this factor whenever a connection enters the pool, as after each successful
/// exchange.
const IDLE_TIME_FACTOR_AFTER_SUCCESS: f64 = 1.05;
/// Time after an answer before its connection is used again, in nanoseconds. Bytes that belong to no request may arrive
/// some milliseconds after a complete answer, and would be taken for the answer to the next request. After this delay
/// such bytes have arrived or never will.
const REUSE_DELAY: Nanos = 100 * MILLISECOND;

/// Half-life of the counts of reused connections over all servers, in nanoseconds.
const REUSE_HALF_LIFE: Nanos = 10 * SECOND;
/// When more than this share of the reused connections break during their request, each request gets a new connection:
/// a handshake costs little, and a request has only a few attempts. Guards against servers, or proxies in front of
/// them, that drop idle connections.
const MAX_BROKEN_SHARE: f64 = 0.1;
/// [`MAX_BROKEN_SHARE`] applies only when more reused connections than this broke recently.
const MIN_BROKEN: f64 = 1.5;

struct IdleConnection<C> {
    connection: C,
    idle_since: Nanos,
    usable_at: Nanos,
}

/// Idle connections to one server, the most recently used one at the end.
struct ServerPool<C> {
    connections: Vec<IdleConnection<C>>,
    /// The maximum time for which a connection is idle and still used, in nanoseconds.
    max_idle_time: Nanos,
}

impl<C> ServerPool<C> {
    /// The time since which the oldest connection is idle.
    fn oldest(&self) -> Option<Nanos> {
        self.connections.first().map(|idle| idle.idle_since)
    }
}

/// A connection taken out of the pool for an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PooledConnection<C> {
    /// The connection.
    pub connection: C,
    /// Time for which the connection was idle, in nanoseconds.
    pub idle_for: Nanos,
}

/// Open connections that wait for their next exchange. `S` identifies a server; `C` is a connection.
pub struct ConnectionPool<S, C> {
    servers: BTreeMap<S, ServerPool<C>>,
    /// The time at which each connection became idle, with its server, oldest first. Entries of connections that have
    /// left the pool are dropped later.
    by_age: VecDeque<(Nanos, S)>,
    idle_count: usize,
    max_idle_time: Nanos,
    max_idle: usize,
    reuse_delay: Nanos,
    /// Reused connections that carried an answer.
    reused: DecayingSum,
    /// Reused connections that broke during a request.
    broken: DecayingSum,
}

impl<S: Ord + Copy, C> Default for ConnectionPool<S, C> {
    /// Creates a pool for connections that a library owns. Such connections can be reused at once.
    fn default() -> Self {
        ConnectionPool { reuse_delay: 0, ..Self::bounded(MAX_IDLE_TIME, DEFAULT_MAX_IDLE) }
    }
}

impl<S: Ord + Copy, C> ConnectionPool<S, C> {
    /// Creates a pool with at most `max_idle` connections, for gateways with few file descriptors.
    /// `server_idle_timeout` is the time after which a server closes an idle connection, in nanoseconds.
    pub fn bounded(server_idle_timeout: Nanos, max_idle: usize) -> Self {
        let max_idle_time =
            server_idle_timeout.saturating_sub(SERVER_CLOSE_MARGIN).clamp(MIN_IDLE_TIME, MAX_IDLE_TIME);
        ConnectionPool {
            servers: BTreeMap::new(),
            by_age: VecDeque::new(),
            idle_count: 0,
            max_idle_time,
            max_idle,
            reuse_delay: REUSE_DELAY,
            reused: DecayingSum::new(REUSE_HALF_LIFE),
            broken: DecayingSum::new(REUSE_HALF_LIFE),
        }
    }

    /// Drops the connection that has been idle for longest. Returns false if the pool is empty.
    pub fn close_oldest_idle(&mut self) -> bool {
        while let Some((since, server)) = self.by_age.pop_front() {
            let pool = self.servers.get_mut(&server).filter(|pool| pool.oldest() == Some(since));
            if let Some(pool) = pool {
                pool.connections.remove(0);
                self.idle_count -= 1;
                return true;
            }
        }
        false
    }

    /// Takes a connection for an exchange: of the usable connections the most recently used one, so that the others can
    /// expire. Connections that were idle for too long, or for which `is_open` is false, are dropped on the way.
    pub fn check_out(
        &mut self,
        now: Nanos,
        server: S,
        is_open: impl Fn(&C) -> bool,
    ) -> Option<PooledConnection<C>> {
        if self.breaks_too_often(now) {
            return None;
        }
        let pool = self.servers.get_mut(&server)?;
        while let Some(index) = pool.connections.iter().rposition(|idle| now >= idle.usable_at) {
            let IdleConnection { connection, idle_since, .. } = pool.connections.remove(index);
            self.idle_count -= 1;
            let idle_for = now.saturating_sub(idle_since);
            if idle_for <= pool.max_idle_time && is_open(&connection) {
                return Some(PooledConnection { connection, idle_for });
            }
        }
        None
    }

    /// Records that an answer has arrived on a reused connection.
    pub fn reuse_succeeded(&mut self, now: Nanos) {
        self.reused.add(now, 1.0);
    }

    /// Returns a connection to the pool after a successful exchange.
    pub fn check_in(&mut self, now: Nanos, server: S, connection: C) {
        let usable_at = now.saturating_add(self.reuse_delay);
        self.insert(now, server, IdleConnection { connection, idle_since: now, usable_at });
    }

    /// Adds a new connection that has carried no exchange yet.
    pub fn check_in_unused(&mut self, now: Nanos, server: S, connection: C) {
        self.insert(now, server, IdleConnection { connection, idle_since: now, usable_at: now });
    }

    fn insert(&mut self, now: Nanos, server: S, idle: IdleConnection<C>) {
        if self.breaks_too_often(now) {
            return;
        }
        let new_pool = ServerPool { connections: Vec::new(), max_idle_time: self.max_idle_time };
        let pool = self.servers.entry(server).or_insert(new_pool);
        let longer = (pool.max_idle_time as f64 * IDLE_TIME_FACTOR_AFTER_SUCCESS) as Nanos;
        pool.max_idle_time = longer.min(self.max_idle_time);
        if pool.connections.len() < MAX_IDLE_PER_SERVER && self.idle_count < self.max_idle {
            pool.connections.push(idle);
            self.idle_count += 1;
            self.by_age.push_back((now, server));
            self.compact_ages();
        }
    }

    /// Drops the ages of connections that have left the pool, once they outnumber the connections in it.
    fn compact_ages(&mut self) {
        if self.by_age.len() > 2 * self.idle_count + MAX_IDLE_PER_SERVER {
            let servers = &self.servers;
            let is_idle = |(since, server): &(Nanos, S)| {
                let pool = servers.get(server);
                pool.is_some_and(|pool| pool.connections.iter().any(|idle| idle.idle_since == *since))
            };
            self.by_age.retain(is_idle);
        }
    }

    /// Records that a reused connection, which was idle for `idle_for`, broke during its request. Connections to the
    /// same server that have been idle for about as long are dropped.
    pub fn reuse_failed(&mut self, now: Nanos, server: S, idle_for: Nanos) {
        self.broken.add(now, 1.0);
        let Some(pool) = self.servers.get_mut(&server) else { return };
        let shorter = (idle_for as f64 * IDLE_TIME_FACTOR_AFTER_BREAK) as Nanos;
        let max_idle_time = shorter.clamp(MIN_IDLE_TIME, MAX_IDLE_TIME);
        pool.max_idle_time = max_idle_time;
        let before = pool.connections.len();
        pool.connections.retain(|idle| now.saturating_sub(idle.idle_since) <= max_idle_time);
        self.idle_count -= before - pool.connections.len();
    }

    /// Drops the connections to all servers for which `is_gone` holds.
    pub fn remove(&mut self, is_gone: impl Fn(&S) -> bool) {
        let idle_count = &mut self.idle_count;
        self.servers.retain(|server, pool| {
            let keep = !is_gone(server);
            *idle_count -= if keep { 0 } else { pool.connections.len() };
            keep
        });
    }

    /// Returns true if reused connections break so often that none should be reused.
    fn breaks_too_often(&self, now: Nanos) -> bool {
        let (reused, broken) = (self.reused.read(now), self.broken.read(now));
        broken > MIN_BROKEN && broken > MAX_BROKEN_SHARE * (reused + broken)
    }

    /// Number of idle connections to all servers.
    pub fn idle(&self) -> usize {
        self.idle_count
    }
}
