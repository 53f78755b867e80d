//! The way of one call: its message whole, understood, taken, answered.

use crate::connection::Place;
use crate::message::{self, Incoming};
use crate::status::{Told, status_of};
use crate::{SERVICE, health, request, v1};
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, request::Parts};
use petrelshore::interface::Nanos;
use petrelshore_chat_gateway::{Answer, FinalAnswer, Next, Usage};
use petrelshore_gateway_core::capacity::WHOLE_ANSWER;
use petrelshore_gateway_core::error_response::{ErrorCause, ErrorResponse, Retry};
use petrelshore_gateway_core::{FailureReason, Relay, timeouts};
use petrelshore_ingress::call::{self, CallContext};
use petrelshore_ingress::error::{RequestError, RequestErrorKind};
use petrelshore_ingress::metadata;
use prost::Message;
use std::task::{Context, Poll};
use tonic::Status;
use tonic_health::pb::{HealthCheckRequest, HealthCheckResponse};
use tonic_reflection::pb::v1::ServerReflectionRequest;
use v1::chat_event::Event;

const CONTENT: &str = "application/grpc";

pub async fn run(place: Place, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
    let arrived = place.line.known.clock.now();
    let (parts, body) = request.into_parts();
    let incoming = Incoming::new(body, place.line.inside.reserve_body());
    let mut reply = Reply { place, respond, sending: None, whole_by: None };
    if !parts
        .headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(CONTENT.as_bytes()))
    {
        return reply.refuse(StatusCode::UNSUPPORTED_MEDIA_TYPE);
    }
    if parts.method != Method::POST {
        return reply.refuse(StatusCode::METHOD_NOT_ALLOWED);
    }
    let ended = answer(&mut reply, arrived, &parts, incoming).await;
    reply.end(ended);
}

async fn answer(reply: &mut Reply, arrived: Nanos, parts: &Parts, incoming: Incoming) -> Result<(), Told> {
    let Some((service, method)) = parts.uri.path().strip_prefix('/').and_then(|path| path.rsplit_once('/'))
    else {
        return Err(no_such(parts.uri.path()));
    };
    match (service, method) {
        (SERVICE, "Stream") => chat(reply, arrived, &parts.headers, incoming, Relay::Streamed).await,
        (SERVICE, "Complete") => chat(reply, arrived, &parts.headers, incoming, Relay::Buffered).await,
        (SERVICE, "ListModels") => models(reply, &parts.headers, incoming).await,
        ("grpc.health.v1.Health", "Check") => check(reply, incoming).await,
        ("grpc.health.v1.Health", "Watch") => watch(reply, incoming).await,
        (
            "grpc.reflection.v1.ServerReflection" | "grpc.reflection.v1alpha.ServerReflection",
            "ServerReflectionInfo",
        ) => describe(reply, incoming).await,
        _ => Err(no_such(parts.uri.path())),
    }
}

fn no_such(path: &str) -> Told {
    RequestError::new(
        RequestErrorKind::UnknownMethod,
        format!("there is nothing at {}", call::truncated(path)),
    )
    .into()
}

async fn chat(
    reply: &mut Reply,
    arrived: Nanos,
    headers: &HeaderMap,
    mut incoming: Incoming,
    relay: Relay,
) -> Result<(), Told> {
    let gateway = reply.place.line.gateway.clone();
    let settings = gateway.settings();
    let head = request::head(headers)?;
    let tenant = metadata::authenticate(settings, &head)?;
    reply.whole_by = head.completion_budget.map(|whole| timeouts::first_token_deadline(arrived, whole));
    let asked: v1::ChatRequest = reply.one(&mut incoming).await?;
    let call = request::call(asked, relay)?;
    let client = reply.place.line.inside.client;
    let context = CallContext { settings, metadata: &head, tenant, client, arrived_at: arrived };
    let ask = context.prepare(call)?;
    drop(incoming);
    // A reset that came with the request must find it before it makes any work.
    future::yield_now().await;
    reply.there()?;
    let model = ask.request.model.to_string();
    let answer = gateway.accept(ask)?;
    let (id, created) = (format!("{:016x}", answer.id().0), call::unix_seconds(arrived) as i64);
    match relay {
        Relay::Streamed | Relay::Passthrough => stream(reply, answer, v1::Begun { id, model, created }).await,
        Relay::Buffered => whole(reply, answer, v1::Begun { id, model, created }).await,
    }
}

