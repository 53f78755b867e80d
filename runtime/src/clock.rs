//! The gateway's clock: nanoseconds since the Unix epoch, read from the wall clock once at the start and monotonic from
//! then on.

use petrelshore::interface::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock. Steps of the system's wall clock while the process runs do not change it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// The time at `started`, in nanoseconds since the Unix epoch.
    start_time: Nanos,
}

impl Clock {
    /// Creates a clock that starts at the current wall clock time.
    pub fn start() -> Self {
        let wall_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started: Instant::now(), start_time: wall_time.as_nanos() as Nanos }
    }

    /// Returns the current time.
    pub fn now(&self) -> Nanos {
        self.start_time + self.started.elapsed().as_nanos() as Nanos
    }

    /// Converts an instant to a time. An instant before the start of the clock counts as its start.
    pub fn at(&self, instant: Instant) -> Nanos {
        self.start_time + instant.saturating_duration_since(self.started).as_nanos() as Nanos
    }

    /// Converts a time to an instant. A time before the start of the clock counts as its start.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.started + Duration::from_nanos(at.saturating_sub(self.start_time))
    }
}
