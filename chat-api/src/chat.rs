//! One chat request: received in full, decoded, admitted by the gateway, answered.

use crate::body;
use crate::chunks::{ChunkEncoder, CompletionInfo, completion};
use crate::error::ApiError;
use crate::headers;
use crate::request::{self, ChatRequest};
use crate::response::{ApiResponse, event_response, json_response};
use bytes::Bytes;
use futures_lite::stream::{self, Stream};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use petrelshore_chat_gateway::{Answer, AnswerItem, FinalAnswer, Gateway};
use petrelshore_gateway_core::capacity::MAX_BUFFERED_ANSWER_BYTES;
use petrelshore_gateway_core::error_response::{ErrorCause, ErrorResponse, Retry};
use petrelshore_gateway_core::{FailureReason, Relay};
use petrelshore_ingress::call::{CallContext, unix_seconds};
use petrelshore_ingress::error::CallError;
use petrelshore_ingress::listener::ClientGuard;
use petrelshore_ingress::metadata;
use std::time::Duration;

/// Answers a chat request, streamed or buffered as it asks.
pub async fn complete(
    request: Request<Incoming>,
    client: &ClientGuard,
    gateway: &Gateway,
) -> Result<ApiResponse, CallError> {
    let arrived_at = gateway.clock().now();
    let settings = gateway.settings();
    let headers = request.headers().clone();
    let metadata = headers::chat_metadata(&headers)?;
    let tenant = metadata::authenticate(settings, &metadata)?;
    let body_timeout = Duration::from_nanos(settings.limits.body_time);
    let body = body::receive(request.into_body(), client, body_timeout).await?;
    let ChatRequest { call, include_usage } = request::decode(&body.bytes)?;
    let context = CallContext { settings, metadata: &metadata, tenant, client: client.client, arrived_at };
    let ask = context.prepare(call)?;
    drop(body);
    let (model, relay) = (ask.request.model.clone(), ask.request.relay);
    let answer = gateway.accept(ask)?;
    let id = format!("chatcmpl-{:016x}", answer.id().0);
    let info = CompletionInfo { id, created: unix_seconds(arrived_at), model };
    match relay {
        Relay::Streamed => Ok(streamed(answer, &info, include_usage).await),
        Relay::Buffered | Relay::Passthrough => {
            let response = buffered(answer, &info).await.unwrap_or_else(|error| error.response());
            Ok(with_request_id(response, &info.id))
        }
    }
}

fn with_request_id(mut response: ApiResponse, id: &str) -> ApiResponse {
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

async fn streamed(mut answer: Answer, info: &CompletionInfo, include_usage: bool) -> ApiResponse {
    // The status waits for the first token: a request that is rejected must not look as if it had begun.
    let first = answer.next().await;
    if let Some(AnswerItem::FinalAnswer(last)) = &first
        && let Some(error) = ApiError::from_final_answer(last)
    {
        return error.response();
    }
    let encoder = ChunkEncoder::new(info, include_usage);
    let events = EventStream { opening: encoder.opening(), answer, encoder, first };
    with_request_id(event_response(Box::pin(events.into_stream())), &info.id)
}

/// The events of a streamed answer, from its first text on. It owns the answer: when the client disconnects, both are
/// dropped.
struct EventStream {
    answer: Answer,
    encoder: ChunkEncoder,
    /// What was received before the status was sent, until it has been encoded.
    first: Option<AnswerItem>,
    /// Sent together with the first text.
    opening: String,
}

impl EventStream {
    fn into_stream(self) -> impl Stream<Item = Bytes> {
        stream::unfold(self, |mut events| async move {
            let bytes = events.next().await?;
            Some((bytes, events))
        })
    }

    async fn next(&mut self) -> Option<Bytes> {
        let next = match self.first.take() {
            Some(next) => next,
            None => self.answer.next().await?,
        };
        let mut encoded = std::mem::take(&mut self.opening);
        match next {
            AnswerItem::Text(text) => encoded.push_str(&self.encoder.text(&text)),
            AnswerItem::FinalAnswer(last) => encoded.push_str(&self.encoder.closing(&last)),
        }
        Some(Bytes::from(encoded))
    }
}

/// Collects the complete answer before anything of it is sent.
async fn buffered(mut answer: Answer, info: &CompletionInfo) -> Result<ApiResponse, ApiError> {
    let mut collected = String::new();
    while let Some(next) = answer.next().await {
        match next {
            AnswerItem::Text(text) => collected.push_str(&text),
            AnswerItem::FinalAnswer(FinalAnswer::Completed { finish_reason, usage }) => {
                let body = completion(info, &collected, &finish_reason, usage);
                return Ok(json_response(StatusCode::OK, &body));
            }
            AnswerItem::FinalAnswer(last) => {
                if let Some(error) = ApiError::from_final_answer(&last) {
                    return Err(error);
                }
            }
        }
        if collected.len() > MAX_BUFFERED_ANSWER_BYTES {
            break;
        }
    }
    let cause = ErrorCause::Aborted(FailureReason::AnswerTooLarge);
    Err(ErrorResponse { cause, retry: Retry::Never }.into())
}
