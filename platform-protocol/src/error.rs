//! Errors for malformed input. Each message is one line that names the field, the header, or the position of a JSON
//! error.

use std::error::Error;
use std::fmt;

/// An error in a configuration file, its settings, or an endpoint list.
#[derive(Debug)]
pub enum DecodeError {
    /// The text is not JSON.
    Json(serde_json::Error),
    /// A field is missing.
    Missing {
        /// The path of the field, with dots between its keys.
        path: String,
    },
    /// The value of a field is malformed or out of range.
    Invalid {
        /// The path of the field, with dots between its keys.
        path: String,
        /// The value as JSON.
        value: String,
    },
    /// An entry of a list is malformed.
    Entry {
        /// The path of the list.
        list: String,
        /// The index of the entry in the list, from 0.
        index: usize,
        /// The error in the entry.
        error: Box<DecodeError>,
    },
}

impl DecodeError {
    /// Adds the list and the index of the entry in which the error occurred.
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

/// The maximum number of characters that an error message quotes of a client's header value.
const MAX_QUOTED_CHARS: usize = 40;

/// An error in the head of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestHeadError {
    /// A header is missing, is not readable as text, or occurs more than once.
    Missing {
        /// The name of the header.
        header: &'static str,
    },
    /// The value of a header is malformed or out of range.
    Invalid {
        /// The name of the header.
        header: &'static str,
        /// The beginning of the value.
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
