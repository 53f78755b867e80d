//! The timers of all sequences, in order of their deadlines.

use petrelshore::interface::{Nanos, SequenceId};
use std::collections::BTreeSet;

/// The deadlines of all timers with their sequences. Each sequence also stores its own deadline, by which the queue
/// finds the entry to remove.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    deadlines: BTreeSet<(Nanos, SequenceId)>,
}

impl TimerQueue {
    /// Sets the timer of a sequence and replaces a timer that was set before. `timer` is the deadline that the sequence
    /// stores.
    pub(super) fn set(&mut self, id: SequenceId, timer: &mut Option<Nanos>, deadline: Nanos) {
        self.cancel(id, timer);
        *timer = Some(deadline);
        self.deadlines.insert((deadline, id));
    }

    /// Cancels the timer of a sequence, if one is set.
    pub(super) fn cancel(&mut self, id: SequenceId, timer: &mut Option<Nanos>) {
        if let Some(deadline) = timer.take() {
            self.deadlines.remove(&(deadline, id));
        }
    }

    /// Returns the earliest deadline.
    pub(super) fn next_deadline(&self) -> Option<Nanos> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns the sequence with the earliest deadline if that deadline has passed.
    pub(super) fn pop_expired(&mut self, now: Nanos) -> Option<SequenceId> {
        let (deadline, id) = self.deadlines.first().copied()?;
        if deadline > now {
            return None;
        }
        self.deadlines.remove(&(deadline, id));
        Some(id)
    }
}
