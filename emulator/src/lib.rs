//! Emulated model servers, written for this project from the published interfaces of serving engines.
//!
//! [`model`] models a model server without I/O or clock: slots, queue, memory, prefix cache, speed, warm-up, faults.
//! [`server`] serves the model on a socket and writes the observed requests and responses to a [`record`].
//! [`platform`] emulates the model servers and the discovery agent of the operators' platform.

pub mod model;
pub mod platform;
pub mod profile;
pub mod record;
pub mod server;
