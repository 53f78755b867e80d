//! When servers started, by the local clock.
//!
//! Endpoint lists give start times by the wall clocks of other machines. Those may be wrong, and be stepped while gateways
//! run, and so may this machine's. What is certain is the order on the local clock: a server started before it was
//! listed, and one that is new in a list started after the list before it was made, except for the time that a list takes
//! to come. These bounds give an estimate of the offset between the clocks: as long as it lies between them it is kept,
//! and where it does not, the new server counts as started just now, the slowest start there is.

use crate::bounded::BoundedTable;
use crate::interface::{Endpoint, Nanos, ServerId, SnapshotKind, StartTimeClock};
use std::borrow::Cow;

/// Most nanoseconds by which two wall clocks may differ that are each wrong by an hour, and some minutes for servers that
/// started just now.
const MAX_CLOCK_OFFSET: i64 = 7_500_000_000_000;
/// Most nanoseconds between a start and the list that has it.
const MAX_LIST_DELAY: Nanos = 2_000_000_000;
/// Servers whose start is remembered, listed or not: one that comes back does not count as new.
const MAX_KNOWN_SERVERS: usize = 16_384;

/// The last known start of a server.
#[derive(Clone, Copy)]
struct KnownStart {
    /// As its endpoint gave it.
    listed: Nanos,
    /// By the local clock.
    local: Nanos,
}

/// What endpoint lists have shown of start times.
pub(super) struct StartTimes {
    clock: StartTimeClock,
    /// The lists' clock less the local one, in nanoseconds; none before the first start time.
    offset: Option<i64>,
    /// When the last list came that was not a cached one.
    last_list_at: Option<Nanos>,
    known: BoundedTable<ServerId, KnownStart>,
}

impl StartTimes {
    /// No start times, on the clock given.
    pub(super) fn new(clock: StartTimeClock) -> Self {
        StartTimes { clock, offset: None, last_list_at: None, known: BoundedTable::new(MAX_KNOWN_SERVERS) }
    }

    /// The entries of a list, with start times by the local clock.
    pub(super) fn on_local_clock<'a>(
        &mut self,
        now: Nanos,
        scope: SnapshotKind,
        entries: &'a [Endpoint],
    ) -> Cow<'a, [Endpoint]> {
        if self.clock == StartTimeClock::Local {
            return Cow::Borrowed(entries);
        }
        self.update_offset(now, entries);
        if scope != SnapshotKind::Cached {
            self.last_list_at = Some(now);
        }
        let with_local_start =
            |entry: &Endpoint| Endpoint { started_at: self.local_start(now, entry), ..entry.clone() };
        Cow::Owned(entries.iter().map(with_local_start).collect())
    }

    /// Keeps the estimated offset between its bounds, by the newest of the starts that were not known.
    fn update_offset(&mut self, now: Nanos, entries: &[Endpoint]) {
        let Some(newest) = self.newest_start(entries) else { return };
        let min_offset = to_signed(newest) - to_signed(now);
        let Some(last_list_at) = self.last_list_at else {
            // The newest of all starts so far: maybe just now. By a clock that is ahead it looks old.
            let offset = if min_offset >= -MAX_CLOCK_OFFSET { min_offset } else { 0 };
            self.offset = Some(self.offset.map_or(offset, |known| known.max(offset)));
            return;
        };
        let max_offset = to_signed(newest) - to_signed(last_list_at.saturating_sub(MAX_LIST_DELAY));
        let offset = self.offset.unwrap_or(0);
        self.offset = Some(if (min_offset..=max_offset).contains(&offset) { offset } else { min_offset });
    }

    /// The newest start time of a list that was not known, if any is given.
    fn newest_start(&self, entries: &[Endpoint]) -> Option<Nanos> {
        let is_new = |entry: &&Endpoint| {
            self.known.get(&entry.server).is_none_or(|start| start.listed != entry.started_at)
        };
        let newest = entries.iter().filter(is_new).map(|entry| entry.started_at).max();
        newest.filter(|start| *start > 0)
    }

    /// When a server started by the local clock; zero: long ago.
    fn local_start(&mut self, now: Nanos, entry: &Endpoint) -> Nanos {
        let listed = entry.started_at;
        if listed == 0 {
            return 0;
        }
        let before = self.known.get(&entry.server).copied();
        if let Some(start) = before.filter(|start| start.listed == listed) {
            // Inserted again: what leaves a full table is what has not been listed for longest.
            self.known.insert(entry.server, start);
            return start.local;
        }
        // Another start of the same server is a later one, whatever the list's clock says.
        let earliest = before.map_or(1, |start| start.local + 1);
        let local = listed.saturating_add_signed(-self.offset.unwrap_or(0)).min(now).max(earliest);
        self.known.insert(entry.server, KnownStart { listed, local });
        local
    }
}

fn to_signed(time: Nanos) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}
