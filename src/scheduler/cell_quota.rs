//! Cell quotas: what share of all prefills each cell should get, computed from time to time over the whole fleet.

use super::Scheduler;
use super::decode_load::MAX_DECODE_LOAD;
use super::parameters::MIN_DIVISOR;
use crate::fleet::{
    CapacitySums, CellQuota, FleetScan, Quotas, Server, ServerCapacity, ZoneQuota, medians, prefills_by_zone,
    sum_over,
};
use crate::interface::{CellId, EndpointState, Nanos, Role, Step, ZoneId};
use std::collections::BTreeMap;

/// Share by which a prefill server may get more than its even part while no migration times are known.
const DEFAULT_PREFILL_EXCESS: f64 = 0.1;
/// Share by which a prefill server may get more than its even part at most.
const MAX_PREFILL_EXCESS: f64 = 2.0;
/// The part of a migration's extra time that makes up for a busier prefill server.
const MIGRATION_TIME_SHARE: f64 = 0.5;
/// Nanoseconds between the starts of two scans for quotas.
const QUOTA_INTERVAL: Nanos = 200_000_000;
/// Nanoseconds in which one server of a large fleet is scanned.
const SCAN_TIME_PER_SERVER: Nanos = 300_000;
/// Bounds of the servers that one request scans.
const MIN_SCAN_BATCH: usize = 16;
const MAX_SCAN_BATCH: usize = 256;

impl Scheduler {
    /// Recomputes the quotas when they are due: over a large fleet by scanning a batch of servers at each request.
    pub(super) fn refresh_quotas(&mut self, now: Nanos) {
        let is_recent = self.quota_scan_started_at.is_some_and(|at| now < at + QUOTA_INTERVAL);
        if self.quota_scan.is_none() && is_recent {
            return;
        }
        let batch = self.scan_batch(now);
        self.quota_scan_started_at = Some(now);
        let mut scan = self.quota_scan.take().unwrap_or_default();
        self.scan_servers(now, &mut scan, batch);
        if scan.capacities.is_finished() {
            self.quotas = self.compute_quotas(now, &scan.sums);
        } else {
            self.quota_scan = Some(scan);
        }
    }

    /// How many servers to scan now.
    fn scan_batch(&self, now: Nanos) -> usize {
        if self.scans_in_full() || self.quotas.cells.is_empty() {
            return usize::MAX;
        }
        let elapsed = now.saturating_sub(self.quota_scan_started_at.unwrap_or(0));
        ((elapsed / SCAN_TIME_PER_SERVER) as usize).clamp(MIN_SCAN_BATCH, MAX_SCAN_BATCH)
    }

    /// Scans the next batch of servers: first for their response times, then for the capacities that depend on these.
    fn scan_servers(&mut self, now: Nanos, scan: &mut FleetScan, batch: usize) {
        if !scan.response_times.is_finished() {
            for server in scan.response_times.next_batch(&self.fleet, batch) {
                scan.high_response_times[server.role as usize].extend(self.high_response_time(now, server));
            }
            if !scan.response_times.is_finished() {
                return;
            }
            self.typical_times = std::array::from_fn(|role| medians(&mut scan.high_response_times[role]));
        }
        for server in scan.capacities.next_batch(&self.fleet, batch) {
            scan.sums.add(&server.endpoint, self.server_capacity(now, server));
        }
    }

    /// What one server adds to its cell.
    fn server_capacity(&self, now: Nanos, server: &Server) -> ServerCapacity {
        let capacity = server.weight * self.capacity_share(now, server);
        match server.role {
            Role::Prefill => {
                // By the endpoint list alone: a verdict that comes and goes must not move sessions between replicas.
                let counts = server.endpoint.state == EndpointState::Ready;
                ServerCapacity { prefill: if counts { capacity } else { 0.0 }, ..Default::default() }
            }
            Role::Decode => {
                let counts = self.is_healthy(now, server) && self.decode_load(now, server) <= MAX_DECODE_LOAD;
                ServerCapacity {
                    decode: if counts { capacity } else { 0.0 },
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

    /// Quotas from the sums over the fleet.
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

    /// Prefills go to where decode servers are, as far as the prefill servers there can do more than their even part.
    fn assign_prefills(&self, now: Nanos, cells: &mut BTreeMap<CellId, CellQuota>) {
        let excess = self.prefill_excess(now);
        for cell in cells.values_mut() {
            cell.prefill_quota = cell.decode_capacity.min((1.0 + excess) * cell.prefill_capacity);
        }
    }

    /// Each zone's share of all prefills, and what this gateway sends of its own there: its own zone first, as far as that
    /// has an even part to give.
    fn zone_quotas(&self, cells: &BTreeMap<CellId, CellQuota>) -> BTreeMap<ZoneId, ZoneQuota> {
        let zones = prefills_by_zone(cells);
        let even = 1.0 / zones.len().max(1) as f64;
        let own = zones.get(&self.deployment.zone).copied().unwrap_or(0.0);
        let spare: f64 = zones.values().map(|quota| (quota - even).max(0.0)).sum();
        let shortage = (even - own).max(0.0) / spare.max(MIN_DIVISOR);
        let zone_quota = |(zone, quota): (ZoneId, f64)| {
            let is_own = zone == self.deployment.zone;
            let gateway_quota = if is_own { quota.min(even) } else { (quota - even).max(0.0) * shortage };
            (zone, ZoneQuota { prefill_quota: quota.max(MIN_DIVISOR), gateway_quota })
        };
        zones.into_iter().map(zone_quota).collect()
    }

    /// By which share a prefill server may get more than its even part: KV caches are migrated as far as that takes less
    /// time than waiting for a busier prefill server beside the decode server.
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

/// Makes each cell's capacities shares of the fleet's.
fn normalize_capacities(cells: &mut BTreeMap<CellId, CellQuota>) {
    let prefill = sum_over(cells, |cell| cell.prefill_capacity);
    let decode = sum_over(cells, |cell| cell.decode_capacity);
    for cell in cells.values_mut() {
        cell.prefill_capacity /= prefill;
        cell.decode_capacity /= decode;
    }
}

/// Assigns the rest of all prefills to where prefill servers are left over.
fn assign_remainder(cells: &mut BTreeMap<CellId, CellQuota>) {
    let remainder = 1.0 - sum_over(cells, |cell| cell.prefill_quota);
    let idle = sum_over(cells, |cell| (cell.prefill_capacity - cell.prefill_quota).max(0.0));
    for cell in cells.values_mut() {
        cell.prefill_quota +=
            remainder.max(0.0) * (cell.prefill_capacity - cell.prefill_quota).max(0.0) / idle;
    }
}
