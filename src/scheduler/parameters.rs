//! Constants that more than one of the scheduler's files go by.

use crate::interface::Nanos;

/// Half-life of measured times, rates and load reports, in nanoseconds: long against one answer, short against an outage.
pub(super) const MEASUREMENT_HALF_LIFE: Nanos = 4_000_000_000;
/// Half-life of how often a shared prefix was sent, in nanoseconds: about how long a prefill server keeps one in its
/// cache that is not prefilled again.
pub(super) const PREFIX_HALF_LIFE: Nanos = 10_000_000_000;
/// Age of the state that a load report shows, in nanoseconds. A server at capacity is sent nothing for this long.
pub(super) const LOAD_REPORT_STALENESS: Nanos = 300_000_000;
/// A high quantile, about the 95th percentile, in standard deviations of the logarithm of a time.
pub(super) const HIGH_QUANTILE_DEVIATIONS: f64 = 1.65;
/// Lower bound of divisors that may be zero, in the unit of the divisor.
pub(super) const MIN_DIVISOR: f64 = 1e-9;