/// Texts as they come, what is there at once in one piece.
async fn stream(reply: &mut Reply, mut answer: Answer, begun: v1::Begun) -> Result<(), Told> {
    // The head waits for the first token: a sequence that is rejected must not look begun.
    let mut next = reply.unless_gone(answer.next()).await?;
    if let Some(Next::FinalAnswer(last)) = &next
        && let Some(unanswered) = ErrorResponse::from_final_answer(last)
    {
        return Err(unanswered.into());
    }
    reply.begin(&begun.id)?;
    let mut part = BytesMut::new();
    message::put(&mut part, &event(Event::Begun(begun)));
    loop {
        let mut last = None;
        while let Some(came) = next {
            match came {
                Next::Text(text) => message::put(&mut part, &event(Event::Text(text))),
                Next::FinalAnswer(end) => {
                    last = Some(end);
                    break;
                }
            }
            next = answer.ready();
        }
        if let Some(FinalAnswer::Completed { finish_reason: finish, usage }) = &last {
            let end = v1::End { finish_reason: finish.clone(), usage: Some(counted(*usage)) };
            message::put(&mut part, &event(Event::End(end)));
        }
        reply.send(part.split().freeze(), Some(&mut answer)).await?;
        if let Some(last) = last {
            return ErrorResponse::from_final_answer(&last)
                .map_or(Ok(()), |unanswered| Err(unanswered.into()));
        }
        next = reply.unless_gone(answer.next()).await?;
        if next.is_none() {
            return Err(aborted(FailureReason::StreamBroken));
        }
    }
}

async fn whole(reply: &mut Reply, mut answer: Answer, begun: v1::Begun) -> Result<(), Told> {
    let mut text = String::new();
    while text.len() <= WHOLE_ANSWER {
        match reply.unless_gone(answer.next()).await? {
            Some(Next::Text(more)) => text.push_str(&more),
            Some(Next::FinalAnswer(FinalAnswer::Completed { finish_reason: finish, usage })) => {
                reply.begin(&begun.id)?;
                let v1::Begun { id, model, created } = begun;
                let usage = Some(counted(usage));
                let answered = v1::ChatAnswer { id, model, created, text, finish_reason: finish, usage };
                return reply.send(message::encode(&answered), None).await;
            }
            Some(Next::FinalAnswer(last)) => {
                return Err(ErrorResponse::from_final_answer(&last)
                    .map_or(aborted(FailureReason::StreamBroken), Told::from));
            }
            None => return Err(aborted(FailureReason::StreamBroken)),
        }
    }
    Err(aborted(FailureReason::AnswerTooLarge))
}

fn event(event: Event) -> v1::ChatEvent {
    v1::ChatEvent { event: Some(event) }
}

fn counted(usage: Usage) -> v1::Usage {
    v1::Usage { prompt_tokens: usage.prompt_tokens, completion_tokens: usage.completion_tokens }
}

fn aborted(reason: FailureReason) -> Told {
    ErrorResponse { cause: ErrorCause::Aborted(reason), retry: Retry::Never }.into()
}

async fn models(reply: &mut Reply, headers: &HeaderMap, mut incoming: Incoming) -> Result<(), Told> {
    let gateway = reply.place.line.gateway.clone();
    metadata::authenticate(gateway.settings(), &request::head(headers)?)?;
    let v1::ListModelsRequest {} = reply.one(&mut incoming).await?;
    let models = gateway.settings().traffic.iter().flat_map(|traffic| traffic.models.iter().cloned());
    reply.only(&v1::ListModelsResponse { models: models.collect() }).await
}

async fn check(reply: &mut Reply, mut incoming: Incoming) -> Result<(), Told> {
    let asked: HealthCheckRequest = reply.one(&mut incoming).await?;
    let state = health::check(&reply.place.line.gateway, &asked.service).map_err(Told::Status)?;
    reply.only(&state).await
}

