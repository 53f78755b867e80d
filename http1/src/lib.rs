//! HTTP/1.1 for clients and servers of the platform's protocol, with the limits that the protocol sets.
//!
//! This package does not use hyper, because hyper hides details that the protocol depends on. hyper removes a
//! `Content-Length` header that comes with `Transfer-Encoding` before a service sees it (`tests/hyper.rs` shows this).
//! It exposes neither the sizes of chunks, nor whether the last byte of a request was written, nor unsolicited bytes
//! from a peer.
//!
//! [`head`] parses heads with httparse and [`body`] decodes bodies, both without I/O. [`connection`] combines them with
//! a socket. [`receive_times`] records when buffered bytes were received, [`io_retry`] classifies failures of system
//! calls, and [`connect`] opens connections with retries.

pub mod body;
pub mod connect;
pub mod connection;
pub mod head;
pub mod io_retry;
pub mod receive_times;

/// The reason why a message was rejected: it is not valid HTTP/1.1 or exceeds a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The head is malformed or has too many fields.
    InvalidHead,
    /// The head exceeds [`head::MAX_HEAD_BYTES`].
    HeadTooLong,
    /// `Content-Length` is not an unsigned decimal number, does not fit into 64 bits, or occurs more than once.
    InvalidContentLength,
    /// The head has both `Content-Length` and `Transfer-Encoding`. Recipients may disagree on where such a message
    /// ends, which allows a second request to be smuggled in its body.
    ConflictingFraming,
    /// The transfer coding is not `chunked`, or `Transfer-Encoding` occurs more than once.
    UnsupportedTransferCoding,
    /// A chunk's size is malformed or exceeds the limit, its data does not match its size, or the trailer section is
    /// malformed or too long.
    InvalidChunk,
}

impl std::error::Error for ParseError {}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ParseError::InvalidHead => "the message head is malformed or has too many fields",
            ParseError::HeadTooLong => "the message head is too long",
            ParseError::InvalidContentLength => "Content-Length is not a single valid decimal number",
            ParseError::ConflictingFraming => "both Content-Length and Transfer-Encoding are present",
            ParseError::UnsupportedTransferCoding => "Transfer-Encoding is not chunked",
            ParseError::InvalidChunk => "a chunk or the trailer section is malformed or too long",
        })
    }
}
