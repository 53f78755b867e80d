//! Answers of the gateway's own, as they are written.

use petrelshore::interface::Nanos;

/// Names an answer's status. What is not listed here is not used.
fn reason(status: u16) -> &'static str {
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

/// A whole answer of a few words.
pub fn brief(status: u16, what: &str, closes: bool, retry_after: Option<Nanos>) -> String {
    let close = if closes { "Connection: close\r\n" } else { "" };
    let pause = retry_after.map(|pause| format!("Retry-After: {:.3}\r\n", pause as f64 / 1e9));
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: text/plain\r\n{close}{}Content-Length: {}\r\n\r\n{what}",
        reason(status),
        pause.unwrap_or_default(),
        what.len()
    )
}

/// For clients for whom there is no place.
pub fn full() -> String {
    brief(503, "too many connections", true, None)
}

/// The head of a stream.
pub fn stream(closes: bool) -> String {
    let close = if closes { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{close}Transfer-Encoding: chunked\r\n\r\n")
}

/// Events as one chunk behind what is to be written already.
pub fn chunk(before: String, events: &[u8]) -> Vec<u8> {
    let mut written = before.into_bytes();
    written.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
    written.extend_from_slice(events);
    written.extend_from_slice(b"\r\n");
    written
}

pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

#[cfg(test)]
mod tests;
