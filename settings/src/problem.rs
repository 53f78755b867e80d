//! What is wrong with a settings file.

use std::fmt;
use std::path::PathBuf;

/// What is wrong with a settings file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file as the caller named it.
    pub file: PathBuf,
    /// The field's path, where one is at fault.
    pub field: Option<String>,
    /// One line, or for the evaluator's findings a report with the place.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file.display())?;
        if let Some(field) = &self.field {
            write!(f, "field {field}: ")?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for Problem {}
