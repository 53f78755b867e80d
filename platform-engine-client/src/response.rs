//! The response of a model server: reads its head and body and derives how the attempt ended.

use crate::connections::PooledConnection;
use bytes::BytesMut;
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_http1::body::BodyDecoder;
use petrelshore_http1::connection::ConnectionError;
use petrelshore_http1::head::ResponseHead;

/// The maximum size of a buffered body, and of one chunk of a stream.
const MAX_BODY_BYTES: usize = 256 << 10;

/// The status of the response to a release request.
const RELEASE_RESPONSE_STATUS: u16 = 204;

/// A response whose head has been received.
pub(crate) struct Response {
    pub(crate) head: ResponseHead,
    pub(crate) body: BodyDecoder,
    pub(crate) connection: PooledConnection,
}

impl Response {
    /// Reads the head of the next response on a connection.
    pub(crate) async fn read(mut connection: PooledConnection) -> Result<Self, AttemptEnd> {
        let head = connection.http.read_response_head().await.map_err(attempt_end)?;
        let body = BodyDecoder::new(head.framing, MAX_BODY_BYTES as u64);
        Ok(Response { head, body, connection })
    }

    /// Reads the head of the response to a request that followed a probe on the same connection. Some servers send the
    /// answer to a release request a second time some milliseconds later. A prefill or decode request is never answered
    /// with that status, so one such response is skipped.
    pub(crate) async fn read_after_probe(connection: PooledConnection) -> Result<Self, AttemptEnd> {
        let response = Response::read(connection).await?;
        match response.head.status {
            RELEASE_RESPONSE_STATUS => Response::read(response.connection).await,
            _ => Ok(response),
        }
    }

    /// Reads the complete body, up to [`MAX_BODY_BYTES`].
    pub(crate) async fn read_body(&mut self) -> Result<BytesMut, AttemptEnd> {
        let mut data = BytesMut::new();
        let Response { body, connection: PooledConnection { http, .. }, .. } = self;
        while !body.decode(&mut http.buffer, &mut data).map_err(|_| AttemptEnd::Malformed)? {
            if data.len() > MAX_BODY_BYTES {
                return Err(AttemptEnd::Malformed);
            }
            match http.read_more().await {
                Ok(()) => {}
                Err(ConnectionError::Closed) if body.may_end_at_close() => break,
                Err(error) => return Err(attempt_end(error)),
            }
        }
        Ok(data)
    }

    /// Returns how an attempt ended if its response is not the expected one. Only the `Srv-Declined` field together
    /// with a matching status proves that the server ran nothing.
    pub(crate) fn failure(&self) -> AttemptEnd {
        match (self.head.status, self.head.fields.single("Srv-Declined")) {
            (503 | 504, Some("1")) => AttemptEnd::AtCapacity,
            (410, Some("1")) => AttemptEnd::KvCacheMissing,
            (status, _) => AttemptEnd::ErrorStatus { status },
        }
    }
}

/// Returns how an attempt ended if its connection failed after the request was written.
pub(crate) fn attempt_end(error: ConnectionError) -> AttemptEnd {
    match error {
        ConnectionError::Malformed(_) => AttemptEnd::Malformed,
        ConnectionError::Closed => AttemptEnd::Reset,
    }
}
