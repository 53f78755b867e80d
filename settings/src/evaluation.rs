//! Evaluates a Nickel text and checks the result against a contract.

use crate::problem::Problem;
use nickel_lang_core::error::report::{ColorOpt, report_as_str};
use nickel_lang_core::eval::cache::CacheImpl;
use nickel_lang_core::program::{Program, ProgramBuilder};
use serde::de::DeserializeOwned;
use std::fmt;
use std::path::{Path, PathBuf};

/// The stack size of the evaluation thread. The evaluation of nested records needs a deep stack.
const STACK_BYTES: usize = 64 << 20;

/// The reason why a text does not evaluate to a record of the contract. The evaluator's own errors stay on its thread;
/// only their messages are returned.
#[derive(Debug)]
enum EvaluationError {
    /// The thread could not be started.
    Thread(std::io::Error),
    /// The evaluator could not load the text.
    Program(String),
    /// The evaluation failed or the text violates the contract. Contains a report with the place in the text.
    Report(String),
    /// The record cannot be deserialized, although it satisfies the contract.
    Record(String),
    /// The evaluator panicked.
    Panic,
}

impl fmt::Display for EvaluationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EvaluationError::Thread(error) => error.fmt(f),
            EvaluationError::Program(message)
            | EvaluationError::Report(message)
            | EvaluationError::Record(message) => f.write_str(message),
            EvaluationError::Panic => f.write_str("the evaluator panicked on this file"),
        }
    }
}

impl std::error::Error for EvaluationError {}

/// A text to evaluate.
struct Source {
    /// The text with the contract applied.
    text: String,
    /// The name of the file in reports.
    name: String,
    /// The folder in which imports are looked up.
    folder: PathBuf,
}

impl Source {
    fn new(file: &Path, text: &str, schema: &str, contract: &str) -> Self {
        // The schema is joined into one line, and the text begins on that line, so that reports give the line numbers
        // of the text. Comment lines are removed, since a comment would extend to the end of the joined line.
        let schema: Vec<&str> = schema.lines().filter(|line| !line.trim_start().starts_with('#')).collect();
        Source {
            text: format!("let schema = {} in ({text}\n) | schema.{contract}", schema.join(" ")),
            name: file.display().to_string(),
            folder: file.parent().unwrap_or(Path::new("")).to_owned(),
        }
    }

    fn evaluate<T: DeserializeOwned>(self) -> Result<T, EvaluationError> {
        let builder = ProgramBuilder::new()
            .add_source_string(self.text.as_str(), self.name)
            .add_import_paths([self.folder]);
        let mut program: Program<CacheImpl> =
            builder.build().map_err(|error| EvaluationError::Program(error.to_string()))?;
        match program.eval_full_for_export() {
            Ok(value) => T::deserialize(value).map_err(|error| EvaluationError::Record(error.to_string())),
            Err(error) => {
                let report = report_as_str(&mut program.files(), error, ColorOpt::Never);
                Err(EvaluationError::Report(report))
            }
        }
    }
}

/// Evaluates `text` as a Nickel record and checks it against the contract `contract` of `schema`. Imports are relative
/// to the folder of `file`.
///
/// # Errors
/// Returns the evaluator's report, with the place in the text.
pub fn evaluate<T>(file: &Path, text: &str, schema: &str, contract: &str) -> Result<T, Problem>
where
    T: DeserializeOwned + Send + 'static,
{
    let source = Source::new(file, text, schema, contract);
    evaluate_on_thread(source).map_err(|error| Problem {
        file: file.to_owned(),
        field: None,
        message: error.to_string(),
    })
}

/// Evaluates on a thread with a deep stack, because a nested file could overflow the stack of the caller.
fn evaluate_on_thread<T>(source: Source) -> Result<T, EvaluationError>
where
    T: DeserializeOwned + Send + 'static,
{
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(move || source.evaluate());
    let thread = thread.map_err(EvaluationError::Thread)?;
    thread.join().unwrap_or(Err(EvaluationError::Panic))
}
