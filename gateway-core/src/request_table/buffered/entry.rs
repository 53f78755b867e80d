//! The state of one request in the buffered request table.

use super::message::{FinalAnswer, OutputStart, Piece, Request, Usage};
use crate::cache_releases::CacheRelease;
use crate::cancellation_limits::ClientId;
use crate::idempotency::{IdempotencyKey, KeyedRequest};
use petrelshore::interface::{SequenceId, ServerId, TenantId};

/// The finish reason of an answer for which the decode server sent none.
const DEFAULT_FINISH_REASON: &str = "stop";

/// A KV cache that a prefill server holds.
pub(super) struct PrefilledCache<P> {
    /// The release request for this KV cache.
    pub(super) release: CacheRelease,
    /// The parameters that a decode server needs to fetch this KV cache.
    pub(super) transfer_params: P,
}

/// The state of one request.
pub(in crate::request_table) struct RequestEntry<P> {
    pub(super) request: Request,
    /// KV caches that prefill servers hold for the request.
    pub(super) caches: Vec<PrefilledCache<P>>,
    finish_reason: Option<String>,
    /// The token counts, once the decode server has sent them.
    usage: Option<Usage>,
    /// The text received so far, collected only if a repeat of the request may ask for the answer or the stream may be
    /// resumed.
    pub(super) text: Option<String>,
    /// Number of texts received from the latest attempt that decodes, whether or not they are collected.
    texts_received: u64,
    /// Number of tokens that earlier attempts had delivered when the latest attempt was sent.
    pub(super) tokens_delivered: u32,
    /// Set once an attempt that decodes was sent: part of the request may have taken effect.
    pub(super) may_have_run: bool,
    /// Set once the first token has arrived.
    pub(super) first_token_received: bool,
    /// Set once the API has dropped the answer, at its end or before.
    pub(super) answer_dropped: bool,
}

impl<P> RequestEntry<P> {
    pub(super) fn new(request: Request, collects_text: bool) -> Self {
        RequestEntry {
            text: collects_text.then(String::new),
            texts_received: 0,
            request,
            caches: Vec::new(),
            finish_reason: None,
            usage: None,
            tokens_delivered: 0,
            may_have_run: false,
            first_token_received: false,
            answer_dropped: false,
        }
    }

    /// The KV cache that a decode server is to fetch from a prefill server: the latest of this request on that server.
    pub(super) fn cache_at(&self, server: ServerId) -> Option<&PrefilledCache<P>> {
        self.cache_position(server).map(|position| &self.caches[position])
    }

    /// Removes the KV cache that [`Self::cache_at`] returns: a decode server has fetched it, so the prefill server no
    /// longer reserves it.
    pub(super) fn remove_cache_at(&mut self, server: ServerId) {
        if let Some(position) = self.cache_position(server) {
            self.caches.remove(position);
        }
    }

    fn cache_position(&self, server: ServerId) -> Option<usize> {
        self.caches.iter().rposition(|cache| cache.release.server == server)
    }

    /// Prepares the record of the answer for the output of an attempt, which continues the answer after
    /// `tokens_delivered` tokens. An attempt that generates the answer from its start makes the text of earlier attempts
    /// void.
    pub(super) fn begin_output(&mut self, tokens_delivered: u32) -> OutputStart {
        self.finish_reason = None;
        self.usage = None;
        let has_texts = std::mem::take(&mut self.texts_received) > 0;
        if tokens_delivered > 0 || !has_texts {
            return OutputStart::Continues;
        }
        if let Some(collected) = &mut self.text {
            collected.clear();
        }
        OutputStart::Restarts
    }

    /// Records a piece of the answer. Returns the text of a text piece for the client.
    pub(super) fn record(&mut self, piece: Piece) -> Option<String> {
        match piece {
            Piece::Text(text) => {
                self.texts_received += 1;
                if let Some(collected) = &mut self.text {
                    collected.push_str(&text);
                }
                return Some(text);
            }
            Piece::Finish(reason) => self.finish_reason = Some(reason),
            Piece::Usage(usage) => self.usage = Some(usage),
        }
        None
    }

    /// The final answer of a request that completed.
    pub(super) fn completed_answer(&self) -> FinalAnswer {
        // The last attempt of a resumed stream prefilled the delivered text as part of its prompt, so the decode server
        // counted these tokens as prompt tokens.
        let delivered = u64::from(self.tokens_delivered);
        let usage = match self.usage {
            Some(usage) => Usage {
                prompt_tokens: usage.prompt_tokens.saturating_sub(delivered),
                completion_tokens: usage.completion_tokens + delivered,
            },
            None => self.estimated_usage(delivered),
        };
        let finish_reason = self.finish_reason.clone().unwrap_or_else(|| DEFAULT_FINISH_REASON.to_owned());
        FinalAnswer::Completed { finish_reason, usage }
    }

    /// The token counts of an answer whose stream ended before the decode server sent them. Each text counts as one token.
    fn estimated_usage(&self, delivered: u64) -> Usage {
        let prompt_tokens = self.request.estimate.prompt_tokens as u64;
        Usage { prompt_tokens, completion_tokens: self.texts_received + delivered }
    }
}

/// Identifies the client of a request for the cancellation limits.
pub(super) fn client_id(request: &Request) -> ClientId {
    ClientId { address: request.client, tenant: request.tenant }
}

/// A request as the idempotency store knows it, if the client sent an idempotency key.
pub(super) fn keyed_request(id: SequenceId, request: &Request) -> Option<KeyedRequest> {
    let key = request.idempotency_key.as_ref()?;
    // The store does not outlive the gateway process, within which a tenant's number is as unique as its name.
    let tenant = request.tenant.map_or(String::new(), |TenantId(tenant)| tenant.to_string());
    Some(KeyedRequest { key: IdempotencyKey { tenant, key: key.to_string() }, id })
}
