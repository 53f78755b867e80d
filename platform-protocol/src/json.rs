//! Typed access to the fields of a JSON value by dotted paths.

use crate::error::DecodeError;
use petrelshore::interface::Nanos;
use serde_json::Value;

/// Integers from here on are taken for mistakes: sums of two times must not overflow.
const MAX_NANOS: Nanos = u64::MAX / 8;

/// The value at a path.
pub(crate) fn at<'a>(value: &'a Value, path: &str) -> Result<&'a Value, DecodeError> {
    let found = path.split('.').try_fold(value, |value, key| value.get(key));
    found.ok_or_else(|| DecodeError::Missing { path: path.to_owned() })
}

/// The error for a value that does not fit its field.
pub(crate) fn invalid(path: &str, value: &Value) -> DecodeError {
    DecodeError::Invalid { path: path.to_owned(), value: value.to_string() }
}

/// A time in nanoseconds, or another count.
pub(crate) fn nanos(value: &Value, path: &str) -> Result<Nanos, DecodeError> {
    let value = at(value, path)?;
    value.as_u64().filter(|&number| number < MAX_NANOS).ok_or_else(|| invalid(path, value))
}

/// A finite number that is not negative.
pub(crate) fn number(value: &Value, path: &str) -> Result<f64, DecodeError> {
    let value = at(value, path)?;
    non_negative(value).ok_or_else(|| invalid(path, value))
}

/// A finite number that is not negative, where the value is one.
pub(crate) fn non_negative(value: &Value) -> Option<f64> {
    value.as_f64().filter(|number| number.is_finite() && *number >= 0.0)
}

/// A boolean.
pub(crate) fn boolean(value: &Value, path: &str) -> Result<bool, DecodeError> {
    let value = at(value, path)?;
    value.as_bool().ok_or_else(|| invalid(path, value))
}

/// A string.
pub(crate) fn string<'a>(value: &'a Value, path: &str) -> Result<&'a str, DecodeError> {
    let value = at(value, path)?;
    value.as_str().ok_or_else(|| invalid(path, value))
}

/// An array.
pub(crate) fn array<'a>(value: &'a Value, path: &str) -> Result<&'a [Value], DecodeError> {
    let value = at(value, path)?;
    value.as_array().map(Vec::as_slice).ok_or_else(|| invalid(path, value))
}

/// An array of strings.
pub(crate) fn strings(value: &Value, path: &str) -> Result<Vec<String>, DecodeError> {
    let to_string = |entry: &Value| entry.as_str().map(str::to_owned).ok_or_else(|| invalid(path, entry));
    array(value, path)?.iter().map(to_string).collect()
}

/// What each entry of an array decodes to; an error is reported with the entry's index.
pub(crate) fn decode_each<T>(
    path: &str,
    entries: &[Value],
    decode: impl Fn(&Value) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError> {
    let decode = |(index, entry)| decode(entry).map_err(|error| error.in_entry(path, index));
    entries.iter().enumerate().map(decode).collect()
}
