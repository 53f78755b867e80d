//! HTTP/1.1 as the platform's pages bound it, in both directions.
//!
//! hyper hides what those pages ask about: a `Content-Length` beside `Transfer-Encoding` is dropped before a service
//! sees it (`tests/hyper.rs` shows that), sizes of chunks are not told, nor whether the last byte of a request was
//! written, nor what a peer sent unasked. So [`head`] reads heads with httparse, [`body`] decodes bodies, both
//! without I/O, and [`connection`] is the socket round them. [`receive_times`]
//! knows when what is in its buffer came, [`io_retry`] which failures pass by themselves;
//! [`connect`] waits for those of a new connection.

pub mod body;
pub mod connect;
pub mod connection;
pub mod head;
pub mod io_retry;
pub mod receive_times;

/// What can't be read as HTTP/1.1, or is larger than it may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    Head,
    HeadTooLong,
    /// A length that is no number, negative, or told twice.
    Length,
    /// `Content-Length` beside `Transfer-Encoding`: another request may be concealed in the body.
    TwoFramings,
    /// A transfer coding other than `chunked`.
    Coding,
    /// A chunk whose size can't be read or is larger than any may be, or one that doesn't fit its size.
    Chunk,
}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Unreadable::Head => "the head can't be read",
            Unreadable::HeadTooLong => "the head is too long",
            Unreadable::Length => "Content-Length is malformed",
            Unreadable::TwoFramings => "Content-Length beside Transfer-Encoding",
            Unreadable::Coding => "Transfer-Encoding is not chunked",
            Unreadable::Chunk => "a chunk can't be read",
        })
    }
}
