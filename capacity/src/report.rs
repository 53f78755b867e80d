//! Rows as a table for people, or as one JSON object a line.

use serde::Serialize;
use serde_json::Value;
use std::io::Write;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Table,
    Json,
}

/// Prints rows of one kind as they come; a table's head comes before its first row.
pub struct Printer {
    form: Form,
    columns: Vec<String>,
}

const WIDTH: usize = 14;

impl Printer {
    pub fn new(form: Form) -> Self {
        Printer { form, columns: Vec::new() }
    }

    /// Prints one row. Its fields are the columns.
    pub fn row(&mut self, row: &impl Serialize) {
        let Ok(Value::Object(fields)) = serde_json::to_value(row) else { return };
        if self.form == Form::Json {
            return line(&Value::Object(fields).to_string());
        }
        let columns: Vec<String> = fields.keys().cloned().collect();
        if columns != self.columns {
            line("");
            line(&columns.iter().map(|name| format!("{name:>WIDTH$}")).collect::<Vec<_>>().join(" "));
            self.columns = columns;
        }
        let cells: Vec<String> = fields.values().map(|value| format!("{:>WIDTH$}", cell(value))).collect();
        line(&cells.join(" "));
    }
}

/// Writes a line. Where nobody reads any more, nothing is owed to anybody: the rest is dropped.
fn line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn cell(value: &Value) -> String {
    match value {
        Value::Number(number) if number.is_f64() => format!("{:.3}", number.as_f64().unwrap_or_default()),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
