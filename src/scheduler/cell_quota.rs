//! Cell quotas: the share of all prefills that each cell should get, recomputed periodically over the whole fleet.

use super::Scheduler;
use super::decode_load::MAX_DECODE_LOAD;
use super::parameters::MIN_DIVISOR;
use crate::fleet::{
    CapacitySums, CellQuota, FleetScan, Quotas, Server, ServerCapacity, ZoneQuota, medians, prefills_by_zone,
    sum_over,
};
use crate::interface::{CellId, EndpointState, Nanos, Role, Step, ZoneId};
use std::collections::BTreeMap;

/// Share by which a server's prefills may exceed its proportional share while no migration times are known.
const DEFAULT_PREFILL_EXCESS: f64 = 0.1;
/// Maximum share by which a server's prefills may exceed its proportional share.
const MAX_PREFILL_EXCESS: f64 = 2.0;
/// Share of a migration's extra time that may be spent at a busier prefill server instead.
const MIGRATION_TIME_SHARE: f64 = 0.5;
/// Minimum time between the end of a scan for quotas and the start of the next scan, in nanoseconds.
const QUOTA_INTERVAL: Nanos = 200_000_000;
/// Scan time per server of a large fleet, in nanoseconds: a request scans one server for each such period since the
/// last batch.
const SCAN_INTERVAL_PER_SERVER: Nanos = 300_000;
/// Minimum size of a scan batch, in servers.
const MIN_SCAN_BATCH: usize = 16;
/// Maximum size of a scan batch, in servers, except when all servers are scanned at once.
const MAX_SCAN_BATCH: usize = 256;

impl Scheduler {
    /// Recomputes the quotas when they are due. In a large fleet, each request scans one batch of servers until the
    /// scan is complete. The request that ends the scan of response times also scans the first batch for capacities.
    pub(super) fn refresh_quotas(&mut self, now: Nanos) {
        let is_recent = self.quotas_scanned_at.is_some_and(|at| now < at + QUOTA_INTERVAL);
        if self.quota_scan.is_none() && is_recent {
            return;
        }
        let batch = self.scan_batch(now);
        self.quotas_scanned_at = Some(now);
        let mut scan = self.quota_scan.take().unwrap_or_default();
        self.scan_servers(now, &mut scan, batch);
        if scan.capacities.is_finished() {
            self.quotas = self.compute_quotas(now, &scan.sums);
        } else {
            self.quota_scan = Some(scan);
        }
    }

    /// The number of servers to scan now.
    fn scan_batch(&self, now: Nanos) -> usize {
        if self.scans_in_full() || self.quotas.cells.is_empty() {
            return usize::MAX;
        }
        let elapsed = now.saturating_sub(self.quotas_scanned_at.unwrap_or(0));
        ((elapsed / SCAN_INTERVAL_PER_SERVER) as usize).clamp(MIN_SCAN_BATCH, MAX_SCAN_BATCH)
    }

    /// Scans the next batch of servers: first for their response times, then for their capacities, which depend on the
    /// response times.
    fn scan_servers(&mut self, now: Nanos, scan: &mut FleetScan, batch: usize) {
        if !scan.response_times.is_finished() {
            for server in scan.response_times.next_batch(&self.fleet, batch) {
                scan.high_response_times[server.role as usize].extend(self.high_response_time(now, server));
            }
            if !scan.response_times.is_finished() {
                return;
            }
            self.typical_response_times =
                std::array::from_fn(|role| medians(&mut scan.high_response_times[role]));
        }
        for server in scan.capacities.next_batch(&self.fleet, batch) {
            scan.sums.add(&server.endpoint, self.server_capacity(now, server));
        }
    }

    /// The capacity that one server adds to its cell.
    fn server_capacity(&self, now: Nanos, server: &Server) -> ServerCapacity {
        let capacity = server.weight * self.capacity_share(now, server);
        match server.role {
            Role::Prefill => {
                // Prefill capacity depends on the endpoint list alone: a health verdict that changes often must not
                // move sessions between replicas.
                let is_ready = server.endpoint.state == EndpointState::Ready;
                ServerCapacity { prefill: if is_ready { capacity } else { 0.0 }, ..Default::default() }
            }
            Role::Decode => {
                let has_capacity =
                    self.is_healthy(now, server) && self.decode_load(now, server) <= MAX_DECODE_LOAD;
                ServerCapacity {
                    decode: if has_capacity { capacity } else { 0.0 },
                    reported_memory_share: self.reported_memory_share(now, server),
                    ..Default::default()
                }
            }
            Role::Combined => ServerCapacity {
                reported_memory_share: self.reported_memory_share(now, server),
                ..Default::default()
            },
        }
    }

