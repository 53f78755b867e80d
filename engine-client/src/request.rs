//! What a caller asks of a client, and what it gets back.

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
    /// The request ID, which names the KV cache that is held for it.
    pub request_id: String,
    /// The name of the model.
    pub model: Rc<str>,
    /// The prompt.
    pub prompt: Rc<str>,
    /// The bound of the generated tokens.
    pub max_tokens: u32,
    /// The texts that end the generation.
    pub stop: Rc<[String]>,
    /// Further sampling fields, as the client gave them.
    pub sampling: Rc<serde_json::Map<String, serde_json::Value>>,
    /// The idempotency key by which the server recognises retries.
    pub idempotency_key: Option<Rc<str>>,
    /// What the prefill server returned for the KV cache that is to be fetched.
    pub transfer_params: Option<Rc<RawValue>>,
    /// It must not use a pooled connection.
    pub new_connection: bool,
    /// Time for establishing its connection.
    pub connect_timeout: Duration,
    /// A KV cache is held for it meanwhile: its server must prove that it runs, before and after it is sent.
    pub holds_cache: bool,
}

/// A KV cache that waits at its prefill server.
#[derive(Clone, Debug)]
pub struct PrefillResult {
    /// What the decode server needs to fetch it (`kv_transfer_params`).
    pub transfer_params: Rc<RawValue>,
    /// How many tokens of the prompt were cached.
    pub cached_tokens: f64,
}

/// The result of an exchange, with the load that the server reported along with it.
#[derive(Debug)]
pub struct Reply<T> {
    /// What the server answered, or how the exchange ended.
    pub result: Result<T, AttemptEnd>,
    /// The load report in the response's head.
    pub load: Option<Load>,
}

impl<T> Reply<T> {
    /// An exchange that ended without a response.
    pub(crate) fn failed(end: AttemptEnd) -> Self {
        Reply { result: Err(end), load: None }
    }
}
