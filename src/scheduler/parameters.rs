//! Constants that several modules of the scheduler use.

use crate::interface::Nanos;

/// Half-life of measured times, rates and load reports, in nanoseconds. It is long compared with one answer and short
/// compared with an outage.
pub(super) const MEASUREMENT_HALF_LIFE: Nanos = 4_000_000_000;
/// Half-life of the counted sends of shared prefixes, in nanoseconds. A prefill server keeps a prefix in its cache for
/// about this long if the prefix is not prefilled again.
pub(super) const PREFIX_HALF_LIFE: Nanos = 10_000_000_000;
/// Age of the server state in a load report when the report arrives, in nanoseconds. A server at capacity is also sent
/// no attempts for this long.
pub(super) const LOAD_REPORT_STALENESS: Nanos = 300_000_000;
/// Distance of a high quantile, about the 95th percentile, from the median, in standard deviations of the logarithm of
/// a time.
pub(super) const HIGH_QUANTILE_DEVIATIONS: f64 = 1.65;
/// Lower bound of divisors that may be zero, in the unit of the divisor.
pub(super) const MIN_DIVISOR: f64 = 1e-9;
