//! Figures over the whole fleet, gathered a bounded number of servers at a time.

use super::{Fleet, Server};
use crate::interface::*;
use std::collections::BTreeMap;

/// A walk over all servers by their names, in parts. What is listed meanwhile behind its place is walked over too.
#[derive(Clone, Copy, Debug, Default)]
pub struct Walk {
    next: u64,
    over: bool,
}

impl Walk {
    /// The next servers, `most` at the most.
    pub fn next<'a>(&mut self, fleet: &'a Fleet, most: usize) -> Vec<&'a Server> {
        let part: Vec<&Server> = fleet.values_from(ServerId(self.next)).take(most).collect();
        fleet.count(part.len());
        let last = part.last().map_or(u64::MAX, |server| server.endpoint.server.0);
        self.over = part.len() < most || last == u64::MAX;
        self.next = last.saturating_add(1);
        part
    }

    /// Whether it has come to the end.
    pub fn is_over(&self) -> bool {
        self.over
    }
}

/// What one server adds to the figures of its cell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Contribution {
    pub readers: f64,
    pub writers: f64,
    /// The share of memory that it has told.
    pub told_share: Option<f64>,
}

/// A cell's sums, or its parts, of what the fleet's sound prefill and decode servers can do, and of all prefills.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CellShare {
    pub zone: ZoneId,
    pub readers: f64,
    pub writers: f64,
    pub reads: f64,
}

impl CellShare {
    /// What its decode servers can do beyond what is read in it.
    pub fn spare(&self) -> f64 {
        (self.writers - self.reads).max(0.0)
    }
}

/// A sum over all cells, never quite zero.
pub fn sum_over(cells: &BTreeMap<CellId, CellShare>, of: fn(&CellShare) -> f64) -> f64 {
    cells.values().map(of).sum::<f64>().max(1e-9)
}

/// Each zone's part of all prefills.
pub fn reads_by_zone(cells: &BTreeMap<CellId, CellShare>) -> BTreeMap<ZoneId, f64> {
    let mut zones: BTreeMap<ZoneId, f64> = BTreeMap::new();
    cells.values().for_each(|cell| *zones.entry(cell.zone).or_default() += cell.reads);
    zones
}

/// A zone's part of all prefills, and what part of them this gateway turns to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    pub reads: f64,
    pub turn: f64,
}

/// What the last survey came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    pub cells: BTreeMap<CellId, CellShare>,
    pub zones: BTreeMap<ZoneId, ZoneShare>,
    /// The mean share of memory that servers which answer have told.
    pub told: f64,
    pub no_writers: bool,
}

/// Sums over all cells, as far as they are gathered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sums {
    pub cells: BTreeMap<CellId, CellShare>,
    told: f64,
    telling: usize,
}

impl Sums {
    pub fn add(&mut self, endpoint: &Endpoint, part: Contribution) {
        let empty = CellShare { zone: endpoint.zone, readers: 0.0, writers: 0.0, reads: 0.0 };
        let cell = self.cells.entry(endpoint.cell).or_insert(empty);
        cell.readers += part.readers;
        cell.writers += part.writers;
        self.told += part.told_share.unwrap_or(0.0);
        self.telling += usize::from(part.told_share.is_some());
    }

    /// The mean share of memory that was told.
    pub fn mean_told(&self) -> f64 {
        self.told / self.telling.max(1) as f64
    }
}

/// A survey on its way: first of answer times by role, then of cells.
#[derive(Debug, Default)]
pub struct Survey {
    pub times: Walk,
    pub answer_times: [Vec<f64>; 3],
    pub cells: Walk,
    pub sums: Sums,
}

/// The lower and the higher of the two values in the middle; none of no values.
pub fn middle(values: &mut [f64]) -> Option<(f64, f64)> {
    let (half, odd) = (values.len() / 2, values.len() % 2 == 1);
    if values.is_empty() {
        return None;
    }
    let (below, upper, _) = values.select_nth_unstable_by(half, f64::total_cmp);
    let upper = *upper;
    let lower = if odd { upper } else { below.iter().copied().max_by(f64::total_cmp).unwrap_or(upper) };
    Some((lower, upper))
}
