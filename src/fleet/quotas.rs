//! Quotas of cells and zones, and the sums over the fleet that they are computed from.

use crate::interface::{CellId, Endpoint, ZoneId};
use std::collections::BTreeMap;

/// Least sum over all cells; capacities are divided by it.
const MIN_SUM: f64 = 1e-9;

/// What one server adds to the sums of its cell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerCapacity {
    /// Its weight, as far as it prefills.
    pub prefill: f64,
    /// Its weight, as far as it decodes.
    pub decode: f64,
    /// The share of memory in use that it has reported.
    pub reported_memory_share: Option<f64>,
}

/// What the prefill and decode servers of a cell can do, as a sum or as a share of the fleet's, and its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CellQuota {
    /// The zone that the cell lies in.
    pub zone: ZoneId,
    /// Of its prefill servers.
    pub prefill_capacity: f64,
    /// Of its decode servers.
    pub decode_capacity: f64,
    /// The share of all prefills that it should get.
    pub prefill_quota: f64,
}

impl CellQuota {
    /// What its decode servers can do beyond what is prefilled in it.
    pub fn spare_decode_capacity(&self) -> f64 {
        (self.decode_capacity - self.prefill_quota).max(0.0)
    }
}

/// A sum over all cells, never quite zero.
pub fn sum_over(cells: &BTreeMap<CellId, CellQuota>, value: fn(&CellQuota) -> f64) -> f64 {
    cells.values().map(value).sum::<f64>().max(MIN_SUM)
}

/// Each zone's share of all prefills.
pub fn prefills_by_zone(cells: &BTreeMap<CellId, CellQuota>) -> BTreeMap<ZoneId, f64> {
    let mut zones: BTreeMap<ZoneId, f64> = BTreeMap::new();
    for cell in cells.values() {
        *zones.entry(cell.zone).or_default() += cell.prefill_quota;
    }
    zones
}

/// What a zone should get of all prefills, and of this gateway's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneQuota {
    /// The share of all prefills that it should get.
    pub prefill_quota: f64,
    /// The part of that which this gateway should send it.
    pub gateway_quota: f64,
}

/// All quotas, as of the last scan of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Quotas {
    /// By cell.
    pub cells: BTreeMap<CellId, CellQuota>,
    /// By zone.
    pub zones: BTreeMap<ZoneId, ZoneQuota>,
    /// The mean share of memory in use that servers which answer have reported.
    pub mean_reported_memory: f64,
    /// Whether no decode server can take anything.
    pub no_decode_servers: bool,
}

/// Sums over all cells, as far as servers have been scanned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacitySums {
    /// By cell; quotas are zero.
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

    /// The mean share of memory in use that servers have reported.
    pub fn mean_reported_memory(&self) -> f64 {
        self.reported_memory / self.reporting_servers.max(1) as f64
    }
}
