//! What the decisions cost and how they behave at the size of the whole service, without sockets.
//!
//! [`slopes`] measures one gateway over growing fleets; [`warm`] is the gateway that it measures, shared with the
//! benchmark in `benches/`. [`fleet`] plays all gateways before all model servers in virtual time. [`inventory`] makes the lists of servers, [`limits`] refuses what would not fit this
//! machine, [`report`] prints.

pub mod fit;
pub mod fleet;
pub mod inventory;
pub mod limits;
pub mod report;
pub mod slopes;
pub mod warm;
