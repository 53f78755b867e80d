//! When servers started, by the own clock.
//!
//! Lists tell starts by the wall clocks of other machines. Those may be wrong, and be stepped while gateways run, and so
//! may this machine's. What is sure is the order on the own clock: a server started before it was told, and one that is
//! new in a list started after the list before it was made, but for the time that word of it takes. So how far the
//! stamps' clock is ahead of the own one is estimated from those bounds: as long as the estimate lies between them it
//! stays, and where it does not, the server that is told counts as started just now, the slowest start there is.

use crate::bounded::BoundedTable;
use crate::interface::*;
use std::borrow::Cow;

/// The most by which two wall clocks may be apart that are each wrong by an hour, and some minutes for starts just now.
const WRONG_MOST: i64 = 7_500_000_000_000;
/// How long word of a start may take while lists come.
const WORD_TAKES: Nanos = 2_000_000_000;
/// Starts that are remembered, also of servers that are listed no more: one that comes back is not taken for new.
const MOST_KNOWN: usize = 16_384;

#[derive(Clone, Copy)]
struct Start {
    stamp: Nanos,
    at: Nanos,
}

/// What lists have told of starts.
pub(super) struct StartTimes {
    stamps: StartTimeClock,
    /// The stamps' clock less the own one, in nanoseconds; none before the first stamp.
    ahead: Option<i64>,
    /// When discovery's last list came.
    listed: Option<Nanos>,
    known: BoundedTable<ServerId, Start>,
}

impl StartTimes {
    pub(super) fn new(stamps: StartTimeClock) -> Self {
        StartTimes { stamps, ahead: None, listed: None, known: BoundedTable::new(MOST_KNOWN) }
    }

    /// The entries of a list, with starts by the own clock.
    pub(super) fn on_own_clock<'a>(
        &mut self,
        now: Nanos,
        scope: SnapshotKind,
        entries: &'a [Endpoint],
    ) -> Cow<'a, [Endpoint]> {
        if self.stamps == StartTimeClock::Local {
            return Cow::Borrowed(entries);
        }
        self.estimate(now, entries);
        if scope != SnapshotKind::Cached {
            self.listed = Some(now);
        }
        let start = |entry: &Endpoint| Endpoint { started_at: self.started(now, entry), ..entry.clone() };
        Cow::Owned(entries.iter().map(start).collect())
    }

    /// Holds the estimate between its bounds, by the newest of the starts that were not known.
    fn estimate(&mut self, now: Nanos, entries: &[Endpoint]) {
        let new = |entry: &&Endpoint| {
            self.known.get(&entry.server).is_none_or(|start| start.stamp != entry.started_at)
        };
        let newest =
            entries.iter().filter(new).map(|entry| entry.started_at).max().filter(|stamp| *stamp > 0);
        let Some(newest) = newest else { return };
        let least = signed(newest) - signed(now);
        let Some(listed) = self.listed else {
            // The newest of all that have started so far: maybe just now. By a clock that is ahead it looks old.
            let doubtful = if least >= -WRONG_MOST { least } else { 0 };
            self.ahead = Some(self.ahead.map_or(doubtful, |ahead| ahead.max(doubtful)));
            return;
        };
        let most = signed(newest) - signed(listed.saturating_sub(WORD_TAKES));
        let ahead = self.ahead.unwrap_or(0);
        self.ahead = Some(if (least..=most).contains(&ahead) { ahead } else { least });
    }

    fn started(&mut self, now: Nanos, entry: &Endpoint) -> Nanos {
        let stamp = entry.started_at;
        if stamp == 0 {
            return 0;
        }
        let before = self.known.get(&entry.server).copied();
        if let Some(start) = before.filter(|start| start.stamp == stamp) {
            // Written anew: what leaves a full table is what has not been listed for longest.
            self.known.insert(entry.server, start);
            return start.at;
        }
        // Another start of the same server is a later one, whatever the stamps say.
        let earliest = before.map_or(1, |start| start.at + 1);
        let at = stamp.saturating_add_signed(-self.ahead.unwrap_or(0)).min(now).max(earliest);
        self.known.insert(entry.server, Start { stamp, at });
        at
    }
}

fn signed(time: Nanos) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}
