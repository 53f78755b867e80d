//! A problem found in an inventory file.

use std::fmt;
use std::path::{Path, PathBuf};

/// A problem found in an inventory file, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The path of the file, as passed by the caller.
    pub file: PathBuf,
    /// The line, unless the problem concerns the whole file or its line is unknown.
    pub line: Option<u64>,
    /// The field, if the problem concerns a single field.
    pub field: Option<&'static str>,
    /// A description of the problem.
    pub message: String,
}

impl Problem {
    /// Creates a problem that concerns the whole file.
    pub(crate) fn in_file(file: &Path, message: impl Into<String>) -> Self {
        Problem { file: file.to_owned(), line: None, field: None, message: message.into() }
    }

    /// Sets the line of the problem, or clears it if the line is unknown.
    pub(crate) fn at_line(self, line: impl Into<Option<u64>>) -> Self {
        Problem { line: line.into(), ..self }
    }

    /// Sets the field that the problem concerns.
    pub(crate) fn of_field(self, field: &'static str) -> Self {
        Problem { field: Some(field), ..self }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(field) = self.field {
            write!(f, ": field {field}")?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for Problem {}
