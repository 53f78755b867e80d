//! How a gateway leaves that was told to stop and will be killed after a while.
//!
//! Fronts notice late: clients go on connecting for a moment, and use the connections that they have. So it first goes
//! on as before, then lets those go that ask nothing, and answers what it has taken. Where clients ask for the rest of
//! a broken stream, streams that would be killed are ended in time; elsewhere they run on for as long as they can.

use petrelshore::interface::Nanos;

const MILLISECOND: Nanos = 1_000_000;
/// New connections may come for so long.
pub const STILL_COMING: Nanos = 600 * MILLISECOND;
/// The kill comes this long after the longest time for which a client waits, or after `SHORTEST` where that is longer.
const KILL_AFTER: Nanos = 700 * MILLISECOND;
const SHORTEST: Nanos = 3_000 * MILLISECOND;
/// Everything is ended this long before it.
const BEFORE_KILL: Nanos = 400 * MILLISECOND;

/// When streams that still run are ended, counted from the word to stop; none where they run on.
pub fn end_streams_after(longest_abandon: Nanos, clients_resume: bool) -> Option<Nanos> {
    clients_resume.then(|| (longest_abandon.max(SHORTEST) + KILL_AFTER).saturating_sub(BEFORE_KILL))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn streams_end_before_the_kill_where_clients_ask_for_the_rest() {
        assert_eq!(end_streams_after(10_000 * MILLISECOND, true), Some(10_300 * MILLISECOND));
        assert_eq!(end_streams_after(500 * MILLISECOND, true), Some(3_300 * MILLISECOND));
        assert_eq!(end_streams_after(500 * MILLISECOND, false), None);
    }
}
