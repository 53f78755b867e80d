//! From a settings file to settings.

use crate::decode::decode;
use crate::evaluation::evaluate;
use crate::problem::Problem;
use crate::settings::Settings;
use std::path::Path;

const SCHEMA: &str = include_str!("schema.ncl");
/// The schema's contract for a gateway's settings.
const CONTRACT: &str = "Gateway";

/// Reads a settings file. Relative paths in it are relative to its folder.
///
/// # Errors
/// Every problem that was found.
pub fn read(file: &Path) -> Result<Settings, Vec<Problem>> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        vec![Problem { file: file.to_owned(), field: None, message: format!("can't be read: {error}") }]
    })?;
    read_text(file, &text)
}

/// Reads settings from a text, as if it stood in `file`.
///
/// # Errors
/// Every problem that was found.
pub fn read_text(file: &Path, text: &str) -> Result<Settings, Vec<Problem>> {
    let record = evaluate(file, text, SCHEMA, CONTRACT).map_err(|problem| vec![problem])?;
    decode(file, record)
}
