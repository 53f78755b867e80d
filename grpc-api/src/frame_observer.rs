//! A socket that observes which HTTP/2 frames the peer sends, for abuse detection and flow control.
//!
//! The HTTP/2 library answers pings and settings without reporting them. The observer parses only frame headers and the
//! increments of window updates. The library itself parses and validates all frames.

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

/// Length of the connection preface, which a client sends before its first frame.
const PREFACE_BYTES: usize = 24;
const FRAME_HEADER_BYTES: usize = 9;
const WINDOW_INCREMENT_BYTES: usize = 4;
/// Stream ids and window increments have 31 bits; the highest of the 32 bits is reserved.
const U31_MASK: u32 = 0x7fff_ffff;

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
const ACK_FLAG: u8 = 1;

/// The abuse detection and flow control of one connection, which the frames from its peer update.
pub struct PeerState {
    /// The clock that gives the time of each frame.
    pub clock: Clock,
    /// Limits how often the peer may send each kind of frame.
    pub abuse: RefCell<AbuseDetector>,
    /// Limits each stream's share of the connection's flow-control window.
    pub flow_control: RefCell<FlowControl>,
    /// Notified when the peer has sent a window update.
    pub window_updated: Event,
}

impl PeerState {
    /// Creates the state of a new connection that may have up to `max_streams` streams.
    pub fn new(clock: Clock, max_streams: usize) -> Self {
        PeerState {
            clock,
            abuse: RefCell::new(AbuseDetector::new(clock.now(), max_streams)),
            flow_control: RefCell::default(),
            window_updated: Event::new(),
        }
    }

    fn frame_received(&self, now: Nanos, frame: &Frame) {
        self.abuse.borrow_mut().frame_received(now, classify(frame));
        if let (WINDOW_UPDATE, Some(increment)) = (frame.kind, frame.increment) {
            self.flow_control.borrow_mut().window_update(now, frame.stream, increment);
            self.window_updated.notify(usize::MAX);
        }
    }
}

fn classify(frame: &Frame) -> PeerFrame {
    match (frame.kind, frame.flags & ACK_FLAG) {
        (DATA, _) if frame.length > 0 => PeerFrame::Call,
        (HEADERS, _) => PeerFrame::Call,
        (RST_STREAM, _) => PeerFrame::Reset,
        // Acknowledgements of the gateway's own frames are not limited.
        (SETTINGS | PING, ACK_FLAG) => PeerFrame::Call,
        (SETTINGS, _) => PeerFrame::Settings,
        (PING, _) => PeerFrame::Ping,
        _ => PeerFrame::Small,
    }
}

/// A socket that updates a connection's [`PeerState`] from the frames that are read from the peer.
pub struct FrameObserver<S> {
    stream: S,
    peer_state: Rc<PeerState>,
    parser: FrameParser,
}

impl<S> FrameObserver<S> {
    /// Wraps a socket from which nothing has been read yet.
    pub fn new(stream: S, peer_state: Rc<PeerState>) -> Self {
        FrameObserver { stream, peer_state, parser: FrameParser::new() }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FrameObserver<S> {
    fn poll_read(mut self: Pin<&mut Self>, context: &mut Context<'_>, buf: &mut [u8]) -> Poll<Result<usize>> {
        let peer_state = self.peer_state.clone();
        if peer_state.abuse.borrow().detected().is_some() {
            // Nothing more is read, since the connection's task is about to close the connection.
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buf);
        if let Poll::Ready(Ok(count)) = &read {
            let now = peer_state.clock.now();
            self.parser.parse(&buf[..*count], |frame| peer_state.frame_received(now, frame));
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FrameObserver<S> {
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

/// The header of a frame and, for a window update, its increment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Frame {
    length: usize,
    kind: u8,
    flags: u8,
    stream: u32,
    increment: Option<u32>,
}

/// Parses frames from bytes that arrive in chunks of any size.
struct FrameParser {
    /// Number of bytes to skip before the next frame header.
    skip: usize,
    buffer: [u8; FRAME_HEADER_BYTES + WINDOW_INCREMENT_BYTES],
    buffered: usize,
}

impl FrameParser {
    fn new() -> Self {
        FrameParser {
            skip: PREFACE_BYTES,
            buffer: [0; FRAME_HEADER_BYTES + WINDOW_INCREMENT_BYTES],
            buffered: 0,
        }
    }

    fn parse(&mut self, mut bytes: &[u8], mut on_frame: impl FnMut(&Frame)) {
        while !bytes.is_empty() {
            if self.skip > 0 {
                let skipped = self.skip.min(bytes.len());
                self.skip -= skipped;
                bytes = &bytes[skipped..];
                continue;
            }
            bytes = self.fill(bytes);
            if let Some(frame) = self.frame() {
                on_frame(&frame);
                self.skip = if frame.increment.is_some() { 0 } else { frame.length };
                self.buffered = 0;
            }
        }
    }

    /// Copies the missing bytes of a frame header, or of the increment after the header, to the buffer. Returns the
    /// remaining bytes.
    fn fill<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let wanted = if self.buffered < FRAME_HEADER_BYTES { FRAME_HEADER_BYTES } else { self.buffer.len() };
        let (taken, rest) = bytes.split_at((wanted - self.buffered).min(bytes.len()));
        self.buffer[self.buffered..self.buffered + taken.len()].copy_from_slice(taken);
        self.buffered += taken.len();
        rest
    }

    /// The frame in the buffer; `None` until its header and, for a window update, its increment are complete.
    fn frame(&self) -> Option<Frame> {
        let buffer = &self.buffer;
        let length = usize::from(buffer[0]) << 16 | usize::from(buffer[1]) << 8 | usize::from(buffer[2]);
        let kind = buffer[3];
        let is_window_update = kind == WINDOW_UPDATE && length == WINDOW_INCREMENT_BYTES;
        let needed = if is_window_update { buffer.len() } else { FRAME_HEADER_BYTES };
        if self.buffered < FRAME_HEADER_BYTES || self.buffered < needed {
            return None;
        }
        Some(Frame {
            length,
            kind,
            flags: buffer[4],
            stream: self.u31_at(5),
            increment: is_window_update.then(|| self.u31_at(FRAME_HEADER_BYTES)),
        })
    }

    fn u31_at(&self, at: usize) -> u32 {
        let bytes = [self.buffer[at], self.buffer[at + 1], self.buffer[at + 2], self.buffer[at + 3]];
        u32::from_be_bytes(bytes) & U31_MASK
    }
}

#[cfg(test)]
mod tests;
