//! Messages on a stream: a mark for compression, a length, the message.

use crate::status::Told;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::RecvStream;
use petrelshore_ingress::error::{CallError, RequestError, RequestErrorKind};
use petrelshore_ingress::listener::BodyReservation;
use prost::Message;
use tonic::Status;

const HEAD: usize = 5;

/// A message ready to be sent.
pub fn encode(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut bytes = BytesMut::with_capacity(HEAD + length);
    put(&mut bytes, message);
    bytes.freeze()
}

/// Adds a message to others that go out together.
pub fn put(bytes: &mut BytesMut, message: &impl Message) {
    let length = message.encoded_len();
    bytes.reserve(HEAD + length);
    bytes.put_u8(0);
    bytes.put_u32(length as u32);
    // Room for it was just made.
    let _ = message.encode(bytes);
}

/// The messages that a client sends on one stream, within their size and what there is room for.
pub struct Incoming {
    stream: RecvStream,
    part: BytesMut,
    room: BodyReservation,
}

impl Incoming {
    pub fn new(stream: RecvStream, room: BodyReservation) -> Self {
        Incoming { stream, part: BytesMut::new(), room }
    }

    /// The next message; none where the client has ended its side before one began.
    pub async fn next<M: Message + Default>(&mut self) -> Result<Option<M>, Told> {
        while self.part.len() < HEAD {
            if !self.more().await? {
                return match self.part.len() {
                    0 => Ok(None),
                    _ => Err(malformed("the stream ended within a message").into()),
                };
            }
        }
        let packed = self.part[0] != 0;
        let length = (&self.part[1..HEAD]).get_u32() as usize;
        if packed {
            return Err(Told::Status(Status::unimplemented("messages can't be compressed here")));
        }
        // Its length is judged before any of it is read.
        self.room.grow_to(HEAD + length).map_err(CallError::from)?;
        while self.part.len() < HEAD + length {
            if !self.more().await? {
                return Err(malformed("the stream ended within a message").into());
            }
        }
        self.part.advance(HEAD);
        let message = self.part.split_to(length);
        M::decode(message.freeze()).map(Some).map_err(|error| malformed(&error.to_string()).into())
    }

    async fn more(&mut self) -> Result<bool, Told> {
        match self.stream.data().await {
            Some(Ok(bytes)) => {
                self.room.grow_to(self.part.len() + bytes.len()).map_err(CallError::from)?;
                self.part.extend_from_slice(&bytes);
                // The client may send as much again: what it sends is bounded by the room, not by the window.
                let _ = self.stream.flow_control().release_capacity(bytes.len());
                Ok(true)
            }
            Some(Err(_)) => Err(Told::Gone),
            None => Ok(false),
        }
    }
}

fn malformed(what: &str) -> CallError {
    RequestError::new(RequestErrorKind::Malformed, format!("the request message can't be read: {what}"))
        .into()
}
