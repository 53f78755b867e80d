//! HTTP responses of the API: JSON, or a stream of server-sent events.

use bytes::Bytes;
use futures_lite::Stream;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::Value;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A stream of encoded server-sent events.
pub type EventBytes = Pin<Box<dyn Stream<Item = Bytes>>>;

/// A response of the API.
pub type ApiResponse = Response<ResponseBody>;

/// The body of a response.
pub enum ResponseBody {
    /// The complete body; `None` once it has been sent.
    Buffered(Option<Bytes>),
    /// Events, which are sent as the answer is generated.
    Events(EventBytes),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = match &mut *self {
            ResponseBody::Buffered(bytes) => Poll::Ready(bytes.take()),
            ResponseBody::Events(events) => events.as_mut().poll_next(context),
        };
        bytes.map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Events(_) => SizeHint::default(),
        }
    }
}

/// Returns a response with a JSON body.
pub fn json_response(status: StatusCode, body: &Value) -> ApiResponse {
    let mut response = Response::new(ResponseBody::Buffered(Some(Bytes::from(body.to_string()))));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a response whose body is a stream of events.
pub fn event_response(events: EventBytes) -> ApiResponse {
    let mut response = Response::new(ResponseBody::Events(events));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}
