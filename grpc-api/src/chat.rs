//! Handles a chat call: receives and decodes its request, passes the request to the gateway and sends the answer.

use crate::error::RpcError;
use crate::message::{self, RequestStream};
use crate::responder::Responder;
use crate::{request, v1};
use bytes::BytesMut;
use futures_lite::future;
use http::HeaderMap;
use petrelshore::interface::Nanos;
use petrelshore_chat_gateway::{Answer, AnswerItem, CompleteAnswer, FinalAnswer, Usage};
use petrelshore_gateway_core::error_response::ErrorResponse;
use petrelshore_gateway_core::{FailureReason, Relay, timeouts};
use petrelshore_ingress::call::{CallContext, unix_seconds};
use petrelshore_ingress::metadata;
use v1::chat_event::Event;

/// Answers a chat call with a streamed or a buffered answer.
pub async fn chat(
    responder: &mut Responder,
    arrived_at: Nanos,
    headers: &HeaderMap,
    mut requests: RequestStream,
    relay: Relay,
) -> Result<(), RpcError> {
    let gateway = responder.gateway().clone();
    let settings = gateway.settings();
    let metadata = request::call_metadata(headers)?;
    let tenant = metadata::authenticate(settings, &metadata)?;
    responder.completion_deadline =
        metadata.completion_budget.map(|budget| timeouts::first_token_deadline(arrived_at, budget));
    let request: v1::ChatRequest = responder.receive_only(&mut requests).await?;
    let call = request::decode(request, relay)?;
    let client = responder.connection().client.client;
    let generation_request =
        CallContext { settings, metadata: &metadata, tenant, client, arrived_at }.prepare(call)?;
    drop(requests);
    // The connection's task must process a reset that arrived with the request before the call causes any work.
    future::yield_now().await;
    responder.ensure_connected()?;
    let model = generation_request.request.model.to_string();
    let answer = gateway.accept(generation_request)?;
    let id = format!("{:016x}", answer.id().0);
    let begun = v1::Begun { id, model, created: unix_seconds(arrived_at) as i64 };
    match relay {
        Relay::Streamed | Relay::Passthrough => send_streamed(responder, answer, begun).await,
        Relay::Buffered => send_buffered(responder, answer, begun).await,
    }
}

/// Sends texts as they arrive. Texts that are available at the same time are sent together.
async fn send_streamed(
    responder: &mut Responder,
    mut answer: Answer,
    begun: v1::Begun,
) -> Result<(), RpcError> {
    // The head waits for the first token, since a rejected call must not look as if its answer had begun.
    let mut next = responder.unless_disconnected(answer.next()).await?;
    if let Some(AnswerItem::FinalAnswer(final_answer)) = &next
        && let Some(response) = ErrorResponse::from_final_answer(final_answer)
    {
        return Err(response.into());
    }
    responder.send_head(Some(&begun.id))?;
    let mut buffer = BytesMut::new();
    message::append(&mut buffer, &event(Event::Begun(begun)));
    loop {
        let final_answer = encode_available(&mut buffer, next, &mut answer);
        responder.send(buffer.split().freeze(), Some(&mut answer)).await?;
        if let Some(final_answer) = final_answer {
            return match ErrorResponse::from_final_answer(&final_answer) {
                Some(response) => Err(response.into()),
                None => Ok(()),
            };
        }
        next = responder.unless_disconnected(answer.next()).await?;
        if next.is_none() {
            return Err(RpcError::aborted(FailureReason::StreamBroken));
        }
    }
}

/// Encodes `next` and all further items that are available. Returns the final answer if it is among them.
fn encode_available(
    buffer: &mut BytesMut,
    mut next: Option<AnswerItem>,
    answer: &mut Answer,
) -> Option<FinalAnswer> {
    while let Some(received) = next {
        match received {
            AnswerItem::Text(text) => message::append(buffer, &event(Event::Text(text))),
            AnswerItem::FinalAnswer(final_answer) => {
                if let FinalAnswer::Completed { finish_reason, usage } = &final_answer {
                    let usage = Some(usage_message(*usage));
                    let end = v1::End { finish_reason: finish_reason.clone(), usage };
                    message::append(buffer, &event(Event::End(end)));
                }
                return Some(final_answer);
            }
        }
        next = answer.try_next();
    }
    None
}

/// Collects the complete answer before any of it is sent.
async fn send_buffered(responder: &mut Responder, answer: Answer, begun: v1::Begun) -> Result<(), RpcError> {
    let CompleteAnswer { text, finish_reason, usage } =
        responder.unless_disconnected(answer.complete()).await??;
    responder.send_head(Some(&begun.id))?;
    let v1::Begun { id, model, created } = begun;
    let usage = Some(usage_message(usage));
    let answer = v1::ChatAnswer { id, model, created, text, finish_reason, usage };
    responder.send(message::encode(&answer), None).await
}

fn event(event: Event) -> v1::ChatEvent {
    v1::ChatEvent { event: Some(event) }
}

fn usage_message(usage: Usage) -> v1::Usage {
    v1::Usage { prompt_tokens: usage.prompt_tokens, completion_tokens: usage.completion_tokens }
}