async fn watch(reply: &mut Reply, mut incoming: Incoming) -> Result<(), Told> {
    let asked: HealthCheckRequest = reply.one(&mut incoming).await?;
    let gateway = reply.place.line.gateway.clone();
    reply.begin("")?;
    let mut last = None;
    loop {
        let state = reply.unless_gone(health::changed(&gateway, &asked.service, last)).await?;
        let message = HealthCheckResponse { status: state.into() };
        reply.send(message::encode(&message), None).await?;
        if gateway.is_draining() {
            // It would keep the connection open for nothing: this gateway will serve no more.
            return Ok(());
        }
        last = Some(state);
    }
}

async fn describe(reply: &mut Reply, mut incoming: Incoming) -> Result<(), Told> {
    let described = reply.place.line.described.clone();
    reply.begin("")?;
    loop {
        let asked = reply.unless_gone(incoming.next::<ServerReflectionRequest>()).await??;
        let Some(asked) = asked else { return Ok(()) };
        reply.send(message::encode(&described.answer(asked)), None).await?;
    }
}

/// The client's side of a call.
struct Reply {
    place: Place,
    respond: SendResponse<Bytes>,
    /// Once the head is out.
    sending: Option<SendStream<Bytes>>,
    /// When the whole answer is given up, where the client said so.
    whole_by: Option<Nanos>,
}

impl Reply {
    /// The one message of a call, within the time that a request may take.
    async fn one<M: Message + Default>(&mut self, incoming: &mut Incoming) -> Result<M, Told> {
        let clock = self.place.line.known.clock;
        let within = clock.now() + self.place.line.gateway.settings().limits.body_time;
        let until = clock.instant(self.whole_by.map_or(within, |by| by.min(within)));
        let late = async {
            Timer::at(until).await;
            Err(RequestError::new(RequestErrorKind::ReceiveTimeout, "the request was not whole in time")
                .into())
        };
        let asked = self.unless_gone(future::or(incoming.next(), late)).await??;
        asked.ok_or_else(|| RequestError::new(RequestErrorKind::Malformed, "the call has no message").into())
    }

    fn poll_gone(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let reset = match &mut self.sending {
            Some(sending) => sending.poll_reset(context),
            None => self.respond.poll_reset(context),
        };
        reset.map(|_| ())
    }

    /// Fails where the client has left by now.
    fn there(&mut self) -> Result<(), Told> {
        let mut context = Context::from_waker(std::task::Waker::noop());
        if self.poll_gone(&mut context).is_ready() { Err(Told::Gone) } else { Ok(()) }
    }

    /// The outcome of some work, unless the client leaves before it.
    async fn unless_gone<T>(&mut self, work: impl Future<Output = T>) -> Result<T, Told> {
        let gone = async {
            std::future::poll_fn(|context| self.poll_gone(context)).await;
            Err(Told::Gone)
        };
        future::or(async { Ok(work.await) }, gone).await
    }

