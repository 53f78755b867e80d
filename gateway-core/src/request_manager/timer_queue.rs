//! The timers of all sequences, in order of their deadlines.

use petrelshore::interface::{Nanos, SequenceId};
use std::collections::BTreeSet;

/// Deadlines with the sequences that they belong to. Each sequence keeps its own deadline, so that it can be found
/// here again.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    deadlines: BTreeSet<(Nanos, SequenceId)>,
}

impl TimerQueue {
    /// Sets the timer of a sequence in place of the one that it has.
    pub(super) fn set(&mut self, id: SequenceId, timer: &mut Option<Nanos>, deadline: Nanos) {
        self.cancel(id, timer);
        *timer = Some(deadline);
        self.deadlines.insert((deadline, id));
    }

    /// Cancels the timer of a sequence, if it has one.
    pub(super) fn cancel(&mut self, id: SequenceId, timer: &mut Option<Nanos>) {
        if let Some(deadline) = timer.take() {
            self.deadlines.remove(&(deadline, id));
        }
    }

    /// The earliest deadline.
    pub(super) fn next_deadline(&self) -> Option<Nanos> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Takes out the sequence with the earliest deadline if that has passed.
    pub(super) fn pop_expired(&mut self, now: Nanos) -> Option<SequenceId> {
        let (deadline, id) = self.deadlines.first().copied()?;
        if deadline > now {
            return None;
        }
        self.deadlines.remove(&(deadline, id));
        Some(id)
    }
}
