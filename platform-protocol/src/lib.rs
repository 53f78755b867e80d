//! Decodes the data of the operators' platform into the scheduler's types. The decoders do no I/O and read no clock.
//!
//! - [`config`]: the configuration file of a gateway.
//! - [`settings`]: the settings object, which the platform's gateway and the bench adapter share.
//! - [`endpoint_list`]: the endpoint lists that discovery serves.
//! - [`tenants`]: the ids of the tenants by name.
//! - [`request_head`]: the head of a client's request.
//! - [`load_report`]: the load reports of model servers.
//!
//! Malformed input is rejected and never guessed at. A malformed load report decodes to `None`. For other malformed
//! input the decoders return a typed error that names the field or header.

pub mod config;
pub mod endpoint_list;
mod error;
mod json;
pub mod load_report;
pub mod request_head;
pub mod settings;
pub mod tenants;

pub use error::{DecodeError, RequestHeadError};
