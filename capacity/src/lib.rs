//! What the decisions cost and how they behave at the size of the whole service, without sockets.
//!
//! [`slopes`] measures one gateway over growing fleets; [`gateway`] is the gateway that it measures, shared with the
//! benchmark in `benches/`. [`fleet`] simulates all gateways before all model servers in virtual time. [`inventory`]
//! generates endpoint lists, [`limits`] rejects what would not fit this machine, [`report`] prints.

pub mod fit;
pub mod fleet;
pub mod gateway;
pub mod inventory;
pub mod limits;
pub mod report;
pub mod slopes;
