//! What part of all prefills each cell should get: reckoned anew now and then over the whole fleet.

use super::*;

/// So much more than its even part may a reader get while nothing is known of moves, and at the most.
pub(super) const READ_MORE: f64 = 0.1;
pub(super) const READ_MOST: f64 = 2.0;
/// What is reckoned over the whole fleet is reckoned anew after this.
pub(super) const SURVEY: Nanos = 200_000_000;
/// Over a large fleet one server is gone over in each such time, within these numbers at each request.
const FOR_EACH: Nanos = 300_000;
const PART_LEAST: usize = 16;
const PART_MOST: usize = 256;

impl Scheduler {
    /// Reckons, now and then, what each cell's sound servers can take; over a large fleet a part at each request.
    pub(super) fn survey(&mut self, now: Nanos) {
        if self.survey.is_none() && self.surveyed.is_some_and(|at| now < at + SURVEY) {
            return;
        }
        let since = now.saturating_sub(self.surveyed.replace(now).unwrap_or(0));
        let mut survey = self.survey.take().unwrap_or_default();
        let all = self.is_small() || self.shares.cells.is_empty();
        let most = if all { usize::MAX } else { ((since / FOR_EACH) as usize).clamp(PART_LEAST, PART_MOST) };
        self.gather(now, &mut survey, most);
        if survey.cells.is_over() {
            self.publish(now, &survey.sums);
        } else {
            self.survey = Some(survey);
        }
    }

    /// Goes over so many further servers: first for the times that they usually take, then for what goes by these.
    fn gather(&mut self, now: Nanos, survey: &mut Survey, most: usize) {
        if !survey.times.is_over() {
            for s in survey.times.next(&self.fleet, most) {
                survey.answer_times[s.role as usize].extend(self.high_time(now, s));
            }
            if !survey.times.is_over() {
                return;
            }
            self.usual = std::array::from_fn(|role| middle(&mut survey.answer_times[role]));
        }
        for s in survey.cells.next(&self.fleet, most) {
            let weight = s.weight * self.present(now, s);
            // By the list alone: a verdict that comes and goes must not move sessions from home to home.
            let prefills = s.role == Role::Prefill && s.endpoint.state == EndpointState::Ready;
            let decodes = s.role == Role::Decode && self.sound(now, s) && self.decode_load(now, s) <= FULL;
            let told_share = if s.role == Role::Prefill { None } else { self.told_share(now, s) };
            let [readers, writers] = [prefills, decodes].map(|takes| if takes { weight } else { 0.0 });
            survey.sums.add(&s.endpoint, Contribution { readers, writers, told_share });
        }
    }

    /// Deals all reads out: where writers are, as far as the readers there can do more than their even part; the rest
    /// where readers are left over. Then each zone's part to the gateways: their own first, as far as it goes round.
    fn publish(&mut self, now: Nanos, sums: &Sums) {
        let mut cells = sums.cells.clone();
        let more = self.read_more(now);
        let (readers, writers) = (sum_over(&cells, |c| c.readers), sum_over(&cells, |c| c.writers));
        for cell in cells.values_mut() {
            (cell.readers, cell.writers) = (cell.readers / readers, cell.writers / writers);
            cell.reads = cell.writers.min((1.0 + more) * cell.readers);
        }
        let left = 1.0 - sum_over(&cells, |c| c.reads);
        let idle = sum_over(&cells, |c| (c.readers - c.reads).max(0.0));
        for cell in cells.values_mut() {
            cell.reads += left.max(0.0) * (cell.readers - cell.reads).max(0.0) / idle;
        }
        let zones = reads_by_zone(&cells);
        let even = 1.0 / zones.len().max(1) as f64;
        let own = zones.get(&self.deployment.zone).copied().unwrap_or(0.0);
        let spare: f64 = zones.values().map(|part| (part - even).max(0.0)).sum();
        let short = (even - own).max(0.0) / spare.max(1e-9);
        let turn = |(zone, reads): (ZoneId, f64)| {
            let here = zone == self.deployment.zone;
            let turn = if here { reads.min(even) } else { (reads - even).max(0.0) * short };
            (zone, ZoneShare { reads: reads.max(1e-9), turn })
        };
        let zones = zones.into_iter().map(turn).collect();
        let no_writers = cells.values().all(|cell| cell.writers <= 0.0);
        self.shares = Shares { cells, zones, told: sums.mean_told(), no_writers };
    }

    /// A state is moved as far as that takes less time than waiting for a busier reader beside the writer.
    fn read_more(&self, now: Nanos) -> f64 {
        let time = |step| self.known_time(now, step, 0.0);
        let (Some(moved), Some(read)) = (time(Step::MigratedDecode), time(Step::Prefill)) else {
            return READ_MORE;
        };
        (0.5 * (moved - time(Step::Decode).unwrap_or(0.0)) / read).clamp(0.0, READ_MOST)
    }
}
