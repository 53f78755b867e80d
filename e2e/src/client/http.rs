//! The HTTP part of the client.

use super::Observation;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use petrelshore_emulator::record::{FinalOutcome, Nanos};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const READ_BUFFER_BYTES: usize = 16 << 10;
/// The start of each token in the stream of an emulated server's answer.
const TOKEN_MARKER: &[u8] = b"\"content\":\"t";
const STREAM_END: &str = "data: [DONE]";

/// Returns the text of an HTTP request.
pub fn request(path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("POST {path} HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}", body.len()));
    text
}

/// Returns the prompt prefix that all questions share.
pub fn shared_text() -> String {
    "You explain unlock, ride, dock and fault events. ".repeat(8)
}

/// Returns the body of a chat request with one question.
pub fn chat_body(model: &str, question: &str, max_tokens: u64, stream: bool) -> String {
    serde_json::json!({
        "model": model, "stream": stream, "max_tokens": max_tokens,
        "messages": [
            { "role": "system", "content": shared_text() },
            { "role": "user", "content": question },
        ],
    })
    .to_string()
}

/// Sends a request and reads until the connection ends, but disconnects after `timeout`.
pub async fn exchange(address: SocketAddr, request: &str, timeout: Duration) -> Observation {
    let started = Instant::now();
    let mut observation = Observation::nothing();
    let mut received = Vec::new();
    let read = async {
        let _ = read_response(address, request, started, &mut observation, &mut received).await;
        false
    };
    let expired = async {
        Timer::after(timeout).await;
        true
    };
    let disconnected = future::or(read, expired).await;
    observation.took = nanos_since(started);
    parse(&mut observation, &received, disconnected);
    observation
}

/// Sends a request and appends the response to `received` until the connection ends.
async fn read_response(
    address: SocketAddr,
    request: &str,
    started: Instant,
    observation: &mut Observation,
    received: &mut Vec<u8>,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true);
    stream.write_all(request.as_bytes()).await?;
    let mut buffer = vec![0u8; READ_BUFFER_BYTES];
    let mut last = 0;
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        received.extend_from_slice(&buffer[..count]);
        let tokens = occurrences(&buffer[..count], TOKEN_MARKER);
        observation.count_tokens(nanos_since(started), tokens, &mut last);
    }
}

fn nanos_since(started: Instant) -> Nanos {
    started.elapsed().as_nanos() as Nanos
}

/// Parses a response, as far as it was received.
fn parse(observation: &mut Observation, received: &[u8], disconnected: bool) {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    observation.head = head.to_ascii_lowercase();
    observation.status = head.split_whitespace().nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let chunked = observation.head.contains("transfer-encoding: chunked");
    observation.body = if chunked { join_chunks(body) } else { body.to_owned() };
    observation.retry_after = retry_after(&observation.head);
    observation.code = error_code(&observation.body);
    observation.outcome = outcome(observation, disconnected);
    observation.after_final = has_data_after_final(&observation.body);
}

fn retry_after(head: &str) -> Option<Duration> {
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let may_retry = field("x-should-retry:") == Some("true");
    let millis = field("retry-after-ms:").and_then(|millis| millis.parse().ok());
    millis.filter(|_| may_retry).map(Duration::from_millis)
}

fn outcome(observation: &Observation, disconnected: bool) -> FinalOutcome {
    let streamed = observation.head.contains("text/event-stream");
    if streamed && observation.body.contains(STREAM_END) {
        return FinalOutcome::Completed;
    }
    let json: serde_json::Value = serde_json::from_str(&observation.body).unwrap_or_default();
    if !streamed && observation.status == 200 && json.get("choices").is_some() {
        return FinalOutcome::Completed;
    }
    if let Some(outcome) = observation.outcome_by_code() {
        return outcome;
    }
    if observation.status >= 400 && json.get("error").is_some() {
        return FinalOutcome::NotAccepted;
    }
    if disconnected { FinalOutcome::Disconnected } else { FinalOutcome::NoResponse }
}

/// Returns whether a body has more than one final event, or data after the end marker.
fn has_data_after_final(body: &str) -> bool {
    let final_events = body.matches(STREAM_END).count() + body.matches("data: {\"error\"").count();
    final_events > 1 || body.split("data: [DONE]\n\n").nth(1).is_some_and(|rest| !rest.is_empty())
}

/// Returns the code of an error in a body or in the last event of a stream.
fn error_code(body: &str) -> Option<String> {
    let error = body.rsplit("data: ").find(|part| part.starts_with("{\"error\""))?;
    let json: serde_json::Value = serde_json::from_str(error.trim()).ok()?;
    json["error"]["code"].as_str().map(str::to_owned)
}

fn occurrences(bytes: &[u8], pattern: &[u8]) -> u64 {
    bytes.windows(pattern.len()).filter(|window| *window == pattern).count() as u64
}

/// Decodes a body with chunked transfer encoding, as far as it was received.
fn join_chunks(body: &str) -> String {
    let mut rest = body;
    let mut joined = String::with_capacity(body.len());
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
        let Some(chunk) = after.get(..size) else {
            joined.push_str(after);
            break;
        };
        joined.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or("");
        if size == 0 {
            break;
        }
    }
    joined
}
