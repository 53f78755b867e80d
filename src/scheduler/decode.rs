//! Decode selection: after the prefill the least loaded server of its cell, and servers that take a request whole.

use super::*;

/// A writer reported or reckoned fuller than this has no room.
pub(super) const FULL: f64 = 0.95;
/// A state leaves its cell when the least loaded writer there is this much fuller than the least in the hall.
pub(super) const SPILL: f64 = 0.3;
/// Part at which writers of another zone count for states that are handed on.
pub(super) const ZONE_AWAY: f64 = 0.25;

impl Scheduler {
    /// The least loaded writer of the reader's cell; without one, elsewhere, own zone first. Two exceptions. A state
    /// leaves a cell that is much fuller than another of the hall. And a cell that reads more than its writers can
    /// take hands on the rest, by lot to where less is read, while their loads are not known.
    pub(super) fn select_decode(
        &mut self,
        now: Nanos,
        sequence: &Sequence,
        reader: ServerId,
    ) -> Option<Pick> {
        let chance = self.chance.rand_float();
        let home = &self.fleet[reader].endpoint;
        let writes =
            |s: &Server| s.role == Role::Decode || (self.shares.no_writers && s.role == Role::Combined);
        let among = self.decode_candidates(sequence, Some(home));
        let near = |s: &Server| s.endpoint.cell == home.cell && writes(s);
        let sound =
            |s: &Server| s.role != Role::Prefill && self.ready(now, s) && self.has_room(now, s, sequence);
        let fresh = |s: &Server| {
            let age = now.saturating_sub(s.reported) as f64 / HALF_LIFE as f64;
            s.report.memory_share.map_or(0.0, |_| (-age).exp2())
        };
        let known = self.fleet.among(&among).filter(|s| near(s)).map(fresh).fold(0.0, f64::max);
        let leave = self.shares.cells.get(&home.cell).map_or(0.0, |c| 1.0 - c.writers / c.reads.max(1e-9));
        if chance < leave * (1.0 - known) {
            let away = |s: &Server| {
                let cell = self.shares.cells.get(&s.endpoint.cell).filter(|c| c.spare() > 0.0 && sound(s))?;
                let zone = if cell.zone == home.zone { 1.0 } else { ZONE_AWAY };
                let part = zone * cell.spare() * s.weight / cell.writers.max(1e-9);
                Some(race(sequence.id.0, s.endpoint.server.0, part))
            };
            let picked = self.least(now, sequence, &among, &away);
            if let Some(server) = picked {
                return Some(Pick { server, step: Step::MigratedDecode, kept: 0.0 });
            }
        }
        let failing = self.failing(now, sequence);
        let load = |s: &Server| {
            let far = match (near(s), s.endpoint.zone == home.zone) {
                (true, _) => 0.0,
                (false, true) => SPILL,
                (false, false) => 1.0,
            };
            let last = self.last(now, s, sound(s)) * (1.0 + far);
            self.ranked_load(now, s) + far + self.doubt(now, s, sequence, failing) + last
        };
        let by = |s: &Server| (s.role != Role::Prefill).then(|| load(s));
        let server = self.search(now, sequence, &among, &ANSWERING, &by)?;
        let beside = self.fleet[server].endpoint.cell == home.cell;
        Some(Pick { server, step: if beside { Step::Decode } else { Step::MigratedDecode }, kept: 0.0 })
    }

    /// Mixed servers take their share of sequences whole: while one holds less than the least loaded writer and has
    /// begun all that it was sent. Reading slows its answers, so each gateway gives it one prompt at a time.
    pub(super) fn select_mixed(&self, now: Nanos, sequence: &Sequence) -> Option<Pick> {
        if self.fleet.pool(Role::Combined, None).is_empty() {
            return None;
        }
        let among = self.decode_candidates(sequence, None);
        let least = |role: Role| {
            let open = |s: &Server| s.role == role && self.ready(now, s) && self.has_room(now, s, sequence);
            let idle = |s: &Server| role == Role::Decode || s.out.iter().all(|out| !out.waiting);
            self.least(now, sequence, &among, &|s| (open(s) && idle(s)).then(|| self.ranked_load(now, s)))
        };
        let mixed = least(Role::Combined)?;
        let load = |id: ServerId| self.ranked_load(now, &self.fleet[id]);
        least(Role::Decode)
            .is_none_or(|writer| load(mixed) < load(writer))
            .then(|| self.whole(sequence, mixed))
    }

    /// Where no reader can be had, or no attempt would be left to answer after a read: whoever does both.
    pub(super) fn select_whole(&self, now: Nanos, sequence: &Sequence) -> Option<Pick> {
        let open = |s: &Server| self.deployment.serves_combined(s.role) && self.ready(now, s);
        let by = |s: &Server| open(s).then(|| self.ranked_load(now, s));
        let found = self.search(now, sequence, &self.decode_candidates(sequence, None), &ANSWERING, &by);
        found.map(|server| self.whole(sequence, server))
    }

    pub(super) fn whole(&self, sequence: &Sequence, server: ServerId) -> Pick {
        Pick { server, step: Step::Combined, kept: self.credit(&self.fleet[server], sequence, 0.0) }
    }

    pub(super) fn has_room(&self, now: Nanos, server: &Server, sequence: &Sequence) -> bool {
        self.decode_load(now, server) + self.stream_tokens(sequence) / server.memory <= FULL
    }

    /// The last reported share of memory. One that nothing of ours will renew fades, or a server once full would
    /// never be tried again.
    pub(super) fn told_share(&self, now: Nanos, server: &Server) -> Option<f64> {
        let age = if server.out.is_empty() { now.saturating_sub(server.reported) } else { 0 };
        server.report.memory_share.map(|share| share * (-(age as f64) / HALF_LIFE as f64).exp2())
    }

    /// The reported share of memory with own streams since, never less than all own streams out.
    pub(super) fn decode_load(&self, now: Nanos, server: &Server) -> f64 {
        let own = server.own_tokens(0) / server.memory;
        let Some(share) = self.told_share(now, server) else { return own };
        let since = server.own_tokens(server.reported.saturating_sub(REPORT_LAG)) / server.memory;
        own.max(share + since)
    }

    /// The load by which servers that answer are ranked: one that has told none yet comes as the mean of those that
    /// have, one that has started anew as empty. Says nothing of room: a gateway that has heard from full servers
    /// only must not take all for full.
    pub(super) fn ranked_load(&self, now: Nanos, server: &Server) -> f64 {
        let told = server.report.memory_share.is_some() || now < server.cold_until;
        let unknown = if told { 0.0 } else { self.shares.told };
        self.decode_load(now, server) + unknown
    }

    /// Memory a stream will hold: its prompt and its answer, half the most where its length is not known.
    pub(super) fn stream_tokens(&self, sequence: &Sequence) -> f64 {
        let pace = self.deployment.types[sequence.traffic.0].token_interval.max(1) as f64;
        let answer = sequence.output_length_hint.map_or(sequence.max_output_tokens / 2.0, |hint| {
            (hint as f64 / pace).min(sequence.max_output_tokens)
        });
        sequence.prompt_tokens + answer
    }
}
