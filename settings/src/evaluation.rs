//! Evaluation of a Nickel text, checked by a contract.

use crate::problem::Problem;
use nickel_lang_core::error::report::{ColorOpt, report_as_str};
use nickel_lang_core::eval::cache::CacheImpl;
use nickel_lang_core::program::{Program, ProgramBuilder};
use serde::de::DeserializeOwned;
use std::fmt;
use std::path::{Path, PathBuf};

/// Evaluation needs a deep stack for nested records.
const STACK_BYTES: usize = 64 << 20;

/// Why a text does not evaluate to a record of the contract. The evaluator's own errors stay on its thread, and only
/// their words leave it.
#[derive(Debug)]
enum EvaluationError {
    /// The thread could not be started.
    Thread(std::io::Error),
    /// The evaluator could not take the text.
    Program(String),
    /// The text or the contract is at fault; a report with the place.
    Report(String),
    /// The record has another form than the contract promises.
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
            EvaluationError::Panic => f.write_str("the evaluator gave up on this file"),
        }
    }
}

impl std::error::Error for EvaluationError {}

/// A text that is to be evaluated.
struct Source {
    /// The text with the contract applied.
    text: String,
    /// The file's name in reports.
    name: String,
    /// Where imports are looked up.
    folder: PathBuf,
}

impl Source {
    fn new(file: &Path, text: &str, schema: &str, contract: &str) -> Self {
        // On one line with the text's own first, so that reports name the text's own lines.
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

/// Evaluates a text as a Nickel record, checked by the contract `contract` of a schema.
///
/// # Errors
/// What the evaluator finds, with its place in the text.
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

/// Evaluates on a thread with a deep stack: a nested file must not overflow the caller's.
fn evaluate_on_thread<T>(source: Source) -> Result<T, EvaluationError>
where
    T: DeserializeOwned + Send + 'static,
{
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(move || source.evaluate());
    let thread = thread.map_err(EvaluationError::Thread)?;
    thread.join().unwrap_or(Err(EvaluationError::Panic))
}
