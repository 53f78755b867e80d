//! Limits on connections of clients, and on the bytes of requests that have not been received completely.
//!
//! Before a request is parsed it has no traffic type and no priority; only the address that it comes from is known.
//! So one address gets a share of the whole, and the whole bounds memory.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

/// Share of the connections, and of the bytes, that one address may hold.
const MAX_ADDRESS_SHARE: f64 = 0.5;
/// But never fewer connections than this.
const MIN_CONNECTIONS_PER_ADDRESS: usize = 64;
/// Bytes of all bodies together, as a multiple of the largest body.
const MAX_BODIES: usize = 64;

#[derive(Debug, Default, Clone, Copy)]
struct Usage {
    connections: usize,
    bytes: usize,
}

/// What clients hold of the ingress, and how much they may.
#[derive(Debug)]
pub struct IngressLimits {
    max_connections: usize,
    max_bytes: usize,
    max_body: usize,
    total: Usage,
    by_address: BTreeMap<u64, Usage>,
}

/// Why a connection, or more bytes of a body, are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IngressError {
    /// This one body is larger than any may be.
    TooLarge,
    /// The ingress is at capacity.
    AtCapacity,
    /// This address holds its share already.
    AddressAtCapacity,
}

impl fmt::Display for IngressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            IngressError::TooLarge => "the body is larger than any may be",
            IngressError::AtCapacity => "the ingress is at capacity",
            IngressError::AddressAtCapacity => "the address holds its share of the ingress",
        })
    }
}

impl Error for IngressError {}

impl IngressLimits {
    /// Limits for `max_connections` connections and bodies of up to `max_body` bytes each.
    pub fn new(max_connections: usize, max_body: usize) -> Self {
        Self::bounded(max_connections, max_body, max_body.saturating_mul(MAX_BODIES))
    }

    /// The same with `max_bytes` for all bodies together, where memory is small.
    pub fn bounded(max_connections: usize, max_body: usize, max_bytes: usize) -> Self {
        IngressLimits {
            max_connections,
            max_bytes,
            max_body,
            total: Usage::default(),
            by_address: BTreeMap::new(),
        }
    }

    /// Admits a connection of an address.
    pub fn acquire_connection(&mut self, address: u64) -> Result<(), IngressError> {
        if self.total.connections >= self.max_connections {
            return Err(IngressError::AtCapacity);
        }
        let share = (self.max_connections as f64 * MAX_ADDRESS_SHARE) as usize;
        let max_of_address = share.max(MIN_CONNECTIONS_PER_ADDRESS);
        let of_address = self.by_address.entry(address).or_default();
        if of_address.connections >= max_of_address {
            return Err(IngressError::AddressAtCapacity);
        }
        of_address.connections += 1;
        self.total.connections += 1;
        Ok(())
    }

    /// A connection of an address is closed.
    pub fn release_connection(&mut self, address: u64) {
        self.total.connections = self.total.connections.saturating_sub(1);
        self.reduce(address, |usage| usage.connections = usage.connections.saturating_sub(1));
    }

    /// Admits `bytes` more of a body that have come or were announced, beyond the `received` ones that it holds.
    pub fn acquire_bytes(&mut self, address: u64, received: usize, bytes: usize) -> Result<(), IngressError> {
        if received.saturating_add(bytes) > self.max_body {
            return Err(IngressError::TooLarge);
        }
        if self.total.bytes + bytes > self.max_bytes {
            return Err(IngressError::AtCapacity);
        }
        let share = (self.max_bytes as f64 * MAX_ADDRESS_SHARE) as usize;
        let max_of_address = share.max(self.max_body);
        let of_address = self.by_address.entry(address).or_default();
        if of_address.bytes + bytes > max_of_address {
            return Err(IngressError::AddressAtCapacity);
        }
        of_address.bytes += bytes;
        self.total.bytes += bytes;
        Ok(())
    }

    /// A body was parsed or dropped.
    pub fn release_bytes(&mut self, address: u64, bytes: usize) {
        self.total.bytes = self.total.bytes.saturating_sub(bytes);
        self.reduce(address, |usage| usage.bytes = usage.bytes.saturating_sub(bytes));
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.total.connections
    }

    /// Bytes of bodies that are held.
    pub fn bytes(&self) -> usize {
        self.total.bytes
    }

    fn reduce(&mut self, address: u64, change: impl FnOnce(&mut Usage)) {
        if let Some(usage) = self.by_address.get_mut(&address) {
            change(usage);
            if usage.connections == 0 && usage.bytes == 0 {
                self.by_address.remove(&address);
            }
        }
    }
}
