//! What fits this machine: nothing is started that would take more than half of its memory.

use std::fmt;

/// Memory of one gateway without sockets for each server of its endpoint list.
const GATEWAY_SERVER_BYTES: u64 = 900;
/// Memory of one gateway without sockets beside that.
const GATEWAY_BYTES: u64 = 128 << 10;
/// Memory of a simulated model server with its open requests.
const SERVER_BYTES: u64 = 4 << 10;
/// The largest fleet that is measured at all: a typing error must not run for hours.
pub const MAX_SERVERS: u64 = 100_000;
/// The most gateways that are simulated at all.
pub const MAX_GATEWAYS: u64 = 10_000;
const MEBIBYTE: u64 = 1 << 20;

/// Why a size is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitError {
    /// A size of 0, or one beyond what is ever measured.
    OutOfRange {
        /// The argument.
        argument: &'static str,
        /// Its value.
        value: u64,
        /// The largest value.
        max: u64,
    },
    /// It would take more than half of the machine's memory.
    Memory {
        /// What it would take, in MiB.
        needed_mib: u64,
        /// Half of the machine's memory, in MiB.
        allowed_mib: u64,
    },
    /// The machine's memory can't be determined.
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
                    "this takes about {needed_mib} MiB, half of this machine's memory is {allowed_mib} MiB"
                )
            }
            LimitError::MemoryUnknown => {
                formatter.write_str("this machine does not tell how much memory it has")
            }
        }
    }
}

impl std::error::Error for LimitError {}

/// The memory that so many gateways before so many servers take, in bytes.
pub fn needed_bytes(gateways: u64, servers: u64) -> u64 {
    let gateway = GATEWAY_BYTES.saturating_add(servers.saturating_mul(GATEWAY_SERVER_BYTES));
    gateways.saturating_mul(gateway).saturating_add(servers.saturating_mul(SERVER_BYTES))
}

/// Checks that a fleet may be started on a machine with so much memory.
pub fn check(gateways: u64, servers: u64, machine_bytes: Option<u64>) -> Result<(), LimitError> {
    in_range("--gateways", gateways, MAX_GATEWAYS)?;
    in_range("--servers", servers, MAX_SERVERS)?;
    let allowed = machine_bytes.ok_or(LimitError::MemoryUnknown)? / 2;
    let needed = needed_bytes(gateways, servers);
    if needed > allowed {
        return Err(LimitError::Memory { needed_mib: needed / MEBIBYTE, allowed_mib: allowed / MEBIBYTE });
    }
    Ok(())
}

/// Checks that the value of an argument is at least 1 and not beyond what is ever measured.
pub fn in_range(argument: &'static str, value: u64, max: u64) -> Result<(), LimitError> {
    if (1..=max).contains(&value) { Ok(()) } else { Err(LimitError::OutOfRange { argument, value, max }) }
}

/// This machine's memory in bytes, as Linux reports it.
pub fn machine_memory() -> Option<u64> {
    kibibytes("/proc/meminfo", "MemTotal:")
}

/// The resident memory of this process, in bytes.
pub fn resident() -> Option<u64> {
    kibibytes("/proc/self/status", "VmRSS:")
}

/// The peak resident memory of this process, in bytes.
pub fn peak_resident() -> Option<u64> {
    kibibytes("/proc/self/status", "VmHWM:")
}

fn kibibytes(file: &str, field: &str) -> Option<u64> {
    let text = std::fs::read_to_string(file).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix(field))?;
    value.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()?.checked_mul(1024)
}
