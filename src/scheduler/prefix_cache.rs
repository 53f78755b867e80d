//! Prefix caches: estimates the session and shared prefixes that servers have cached, from this gateway's own sends.

use super::Scheduler;
use super::parameters::PREFIX_HALF_LIFE;
use crate::decay::DecayingSum;
use crate::fleet::Server;
use crate::interface::{Nanos, Sequence, ServerId};
use crate::statistics::{CachedPrefix, PrefixKey, ServerPrefix};

/// Maximum number of servers that are remembered for a prefix: the servers that the prefix was last sent to, which are
/// candidates for the prefix.
const MAX_RECENT_SERVERS: usize = 8;

impl Scheduler {
    /// Prompt tokens that a server is expected to have cached. A prefix counts as evicted once later prefills from this
    /// gateway fill this gateway's part of the server's memory. `other_gateway_probability` is the probability that the
    /// server has the shared prefix through other gateways.
    pub(super) fn expected_cached_tokens(
        &self,
        server: &Server,
        sequence: &Sequence,
        other_gateway_probability: f64,
    ) -> f64 {
        let session =
            sequence.session.map_or(0.0, |id| self.cached_prefix_tokens(server, PrefixKey::Session(id)));
        let shared =
            sequence.prefix.map_or(0.0, |id| self.cached_prefix_tokens(server, PrefixKey::Shared(id)));
        session
            .max(shared.min(sequence.prefix_tokens))
            .max(other_gateway_probability * sequence.prefix_tokens)
            .min(sequence.prompt_tokens)
    }

    /// Tokens of a prefix that a server is expected to have cached, from this gateway's own sends.
    fn cached_prefix_tokens(&self, server: &Server, prefix: PrefixKey) -> f64 {
        let key = ServerPrefix { generation: server.generation, prefix };
        let Some(sent) = self.statistics.cached_prefixes.get(&key) else { return 0.0 };
        let memory_part = server.memory_tokens / self.deployment.gateways as f64;
        let is_cached = sent.prefilled_before >= server.evicted_tokens
            && server.prefilled_tokens - sent.prefilled_before < memory_part;
        if is_cached { sent.tokens } else { 0.0 }
    }

    /// Records that a server is sent a sequence's prefixes. `cached_tokens` is the number of prompt tokens that the
    /// server is expected to have cached.
    pub(super) fn record_prefixes_sent(
        &mut self,
        now: Nanos,
        sequence: &Sequence,
        server: ServerId,
        cached_tokens: f64,
    ) {
        let Some(server) = self.fleet.get_mut(server) else { return };
        let prefilled_before = server.prefilled_tokens;
        server.prefilled_tokens += sequence.prompt_tokens - cached_tokens;
        if let Some(id) = sequence.session {
            let sent = CachedPrefix { tokens: sequence.prompt_tokens, prefilled_before };
            self.statistics.prefix_sent(server, PrefixKey::Session(id), sent, MAX_RECENT_SERVERS);
        }
        if let Some(id) = sequence.prefix {
            let sent = CachedPrefix { tokens: sequence.prefix_tokens, prefilled_before };
            self.statistics.prefix_sent(server, PrefixKey::Shared(id), sent, MAX_RECENT_SERVERS);
            let new_sum = || DecayingSum::new(PREFIX_HALF_LIFE);
            self.statistics.prefix_sends.entry_or_insert_with(id, new_sum).add(now, 1.0);
            self.statistics.all_prefix_sends.add(now, 1.0);
        }
    }
}
