//! Selection of a server that takes a sequence from its prompt to its last token.

use super::candidates::DECODE_ROLES;
use super::{Scheduler, Selection};
use crate::fleet::{Candidates, Server};
use crate::interface::{Nanos, Role, Sequence, ServerId, Step};

impl Scheduler {
    /// Selects the least loaded combined server if it is less loaded than the least loaded decode server, so that
    /// combined servers get their share of sequences. A combined server is not selected while an attempt of this
    /// gateway awaits its first token there: a prefill slows down the server's answers, so each gateway sends it one
    /// prompt at a time.
    pub(super) fn select_combined(&self, now: Nanos, sequence: &Sequence) -> Option<Selection> {
        if self.fleet.pool(Role::Combined, None).is_empty() {
            return None;
        }
        let candidates = self.decode_candidates(sequence, None);
        let combined = self.least_loaded(now, sequence, &candidates, |s| {
            s.role == Role::Combined && s.in_flight.iter().all(|attempt| !attempt.awaits_first_token)
        })?;
        let decode = self.least_loaded(now, sequence, &candidates, |s| s.role == Role::Decode);
        let load = |id: ServerId| self.ranked_load(now, &self.fleet[id]);
        let is_less_loaded = decode.is_none_or(|decode| load(combined) < load(decode));
        is_less_loaded.then(|| self.combined_selection(sequence, combined))
    }

    /// The least loaded available server that passes the filter and has capacity for a sequence.
    fn least_loaded(
        &self,
        now: Nanos,
        sequence: &Sequence,
        candidates: &Candidates,
        filter: impl Fn(&Server) -> bool,
    ) -> Option<ServerId> {
        let rank = |s: &Server| {
            let is_selectable = filter(s) && self.can_decode(now, s, sequence);
            is_selectable.then(|| self.ranked_load(now, s))
        };
        self.lowest_ranked(now, sequence, candidates, &rank)
    }

    /// Selects a server that prefills and decodes. This is the fallback if no prefill server can be selected, or if no
    /// attempt would be left to decode after a prefill.
    pub(super) fn select_combined_fallback(&self, now: Nanos, sequence: &Sequence) -> Option<Selection> {
        let rank = |s: &Server| {
            let is_selectable = self.deployment.serves_combined(s.role) && self.is_available(now, s);
            is_selectable.then(|| self.ranked_load(now, s))
        };
        let candidates = self.decode_candidates(sequence, None);
        let server = self.select_lowest(now, sequence, &candidates, &DECODE_ROLES, &rank)?;
        Some(self.combined_selection(sequence, server))
    }

    fn combined_selection(&self, sequence: &Sequence, server: ServerId) -> Selection {
        let cached_tokens = self.expected_cached_tokens(&self.fleet[server], sequence, 0.0);
        Selection { server, step: Step::Combined, cached_tokens }
    }
}
