//! Reads settings files.

use crate::decode::decode;
use crate::evaluation::evaluate;
use crate::problem::Problem;
use crate::settings::Settings;
use std::path::Path;

const SCHEMA: &str = include_str!("schema.ncl");
/// The contract of the schema that a settings file must satisfy.
const CONTRACT: &str = "Gateway";

/// Reads a settings file. Relative paths in the file are relative to its folder.
///
/// # Errors
/// Returns every problem that was found.
pub fn read(file: &Path) -> Result<Settings, Vec<Problem>> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        vec![Problem { file: file.to_owned(), field: None, message: format!("can't be read: {error}") }]
    })?;
    read_text(file, &text)
}

/// Reads settings from `text` as if `text` were the content of `file`.
///
/// # Errors
/// Returns every problem that was found.
pub fn read_text(file: &Path, text: &str) -> Result<Settings, Vec<Problem>> {
    let record = evaluate(file, text, SCHEMA, CONTRACT).map_err(|problem| vec![problem])?;
    decode(file, record)
}
