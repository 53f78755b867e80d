//! Simulates a whole fleet in one process and in virtual time. The gateways consist of the real request manager and
//! scheduler, without sockets; the model servers are simplified.

mod measures;
mod servers;
mod simulation;
mod traffic;

pub use measures::{Spread, Summary, slow_start_budget};
pub use simulation::simulate;

use crate::limits::{self, LimitError};
use crate::report::Printer;
use petrelshore_gateway_core::PolicyKind;

/// The failures that a simulation includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Traffic without failures.
    Ordinary,
    /// All model servers of a zone fail at the same time, and later restart at the same time.
    ZoneLost,
}

impl Scenario {
    /// The name in the printed rows.
    fn name(self) -> &'static str {
        match self {
            Scenario::Ordinary => "ordinary",
            Scenario::ZoneLost => "zone lost and back cold",
        }
    }
}

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of model servers.
    pub servers: u64,
    /// Number of tenants.
    pub tenants: usize,
    /// Number of requests per second over all gateways.
    pub rate: f64,
    /// Duration in virtual time, in seconds.
    pub seconds: u64,
    /// Seed of the random draws of traffic, scheduling decisions and notification delays.
    pub seed: u64,
    /// The policy by which gateways find a server for a request.
    pub policy_kind: PolicyKind,
    /// The scenario.
    pub scenario: Scenario,
}

/// The maximum duration of a simulation in virtual time. The limit prevents a mistyped number from starting a run of
/// several hours.
const MAX_SECONDS: u64 = 3_600;
const MAX_RATE: u64 = 1_000_000;

/// Simulates the setups one after the other, and prints one row for each setup. Simulates nothing if a setup exceeds a
/// limit.
pub fn run(setups: &[Setup], printer: &mut Printer) -> Result<(), LimitError> {
    for setup in setups {
        limits::check_fleet(setup.gateways as u64, setup.servers, limits::machine_memory())?;
        limits::check_range("--seconds", setup.seconds, MAX_SECONDS)?;
        limits::check_range("--rate", setup.rate as u64, MAX_RATE)?;
    }
    setups.iter().for_each(|setup| printer.print_row(&simulate(setup)));
    Ok(())
}
