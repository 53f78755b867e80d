//! Input by lines, counted for messages about what is malformed.

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

    /// The number of the line that was read last, counted from one.
    pub(crate) fn number(&self) -> usize {
        self.number
    }

    /// The next line; none where the input has ended.
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

    /// The next line of a batch, which ends with a line of its own.
    pub(crate) fn next_in_batch(&mut self) -> Result<String, WireError> {
        self.next()?.ok_or(WireError::TruncatedBatch)
    }
}
