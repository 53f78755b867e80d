//! Rejects sizes that are out of range, and fleets that would take more than half of the memory of this machine.

use std::fmt;

/// Memory that one gateway without sockets takes for each server of its endpoint list, in bytes.
const GATEWAY_SERVER_BYTES: u64 = 900;
/// Memory that one gateway without sockets takes regardless of the number of servers, in bytes.
const GATEWAY_BYTES: u64 = 128 << 10;
/// Memory that one simulated model server with its open requests takes, in bytes.
const SERVER_BYTES: u64 = 4 << 10;
/// The maximum number of model servers. The limit prevents a mistyped number from starting a run of several hours.
pub const MAX_SERVERS: u64 = 100_000;
/// The maximum number of simulated gateways.
pub const MAX_GATEWAYS: u64 = 10_000;
const BYTES_PER_MIB: u64 = 1 << 20;

/// The reason why a size is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitError {
    /// The value of an argument is 0 or exceeds the maximum.
    OutOfRange {
        /// The name of the argument, for example `--servers`.
        argument: &'static str,
        /// The rejected value.
        value: u64,
        /// The largest permitted value.
        max: u64,
    },
    /// The fleet would take more than half of the machine's memory.
    Memory {
        /// The estimated memory of the fleet, in MiB.
        needed_mib: u64,
        /// Half of the machine's memory, in MiB.
        allowed_mib: u64,
    },
    /// The size of the machine's memory can't be determined.
    MemoryUnknown,
}

impl fmt::Display for LimitError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LimitError::OutOfRange { argument, value, max } => {
                write!(formatter, "{argument} must be from 1 to {max}, not {value}")
            }
            LimitError::Memory { needed_mib, allowed_mib } => {
                write!(
                    formatter,
                    "the fleet needs about {needed_mib} MiB, but half of this machine's memory is {allowed_mib} MiB"
                )
            }
            LimitError::MemoryUnknown => {
                formatter.write_str("the memory size of this machine can't be read from /proc/meminfo")
            }
        }
    }
}

impl std::error::Error for LimitError {}

/// Estimates the memory that a simulation of `gateways` gateways and `servers` model servers takes, in bytes.
pub fn estimated_bytes(gateways: u64, servers: u64) -> u64 {
    let gateway = GATEWAY_BYTES.saturating_add(servers.saturating_mul(GATEWAY_SERVER_BYTES));
    gateways.saturating_mul(gateway).saturating_add(servers.saturating_mul(SERVER_BYTES))
}

/// Checks that the sizes of a fleet are in range and that the fleet takes at most half of `machine_bytes`.
pub fn check_fleet(gateways: u64, servers: u64, machine_bytes: Option<u64>) -> Result<(), LimitError> {
    check_range("--gateways", gateways, MAX_GATEWAYS)?;
    check_range("--servers", servers, MAX_SERVERS)?;
    let allowed = machine_bytes.ok_or(LimitError::MemoryUnknown)? / 2;
    let needed = estimated_bytes(gateways, servers);
    if needed > allowed {
        return Err(LimitError::Memory {
            needed_mib: needed / BYTES_PER_MIB,
            allowed_mib: allowed / BYTES_PER_MIB,
        });
    }
    Ok(())
}

/// Checks that the value of an argument is between 1 and `max`.
pub fn check_range(argument: &'static str, value: u64, max: u64) -> Result<(), LimitError> {
    if (1..=max).contains(&value) { Ok(()) } else { Err(LimitError::OutOfRange { argument, value, max }) }
}

/// Returns the size of this machine's memory as Linux reports it, in bytes.
pub fn machine_memory() -> Option<u64> {
    read_memory_field("/proc/meminfo", "MemTotal:")
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_memory() -> Option<u64> {
    read_memory_field("/proc/self/status", "VmRSS:")
}

/// Returns the peak resident memory of this process, in bytes.
pub fn peak_resident_memory() -> Option<u64> {
    read_memory_field("/proc/self/status", "VmHWM:")
}

/// Reads a field that a file of `/proc` gives in kibibytes, and returns its value in bytes.
fn read_memory_field(file: &str, field: &str) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix(field))?;
    value.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()?.checked_mul(1024)
}
