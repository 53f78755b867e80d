//! The reason for rejecting an inventory.

use petrelshore_inventory::{Problem, SuspiciousChange};
use std::fmt;
use std::io;
use std::path::PathBuf;

/// The reason for rejecting an inventory. The previous endpoint list stays in use.
#[derive(Debug)]
pub enum ReloadError {
    /// The file name has no extension of a supported format.
    UnknownFormat {
        /// The inventory.
        file: PathBuf,
    },
    /// The file could not be read.
    Unreadable {
        /// The inventory.
        file: PathBuf,
        /// The error of the read.
        error: io::Error,
    },
    /// The text of the inventory is invalid.
    Invalid(Vec<Problem>),
    /// The inventory is valid, but differs so much from the previous list that it is probably wrong.
    Implausible(SuspiciousChange),
}

impl fmt::Display for ReloadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReloadError::UnknownFormat { file } => write!(f, "{}: not a .csv or .yaml file", file.display()),
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
