//! Timeouts of requests and streams: until the first token, between two tokens, while a client does not read, for
//! a whole answer, and for connecting to a model server.

use petrelshore::interface::{Nanos, TrafficType};

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// Retry-After where nothing suggests a better time: from a gateway that is shutting down or whose ingress is at
/// capacity, or for an idempotency key whose request is in flight. In nanoseconds.
pub const DEFAULT_RETRY_AFTER: Nanos = SECOND;

/// A final answer leaves this much before its client's deadline, for the way to the client.
const MAX_ANSWER_MARGIN: Nanos = 50 * MILLISECOND;
/// That margin takes at most one part in so many of a short client timeout.
const ANSWER_MARGIN_DIVISOR: u64 = 4;
/// A client timeout shorter than this is spent on the network alone: no attempt is made for it.
const MIN_CLIENT_TIMEOUT: Nanos = 5 * MILLISECOND;

/// A stream may pause for so many token intervals of its type: a decode server that prefills a prompt in between,
/// or falls back to its queue, pauses for long without being lost.
const MAX_SILENCE_TOKEN_INTERVALS: u64 = 40;
/// Pauses shorter than this prove nothing, whatever the token interval.
const MIN_SILENCE_TIMEOUT: Nanos = 2 * SECOND;
/// The silence timeout of a passthrough stream, whatever its token interval: a slow decode server sends an event
/// every few tokens and must not be cut off, and a dead one must be ended within 5 s of its last event.
const PASSTHROUGH_SILENCE_TIMEOUT: Nanos = 4_600 * MILLISECOND;
/// A client that reads nothing for this long occupies a decode server's memory to no use.
const STALL_TIMEOUT: Nanos = 10 * SECOND;
/// A complete answer may take so many times what its token interval allows for its maximum of tokens.
const MAX_STREAM_SLOWDOWN: u64 = 4;
/// A complete answer may always take this long after its first-token deadline.
const MIN_STREAM_TIMEOUT: Nanos = 10 * SECOND;

/// Connecting may take one part in so many of an attempt's time, within the bounds below.
const CONNECT_TIME_DIVISOR: u64 = 2;
const MIN_CONNECT_TIMEOUT: Nanos = 50 * MILLISECOND;
const MAX_CONNECT_TIMEOUT: Nanos = SECOND;

/// When a sequence without a token is given up, for a client that waits for `client_timeout` from `arrived_at`.
pub fn first_token_deadline(arrived_at: Nanos, client_timeout: Nanos) -> Nanos {
    let margin = MAX_ANSWER_MARGIN.min(client_timeout / ANSWER_MARGIN_DIVISOR);
    arrived_at.saturating_add(client_timeout - margin)
}

/// Whether a client still waits for long enough to get any answer.
pub fn has_time_left(now: Nanos, arrived_at: Nanos, client_timeout: Nanos) -> bool {
    client_timeout >= MIN_CLIENT_TIMEOUT && now < first_token_deadline(arrived_at, client_timeout)
}

/// When a running stream is cut off. Guards against a decode server that never stops sending a little.
pub fn stream_deadline(first_token_deadline: Nanos, traffic: &TrafficType, max_output_tokens: f64) -> Nanos {
    let tokens = max_output_tokens.max(0.0) as u64;
    let at_usual_pace = tokens.saturating_mul(traffic.token_interval);
    let timeout = at_usual_pace.saturating_mul(MAX_STREAM_SLOWDOWN).max(MIN_STREAM_TIMEOUT);
    first_token_deadline.saturating_add(timeout)
}

/// When a running passthrough stream is cut off: once each of its tokens could have come just within the silence
/// timeout.
pub fn passthrough_deadline(first_token_deadline: Nanos, max_output_tokens: f64) -> Nanos {
    let tokens = max_output_tokens.max(1.0) as u64;
    first_token_deadline.saturating_add(tokens.saturating_mul(PASSTHROUGH_SILENCE_TIMEOUT))
}

/// How long a passthrough stream may pause.
pub fn passthrough_silence_timeout() -> Nanos {
    PASSTHROUGH_SILENCE_TIMEOUT
}

/// How long a running stream may pause before its decode server counts as lost.
pub fn silence_timeout(traffic: &TrafficType) -> Nanos {
    traffic.token_interval.saturating_mul(MAX_SILENCE_TOKEN_INTERVALS).max(MIN_SILENCE_TIMEOUT)
}

/// How long a client may read nothing of its stream.
pub fn stall_timeout() -> Nanos {
    STALL_TIMEOUT
}

/// How long an attempt with `attempt_timeout` may take to connect.
///
/// A connection that is not made in time proves that nothing ran, which an attempt's own timeout does not. Where a
/// KV cache waits at a prefill server, `cache_time_left` says for how long it still may: connecting takes only a
/// part of that, so that another server can be tried, and the cache released, in time.
pub fn connect_timeout(attempt_timeout: Nanos, cache_time_left: Option<Nanos>) -> Nanos {
    let available = attempt_timeout.min(cache_time_left.unwrap_or(Nanos::MAX));
    let shortest = MIN_CONNECT_TIMEOUT.min(attempt_timeout);
    (available / CONNECT_TIME_DIVISOR).clamp(shortest, MAX_CONNECT_TIMEOUT)
}