    /// Sends the head.
    fn begin(&mut self, id: &str) -> Result<(), Told> {
        let mut response = Response::new(());
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(CONTENT));
        if let (false, Ok(id)) = (id.is_empty(), HeaderValue::from_str(id)) {
            response.headers_mut().insert("x-request-id", id);
        }
        self.sending = Some(self.respond.send_response(response, false).map_err(|_| Told::Gone)?);
        Ok(())
    }

    /// The only message of an answer.
    async fn only(&mut self, message: &impl Message) -> Result<(), Told> {
        self.begin("")?;
        self.send(message::encode(message), None).await
    }

    /// Sends bytes as the client's windows allow. Where `answer` is given up while they wait, they wait no longer.
    async fn send(&mut self, mut bytes: Bytes, mut answer: Option<&mut Answer>) -> Result<(), Told> {
        while !bytes.is_empty() {
            let room = self.room(bytes.len(), answer.as_deref_mut()).await?;
            let part = bytes.split_to(room);
            let known = &self.place.line.known;
            known.windows.borrow_mut().data_sent(known.clock.now(), self.place.id, part.len());
            known.abuse.borrow_mut().frame_sent();
            let Some(sending) = &mut self.sending else { return Err(Told::Gone) };
            sending.send_data(part, false).map_err(|_| Told::Gone)?;
        }
        Ok(())
    }

    /// How much of so many bytes may go now; one byte at the least.
    async fn room(&mut self, bytes: usize, answer: Option<&mut Answer>) -> Result<usize, Told> {
        let Some(sending) = &mut self.sending else { return Err(Told::Gone) };
        let shared = self.place.line.known.windows.borrow().sendable(self.place.id);
        sending.reserve_capacity(bytes.min(shared));
        match sending.capacity().min(bytes).min(shared) {
            0 => self.wait_for_room(bytes, answer).await,
            room => Ok(room),
        }
    }

    /// Waits for room in the client's windows. Guards against a client that never makes any: its end comes all the
    /// same, since trailers need no window.
    async fn wait_for_room(&mut self, bytes: usize, answer: Option<&mut Answer>) -> Result<usize, Told> {
        let known = self.place.line.known.clone();
        let clock = known.clock;
        let stalled_by = clock.now() + timeouts::stall_timeout();
        let by = self.whole_by.unwrap_or(Nanos::MAX).min(stalled_by);
        let reason =
            if by < stalled_by { FailureReason::DeadlineExceeded } else { FailureReason::ClientStalled };
        let cut = self.place.cut.clone();
        let given = async {
            loop {
                let given = known.given.listen();
                let shared = known.windows.borrow().sendable(self.place.id).min(bytes);
                if shared == 0 {
                    self.unless_gone(given).await?;
                    continue;
                }
                let Some(sending) = &mut self.sending else { return Err(Told::Gone) };
                sending.reserve_capacity(shared);
                return self.capacity().await.map(|capacity| capacity.min(shared));
            }
        };
        let given_up = async {
            let Some(answer) = answer else { return future::pending().await };
            let last = answer.given_up().await;
            Err(ErrorResponse::from_final_answer(&last)
                .map_or(aborted(FailureReason::StreamBroken), Told::from))
        };
        let told = async {
            cut.told().await;
            Err(aborted(FailureReason::ClientStalled))
        };
        let late = async {
            Timer::at(clock.instant(by)).await;
            Err(aborted(reason))
        };
        future::or(given, future::or(given_up, future::or(told, late))).await
    }

    /// Waits for what was reserved, or a part of it.
    async fn capacity(&mut self) -> Result<usize, Told> {
        let sending = self.sending.as_mut().ok_or(Told::Gone)?;
        let room = |context: &mut Context<'_>| {
            if sending.poll_reset(context).is_ready() {
                return Poll::Ready(Err(Told::Gone));
            }
            loop {
                if sending.capacity() > 0 {
                    return Poll::Ready(Ok(sending.capacity()));
                }
                match sending.poll_capacity(context) {
                    Poll::Ready(Some(Ok(_))) => {}
                    Poll::Ready(_) => return Poll::Ready(Err(Told::Gone)),
                    Poll::Pending => return Poll::Pending,
                }
            }
        };
        std::future::poll_fn(room).await
    }

    /// The end of the call.
    fn end(mut self, ended: Result<(), Told>) {
        let status = match ended {
            Ok(()) => Status::ok(""),
            Err(Told::Failed(failed)) => status_of(&failed),
            Err(Told::Status(status)) => status,
            Err(Told::Gone) => return,
        };
        let mut trailers = HeaderMap::new();
        if status.add_header(&mut trailers).is_err() {
            // Its text could not be put into a header; its code always can.
            trailers = HeaderMap::from_iter([(
                http::HeaderName::from_static("grpc-status"),
                HeaderValue::from(status.code() as i32),
            )]);
        }
        match &mut self.sending {
            Some(sending) => {
                sending.reserve_capacity(0);
                let _ = sending.send_trailers(trailers);
            }
            None => {
                trailers.insert(header::CONTENT_TYPE, HeaderValue::from_static(CONTENT));
                let mut response = Response::new(());
                *response.headers_mut() = trailers;
                let _ = self.respond.send_response(response, true);
            }
        }
    }

    /// Not a call of this protocol at all.
    fn refuse(mut self, status: StatusCode) {
        let mut response = Response::new(());
        *response.status_mut() = status;
        let _ = self.respond.send_response(response, true);
    }
}
