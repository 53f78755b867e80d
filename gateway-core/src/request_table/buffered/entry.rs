//! What the buffered request table knows of one request.

use super::message::{FinalAnswer, Piece, Request, Usage};
use crate::cache_releases::CacheRelease;
use crate::cancellation_limits::ClientId;
use crate::idempotency::IdempotencyKey;
use petrelshore::interface::{ServerId, TenantId};

/// The finish reason of an answer whose decode server gave none.
const DEFAULT_FINISH_REASON: &str = "stop";

/// A KV cache that a prefill server holds.
pub(super) struct PrefilledCache<P> {
    /// What releases it.
    pub(super) release: CacheRelease,
    /// What a decode server needs to fetch it.
    pub(super) transfer_params: P,
}

/// One request.
pub(in crate::request_table) struct RequestEntry<P> {
    pub(super) request: Request,
    /// KV caches that prefill servers hold for it.
    pub(super) caches: Vec<PrefilledCache<P>>,
    finish_reason: Option<String>,
    usage: Usage,
    /// Its text so far, if a repeat may ask for it or its stream may be resumed.
    pub(super) text: Option<String>,
    /// Tokens that earlier attempts had delivered when the present one was sent.
    pub(super) tokens_delivered: u32,
    /// Whether part of it may have taken effect.
    pub(super) may_have_run: bool,
    /// Whether its first token has arrived.
    pub(super) first_token_received: bool,
    /// Whether the API has dropped its answer.
    pub(super) client_left: bool,
}

impl<P> RequestEntry<P> {
    pub(super) fn new(request: Request, collects_text: bool) -> Self {
        RequestEntry {
            text: collects_text.then(String::new),
            request,
            caches: Vec::new(),
            finish_reason: None,
            usage: Usage::default(),
            tokens_delivered: 0,
            may_have_run: false,
            first_token_received: false,
            client_left: false,
        }
    }

    /// The KV cache that a decode server is sent to fetch from a prefill server: the one prefilled last there.
    pub(super) fn cache_at(&self, server: ServerId) -> Option<&PrefilledCache<P>> {
        self.cache_position(server).map(|position| &self.caches[position])
    }

    /// A decode server has fetched that KV cache, and it is reserved no more.
    pub(super) fn remove_cache_at(&mut self, server: ServerId) {
        if let Some(position) = self.cache_position(server) {
            self.caches.remove(position);
        }
    }

    fn cache_position(&self, server: ServerId) -> Option<usize> {
        self.caches.iter().rposition(|cache| cache.release.server == server)
    }

    /// Records a piece of the answer; gives text back for the client.
    pub(super) fn record(&mut self, piece: Piece) -> Option<String> {
        match piece {
            Piece::Text(text) => {
                if let Some(collected) = &mut self.text {
                    collected.push_str(&text);
                }
                return Some(text);
            }
            Piece::Finish(reason) => self.finish_reason = Some(reason),
            Piece::Usage(usage) => self.usage = usage,
        }
        None
    }

    /// The final answer of a request that completed.
    pub(super) fn completed_answer(&self) -> FinalAnswer {
        // The first part of a resumed stream was prefilled as part of the prompt.
        let delivered = u64::from(self.tokens_delivered);
        let usage = Usage {
            prompt_tokens: self.usage.prompt_tokens.saturating_sub(delivered),
            completion_tokens: self.usage.completion_tokens + delivered,
        };
        let finish_reason = self.finish_reason.clone().unwrap_or_else(|| DEFAULT_FINISH_REASON.to_owned());
        FinalAnswer::Completed { finish_reason, usage }
    }
}

/// The client of a request, as far as cancellation limits go.
pub(super) fn client_id(request: &Request) -> ClientId {
    ClientId { address: request.client, tenant: request.tenant }
}

/// The key of a request in the idempotency store, if its client sent one.
pub(super) fn idempotency_key(request: &Request) -> Option<IdempotencyKey> {
    let key = request.idempotency_key.as_ref()?;
    // Within one run of a gateway a tenant's number identifies it as well as its name would.
    let tenant = request.tenant.map_or(String::new(), |TenantId(tenant)| tenant.to_string());
    Some(IdempotencyKey { tenant, key: key.to_string() })
}
