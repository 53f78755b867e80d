//! The event stream of a decode response, whose events are forwarded as they are received.

use crate::connections::{Connections, PooledConnection};
use crate::response::{Response, attempt_end};
use bytes::{Bytes, BytesMut};
use petrelshore::interface::LoadReport;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_http1::body::{BodyDecoder, Framing};
use petrelshore_http1::head::ResponseHead;
use std::net::SocketAddr;
use std::rc::Rc;

/// The maximum size of one event.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// The prefix of the comment in which the server reports its load.
const LOAD_COMMENT: &str = ": Srv-Load:";
/// The prefixes that the lines of an event may have.
const LINE_PREFIXES: [&[u8]; 5] = [b"data:", b":", b"event:", b"id:", b"retry:"];

/// The events of a decode response. Dropping the stream closes its connection, unless the stream is complete.
pub struct Stream {
    connections: Rc<Connections>,
    address: SocketAddr,
    head: ResponseHead,
    body: BodyDecoder,
    connection: Option<PooledConnection>,
    data: BytesMut,
    /// The latest load report that was received in the stream.
    pub load: Option<LoadReport>,
}

impl Stream {
    pub(crate) fn new(connections: Rc<Connections>, address: SocketAddr, response: Response) -> Self {
        let Response { head, body, connection } = response;
        let (connection, data) = (Some(connection), BytesMut::new());
        Stream { connections, address, head, body, connection, data, load: None }
    }

    /// Returns the complete events that were received since the last call, unchanged, or `None` once the stream is
    /// complete. The connection of a complete stream is reused, unless further bytes were received on it.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        if self.head.framing != Framing::Chunked {
            return Err(AttemptEnd::Malformed);
        }
        loop {
            let Some(connection) = self.connection.as_mut() else { return Ok(None) };
            let complete = self
                .body
                .decode(&mut connection.http.buffer, &mut self.data)
                .map_err(|_| AttemptEnd::Malformed)?;
            let ready = if complete { self.data.len() } else { complete_events_len(&self.data) };
            if ready > 0 {
                let events = self.data.split_to(ready).freeze();
                self.inspect(&events)?;
                return Ok(Some(events));
            }
            if complete {
                if let Some(connection) = self.connection.take() {
                    self.connections.check_in(self.address, connection, &self.head);
                }
                return Ok(None);
            }
            if self.data.len() > MAX_EVENT_BYTES {
                return Err(AttemptEnd::Malformed);
            }
            connection.http.read_more().await.map_err(attempt_end)?;
        }
    }

    /// Checks that `events` has only valid event lines, and stores the last load report that its comments contain.
    fn inspect(&mut self, events: &[u8]) -> Result<(), AttemptEnd> {
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if !line.is_empty() && !LINE_PREFIXES.iter().any(|prefix| line.starts_with(prefix)) {
                return Err(AttemptEnd::Malformed);
            }
            let report = line.strip_prefix(LOAD_COMMENT.as_bytes());
            let report = report.and_then(|text| std::str::from_utf8(text).ok());
            self.load = report.and_then(|text| self.connections.parse_load(text.trim())).or(self.load);
        }
        Ok(())
    }
}

/// Returns the length of the complete events at the start of `data`, in bytes.
fn complete_events_len(data: &[u8]) -> usize {
    let ends_event =
        |index: &usize| data[*index] == b'\n' && matches!(data[..*index], [.., b'\n'] | [.., b'\n', b'\r']);
    (0..data.len()).rev().find(ends_event).map_or(0, |index| index + 1)
}

#[cfg(test)]
mod tests;
