//! Bodies: where they end, and what of the bytes is data.

use crate::Unreadable;
use bytes::{Buf, BytesMut};

/// How a body is told from what follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    /// It ends with its connection.
    ToEnd,
}

/// Most bytes of a chunk's size line, with what may be written behind the size.
const SIZE_LINE: usize = 128;
/// Most bytes of the fields behind the last chunk.
const TRAILER: usize = 4 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    ToEnd,
    Size,
    Data(u64),
    DataEnd,
    Trailer { seen: usize },
    Over,
}

/// One body that is coming in.
#[derive(Clone, Debug)]
pub struct Body {
    state: State,
    largest_chunk: u64,
}

impl Body {
    /// A chunk that says it is larger than `largest_chunk` is refused before any of it is taken.
    pub fn new(framing: Framing, largest_chunk: u64) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Over,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Size,
            Framing::ToEnd => State::ToEnd,
        };
        Body { state, largest_chunk }
    }

    /// Moves what has come of the body from `buffer` to `data`. True once it is over: what `buffer` then holds is
    /// not of it.
    pub fn decode(&mut self, buffer: &mut BytesMut, data: &mut BytesMut) -> Result<bool, Unreadable> {
        loop {
            self.state = match self.state {
                State::Over => return Ok(true),
                _ if buffer.is_empty() => return Ok(false),
                State::ToEnd => {
                    data.unsplit(buffer.split());
                    State::ToEnd
                }
                State::Length(left) => match take(buffer, data, left) {
                    0 => State::Over,
                    left => State::Length(left),
                },
                State::Data(left) => match take(buffer, data, left) {
                    0 => State::DataEnd,
                    left => State::Data(left),
                },
                State::DataEnd => match &buffer[..] {
                    [b'\r', b'\n', ..] => {
                        buffer.advance(2);
                        State::Size
                    }
                    [b'\r'] => return Ok(false),
                    _ => return Err(Unreadable::Chunk),
                },
                State::Size => {
                    let Some(line) = line(buffer, SIZE_LINE)? else { return Ok(false) };
                    match size(&line).ok_or(Unreadable::Chunk)? {
                        0 => State::Trailer { seen: 0 },
                        size if size > self.largest_chunk => return Err(Unreadable::Chunk),
                        size => State::Data(size),
                    }
                }
                State::Trailer { seen } => {
                    let Some(line) = line(buffer, TRAILER - seen)? else { return Ok(false) };
                    if line.len() <= 2 { State::Over } else { State::Trailer { seen: seen + line.len() } }
                }
            };
        }
    }

    /// Whether a body is whole that ends with its connection now.
    pub fn may_end(&self) -> bool {
        matches!(self.state, State::Over | State::ToEnd)
    }
}

/// Moves up to `left` bytes, and returns how many are still to come.
fn take(buffer: &mut BytesMut, data: &mut BytesMut, left: u64) -> u64 {
    let here = usize::try_from(left).map_or(buffer.len(), |left| left.min(buffer.len()));
    data.unsplit(buffer.split_to(here));
    left - here as u64
}

/// The next line with its end, which must come within `most` bytes.
fn line(buffer: &mut BytesMut, most: usize) -> Result<Option<BytesMut>, Unreadable> {
    match buffer.iter().take(most).position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && buffer[end - 1] == b'\r' => Ok(Some(buffer.split_to(end + 1))),
        Some(_) => Err(Unreadable::Chunk),
        None if buffer.len() >= most => Err(Unreadable::Chunk),
        None => Ok(None),
    }
}

fn size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let rest = line[digits..].trim_ascii();
    let text = std::str::from_utf8(&line[..digits]).ok().filter(|_| rest.is_empty() || rest[0] == b';')?;
    u64::from_str_radix(text, 16).ok()
}

#[cfg(test)]
mod tests;
