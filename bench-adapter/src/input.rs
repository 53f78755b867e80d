//! Reads the input line by line and counts the lines, for error messages.

use crate::error::WireError;
use std::io::BufRead;

/// The lines of an input.
pub(crate) struct Lines<R> {
    input: R,
    number: usize,
}

impl<R: BufRead> Lines<R> {
    pub(crate) fn new(input: R) -> Self {
        Lines { input, number: 0 }
    }

    /// Returns the number of the line that was read last. Line numbers begin with 1.
    pub(crate) fn number(&self) -> usize {
        self.number
    }

    /// Reads the next line; `None` if the input has ended.
    pub(crate) fn next(&mut self) -> Result<Option<String>, WireError> {
        let mut text = String::new();
        self.number += 1;
        match self.input.read_line(&mut text) {
            Ok(0) => Ok(None),
            Ok(_) if !text.ends_with('\n') => Err(WireError::TruncatedLine),
            Ok(_) => {
                text.truncate(text.trim_end_matches(['\n', '\r']).len());
                Ok(Some(text))
            }
            Err(error) => Err(WireError::Input(error)),
        }
    }

    /// Reads the next line of a batch. The end of the input is an error, because the line `GO` has to end the batch.
    pub(crate) fn next_in_batch(&mut self) -> Result<String, WireError> {
        self.next()?.ok_or(WireError::TruncatedBatch)
    }
}
