//! The state of one sequence in flight.

use super::new_sequence::{NewSequence, Relay};
use crate::attempt_outcome::is_open;
use crate::stream_resumption::{BrokenStream, resume_deadline};
use crate::timeouts;
use petrelshore::interface::{AttemptStatus, Nanos, Sequence, TrafficType};

/// A deadline that never passes.
pub(super) const NO_DEADLINE: Nanos = Nanos::MAX;

/// One sequence in flight: the scheduler's view of the sequence, and the state that only the request manager uses.
pub(super) struct TrackedSequence {
    /// The sequence as the scheduler sees it.
    pub(super) sequence: Sequence,
    /// The way in which the answer reaches the client.
    pub(super) relay: Relay,
    /// Deadline of the sequence's timer in the timer queue, if the timer is set.
    pub(super) timer: Option<Nanos>,
    /// Time at which the complete answer is due.
    pub(super) completion_deadline: Nanos,
    /// Time at which the stream last made progress, or at which its client last stopped or resumed reading.
    pub(super) last_activity_at: Nanos,
    /// Time since which the client has not read the stream; `None` while the client reads.
    pub(super) stalled_since: Option<Nanos>,
    /// Number of tokens received, over all attempts.
    pub(super) tokens_received: u32,
    /// Set once the finish reason of the running stream has arrived: no text of the answer is missing.
    pub(super) finish_received: bool,
    /// Number of times that the stream was resumed after a break.
    pub(super) resumptions: usize,
    /// Number of tokens that had been received when the stream was last resumed.
    pub(super) tokens_resumed_after: u32,
}

impl TrackedSequence {
    /// Returns the state of a sequence that was just accepted.
    pub(super) fn new(now: Nanos, new: NewSequence, traffic_type: &TrafficType) -> Self {
        TrackedSequence {
            relay: new.relay,
            timer: None,
            completion_deadline: completion_deadline(&new, traffic_type),
            last_activity_at: now,
            stalled_since: None,
            tokens_received: 0,
            finish_received: false,
            resumptions: 0,
            tokens_resumed_after: 0,
            sequence: Sequence {
                id: new.id,
                traffic: new.traffic,
                tenant: new.tenant,
                session: new.session,
                prefix: new.prefix,
                prompt_tokens: new.prompt_tokens,
                prefix_tokens: new.prefix_tokens,
                max_output_tokens: new.max_output_tokens,
                output_length_hint: new.output_length_hint,
                resumed: new.resumed,
                arrived_at: now,
                first_token_deadline: new.first_token_deadline,
                attempts: Vec::new(),
                kv_cache: None,
                cache_held_since: None,
                admitted: false,
                completed: false,
            },
        }
    }

    /// Returns whether an attempt is in flight.
    pub(super) fn has_open_attempt(&self) -> bool {
        self.sequence.attempts.iter().any(is_open)
    }

    /// Returns whether the sequence can be removed: it is completed, and no attempt is in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.sequence.completed && !self.has_open_attempt()
    }

    /// Returns whether the last attempt is streaming.
    pub(super) fn is_streaming(&self) -> bool {
        self.sequence.attempts.last().is_some_and(|attempt| attempt.status == AttemptStatus::Streaming)
    }

    /// Returns whether the last attempt is streaming and has sent the whole text of the answer. Its stream may still break
    /// before the token counts and the end marker, but another attempt would generate text past the end.
    pub(super) fn has_whole_text(&self) -> bool {
        self.is_streaming() && self.finish_received
    }

    /// Returns the time at which the running stream times out unless it makes progress.
    pub(super) fn stream_deadline(&self, traffic_type: &TrafficType) -> Nanos {
        let idle_deadline = match self.stalled_since {
            Some(since) => since.saturating_add(timeouts::stall_timeout()),
            None if self.relay == Relay::Passthrough => {
                self.last_activity_at.saturating_add(timeouts::passthrough_silence_timeout())
            }
            None => self.last_activity_at.saturating_add(timeouts::silence_timeout(traffic_type)),
        };
        idle_deadline.min(self.completion_deadline)
    }

    /// Prepares a broken stream to be resumed after its last token. Returns false if the stream can't be resumed.
    pub(super) fn try_resume(&mut self, now: Nanos, traffic_type: &TrafficType) -> bool {
        if self.sequence.completed || self.relay == Relay::Passthrough {
            return false;
        }
        let tokens_received = f64::from(self.tokens_received);
        let tokens_resumed_after = f64::from(self.tokens_resumed_after);
        let max_output_tokens = self.sequence.max_output_tokens + tokens_resumed_after;
        let broken = BrokenStream {
            resumptions: self.resumptions,
            tokens_received,
            max_output_tokens,
            deadline: self.completion_deadline,
        };
        let Some(first_token_deadline) = resume_deadline(now, traffic_type, &broken) else {
            return false;
        };
        // The tokens that the client has received become part of the prompt.
        self.sequence.prompt_tokens += tokens_received - tokens_resumed_after;
        self.sequence.max_output_tokens = max_output_tokens - tokens_received;
        self.sequence.resumed = true;
        self.sequence.first_token_deadline = first_token_deadline;
        self.resumptions += 1;
        self.tokens_resumed_after = self.tokens_received;
        true
    }
}

fn completion_deadline(new: &NewSequence, traffic_type: &TrafficType) -> Nanos {
    let (first_token_deadline, max_tokens) = (new.first_token_deadline, new.max_output_tokens);
    let stream_deadline = match new.relay {
        Relay::Passthrough => timeouts::passthrough_deadline(first_token_deadline, max_tokens),
        Relay::Streamed | Relay::Buffered => {
            timeouts::stream_deadline(first_token_deadline, traffic_type, max_tokens)
        }
    };
    stream_deadline.min(new.completion_deadline.unwrap_or(NO_DEADLINE))
}
