//! How much a gateway holds at once, and when one that is turned away should come back.
//!
//! Memory is what a gateway runs out of before it notices: each held sequence keeps a prompt and two sockets. The
//! bound is met before anything is taken, so an answer is certain and costs nothing.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::{Nanos, TrafficType};
use std::collections::BTreeMap;

/// Memory of how fast sequences leave: some answers long.
const LEAVING: Nanos = 4_000_000_000;
/// Part of the room that is kept for what is worth most.
const RESERVE: f64 = 0.1;
/// The shortest and longest time to come back that is told while nothing else bounds it.
const SOONEST: Nanos = 100_000_000;
const LATEST: Nanos = 30_000_000_000;
/// So many a second are hoped to leave whatever was seen: two sums that fade alike have a ratio that does not.
const HOPED: f64 = 1.0;
/// A single client address may hold this part of the room, but never fewer than `FEW`.
const ONE_CLIENT: f64 = 0.25;
const FEW: usize = 64;

/// Whole answers are gathered in memory up to so many bytes; no answer's most tokens come near it.
pub const WHOLE_ANSWER: usize = 8 << 20;

/// What each traffic type is worth against the highest.
pub fn relative_priorities(types: &[TrafficType]) -> Vec<f64> {
    let highest = types.iter().map(|t| t.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
    types.iter().map(|t| t.priority_weight / highest).collect()
}

/// Room for sequences in hand, counted over all fronts of the gateway.
#[derive(Debug)]
pub struct CapacityLimit {
    most: usize,
    held: usize,
    /// Places that something else than sequences takes up.
    also: usize,
    by_client: BTreeMap<u64, usize>,
    left: DecayingSum,
    started: Nanos,
    /// So many were turned away of late: those who come back queue behind each other.
    turned_away: DecayingSum,
}

/// Why there was no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityError {
    Gateway,
    Client,
}

impl CapacityLimit {
    pub fn new(now: Nanos, most: usize) -> Self {
        let empty = DecayingSum::new(LEAVING);
        CapacityLimit {
            most,
            held: 0,
            also: 0,
            by_client: BTreeMap::new(),
            left: empty.clone(),
            started: now,
            turned_away: empty,
        }
    }

    /// Takes room for a sequence of such a value, 1 for the highest; `client` tells who asks.
    pub fn acquire(&mut self, now: Nanos, client: u64, value: f64) -> Result<(), CapacityError> {
        let open = self.most as f64 * (1.0 - RESERVE * (1.0 - value.clamp(0.0, 1.0)));
        let own = self.by_client.get(&client).copied().unwrap_or(0);
        let no_room = if (self.held + self.also) as f64 >= open {
            CapacityError::Gateway
        } else if own >= self.one_client() {
            CapacityError::Client
        } else {
            self.held += 1;
            *self.by_client.entry(client).or_insert(0) += 1;
            return Ok(());
        };
        self.turned_away.add(now, 1.0);
        Err(no_room)
    }

    /// So many places are taken up by something else now.
    pub fn set_otherwise_used(&mut self, places: usize) {
        self.also = places;
    }

    /// Gives the room of one sequence back.
    pub fn release(&mut self, now: Nanos, client: u64) {
        self.held = self.held.saturating_sub(1);
        if let Some(own) = self.by_client.get_mut(&client) {
            *own = own.saturating_sub(1);
            if *own == 0 {
                self.by_client.remove(&client);
            }
        }
        self.left.add(now, 1.0);
    }

    /// When to come back: once as many have left as were turned away of late, within `longest`.
    pub fn retry_after(&self, now: Nanos, longest: Option<Nanos>) -> Nanos {
        let leaving = self.left.per_second(now, self.started) + HOPED;
        let wait = (self.turned_away.read(now).max(1.0) / leaving * 1e9) as Nanos;
        wait.clamp(SOONEST, longest.unwrap_or(LATEST).max(SOONEST))
    }

    pub fn in_use(&self) -> usize {
        self.held
    }

    fn one_client(&self) -> usize {
        ((self.most as f64 * ONE_CLIENT) as usize).max(FEW)
    }
}
