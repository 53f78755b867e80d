//! Typed access to the fields of a JSON value. A path consists of keys with dots between them.

use crate::error::DecodeError;
use petrelshore::interface::Nanos;
use serde_json::Value;

/// Integers from this limit on are rejected as mistakes: the sum of two times must not overflow.
const INTEGER_LIMIT: Nanos = u64::MAX / 8;

/// Returns the value at a path.
pub(crate) fn value_at<'a>(value: &'a Value, path: &str) -> Result<&'a Value, DecodeError> {
    let found = path.split('.').try_fold(value, |value, key| value.get(key));
    found.ok_or_else(|| DecodeError::Missing { path: path.to_owned() })
}

/// Returns the error for a value that is malformed or out of range.
pub(crate) fn invalid(path: &str, value: &Value) -> DecodeError {
    DecodeError::Invalid { path: path.to_owned(), value: value.to_string() }
}

/// Returns the non-negative integer at a path: a time in nanoseconds or a count.
pub(crate) fn integer(value: &Value, path: &str) -> Result<Nanos, DecodeError> {
    let value = value_at(value, path)?;
    value.as_u64().filter(|&number| number < INTEGER_LIMIT).ok_or_else(|| invalid(path, value))
}

/// Returns the finite, non-negative number at a path.
pub(crate) fn number(value: &Value, path: &str) -> Result<f64, DecodeError> {
    let value = value_at(value, path)?;
    non_negative(value).ok_or_else(|| invalid(path, value))
}

/// Returns the value as a finite, non-negative number, or `None` if the value is anything else.
pub(crate) fn non_negative(value: &Value) -> Option<f64> {
    value.as_f64().filter(|number| number.is_finite() && *number >= 0.0)
}

/// Returns the boolean at a path.
pub(crate) fn boolean(value: &Value, path: &str) -> Result<bool, DecodeError> {
    let value = value_at(value, path)?;
    value.as_bool().ok_or_else(|| invalid(path, value))
}

/// Returns the string at a path.
pub(crate) fn string<'a>(value: &'a Value, path: &str) -> Result<&'a str, DecodeError> {
    let value = value_at(value, path)?;
    value.as_str().ok_or_else(|| invalid(path, value))
}

/// Returns the array at a path.
pub(crate) fn array<'a>(value: &'a Value, path: &str) -> Result<&'a [Value], DecodeError> {
    let value = value_at(value, path)?;
    value.as_array().map(Vec::as_slice).ok_or_else(|| invalid(path, value))
}

/// Returns the array of strings at a path.
pub(crate) fn strings(value: &Value, path: &str) -> Result<Vec<String>, DecodeError> {
    let to_string = |entry: &Value| entry.as_str().map(str::to_owned).ok_or_else(|| invalid(path, entry));
    array(value, path)?.iter().map(to_string).collect()
}

/// Decodes each entry of the array at `path`. An error names the index of the entry.
pub(crate) fn decode_each<T>(
    path: &str,
    entries: &[Value],
    decode: impl Fn(&Value) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError> {
    let decode = |(index, entry)| decode(entry).map_err(|error| error.in_entry(path, index));
    entries.iter().enumerate().map(decode).collect()
}
