//! An HTTP/2 client that sends raw frames, for sequences of frames that no client library would send.

use super::{CLIENT_TIMEOUT, Testbed};
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use petrelshore_e2e::client::Question;
use petrelshore_e2e::grpc_client::{framed, message};
use petrelshore_grpc_api::SERVICE;
use std::time::{Duration, Instant};

/// A connection on which a test sends and receives raw HTTP/2 frames.
pub struct RawConnection {
    stream: TcpStream,
    received: Vec<u8>,
}

/// A received frame.
pub struct Frame {
    pub kind: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

/// Encodes a frame.
pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

/// Encodes an RST_STREAM frame with the error code CANCEL.
pub fn reset(stream: u32) -> Vec<u8> {
    frame(3, 0, stream, &8u32.to_be_bytes())
}

/// Encodes a complete gRPC call: a HEADERS frame, in which each field is a literal, and a DATA frame with the message.
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

/// Returns the stream and the error code of each RST_STREAM frame.
pub fn resets(frames: &[Frame]) -> Vec<(u32, u32)> {
    let found = frames.iter().filter(|frame| frame.kind == 3);
    found.map(|frame| (frame.stream, read_u32(&frame.payload))).collect()
}

/// Returns the error code of the first GOAWAY frame.
pub fn goaway(frames: &[Frame]) -> Option<u32> {
    frames.iter().find(|frame| frame.kind == 7).map(|frame| read_u32(&frame.payload[4..]))
}

/// Reads the first four bytes as a big-endian number.
pub fn read_u32(bytes: &[u8]) -> u32 {
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
        // The write fails if the gateway closed the connection because of earlier frames.
        let _ = self.stream.write_all(bytes).await;
        Timer::after(Duration::from_millis(2)).await;
    }

    /// Reads until `holds` is true of all frames received so far, the connection ends or `CLIENT_TIMEOUT` passes.
    /// Returns the frames.
    pub async fn frames_until(&mut self, holds: impl Fn(&[Frame]) -> bool) -> Vec<Frame> {
        let mut buffer = [0; 4096];
        let deadline = Instant::now() + CLIENT_TIMEOUT;
        while Instant::now() < deadline {
            let frames = self.frames();
            if holds(&frames) {
                return frames;
            }
            let read_timeout = async {
                Timer::after(Duration::from_secs(1)).await;
                Err(std::io::ErrorKind::TimedOut.into())
            };
            match future::or(self.stream.read(&mut buffer), read_timeout).await {
                Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {}
                Ok(0) | Err(_) => break,
                Ok(count) => self.received.extend_from_slice(&buffer[..count]),
            }
        }
        self.frames()
    }

    fn frames(&self) -> Vec<Frame> {
        let (mut rest, mut frames) = (self.received.as_slice(), Vec::new());
        while rest.len() >= 9 {
            let length = read_u32(&[0, rest[0], rest[1], rest[2]]) as usize;
            let Some(payload) = rest.get(9..9 + length) else { break };
            let stream = read_u32(&rest[5..9]);
            frames.push(Frame { kind: rest[3], stream, payload: payload.to_vec() });
            rest = &rest[9 + length..];
        }
        frames
    }
}
