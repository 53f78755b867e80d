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
/// Everything is ended this long before it.
const BEFORE_KILL: Nanos = 400 * MILLISECOND;
/// What is taken at the last may take this long to its first token.
const LAST_TAKEN: Nanos = 800 * MILLISECOND;

/// Times from the word to stop on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// Until then everything goes on as before.
    pub serve_for: Nanos,
    /// When what still runs is ended; none where it runs on.
    pub end_streams_after: Option<Nanos>,
}

pub fn leaving(longest_abandon: Nanos, clients_resume: bool) -> Leaving {
    let end = longest_abandon.min(MOST) + KILL_AFTER - BEFORE_KILL;
    match clients_resume {
        true => Leaving {
            serve_for: end.saturating_sub(LAST_TAKEN).max(STILL_COMING),
            end_streams_after: Some(end.max(STILL_COMING)),
        },
        false => Leaving { serve_for: STILL_COMING, end_streams_after: None },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn streams_end_before_the_kill_where_clients_ask_for_the_rest() {
        let times = |longest: Nanos, resume| {
            let leaving = leaving(longest * MILLISECOND, resume);
            (leaving.serve_for / MILLISECOND, leaving.end_streams_after.map(|after| after / MILLISECOND))
        };
        assert_eq!(times(10_000, true), (2_500, Some(3_300)));
        assert_eq!(times(1_000, true), (600, Some(1_300)));
        assert_eq!(times(10, true), (600, Some(600)));
        assert_eq!(times(10_000, false), (600, None));
    }
}
