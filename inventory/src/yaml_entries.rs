//! Parses the entries of a YAML file: a mapping with the sequence `servers`.

use crate::entry::{Entry, FIELDS};
use crate::problem::Problem;
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::path::Path;

#[derive(Deserialize)]
struct YamlFile {
    servers: Vec<Spanned<YamlServer>>,
}

#[derive(Deserialize)]
struct YamlServer {
    name: Option<String>,
    address: Option<String>,
    kind: Option<String>,
    cell: Option<String>,
    zone: Option<String>,
    weight: Option<f64>,
    state: Option<String>,
}

/// Returns the entries of a YAML text. Unknown fields are skipped.
pub(crate) fn yaml_entries(file: &Path, text: &str) -> Result<Vec<Entry>, Problem> {
    let parsed: YamlFile = serde_saphyr::from_str(text).map_err(|error| {
        let line = error.location().map(|location| location.line());
        let message = error.to_string();
        Problem::in_file(file, message.lines().next().unwrap_or("is not valid YAML")).at_line(line)
    })?;
    Ok(parsed.servers.into_iter().map(entry).collect())
}

fn entry(server: Spanned<YamlServer>) -> Entry {
    let line = server.referenced.line();
    let YamlServer { name, address, kind, cell, zone, weight, state } = server.value;
    let weight = weight.map(|weight| weight.to_string());
    // The values are in the order of `FIELDS`.
    let values = [name, address, kind, cell, zone, weight, state];
    let named = FIELDS.iter().zip(values).filter_map(|(name, value)| Some((*name, value?)));
    Entry { line, fields: named.collect() }
}
