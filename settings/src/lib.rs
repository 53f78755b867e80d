//! Reads the settings of a gateway, checks them, and decodes them once into typed records.
//!
//! A settings file is a Nickel record, which is checked against the contracts in `schema.ncl`. This package checks the
//! constraints over several fields. Invalid settings are never replaced by a guess: an error names the file, and the
//! field or the line.

mod decode;
mod evaluation;
mod problem;
mod records;
mod rules;
mod settings;
mod settings_file;

pub use evaluation::evaluate;
pub use problem::Problem;
pub use settings::{Limits, Settings, Traffic};
pub use settings_file::{read, read_text};
