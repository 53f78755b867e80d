//! Which connection an exchange rides on: what is kept open between exchanges, for how long, and for whom.
//!
//! A pooled connection saves a round trip and risks that the server closes it just as a request goes out, which
//! proves nothing about that request. So connections are kept shortly, fewest where a server closes many under us.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};

/// Idle connections kept for one server, and for all together.
const IDLE_MOST: usize = 64;
const IDLE_ALL: usize = 4096;
/// Servers close idle connections after some time of their own. Where nothing is known of it, this is safe.
const IDLE_FOR: Nanos = 20_000_000_000;
/// An idle connection is given up this much before its server would close it: the request still has to get there.
const CLOSED_AHEAD: Nanos = 1_000_000_000;
/// Never trust an idle connection for less than this, nor learn to.
const IDLE_LEAST: Nanos = 500_000_000;
/// After a connection broke under a request, the next ones are trusted for this part of the time it was idle.
const TRUST_AFTER_BREAK: f64 = 0.5;
/// Bytes that belong to no request may come some milliseconds behind a good answer. A request that had gone out on that
/// connection meanwhile would take them for its own answer; so long after an answer they have come, or count as never.
const RESTED: Nanos = 100_000_000;
/// Each exchange that ends well lets idle connections be trusted for a little longer again.
const TRUST_BACK: f64 = 1.05;

/// Half-life of what is known of used connections, at all servers together.
const REUSE_LIFE: Nanos = 10_000_000_000;
/// Past this share of them that broke under their request, each request gets a new one: a handshake costs little, and
/// a lost attempt is one of few. Guards against servers, or what stands before them, that drop kept connections.
const BREAKS: f64 = 0.1;
/// And only once more than one has broken of late.
const EVIDENCE: f64 = 1.5;

struct Kept<C> {
    connection: C,
    since: Nanos,
    /// It is not to be used before then.
    rested: Nanos,
}

/// Idle connections to one server, the one used last at the end.
struct Idle<C> {
    kept: Vec<Kept<C>>,
    trusted_for: Nanos,
}

impl<C> Idle<C> {
    /// Since when the connection waits that has waited for longest.
    fn longest(&self) -> Option<Nanos> {
        self.kept.first().map(|kept| kept.since)
    }
}

/// Open connections that wait for their next exchange. `S` tells servers apart, `C` is the connection.
pub struct ConnectionPool<S, C> {
    servers: BTreeMap<S, Idle<C>>,
    /// Since when a connection of which server is idle, the longest first; those that are idle no more stay until it
    /// is gone through.
    by_age: VecDeque<(Nanos, S)>,
    all: usize,
    idle_for: Nanos,
    idle_all: usize,
    rested: Nanos,
    /// Answers on used connections, and used connections that broke.
    held: DecayingSum,
    broken: DecayingSum,
}

impl<S: Ord + Copy, C> Default for ConnectionPool<S, C> {
    fn default() -> Self {
        // Where a library owns the connection: it is used again at once.
        ConnectionPool { rested: 0, ..Self::bounded(IDLE_FOR, IDLE_ALL) }
    }
}

impl<S: Ord + Copy, C> ConnectionPool<S, C> {
    /// Where servers tell for how long they keep an idle connection, and descriptors are few.
    pub fn bounded(idle_for: Nanos, idle_all: usize) -> Self {
        let idle_for = idle_for.saturating_sub(CLOSED_AHEAD).clamp(IDLE_LEAST, IDLE_FOR);
        ConnectionPool {
            servers: BTreeMap::new(),
            by_age: VecDeque::new(),
            all: 0,
            idle_for,
            idle_all,
            rested: RESTED,
            held: DecayingSum::new(REUSE_LIFE),
            broken: DecayingSum::new(REUSE_LIFE),
        }
    }

