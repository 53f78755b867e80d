//! Parses the entries of a CSV file whose first line names the columns.

use crate::entry::{Entry, FIELDS, REQUIRED_FIELDS};
use crate::problem::Problem;
use std::path::Path;

/// The maximum number of entries in a file. No fleet is larger, so a larger file is a mistake.
const MAX_ENTRIES: usize = 100_000;

/// Returns the entries of a CSV text. Columns with unknown names are skipped.
pub(crate) fn csv_entries(file: &Path, text: &str) -> Result<Vec<Entry>, Problem> {
    let mut reader =
        csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text.as_bytes());
    let to_problem = |error| csv_problem(file, &error);
    let columns = columns(reader.headers().map_err(to_problem)?);
    if let Some(missing) = REQUIRED_FIELDS.iter().find(|field| !columns.contains(&Some(**field))) {
        return Err(Problem::in_file(file, "the header line lacks this required column")
            .at_line(1)
            .of_field(missing));
    }
    let mut entries = Vec::new();
    for record in reader.records() {
        let entry = entry(&columns, &record.map_err(to_problem)?);
        let line = entry.line;
        entries.push(entry);
        if entries.len() > MAX_ENTRIES {
            return Err(Problem::in_file(file, format!("has more than {MAX_ENTRIES} entries")).at_line(line));
        }
    }
    // A file that is truncated within its last line may still parse.
    if !text.ends_with('\n') {
        return Err(Problem::in_file(file, "does not end with a line end: is the file whole?"));
    }
    Ok(entries)
}

/// Returns the field that each column stands for, or `None` for a column with an unknown name.
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
            format!("has {len} columns but the header line has {expected_len}: is the file whole?")
        }
        _ => error.to_string(),
    };
    Problem::in_file(file, message).at_line(error.position().map(|position| position.line()))
}
