//! How many sequences a gateway holds at once, and when a rejected client should come back.
//!
//! Memory is what a gateway runs out of before it notices: each sequence in flight keeps a prompt and two sockets.
//! The limit is checked before a sequence is admitted, so that a rejection is certain and cheap.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::{Deployment, Nanos, TrafficTypeId};
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

/// Half-life of the rates of releases and rejections, in nanoseconds: some answers are long.
const RATE_HALF_LIFE: Nanos = 4_000_000_000;
/// Share of the capacity that is reserved for the traffic types of the highest priority.
const PRIORITY_RESERVE_SHARE: f64 = 0.1;
/// Bounds of Retry-After, in nanoseconds; settings may bound it more.
const MIN_RETRY_AFTER: Nanos = 100_000_000;
const MAX_RETRY_AFTER: Nanos = 30_000_000_000;
/// Sequences a second that are expected to be released whatever was observed: two sums that decay alike have a ratio
/// that does not.
const MIN_RELEASES_PER_SECOND: f64 = 1.0;
/// Share of the capacity that one client address may hold, but never fewer sequences than the number below.
const MAX_CLIENT_SHARE: f64 = 0.25;
const MIN_CLIENT_SEQUENCES: usize = 64;

/// Buffered answers are collected in memory up to so many bytes; the token limit of no answer comes near it.
pub const MAX_BUFFERED_ANSWER_BYTES: usize = 8 << 20;

/// The priority weight of each traffic type as a share of the highest.
pub fn relative_priorities(deployment: &Deployment) -> Vec<f64> {
    let types = (0..deployment.types.len()).map(TrafficTypeId);
    types.map(|traffic| deployment.relative_priority(traffic)).collect()
}

/// Capacity for sequences in flight, over all ingresses of the gateway.
#[derive(Debug)]
pub struct CapacityLimit {
    capacity: usize,
    in_flight: usize,
    /// Capacity that something else than sequences takes up.
    otherwise_used: usize,
    in_flight_by_client: BTreeMap<u64, usize>,
    released: DecayingSum,
    /// When this limit was made.
    started_at: Nanos,
    /// Rejections of late: clients that retry queue behind each other.
    rejected: DecayingSum,
}

/// Why a sequence was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityError {
    /// The gateway is at capacity for this priority.
    Gateway,
    /// The client's address holds all that one may.
    Client,
}

impl fmt::Display for CapacityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CapacityError::Gateway => "the gateway is at capacity",
            CapacityError::Client => "the client has too many requests in flight",
        })
    }
}

impl Error for CapacityError {}

impl CapacityLimit {
    /// Capacity for `capacity` sequences, all of it free.
    pub fn new(now: Nanos, capacity: usize) -> Self {
        let rate = DecayingSum::new(RATE_HALF_LIFE);
        CapacityLimit {
            capacity,
            in_flight: 0,
            otherwise_used: 0,
            in_flight_by_client: BTreeMap::new(),
            released: rate.clone(),
            started_at: now,
            rejected: rate,
        }
    }

    /// Takes capacity for a sequence. `client` identifies the client's address; `priority` is that of the sequence's
    /// traffic type, 1 for the highest.
    pub fn acquire(&mut self, now: Nanos, client: u64, priority: f64) -> Result<(), CapacityError> {
        let admission = self.check(client, priority);
        match admission {
            Ok(()) => {
                self.in_flight += 1;
                *self.in_flight_by_client.entry(client).or_insert(0) += 1;
            }
            Err(_) => self.rejected.add(now, 1.0),
        }
        admission
    }

    fn check(&self, client: u64, priority: f64) -> Result<(), CapacityError> {
        let reserved_share = PRIORITY_RESERVE_SHARE * (1.0 - priority.clamp(0.0, 1.0));
        let available = self.capacity as f64 * (1.0 - reserved_share);
        if (self.in_flight + self.otherwise_used) as f64 >= available {
            return Err(CapacityError::Gateway);
        }
        let of_client = self.in_flight_by_client.get(&client).copied().unwrap_or(0);
        if of_client >= self.client_capacity() {
            return Err(CapacityError::Client);
        }
        Ok(())
    }

    /// Sets how much of the capacity something else than sequences takes up now.
    pub fn set_otherwise_used(&mut self, sequences: usize) {
        self.otherwise_used = sequences;
    }

    /// Gives the capacity of one sequence back.
    pub fn release(&mut self, now: Nanos, client: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(of_client) = self.in_flight_by_client.get_mut(&client) {
            *of_client = of_client.saturating_sub(1);
            if *of_client == 0 {
                self.in_flight_by_client.remove(&client);
            }
        }
        self.released.add(now, 1.0);
    }

    /// Retry-After: the time in which as many sequences are released as were rejected of late, at most `max`.
    pub fn retry_after(&self, now: Nanos, max: Option<Nanos>) -> Nanos {
        let releases_per_second = self.released.per_second(now, self.started_at) + MIN_RELEASES_PER_SECOND;
        let wait = (self.rejected.read(now).max(1.0) / releases_per_second * 1e9) as Nanos;
        wait.clamp(MIN_RETRY_AFTER, max.unwrap_or(MAX_RETRY_AFTER).max(MIN_RETRY_AFTER))
    }

    /// Sequences in flight.
    pub fn in_use(&self) -> usize {
        self.in_flight
    }

    fn client_capacity(&self) -> usize {
        ((self.capacity as f64 * MAX_CLIENT_SHARE) as usize).max(MIN_CLIENT_SEQUENCES)
    }
}
