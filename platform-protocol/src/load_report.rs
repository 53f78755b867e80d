//! Decodes the load reports of model servers.

use crate::error::DecodeError;
use crate::json::{invalid, string, strings};
use petrelshore::interface::LoadReport;
use serde_json::Value;

/// The quantity that a field of load reports measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// The share of the server's KV cache memory that is in use.
    MemoryShare,
    /// The number of prompt tokens that wait to be prefilled or fetched, in thousands.
    QueuedThousands,
    /// The number of requests in flight.
    InFlight,
    /// A quantity that the scheduler does not use or does not know.
    Other,
}

/// A field of load reports.
#[derive(Clone, Debug)]
pub struct Field {
    /// The name of the field on the wire.
    pub name: String,
    /// The quantity that the field measures.
    pub measure: Measure,
}

/// Returns the fields of load reports, each with the quantity that the settings state for it. The result is empty if
/// servers report no load.
///
/// # Errors
/// Returns an error for the first missing or malformed setting of load reports.
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

/// Decodes a report that consists of values alone, in the order of `fields`. Returns `None` if any value is malformed.
pub fn decode_row(row: &str, fields: &[Field]) -> Option<LoadReport> {
    let values: Vec<f64> = row.split(',').map(str::parse).collect::<Result<_, _>>().ok()?;
    if values.len() != fields.len() {
        return None;
    }
    report(fields.iter().map(|field| field.measure).zip(values))
}

/// Decodes a report that consists of `name=value` pairs, as in a header of an answer. Returns `None` if any pair is
/// malformed or has an unknown name.
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
