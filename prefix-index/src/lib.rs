//! Tracks which model server has which prompt prefix cached, based on the cache events that the servers report.
//!
//! [`index`] maps each block to the servers that have it cached. [`event_feed`] puts the event batches of one server in
//! order and tells when the index of that server may be wrong. [`trust`] compares the cached tokens that the index
//! predicts with the cached tokens that prefills find. The package does no I/O and reads no clock.
//!
//! The hash of a block covers the block and all blocks before it, so that a block hash identifies a whole prefix.

pub mod event_feed;
pub mod index;
mod server_sets;
pub mod trust;

/// The hash of a block of a prompt and all blocks before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockHash(pub u64);
