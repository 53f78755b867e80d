//! Messages on a stream, each with a prefix: a compression flag and its length.

use crate::error::RpcError;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::RecvStream;
use petrelshore_ingress::error::{CallError, RequestError, RequestErrorKind};
use petrelshore_ingress::listener::BodyReservation;
use prost::Message;
use tonic::Status;

const PREFIX_BYTES: usize = 5;
const NOT_COMPRESSED: u8 = 0;

/// A message ready to be sent.
pub fn encode(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(PREFIX_BYTES + length);
    append(&mut bytes, message);
    bytes.freeze()
}

/// Adds a message to others that are sent together.
pub fn append(bytes: &mut BytesMut, message: &impl Message) {
    let length = message.encoded_len();
    bytes.reserve(PREFIX_BYTES + length);
    bytes.put_u8(NOT_COMPRESSED);
    bytes.put_u32(length as u32);
    // This can't fail: the capacity was just reserved.
    let _ = message.encode(bytes);
}

/// The messages that a client sends on one stream, within their size limit and the memory that is available.
pub struct RequestStream {
    stream: RecvStream,
    buffer: BytesMut,
    reservation: BodyReservation,
}

impl RequestStream {
    /// The messages of a stream, their memory reserved by `reservation`.
    pub fn new(stream: RecvStream, reservation: BodyReservation) -> Self {
        RequestStream { stream, buffer: BytesMut::new(), reservation }
    }

    /// The next message; none where the client has ended its side before one began.
    pub async fn next_message<M: Message + Default>(&mut self) -> Result<Option<M>, RpcError> {
        while self.buffer.len() < PREFIX_BYTES {
            if self.read_more().await? {
                continue;
            }
            return match self.buffer.is_empty() {
                true => Ok(None),
                false => Err(malformed("the stream ended within a message").into()),
            };
        }
        let compressed = self.buffer[0] != NOT_COMPRESSED;
        let length = (&self.buffer[1..PREFIX_BYTES]).get_u32() as usize;
        if compressed {
            return Err(RpcError::Status(Status::unimplemented("messages can't be compressed here")));
        }
        // The length is checked before any of the message is read.
        self.reservation.grow_to(PREFIX_BYTES + length).map_err(CallError::from)?;
        while self.buffer.len() < PREFIX_BYTES + length {
            if !self.read_more().await? {
                return Err(malformed("the stream ended within a message").into());
            }
        }
        self.buffer.advance(PREFIX_BYTES);
        let message = self.buffer.split_to(length);
        M::decode(message.freeze()).map(Some).map_err(|error| malformed(&error.to_string()).into())
    }

    /// Reads what comes next; false at the end of the stream.
    async fn read_more(&mut self) -> Result<bool, RpcError> {
        match self.stream.data().await {
            Some(Ok(bytes)) => {
                self.reservation.grow_to(self.buffer.len() + bytes.len()).map_err(CallError::from)?;
                self.buffer.extend_from_slice(&bytes);
                // The client may send as much again: the reservation limits what it sends, not the window.
                let _ = self.stream.flow_control().release_capacity(bytes.len());
                Ok(true)
            }
            Some(Err(_)) => Err(RpcError::ClientDisconnected),
            None => Ok(false),
        }
    }
}

fn malformed(message: &str) -> CallError {
    let message = format!("the request message can't be read: {message}");
    RequestError::new(RequestErrorKind::Malformed, message).into()
}
