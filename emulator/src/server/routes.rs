//! Routes requests by their path.

use super::completions::{CompletionRequest, complete};
use super::response::{RouteResult, error, json_response};
use super::state::ServerState;
use async_channel::Sender;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::rc::Rc;

/// Serves a request. A message on `reset` resets the request's connection.
pub(super) async fn route(
    request: Request<Incoming>,
    state: Rc<ServerState>,
    reset: Sender<()>,
) -> RouteResult {
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let request_id = header("x-request-id").unwrap_or_default();
    let idempotency_key = header("idempotency-key");
    let gateway = header("user-agent").unwrap_or_default();
    let path = request.uri().path().to_owned();
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return error(400, "", "bad_body"),
    };
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    match path.as_str() {
        "/v1/completions" => {
            let request = CompletionRequest { request_id, idempotency_key, gateway, body };
            complete(request, state, reset).await
        }
        "/v1/kv/release" => release(&request_id, &body, &state, MissingCache::IsReleased).await,
        "/v1/kv/fetch" => release(&request_id, &body, &state, MissingCache::IsAnError).await,
        _ => error(404, "", "not_found"),
    }
}

/// The response to a request that names a KV cache that the server does not hold.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MissingCache {
    /// The response is 200 with `released` set to false.
    IsReleased,
    /// The response is 404 with the code `state_missing`.
    IsAnError,
}

/// Releases the KV cache of the request ID in the body. Without a request ID in the body, the ID in the header counts.
async fn release(request_id: &str, body: &Value, state: &ServerState, missing: MissingCache) -> RouteResult {
    let unresponsive = state.unresponsive();
    let request = body.get("request_id").and_then(Value::as_str).unwrap_or(request_id);
    let released = state.release_cache(request);
    if unresponsive {
        return future::pending().await;
    }
    if missing == MissingCache::IsAnError && !released {
        return error(404, &state.load_report(), "state_missing");
    }
    json_response(200, &state.load_report(), &json!({ "request_id": request, "released": released }))
}
