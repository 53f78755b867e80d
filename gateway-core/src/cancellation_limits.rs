//! Clients that ask and withdraw: how much reading of theirs may be for nothing.
//!
//! A sequence that its client withdraws before the first token has cost a reader its work and a writer perhaps a
//! place. Ordinary clients do that now and then; one that opens and cancels without end, by streams of one connection
//! or by connections, would keep the readers busy with work that nobody takes. So each client has a credit: some
//! withdrawals in a while, and one more for each sequence that it stayed for. Past it, its requests are refused
//! before anything is sent, with the time after which the credit is back.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::{Nanos, TenantId};
use std::collections::BTreeMap;

/// Memory of what a client did.
const HALF_LIFE: Nanos = 5_000_000_000;
/// Withdrawals within that memory that nobody minds.
const FEW: f64 = 32.0;
/// Withdrawals for each sequence stayed for that nobody minds either.
const FOR_EACH_STAYED: f64 = 1.0;
/// A client that waited this long before it left was served too slowly; that is not its fault.
const PATIENT: Nanos = 1_000_000_000;
/// Clients remembered. Past it, those with the least to remember are dropped first.
const MOST: usize = 4_096;
/// Below this nothing is worth remembering.
const FADED: f64 = 0.5;

/// Who asks: many share an address, so a known tenant is told from others there.
pub type Client = (u64, Option<TenantId>);

struct Seen {
    withdrawn: DecayingSum,
    stayed: DecayingSum,
}

impl Seen {
    fn over(&self, now: Nanos) -> f64 {
        self.withdrawn.read(now) - FEW - FOR_EACH_STAYED * self.stayed.read(now)
    }

    fn weight(&self, now: Nanos) -> f64 {
        self.withdrawn.read(now).max(self.stayed.read(now))
    }
}

#[derive(Default)]
pub struct CancellationLimits {
    clients: BTreeMap<Client, Seen>,
}

impl CancellationLimits {
    /// Whether a client may ask for more; if not, when it may.
    pub fn check(&self, now: Nanos, client: Client) -> Result<(), Nanos> {
        let Some(seen) = self.clients.get(&client).filter(|seen| seen.over(now) >= 0.0) else {
            return Ok(());
        };
        // Both sums fade alike: what is over the credit is worth `FEW` when the difference has halved so often.
        let difference = seen.over(now) + FEW;
        let halvings = (difference / FEW).log2();
        Err((HALF_LIFE as f64 * halvings) as Nanos + 1)
    }

    /// A client withdrew a sequence with no token yet, so long after it had come.
    pub fn cancelled(&mut self, now: Nanos, client: Client, after: Nanos) {
        if after < PATIENT {
            self.seen(now, client).withdrawn.add(now, 1.0);
        }
    }

    /// A client stayed for the first token of its answer.
    pub fn first_token(&mut self, now: Nanos, client: Client) {
        // Who never withdraws needs no credit, and no memory.
        if self.clients.contains_key(&client) {
            self.seen(now, client).stayed.add(now, 1.0);
        }
    }

    pub fn remembered(&self) -> usize {
        self.clients.len()
    }

    fn seen(&mut self, now: Nanos, client: Client) -> &mut Seen {
        if self.clients.len() >= MOST && !self.clients.contains_key(&client) {
            self.forget(now);
        }
        let empty = || Seen { withdrawn: DecayingSum::new(HALF_LIFE), stayed: DecayingSum::new(HALF_LIFE) };
        self.clients.entry(client).or_insert_with(empty)
    }

    /// Drops what has faded; if that is nothing, the half with the least to remember.
    fn forget(&mut self, now: Nanos) {
        self.clients.retain(|_, seen| seen.weight(now) > FADED);
        if self.clients.len() < MOST {
            return;
        }
        let mut weights: Vec<f64> = self.clients.values().map(|seen| seen.weight(now)).collect();
        weights.sort_by(f64::total_cmp);
        let (middle, mut left) = (weights[weights.len() / 2], MOST / 2);
        self.clients.retain(|_, seen| {
            let drops = left > 0 && seen.weight(now) <= middle;
            left -= usize::from(drops);
            !drops
        });
    }
}
