//! Problems of a settings file.

use std::fmt;
use std::path::PathBuf;

/// A problem of a settings file, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The path of the file, as given by the caller.
    pub file: PathBuf,
    /// The path of the invalid field, if the problem is in a single field.
    pub field: Option<String>,
    /// A message of one line, or the evaluator's report with the place in the file.
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
