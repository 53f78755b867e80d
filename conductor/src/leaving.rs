//! How a gateway leaves that was told to stop and will be killed after a while.
//!
//! Fronts notice late, and another gateway may not be back yet: clients go on connecting for a moment, and use the
//! connections that they have for as long as these are open. So it goes on as before for as long as it can, then lets
//! those go that ask nothing. Where clients ask for the rest of a broken stream, streams that would be killed are
//! ended in time; elsewhere it takes nothing late, and they run on for as long as they can.
//!
//! Streams that are ended all together come back all together, each with a prompt to be read anew, and the readers jam.
//! So they are ended one after the other, over as long as there is somebody who takes them up.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::Nanos;

const MILLISECOND: Nanos = 1_000_000;
/// New connections may come for so long.
const STILL_COMING: Nanos = 600 * MILLISECOND;
/// The kill comes this long after the longest time for which a client waits, counted as `MOST` where that is longer.
const KILL_AFTER: Nanos = 700 * MILLISECOND;
const MOST: Nanos = 3_000 * MILLISECOND;
/// The last stream is moved this long before it: the next gateway may be told to stop right after this one is gone,
/// and must have time to take it up before that.
const MOVED_BEFORE: Nanos = 1_100 * MILLISECOND;
/// While another gateway is away too, streams are moved this late: it may be back by then.
const MOVED_LATE_BEFORE: Nanos = 600 * MILLISECOND;
/// Nothing more is taken this long before it, and everything is ended.
const SHUT_BEFORE: Nanos = 900 * MILLISECOND;
const ENDED_BEFORE: Nanos = 400 * MILLISECOND;

/// How long another gateway is away that was restarted, about.
const AWAY: Nanos = 3_000 * MILLISECOND;
/// Clients of late who came for the rest of a stream, as a part of what is in hand, from which on another gateway must
/// have ended its streams just now. Servers that break are few at a time.
const MOVED_HERE: f64 = 0.25;

/// Who has come for the rest of a stream that broke elsewhere.
pub struct Arrivals {
    resumed: DecayingSum,
}

impl Default for Arrivals {
    fn default() -> Self {
        Arrivals { resumed: DecayingSum::new(AWAY) }
    }
}

impl Arrivals {
    pub fn resumed(&mut self, now: Nanos) {
        self.resumed.add(now, 1.0);
    }

    /// Whether another gateway seems to have left just now, with so many sequences in hand here.
    pub fn another_left(&self, now: Nanos, in_hand: usize) -> bool {
        self.resumed.read(now) > MOVED_HERE * in_hand.max(1) as f64
    }
}

/// Times from the word to stop on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// From when to when streams that run are ended for their clients to ask for the rest elsewhere.
    pub move_streams: Option<(Nanos, Nanos)>,
    /// Until then what comes is taken.
    pub serve_until: Nanos,
    /// When what still runs is ended; none where it runs on.
    pub end_all_at: Option<Nanos>,
}

/// `alone` where no other gateway seems to be there now.
pub fn leaving(longest_abandon: Nanos, clients_resume: bool, alone: bool) -> Leaving {
    if !clients_resume {
        return Leaving { move_streams: None, serve_until: STILL_COMING, end_all_at: None };
    }
    let kill = longest_abandon.min(MOST) + KILL_AFTER;
    let before = |time: Nanos| kill.saturating_sub(time).max(STILL_COMING);
    let move_streams = match alone {
        true => (before(MOVED_BEFORE), before(MOVED_LATE_BEFORE)),
        false => (STILL_COMING, before(MOVED_BEFORE)),
    };
    Leaving {
        move_streams: Some(move_streams),
        serve_until: before(SHUT_BEFORE),
        end_all_at: Some(before(ENDED_BEFORE)),
    }
}

impl Leaving {
    /// How many of the streams that run are to be ended by now, where the next time to ask is `next`.
    pub fn to_move(&self, at: Nanos, next: Nanos, running: usize) -> usize {
        match self.move_streams {
            Some((from, until)) if at >= from => {
                let left = until.saturating_sub(at).max(1);
                let part = (next.saturating_sub(at) as f64 / left as f64).min(1.0);
                (running as f64 * part).ceil() as usize
            }
            _ => 0,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn streams_move_before_the_kill_where_clients_ask_for_the_rest() {
        let times = |longest: Nanos, resume, alone| {
            let leaving = leaving(longest * MILLISECOND, resume, alone);
            let ms = |time: Nanos| time / MILLISECOND;
            let moved = leaving.move_streams.map(|(from, until)| (ms(from), ms(until)));
            (moved, ms(leaving.serve_until), leaving.end_all_at.map(ms))
        };
        assert_eq!(times(10_000, true, false), (Some((600, 2_600)), 2_800, Some(3_300)));
        assert_eq!(times(10_000, true, true), (Some((2_600, 3_100)), 2_800, Some(3_300)));
        assert_eq!(times(1_000, true, false), (Some((600, 600)), 800, Some(1_300)));
        assert_eq!(times(10, true, true), (Some((600, 600)), 600, Some(600)));
        assert_eq!(times(10_000, false, true), (None, 600, None));
    }

    #[test]
    fn streams_are_moved_one_after_the_other_and_none_is_left() {
        let leaving = leaving(10_000 * MILLISECOND, true, false);
        let (mut running, mut moved) = (40, Vec::new());
        for at in (0..=2_600).step_by(100).map(|at| at * MILLISECOND) {
            let now = leaving.to_move(at, at + 100 * MILLISECOND, running);
            running -= now;
            moved.push(now);
        }
        assert_eq!(
            (running, moved.iter().max(), moved[..6].iter().sum::<usize>()),
            (0, Some(&2), 0),
            "{moved:?}"
        );
    }

    #[test]
    fn many_who_come_for_the_rest_of_a_stream_tell_that_another_gateway_has_left() {
        let mut arrivals = Arrivals::default();
        (0..5).for_each(|_| arrivals.resumed(0));
        assert!(!arrivals.another_left(0, 60), "one server has broken");
        (0..30).for_each(|_| arrivals.resumed(0));
        assert!(arrivals.another_left(0, 60));
        assert!(!arrivals.another_left(5 * AWAY, 60), "it is back");
    }
}
