//! What the operators' platform tells, in the types of the decisions. No I/O and no clock.
//!
//! [`settings`] reads the settings object, for the platform's gateway and the simulator's drill alike; [`config`]
//! the file that a gateway starts from, [`list`] discovery's lists, [`request`] the head of a client's request,
//! [`load`] a model server's report. What is malformed is named, never guessed.

pub mod config;
pub mod list;
pub mod load;
pub mod request;
pub mod settings;
pub mod tenants;

/// What was wrong, in one line that names the field.
pub type Malformed = String;
