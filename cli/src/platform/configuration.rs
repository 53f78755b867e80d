//! Reads the configuration file that the environment names, at the start and on SIGHUP.

use crate::error::ConfigurationError;
use async_io::Timer;
use petrelshore_platform_gateway::PlatformGateway;
use petrelshore_platform_protocol::config::{self, Config};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Names the file that a gateway starts from.
const CONFIGURATION_VARIABLE: &str = "LB_CONFIG";
/// How often a file that is just being written is read, and the pause between two readings.
const QUICK_READINGS: usize = 10;
const QUICK_INTERVAL: Duration = Duration::from_millis(100);
/// How often it is read after those, and the longer pause then: its writer may have been killed, and write it again.
const SLOW_READINGS: usize = 600;
const SLOW_INTERVAL: Duration = Duration::from_secs(1);

fn read() -> Result<Config, ConfigurationError> {
    let file = std::env::var(CONFIGURATION_VARIABLE)
        .map_err(|_| ConfigurationError::Malformed(format!("{CONFIGURATION_VARIABLE} is not set")))?;
    let text = std::fs::read_to_string(&file)
        .map_err(|error| ConfigurationError::Unreadable(format!("{file}: {error}")))?;
    config::decode(&text).map_err(|error| ConfigurationError::Malformed(format!("{file}: {error}")))
}

/// Reads the file at the start, again where it could not be read.
pub(super) fn read_at_start() -> Result<Config, ConfigurationError> {
    for _ in 1..QUICK_READINGS {
        match read() {
            Err(ConfigurationError::Unreadable(_)) => std::thread::sleep(QUICK_INTERVAL),
            read => return read,
        }
    }
    read()
}

/// Counts the reloads that were asked for, so that an earlier one gives way to a later one.
#[derive(Clone, Default)]
pub(super) struct ReloadCounter(Rc<Cell<usize>>);

impl ReloadCounter {
    /// The number of a reload that is asked for now.
    pub(super) fn next(&self) -> usize {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }

    fn is_latest(&self, number: usize) -> bool {
        self.0.get() == number
    }
}

/// Takes discovery's address from the configuration as it is now. A malformed one changes nothing, and is read again
/// until it is good, or until another reload is asked for.
pub(super) async fn reload(gateway: PlatformGateway, number: usize, reloads: ReloadCounter) {
    for reading in 1..=QUICK_READINGS + SLOW_READINGS {
        match read() {
            Ok(config) => {
                info!(discovery = %config.discovery, "configuration reloaded");
                return gateway.set_discovery_address(config.discovery);
            }
            Err(error) => warn!(%error, reading, "configuration rejected, last good configuration stays"),
        }
        let interval = if reading < QUICK_READINGS { QUICK_INTERVAL } else { SLOW_INTERVAL };
        Timer::after(interval).await;
        if !reloads.is_latest(number) {
            return;
        }
    }
}