    /// Drops the connection that was idle for longest; false where none is.
    pub fn close_oldest_idle(&mut self) -> bool {
        while let Some((since, server)) = self.by_age.pop_front() {
            let idle = self.servers.get_mut(&server).filter(|idle| idle.longest() == Some(since));
            if let Some(idle) = idle {
                idle.kept.remove(0);
                self.all -= 1;
                return true;
            }
        }
        false
    }

    /// The connection to use for an exchange, with how long it was idle. Ones that are closed (`open` tells) or were
    /// idle for too long are dropped on the way. The one used last that has rested goes first, so that the others can
    /// run out.
    pub fn check_out(&mut self, now: Nanos, server: S, open: impl Fn(&C) -> bool) -> Option<(C, Nanos)> {
        if self.breaks(now) {
            return None;
        }
        let idle = self.servers.get_mut(&server)?;
        while let Some(at) = idle.kept.iter().rposition(|kept| now >= kept.rested) {
            let Kept { connection, since, .. } = idle.kept.remove(at);
            self.all -= 1;
            let waited = now.saturating_sub(since);
            if waited <= idle.trusted_for && open(&connection) {
                return Some((connection, waited));
            }
        }
        None
    }

    /// An answer has come on a connection that was used before.
    pub fn reuse_succeeded(&mut self, now: Nanos) {
        self.held.add(now, 1.0);
    }

    /// An exchange has ended well: its connection may serve another.
    pub fn check_in(&mut self, now: Nanos, server: S, connection: C) {
        self.rest(now, now.saturating_add(self.rested), server, connection);
    }

    /// A connection that came up and carried nothing yet.
    pub fn check_in_unused(&mut self, now: Nanos, server: S, connection: C) {
        self.rest(now, now, server, connection);
    }

    fn rest(&mut self, now: Nanos, rested: Nanos, server: S, connection: C) {
        if self.breaks(now) {
            return;
        }
        let idle =
            self.servers.entry(server).or_insert(Idle { kept: Vec::new(), trusted_for: self.idle_for });
        idle.trusted_for = ((idle.trusted_for as f64 * TRUST_BACK) as Nanos).min(self.idle_for);
        if idle.kept.len() < IDLE_MOST && self.all < self.idle_all {
            idle.kept.push(Kept { connection, since: now, rested });
            self.all += 1;
            self.by_age.push_back((now, server));
            self.drop_past_ages();
        }
    }

    /// Goes through the ages once as many of them are past as there are connections.
    fn drop_past_ages(&mut self) {
        if self.by_age.len() > 2 * self.all + IDLE_MOST {
            let servers = &self.servers;
            let idle = |(since, server): &(Nanos, S)| {
                servers.get(server).is_some_and(|idle| idle.kept.iter().any(|kept| kept.since == *since))
            };
            self.by_age.retain(idle);
        }
    }

    /// A connection broke under its request after it had been idle for so long. All others idle that long go too.
    pub fn reuse_failed(&mut self, now: Nanos, server: S, waited: Nanos) {
        self.broken.add(now, 1.0);
        let Some(idle) = self.servers.get_mut(&server) else { return };
        idle.trusted_for = ((waited as f64 * TRUST_AFTER_BREAK) as Nanos).clamp(IDLE_LEAST, IDLE_FOR);
        let before = idle.kept.len();
        let trusted = idle.trusted_for;
        idle.kept.retain(|kept| now.saturating_sub(kept.since) <= trusted);
        self.all -= before - idle.kept.len();
    }

    /// Nothing listens there any more, or the list no longer has it.
    pub fn remove(&mut self, gone: impl Fn(&S) -> bool) {
        let all = &mut self.all;
        self.servers.retain(|server, idle| {
            let keep = !gone(server);
            *all -= if keep { 0 } else { idle.kept.len() };
            keep
        });
    }

    /// Whether used connections break too often to be used.
    fn breaks(&self, now: Nanos) -> bool {
        let (held, broken) = (self.held.read(now), self.broken.read(now));
        broken > EVIDENCE && broken > BREAKS * (held + broken)
    }

    pub fn idle(&self) -> usize {
        self.all
    }
}