    /// Computes the quotas from the sums over the fleet.
    fn compute_quotas(&self, now: Nanos, sums: &CapacitySums) -> Quotas {
        let mut cells = sums.cells.clone();
        normalize_capacities(&mut cells);
        self.assign_prefills(now, &mut cells);
        assign_remainder(&mut cells);
        Quotas {
            zones: self.zone_quotas(&cells),
            no_decode_servers: cells.values().all(|cell| cell.decode_capacity <= 0.0),
            mean_reported_memory: sums.mean_reported_memory(),
            cells,
        }
    }

    /// Assigns prefills to cells in proportion to their decode capacity, up to the limit by which a cell's prefill
    /// servers may exceed their proportional share.
    fn assign_prefills(&self, now: Nanos, cells: &mut BTreeMap<CellId, CellQuota>) {
        let excess = self.prefill_excess(now);
        for cell in cells.values_mut() {
            cell.prefill_quota = cell.decode_capacity.min((1.0 + excess) * cell.prefill_capacity);
        }
    }

    /// Computes each zone's share of all prefills, and how this gateway divides its own prefills among the zones. An
    /// even share is the share of all prefills that the gateways of one zone send if all zones send the same number.
    /// The gateway uses its own zone first, up to an even share. If its own zone's quota is below an even share, the
    /// gateway takes the difference from the zones whose quota exceeds an even share.
    fn zone_quotas(&self, cells: &BTreeMap<CellId, CellQuota>) -> BTreeMap<ZoneId, ZoneQuota> {
        let zones = prefills_by_zone(cells);
        let even_share = 1.0 / zones.len().max(1) as f64;
        let own_quota = zones.get(&self.deployment.zone).copied().unwrap_or(0.0);
        let excess: f64 = zones.values().map(|quota| (quota - even_share).max(0.0)).sum();
        let shortage_ratio = (even_share - own_quota).max(0.0) / excess.max(MIN_DIVISOR);
        let zone_quota = |(zone, quota): (ZoneId, f64)| {
            let is_own = zone == self.deployment.zone;
            let gateway_quota =
                if is_own { quota.min(even_share) } else { (quota - even_share).max(0.0) * shortage_ratio };
            (zone, ZoneQuota { prefill_quota: quota.max(MIN_DIVISOR), gateway_quota })
        };
        zones.into_iter().map(zone_quota).collect()
    }

    /// The share by which a server's prefills may exceed its proportional share. KV caches are migrated only as far as
    /// this takes less time than the wait for a busier prefill server in the decode server's cell.
    fn prefill_excess(&self, now: Nanos) -> f64 {
        let median_time = |step| self.fleet_response_time(now, step, 0.0);
        let (Some(migrated), Some(prefill)) = (median_time(Step::MigratedDecode), median_time(Step::Prefill))
        else {
            return DEFAULT_PREFILL_EXCESS;
        };
        let extra_time = migrated - median_time(Step::Decode).unwrap_or(0.0);
        (MIGRATION_TIME_SHARE * extra_time / prefill).clamp(0.0, MAX_PREFILL_EXCESS)
    }
}

/// Converts each cell's capacities to shares of the fleet's capacities.
fn normalize_capacities(cells: &mut BTreeMap<CellId, CellQuota>) {
    let prefill_sum = sum_over(cells, |cell| cell.prefill_capacity);
    let decode_sum = sum_over(cells, |cell| cell.decode_capacity);
    for cell in cells.values_mut() {
        cell.prefill_capacity /= prefill_sum;
        cell.decode_capacity /= decode_sum;
    }
}

/// Assigns the remaining prefills to the cells whose prefill servers have spare capacity.
fn assign_remainder(cells: &mut BTreeMap<CellId, CellQuota>) {
    let remainder = 1.0 - sum_over(cells, |cell| cell.prefill_quota);
    let spare_capacity = sum_over(cells, |cell| (cell.prefill_capacity - cell.prefill_quota).max(0.0));
    for cell in cells.values_mut() {
        cell.prefill_quota +=
            remainder.max(0.0) * (cell.prefill_capacity - cell.prefill_quota).max(0.0) / spare_capacity;
    }
}
