//! Whose fault it is that a connection of many streams takes nothing more.
//!
//! Streams of one connection share its window. A client that does not read one of them leaves that stream's bytes in
//! the shared window, until nothing is left for the others. Then the stream that holds most of it is ended, so that
//! the others go on; one at a time, since ending it gives its bytes back at once with most clients. Streams that only
//! wait for the window are not at fault, however long.

use petrelshore::interface::Nanos;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
/// Windows before a peer says otherwise, by the protocol.
const DEFAULT: i64 = 65_535;
/// A window with less than this left is used up: no message fits.
const USED_UP: i64 = 64;
/// The whole connection may stand still for so long before a stream is ended for it, and again so long after.
const STANDSTILL: Nanos = 3 * SECOND;
/// A stream that holds less than this part of what is out is not the cause.
const PART: f64 = 0.125;

pub type StreamId = u32;

#[derive(Debug, Default)]
struct Stream {
    /// Bytes sent that the peer has not given back.
    out: i64,
}

#[derive(Debug)]
pub struct Windows {
    left: i64,
    streams: BTreeMap<StreamId, Stream>,
    /// Since when nothing could be sent, and nothing was given back.
    still_since: Option<Nanos>,
}

impl Default for Windows {
    fn default() -> Self {
        Windows { left: DEFAULT, streams: BTreeMap::new(), still_since: None }
    }
}

impl Windows {
    /// A stream has sent so many bytes.
    pub fn sent(&mut self, now: Nanos, stream: StreamId, bytes: usize) {
        self.left -= bytes as i64;
        self.streams.entry(stream).or_default().out += bytes as i64;
        if self.left < USED_UP {
            self.still_since.get_or_insert(now);
        }
    }

    /// The peer gave back so many bytes, of a stream or, for stream 0, of the connection.
    pub fn given(&mut self, now: Nanos, stream: StreamId, bytes: u32) {
        match stream {
            0 => {
                self.left = self.left.saturating_add(i64::from(bytes));
                self.still_since = (self.left < USED_UP).then_some(now);
            }
            stream => {
                if let Some(of) = self.streams.get_mut(&stream) {
                    of.out = (of.out - i64::from(bytes)).max(0);
                }
            }
        }
    }

    /// A stream is over. What it had out counts against the connection until the peer gives it back.
    pub fn closed(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
    }

    /// When [`Windows::to_end`] may next name a stream.
    pub fn next_due(&self) -> Option<Nanos> {
        self.still_since.map(|since| since + STANDSTILL)
    }

    /// The stream to be ended by now, so that the others can go on. None where no single one is the cause.
    pub fn to_end(&mut self, now: Nanos) -> Option<StreamId> {
        let since = self.still_since.filter(|since| now >= since + STANDSTILL)?;
        // Ending one must have had its time to help before the next goes.
        self.still_since = Some(now.max(since));
        let all: i64 = self.streams.values().map(|stream| stream.out).sum();
        let (id, most) = self.streams.iter().max_by_key(|(id, stream)| (stream.out, **id))?;
        let alone = self.streams.len() == 1;
        (!alone && most.out > 0 && most.out as f64 >= PART * all as f64).then_some(*id)
    }
}
