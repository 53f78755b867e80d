//! Prefix affinity: what servers should have kept of sessions and shared texts.

use super::*;

pub(super) const NEW_HOMES: f64 = 6.0;
/// What a reader that had kept its text makes of that multiple, and one that had not.
pub(super) const FOUND: f64 = 1.2;
pub(super) const MISSED: f64 = 0.4;
/// Half-life of how often a shared text was sent: about how long a reader keeps one that is not read again.
pub(super) const TEXT_LIFE: Nanos = 10_000_000_000;
/// Servers that are candidates for a text as it was sent there last.
pub(super) const LAST_SENT: usize = 8;

impl Scheduler {
    /// What the reader should have kept: texts age out as it reads its memory full, with the other gateways' part. A
    /// shared text may have come to it through other gateways, with that probability.
    pub(super) fn credit(&self, server: &Server, sequence: &Sequence, elsewhere: f64) -> f64 {
        let room = server.memory / self.deployment.gateways as f64;
        let live = |text: Text| {
            let kept = self.stats.kept.get(&(server.generation, text))?;
            let there = kept.read_before >= server.forgotten && server.read_in_all - kept.read_before < room;
            there.then_some(kept.tokens)
        };
        let session = sequence.session.and_then(|id| live(Text::Session(id))).unwrap_or(0.0);
        let prefix =
            sequence.prefix.and_then(|id| live(Text::Prefix(id))).unwrap_or(0.0).min(sequence.prefix_tokens);
        session.max(prefix).max(elsewhere * sequence.prefix_tokens).min(sequence.prompt_tokens)
    }

    /// How often this gateway has sent a sequence's shared text of late.
    pub(super) fn text_sent(&self, now: Nanos, sequence: &Sequence) -> f64 {
        sequence.prefix.and_then(|id| self.stats.prefixes.get(&id)).map_or(0.0, |sent| sent.read(now))
    }

    /// A server is sent a sequence's texts, of which it should have kept so many tokens.
    pub(super) fn keep(&mut self, now: Nanos, sequence: &Sequence, server: ServerId, kept: f64) {
        let Some(server) = self.fleet.get_mut(server) else { return };
        let read_before = server.read_in_all;
        server.read_in_all += sequence.prompt_tokens - kept;
        if let Some(id) = sequence.session {
            let kept = Kept { tokens: sequence.prompt_tokens, read_before };
            self.stats.text_sent(server, Text::Session(id), kept, LAST_SENT);
        }
        if let Some(id) = sequence.prefix {
            let kept = Kept { tokens: sequence.prefix_tokens, read_before };
            self.stats.text_sent(server, Text::Prefix(id), kept, LAST_SENT);
            self.stats.prefixes.entry_or_insert_with(id, || DecayingSum::new(TEXT_LIFE)).add(now, 1.0);
            self.stats.texts.add(now, 1.0);
        }
    }
}
