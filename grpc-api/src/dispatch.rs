//! Routes a call to its handler and sends its status.

use crate::error::RpcError;
use crate::message::RequestStream;
use crate::responder::{CONTENT_TYPE, Responder};
use crate::stream::StreamGuard;
use crate::{SERVICE, chat, services};
use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::request::Parts;
use http::{HeaderMap, Method, Request, StatusCode, header};
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::Relay;
use petrelshore_ingress::call::truncated;
use petrelshore_ingress::error::{RequestError, RequestErrorKind};

const HEALTH_SERVICE: &str = "grpc.health.v1.Health";
const REFLECTION_SERVICE: &str = "grpc.reflection.v1.ServerReflection";
const REFLECTION_ALPHA_SERVICE: &str = "grpc.reflection.v1alpha.ServerReflection";

/// Handles one call from its head to its status.
pub async fn handle(stream: StreamGuard, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
    let arrived_at = stream.connection.peer_state.clock.now();
    let (head, body) = request.into_parts();
    let requests = RequestStream::new(body, stream.connection.client.reserve_body());
    let mut responder = Responder::new(stream, respond);
    if !is_grpc(&head.headers) {
        return responder.reject(StatusCode::UNSUPPORTED_MEDIA_TYPE);
    }
    if head.method != Method::POST {
        return responder.reject(StatusCode::METHOD_NOT_ALLOWED);
    }
    let outcome = dispatch(&mut responder, arrived_at, &head, requests).await;
    responder.finish(outcome);
}

fn is_grpc(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_some_and(|content_type| content_type.as_bytes().starts_with(CONTENT_TYPE.as_bytes()))
}

async fn dispatch(
    responder: &mut Responder,
    arrived_at: Nanos,
    head: &Parts,
    requests: RequestStream,
) -> Result<(), RpcError> {
    let path = head.uri.path();
    let Some((service, method)) = path.strip_prefix('/').and_then(|path| path.rsplit_once('/')) else {
        return Err(unknown_method(path));
    };
    let headers = &head.headers;
    match (service, method) {
        (SERVICE, "Stream") => chat::chat(responder, arrived_at, headers, requests, Relay::Streamed).await,
        (SERVICE, "Complete") => chat::chat(responder, arrived_at, headers, requests, Relay::Buffered).await,
        (SERVICE, "ListModels") => services::list_models(responder, headers, requests).await,
        (HEALTH_SERVICE, "Check") => services::check_health(responder, requests).await,
        (HEALTH_SERVICE, "Watch") => services::watch_health(responder, requests).await,
        (REFLECTION_SERVICE | REFLECTION_ALPHA_SERVICE, "ServerReflectionInfo") => {
            services::reflect(responder, requests).await
        }
        _ => Err(unknown_method(path)),
    }
}

fn unknown_method(path: &str) -> RpcError {
    let message = format!("unknown method: {}", truncated(path));
    RequestError::new(RequestErrorKind::UnknownMethod, message).into()
}
