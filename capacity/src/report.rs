//! Rows as a table for people, or as one JSON object a line.

use serde::Serialize;
use serde_json::Value;
use std::io::Write;

/// How rows are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// A table for people.
    Table,
    /// One JSON object a line.
    Json,
}

/// Prints rows as they are measured; a table's head precedes its first row.
pub struct Printer {
    format: Format,
    columns: Vec<String>,
}

/// The width of a table's columns.
const COLUMN_WIDTH: usize = 14;

impl Printer {
    /// A printer that has printed nothing yet.
    pub fn new(format: Format) -> Self {
        Printer { format, columns: Vec::new() }
    }

    /// Prints one row. Its fields are the columns.
    pub fn row(&mut self, row: &impl Serialize) {
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
            fields.values().map(|value| format!("{:>COLUMN_WIDTH$}", cell(value))).collect();
        print_line(&cells.join(" "));
    }
}

/// Writes a line. Where the reader has closed the pipe the output is dropped.
fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn cell(value: &Value) -> String {
    match value {
        Value::Number(number) if number.is_f64() => format!("{:.3}", number.as_f64().unwrap_or_default()),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
