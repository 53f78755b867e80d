//! A socket that notes which frames come over it, for those who judge manners and windows.
//!
//! The HTTP/2 library answers pings and settings by itself and tells nobody. Only frame heads are read here, and the
//! few bytes of window updates; the library reads everything again and judges it.

use event_listener::Event;
use futures_lite::{AsyncRead, AsyncWrite};
use petrelshore::interface::Nanos;
use petrelshore_chat_gateway::Clock;
use petrelshore_gateway_core::flow_control::FlowControl;
use petrelshore_gateway_core::http2_abuse::{AbuseDetector, PeerFrame};
use std::cell::RefCell;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A client's first bytes, before any frame.
const PREFACE: usize = 24;
const HEAD: usize = 9;

/// What is known of one connection.
pub struct Known {
    pub clock: Clock,
    pub abuse: RefCell<AbuseDetector>,
    pub windows: RefCell<FlowControl>,
    /// Told when the peer gave back of a stream.
    pub given: Event,
}

pub struct Watch<S> {
    stream: S,
    known: Rc<Known>,
    frames: Frames,
}

impl<S> Watch<S> {
    pub fn new(stream: S, known: Rc<Known>) -> Self {
        Watch { stream, known, frames: Frames { skip: PREFACE, ..Frames::default() } }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watch<S> {
    fn poll_read(mut self: Pin<&mut Self>, context: &mut Context<'_>, buf: &mut [u8]) -> Poll<Result<usize>> {
        let known = self.known.clone();
        if known.abuse.borrow().detected().is_some() {
            // Nothing more is read of it: its connection's task is about to end it.
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buf);
        if let Poll::Ready(Ok(count)) = &read {
            let now = known.clock.now();
            self.frames.pass(&buf[..*count], |frame| note(&known, now, frame));
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watch<S> {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

fn note(known: &Known, now: Nanos, frame: &Frame) {
    const ACK: u8 = 1;
    let heard = match (frame.kind, frame.flags & ACK) {
        (0, _) if frame.length > 0 => PeerFrame::Call,
        (1, _) => PeerFrame::Call,
        (3, _) => PeerFrame::Reset,
        // What the peer answers to ours is no fault of its own.
        (4 | 6, ACK) => PeerFrame::Call,
        (4, _) => PeerFrame::Settings,
        (6, _) => PeerFrame::Ping,
        _ => PeerFrame::Small,
    };
    known.abuse.borrow_mut().frame_received(now, heard);
    if let (8, Some(increment)) = (frame.kind, frame.increment) {
        known.windows.borrow_mut().window_update(now, frame.stream, increment);
        known.given.notify(usize::MAX);
    }
}

/// A frame's head, and a window update's one field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Frame {
    length: usize,
    kind: u8,
    flags: u8,
    stream: u32,
    increment: Option<u32>,
}

/// Finds frames in bytes that come in any pieces.
#[derive(Default)]
struct Frames {
    /// Bytes to pass by before the next head.
    skip: usize,
    head: [u8; HEAD + 4],
    have: usize,
}

impl Frames {
    fn pass(&mut self, mut bytes: &[u8], mut found: impl FnMut(&Frame)) {
        while !bytes.is_empty() {
            if self.skip > 0 {
                let by = self.skip.min(bytes.len());
                (self.skip, bytes) = (self.skip - by, &bytes[by..]);
                continue;
            }
            let wanted = if self.have >= HEAD { HEAD + 4 } else { HEAD };
            let take = (wanted - self.have).min(bytes.len());
            self.head[self.have..self.have + take].copy_from_slice(&bytes[..take]);
            (self.have, bytes) = (self.have + take, &bytes[take..]);
            let head = &self.head;
            let length = usize::from(head[0]) << 16 | usize::from(head[1]) << 8 | usize::from(head[2]);
            let update = head[3] == 8 && length == 4;
            if self.have < HEAD || (update && self.have < HEAD + 4) {
                continue;
            }
            let number = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
            found(&Frame {
                length,
                kind: head[3],
                flags: head[4],
                stream: number(5) & 0x7fff_ffff,
                increment: update.then(|| number(HEAD) & 0x7fff_ffff),
            });
            self.skip = if update { 0 } else { length };
            self.have = 0;
        }
    }
}

#[cfg(test)]
mod tests;
