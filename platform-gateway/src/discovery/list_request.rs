//! A single request for the endpoint list, on an established connection.

use async_io::Timer;
use bytes::BytesMut;
use futures_lite::future;
use petrelshore_http1::ParseError;
use petrelshore_http1::body::BodyDecoder;
use petrelshore_http1::connect::ConnectError;
use petrelshore_http1::connection::{ConnectionError, HttpConnection};
use petrelshore_platform_protocol::DecodeError;
use petrelshore_platform_protocol::endpoint_list::{self, EndpointList};
use petrelshore_platform_protocol::settings::Names;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum size of an endpoint list.
const MAX_LIST_BYTES: usize = 4 << 20;

const STATUS_OK: u16 = 200;

/// The reason why an endpoint list could not be fetched, or why its watch ended.
#[derive(Debug)]
pub(super) enum ListError {
    Connect(ConnectError),
    Write(io::Error),
    /// The answer is not valid HTTP.
    Unreadable(ParseError),
    /// The connection failed before the answer was complete.
    Disconnected,
    /// The answer was not complete within the timeout.
    Timeout,
    /// The list is larger than [`MAX_LIST_BYTES`].
    TooLarge,
    Status(u16),
    Json(serde_json::Error),
    Malformed(DecodeError),
    /// The agent sent further bytes after an answer, or closed the connection.
    UnexpectedData,
    /// The index of the list is lower than the index of the list before.
    IndexWentBack {
        known: u64,
        received: u64,
    },
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::Connect(error) => write!(f, "cannot connect to the discovery agent: {error:?}"),
            ListError::Write(error) => error.fmt(f),
            ListError::Unreadable(error) => error.fmt(f),
            ListError::Disconnected => f.write_str("the connection failed before the answer was complete"),
            ListError::Timeout => f.write_str("the answer was not complete within the timeout"),
            ListError::TooLarge => f.write_str("the endpoint list exceeds the maximum size"),
            ListError::Status(status) => write!(f, "the agent answered with HTTP status {status}"),
            ListError::Json(error) => error.fmt(f),
            ListError::Malformed(error) => error.fmt(f),
            ListError::UnexpectedData => f.write_str("the agent sent extra data or closed the connection"),
            ListError::IndexWentBack { known, received } => {
                write!(f, "the index of the endpoint list went back from {known} to {received}")
            }
        }
    }
}

impl std::error::Error for ListError {}

impl From<ConnectionError> for ListError {
    fn from(error: ConnectionError) -> Self {
        match error {
            ConnectionError::Malformed(error) => ListError::Unreadable(error),
            ConnectionError::Closed => ListError::Disconnected,
        }
    }
}

/// The parameters of a request to the agent.
#[derive(Clone, Copy)]
pub(super) struct ListRequest<'a> {
    pub(super) address: SocketAddr,
    /// The query with its question mark. Empty to request the full list without waiting.
    pub(super) query: &'a str,
    pub(super) timeout: Duration,
}

/// Requests the list and reads the answer, within the timeout of the request.
pub(super) async fn request_list(
    connection: &mut HttpConnection,
    request: ListRequest<'_>,
    names: &Names,
) -> Result<EndpointList, ListError> {
    let timed_out = async {
        Timer::after(request.timeout).await;
        Err(ListError::Timeout)
    };
    future::or(exchange(connection, request, names), timed_out).await
}

async fn exchange(
    connection: &mut HttpConnection,
    request: ListRequest<'_>,
    names: &Names,
) -> Result<EndpointList, ListError> {
    let ListRequest { address, query, .. } = request;
    let message = format!("GET /v1/servers{query} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    connection.write_all(message.as_bytes()).await.map_err(ListError::Write)?;
    let head = connection.read_response_head().await?;
    let mut body = BodyDecoder::new(head.framing, MAX_LIST_BYTES as u64);
    let data = read_body(connection, &mut body).await?;
    if head.status != STATUS_OK {
        return Err(ListError::Status(head.status));
    }
    let json = serde_json::from_slice(&data).map_err(ListError::Json)?;
    endpoint_list::decode(&json, names).map_err(ListError::Malformed)
}

async fn read_body(connection: &mut HttpConnection, body: &mut BodyDecoder) -> Result<BytesMut, ListError> {
    let mut data = BytesMut::new();
    while !body.decode(&mut connection.buffer, &mut data).map_err(ListError::Unreadable)? {
        if data.len() > MAX_LIST_BYTES {
            return Err(ListError::TooLarge);
        }
        match connection.read_more().await {
            Err(ConnectionError::Closed) if body.may_end_at_close() => break,
            result => result?,
        }
    }
    Ok(data)
}
