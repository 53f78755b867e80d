//! A model server's load report.

use crate::error::DecodeError;
use crate::json::{invalid, string, strings};
use petrelshore::interface::LoadReport;
use serde_json::Value;

/// What a field of the reports measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// The share of memory in use.
    MemoryShare,
    /// Prompt tokens waiting to be prefilled or fetched, in thousands.
    QueuedThousands,
    /// Requests in flight.
    InFlight,
    /// Something that the scheduler has no use for, or that is unknown.
    Other,
}

/// A field of the reports.
#[derive(Clone, Debug)]
pub struct Field {
    /// Its name on the wire.
    pub name: String,
    /// What it measures.
    pub measure: Measure,
}

/// The fields of reports, each with what the settings say that it measures; none where no loads are reported.
///
/// # Errors
/// The first setting of reports that is missing or malformed.
pub fn fields(settings: &Value) -> Result<Vec<Field>, DecodeError> {
    match string(settings, "report.how")? {
        "inline" | "on_probe" => {}
        "off" => return Ok(Vec::new()),
        _ => return Err(invalid("report.how", &settings["report"]["how"])),
    }
    let names = strings(settings, "report.fields")?.into_iter();
    names.map(|name| Ok(Field { measure: measure(settings, &name)?, name })).collect()
}

fn measure(settings: &Value, field: &str) -> Result<Measure, DecodeError> {
    let meaning = match field {
        "x0" => string(settings, "specifics.reportX0")?,
        "x1" => string(settings, "specifics.reportX1")?,
        "inflight" | "outstanding" => return Ok(Measure::InFlight),
        _ => return Ok(Measure::Other),
    };
    Ok(match meaning {
        "share of memory that is held" => Measure::MemoryShare,
        "thousands of prompt tokens waiting to be read or fetched" => Measure::QueuedThousands,
        _ => Measure::Other,
    })
}

/// Decodes a row of values in the order that the settings give. What can't be read is no report.
pub fn decode_row(row: &str, fields: &[Field]) -> Option<LoadReport> {
    let values: Vec<f64> = row.split(',').map(str::parse).collect::<Result<_, _>>().ok()?;
    if values.len() != fields.len() {
        return None;
    }
    report(fields.iter().map(|field| field.measure).zip(values))
}

/// Decodes `name=value` pairs, as answers carry them. What can't be read is no report.
pub fn decode_pairs(text: &str, fields: &[Field]) -> Option<LoadReport> {
    let pairs = text.split(',').map(|pair| {
        let (name, value) = pair.trim().split_once('=')?;
        let known = fields.iter().find(|field| field.name == name)?;
        Some((known.measure, value.parse().ok()?))
    });
    report(pairs.collect::<Option<Vec<_>>>()?)
}

fn report(values: impl IntoIterator<Item = (Measure, f64)>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (measure, value) in values {
        if !value.is_finite() {
            return None;
        }
        match measure {
            Measure::MemoryShare => report.memory_share = Some(value.max(0.0)),
            Measure::QueuedThousands => report.queued_prompt_tokens = Some(value.max(0.0) * 1000.0),
            Measure::InFlight => report.in_flight = Some(value.max(0.0)),
            Measure::Other => {}
        }
    }
    Some(report)
}

#[cfg(test)]
mod tests;
