//! Prefill quotas of cells and zones, and the capacity sums over the fleet that they are computed from.

use crate::interface::{CellId, Endpoint, ZoneId};
use std::collections::BTreeMap;

/// Lower bound of a sum over all cells, because capacities are divided by the sum.
const MIN_SUM: f64 = 1e-9;

/// The contribution of one server to the sums of its cell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerCapacity {
    /// The prefill capacity of the server, in units of endpoint weight.
    pub prefill: f64,
    /// The decode capacity of the server, in units of endpoint weight.
    pub decode: f64,
    /// The share of its memory in use that the server has reported.
    pub reported_memory_share: Option<f64>,
}

/// The capacities of the prefill and decode servers of a cell, and its prefill quota. The capacities are sums of
/// endpoint weights in [`CapacitySums`], and shares of the fleet's capacity in [`Quotas`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CellQuota {
    /// The zone of the cell.
    pub zone: ZoneId,
    /// The capacity of the cell's prefill servers.
    pub prefill_capacity: f64,
    /// The capacity of the cell's decode servers.
    pub decode_capacity: f64,
    /// The share of all prefills that the cell should get.
    pub prefill_quota: f64,
}

impl CellQuota {
    /// The decode capacity of the cell that its prefill quota leaves unused.
    pub fn spare_decode_capacity(&self) -> f64 {
        (self.decode_capacity - self.prefill_quota).max(0.0)
    }
}

/// The sum of a value over all cells, with a small lower bound so that it can be a divisor.
pub fn sum_over(cells: &BTreeMap<CellId, CellQuota>, value: fn(&CellQuota) -> f64) -> f64 {
    cells.values().map(value).sum::<f64>().max(MIN_SUM)
}

/// The share of all prefills that each zone should get: the sum of its cells' quotas.
pub fn prefills_by_zone(cells: &BTreeMap<CellId, CellQuota>) -> BTreeMap<ZoneId, f64> {
    let mut zones: BTreeMap<ZoneId, f64> = BTreeMap::new();
    for cell in cells.values() {
        *zones.entry(cell.zone).or_default() += cell.prefill_quota;
    }
    zones
}

/// The share of all prefills that a zone should get, and the part of this share that comes from this gateway's zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneQuota {
    /// The share of all prefills that the zone should get.
    pub prefill_quota: f64,
    /// The part of `prefill_quota` that gateways in this gateway's zone should send, if the gateways of each zone send
    /// an equal share of all prefills. This gateway divides its prefills among the zones in proportion to this part.
    pub gateway_quota: f64,
}

/// The quotas of all cells and zones, as of the last scan of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Quotas {
    /// The capacities and quotas by cell.
    pub cells: BTreeMap<CellId, CellQuota>,
    /// The quotas by zone.
    pub zones: BTreeMap<ZoneId, ZoneQuota>,
    /// The mean reported share of memory in use, over the decode and combined servers that have reported one.
    pub mean_reported_memory: f64,
    /// True if no decode server of the fleet has capacity.
    pub no_decode_servers: bool,
}

/// The sums of the capacities by cell, over the servers that have been scanned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacitySums {
    /// The capacities by cell. The quotas are zero.
    pub cells: BTreeMap<CellId, CellQuota>,
    reported_memory: f64,
    reporting_servers: usize,
}

impl CapacitySums {
    /// Adds a server to the sums of its cell.
    pub fn add(&mut self, endpoint: &Endpoint, capacity: ServerCapacity) {
        let empty = CellQuota {
            zone: endpoint.zone,
            prefill_capacity: 0.0,
            decode_capacity: 0.0,
            prefill_quota: 0.0,
        };
        let cell = self.cells.entry(endpoint.cell).or_insert(empty);
        cell.prefill_capacity += capacity.prefill;
        cell.decode_capacity += capacity.decode;
        self.reported_memory += capacity.reported_memory_share.unwrap_or(0.0);
        self.reporting_servers += usize::from(capacity.reported_memory_share.is_some());
    }

    /// The mean reported share of memory in use, over the servers that have reported one.
    pub fn mean_reported_memory(&self) -> f64 {
        self.reported_memory / self.reporting_servers.max(1) as f64
    }
}
