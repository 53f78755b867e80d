//! Entries of a CSV file with named columns.

use crate::entry::{Entry, FIELDS, REQUIRED_FIELDS};
use crate::problem::Problem;
use std::path::Path;

/// Files with more entries are a mistake, not a fleet.
const MAX_ENTRIES: usize = 100_000;

/// The entries of a CSV text. Columns with unknown names are skipped.
pub(crate) fn csv_entries(file: &Path, text: &str) -> Result<Vec<Entry>, Problem> {
    let mut reader =
        csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text.as_bytes());
    let to_problem = |error| csv_problem(file, &error);
    let columns = columns(reader.headers().map_err(to_problem)?);
    if let Some(missing) = REQUIRED_FIELDS.iter().find(|field| !columns.contains(&Some(**field))) {
        return Err(Problem::in_file(file, "no column has this name").at_line(1).of_field(missing));
    }
    let mut entries = Vec::new();
    for record in reader.records() {
        let entry = entry(&columns, &record.map_err(to_problem)?);
        let line = entry.line;
        entries.push(entry);
        if entries.len() > MAX_ENTRIES {
            return Err(Problem::in_file(file, "has more entries than any fleet").at_line(line));
        }
    }
    // A file cut in the middle of its last line may still parse.
    if !text.ends_with('\n') {
        return Err(Problem::in_file(file, "does not end with a line end: is the file whole?"));
    }
    Ok(entries)
}

/// For each column its field, if any.
fn columns(headers: &csv::StringRecord) -> Vec<Option<&'static str>> {
    headers.iter().map(|name| FIELDS.iter().copied().find(|field| *field == name)).collect()
}

fn entry(columns: &[Option<&'static str>], record: &csv::StringRecord) -> Entry {
    let line = record.position().map_or(0, |position| position.line());
    let named = columns.iter().zip(record).filter_map(|(name, text)| Some(((*name)?, text.to_owned())));
    Entry { line, fields: named.collect() }
}

fn csv_problem(file: &Path, error: &csv::Error) -> Problem {
    let message = match error.kind() {
        csv::ErrorKind::UnequalLengths { expected_len, len, .. } => {
            format!("has {len} columns where the first line names {expected_len}: is the file whole?")
        }
        _ => error.to_string(),
    };
    Problem::in_file(file, message).at_line(error.position().map(|position| position.line()))
}
