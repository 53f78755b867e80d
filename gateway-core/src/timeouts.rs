//! How long a running stream may take: between two tokens, while its client does not read, and in all.

use petrelshore::interface::{Nanos, TrafficType};

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
/// A final answer leaves this much before its client's time is up, for the way to the client.
const ANSWER_BEFORE: Nanos = 50 * MILLISECOND;
/// A client's time shorter than this was spent on the way, or will be: nothing is begun for it.
const LEAST: Nanos = 5 * MILLISECOND;
/// The part of a very short time that may go to that.
const ANSWER_PART: u64 = 4;
/// A stream may pause for so many times its type's pace: a writer that reads a prompt in between, or falls back
/// to its queue, pauses for long without being lost.
const SILENT_TOKENS: u64 = 40;
/// Pauses shorter than this prove nothing, whatever the pace.
const SILENT_LEAST: Nanos = 2 * SECOND;
/// The same for a stream that is passed on event by event, whatever its pace: a slow writer sends an event every few
/// tokens, and none that still comes may be cut; one that is dead must be ended within 5 s of its last event.
const PASSED_SILENT: Nanos = 4_600 * MILLISECOND;
/// A client that takes nothing for this long holds a writer's memory for nobody.
const STALLED: Nanos = 10 * SECOND;
/// A whole answer may take so many times what its type's pace allows for its most tokens.
const WHOLE: u64 = 4;
/// The least that a whole answer may take after its first token.
const WHOLE_LEAST: Nanos = 10 * SECOND;

/// Part of an attempt's time that may go to its connection, within these bounds.
const CONNECT_PART: u64 = 2;
const CONNECT_LEAST: Nanos = 50 * MILLISECOND;
const CONNECT_MOST: Nanos = SECOND;

/// When a sequence with no token yet is given up, for a client that waits for `budget` from `arrived`.
pub fn first_token_deadline(arrived: Nanos, budget: Nanos) -> Nanos {
    arrived.saturating_add(budget - ANSWER_BEFORE.min(budget / ANSWER_PART))
}

/// Whether a client's time holds any answer at all: a read and a write, and what is left of it now.
pub fn has_time_left(now: Nanos, arrived: Nanos, budget: Nanos) -> bool {
    budget >= LEAST && now < first_token_deadline(arrived, budget)
}

/// When a sequence is broken off although its stream runs. Guards against a writer that trickles for ever.
pub fn stream_deadline(abandon_at: Nanos, traffic: &TrafficType, most_tokens: f64) -> Nanos {
    let stream = (most_tokens.max(0.0) as u64).saturating_mul(traffic.token_interval).saturating_mul(WHOLE);
    abandon_at.saturating_add(stream.max(WHOLE_LEAST))
}

/// The same for a stream that is passed on: it ends only once each of its tokens could have come at the last moment.
pub fn passthrough_deadline(abandon_at: Nanos, most_tokens: f64) -> Nanos {
    abandon_at.saturating_add((most_tokens.max(1.0) as u64).saturating_mul(PASSED_SILENT))
}

/// The longest pause of a stream that is passed on.
pub fn passthrough_silence_timeout() -> Nanos {
    PASSED_SILENT
}

/// The longest pause of a running stream before its writer counts as lost.
pub fn silence_timeout(traffic: &TrafficType) -> Nanos {
    traffic.token_interval.saturating_mul(SILENT_TOKENS).max(SILENT_LEAST)
}

/// The longest time for which a client may take nothing of its stream.
pub fn stall_timeout() -> Nanos {
    STALLED
}

/// How long a connection may take to be made, of an attempt's time. A connection that is not made in time proves
/// that nothing ran, which an attempt's own time-out does not; a whole lost attempt would tell less, later. While it
/// is made, the time of a state that waits at a reader runs on: it may take a part of what is left of that, so that
/// another server can be tried after it, and the state be let go.
pub fn connect_timeout(limit: Nanos, held_for: Option<Nanos>) -> Nanos {
    let time = limit.min(held_for.unwrap_or(Nanos::MAX));
    (time / CONNECT_PART).clamp(CONNECT_LEAST.min(limit), CONNECT_MOST)
}
