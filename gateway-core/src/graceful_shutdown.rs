//! How a gateway shuts down that got its stop signal and will be killed some time after it.
//!
//! Ingresses notice late, and another gateway may not be back yet: clients go on connecting for a moment, and use
//! their connections for as long as these are open. So the gateway goes on accepting for as long as it can, then
//! closes idle connections. Where clients resume broken streams elsewhere, streams that the kill would break are ended
//! in time; otherwise new requests are rejected early and streams run on for as long as they can.
//!
//! Streams that are ended at the same moment are resumed at the same moment, each with a prompt to prefill, which
//! overloads the prefill servers. So they are ended one after the other, for as long as another gateway can resume
//! them.

use petrelshore::decay::DecayingSum;
use petrelshore::interface::Nanos;

const MILLISECOND: Nanos = 1_000_000;

/// New connections may still come for this long after the stop signal.
const MIN_ACCEPT_TIME: Nanos = 600 * MILLISECOND;
/// The kill comes so long after the longest time for which a client waits.
const KILL_DELAY: Nanos = 700 * MILLISECOND;
/// Where clients wait for longer than this, it counts as this.
const MAX_COUNTED_ABANDON_TIME: Nanos = 3_000 * MILLISECOND;
/// The last stream is migrated this long before the kill: the next gateway may get its stop signal right after this
/// one has exited, and must have time to resume the stream before that.
const MIGRATION_MARGIN: Nanos = 1_100 * MILLISECOND;
/// While no other gateway is available, streams are migrated this late: one may be back by then.
const LATE_MIGRATION_MARGIN: Nanos = 600 * MILLISECOND;
/// This long before the kill new requests are rejected.
const ACCEPT_MARGIN: Nanos = 900 * MILLISECOND;
/// This long before the kill everything that still runs is ended.
const TERMINATION_MARGIN: Nanos = 400 * MILLISECOND;
/// Until this long before the kill final answers are sent and KV caches released.
const EXIT_MARGIN: Nanos = 100 * MILLISECOND;

/// How long a gateway takes to restart, about.
const RESTART_TIME: Nanos = 3_000 * MILLISECOND;
/// Resumed streams of late, as a share of the sequences in flight, above which another gateway must have migrated its
/// streams just now: servers that fail are few at a time.
const MIN_RESUMED_SHARE: f64 = 0.25;

/// How many streams that broke elsewhere were resumed here of late.
pub struct ResumeRate {
    resumed: DecayingSum,
}

impl Default for ResumeRate {
    fn default() -> Self {
        ResumeRate { resumed: DecayingSum::new(RESTART_TIME) }
    }
}

impl ResumeRate {
    /// Counts a client that resumes a stream here.
    pub fn record(&mut self, now: Nanos) {
        self.resumed.add(now, 1.0);
    }

    /// Whether another gateway seems to have stopped just now, with `in_flight` sequences here.
    pub fn another_gateway_stopped(&self, now: Nanos, in_flight: usize) -> bool {
        self.resumed.read(now) > MIN_RESUMED_SHARE * in_flight.max(1) as f64
    }
}

/// Whether clients resume a stream that breaks, at another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResumption {
    /// They ask for the rest of the answer.
    Supported,
    /// A stream that breaks is lost.
    Unsupported,
}

impl ClientResumption {
    /// [`ClientResumption::Supported`] where the condition holds.
    pub fn supported_if(condition: bool) -> Self {
        if condition { ClientResumption::Supported } else { ClientResumption::Unsupported }
    }
}

/// Whether another gateway can resume the streams of this one now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerGateways {
    /// One seems to run.
    Available,
    /// There is none, or one seems to be restarting.
    Unavailable,
}

/// When running streams are migrated, as times from the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MigrationWindow {
    /// When the first may be ended.
    pub start: Nanos,
    /// When the last is ended.
    pub end: Nanos,
}

/// What a gateway does when, as times from the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// When running streams are ended for their clients to resume elsewhere; none where clients do not.
    pub migrate_streams: Option<MigrationWindow>,
    /// Until when new requests are accepted.
    pub accept_until: Nanos,
    /// When what still runs is ended; none where it runs on.
    pub terminate_at: Option<Nanos>,
    /// When the process has to have exited, whatever is left; none where everything runs on.
    pub exit_by: Option<Nanos>,
}

/// Plans the shutdown of a gateway whose clients wait for at most `longest_abandon_time`.
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
    /// How many of `running` streams to end now, at `elapsed` from the stop signal, where the next call comes at
    /// `next_call` from it.
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
