//! Which model server still holds which prompt prefix, as the servers' own cache events tell.
//!
//! [`index`] holds it, block by block; [`feed`] puts one server's batches of events in order and says when what it
//! tells can't be relied on; [`trust`] sets what was promised against what reads found. No I/O and no clock.
//!
//! A block is named by a hash that is chained over all before it, so that a name stands for a whole prefix.

pub mod feed;
pub mod index;
pub mod trust;

/// Names a block of a prompt and everything before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockHash(pub u64);
