//! Buffered and streamed HTTP responses.

use bytes::Bytes;
use futures_lite::Stream;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

const LOAD_HEADER: &str = "endpoint-load-metrics";

/// The result of every route.
pub(super) type RouteResult = Result<Response<ResponseBody>, Infallible>;

/// The body of a response.
pub(super) enum ResponseBody {
    Buffered(Option<Bytes>),
    Streamed(Pin<Box<dyn Stream<Item = Bytes>>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut *self {
            ResponseBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            ResponseBody::Streamed(parts) => {
                parts.as_mut().poll_next(context).map(|part| part.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Builds a response with a JSON body and a load report.
pub(super) fn json_response(status: u16, load: &str, body: &Value) -> RouteResult {
    let body = ResponseBody::Buffered(Some(Bytes::from(body.to_string())));
    response(StatusCode::from_u16(status).unwrap_or_default(), load, body)
}

/// Builds an error response. The error code is also the error message.
pub(super) fn error(status: u16, load: &str, code: &str) -> RouteResult {
    let body = json!({ "error": { "message": code, "type": "server_error", "code": code } });
    json_response(status, load, &body)
}

/// Builds a response whose body is streamed.
pub(super) fn streamed(load: &str, parts: impl Stream<Item = Bytes> + 'static) -> RouteResult {
    response(StatusCode::OK, load, ResponseBody::Streamed(Box::pin(parts)))
}

fn response(status: StatusCode, load: &str, body: ResponseBody) -> RouteResult {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(load) = load.parse() {
        response.headers_mut().insert(LOAD_HEADER, load);
    }
    Ok(response)
}
