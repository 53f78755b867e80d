//! The stream of a decode response.

use crate::pool::{Pool, Sender};
use crate::sse::EventParser;
use crate::wire_format::Chunk;
use async_io::Timer;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::buffered::Piece;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The event that ends a stream.
const DONE_EVENT: &str = "[DONE]";
/// The time after [`DONE_EVENT`] within which the body must end. Otherwise its connection is not reused.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(500);

/// The stream of an answer that a decode server is generating. Dropping the stream closes its connection.
pub struct DecodeStream {
    address: SocketAddr,
    pool: Rc<Pool>,
    sender: Sender,
    body: Incoming,
    event_parser: EventParser,
    /// Pieces of received events that [`DecodeStream::next`] has not returned yet.
    pending_pieces: VecDeque<Piece>,
    finish_reason_received: bool,
}

impl DecodeStream {
    pub(crate) fn new(address: SocketAddr, pool: Rc<Pool>, sender: Sender, body: Incoming) -> Self {
        let (event_parser, pending_pieces) = (EventParser::default(), VecDeque::new());
        DecodeStream {
            address,
            pool,
            sender,
            body,
            event_parser,
            pending_pieces,
            finish_reason_received: false,
        }
    }

    /// Waits for the next piece of the answer. Returns `None` once the answer is complete.
    pub async fn next(&mut self) -> Result<Option<Piece>, AttemptEnd> {
        loop {
            if let Some(piece) = self.pending_pieces.pop_front() {
                return Ok(Some(piece));
            }
            match self.event_parser.next_event().map_err(|_| AttemptEnd::Malformed)? {
                Some(data) if data == DONE_EVENT => {
                    return if self.finish_reason_received { Ok(None) } else { Err(AttemptEnd::Malformed) };
                }
                Some(data) => self.decode_event(&data)?,
                None => self.read_frame().await?,
            }
        }
    }

    /// Reads the next bytes of the body.
    async fn read_frame(&mut self) -> Result<(), AttemptEnd> {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                self.event_parser.feed(&bytes).map_err(|_| AttemptEnd::Malformed)
            }
            Some(Err(_)) => Err(AttemptEnd::Reset),
            None => Err(AttemptEnd::Malformed),
        }
    }

    fn decode_event(&mut self, data: &str) -> Result<(), AttemptEnd> {
        let chunk: Chunk = serde_json::from_str(data).map_err(|_| AttemptEnd::Malformed)?;
        if chunk.is_error() {
            return Err(AttemptEnd::ErrorStatus { status: 500 });
        }
        let pieces = chunk.into_pieces();
        self.finish_reason_received |= pieces.iter().any(|piece| matches!(piece, Piece::Finish(_)));
        self.pending_pieces.extend(pieces);
        Ok(())
    }

    /// Returns the connection of a complete answer to the pool. The end of the body may arrive later than the last
    /// event, so a separate task waits for it, and the answer is not delayed.
    pub fn return_connection(self) {
        let DecodeStream { address, pool, sender, mut body, .. } = self;
        let returning_pool = pool.clone();
        pool.spawn(async move {
            let ended = async { body.frame().await.is_none() };
            let timed_out = async {
                Timer::after(BODY_END_TIMEOUT).await;
                false
            };
            if future::or(ended, timed_out).await {
                returning_pool.check_in(address, sender);
            }
        });
    }
}
