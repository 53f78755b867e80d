//! Scans of the whole fleet, a bounded number of servers at a time.

use super::quotas::CapacitySums;
use super::registry::Fleet;
use super::server::Server;
use crate::interface::ServerId;

/// A scan of all servers in the order of their ids, in batches. What is listed meanwhile past its position is scanned too.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerScan {
    next_id: u64,
    finished: bool,
}

impl ServerScan {
    /// The next servers, `max_servers` at most.
    pub fn next_batch<'a>(&mut self, fleet: &'a Fleet, max_servers: usize) -> Vec<&'a Server> {
        let batch: Vec<&Server> = fleet.values_from(ServerId(self.next_id)).take(max_servers).collect();
        fleet.count_examined(batch.len());
        let last_id = batch.last().map_or(u64::MAX, |server| server.endpoint.server.0);
        self.finished = batch.len() < max_servers || last_id == u64::MAX;
        self.next_id = last_id.saturating_add(1);
        batch
    }

    /// Whether it has come to the end.
    pub fn is_finished(&self) -> bool {
        self.finished
    }
}

/// A scan for quotas under way: first of response times, then of capacities.
#[derive(Debug, Default)]
pub struct FleetScan {
    /// The scan of response times.
    pub response_times: ServerScan,
    /// For each role, the high response times of the servers scanned, in nanoseconds.
    pub high_response_times: [Vec<f64>; 3],
    /// The scan of capacities.
    pub capacities: ServerScan,
    /// Their sums so far.
    pub sums: CapacitySums,
}
