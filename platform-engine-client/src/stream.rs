//! A stream of events that is passed on as it comes.

use crate::client::{PooledConnection, Shared, ending};
use bytes::{Bytes, BytesMut};
use petrelshore::interface::LoadReport;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_http1::body::{BodyDecoder, Framing};
use petrelshore_http1::head::ResponseHead;
use petrelshore_platform_protocol::load;
use std::net::SocketAddr;
use std::rc::Rc;

/// An event larger than this is none.
const LARGEST_EVENT: usize = 64 << 10;
/// The comment by which a stream tells its server's load.
const LOAD: &str = ": Srv-Load:";
/// How the lines of an event begin.
const LINES: [&[u8]; 5] = [b"data:", b":", b"event:", b"id:", b"retry:"];

pub struct Stream {
    client: Rc<Shared>,
    to: SocketAddr,
    head: ResponseHead,
    body: BodyDecoder,
    connection: Option<PooledConnection>,
    data: BytesMut,
    pub load: Option<LoadReport>,
}

impl Stream {
    pub(crate) fn new(
        client: Rc<Shared>,
        to: SocketAddr,
        head: ResponseHead,
        body: BodyDecoder,
        connection: PooledConnection,
    ) -> Self {
        Stream { client, to, head, body, connection: Some(connection), data: BytesMut::new(), load: None }
    }

    /// The events that have come since, whole and unchanged; none once the stream is whole. Its connection then
    /// serves another exchange, unless more came behind it.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        if self.head.framing != Framing::Chunked {
            return Err(AttemptEnd::Malformed);
        }
        loop {
            let Some(connection) = self.connection.as_mut() else { return Ok(None) };
            let over = self
                .body
                .decode(&mut connection.wire.buffer, &mut self.data)
                .map_err(|_| AttemptEnd::Malformed)?;
            let whole = if over { self.data.len() } else { whole_events(&self.data) };
            if whole > 0 {
                let events = self.data.split_to(whole).freeze();
                self.look_at(&events)?;
                return Ok(Some(events));
            }
            if over {
                if let Some(connection) = self.connection.take() {
                    self.client.keep(self.to, connection, &self.head);
                }
                return Ok(None);
            }
            if self.data.len() > LARGEST_EVENT {
                return Err(AttemptEnd::Malformed);
            }
            connection.wire.read_more().await.map_err(ending)?;
        }
    }

    /// Guards against passing noise on, and takes up the load that a comment tells.
    fn look_at(&mut self, events: &[u8]) -> Result<(), AttemptEnd> {
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if !line.is_empty() && !LINES.iter().any(|begin| line.starts_with(begin)) {
                return Err(AttemptEnd::Malformed);
            }
            let told = line.strip_prefix(LOAD.as_bytes()).and_then(|text| std::str::from_utf8(text).ok());
            self.load = told.and_then(|text| load::pairs(text.trim(), &self.client.fields)).or(self.load);
        }
        Ok(())
    }
}

/// Up to where whole events go.
fn whole_events(data: &[u8]) -> usize {
    let blank = |at: &usize| data[*at] == b'\n' && matches!(data[..*at], [.., b'\n'] | [.., b'\n', b'\r']);
    (0..data.len()).rev().find(blank).map_or(0, |at| at + 1)
}

#[cfg(test)]
mod tests;
