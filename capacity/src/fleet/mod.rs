//! A whole fleet in one process: gateways without sockets (request manager and decisions) before simple model servers,
//! in virtual time.

mod measures;
mod servers;
mod simulation;
mod traffic;

pub use measures::{Spread, Summary, slow_start_budget};
pub use simulation::simulate;

use crate::limits::{self, LimitError};
use crate::report::Printer;
use petrelshore_gateway_core::PolicyKind;

/// What happens in a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing but traffic.
    Ordinary,
    /// The model servers of a zone are lost at once, and all restart at once.
    ZoneLost,
}

impl Scenario {
    fn name(self) -> &'static str {
        match self {
            Scenario::Ordinary => "ordinary",
            Scenario::ZoneLost => "zone lost and back cold",
        }
    }
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Gateways.
    pub gateways: usize,
    /// Model servers.
    pub servers: u64,
    /// Tenants.
    pub tenants: usize,
    /// Requests per second over all gateways.
    pub rate: f64,
    /// Seconds of virtual time.
    pub seconds: u64,
    /// Draws traffic and decisions.
    pub seed: u64,
    /// How gateways find servers.
    pub policy_kind: PolicyKind,
    /// What happens.
    pub scenario: Scenario,
}

/// The longest simulation in virtual time: a typing error must not run for hours.
const MAX_SECONDS: u64 = 3_600;
const MAX_RATE: u64 = 1_000_000;

/// Simulates one setup after the other and prints each, the last one as the last line.
pub fn run(setups: &[Setup], printer: &mut Printer) -> Result<(), LimitError> {
    for setup in setups {
        limits::check(setup.gateways as u64, setup.servers, limits::machine_memory())?;
        limits::in_range("--seconds", setup.seconds, MAX_SECONDS)?;
        limits::in_range("--rate", setup.rate as u64, MAX_RATE)?;
    }
    setups.iter().for_each(|setup| printer.row(&simulate(setup)));
    Ok(())
}
