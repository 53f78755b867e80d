//! What was wrong with a message, in one line that names the field.

use std::error::Error;
use std::fmt;

/// What was wrong with a configuration, its settings, or an endpoint list.
#[derive(Debug)]
pub enum DecodeError {
    /// The text is not JSON.
    Json(serde_json::Error),
    /// A field is not there.
    Missing {
        /// The field's path.
        path: String,
    },
    /// A field has another form than it should, or a value out of range.
    Invalid {
        /// The field's path.
        path: String,
        /// The value as JSON.
        value: String,
    },
    /// An entry of a list is malformed.
    Entry {
        /// The list's path.
        list: String,
        /// The entry's index in it.
        index: usize,
        /// What is wrong with the entry.
        error: Box<DecodeError>,
    },
}

impl DecodeError {
    /// The same error of an entry of a list.
    pub(crate) fn in_entry(self, list: &str, index: usize) -> Self {
        DecodeError::Entry { list: list.to_owned(), index, error: Box::new(self) }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Json(error) => error.fmt(f),
            DecodeError::Missing { path } => write!(f, "setting {path} is missing"),
            DecodeError::Invalid { path, value } => {
                write!(f, "setting {path} is malformed or out of range: {value}")
            }
            DecodeError::Entry { list, index, error } => write!(f, "{list}[{index}]: {error}"),
        }
    }
}

impl Error for DecodeError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            DecodeError::Json(error) => Some(error),
            DecodeError::Entry { error, .. } => Some(error),
            DecodeError::Missing { .. } | DecodeError::Invalid { .. } => None,
        }
    }
}

/// What a message quotes of a client's value is cut to so many characters.
const MAX_QUOTED_CHARS: usize = 40;

/// What was wrong with the head of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestHeadError {
    /// A header is not there, can't be read, or came twice.
    Missing {
        /// The header's name.
        header: &'static str,
    },
    /// A header has another form than it should, or a value out of range.
    Invalid {
        /// The header's name.
        header: &'static str,
        /// The beginning of its value.
        value: String,
    },
}

impl RequestHeadError {
    pub(crate) fn invalid(header: &'static str, value: &str) -> Self {
        RequestHeadError::Invalid { header, value: value.chars().take(MAX_QUOTED_CHARS).collect() }
    }
}

impl fmt::Display for RequestHeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestHeadError::Missing { header } => {
                write!(f, "{header} is missing, unreadable, or came twice")
            }
            RequestHeadError::Invalid { header, value } => {
                write!(f, "{header} is malformed or out of range: '{value}'")
            }
        }
    }
}

impl Error for RequestHeadError {}
