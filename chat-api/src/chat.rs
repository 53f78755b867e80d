//! Handles a chat request: receives it in full, decodes it, submits it to the gateway and relays the answer.

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
use petrelshore_chat_gateway::{Answer, AnswerItem, CompleteAnswer, Gateway};
use petrelshore_gateway_core::Relay;
use petrelshore_ingress::call::{CallContext, unix_seconds};
use petrelshore_ingress::error::CallError;
use petrelshore_ingress::listener::ClientGuard;
use petrelshore_ingress::metadata;
use std::time::Duration;

/// Answers a chat request. The answer is streamed or buffered, as the request specifies.
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
    let generation_request = context.prepare(call)?;
    drop(body);
    let (model, relay) = (generation_request.request.model.clone(), generation_request.request.relay);
    let answer = gateway.accept(generation_request)?;
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
    // The status is sent only after the first item of the answer has arrived: a request that fails before its first
    // token gets its error status, not the status of an answer that has begun.
    let first = answer.next().await;
    if let Some(AnswerItem::FinalAnswer(final_answer)) = &first
        && let Some(error) = ApiError::from_final_answer(final_answer)
    {
        return error.response();
    }
    let encoder = ChunkEncoder::new(info, include_usage);
    let events = EventStream { role_chunk: encoder.role_chunk(), answer, encoder, first };
    with_request_id(event_response(Box::pin(events.into_stream())), &info.id)
}

/// The server-sent events of a streamed answer. The stream owns the answer: when the client disconnects, both are
/// dropped, and the gateway learns that the client has left.
struct EventStream {
    answer: Answer,
    encoder: ChunkEncoder,
    /// The first item of the answer, which arrives before the status is sent; `None` once the item has been encoded.
    first: Option<AnswerItem>,
    /// The encoded chunk with the role, which is sent together with the first item; empty afterwards.
    role_chunk: String,
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
        let mut encoded = std::mem::take(&mut self.role_chunk);
        match next {
            AnswerItem::Text(text) => encoded.push_str(&self.encoder.text_chunk(&text)),
            AnswerItem::FinalAnswer(answer) => encoded.push_str(&self.encoder.final_events(&answer)),
        }
        Some(Bytes::from(encoded))
    }
}

/// Collects the complete answer before any part of it is sent. An answer over the size limit fails.
async fn buffered(answer: Answer, info: &CompletionInfo) -> Result<ApiResponse, ApiError> {
    let CompleteAnswer { text, finish_reason, usage } = answer.complete().await?;
    Ok(json_response(StatusCode::OK, &completion(info, &text, &finish_reason, usage)))
}
