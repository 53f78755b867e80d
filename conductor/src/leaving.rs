//! How a gateway leaves that was told to stop and will be killed after a while.
//!
//! Fronts notice late, and another gateway may not be back yet: clients go on connecting for a moment, and use the
//! connections that they have for as long as these are open. So it goes on as before for as long as it can, then lets
//! those go that ask nothing. Where clients ask for the rest of a broken stream, streams that would be killed are
//! ended in time; elsewhere it takes nothing late, and they run on for as long as they can.

use petrelshore::interface::Nanos;

const MILLISECOND: Nanos = 1_000_000;
/// New connections may come for so long.
const STILL_COMING: Nanos = 600 * MILLISECOND;
/// The kill comes this long after the longest time for which a client waits, counted as `MOST` where that is longer.
const KILL_AFTER: Nanos = 700 * MILLISECOND;
const MOST: Nanos = 3_000 * MILLISECOND;
/// Streams are moved this long before it, all together: the next gateway may be told to stop right after this one is
/// gone, and must have time to take them up before that.
const MOVED_BEFORE: Nanos = 1_100 * MILLISECOND;
/// Nothing more is taken this long before it, and everything is ended.
const SHUT_BEFORE: Nanos = 900 * MILLISECOND;
const ENDED_BEFORE: Nanos = 400 * MILLISECOND;

/// Times from the word to stop on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// When streams that run are ended for their clients to ask for the rest elsewhere; new ones are still taken.
    pub move_streams_at: Option<Nanos>,
    /// Until then what comes is taken.
    pub serve_until: Nanos,
    /// When what still runs is ended; none where it runs on.
    pub end_all_at: Option<Nanos>,
}

pub fn leaving(longest_abandon: Nanos, clients_resume: bool) -> Leaving {
    if !clients_resume {
        return Leaving { move_streams_at: None, serve_until: STILL_COMING, end_all_at: None };
    }
    let kill = longest_abandon.min(MOST) + KILL_AFTER;
    let before = |time: Nanos| kill.saturating_sub(time).max(STILL_COMING);
    Leaving {
        move_streams_at: Some(before(MOVED_BEFORE)),
        serve_until: before(SHUT_BEFORE),
        end_all_at: Some(before(ENDED_BEFORE)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn streams_move_before_the_kill_where_clients_ask_for_the_rest() {
        let times = |longest: Nanos, resume| {
            let Leaving { move_streams_at, serve_until, end_all_at } = leaving(longest * MILLISECOND, resume);
            let ms = |time: Nanos| time / MILLISECOND;
            (move_streams_at.map(ms), ms(serve_until), end_all_at.map(ms))
        };
        assert_eq!(times(10_000, true), (Some(2_600), 2_800, Some(3_300)));
        assert_eq!(times(1_000, true), (Some(600), 800, Some(1_300)));
        assert_eq!(times(10, true), (Some(600), 600, Some(600)));
        assert_eq!(times(10_000, false), (None, 600, None));
    }
}
