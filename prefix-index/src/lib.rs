//! Which model server has which prompt prefix cached, as the servers' own cache events report.
//!
//! [`index`] stores it block by block; [`event_feed`] puts one server's batches of events in order and says when its
//! reports can't be relied on; [`trust`] compares what was promised with what prefills found. No I/O and no clock.
//!
//! A block is identified by a hash that is chained over all blocks before it, so that it stands for a whole prefix.

pub mod event_feed;
pub mod index;
mod server_sets;
pub mod trust;

/// Identifies a block of a prompt and everything before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockHash(pub u64);
