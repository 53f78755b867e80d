//! How many requests a client may cancel before their first token.
//!
//! A sequence that its client cancels before the first token has cost a prefill server its work, and perhaps a decode
//! server some capacity. Ordinary clients cancel now and then. One that opens and cancels without end, as streams of
//! one connection or as connections, would keep the prefill servers busy with work that nobody reads. So each client
//! has a credit of cancellations: some at any time, and one more for each sequence that it waited for. Once the credit
//! is used up, its requests are rejected before anything is sent, with the time until it may send the next.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::{Nanos, TenantId};
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

/// Half-life of the counts of a client's requests, in nanoseconds.
const HALF_LIFE: Nanos = 5_000_000_000;
/// Cancellations of late that every client may have.
const FREE_CANCELLATIONS: f64 = 32.0;
/// Cancellations that it may have besides for each sequence whose first token it waited for.
const CANCELLATIONS_PER_FIRST_TOKEN: f64 = 1.0;
/// A client that waited this long before it cancelled was served too slowly, which is not its fault. In nanoseconds.
const MAX_COUNTED_WAIT: Nanos = 1_000_000_000;
/// Clients that are tracked. Past it, those with the smallest counts are dropped first.
const MAX_CLIENTS: usize = 4_096;
/// Counts up to this are not worth tracking.
const NEGLIGIBLE_COUNT: f64 = 0.5;

/// Identifies a client: many may share an address, and known tenants are distinguished there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId {
    /// Identifies the address that it connects from.
    pub address: u64,
    /// Its tenant, where that is known.
    pub tenant: Option<TenantId>,
}

/// A client has cancelled too many requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyCancelled {
    /// How long until it may send the next.
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

    /// Cancellations past the credit; negative while some of it is left.
    fn excess(&self, now: Nanos) -> f64 {
        let earned = CANCELLATIONS_PER_FIRST_TOKEN * self.first_tokens.read(now);
        self.cancelled.read(now) - FREE_CANCELLATIONS - earned
    }

    /// How much is lost if the client is not tracked any more.
    fn count(&self, now: Nanos) -> f64 {
        self.cancelled.read(now).max(self.first_tokens.read(now))
    }
}

/// The cancellations of all clients of late.
#[derive(Default)]
pub struct CancellationLimits {
    clients: BTreeMap<ClientId, ClientHistory>,
}

impl CancellationLimits {
    /// Whether a client may send another request.
    pub fn check(&self, now: Nanos, client: ClientId) -> Result<(), TooManyCancelled> {
        let excess = self.clients.get(&client).map(|history| history.excess(now));
        let Some(excess) = excess.filter(|excess| *excess >= 0.0) else {
            return Ok(());
        };
        // Both counts decay alike: the excess is gone once their difference has come down to the free cancellations.
        let difference = excess + FREE_CANCELLATIONS;
        let half_lives = (difference / FREE_CANCELLATIONS).log2();
        Err(TooManyCancelled { retry_after: (HALF_LIFE as f64 * half_lives) as Nanos + 1 })
    }

    /// A client cancelled a sequence without a token, `waited` after it had come.
    pub fn cancelled(&mut self, now: Nanos, client: ClientId, waited: Nanos) {
        if waited < MAX_COUNTED_WAIT {
            self.history(now, client).cancelled.add(now, 1.0);
        }
    }

    /// A client waited for the first token of its answer.
    pub fn first_token(&mut self, now: Nanos, client: ClientId) {
        // A client that never cancels needs no credit, and is not tracked.
        if self.clients.contains_key(&client) {
            self.history(now, client).first_tokens.add(now, 1.0);
        }
    }

    /// How many clients are tracked.
    pub fn tracked_clients(&self) -> usize {
        self.clients.len()
    }

    fn history(&mut self, now: Nanos, client: ClientId) -> &mut ClientHistory {
        if self.clients.len() >= MAX_CLIENTS && !self.clients.contains_key(&client) {
            self.drop_clients(now);
        }
        self.clients.entry(client).or_insert_with(ClientHistory::new)
    }

    /// Drops clients with negligible counts; if there are none, the half with the smallest.
    fn drop_clients(&mut self, now: Nanos) {
        self.clients.retain(|_, history| history.count(now) > NEGLIGIBLE_COUNT);
        if self.clients.len() < MAX_CLIENTS {
            return;
        }
        let mut counts: Vec<f64> = self.clients.values().map(|history| history.count(now)).collect();
        counts.sort_by(f64::total_cmp);
        let median = counts[counts.len() / 2];
        let mut to_drop = MAX_CLIENTS / 2;
        self.clients.retain(|_, history| {
            let drops = to_drop > 0 && history.count(now) <= median;
            to_drop -= usize::from(drops);
            !drops
        });
    }
}
