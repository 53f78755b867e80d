//! The JSON bodies of requests and responses.

use crate::request::CompletionRequest;
use petrelshore_gateway_core::buffered::{Piece, Usage};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The `kv_transfer_params` of a prefill request. They tell the prefill server that another server will fetch the KV
/// cache.
const PREFILL_TRANSFER_PARAMS: &str = r#"{"do_remote_decode":true,"do_remote_prefill":false,"remote_engine_id":null,"remote_block_ids":null,"remote_host":null,"remote_port":null}"#;

/// The body of a completion request.
#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    stream_options: Option<StreamOptions>,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    stop: &'a [String],
    #[serde(skip_serializing_if = "Option::is_none")]
    kv_transfer_params: Option<&'a RawValue>,
    #[serde(flatten)]
    sampling: &'a serde_json::Map<String, serde_json::Value>,
}

#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

/// The body of a prefill request.
pub(crate) fn prefill_body(request: &CompletionRequest) -> serde_json::Result<Vec<u8>> {
    let params = RawValue::from_string(PREFILL_TRANSFER_PARAMS.to_owned());
    serde_json::to_vec(&Completion {
        model: &request.model,
        prompt: &request.prompt,
        max_tokens: 1,
        stream: false,
        stream_options: None,
        stop: &[],
        kv_transfer_params: params.as_deref().ok(),
        sampling: &serde_json::Map::new(),
    })
}

/// The body of a decode request.
pub(crate) fn decode_body(request: &CompletionRequest) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&Completion {
        model: &request.model,
        prompt: &request.prompt,
        max_tokens: request.max_tokens,
        stream: true,
        stream_options: Some(StreamOptions { include_usage: true }),
        stop: &request.stop,
        kv_transfer_params: request.transfer_params.as_deref(),
        sampling: &request.sampling,
    })
}

/// The body of a release request.
pub(crate) fn release_body(request_id: &str) -> Vec<u8> {
    serde_json::json!({ "request_id": request_id }).to_string().into_bytes()
}

/// The body of a prefill response.
#[derive(Deserialize)]
pub(crate) struct PrefillResponse {
    pub(crate) kv_transfer_params: Box<RawValue>,
    usage: PrefillUsage,
}

#[derive(Deserialize)]
struct PrefillUsage {
    prompt_tokens_details: Option<PromptTokensDetails>,
}

#[derive(Deserialize)]
struct PromptTokensDetails {
    cached_tokens: Option<u64>,
}

impl PrefillResponse {
    /// Number of prompt tokens that the server had in its cache before the prefill, or zero if the server does not
    /// report it.
    pub(crate) fn cached_tokens(&self) -> u64 {
        let details = self.usage.prompt_tokens_details.as_ref();
        details.and_then(|details| details.cached_tokens).unwrap_or(0)
    }
}

/// One event of a decode response.
#[derive(Deserialize)]
pub(crate) struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<TokenUsage>,
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct TokenUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

impl Chunk {
    /// Returns true if this event reports an error of the server.
    pub(crate) fn is_error(&self) -> bool {
        self.error.is_some()
    }

    /// Converts the event to pieces: for each choice its text and its finish reason, then the token counts.
    pub(crate) fn into_pieces(self) -> Vec<Piece> {
        let mut pieces = Vec::new();
        for choice in self.choices {
            if !choice.text.is_empty() {
                pieces.push(Piece::Text(choice.text));
            }
            pieces.extend(choice.finish_reason.map(Piece::Finish));
        }
        let usage = self.usage.map(|usage| Usage {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
        });
        pieces.extend(usage.map(Piece::Usage));
        pieces
    }
}

#[derive(Deserialize)]
struct ErrorResponse {
    error: ErrorBody,
}

#[derive(Deserialize)]
struct ErrorBody {
    code: Option<serde_json::Value>,
}

/// Returns the error code in the body of an error response, if the code is a string.
pub(crate) fn error_code(body: &[u8]) -> Option<String> {
    let response: ErrorResponse = serde_json::from_slice(body).ok()?;
    response.error.code?.as_str().map(str::to_owned)
}
