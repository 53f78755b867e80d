//! Scans of the whole fleet, in batches of bounded size.

use super::quotas::CapacitySums;
use super::registry::Fleet;
use super::server::Server;
use crate::interface::ServerId;

/// A scan of all servers in the order of their ids, in batches. Servers that are listed during the scan are scanned too
/// if their ids come after its position.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerScan {
    next_id: u64,
    finished: bool,
}

impl ServerScan {
    /// The next servers, at most `max_servers` of them.
    pub fn next_batch<'a>(&mut self, fleet: &'a Fleet, max_servers: usize) -> Vec<&'a Server> {
        let batch: Vec<&Server> = fleet.values_from(ServerId(self.next_id)).take(max_servers).collect();
        fleet.count_examined(batch.len());
        let last_id = batch.last().map_or(u64::MAX, |server| server.endpoint.server.0);
        self.finished = batch.len() < max_servers || last_id == u64::MAX;
        self.next_id = last_id.saturating_add(1);
        batch
    }

    /// Returns true if the scan has reached the last server.
    pub fn is_finished(&self) -> bool {
        self.finished
    }
}

/// The state of a scan that computes quotas: first it collects response times, then it sums capacities.
#[derive(Debug, Default)]
pub struct FleetScan {
    /// The scan of response times.
    pub response_times: ServerScan,
    /// For each role, a high quantile of the response times of each scanned server, in nanoseconds.
    pub high_response_times: [Vec<f64>; 3],
    /// The scan of capacities.
    pub capacities: ServerScan,
    /// The sums of the capacities of the servers scanned so far.
    pub sums: CapacitySums,
}
