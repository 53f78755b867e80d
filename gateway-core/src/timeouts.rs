//! Timeouts of requests and streams: for the first token, between two tokens, for a client that does not read, for a
//! complete answer, and for connecting to a model server.

use petrelshore::interface::{Nanos, TrafficType};

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// The default Retry-After, in nanoseconds. It applies where no better estimate exists: when the gateway is shutting
/// down, when its ingress is at capacity, or when a request with the same idempotency key is in flight.
pub const DEFAULT_RETRY_AFTER: Nanos = SECOND;

/// The maximum margin between a final answer and the client's deadline. The margin covers the way to the client.
const MAX_ANSWER_MARGIN: Nanos = 50 * MILLISECOND;
/// The margin is at most the client timeout divided by this divisor, so that it leaves most of a short timeout.
const ANSWER_MARGIN_DIVISOR: u64 = 4;
/// The minimum client timeout for which an attempt is made. A shorter timeout is spent on the network alone.
const MIN_CLIENT_TIMEOUT: Nanos = 5 * MILLISECOND;

/// Number of token intervals of its traffic type for which a stream may be silent. A decode server that prefills a
/// prompt in between, or returns the sequence to its queue, pauses for a long time without being lost.
const MAX_SILENCE_TOKEN_INTERVALS: u64 = 40;
/// The minimum silence timeout. Shorter pauses do not prove a failure, whatever the token interval.
const MIN_SILENCE_TIMEOUT: Nanos = 2 * SECOND;
/// The silence timeout of a passthrough stream, whatever its token interval. A slow decode server sends an event every
/// few tokens, and its stream must not be cut off. The stream of a dead decode server must end within 5 s of the last
/// event.
const PASSTHROUGH_SILENCE_TIMEOUT: Nanos = 4_600 * MILLISECOND;
/// The time for which a client may read nothing of its stream. A client that stalls for longer occupies memory of a
/// decode server without any benefit.
const STALL_TIMEOUT: Nanos = 10 * SECOND;
/// A complete answer may take this multiple of the time that its maximum number of tokens takes at the usual token
/// interval.
const MAX_STREAM_SLOWDOWN: u64 = 4;
/// The minimum time that a complete answer may take after its first-token deadline.
const MIN_STREAM_TIMEOUT: Nanos = 10 * SECOND;

/// The connect timeout is the attempt's timeout divided by this divisor, within the bounds below.
const CONNECT_TIME_DIVISOR: u64 = 2;
const MIN_CONNECT_TIMEOUT: Nanos = 50 * MILLISECOND;
const MAX_CONNECT_TIMEOUT: Nanos = SECOND;

/// Returns the time at which a sequence without a token fails, for a client that waits for `client_timeout` from
/// `arrived_at`.
pub fn first_token_deadline(arrived_at: Nanos, client_timeout: Nanos) -> Nanos {
    let margin = MAX_ANSWER_MARGIN.min(client_timeout / ANSWER_MARGIN_DIVISOR);
    arrived_at.saturating_add(client_timeout - margin)
}

/// Returns whether a client waits long enough from now to get any answer.
pub fn has_time_left(now: Nanos, arrived_at: Nanos, client_timeout: Nanos) -> bool {
    client_timeout >= MIN_CLIENT_TIMEOUT && now < first_token_deadline(arrived_at, client_timeout)
}

/// Returns the time at which a running stream is cut off. This guards against a decode server that keeps sending tokens
/// at a low rate without ever ending the stream.
pub fn stream_deadline(first_token_deadline: Nanos, traffic: &TrafficType, max_output_tokens: f64) -> Nanos {
    let tokens = max_output_tokens.max(0.0) as u64;
    let at_usual_pace = tokens.saturating_mul(traffic.token_interval);
    let timeout = at_usual_pace.saturating_mul(MAX_STREAM_SLOWDOWN).max(MIN_STREAM_TIMEOUT);
    first_token_deadline.saturating_add(timeout)
}

/// Returns the time at which a running passthrough stream is cut off. The stream gets one silence timeout for each of
/// its tokens.
pub fn passthrough_deadline(first_token_deadline: Nanos, max_output_tokens: f64) -> Nanos {
    let tokens = max_output_tokens.max(1.0) as u64;
    first_token_deadline.saturating_add(tokens.saturating_mul(PASSTHROUGH_SILENCE_TIMEOUT))
}

/// Returns the time for which a passthrough stream may be silent, in nanoseconds.
pub fn passthrough_silence_timeout() -> Nanos {
    PASSTHROUGH_SILENCE_TIMEOUT
}

/// Returns the time for which a running stream may be silent before its decode server counts as lost, in nanoseconds.
pub fn silence_timeout(traffic: &TrafficType) -> Nanos {
    traffic.token_interval.saturating_mul(MAX_SILENCE_TOKEN_INTERVALS).max(MIN_SILENCE_TIMEOUT)
}

/// Returns the time for which a client may read nothing of its stream, in nanoseconds.
pub fn stall_timeout() -> Nanos {
    STALL_TIMEOUT
}

/// Returns the time that an attempt with `attempt_timeout` may take to connect, in nanoseconds.
///
/// A connect timeout proves that nothing ran, while the timeout of a sent attempt proves nothing. If a prefill server
/// holds a KV cache for the sequence, `cache_time_left` is the time until this cache must be released. Connecting takes
/// only a part of that time, so that another server can be tried and the cache be released in time.
pub fn connect_timeout(attempt_timeout: Nanos, cache_time_left: Option<Nanos>) -> Nanos {
    let available = attempt_timeout.min(cache_time_left.unwrap_or(Nanos::MAX));
    let shortest = MIN_CONNECT_TIMEOUT.min(attempt_timeout);
    (available / CONNECT_TIME_DIVISOR).clamp(shortest, MAX_CONNECT_TIMEOUT)
}
