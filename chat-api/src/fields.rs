//! Typed access to the optional fields of a JSON object. A field with the value null counts as absent.

use petrelshore_ingress::error::RequestError;
use serde_json::{Map, Value};

/// The fields of a JSON object.
pub type Fields = Map<String, Value>;

/// Reads an optional integer of at least `min` and at most `max`.
pub fn integer(fields: &Fields, name: &str, min: u64, max: u64) -> Result<Option<u64>, RequestError> {
    let Some(value) = present(fields, name) else { return Ok(None) };
    match value.as_u64().filter(|number| (min..=max).contains(number)) {
        Some(number) => Ok(Some(number)),
        None => {
            let message = format!("'{name}' must be a whole number of {min} or more");
            Err(RequestError::invalid_field(name, message))
        }
    }
}

/// Reads an optional boolean; an absent field is false.
pub fn boolean(fields: &Fields, name: &str) -> Result<bool, RequestError> {
    match present(fields, name) {
        None => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(RequestError::invalid_field(name, format!("'{name}' must be true or false"))),
    }
}

/// Reads an optional string.
pub fn string<'a>(fields: &'a Fields, name: &str) -> Result<Option<&'a str>, RequestError> {
    match present(fields, name) {
        None => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(RequestError::invalid_field(name, format!("'{name}' must be a string"))),
    }
}

/// Returns the value of a field, or `None` if the field is absent or null.
pub fn present<'a>(fields: &'a Fields, name: &str) -> Option<&'a Value> {
    fields.get(name).filter(|value| !value.is_null())
}
