//! Routes and checks one request, and submits it to the gateway.

use crate::answer::{write, write_answer};
use crate::failure::{CloseReason, RequestFailure, RequestRejection};
use crate::read::{ReceivedBody, read_body, read_head};
use crate::registry::ConnectionContext;
use crate::response::{self, Persistence};
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::passthrough::Rejection;
use petrelshore_http1::body::Framing;
use petrelshore_http1::connection::{HttpConnection, Peer};
use petrelshore_http1::head::RequestHead;
use petrelshore_platform_engine_client::OVERRIDDEN_FIELDS;
use petrelshore_platform_gateway::{Answer, ForwardedRequest};
use petrelshore_platform_protocol::request_head;
use std::rc::Rc;
use tracing::debug;

const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
const HEALTH_PATH: &str = "/healthz";

/// The times from which the time limits of a request count.
#[derive(Clone, Copy)]
pub(crate) struct RequestTiming {
    /// The start of the time limits for reading the request: the first byte of the request or, for the first request
    /// of a connection, the time when the connection was accepted.
    pub(crate) started: Nanos,
    /// The start of the client's deadline: the time when the first byte of the request was received, perhaps while an
    /// earlier request was still being served.
    pub(crate) received: Nanos,
}

/// The resource that a request asks for.
enum Route {
    HealthCheck,
    ChatCompletions,
}

impl Route {
    fn of(head: &RequestHead) -> Result<Self, RequestRejection> {
        let target = std::str::from_utf8(&head.target).unwrap_or_default();
        let path = target.split_once('?').map_or(target, |(path, _)| path);
        match (&head.method[..], path) {
            (b"GET", HEALTH_PATH) if head.framing == Framing::Length(0) => Ok(Route::HealthCheck),
            (b"POST", CHAT_COMPLETIONS_PATH) => Ok(Route::ChatCompletions),
            (_, CHAT_COMPLETIONS_PATH | HEALTH_PATH) => {
                Err(RequestRejection::new(405, "this method is not allowed for this path"))
            }
            _ => Err(RequestRejection::new(404, "nothing is served at this path")),
        }
    }
}

/// Reads one request, submits it to the gateway and writes the answer. An error ends the connection.
pub(crate) async fn serve_request(
    context: ConnectionContext<'_>,
    timing: RequestTiming,
    http: &mut HttpConnection,
) -> Result<(), RequestFailure> {
    let head = read_head(context.registry, timing.started, http).await?;
    match Route::of(&head)? {
        Route::HealthCheck => {
            debug!(connection = context.id.0, "health check received");
            // Closes the connection at once: hundreds of idle health check connections would leave no room for others.
            let response = response::complete(200, "ready\n", Persistence::Close, None);
            let _ = write(http, response.as_bytes()).await;
            Err(CloseReason::Announced.into())
        }
        Route::ChatCompletions => {
            let with_request_id =
                |failure: RequestFailure| failure.with_request_id(head.fields.single("Req-Id"));
            let body = read_body(context, timing.started, &head, http).await;
            let body = body.map_err(|rejection| with_request_id(rejection.into()))?;
            let answer = submit(context, timing, &head, body, http.peer()).map_err(with_request_id)?;
            Ok(write_answer(context, &head, http, answer).await?)
        }
    }
}

/// Checks a request and submits it to the gateway.
fn submit(
    context: ConnectionContext<'_>,
    timing: RequestTiming,
    head: &RequestHead,
    body: ReceivedBody,
    peer: Peer,
) -> Result<Answer, RequestFailure> {
    let ReceivedBody { data: body, mut reservation } = body;
    let gateway = context.registry.gateway();
    let fields = head.fields.forwarded(&OVERRIDDEN_FIELDS);
    reservation.reserve_extra(fields.len())?;
    context.registry.request_received(context.id);
    let request_id = head.fields.single("Req-Id");
    debug!(connection = context.id.0, request_id, "request received");
    serde_json::from_slice::<serde::de::IgnoredAny>(&body)
        .map_err(|_| RequestRejection::new(400, "the request body is not valid JSON"))?;
    let new = request_head::decode(|name| head.fields.single(name), gateway.names(), timing.received)
        .map_err(|error| RequestRejection::new(400, error.to_string()))?;
    let id = Rc::from(request_id.unwrap_or_default());
    if peer.has_closed() {
        debug!(connection = context.id.0, "client closed before its request was accepted");
        return Err(CloseReason::ClientClosed.into());
    }
    let forwarded = ForwardedRequest {
        id,
        target: head.target.clone(),
        fields,
        body,
        reservation,
        has_client_left: Rc::new(move || peer.has_closed()),
    };
    gateway.accept(new, forwarded).map_err(|rejection| match rejection {
        Rejection::DuplicateId => RequestRejection::new(409, "this Req-Id is already in use").into(),
        Rejection::AtCapacity { retry_after } => {
            let rejection = RequestRejection::new(503, "too many requests are in flight");
            RequestRejection { retry_after, ..rejection }.into()
        }
    })
}
