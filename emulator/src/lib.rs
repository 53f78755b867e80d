//! Stand-in model servers, written for this project from the published interfaces of serving engines.
//!
//! [`model`] is a box without I/O or clock: slots, queue, memory, kept texts, paces, cold start, faults. [`server`]
//! puts it on a socket and writes down what passed there.

pub mod model;
pub mod platform;
pub mod record;
pub mod server;
