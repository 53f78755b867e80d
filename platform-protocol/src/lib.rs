//! What the operators' platform sends, as the scheduler's types. No I/O and no clock.
//!
//! [`settings`] reads the settings object, for the platform's gateway and the bench adapter alike; [`config`] the file
//! that a gateway starts from, [`endpoint_list`] discovery's lists, [`request_head`] the head of a client's request,
//! [`load_report`] a model server's report. What is malformed is named in a typed error, never guessed.

pub mod config;
pub mod endpoint_list;
mod error;
mod json;
pub mod load_report;
pub mod request_head;
pub mod settings;
pub mod tenants;

pub use error::{DecodeError, RequestHeadError};
