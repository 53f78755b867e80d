//! What is wrong with an inventory file.

use std::fmt;
use std::path::{Path, PathBuf};

/// What is wrong with an endpoint list, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file as the caller named it.
    pub file: PathBuf,
    /// The line, where one is at fault.
    pub line: Option<u64>,
    /// The field, where one is at fault.
    pub field: Option<&'static str>,
    /// The finding in words.
    pub message: String,
}

impl Problem {
    /// A problem of the whole file.
    pub(crate) fn in_file(file: &Path, message: impl Into<String>) -> Self {
        Problem { file: file.to_owned(), line: None, field: None, message: message.into() }
    }

    /// The same problem at a line, where that is known.
    pub(crate) fn at_line(self, line: impl Into<Option<u64>>) -> Self {
        Problem { line: line.into(), ..self }
    }

    /// The same problem of a field.
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
