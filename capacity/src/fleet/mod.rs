//! A whole fleet in one process: hollow gateways (request manager and decisions, no sockets) before simple model servers, in
//! virtual time.

mod measures;
mod play;
mod servers;
mod traffic;

pub use measures::{Spread, Summary, slow_start_budget};
pub use play::play;

use crate::limits;
use crate::report::Printer;
use petrelshore_gateway_core::Chooser;

/// What happens in a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scene {
    /// Nothing but traffic.
    Ordinary,
    /// The model servers of a zone are lost at once, and come back cold at once.
    ZoneLost,
}

impl Scene {
    fn name(self) -> &'static str {
        match self {
            Scene::Ordinary => "ordinary",
            Scene::ZoneLost => "zone lost and back cold",
        }
    }
}

/// One play.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub gateways: usize,
    pub servers: u64,
    pub tenants: usize,
    /// Requests a second over all gateways.
    pub rate: f64,
    pub seconds: u64,
    pub seed: u64,
    pub chooser: Chooser,
    pub scene: Scene,
}

/// Longest play in virtual time: a typing error is not to run for hours.
const MOST_SECONDS: u64 = 3_600;
const MOST_RATE: u64 = 1_000_000;

/// Plays one after the other and prints each, the last one as the last line.
pub fn run(setups: &[Setup], printer: &mut Printer) -> Result<(), limits::Refused> {
    for setup in setups {
        limits::check(setup.gateways as u64, setup.servers, limits::machine_memory())?;
        limits::in_range("--seconds", setup.seconds, MOST_SECONDS)?;
        limits::in_range("--rate", setup.rate as u64, MOST_RATE)?;
    }
    setups.iter().for_each(|setup| printer.row(&play(setup)));
    Ok(())
}
