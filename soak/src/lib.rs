//! Randomized faults against `petrelshore platform` processes, judged by what was observed on their sockets.
//!
//! One run provides clients, model servers, discovery and the network for real gateway processes on loopback, injects
//! faults that overlap in time, and judges by the record of what was observed: [`oracle`] uses nothing else.

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
