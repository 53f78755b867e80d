//! The events of a simulation, and the event queue.

use petrelshore::interface::{Nanos, SequenceId};
use petrelshore_gateway_core::Dispatch;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An attempt that is sent to a running server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exchange {
    pub(super) dispatch: Dispatch,
    /// The index of the gateway that sent the attempt.
    pub(super) gateway: usize,
    /// The incarnation of the server when it received the attempt.
    pub(super) incarnation: u64,
}

/// A change at a point in virtual time.
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

/// An event with its time. Events with the same time are ordered by `number`.
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

/// A queue of events in the order of their times, then in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<TimedEvent>>,
    /// Number of events scheduled so far, which numbers the events.
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Nanos, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(TimedEvent { at, number: self.scheduled, event }));
    }

    /// Removes the next event. Returns `None` if the queue is empty or the event is not before `end`.
    pub(super) fn next_before(&mut self, end: Nanos) -> Option<(Nanos, Event)> {
        let Reverse(next) = self.events.pop()?;
        (next.at < end).then_some((next.at, next.event))
    }
}
