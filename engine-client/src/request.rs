//! The requests that a caller passes to the client, and the results that the client returns.

use crate::orca::Load;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A completion request to a model server, for prefill or decode.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// The address of the model server.
    pub address: SocketAddr,
    /// The request id, which also identifies the KV cache that a prefill server holds for this request.
    pub request_id: String,
    /// The name of the model.
    pub model: Rc<str>,
    /// The prompt.
    pub prompt: Rc<str>,
    /// The maximum number of generated tokens.
    pub max_tokens: u32,
    /// The texts that end the generation.
    pub stop: Rc<[String]>,
    /// Further sampling parameters, as specified by the client of the gateway.
    pub sampling: Rc<serde_json::Map<String, serde_json::Value>>,
    /// The idempotency key by which the server recognizes retries.
    pub idempotency_key: Option<Rc<str>>,
    /// The transfer parameters that the prefill server returned for the KV cache that is to be fetched.
    pub transfer_params: Option<Rc<RawValue>>,
    /// True if the request must not be sent on a pooled connection.
    pub new_connection: bool,
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// True if a KV cache is held for this request while it is sent. Then the server must prove that it runs before the
    /// request is sent, and once more if the response is slow.
    pub holds_cache: bool,
}

/// The result of a successful prefill, whose KV cache the prefill server holds.
#[derive(Clone, Debug)]
pub struct PrefillResult {
    /// The parameters that the decode server needs to fetch the KV cache (`kv_transfer_params`).
    pub transfer_params: Rc<RawValue>,
    /// Number of prompt tokens that the prefill server had in its cache before the prefill.
    pub cached_tokens: f64,
}

/// The result of an exchange, with the load that the server reported in its response.
#[derive(Debug)]
pub struct Reply<T> {
    /// The answer of the server, or the end of an exchange that failed.
    pub result: Result<T, AttemptEnd>,
    /// The load report in the head of the response, if there is one.
    pub load: Option<Load>,
}

impl<T> Reply<T> {
    /// Creates the reply of an exchange that ended without a response.
    pub(crate) fn failed(end: AttemptEnd) -> Self {
        Reply { result: Err(end), load: None }
    }
}
