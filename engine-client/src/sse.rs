//! Server-sent events out of a byte stream, in bounded memory.

/// An event larger than this is no token.
const LARGEST: usize = 256 << 10;

/// Splits bytes into the data of events. Fed as bytes come, in pieces of any size.
#[derive(Debug, Default)]
pub struct Events {
    buffer: Vec<u8>,
    /// Where the next line starts in `buffer`.
    at: usize,
    /// Up to where `buffer` holds no line end.
    searched: usize,
    data: String,
    any: bool,
}

/// The server sent an event that is larger than any token, or one that is not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

impl Events {
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), Oversized> {
        if self.at > 0 {
            self.buffer.drain(..self.at);
            self.searched -= self.at;
            self.at = 0;
        }
        if self.buffer.len() + bytes.len() > 2 * LARGEST {
            return Err(Oversized);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The data of the next whole event.
    pub fn next_event(&mut self) -> Result<Option<String>, Oversized> {
        while let Some(length) = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n') {
            let end = self.searched + length;
            let line = &self.buffer[self.at..end];
            let line =
                std::str::from_utf8(line.strip_suffix(b"\r").unwrap_or(line)).map_err(|_| Oversized)?;
            if line.is_empty() {
                if self.any {
                    (self.at, self.searched, self.any) = (end + 1, end + 1, false);
                    return Ok(Some(std::mem::take(&mut self.data)));
                }
            } else if let Some(data) = line.strip_prefix("data:") {
                if self.any {
                    self.data.push('\n');
                }
                self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
                self.any = true;
            }
            if self.data.len() > LARGEST {
                return Err(Oversized);
            }
            (self.at, self.searched) = (end + 1, end + 1);
        }
        self.searched = self.buffer.len();
        if self.buffer.len() - self.at > LARGEST { Err(Oversized) } else { Ok(None) }
    }
}

#[cfg(test)]
mod tests;
