//! Parsing of server-sent events, in bounded memory.

/// The maximum size of the data of one event, and of a line whose end has not been received. The parser buffers at most
/// twice this size of unparsed bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// An incremental parser that splits a byte stream, received in parts of any size, into the data of its events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: Vec<u8>,
    /// Offset in `buffer` at which the next line starts.
    line_start: usize,
    /// Offset in `buffer` up to which line ends were searched.
    searched: usize,
    /// The data lines of the current event that were parsed so far.
    data: String,
    /// True if the current event has a data line.
    has_data: bool,
}

/// The error of an event that exceeds the maximum size or is not valid UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidEvent;

impl std::fmt::Display for InvalidEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("event is too large or not valid UTF-8")
    }
}

impl std::error::Error for InvalidEvent {}

impl EventParser {
    /// Adds the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), InvalidEvent> {
        if self.line_start > 0 {
            self.buffer.drain(..self.line_start);
            self.searched -= self.line_start;
            self.line_start = 0;
        }
        if self.buffer.len() + bytes.len() > 2 * MAX_EVENT_BYTES {
            return Err(InvalidEvent);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the data of the next complete event, or `None` if further bytes are needed.
    pub fn next_event(&mut self) -> Result<Option<String>, InvalidEvent> {
        while let Some(length) = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n') {
            let end = self.searched + length;
            let line = &self.buffer[self.line_start..end];
            let line =
                std::str::from_utf8(line.strip_suffix(b"\r").unwrap_or(line)).map_err(|_| InvalidEvent)?;
            if line.is_empty() {
                if self.has_data {
                    (self.line_start, self.searched, self.has_data) = (end + 1, end + 1, false);
                    return Ok(Some(std::mem::take(&mut self.data)));
                }
            } else if let Some(data) = line.strip_prefix("data:") {
                if self.has_data {
                    self.data.push('\n');
                }
                self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
                self.has_data = true;
            }
            if self.data.len() > MAX_EVENT_BYTES {
                return Err(InvalidEvent);
            }
            (self.line_start, self.searched) = (end + 1, end + 1);
        }
        self.searched = self.buffer.len();
        if self.buffer.len() - self.line_start > MAX_EVENT_BYTES { Err(InvalidEvent) } else { Ok(None) }
    }
}

#[cfg(test)]
mod tests;
