//! Decoding of message bodies: finds the end of a body and separates its data from the chunk framing.

use crate::ParseError;
use bytes::{Buf, BytesMut};

/// The framing of a body, which determines where the body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this number of bytes (`Content-Length`).
    Length(u64),
    /// The body is a series of chunks (`Transfer-Encoding: chunked`).
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// The maximum length of a chunk's size line, including chunk extensions and the line end.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 128;
/// The maximum length of the trailer section.
const MAX_TRAILER_BYTES: usize = 4 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkDataEnd,
    Trailer {
        /// The length of the trailer lines that were decoded so far.
        seen: usize,
    },
    Complete,
}

/// Decodes one body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    max_chunk_bytes: u64,
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing. The decoder rejects a chunk whose announced size exceeds
    /// `max_chunk_bytes` before it decodes any data of the chunk.
    pub fn new(framing: Framing, max_chunk_bytes: u64) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state, max_chunk_bytes }
    }

    /// Moves the received data of the body from `buffer` to `data`. Returns true once the body is complete; the bytes
    /// that `buffer` then holds do not belong to the body.
    pub fn decode(&mut self, buffer: &mut BytesMut, data: &mut BytesMut) -> Result<bool, ParseError> {
        loop {
            self.state = match self.state {
                State::Complete => return Ok(true),
                _ if buffer.is_empty() => return Ok(false),
                State::UntilClose => {
                    data.unsplit(buffer.split());
                    State::UntilClose
                }
                State::Length(remaining) => match move_data(buffer, data, remaining) {
                    0 => State::Complete,
                    remaining => State::Length(remaining),
                },
                State::ChunkData(remaining) => match move_data(buffer, data, remaining) {
                    0 => State::ChunkDataEnd,
                    remaining => State::ChunkData(remaining),
                },
                State::ChunkDataEnd => match &buffer[..] {
                    [b'\r', b'\n', ..] => {
                        buffer.advance(2);
                        State::ChunkSize
                    }
                    [b'\r'] => return Ok(false),
                    _ => return Err(ParseError::InvalidChunk),
                },
                State::ChunkSize => {
                    let Some(line) = split_line(buffer, MAX_CHUNK_SIZE_LINE_BYTES)? else { return Ok(false) };
                    match chunk_size(&line).ok_or(ParseError::InvalidChunk)? {
                        0 => State::Trailer { seen: 0 },
                        size if size > self.max_chunk_bytes => return Err(ParseError::InvalidChunk),
                        size => State::ChunkData(size),
                    }
                }
                State::Trailer { seen } => {
                    let Some(line) = split_line(buffer, MAX_TRAILER_BYTES - seen)? else { return Ok(false) };
                    if line.len() <= 2 { State::Complete } else { State::Trailer { seen: seen + line.len() } }
                }
            };
        }
    }

    /// Returns true if a close of the connection at this point leaves the body complete.
    pub fn may_end_at_close(&self) -> bool {
        matches!(self.state, State::Complete | State::UntilClose)
    }
}

/// Moves up to `remaining` bytes from `buffer` to `data`, and returns the number of bytes that are still missing.
fn move_data(buffer: &mut BytesMut, data: &mut BytesMut, remaining: u64) -> u64 {
    let available = usize::try_from(remaining).map_or(buffer.len(), |remaining| remaining.min(buffer.len()));
    data.unsplit(buffer.split_to(available));
    remaining - available as u64
}

/// Splits the next line off `buffer`, including its CRLF. Returns `None` while the line is incomplete, and an error if
/// it is longer than `max_bytes` or ends without a carriage return.
fn split_line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<BytesMut>, ParseError> {
    match buffer.iter().take(max_bytes).position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && buffer[end - 1] == b'\r' => Ok(Some(buffer.split_to(end + 1))),
        Some(_) => Err(ParseError::InvalidChunk),
        None if buffer.len() >= max_bytes => Err(ParseError::InvalidChunk),
        None => Ok(None),
    }
}

/// Returns the size at the start of a chunk's size line, or `None` if the line is malformed.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let rest = line[digits..].trim_ascii();
    let text = std::str::from_utf8(&line[..digits]).ok().filter(|_| rest.is_empty() || rest[0] == b';')?;
    u64::from_str_radix(text, 16).ok()
}

#[cfg(test)]
mod tests;
