//! Why an endpoint list was not taken.

use petrelshore_inventory::{Problem, SuspiciousChange};
use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why an endpoint list was not taken; the one before stays.
#[derive(Debug)]
pub enum ReloadError {
    /// The name of the file tells no format that is known here.
    UnknownFormat {
        /// The inventory.
        file: PathBuf,
    },
    /// The file could not be read.
    Unreadable {
        /// The inventory.
        file: PathBuf,
        /// Why not.
        error: io::Error,
    },
    /// Its text is not valid.
    Invalid(Vec<Problem>),
    /// It is valid, and differs too much from the list before to be believed.
    Implausible(SuspiciousChange),
}

impl fmt::Display for ReloadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReloadError::UnknownFormat { file } => write!(f, "{}: is neither .csv nor .yaml", file.display()),
            ReloadError::Unreadable { file, error } => write!(f, "{}: {error}", file.display()),
            ReloadError::Invalid(problems) => {
                let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
                f.write_str(&lines.join("; "))
            }
            ReloadError::Implausible(change) => change.fmt(f),
        }
    }
}

impl std::error::Error for ReloadError {}
