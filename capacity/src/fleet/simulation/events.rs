//! The events of a simulation, and their queue.

use petrelshore::interface::{Nanos, SequenceId};
use petrelshore_gateway_core::Dispatch;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An attempt that a server accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exchange {
    pub(super) dispatch: Dispatch,
    pub(super) gateway: usize,
    /// The incarnation of the server that accepted it.
    pub(super) incarnation: u64,
}

/// What happens at some time.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    Arrival,
    PrefillDone { exchange: Exchange, cached_tokens: f64 },
    FirstToken { exchange: Exchange, token_interval: Nanos },
    Tokens { id: SequenceId, gateway: usize },
    StreamEnded { exchange: Exchange, tokens: f64 },
    AttemptFailed { dispatch: Dispatch, gateway: usize, end: AttemptEnd },
    Timeout { gateway: usize },
    ZoneLost,
    ZoneRestarted,
    ZoneNotification { gateway: usize, lost: bool },
}

/// An event at its time; the number keeps the order of those at one time.
struct TimedEvent {
    at: Nanos,
    number: u64,
    event: Event,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events in the order of their times.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<TimedEvent>>,
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Nanos, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(TimedEvent { at, number: self.scheduled, event }));
    }

    /// Removes the next event, where it is before `end`.
    pub(super) fn next_before(&mut self, end: Nanos) -> Option<(Nanos, Event)> {
        let Reverse(next) = self.events.pop()?;
        (next.at < end).then_some((next.at, next.event))
    }
}
