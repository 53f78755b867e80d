//! Reads the head and the body of one request, within their time and size limits.

use crate::failure::{CloseReason, RequestFailure, RequestRejection};
use crate::registry::{ConnectionContext, MAX_BODY_BYTES, Registry};
use crate::response;
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::client_connections::{BODY_TIMEOUT, HEAD_TIMEOUT};
use petrelshore_http1::ParseError;
use petrelshore_http1::body::{BodyDecoder, Framing};
use petrelshore_http1::connection::{ConnectionError, HttpConnection};
use petrelshore_http1::head::RequestHead;
use petrelshore_ingress::listener::BodyReservation;

/// A complete request body, and the memory reserved for it.
pub(crate) struct ReceivedBody {
    pub(crate) data: Bytes,
    pub(crate) reservation: BodyReservation,
}

/// Reads the head of a request. Its time limit counts from `started`.
pub(crate) async fn read_head(
    registry: &Registry,
    started: Nanos,
    http: &mut HttpConnection,
) -> Result<RequestHead, RequestFailure> {
    let timed_out = async {
        Timer::at(registry.gateway().clock().instant(started + HEAD_TIMEOUT)).await;
        Err(RequestRejection::new(408, "the request head was not complete in time").into())
    };
    let read = async { http.read_request_head().await.map_err(head_failure) };
    future::or(read, timed_out).await
}

fn head_failure(error: ConnectionError) -> RequestFailure {
    match error {
        ConnectionError::Malformed(error @ ParseError::HeadTooLong) => {
            RequestRejection::new(431, error.to_string()).into()
        }
        ConnectionError::Malformed(error) => RequestRejection::new(400, error.to_string()).into(),
        ConnectionError::Closed => CloseReason::ClientClosed.into(),
    }
}

/// Reads the body of a request. Its time limit counts from `started`.
pub(crate) async fn read_body(
    context: ConnectionContext<'_>,
    started: Nanos,
    head: &RequestHead,
    http: &mut HttpConnection,
) -> Result<ReceivedBody, RequestRejection> {
    let timed_out = async {
        Timer::at(context.registry.gateway().clock().instant(started + BODY_TIMEOUT)).await;
        Err(RequestRejection::new(408, "the request body was not complete in time"))
    };
    future::or(read_bounded_body(context, head, http), timed_out).await
}

/// Reads a body within the limits on the size of one body and on the memory for all bodies.
async fn read_bounded_body(
    context: ConnectionContext<'_>,
    head: &RequestHead,
    http: &mut HttpConnection,
) -> Result<ReceivedBody, RequestRejection> {
    let mut reservation = context.registry.reserve_body(context.id);
    if let Framing::Length(length) = head.framing {
        reservation.grow_to(usize::try_from(length).unwrap_or(usize::MAX))?;
    }
    if head.fields.contains_token("expect", "100-continue") {
        let _ = http.write_all(response::CONTINUE).await;
    }
    let (mut decoder, mut data) = (BodyDecoder::new(head.framing, MAX_BODY_BYTES as u64), BytesMut::new());
    loop {
        match decoder.decode(&mut http.buffer, &mut data) {
            Ok(true) => return Ok(ReceivedBody { data: data.freeze(), reservation }),
            Ok(false) => reservation.grow_to(data.len())?,
            Err(error) => return Err(RequestRejection::new(400, error.to_string())),
        }
        if http.read_more().await.is_err() {
            return Err(RequestRejection::new(400, "the request body is incomplete"));
        }
    }
}
