//! Responses of the gateway itself, as they are written.

use petrelshore::interface::Nanos;

/// Whether a connection persists after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Persistence {
    KeepAlive,
    Close,
}

impl Persistence {
    /// The header line that announces it.
    fn field(self) -> &'static str {
        match self {
            Persistence::KeepAlive => "",
            Persistence::Close => "Connection: close\r\n",
        }
    }
}

/// The end of a chunked body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The interim response to `Expect: 100-continue`.
pub(crate) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The reason phrase of a status. Statuses that are not listed here are not used.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        _ => "Service Unavailable",
    }
}

/// A complete response with a short text as its body.
pub(crate) fn complete(
    status: u16,
    text: &str,
    persistence: Persistence,
    retry_after: Option<Nanos>,
) -> String {
    let retry_after = retry_after.map(|delay| format!("Retry-After: {:.3}\r\n", delay as f64 / 1e9));
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: text/plain\r\n{}{}Content-Length: {}\r\n\r\n{text}",
        reason_phrase(status),
        persistence.field(),
        retry_after.unwrap_or_default(),
        text.len()
    )
}

/// The response on a connection beyond the limit.
pub(crate) fn too_many_connections() -> String {
    complete(503, "too many connections", Persistence::Close, None)
}

/// The head of a stream of events.
pub(crate) fn stream_head(persistence: Persistence) -> String {
    let connection = persistence.field();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{connection}Transfer-Encoding: chunked\r\n\r\n"
    )
}

/// Events as one chunk, behind the head of their stream if it is still to be written.
pub(crate) fn chunk(head: String, events: &[u8]) -> Vec<u8> {
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
    bytes.extend_from_slice(events);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

#[cfg(test)]
mod tests;
