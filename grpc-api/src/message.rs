//! gRPC messages on a stream. Each message has a prefix of a compression flag and the message's length.

use crate::error::RpcError;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::RecvStream;
use petrelshore_ingress::error::{CallError, RequestError, RequestErrorKind};
use petrelshore_ingress::listener::BodyReservation;
use prost::Message;
use tonic::Status;

const PREFIX_BYTES: usize = 5;
const NOT_COMPRESSED: u8 = 0;

/// Encodes a message with its prefix.
pub fn encode(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(PREFIX_BYTES + length);
    append(&mut bytes, message);
    bytes.freeze()
}

/// Appends a message with its prefix to `bytes`, so that several messages can be sent together.
pub fn append(bytes: &mut BytesMut, message: &impl Message) {
    let length = message.encoded_len();
    bytes.reserve(PREFIX_BYTES + length);
    bytes.put_u8(NOT_COMPRESSED);
    bytes.put_u32(length as u32);
    // Encoding can't fail, since the capacity has just been reserved.
    let _ = message.encode(bytes);
}

/// Receives the messages of one stream, within their size limit and the available memory.
pub struct RequestStream {
    stream: RecvStream,
    buffer: BytesMut,
    reservation: BodyReservation,
}

impl RequestStream {
    /// Creates a receiver that reserves the memory for messages in `reservation`.
    pub fn new(stream: RecvStream, reservation: BodyReservation) -> Self {
        RequestStream { stream, buffer: BytesMut::new(), reservation }
    }

    /// Receives the next message. Returns `None` if the client has ended its side of the stream before the message
    /// began.
    pub async fn next_message<M: Message + Default>(&mut self) -> Result<Option<M>, RpcError> {
        while self.buffer.len() < PREFIX_BYTES {
            if self.read_more().await? {
                continue;
            }
            return match self.buffer.is_empty() {
                true => Ok(None),
                false => Err(malformed("the stream ended before the message was complete").into()),
            };
        }
        let compressed = self.buffer[0] != NOT_COMPRESSED;
        let length = (&self.buffer[1..PREFIX_BYTES]).get_u32() as usize;
        if compressed {
            return Err(RpcError::Status(Status::unimplemented("compressed messages are not supported")));
        }
        // The reservation checks the length before the message is received.
        self.reservation.grow_to(PREFIX_BYTES + length).map_err(CallError::from)?;
        while self.buffer.len() < PREFIX_BYTES + length {
            if !self.read_more().await? {
                return Err(malformed("the stream ended before the message was complete").into());
            }
        }
        self.buffer.advance(PREFIX_BYTES);
        let message = self.buffer.split_to(length);
        M::decode(message.freeze()).map(Some).map_err(|error| malformed(&error.to_string()).into())
    }

    /// Receives more bytes. Returns false at the end of the stream.
    async fn read_more(&mut self) -> Result<bool, RpcError> {
        match self.stream.data().await {
            Some(Ok(bytes)) => {
                self.reservation.grow_to(self.buffer.len() + bytes.len()).map_err(CallError::from)?;
                self.buffer.extend_from_slice(&bytes);
                // The window is released at once, since the reservation limits how much the client sends.
                let _ = self.stream.flow_control().release_capacity(bytes.len());
                Ok(true)
            }
            Some(Err(_)) => Err(RpcError::ClientDisconnected),
            None => Ok(false),
        }
    }
}

fn malformed(message: &str) -> CallError {
    let message = format!("the request message can't be decoded: {message}");
    RequestError::new(RequestErrorKind::Malformed, message).into()
}
