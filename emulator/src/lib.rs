//! Emulated model servers, written for this project from the published interfaces of serving engines.
//!
//! [`model`] is a model server without I/O or clock: slots, queue, memory, prefix cache, speed, warm-up, faults.
//! [`server`] serves it on a socket and records what it observes there in a [`record`]. [`platform`] emulates the
//! operators' platform, its servers and its discovery.

pub mod model;
pub mod platform;
pub mod profile;
pub mod record;
pub mod server;
