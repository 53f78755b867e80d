//! Prints rows as a table or as one JSON object per line.

use serde::Serialize;
use serde_json::Value;
use std::io::Write;

/// The output format of rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// A table with columns of fixed width.
    Table,
    /// One JSON object per line.
    Json,
}

/// Prints each row as soon as it is measured. A table has a header line before the first row of each set of columns.
pub struct Printer {
    format: Format,
    columns: Vec<String>,
}

/// The width of a table column, in characters.
const COLUMN_WIDTH: usize = 14;

impl Printer {
    /// Creates a printer that has printed nothing yet.
    pub fn new(format: Format) -> Self {
        Printer { format, columns: Vec::new() }
    }

    /// Prints one row. The fields of `row` are the columns.
    pub fn print_row(&mut self, row: &impl Serialize) {
        let Ok(Value::Object(fields)) = serde_json::to_value(row) else { return };
        if self.format == Format::Json {
            return print_line(&Value::Object(fields).to_string());
        }
        let columns: Vec<String> = fields.keys().cloned().collect();
        if columns != self.columns {
            print_line("");
            print_line(
                &columns.iter().map(|name| format!("{name:>COLUMN_WIDTH$}")).collect::<Vec<_>>().join(" "),
            );
            self.columns = columns;
        }
        let cells: Vec<String> =
            fields.values().map(|value| format!("{:>COLUMN_WIDTH$}", format_cell(value))).collect();
        print_line(&cells.join(" "));
    }
}

/// Writes a line to standard output. A write error, such as a pipe that its reader has closed, is ignored.
fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Number(number) if number.is_f64() => format!("{:.3}", number.as_f64().unwrap_or_default()),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
