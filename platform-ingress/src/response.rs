//! Encodes the responses that the gateway sends to clients.

use petrelshore::interface::Nanos;

/// The state of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Persistence {
    KeepAlive,
    Close,
}

impl Persistence {
    /// Returns the header line that announces the state; empty for keep-alive, the default of HTTP/1.1.
    fn header_line(self) -> &'static str {
        match self {
            Persistence::KeepAlive => "",
            Persistence::Close => "Connection: close\r\n",
        }
    }
}

/// The chunk that ends a chunked body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The interim response to `Expect: 100-continue`.
pub(crate) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Returns the reason phrase of a status code. The gateway sends only the codes listed here and 503.
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

/// Returns a complete response with a short text as its body.
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
        persistence.header_line(),
        retry_after.unwrap_or_default(),
        text.len()
    )
}

/// Returns the response for a connection beyond the limit.
pub(crate) fn too_many_connections() -> String {
    complete(503, "too many connections", Persistence::Close, None)
}

/// Returns the head of a response that streams events.
pub(crate) fn stream_head(persistence: Persistence) -> String {
    let connection = persistence.header_line();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{connection}Transfer-Encoding: chunked\r\n\r\n"
    )
}

/// Returns events as one chunk behind `head`, which is empty if the response head has already been written.
pub(crate) fn chunk(head: String, events: &[u8]) -> Vec<u8> {
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
    bytes.extend_from_slice(events);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

#[cfg(test)]
mod tests;
