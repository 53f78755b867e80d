//! Randomized faults against `petrelshore platform` processes, judged by what passed on their sockets.
//!
//! One run plays clients, model servers, discovery and the network for real gateway processes on loopback, brings
//! troubles that overlap in time, and judges by the record of what passed: [`oracle`] knows nothing else.

pub mod agent;
pub mod chance;
pub mod client;
pub mod message;
pub mod oracle;
pub mod process;
pub mod record;
mod run;
pub mod server;
pub mod shim;
pub mod trouble;
pub mod world;

pub use run::{Plan, Report, run};
