//! A randomized fault-injection test of `petrelshore platform` processes, checked by observations on their sockets.
//!
//! A run simulates the clients, model servers, discovery agents and network links of real gateway processes on
//! loopback, injects faults that overlap in time, and records its observations. The [`oracle`] checks the rules against
//! this record and uses no other input.

mod client;
mod discovery;
mod fault;
mod gateway_config;
mod message;
pub mod oracle;
mod process;
mod random;
pub mod record;
mod report;
mod run;
mod server;
pub mod shim;
pub mod testbed;

pub use report::{FaultPair, Report};
pub use run::{Plan, run};
