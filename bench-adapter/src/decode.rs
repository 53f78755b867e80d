//! Lines of the wire, field by field. What is malformed is named, never guessed.

use petrelshore::interface::*;
use petrelshore_platform_protocol::load_report::{self, Field};
use std::str::FromStr;

pub type Malformed = String;

/// One line: a message's kind and its fields. A text field runs to the end of the line.
pub struct Line<'a> {
    pub kind: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

const TEXT_FIELDS: [&str; 2] = ["options", "message"];

impl<'a> Line<'a> {
    pub fn split(text: &'a str) -> Result<Self, Malformed> {
        let (kind, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let (name, after) =
                rest.split_once('=').ok_or_else(|| format!("{kind}: '{rest}' is not name=value"))?;
            if name.is_empty() || name.contains(' ') {
                return Err(format!("{kind}: '{name}' is not name=value"));
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

    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|(field, _)| *field == name).map(|(_, value)| *value)
    }

    pub fn need(&self, name: &str) -> Result<&'a str, Malformed> {
        self.text(name).ok_or_else(|| format!("{}: field {name} is missing", self.kind))
    }

    pub fn wrong(&self, name: &str, value: &str) -> Malformed {
        format!("{}: field {name} is malformed or out of range: '{value}'", self.kind)
    }

    pub fn parsed<T: FromStr>(&self, name: &str) -> Result<Option<T>, Malformed> {
        self.text(name).map(|value| value.parse().map_err(|_| self.wrong(name, value))).transpose()
    }

    pub fn whole<T: FromStr>(&self, name: &str) -> Result<T, Malformed> {
        let value = self.need(name)?;
        value.parse().map_err(|_| self.wrong(name, value))
    }

    pub fn number(&self, name: &str) -> Result<Option<f64>, Malformed> {
        let number = self.parsed::<f64>(name)?;
        match number {
            Some(value) if !value.is_finite() || value < 0.0 => Err(self.wrong(name, self.need(name)?)),
            other => Ok(other),
        }
    }

    pub fn amount(&self, name: &str) -> Result<f64, Malformed> {
        self.number(name)?.ok_or_else(|| format!("{}: field {name} is missing", self.kind))
    }

    pub fn flag(&self, name: &str) -> Result<bool, Malformed> {
        match self.text(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.wrong(name, value)),
        }
    }

    /// An id of 16 hex digits.
    pub fn hex(&self, name: &str) -> Result<Option<u64>, Malformed> {
        let Some(value) = self.text(name) else { return Ok(None) };
        let digits = value.len() == 16 && value.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = u64::from_str_radix(value, 16).ok().filter(|_| digits);
        id.map(Some).ok_or_else(|| self.wrong(name, value))
    }

    pub fn ticket(&self) -> Result<SequenceId, Malformed> {
        self.hex("ticket")?.map(SequenceId).ok_or_else(|| format!("{}: field ticket is missing", self.kind))
    }

    /// Where a name stands among those of the settings.
    pub fn index(&self, name: &str, known: &[String]) -> Result<usize, Malformed> {
        let value = self.need(name)?;
        known.iter().position(|k| k == value).ok_or_else(|| self.wrong(name, value))
    }

    pub fn report(&self, fields: &[Field]) -> Result<Option<LoadReport>, Malformed> {
        let Some(row) = self.text("healthInfo").filter(|_| !fields.is_empty()) else { return Ok(None) };
        load_report::decode_row(row, fields).map(Some).ok_or_else(|| self.wrong("healthInfo", row))
    }
}
