//! Who may come in: connections, and bytes of requests that are not whole yet.
//!
//! Before a request is understood it has no traffic type and no utility; all that can be told apart is the address
//! it comes from. So one address gets a part of what there is, and what is there bounds memory for certain.

use std::collections::BTreeMap;

/// One address may hold this part of the connections and of the bytes, but never fewer than `FEW`.
const ONE_ADDRESS: f64 = 0.5;
const FEW: usize = 64;
/// Bytes of bodies in all, as so many of the largest ones.
const BODIES: usize = 64;

#[derive(Debug, Default, Clone, Copy)]
struct Inside {
    connections: usize,
    bytes: usize,
}

#[derive(Debug)]
pub struct IngressLimits {
    most_connections: usize,
    most_bytes: usize,
    largest: usize,
    all: Inside,
    by_address: BTreeMap<u64, Inside>,
}

/// Why the door stays shut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IngressError {
    /// This one body is larger than any may be.
    TooLarge,
    /// There is no room now.
    AtCapacity,
    /// This address has its part already.
    AddressAtCapacity,
}

impl IngressLimits {
    pub fn new(connections: usize, largest_body: usize) -> Self {
        Self::bounded(connections, largest_body, largest_body.saturating_mul(BODIES))
    }

    /// With so many bytes of bodies in all, where memory is small.
    pub fn bounded(connections: usize, largest_body: usize, most_bytes: usize) -> Self {
        IngressLimits {
            most_connections: connections,
            most_bytes,
            largest: largest_body,
            all: Inside::default(),
            by_address: BTreeMap::new(),
        }
    }

    pub fn acquire_connection(&mut self, address: u64) -> Result<(), IngressError> {
        if self.all.connections >= self.most_connections {
            return Err(IngressError::AtCapacity);
        }
        let part = ((self.most_connections as f64 * ONE_ADDRESS) as usize).max(FEW);
        let own = self.by_address.entry(address).or_default();
        if own.connections >= part {
            return Err(IngressError::AddressAtCapacity);
        }
        own.connections += 1;
        self.all.connections += 1;
        Ok(())
    }

    pub fn release_connection(&mut self, address: u64) {
        self.all.connections = self.all.connections.saturating_sub(1);
        self.change(address, |own| own.connections = own.connections.saturating_sub(1));
    }

    /// More bytes of a body have come, or its length was told; `so_far` are those it holds already.
    pub fn acquire_bytes(&mut self, address: u64, so_far: usize, bytes: usize) -> Result<(), IngressError> {
        if so_far.saturating_add(bytes) > self.largest {
            return Err(IngressError::TooLarge);
        }
        if self.all.bytes + bytes > self.most_bytes {
            return Err(IngressError::AtCapacity);
        }
        let part = ((self.most_bytes as f64 * ONE_ADDRESS) as usize).max(self.largest);
        let own = self.by_address.entry(address).or_default();
        if own.bytes + bytes > part {
            return Err(IngressError::AddressAtCapacity);
        }
        own.bytes += bytes;
        self.all.bytes += bytes;
        Ok(())
    }

    /// A body is understood or dropped.
    pub fn release_bytes(&mut self, address: u64, bytes: usize) {
        self.all.bytes = self.all.bytes.saturating_sub(bytes);
        self.change(address, |own| own.bytes = own.bytes.saturating_sub(bytes));
    }

    pub fn connections(&self) -> usize {
        self.all.connections
    }

    pub fn bytes(&self) -> usize {
        self.all.bytes
    }

    fn change(&mut self, address: u64, change: impl FnOnce(&mut Inside)) {
        if let Some(own) = self.by_address.get_mut(&address) {
            change(own);
            if own.connections == 0 && own.bytes == 0 {
                self.by_address.remove(&address);
            }
        }
    }
}
