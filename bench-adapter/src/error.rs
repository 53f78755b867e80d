//! The errors that stop the adapter: malformed input, or pipes that fail.

use petrelshore_platform_protocol::DecodeError;
use std::error::Error;
use std::fmt;

/// An error in the input. The adapter never guesses the meaning of malformed input.
#[derive(Debug)]
pub(crate) enum WireError {
    /// A part of a line does not have the form `name=value`.
    NotNameValue { message: String, text: String },
    /// A required field is missing.
    Missing { message: String, field: &'static str },
    /// A field's value is malformed or out of range.
    Invalid { message: String, field: &'static str, value: String },
    /// A field's value is a number that the field does not allow.
    OutOfRange { message: String, field: &'static str, value: String },
    /// The options of a gateway are not valid JSON.
    Options(serde_json::Error),
    /// The options of a gateway are not valid settings.
    Settings(DecodeError),
    /// A message addresses an instance that is not configured.
    UnknownInstance { message: String, instance: u64 },
    /// The names of two servers have the same id.
    AmbiguousServer { name: String },
    /// A batch begins with a message other than `SYNC`.
    NotABatch { message: String },
    /// An entry of an endpoint list is a message other than `SERVER`.
    NotAnEntry { message: String },
    /// The kind of a message is unknown.
    UnknownMessage { message: String },
    /// The input ended within a line.
    TruncatedLine,
    /// The input ended within a batch.
    TruncatedBatch,
    /// The input could not be read.
    Input(std::io::Error),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::NotNameValue { message, text } => {
                write!(f, "{message}: '{text}' does not have the form name=value")
            }
            WireError::Missing { message, field } => write!(f, "{message}: field {field} is missing"),
            WireError::Invalid { message, field, value } => {
                write!(f, "{message}: field {field} is malformed or out of range: '{value}'")
            }
            WireError::OutOfRange { message, field, value } => {
                write!(f, "{message}: field {field} is out of range: '{value}'")
            }
            WireError::Options(error) => write!(f, "CONFIGURE: field options: {error}"),
            WireError::Settings(error) => write!(f, "CONFIGURE: {error}"),
            WireError::UnknownInstance { message, instance } => {
                write!(f, "{message}: field i: instance {instance} is not configured")
            }
            WireError::AmbiguousServer { name } => {
                write!(f, "SERVER: field server: the id of '{name}' is also the id of another server's name")
            }
            WireError::NotABatch { message } => {
                write!(f, "a batch has to begin with SYNC, not with '{message}'")
            }
            WireError::NotAnEntry { message } => {
                write!(f, "MEMBERS: an entry has to begin with SERVER, not with '{message}'")
            }
            WireError::UnknownMessage { message } => {
                write!(f, "'{message}' is not a message that a gateway accepts")
            }
            WireError::TruncatedLine => f.write_str("the input ended within a line"),
            WireError::TruncatedBatch => f.write_str("the input ended within a batch"),
            WireError::Input(error) => error.fmt(f),
        }
    }
}

impl Error for WireError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            WireError::Options(error) => Some(error),
            WireError::Settings(error) => Some(error),
            WireError::Input(error) => Some(error),
            _ => None,
        }
    }
}

/// The reason why the adapter stops before its input ends.
#[derive(Debug)]
pub(crate) enum AdapterError {
    /// The input is malformed, or could not be read, at this line. Line numbers begin with 1.
    Input { line: usize, error: WireError },
    /// The replies could not be written.
    Output(std::io::Error),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Input { line, error } => write!(f, "line {line}: {error}"),
            AdapterError::Output(error) => write!(f, "standard output: {error}"),
        }
    }
}

impl Error for AdapterError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            AdapterError::Input { error, .. } => Some(error),
            AdapterError::Output(error) => Some(error),
        }
    }
}
