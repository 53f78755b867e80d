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
/// After that, last answers arrive and readers are told what to let go of, until this long before the kill.
const GONE_BEFORE: Nanos = 100 * MILLISECOND;

/// How long another gateway is away that was restarted, about.
const AWAY: Nanos = 3_000 * MILLISECOND;
/// Clients of late who came for the rest of a stream, as a part of what is in hand, from which on another gateway must
/// have ended its streams just now. Servers that break are few at a time.
const MOVED_HERE: f64 = 0.25;

/// Who has come for the rest of a stream that broke elsewhere.
pub struct ResumeRate {
    resumed: DecayingSum,
}

impl Default for ResumeRate {
    fn default() -> Self {
        ResumeRate { resumed: DecayingSum::new(AWAY) }
    }
}

impl ResumeRate {
    pub fn record(&mut self, now: Nanos) {
        self.resumed.add(now, 1.0);
    }

    /// Whether another gateway seems to have left just now, with so many sequences in hand here.
    pub fn another_gateway_stopped(&self, now: Nanos, in_hand: usize) -> bool {
        self.resumed.read(now) > MOVED_HERE * in_hand.max(1) as f64
    }
}

/// Times from the word to stop on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// From when to when streams that run are ended for their clients to ask for the rest elsewhere.
    pub migrate_streams: Option<(Nanos, Nanos)>,
    /// Until then what comes is taken.
    pub accept_until: Nanos,
    /// When what still runs is ended; none where it runs on.
    pub terminate_at: Option<Nanos>,
    /// When the process is to have ended, whatever is left then; none where everything runs on.
    pub exit_by: Option<Nanos>,
}

/// `alone` where no other gateway seems to be there now.
pub fn plan_shutdown(longest_abandon: Nanos, clients_resume: bool, alone: bool) -> ShutdownPlan {
    if !clients_resume {
        return ShutdownPlan {
            migrate_streams: None,
            accept_until: STILL_COMING,
            terminate_at: None,
            exit_by: None,
        };
    }
    let kill = longest_abandon.min(MOST) + KILL_AFTER;
    let before = |time: Nanos| kill.saturating_sub(time).max(STILL_COMING);
    let move_streams = match alone {
        true => (before(MOVED_BEFORE), before(MOVED_LATE_BEFORE)),
        false => (STILL_COMING, before(MOVED_BEFORE)),
    };
    ShutdownPlan {
        migrate_streams: Some(move_streams),
        accept_until: before(SHUT_BEFORE),
        terminate_at: Some(before(ENDED_BEFORE)),
        exit_by: Some(before(GONE_BEFORE)),
    }
}

impl ShutdownPlan {
    /// How many of the streams that run are to be ended by now, where the next time to ask is `next`.
    pub fn streams_to_migrate(&self, at: Nanos, next: Nanos, running: usize) -> usize {
        match self.migrate_streams {
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
mod tests;
