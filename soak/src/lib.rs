//! Randomized faults against `petrelshore platform` processes, judged by what passed on their sockets.
//!
//! One run plays clients, model servers, discovery and the network for real gateway processes on loopback, brings
//! troubles that overlap in time, and judges by the record of what passed: [`oracle`] knows nothing else.

pub mod client;
pub mod discovery;
pub mod fault;
pub mod message;
pub mod oracle;
pub mod process;
pub mod random;
pub mod record;
mod run;
pub mod server;
pub mod shim;
pub mod world;

pub use run::{Plan, Report, run};
