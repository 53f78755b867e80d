//! What fits this machine: nothing is started that would take half of its memory.

use std::fmt;

/// Bytes that one hollow gateway takes for each server of its list, and for itself.
const GATEWAY_SERVER_BYTES: u64 = 900;
const GATEWAY_BYTES: u64 = 128 << 10;
/// Bytes that a simulated model server takes, and one for each request that is open at the size.
const SERVER_BYTES: u64 = 4 << 10;
/// Largest fleet that is measured at all: a typing error is not to run for hours.
pub const MOST_SERVERS: u64 = 100_000;
pub const MOST_GATEWAYS: u64 = 10_000;
const MEBIBYTE: u64 = 1 << 20;

/// Why a size is not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// A size of 0, or one beyond what is ever measured.
    OutOfRange { what: &'static str, given: u64, most: u64 },
    /// It would take more than half of the machine's memory.
    Memory { needed_mib: u64, allowed_mib: u64 },
    /// The machine does not say how much memory it has.
    MemoryUnknown,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::OutOfRange { what, given, most } => {
                write!(f, "{what} must be from 1 to {most}, not {given}")
            }
            Refused::Memory { needed_mib, allowed_mib } => {
                write!(
                    f,
                    "this takes about {needed_mib} MiB, half of this machine's memory is {allowed_mib} MiB"
                )
            }
            Refused::MemoryUnknown => f.write_str("this machine does not tell how much memory it has"),
        }
    }
}

impl std::error::Error for Refused {}

/// Memory that so many gateways before so many servers take, in bytes.
pub fn needed(gateways: u64, servers: u64) -> u64 {
    let gateway = GATEWAY_BYTES.saturating_add(servers.saturating_mul(GATEWAY_SERVER_BYTES));
    gateways.saturating_mul(gateway).saturating_add(servers.saturating_mul(SERVER_BYTES))
}

/// Whether a fleet may be started on a machine with so much memory.
pub fn check(gateways: u64, servers: u64, machine_bytes: Option<u64>) -> Result<(), Refused> {
    in_range("--gateways", gateways, MOST_GATEWAYS)?;
    in_range("--servers", servers, MOST_SERVERS)?;
    let allowed = machine_bytes.ok_or(Refused::MemoryUnknown)? / 2;
    let needed = needed(gateways, servers);
    if needed > allowed {
        return Err(Refused::Memory { needed_mib: needed / MEBIBYTE, allowed_mib: allowed / MEBIBYTE });
    }
    Ok(())
}

/// Whether a number is at least 1 and not beyond what is ever measured.
pub fn in_range(what: &'static str, given: u64, most: u64) -> Result<(), Refused> {
    if (1..=most).contains(&given) { Ok(()) } else { Err(Refused::OutOfRange { what, given, most }) }
}

/// This machine's memory in bytes, as Linux tells it.
pub fn machine_memory() -> Option<u64> {
    kibibytes("/proc/meminfo", "MemTotal:")
}

/// Memory of this process that is resident, in bytes, and the most that it was.
pub fn resident() -> Option<u64> {
    kibibytes("/proc/self/status", "VmRSS:")
}

/// The most that was resident, in bytes.
pub fn peak_resident() -> Option<u64> {
    kibibytes("/proc/self/status", "VmHWM:")
}

fn kibibytes(file: &str, field: &str) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let told = text.lines().find_map(|line| line.strip_prefix(field))?;
    told.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()?.checked_mul(1024)
}
