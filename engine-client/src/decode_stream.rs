//! The stream of a decode response.

use crate::pool::{Pool, Sender};
use crate::sse::Events;
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
/// After that event the body must end within this time for its connection to be reused.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(500);

/// An answer that is being generated. Dropping it closes its connection.
pub struct DecodeStream {
    address: SocketAddr,
    pool: Rc<Pool>,
    sender: Sender,
    body: Incoming,
    events: Events,
    ready: VecDeque<Piece>,
    finished: bool,
}

impl DecodeStream {
    pub(crate) fn new(address: SocketAddr, pool: Rc<Pool>, sender: Sender, body: Incoming) -> Self {
        let (events, ready) = (Events::default(), VecDeque::new());
        DecodeStream { address, pool, sender, body, events, ready, finished: false }
    }

    /// The next piece; none once the answer is complete.
    pub async fn next(&mut self) -> Result<Option<Piece>, AttemptEnd> {
        loop {
            if let Some(piece) = self.ready.pop_front() {
                return Ok(Some(piece));
            }
            match self.events.next_event().map_err(|_| AttemptEnd::Malformed)? {
                Some(data) if data == DONE_EVENT => {
                    return if self.finished { Ok(None) } else { Err(AttemptEnd::Malformed) };
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
                self.events.feed(&bytes).map_err(|_| AttemptEnd::Malformed)
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
        self.finished |= pieces.iter().any(|piece| matches!(piece, Piece::Finish(_)));
        self.ready.extend(pieces);
        Ok(())
    }

    /// Returns the connection of a complete answer to the pool. The end of its body may still be on its way; whoever
    /// waits for the answer does not wait for that.
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
