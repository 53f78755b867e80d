//! Limits how many requests a client may cancel before their first token.
//!
//! A sequence that is cancelled before its first token has cost a prefill server its work, and perhaps a decode server
//! some capacity. Ordinary clients cancel occasionally. A client that opens and cancels requests continually, on one
//! connection or on many, would keep the prefill servers busy with work for answers that nobody reads. So each client
//! has a credit of cancellations: a fixed number, and one more for each sequence whose first token the client waited
//! for. Once the credit is used up, the client's requests are rejected before any attempt is sent. The rejection tells
//! the client when it may send its next request.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::{Nanos, TenantId};
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

/// Half-life of a client's counts of cancellations and of first tokens, in nanoseconds.
const HALF_LIFE: Nanos = 5_000_000_000;
/// Recent cancellations that every client may have.
const FREE_CANCELLATIONS: f64 = 32.0;
/// Additional cancellations that a client may have for each sequence whose first token it waited for.
const CANCELLATIONS_PER_FIRST_TOKEN: f64 = 1.0;
/// Longest wait after which a cancellation still counts, in nanoseconds. A client that cancels later was served too
/// slowly, which is not its fault.
const MAX_COUNTED_WAIT: Nanos = 1_000_000_000;
/// The maximum number of tracked clients. Beyond it the clients with the smallest counts are dropped first.
const MAX_CLIENTS: usize = 4_096;
/// A client whose counts are at most this may be dropped when the table is full.
const NEGLIGIBLE_COUNT: f64 = 0.5;

/// Identifies a client by its address and its tenant, since many tenants may share an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId {
    /// Identifies the address that the client connects from.
    pub address: u64,
    /// The client's tenant, where it is known.
    pub tenant: Option<TenantId>,
}

/// A client has cancelled too many requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyCancelled {
    /// Time until the client may send its next request.
    pub retry_after: Nanos,
}

impl fmt::Display for TooManyCancelled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the client has cancelled too many requests")
    }
}

impl Error for TooManyCancelled {}

struct ClientHistory {
    cancelled: DecayingSum,
    first_tokens: DecayingSum,
}

impl ClientHistory {
    fn new() -> Self {
        ClientHistory { cancelled: DecayingSum::new(HALF_LIFE), first_tokens: DecayingSum::new(HALF_LIFE) }
    }

    /// Number of cancellations beyond the credit; negative while credit is left.
    fn excess(&self, now: Nanos) -> f64 {
        let earned = CANCELLATIONS_PER_FIRST_TOKEN * self.first_tokens.read(now);
        self.cancelled.read(now) - FREE_CANCELLATIONS - earned
    }

    /// The larger of the two counts. Clients with the smallest value are dropped first, since the least history is lost
    /// with them.
    fn larger_count(&self, now: Nanos) -> f64 {
        self.cancelled.read(now).max(self.first_tokens.read(now))
    }
}

/// The recent cancellations of all clients.
#[derive(Default)]
pub struct CancellationLimits {
    clients: BTreeMap<ClientId, ClientHistory>,
}

impl CancellationLimits {
    /// Returns an error if a client has no credit left for another request.
    pub fn check(&self, now: Nanos, client: ClientId) -> Result<(), TooManyCancelled> {
        let excess = self.clients.get(&client).map(|history| history.excess(now));
        let Some(excess) = excess.filter(|excess| *excess >= 0.0) else {
            return Ok(());
        };
        // Both counts decay at the same rate, so the excess is zero once their difference has decayed to the free
        // cancellations.
        let difference = excess + FREE_CANCELLATIONS;
        let half_lives = (difference / FREE_CANCELLATIONS).log2();
        Err(TooManyCancelled { retry_after: (HALF_LIFE as f64 * half_lives) as Nanos + 1 })
    }

    /// Records that a client cancelled a sequence before its first token, after it had waited for `waited` nanoseconds.
    pub fn cancelled(&mut self, now: Nanos, client: ClientId, waited: Nanos) {
        if waited < MAX_COUNTED_WAIT {
            self.history(now, client).cancelled.add(now, 1.0);
        }
    }

    /// Records that a client waited for the first token of its answer.
    pub fn first_token(&mut self, now: Nanos, client: ClientId) {
        // A client that never cancels needs no credit and is not tracked.
        if self.clients.contains_key(&client) {
            self.history(now, client).first_tokens.add(now, 1.0);
        }
    }

    /// Number of tracked clients.
    pub fn tracked_clients(&self) -> usize {
        self.clients.len()
    }

    fn history(&mut self, now: Nanos, client: ClientId) -> &mut ClientHistory {
        if self.clients.len() >= MAX_CLIENTS && !self.clients.contains_key(&client) {
            self.drop_clients(now);
        }
        self.clients.entry(client).or_insert_with(ClientHistory::new)
    }

    /// Drops the clients with negligible counts, or, if there are none, half of the clients: those with the smallest
    /// counts.
    fn drop_clients(&mut self, now: Nanos) {
        self.clients.retain(|_, history| history.larger_count(now) > NEGLIGIBLE_COUNT);
        if self.clients.len() < MAX_CLIENTS {
            return;
        }
        let mut counts: Vec<f64> = self.clients.values().map(|history| history.larger_count(now)).collect();
        counts.sort_by(f64::total_cmp);
        let median = counts[counts.len() / 2];
        let mut to_drop = MAX_CLIENTS / 2;
        self.clients.retain(|_, history| {
            let drops = to_drop > 0 && history.larger_count(now) <= median;
            to_drop -= usize::from(drops);
            !drops
        });
    }
}
