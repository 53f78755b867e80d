//! Measures the cost of scheduling decisions and simulates their effect at the size of the whole service, without
//! sockets.
//!
//! [`slopes`] measures one gateway with fleets of growing size, and [`fit`] fits a line to the measurements.
//! [`gateway`] contains the measured gateway, which the benchmark in `benches/` uses too. [`fleet`] simulates all
//! gateways and all model servers in virtual time. [`inventory`] generates deployments and endpoint lists, [`limits`]
//! rejects sizes that do not fit this machine, and [`report`] prints the results.

pub mod fit;
pub mod fleet;
pub mod gateway;
pub mod inventory;
pub mod limits;
pub mod report;
pub mod slopes;
