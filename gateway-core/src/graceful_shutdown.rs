//! Plans the graceful shutdown of a gateway that has received its stop signal and will be killed some time later.
//!
//! Ingresses notice the shutdown late, and another gateway may still be restarting. So clients keep connecting for a
//! moment, and use their connections for as long as these are open. The gateway therefore accepts requests for as long
//! as it can, and then closes idle connections. If clients resume broken streams at another gateway, the gateway ends
//! the streams that the kill would break early enough to be resumed. Otherwise it rejects new requests early, and lets
//! streams run for as long as they can.
//!
//! Streams that end at the same moment are resumed at the same moment, each with a prompt to prefill, which overloads
//! the prefill servers. So the gateway ends them gradually, over the time in which another gateway can resume them.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::Nanos;

const MILLISECOND: Nanos = 1_000_000;

/// Time after the stop signal in which new connections may still arrive, in nanoseconds.
const MIN_ACCEPT_TIME: Nanos = 600 * MILLISECOND;
/// Time that is added to the longest abandon time of the clients to get the time of the kill, in nanoseconds.
const KILL_DELAY: Nanos = 700 * MILLISECOND;
/// A longer abandon time than this counts as this when the time of the kill is computed, in nanoseconds.
const MAX_COUNTED_ABANDON_TIME: Nanos = 3_000 * MILLISECOND;
/// Time before the kill at which the last stream is migrated, in nanoseconds. The next gateway may get its stop signal
/// right after this gateway has exited, and must have time to resume the stream before that.
const MIGRATION_MARGIN: Nanos = 1_100 * MILLISECOND;
/// Time before the kill at which the last stream is migrated while no other gateway is available, in nanoseconds. This
/// margin is shorter than [`MIGRATION_MARGIN`], since another gateway may have become available again by then.
const LATE_MIGRATION_MARGIN: Nanos = 600 * MILLISECOND;
/// Time before the kill from which new requests are rejected, in nanoseconds.
const ACCEPT_MARGIN: Nanos = 900 * MILLISECOND;
/// Time before the kill at which all requests that are still in flight are ended, in nanoseconds.
const TERMINATION_MARGIN: Nanos = 400 * MILLISECOND;
/// Time before the kill until which final answers are sent and KV caches are released, in nanoseconds.
const EXIT_MARGIN: Nanos = 100 * MILLISECOND;

/// Approximate time that a gateway takes to restart, in nanoseconds.
const RESTART_TIME: Nanos = 3_000 * MILLISECOND;
/// When recently resumed streams exceed this share of the sequences in flight, another gateway must have migrated its
/// streams. Failures of model servers cause fewer resumptions, since only a few servers fail at the same time.
const MIN_RESUMED_SHARE: f64 = 0.25;

/// Tracks how many streams that broke at another gateway were recently resumed at this one.
pub struct ResumeRate {
    resumed: DecayingSum,
}

impl Default for ResumeRate {
    fn default() -> Self {
        ResumeRate { resumed: DecayingSum::new(RESTART_TIME) }
    }
}

impl ResumeRate {
    /// Records that a client resumed a stream at this gateway.
    pub fn record(&mut self, now: Nanos) {
        self.resumed.add(now, 1.0);
    }

    /// Returns true if another gateway seems to have stopped recently. `in_flight` is the number of sequences in flight
    /// at this gateway.
    pub fn another_gateway_stopped(&self, now: Nanos, in_flight: usize) -> bool {
        self.resumed.read(now) > MIN_RESUMED_SHARE * in_flight.max(1) as f64
    }
}

/// Tells whether clients resume a broken stream at another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResumption {
    /// Clients request the rest of the answer.
    Supported,
    /// A broken stream is lost.
    Unsupported,
}

impl ClientResumption {
    /// Returns [`ClientResumption::Supported`] if the condition holds.
    pub fn supported_if(condition: bool) -> Self {
        if condition { ClientResumption::Supported } else { ClientResumption::Unsupported }
    }
}

/// Tells whether another gateway can resume the streams of this one now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerGateways {
    /// Another gateway seems to be running.
    Available,
    /// There is no other gateway, or another gateway seems to be restarting.
    Unavailable,
}

/// The period in which running streams are migrated, as times since the stop signal in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MigrationWindow {
    /// Time from which streams may be ended.
    pub start: Nanos,
    /// Time at which the last stream is ended.
    pub end: Nanos,
}

/// The schedule of a shutdown, as times since the stop signal in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// The period in which running streams are ended so that their clients resume them at another gateway; none if
    /// clients don't resume streams.
    pub migrate_streams: Option<MigrationWindow>,
    /// The time until which new requests are accepted.
    pub accept_until: Nanos,
    /// The time at which requests that are still in flight are ended; none if these requests may run to their end.
    pub terminate_at: Option<Nanos>,
    /// The time by which the process has to have exited, whatever is still in flight; none if requests may run to
    /// their end.
    pub exit_by: Option<Nanos>,
}

/// Plans the shutdown of a gateway whose clients abandon a request after at most `longest_abandon_time` nanoseconds.
pub fn plan_shutdown(
    longest_abandon_time: Nanos,
    resumption: ClientResumption,
    peers: PeerGateways,
) -> ShutdownPlan {
    if resumption == ClientResumption::Unsupported {
        return ShutdownPlan {
            migrate_streams: None,
            accept_until: MIN_ACCEPT_TIME,
            terminate_at: None,
            exit_by: None,
        };
    }
    let kill = longest_abandon_time.min(MAX_COUNTED_ABANDON_TIME) + KILL_DELAY;
    let before_kill = |margin: Nanos| kill.saturating_sub(margin).max(MIN_ACCEPT_TIME);
    let (start, end) = match peers {
        PeerGateways::Available => (MIN_ACCEPT_TIME, before_kill(MIGRATION_MARGIN)),
        PeerGateways::Unavailable => (before_kill(MIGRATION_MARGIN), before_kill(LATE_MIGRATION_MARGIN)),
    };
    ShutdownPlan {
        migrate_streams: Some(MigrationWindow { start, end }),
        accept_until: before_kill(ACCEPT_MARGIN),
        terminate_at: Some(before_kill(TERMINATION_MARGIN)),
        exit_by: Some(before_kill(EXIT_MARGIN)),
    }
}

impl ShutdownPlan {
    /// Number of the `running` streams to end now. `elapsed` is the time since the stop signal; `next_call` is the time
    /// since the stop signal at which this function is called next. Both are in nanoseconds.
    pub fn streams_to_migrate(&self, elapsed: Nanos, next_call: Nanos, running: usize) -> usize {
        match self.migrate_streams {
            Some(MigrationWindow { start, end }) if elapsed >= start => {
                let time_left = end.saturating_sub(elapsed).max(1);
                let until_next_call = next_call.saturating_sub(elapsed);
                let share = (until_next_call as f64 / time_left as f64).min(1.0);
                (running as f64 * share).ceil() as usize
            }
            _ => 0,
        }
    }
}

#[cfg(test)]
mod tests;
