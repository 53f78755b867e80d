//! Why the adapter stops: input that is malformed, or pipes that fail.

use petrelshore_platform_protocol::DecodeError;
use std::error::Error;
use std::fmt;

/// What is wrong with the input. Nothing malformed is guessed at.
#[derive(Debug)]
pub(crate) enum WireError {
    /// A part of a line is not a field.
    NotNameValue { message: String, text: String },
    /// A field is not there.
    Missing { message: String, field: &'static str },
    /// A field has another form than it should, or a value out of range.
    Invalid { message: String, field: &'static str, value: String },
    /// A number is one that has no meaning here.
    OutOfRange { message: String, field: &'static str, value: String },
    /// The options of a gateway are not JSON.
    Options(serde_json::Error),
    /// The options of a gateway are not settings.
    Settings(DecodeError),
    /// A message is for an instance that was never configured.
    UnknownInstance { message: String, instance: u64 },
    /// Two servers' names have the same id.
    AmbiguousServer { name: String },
    /// A batch begins with another message.
    NotABatch { message: String },
    /// An endpoint list has an entry of another kind.
    NotAnEntry { message: String },
    /// The message is unknown.
    UnknownMessage { message: String },
    /// The input ended within a line.
    TruncatedLine,
    /// The input ended within a batch.
    TruncatedBatch,
    /// The input can't be read.
    Input(std::io::Error),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::NotNameValue { message, text } => write!(f, "{message}: '{text}' is not name=value"),
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
                write!(f, "SERVER: field server: '{name}' cannot be told from another name")
            }
            WireError::NotABatch { message } => write!(f, "a batch begins with SYNC, not '{message}'"),
            WireError::NotAnEntry { message } => {
                write!(f, "MEMBERS: an entry begins with SERVER, not '{message}'")
            }
            WireError::UnknownMessage { message } => write!(f, "'{message}' is not a message of this wire"),
            WireError::TruncatedLine => f.write_str("the line is cut short"),
            WireError::TruncatedBatch => f.write_str("the batch is cut short"),
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

/// Why the adapter stops before its input ends.
#[derive(Debug)]
pub(crate) enum AdapterError {
    /// The input is malformed in this line, counted from one.
    Input { line: usize, error: WireError },
    /// The replies can't be written.
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
