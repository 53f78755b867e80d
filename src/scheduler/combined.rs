//! Selection of servers that take a sequence from its prompt to its last token.

use super::candidates::DECODE_ROLES;
use super::{Scheduler, Selection};
use crate::fleet::{Candidates, Server};
use crate::interface::{Nanos, Role, Sequence, ServerId, Step};

impl Scheduler {
    /// Combined servers take their share of sequences from the prompt on: while one is less loaded than the least loaded
    /// decode server and has begun all that it was sent. A prefill slows its answers, so each gateway gives it one prompt
    /// at a time.
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

    /// The least loaded of the available servers that have capacity for a sequence and are wanted.
    fn least_loaded(
        &self,
        now: Nanos,
        sequence: &Sequence,
        candidates: &Candidates,
        is_wanted: impl Fn(&Server) -> bool,
    ) -> Option<ServerId> {
        let rank = |s: &Server| {
            let open = is_wanted(s) && self.can_decode(now, s, sequence);
            open.then(|| self.ranked_load(now, s))
        };
        self.lowest_ranked(now, sequence, candidates, &rank)
    }

    /// Where no prefill server can be had, or no attempt would be left to decode after a prefill: a server that does both.
    pub(super) fn select_combined_fallback(&self, now: Nanos, sequence: &Sequence) -> Option<Selection> {
        let rank = |s: &Server| {
            let open = self.deployment.serves_combined(s.role) && self.is_available(now, s);
            open.then(|| self.ranked_load(now, s))
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
