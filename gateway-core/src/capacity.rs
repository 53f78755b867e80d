//! Limits the number of sequences in flight at a gateway, and computes Retry-After for rejected clients.
//!
//! Each sequence in flight keeps a prompt in memory and two sockets open, and a gateway can run out of memory without
//! warning. The limit is checked before a sequence is admitted, so a rejected request has provably not run, and its
//! rejection costs little.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::{Deployment, Nanos, TrafficTypeId};
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

/// Half-life of the rates of releases and rejections, in nanoseconds. It spans seconds because some answers are long.
const RATE_HALF_LIFE: Nanos = 4_000_000_000;
/// Share of the capacity that is reserved for the traffic types of the highest priority.
const PRIORITY_RESERVE_SHARE: f64 = 0.1;
/// Bounds of Retry-After, in nanoseconds. Settings may replace the upper bound, but the result is never below the lower
/// bound.
const MIN_RETRY_AFTER: Nanos = 100_000_000;
const MAX_RETRY_AFTER: Nanos = 30_000_000_000;
/// Added to the observed rate of releases, in sequences per second. Without it, Retry-After would stay constant while
/// no sequence is released or rejected: the sums of releases and rejections decay alike, so their ratio doesn't change.
const BASE_RELEASES_PER_SECOND: f64 = 1.0;
/// Share of the capacity that one client address may hold. The limit of an address is never below
/// [`MIN_CLIENT_SEQUENCES`].
const MAX_CLIENT_SHARE: f64 = 0.25;
const MIN_CLIENT_SEQUENCES: usize = 64;

/// The maximum size of an answer that is buffered in memory, in bytes. Answers within their token limits stay far below
/// it.
pub const MAX_BUFFERED_ANSWER_BYTES: usize = 8 << 20;

/// The priority weight of each traffic type, as a share of the highest weight.
pub fn relative_priorities(deployment: &Deployment) -> Vec<f64> {
    let types = (0..deployment.types.len()).map(TrafficTypeId);
    types.map(|traffic| deployment.relative_priority(traffic)).collect()
}

/// The limit on sequences in flight, shared by all ingresses of the gateway.
#[derive(Debug)]
pub struct CapacityLimit {
    capacity: usize,
    in_flight: usize,
    /// Capacity, in sequences, that is used by something other than sequences in flight.
    otherwise_used: usize,
    in_flight_by_client: BTreeMap<u64, usize>,
    released: DecayingSum,
    /// Time at which this limit was created.
    started_at: Nanos,
    /// Recent rejections. Retry-After grows with their number, since rejected clients compete for the capacity when
    /// they retry.
    rejected: DecayingSum,
}

/// The reason why a sequence was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityError {
    /// The gateway has no capacity left for a sequence of this priority.
    Gateway,
    /// The client's address has as many sequences in flight as one address may.
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
    /// Creates a limit of `capacity` sequences, none of which is in flight.
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

    /// Acquires capacity for a sequence. `client` identifies the client's address. `priority` is the relative priority
    /// of the sequence's traffic type; the highest is 1.
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
        let client_in_flight = self.in_flight_by_client.get(&client).copied().unwrap_or(0);
        if client_in_flight >= self.client_capacity() {
            return Err(CapacityError::Client);
        }
        Ok(())
    }

    /// Sets how much capacity, in sequences, is used by something other than sequences in flight, such as pending
    /// releases.
    pub fn set_otherwise_used(&mut self, sequences: usize) {
        self.otherwise_used = sequences;
    }

    /// Releases the capacity of one sequence.
    pub fn release(&mut self, now: Nanos, client: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(client_in_flight) = self.in_flight_by_client.get_mut(&client) {
            *client_in_flight = client_in_flight.saturating_sub(1);
            if *client_in_flight == 0 {
                self.in_flight_by_client.remove(&client);
            }
        }
        self.released.add(now, 1.0);
    }

    /// Retry-After, in nanoseconds: the expected time until as many sequences are released as were rejected recently,
    /// at most `max`.
    pub fn retry_after(&self, now: Nanos, max: Option<Nanos>) -> Nanos {
        let releases_per_second = self.released.per_second(now, self.started_at) + BASE_RELEASES_PER_SECOND;
        let wait = (self.rejected.read(now).max(1.0) / releases_per_second * 1e9) as Nanos;
        wait.clamp(MIN_RETRY_AFTER, max.unwrap_or(MAX_RETRY_AFTER).max(MIN_RETRY_AFTER))
    }

    /// Number of sequences in flight.
    pub fn in_use(&self) -> usize {
        self.in_flight
    }

    fn client_capacity(&self) -> usize {
        ((self.capacity as f64 * MAX_CLIENT_SHARE) as usize).max(MIN_CLIENT_SEQUENCES)
    }
}
