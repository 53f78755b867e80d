//! Limits the connections of clients, and the bytes of request bodies that have not been parsed yet.
//!
//! A request has no traffic type and no priority until it is parsed; only its client's address is known. So each
//! address is limited to a share of the total, and the limit on the total bounds memory.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

/// Share of the maximum connections, and of the maximum bytes, that one address may hold.
const MAX_ADDRESS_SHARE: f64 = 0.5;
/// The minimum limit on the connections of one address, however small its share is.
const MIN_CONNECTIONS_PER_ADDRESS: usize = 64;
/// The maximum size of all bodies together, as a multiple of the maximum size of one body.
const MAX_BODIES: usize = 64;

#[derive(Debug, Default, Clone, Copy)]
struct Usage {
    connections: usize,
    bytes: usize,
}

/// The connections and body bytes that clients hold at an ingress, with their limits.
#[derive(Debug)]
pub struct IngressLimits {
    max_connections: usize,
    max_bytes: usize,
    max_body: usize,
    total: Usage,
    by_address: BTreeMap<u64, Usage>,
}

/// The reason why a connection or further bytes of a body are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IngressError {
    /// The body exceeds the size limit of one body.
    TooLarge,
    /// The ingress has reached its limit for all addresses together.
    AtCapacity,
    /// The address has reached its share of the limit.
    AddressAtCapacity,
}

impl fmt::Display for IngressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            IngressError::TooLarge => "the body exceeds the size limit",
            IngressError::AtCapacity => "the ingress is at capacity",
            IngressError::AddressAtCapacity => "the address has reached its share of the ingress capacity",
        })
    }
}

impl Error for IngressError {}

impl IngressLimits {
    /// Creates limits of `max_connections` connections and of `max_body` bytes for each body.
    pub fn new(max_connections: usize, max_body: usize) -> Self {
        Self::bounded(max_connections, max_body, max_body.saturating_mul(MAX_BODIES))
    }

    /// Like [`IngressLimits::new`], but with `max_bytes` for all bodies together, for gateways with little memory.
    pub fn bounded(max_connections: usize, max_body: usize, max_bytes: usize) -> Self {
        IngressLimits {
            max_connections,
            max_bytes,
            max_body,
            total: Usage::default(),
            by_address: BTreeMap::new(),
        }
    }

    /// Admits a connection from an address.
    pub fn acquire_connection(&mut self, address: u64) -> Result<(), IngressError> {
        if self.total.connections >= self.max_connections {
            return Err(IngressError::AtCapacity);
        }
        let share = (self.max_connections as f64 * MAX_ADDRESS_SHARE) as usize;
        let max_per_address = share.max(MIN_CONNECTIONS_PER_ADDRESS);
        let address_usage = self.by_address.entry(address).or_default();
        if address_usage.connections >= max_per_address {
            return Err(IngressError::AddressAtCapacity);
        }
        address_usage.connections += 1;
        self.total.connections += 1;
        Ok(())
    }

    /// Records that a connection from an address was closed.
    pub fn release_connection(&mut self, address: u64) {
        self.total.connections = self.total.connections.saturating_sub(1);
        self.reduce(address, |usage| usage.connections = usage.connections.saturating_sub(1));
    }

    /// Admits `bytes` further bytes of a body, received or announced, in addition to the `admitted` bytes of that body.
    pub fn acquire_bytes(&mut self, address: u64, admitted: usize, bytes: usize) -> Result<(), IngressError> {
        if admitted.saturating_add(bytes) > self.max_body {
            return Err(IngressError::TooLarge);
        }
        if self.total.bytes + bytes > self.max_bytes {
            return Err(IngressError::AtCapacity);
        }
        let share = (self.max_bytes as f64 * MAX_ADDRESS_SHARE) as usize;
        let max_per_address = share.max(self.max_body);
        let address_usage = self.by_address.entry(address).or_default();
        if address_usage.bytes + bytes > max_per_address {
            return Err(IngressError::AddressAtCapacity);
        }
        address_usage.bytes += bytes;
        self.total.bytes += bytes;
        Ok(())
    }

    /// Records that a body of `bytes` bytes was parsed or dropped.
    pub fn release_bytes(&mut self, address: u64, bytes: usize) {
        self.total.bytes = self.total.bytes.saturating_sub(bytes);
        self.reduce(address, |usage| usage.bytes = usage.bytes.saturating_sub(bytes));
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.total.connections
    }

    /// Number of body bytes that are held, of all clients.
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
