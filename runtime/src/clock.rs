//! The gateway's clock: nanoseconds of the Unix epoch at the start, monotonic from there on.

use petrelshore::interface::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock. Steps of the system's wall clock while the process runs do not move it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    epoch: Nanos,
}

impl Clock {
    /// A clock that starts at the wall clock's present time.
    pub fn start() -> Self {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started: Instant::now(), epoch: epoch.as_nanos() as Nanos }
    }

    /// The present time.
    pub fn now(&self) -> Nanos {
        self.epoch + self.started.elapsed().as_nanos() as Nanos
    }

    /// The time at an instant since the start.
    pub fn at(&self, instant: Instant) -> Nanos {
        self.epoch + instant.saturating_duration_since(self.started).as_nanos() as Nanos
    }

    /// The instant of a time.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.started + Duration::from_nanos(at.saturating_sub(self.epoch))
    }
}
