//! A client of HTTP/2 frames, for what no library would send.

use super::{LONG, Testbed};
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use petrelshore_e2e::client::Question;
use petrelshore_e2e::grpc_client::{framed, message};
use petrelshore_grpc_api::SERVICE;
use std::time::{Duration, Instant};

/// A client that sends any frames.
pub struct RawConnection {
    stream: TcpStream,
    received: Vec<u8>,
}

/// A frame that was received.
pub struct Frame {
    pub kind: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

pub fn reset(stream: u32) -> Vec<u8> {
    frame(3, 0, stream, &8u32.to_be_bytes())
}

/// A complete call: its head, each field as a literal, and its message.
pub fn raw_call(stream: u32, question: &Question) -> Vec<u8> {
    let path = format!("/{SERVICE}/Stream");
    let fields = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path.as_str()),
        (":authority", "gateway"),
        ("content-type", "application/grpc"),
        ("te", "trailers"),
    ];
    let literals = fields.iter().flat_map(|(name, value)| {
        let parts = [&[0, name.len() as u8][..], name.as_bytes(), &[value.len() as u8], value.as_bytes()];
        parts.concat()
    });
    const END_HEADERS: u8 = 4;
    const END_STREAM: u8 = 1;
    let head = frame(1, END_HEADERS, stream, &literals.collect::<Vec<u8>>());
    [head, frame(0, END_STREAM, stream, &framed(&message(question)))].concat()
}

pub fn resets(frames: &[Frame]) -> Vec<(u32, u32)> {
    let found = frames.iter().filter(|frame| frame.kind == 3);
    found.map(|frame| (frame.stream, number(&frame.payload))).collect()
}

pub fn goaway(frames: &[Frame]) -> Option<u32> {
    frames.iter().find(|frame| frame.kind == 7).map(|frame| number(&frame.payload[4..]))
}

pub fn number(bytes: &[u8]) -> u32 {
    u32::from_be_bytes(bytes[..4].try_into().unwrap())
}

impl RawConnection {
    pub async fn open(testbed: &Testbed) -> RawConnection {
        let mut stream = TcpStream::connect(testbed.gateway.addresses.grpc).await.unwrap();
        let settings = frame(4, 0, 0, &[]);
        stream.write_all(&[b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", settings.as_slice()].concat()).await.unwrap();
        RawConnection { stream, received: Vec::new() }
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        // A connection that was closed for earlier frames accepts no more.
        let _ = self.stream.write_all(bytes).await;
        Timer::after(Duration::from_millis(2)).await;
    }

    /// All frames so far, once they hold what is waited for.
    pub async fn frames_until(&mut self, holds: impl Fn(&[Frame]) -> bool) -> Vec<Frame> {
        let mut part = [0; 4096];
        let deadline = Instant::now() + LONG;
        while Instant::now() < deadline {
            let frames = self.frames();
            if holds(&frames) {
                return frames;
            }
            let late = async {
                Timer::after(Duration::from_secs(1)).await;
                Err(std::io::ErrorKind::TimedOut.into())
            };
            match future::or(self.stream.read(&mut part), late).await {
                Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {}
                Ok(0) | Err(_) => break,
                Ok(count) => self.received.extend_from_slice(&part[..count]),
            }
        }
        self.frames()
    }

    fn frames(&self) -> Vec<Frame> {
        let (mut rest, mut frames) = (self.received.as_slice(), Vec::new());
        while rest.len() >= 9 {
            let length = number(&[0, rest[0], rest[1], rest[2]]) as usize;
            let Some(payload) = rest.get(9..9 + length) else { break };
            let stream = number(&rest[5..9]);
            frames.push(Frame { kind: rest[3], stream, payload: payload.to_vec() });
            rest = &rest[9 + length..];
        }
        frames
    }
}
