//! Limits of attempts (rules 1 and 2): the number of attempts, the time until which they may begin, and their servers.

use super::Scheduler;
use crate::attempt_history::first_possible_run;
use crate::fleet::ServerScope;
use crate::interface::{Idempotency, KeyScope, Nanos, Sequence, ServerId};

impl Scheduler {
    /// The maximum number of attempts of a sequence. Every sequence may have a prefill and a decode; the number of
    /// retries is proportional to its priority weight.
    pub(super) fn max_attempts(&self, sequence: &Sequence) -> usize {
        let max_attempts = self.deployment.max_attempts;
        let max_retries = max_attempts.saturating_sub(2) as f64;
        let retries = (max_retries * self.deployment.relative_priority(sequence.traffic)).ceil() as usize;
        max_attempts.min(2 + retries)
    }

    /// Returns true if no further attempt may begin, because the attempts are used up or the send deadline has passed.
    pub(super) fn attempts_exhausted(&self, now: Nanos, sequence: &Sequence) -> bool {
        sequence.attempts.len() >= self.max_attempts(sequence)
            || self.send_deadline(sequence).is_some_and(|deadline| now >= deadline)
    }

    /// The time before which another attempt has to begin once an attempt may have run; `None` if there is no such
    /// limit. Servers forget an idempotency key after its window.
    pub fn send_deadline(&self, sequence: &Sequence) -> Option<Nanos> {
        let first = first_possible_run(sequence)?;
        match self.deployment.types[sequence.traffic.0].idempotency {
            Idempotency::Idempotent => None,
            Idempotency::Keyed { window, .. } => Some(first.sent_at.saturating_add(window)),
            Idempotency::AtMostOnce => Some(first.sent_at),
        }
    }

    /// Returns true if the attempts left are enough for an answer, given the roles that the deployment has.
    pub(super) fn can_complete(&self, sequence: &Sequence, has_kv_cache: bool) -> bool {
        let one_attempt_is_enough = has_kv_cache || self.deployment.any_kind_serves_combined();
        let needed = if one_attempt_is_enough { 1 } else { 2 };
        sequence.attempts.len() + needed <= self.max_attempts(sequence)
    }

    /// The servers that a sequence with an idempotency key is bound to once an attempt may have run: the servers that
    /// know the key. If the server of that attempt is no longer known, the scope is empty.
    pub(super) fn idempotency_scope(&self, sequence: &Sequence) -> Option<ServerScope> {
        let Idempotency::Keyed { scope, .. } = self.deployment.types[sequence.traffic.0].idempotency else {
            return None;
        };
        if scope == KeyScope::Fleet {
            return None;
        }
        let first = first_possible_run(sequence)?;
        Some(self.scope_around(scope, first.server))
    }

    /// The servers that know the idempotency keys of one server.
    fn scope_around(&self, scope: KeyScope, server: ServerId) -> ServerScope {
        let Some(server) = self.fleet.get(server) else { return ServerScope::Empty };
        match scope {
            KeyScope::Cell => ServerScope::Cell(server.endpoint.cell),
            KeyScope::Zone | KeyScope::Fleet => ServerScope::Zone(server.endpoint.zone),
        }
    }
}
