//! Splits the lines of the wire into fields and parses the fields. An error names the malformed field.

use crate::error::WireError;
use petrelshore::interface::{LoadReport, SequenceId};
use petrelshore_platform_protocol::load_report::{self, Field};
use std::str::FromStr;

/// The fields whose value extends to the end of the line, spaces included.
const TEXT_FIELDS: [&str; 2] = ["options", "message"];

/// One line of the wire: the kind of the message and the names and values of its fields.
pub(crate) struct Line<'a> {
    pub(crate) kind: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line into its fields.
    pub(crate) fn split(text: &'a str) -> Result<Self, WireError> {
        let (kind, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        let not_name_value =
            |text: &str| WireError::NotNameValue { message: kind.to_owned(), text: text.to_owned() };
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let (name, after) = rest.split_once('=').ok_or_else(|| not_name_value(rest))?;
            if name.is_empty() || name.contains(' ') {
                return Err(not_name_value(name));
            }
            if TEXT_FIELDS.contains(&name) {
                fields.push((name, after));
                break;
            }
            let (value, next) = after.split_once(' ').unwrap_or((after, ""));
            fields.push((name, value));
            rest = next;
        }
        Ok(Line { kind, fields })
    }

    /// Returns the text of a field; `None` if the field is missing.
    pub(crate) fn text(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(field, _)| *field == name).map(|(_, value)| *value)
    }

    /// Returns the text of a required field.
    pub(crate) fn required(&self, name: &'static str) -> Result<&'a str, WireError> {
        self.text(name).ok_or_else(|| self.missing(name))
    }

    fn missing(&self, field: &'static str) -> WireError {
        WireError::Missing { message: self.kind.to_owned(), field }
    }

    /// Returns the error for a value that is malformed or out of range.
    pub(crate) fn invalid(&self, field: &'static str, value: &str) -> WireError {
        WireError::Invalid { message: self.kind.to_owned(), field, value: value.to_owned() }
    }

    /// Returns the error for a number that the field does not allow.
    pub(crate) fn out_of_range(&self, field: &'static str, value: impl ToString) -> WireError {
        WireError::OutOfRange { message: self.kind.to_owned(), field, value: value.to_string() }
    }

    /// Parses the value of a field; `None` if the field is missing.
    pub(crate) fn parsed<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, WireError> {
        self.text(name).map(|value| value.parse().map_err(|_| self.invalid(name, value))).transpose()
    }

    /// Parses the value of a required field.
    pub(crate) fn parsed_required<T: FromStr>(&self, name: &'static str) -> Result<T, WireError> {
        let value = self.required(name)?;
        value.parse().map_err(|_| self.invalid(name, value))
    }

    /// Parses a finite number that is not negative; `None` if the field is missing.
    pub(crate) fn number(&self, name: &'static str) -> Result<Option<f64>, WireError> {
        let number = self.parsed::<f64>(name)?;
        match number {
            Some(value) if !value.is_finite() || value < 0.0 => Err(self.invalid(name, self.required(name)?)),
            other => Ok(other),
        }
    }

    /// Parses a required finite number that is not negative.
    pub(crate) fn number_required(&self, name: &'static str) -> Result<f64, WireError> {
        self.number(name)?.ok_or_else(|| self.missing(name))
    }

    /// Parses a flag, which is `0` or `1`; false if the field is missing.
    pub(crate) fn flag(&self, name: &'static str) -> Result<bool, WireError> {
        match self.text(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.invalid(name, value)),
        }
    }

    /// Parses an id of 16 lowercase hexadecimal digits; `None` if the field is missing.
    pub(crate) fn hex_id(&self, name: &'static str) -> Result<Option<u64>, WireError> {
        let Some(value) = self.text(name) else { return Ok(None) };
        let digits = value.len() == 16 && value.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = u64::from_str_radix(value, 16).ok().filter(|_| digits);
        id.map(Some).ok_or_else(|| self.invalid(name, value))
    }

    /// Parses the id of the sequence that the message refers to.
    pub(crate) fn sequence(&self) -> Result<SequenceId, WireError> {
        self.hex_id("ticket")?.map(SequenceId).ok_or_else(|| self.missing("ticket"))
    }

    /// Returns the index of the name in a required field among the known names.
    pub(crate) fn index_of_name(&self, name: &'static str, known: &[String]) -> Result<usize, WireError> {
        let value = self.required(name)?;
        known.iter().position(|known| known == value).ok_or_else(|| self.invalid(name, value))
    }

    /// Decodes the load report of the line; `None` if the line has no report, or if the settings list no report fields.
    pub(crate) fn load_report(&self, fields: &[Field]) -> Result<Option<LoadReport>, WireError> {
        let Some(row) = self.text("healthInfo").filter(|_| !fields.is_empty()) else { return Ok(None) };
        load_report::decode_row(row, fields).map(Some).ok_or_else(|| self.invalid("healthInfo", row))
    }
}
