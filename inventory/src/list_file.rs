//! Reads endpoint lists from the files that configuration tools write: CSV with named columns, or YAML.

use crate::csv_entries::csv_entries;
use crate::endpoint_list::EndpointList;
use crate::entry_validation::validate;
use crate::problem::Problem;
use crate::yaml_entries::yaml_entries;
use std::path::Path;

/// The format of an inventory file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// CSV whose first line names the columns.
    Csv,
    /// YAML: a mapping with the sequence `servers`.
    Yaml,
}

impl Format {
    /// Returns the format that the extension of the file name indicates, or `None` for any other extension.
    pub fn from_path(file: &Path) -> Option<Format> {
        match file.extension()?.to_str()?.to_ascii_lowercase().as_str() {
            "csv" => Some(Format::Csv),
            "yaml" | "yml" => Some(Format::Yaml),
            _ => None,
        }
    }
}

/// Reads a complete list, or returns every problem that was found in the file. `kinds` are the names of the server
/// kinds that the settings define.
pub fn read_list(
    file: &Path,
    format: Format,
    text: &str,
    kinds: &[String],
) -> Result<EndpointList, Vec<Problem>> {
    let entries = match format {
        Format::Csv => csv_entries(file, text),
        Format::Yaml => yaml_entries(file, text),
    };
    validate(file, kinds, &entries.map_err(|problem| vec![problem])?)
}
