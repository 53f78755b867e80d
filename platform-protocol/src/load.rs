//! A model server's report of its load.

use crate::Malformed;
use crate::settings::{word, words, wrong};
use petrelshore::interface::LoadReport;
use serde_json::Value;

/// What a field of the reports tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    MemoryShare,
    QueuedThousands,
    InFlight,
    /// Something that the decisions have no use for, or do not know.
    Other,
}

#[derive(Clone, Debug)]
pub struct Field {
    pub name: String,
    pub measure: Measure,
}

/// The fields of reports, each for what the settings say that it is; none where no loads are told.
pub fn fields(settings: &Value) -> Result<Vec<Field>, Malformed> {
    match word(settings, "report.how")? {
        "inline" | "on_probe" => {}
        "off" => return Ok(Vec::new()),
        _ => return Err(wrong("report.how", &settings["report"]["how"])),
    }
    let measure = |name: &str| -> Result<Measure, Malformed> {
        let means = match name {
            "x0" => word(settings, "specifics.reportX0")?,
            "x1" => word(settings, "specifics.reportX1")?,
            "inflight" | "outstanding" => return Ok(Measure::InFlight),
            _ => return Ok(Measure::Other),
        };
        Ok(match means {
            "share of memory that is held" => Measure::MemoryShare,
            "thousands of prompt tokens waiting to be read or fetched" => Measure::QueuedThousands,
            _ => Measure::Other,
        })
    };
    let names = words(settings, "report.fields")?.into_iter();
    names.map(|name| Ok(Field { measure: measure(&name)?, name })).collect()
}

/// A row of values in the order that the settings give.
pub fn row(row: &str, fields: &[Field]) -> Option<LoadReport> {
    let values: Vec<f64> = row.split(',').map(str::parse).collect::<Result<_, _>>().ok()?;
    let named = fields.iter().map(|field| field.measure).zip(values.iter().copied());
    (values.len() == fields.len()).then(|| report(named))?
}

/// `name=value` pairs, as answers carry them. What can't be read is no report.
pub fn pairs(text: &str, fields: &[Field]) -> Option<LoadReport> {
    let pairs = text.split(',').map(|pair| {
        let (name, value) = pair.trim().split_once('=')?;
        let known = fields.iter().find(|field| field.name == name)?;
        Some((known.measure, value.parse().ok()?))
    });
    report(pairs.collect::<Option<Vec<_>>>()?.into_iter())
}

fn report(values: impl Iterator<Item = (Measure, f64)>) -> Option<LoadReport> {
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
