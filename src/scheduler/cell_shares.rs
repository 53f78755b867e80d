//! What part of all prefills each cell should get: reckoned anew now and then over the whole fleet.

use super::*;

/// So much more than its even part may a reader get while nothing is known of moves, and at the most.
pub(super) const READ_MORE: f64 = 0.1;
pub(super) const READ_MOST: f64 = 2.0;
/// What is reckoned over the whole fleet is reckoned anew after this.
pub(super) const SURVEY: Nanos = 200_000_000;

/// A cell's parts of what the fleet's sound readers and writers can do, and of all reads.
#[derive(Clone, Copy)]
pub(super) struct Cell {
    pub(super) zone: ZoneId,
    pub(super) readers: f64,
    pub(super) writers: f64,
    pub(super) reads: f64,
}

impl Cell {
    pub(super) fn spare(&self) -> f64 {
        (self.writers - self.reads).max(0.0)
    }
}

impl Brain {
    /// Reckons, now and then, what each cell's sound servers can take. Reads go where writers are, as far as
    /// the readers there can do more than their even part; the rest is read where readers are left over.
    pub(super) fn survey(&mut self, now: Nanos) {
        if self.surveyed.is_some_and(|at| now < at + SURVEY) {
            return;
        }
        self.surveyed = Some(now);
        self.usual = [Role::Reader, Role::Writer, Role::Mixed].map(|role| self.middle_times(now, role));
        let answering = self.fleet.values().filter(|s| s.role != Role::Reader);
        let told: Vec<f64> = answering.filter_map(|s| self.told_share(now, s)).collect();
        self.told = told.iter().sum::<f64>() / told.len().max(1) as f64;
        let mut cells: BTreeMap<CellId, Cell> = BTreeMap::new();
        for s in self.fleet.values() {
            let part = s.weight * self.present(now, s);
            let empty = Cell { zone: s.listing.zone, readers: 0.0, writers: 0.0, reads: 0.0 };
            let cell = cells.entry(s.listing.cell).or_insert(empty);
            match s.role {
                // By the list alone: a verdict that comes and goes must not move sessions from home to home.
                Role::Reader if s.listing.condition == Condition::Ready => cell.readers += part,
                Role::Writer if self.sound(now, s) && self.decode_load(now, s) <= FULL => {
                    cell.writers += part
                }
                _ => {}
            }
        }
        let sum = |cells: &BTreeMap<CellId, Cell>, of: fn(&Cell) -> f64| {
            cells.values().map(of).sum::<f64>().max(1e-9)
        };
        let more = self.read_more(now);
        let (readers, writers) = (sum(&cells, |c| c.readers), sum(&cells, |c| c.writers));
        for cell in cells.values_mut() {
            (cell.readers, cell.writers) = (cell.readers / readers, cell.writers / writers);
            cell.reads = cell.writers.min((1.0 + more) * cell.readers);
        }
        let left = 1.0 - sum(&cells, |c| c.reads);
        let idle = sum(&cells, |c| (c.readers - c.reads).max(0.0));
        for cell in cells.values_mut() {
            cell.reads += left.max(0.0) * (cell.readers - cell.reads).max(0.0) / idle;
        }
        self.cells = cells;
    }

    /// A state is moved as far as that takes less time than waiting for a busier reader beside the writer.
    /// Guards against narrow and slow links on one side, against jammed readers on the other.
    pub(super) fn read_more(&self, now: Nanos) -> f64 {
        let time = |step| self.known_time(now, step, 0.0);
        let (Some(moved), Some(read)) = (time(Step::Move), time(Step::Read)) else { return READ_MORE };
        (0.5 * (moved - time(Step::Write).unwrap_or(0.0)) / read).clamp(0.0, READ_MOST)
    }
}
