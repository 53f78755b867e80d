//! The settings of a gateway as typed records: read, checked by contracts, and decoded once.
//!
//! A settings file is a Nickel record, checked against the contracts in `schema.ncl`; constraints over several fields are
//! checked here. Nothing is guessed: an error names the file, and the field or the line.

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
