//! Converts the start times of servers to the local clock.
//!
//! Endpoint lists give start times by the wall clocks of other machines. These clocks and the wall clock of this
//! machine may be wrong, and may be stepped while gateways run. Only the order of events on the local clock is certain.
//! A server started before it was listed. A server that is new in a list started after the previous list was made,
//! which was some time before the previous list arrived. These two bounds limit the offset between the clocks. The
//! estimated offset is kept while it lies between the bounds. Otherwise the new server counts as started just now,
//! which gives it the longest possible slow start.

use crate::bounded::BoundedTable;
use crate::interface::{Endpoint, Nanos, ServerId, SnapshotKind, StartTimeClock};
use std::borrow::Cow;

/// Maximum offset between two wall clocks, in nanoseconds: each of them may be wrong by an hour, and some minutes are
/// added for servers that started just now.
const MAX_CLOCK_OFFSET: i64 = 7_500_000_000_000;
/// Maximum time between a server's start and the arrival of the list that contains the start, in nanoseconds.
const MAX_LIST_DELAY: Nanos = 2_000_000_000;
/// Maximum number of servers whose start is remembered, whether they are listed or not: a server that is listed again
/// does not count as new.
const MAX_KNOWN_SERVERS: usize = 16_384;

/// The last known start of a server.
#[derive(Clone, Copy)]
struct KnownStart {
    /// The start time that the endpoint list gave.
    listed: Nanos,
    /// The start time by the local clock.
    local: Nanos,
}

/// The start times from endpoint lists, and the estimated offset of their clock.
pub(super) struct StartTimes {
    clock: StartTimeClock,
    /// The clock of the endpoint lists minus the local clock, in nanoseconds; `None` before the first start time.
    offset: Option<i64>,
    /// When the last list that was not a cached list arrived.
    last_list_at: Option<Nanos>,
    known: BoundedTable<ServerId, KnownStart>,
}

impl StartTimes {
    /// Creates an empty table for start times on the given clock.
    pub(super) fn new(clock: StartTimeClock) -> Self {
        StartTimes { clock, offset: None, last_list_at: None, known: BoundedTable::new(MAX_KNOWN_SERVERS) }
    }

    /// Returns the entries of a list with start times by the local clock.
    pub(super) fn on_local_clock<'a>(
        &mut self,
        now: Nanos,
        kind: SnapshotKind,
        entries: &'a [Endpoint],
    ) -> Cow<'a, [Endpoint]> {
        if self.clock == StartTimeClock::Local {
            return Cow::Borrowed(entries);
        }
        self.update_offset(now, entries);
        if kind != SnapshotKind::Cached {
            self.last_list_at = Some(now);
        }
        let with_local_start =
            |entry: &Endpoint| Endpoint { started_at: self.local_start(now, entry), ..entry.clone() };
        Cow::Owned(entries.iter().map(with_local_start).collect())
    }

    /// Updates the estimated offset so that it lies between the bounds from the newest of the new start times.
    fn update_offset(&mut self, now: Nanos, entries: &[Endpoint]) {
        let Some(newest) = self.newest_start(entries) else { return };
        let min_offset = to_signed(newest) - to_signed(now);
        let Some(last_list_at) = self.last_list_at else {
            // Until a list that is not cached has been applied, the newest start so far counts as just now, unless the
            // offset would be larger than possible: the start may look old only because the local clock is ahead of the
            // list's clock.
            let offset = if min_offset >= -MAX_CLOCK_OFFSET { min_offset } else { 0 };
            self.offset = Some(self.offset.map_or(offset, |known| known.max(offset)));
            return;
        };
        let max_offset = to_signed(newest) - to_signed(last_list_at.saturating_sub(MAX_LIST_DELAY));
        let offset = self.offset.unwrap_or(0);
        self.offset = Some(if (min_offset..=max_offset).contains(&offset) { offset } else { min_offset });
    }

    /// The newest of the start times in a list that were not known before; `None` if all start times were known or are
    /// zero.
    fn newest_start(&self, entries: &[Endpoint]) -> Option<Nanos> {
        let is_new = |entry: &&Endpoint| {
            self.known.get(&entry.server).is_none_or(|start| start.listed != entry.started_at)
        };
        let newest = entries.iter().filter(is_new).map(|entry| entry.started_at).max();
        newest.filter(|start| *start > 0)
    }

    /// The start time of a server by the local clock; zero for a server that started long ago.
    fn local_start(&mut self, now: Nanos, entry: &Endpoint) -> Nanos {
        let listed = entry.started_at;
        if listed == 0 {
            return 0;
        }
        let previous = self.known.get(&entry.server).copied();
        if let Some(start) = previous.filter(|start| start.listed == listed) {
            // The entry is inserted again so that a full table drops the server that has not been listed for the
            // longest time.
            self.known.insert(entry.server, start);
            return start.local;
        }
        // A new start of a known server is later than its previous start, whatever the list's clock says.
        let earliest = previous.map_or(1, |start| start.local + 1);
        let local = listed.saturating_add_signed(-self.offset.unwrap_or(0)).min(now).max(earliest);
        self.known.insert(entry.server, KnownStart { listed, local });
        local
    }
}

fn to_signed(time: Nanos) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}
