//! Which connection an exchange with a model server uses: which ones are kept open in between, and for how long.
//!
//! A pooled connection saves a round trip, but its server may close it just as a request is sent, which proves nothing
//! about that request. So connections are kept for a short time, and for less where a server closes many of them under
//! a request.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// Idle connections kept to one server.
const MAX_IDLE_PER_SERVER: usize = 64;
/// Idle connections kept to all servers together, where nothing else bounds them.
const DEFAULT_MAX_IDLE: usize = 4096;
/// Servers close idle connections after some time of their own. Where nothing is known of it, this is safe.
const MAX_IDLE_TIME: Nanos = 20 * SECOND;
/// Idle connections are trusted for at least this long, whatever broke.
const MIN_IDLE_TIME: Nanos = 500 * MILLISECOND;
/// An idle connection is not used any more this long before its server would close it: the request has to get there.
const SERVER_CLOSE_MARGIN: Nanos = SECOND;
/// After a connection broke under a request, the next ones are trusted for this share of the time that it was idle.
const TRUST_FACTOR_AFTER_BREAK: f64 = 0.5;
/// After each exchange that succeeds, idle connections are trusted for so many times as long.
const TRUST_FACTOR_AFTER_SUCCESS: f64 = 1.05;
/// Bytes that belong to no request may come some milliseconds after a complete answer. A request sent on that
/// connection meanwhile would take them for its own answer; this long after an answer they have come or never will.
const REUSE_DELAY: Nanos = 100 * MILLISECOND;

/// Half-life of the counts of reused connections, over all servers.
const REUSE_HALF_LIFE: Nanos = 10 * SECOND;
/// Above this share of reused connections that broke under their request, each request gets a new one: a handshake
/// costs little, and a lost attempt is one of few. Guards against servers, or proxies before them, that drop idle
/// connections.
const MAX_BROKEN_SHARE: f64 = 0.1;
/// That share counts only above so many that broke of late.
const MIN_BROKEN: f64 = 1.5;

struct IdleConnection<C> {
    connection: C,
    idle_since: Nanos,
    usable_at: Nanos,
}

/// Idle connections to one server, the one used last at the end.
struct ServerPool<C> {
    connections: Vec<IdleConnection<C>>,
    /// How long they may be idle and still be used.
    max_idle_time: Nanos,
}

impl<C> ServerPool<C> {
    /// Since when the connection is idle that is so for longest.
    fn oldest(&self) -> Option<Nanos> {
        self.connections.first().map(|idle| idle.idle_since)
    }
}

/// A connection taken out of the pool for an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PooledConnection<C> {
    /// The connection.
    pub connection: C,
    /// How long it was idle.
    pub idle_for: Nanos,
}

/// Open connections that wait for their next exchange. `S` identifies a server, `C` is a connection.
pub struct ConnectionPool<S, C> {
    servers: BTreeMap<S, ServerPool<C>>,
    /// When connections became idle, and to which server, the oldest first. Entries of connections that are in the pool
    /// no more are dropped later.
    by_age: VecDeque<(Nanos, S)>,
    idle_count: usize,
    max_idle_time: Nanos,
    max_idle: usize,
    reuse_delay: Nanos,
    /// Reused connections that got their answer, and those that broke.
    reused: DecayingSum,
    broken: DecayingSum,
}

impl<S: Ord + Copy, C> Default for ConnectionPool<S, C> {
    /// For connections that a library owns: these can be reused at once.
    fn default() -> Self {
        ConnectionPool { reuse_delay: 0, ..Self::bounded(MAX_IDLE_TIME, DEFAULT_MAX_IDLE) }
    }
}

impl<S: Ord + Copy, C> ConnectionPool<S, C> {
    /// For servers that close a connection that is idle for `server_idle_timeout`, with at most `max_idle` idle
    /// connections, where descriptors are few.
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

    /// Drops the connection that was idle for longest; false where none is.
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

    /// Takes a connection for an exchange: of those that may be used already the one used last, so that the others can
    /// expire. Connections that are closed, as `is_open` says, or were idle for too long are dropped on the way.
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

    /// An answer has come on a connection that was used before.
    pub fn reuse_succeeded(&mut self, now: Nanos) {
        self.reused.add(now, 1.0);
    }

    /// An exchange has succeeded: its connection may serve another.
    pub fn check_in(&mut self, now: Nanos, server: S, connection: C) {
        let usable_at = now.saturating_add(self.reuse_delay);
        self.insert(now, server, IdleConnection { connection, idle_since: now, usable_at });
    }

    /// A connection was made and has carried nothing yet.
    pub fn check_in_unused(&mut self, now: Nanos, server: S, connection: C) {
        self.insert(now, server, IdleConnection { connection, idle_since: now, usable_at: now });
    }

    fn insert(&mut self, now: Nanos, server: S, idle: IdleConnection<C>) {
        if self.breaks_too_often(now) {
            return;
        }
        let new_pool = ServerPool { connections: Vec::new(), max_idle_time: self.max_idle_time };
        let pool = self.servers.entry(server).or_insert(new_pool);
        let longer = (pool.max_idle_time as f64 * TRUST_FACTOR_AFTER_SUCCESS) as Nanos;
        pool.max_idle_time = longer.min(self.max_idle_time);
        if pool.connections.len() < MAX_IDLE_PER_SERVER && self.idle_count < self.max_idle {
            pool.connections.push(idle);
            self.idle_count += 1;
            self.by_age.push_back((now, server));
            self.compact_ages();
        }
    }

    /// Drops the ages of connections that left the pool, once they are as many as those in it.
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

    /// A reused connection, which was idle for `idle_for`, broke under its request. Others of that server that are
    /// about as old are dropped.
    pub fn reuse_failed(&mut self, now: Nanos, server: S, idle_for: Nanos) {
        self.broken.add(now, 1.0);
        let Some(pool) = self.servers.get_mut(&server) else { return };
        let shorter = (idle_for as f64 * TRUST_FACTOR_AFTER_BREAK) as Nanos;
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

    /// Whether reused connections break too often to reuse any.
    fn breaks_too_often(&self, now: Nanos) -> bool {
        let (reused, broken) = (self.reused.read(now), self.broken.read(now));
        broken > MIN_BROKEN && broken > MAX_BROKEN_SHARE * (reused + broken)
    }

    /// Idle connections to all servers.
    pub fn idle(&self) -> usize {
        self.idle_count
    }
}
