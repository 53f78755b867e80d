//! Decoding of message bodies: where they end, and which of the bytes are data.

use crate::ParseError;
use bytes::{Buf, BytesMut};

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has this many bytes (`Content-Length`).
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// It ends with its connection.
    UntilClose,
}

/// Bound of a chunk's size line, with its extensions.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 128;
/// Bound of the trailer section.
const MAX_TRAILER_BYTES: usize = 4 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkDataEnd,
    Trailer { seen: usize },
    Complete,
}

/// The decoder of one body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    max_chunk_bytes: u64,
}

impl BodyDecoder {
    /// A decoder for a body of this framing. A chunk whose announced size exceeds `max_chunk_bytes` is an error before
    /// any of it is decoded.
    pub fn new(framing: Framing, max_chunk_bytes: u64) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state, max_chunk_bytes }
    }

    /// Moves the received part of the body from `buffer` to `data`. Returns true once the body is complete: what
    /// `buffer` then holds does not belong to it.
    pub fn decode(&mut self, buffer: &mut BytesMut, data: &mut BytesMut) -> Result<bool, ParseError> {
        loop {
            self.state = match self.state {
                State::Complete => return Ok(true),
                _ if buffer.is_empty() => return Ok(false),
                State::UntilClose => {
                    data.unsplit(buffer.split());
                    State::UntilClose
                }
                State::Length(left) => match move_data(buffer, data, left) {
                    0 => State::Complete,
                    left => State::Length(left),
                },
                State::ChunkData(left) => match move_data(buffer, data, left) {
                    0 => State::ChunkDataEnd,
                    left => State::ChunkData(left),
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

    /// Whether the body is complete if its connection closes now.
    pub fn may_end_at_close(&self) -> bool {
        matches!(self.state, State::Complete | State::UntilClose)
    }
}

/// Moves up to `left` bytes, and returns how many are still missing.
fn move_data(buffer: &mut BytesMut, data: &mut BytesMut, left: u64) -> u64 {
    let available = usize::try_from(left).map_or(buffer.len(), |left| left.min(buffer.len()));
    data.unsplit(buffer.split_to(available));
    left - available as u64
}

/// Splits off the next line with its CRLF, which must come within `max_bytes`.
fn split_line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<BytesMut>, ParseError> {
    match buffer.iter().take(max_bytes).position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && buffer[end - 1] == b'\r' => Ok(Some(buffer.split_to(end + 1))),
        Some(_) => Err(ParseError::InvalidChunk),
        None if buffer.len() >= max_bytes => Err(ParseError::InvalidChunk),
        None => Ok(None),
    }
}

/// The size at the start of a chunk's size line.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let rest = line[digits..].trim_ascii();
    let text = std::str::from_utf8(&line[..digits]).ok().filter(|_| rest.is_empty() || rest[0] == b';')?;
    u64::from_str_radix(text, 16).ok()
}

#[cfg(test)]
mod tests;
