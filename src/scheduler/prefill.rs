//! Prefill selection: the server with least prompt work, and the homes of sessions and shared texts.

use super::*;

/// Part of a prompt that a session's home reader is hoped to have kept.
pub(super) const HOME: f64 = 0.25;
/// A shared text is at home at so many times its part of all readers, as far as own sends tell.
pub(super) const TEXT_HOMES: f64 = 8.0;
/// While nothing tells it counts as one of so many, and is at home at this many readers: so many at first, then as
/// reads find it, from one to so many times its part.
pub(super) const FEW_TEXTS: f64 = 10.0;

impl Scheduler {
    /// The reader with least prompt work. One whose cell's writers can't take its even part of all reads counts part
    /// of the prompt again, since that part of its states has to be moved once more.
    pub(super) fn select_prefill(&self, now: Nanos, sequence: &Sequence) -> Option<Pick> {
        if sequence.attempts.len() + 2 > self.most_attempts(sequence) {
            return None;
        }
        let (homes, among) = self.homes(now, sequence);
        let nearest = homes.values().copied().fold(f64::INFINITY, f64::min);
        let kept = |s: &Server| {
            let away = homes.get(&s.endpoint.server).copied().unwrap_or(LAST);
            // How surely a home has kept its text: as the reads of late have found them.
            let hope = if away < LAST { 1.0 - self.stats.missed.read(now, 0.5) } else { 0.0 };
            ((nearest / away).min(1.0), self.credit(s, sequence, hope))
        };
        let failing = self.failing(now, sequence);
        let work = |s: &Server| {
            let far = if self.shares.cells.get(&s.endpoint.cell).is_some_and(|c| c.reads > 0.0) {
                0.0
            } else {
                1.0
            };
            let (home, kept) = kept(s);
            let last = self.last(now, s, self.ready(now, s));
            // A cold one that may be sent something comes first, or its part is left and warm ones jam.
            let cold = if now < s.cold_until { 1.0 } else { 0.0 };
            let again = far - HOME * home - cold + 2.0 * self.doubt(now, s, sequence, failing);
            self.read_work(now, s, sequence, kept) + again * sequence.prompt_tokens + last
        };
        let by = |s: &Server| (s.role == Role::Prefill).then(|| work(s));
        let server = self.search(now, sequence, &among, &[Role::Prefill], &by)?;
        Some(Pick { server, step: Step::Prefill, kept: kept(&self.fleet[server]).1 })
    }

    /// How far readers are from being this session's home, to which every gateway turns, and the candidates: a hash,
    /// by the part of all reads each should get. Guards against reading texts anew when a gateway has restarted or a
    /// session comes through another one.
    fn homes(&self, now: Nanos, sequence: &Sequence) -> (HashMap<ServerId, f64>, Candidates) {
        let key = sequence.session.map_or(sequence.id.0, |session| session.0);
        // A text that many share is kept by some readers, by its part of all reads as far as own sends tell, rather
        // than pushed out of all: by the fewer the more often it is not found there.
        let readers = self.fleet.index().prefill_servers().max(1) as f64;
        let new = (self.new_homes * FEW_TEXTS / readers).min(TEXT_HOMES);
        let spread =
            (new + TEXT_HOMES * self.text_sent(now, sequence)) / (FEW_TEXTS + self.stats.texts.read(now));
        let away = |s: &Server| {
            let cell = self.shares.cells.get(&s.endpoint.cell)?;
            let zone = self.shares.zones.get(&cell.zone)?;
            let part = zone.turn * cell.reads / zone.reads * s.weight / cell.readers.max(1e-9);
            let text =
                sequence.prefix.map_or(0.0, |PrefixId(text)| race(mix(text), s.endpoint.server.0, part));
            Some((s.endpoint.server, race(key, s.endpoint.server.0, part), text))
        };
        if !self.is_small() {
            let mut slots = self.nominees(key, sequence.prefix, spread * readers);
            let away = |slot: &Slot| away(self.fleet.at(*slot)).map(|(server, away, _)| (server, away));
            let homes = slots.iter().filter_map(away).collect();
            let texts = [sequence.session.map(Text::Session), sequence.prefix.map(Text::Prefix)];
            let sent_to = texts.into_iter().flatten().flat_map(|text| self.stats.sent_to(text));
            slots.extend(sent_to.filter_map(|server| self.fleet.slot(server)));
            self.draw(sequence, Role::Prefill, self.deployment.zone, &mut slots);
            return (homes, Candidates::distinct(slots));
        }
        let readers = self.fleet.values().filter(|s| s.role == Role::Prefill);
        let readers: Vec<_> = readers.filter_map(away).collect();
        // The first of them is one, however few there are.
        let spread = readers.iter().map(|(.., text)| *text).fold(f64::INFINITY, f64::min).max(spread);
        let astray = |text: f64| if text > spread { LAST } else { 0.0 };
        let homes = readers.into_iter().map(|(server, away, text)| (server, away + astray(text)));
        (homes.collect(), Candidates::All)
    }
}
