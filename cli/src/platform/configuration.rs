//! Reads the configuration file that an environment variable names, at the start and on SIGHUP.

use crate::error::ConfigurationError;
use async_io::Timer;
use petrelshore_platform_gateway::PlatformGateway;
use petrelshore_platform_protocol::config::{self, Config};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// The environment variable that names the configuration file.
const CONFIGURATION_VARIABLE: &str = "LB_CONFIG";
/// The number of read attempts at the short interval, for a file that is being written at this moment.
const QUICK_READ_ATTEMPTS: usize = 10;
/// The short interval between read attempts.
const QUICK_INTERVAL: Duration = Duration::from_millis(100);
/// The number of further read attempts at the long interval, in case the process that wrote the file was killed and
/// writes the file again after its restart.
const SLOW_READ_ATTEMPTS: usize = 600;
/// The long interval between read attempts.
const SLOW_INTERVAL: Duration = Duration::from_secs(1);

fn read() -> Result<Config, ConfigurationError> {
    let file = std::env::var(CONFIGURATION_VARIABLE)
        .map_err(|_| ConfigurationError::Malformed(format!("{CONFIGURATION_VARIABLE} is not set")))?;
    let text = std::fs::read_to_string(&file)
        .map_err(|error| ConfigurationError::Unreadable(format!("{file}: {error}")))?;
    config::decode(&text).map_err(|error| ConfigurationError::Malformed(format!("{file}: {error}")))
}

/// Reads the configuration at the start, and tries again if the file could not be read.
pub(super) fn read_at_start() -> Result<Config, ConfigurationError> {
    for _ in 1..QUICK_READ_ATTEMPTS {
        match read() {
            Err(ConfigurationError::Unreadable(_)) => std::thread::sleep(QUICK_INTERVAL),
            result => return result,
        }
    }
    read()
}

/// Counts the reloads that were requested, so that a later reload supersedes an earlier one.
#[derive(Clone, Default)]
pub(super) struct ReloadCounter(Rc<Cell<usize>>);

impl ReloadCounter {
    /// Returns the number of a new reload.
    pub(super) fn next(&self) -> usize {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }

    fn is_latest(&self, number: usize) -> bool {
        self.0.get() == number
    }
}

/// Sets the address of the discovery service to the one in the configuration file. An unreadable or malformed
/// configuration changes nothing; the file is read again until it is valid, a later reload supersedes this one, or no
/// read attempt is left.
pub(super) async fn reload(gateway: PlatformGateway, number: usize, reloads: ReloadCounter) {
    for attempt in 1..=QUICK_READ_ATTEMPTS + SLOW_READ_ATTEMPTS {
        match read() {
            Ok(config) => {
                info!(discovery = %config.discovery, "configuration reloaded");
                return gateway.set_discovery_address(config.discovery);
            }
            Err(error) => {
                warn!(%error, reading = attempt, "configuration rejected, last good configuration stays")
            }
        }
        let interval = if attempt < QUICK_READ_ATTEMPTS { QUICK_INTERVAL } else { SLOW_INTERVAL };
        Timer::after(interval).await;
        if !reloads.is_latest(number) {
            return;
        }
    }
}
