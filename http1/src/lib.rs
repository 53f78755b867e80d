//! HTTP/1.1 as the platform's protocol bounds it, in both directions.
//!
//! hyper hides what that protocol asks about: a `Content-Length` beside `Transfer-Encoding` is dropped before a service
//! sees it (`tests/hyper.rs` shows that), and neither the sizes of chunks, nor whether the last byte of a request was
//! written, nor unsolicited bytes of a peer are exposed. So [`head`] parses heads with httparse and [`body`] decodes
//! bodies, both without I/O; [`connection`] combines them with a socket. [`receive_times`] records when buffered bytes
//! were received, [`io_retry`] classifies failures of system calls, and [`connect`] opens connections with retries.

pub mod body;
pub mod connect;
pub mod connection;
pub mod head;
pub mod io_retry;
pub mod receive_times;

/// Why a message is not valid HTTP/1.1, or exceeds a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The head is malformed or has too many fields.
    InvalidHead,
    /// The head exceeds [`head::MAX_HEAD_BYTES`].
    HeadTooLong,
    /// A `Content-Length` that is not a number, negative, or given twice.
    InvalidContentLength,
    /// `Content-Length` beside `Transfer-Encoding`: another request may be smuggled in the body.
    ConflictingFraming,
    /// A transfer coding other than `chunked`.
    UnsupportedTransferCoding,
    /// A chunk whose size is malformed or exceeds the bound, or whose data does not match its size.
    InvalidChunk,
}

impl std::error::Error for ParseError {}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ParseError::InvalidHead => "the head can't be read",
            ParseError::HeadTooLong => "the head is too long",
            ParseError::InvalidContentLength => "Content-Length is malformed",
            ParseError::ConflictingFraming => "Content-Length beside Transfer-Encoding",
            ParseError::UnsupportedTransferCoding => "Transfer-Encoding is not chunked",
            ParseError::InvalidChunk => "a chunk can't be read",
        })
    }
}
