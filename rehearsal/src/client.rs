//! A client of the chat API that trusts nothing: it writes down what came over its socket.

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use petrelshore_stand_in::record::{FinalSeen, Nanos};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What one exchange showed.
#[derive(Clone, Debug)]
pub struct Seen {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub first_token: Option<Nanos>,
    /// Between one token and the next, the longest.
    pub longest_pause: Nanos,
    pub took: Nanos,
    pub tokens: u64,
    pub finished: FinalSeen,
    /// Bytes came after the final answer.
    pub after_final: bool,
}

/// A request as text, ready for a socket.
pub fn request(path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("POST {path} HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}", body.len()));
    text
}

/// A chat body with one question.
pub fn chat_body(model: &str, question: &str, max_tokens: u64, stream: bool) -> String {
    serde_json::json!({
        "model": model, "stream": stream, "max_tokens": max_tokens,
        "messages": [
            { "role": "system", "content": "You explain unlock, ride, dock and fault events. ".repeat(8) },
            { "role": "user", "content": question },
        ],
    })
    .to_string()
}

/// Sends a request and reads until the connection ends, or until `leave_after`.
pub async fn exchange(to: SocketAddr, request: &str, leave_after: Duration) -> Seen {
    let started = Instant::now();
    let since = || started.elapsed().as_nanos() as Nanos;
    let mut seen = Seen {
        status: 0,
        head: String::new(),
        body: String::new(),
        first_token: None,
        longest_pause: 0,
        took: 0,
        tokens: 0,
        finished: FinalSeen::Nothing,
        after_final: false,
    };
    let mut bytes: Vec<u8> = Vec::new();
    let mut last = 0;
    let talk = async {
        let Ok(mut stream) = TcpStream::connect(to).await else { return false };
        let _ = stream.set_nodelay(true);
        if stream.write_all(request.as_bytes()).await.is_err() {
            return false;
        }
        let mut part = vec![0u8; 16 << 10];
        loop {
            match stream.read(&mut part).await {
                Ok(0) | Err(_) => return false,
                Ok(count) => {
                    bytes.extend_from_slice(&part[..count]);
                    let now = since();
                    let tokens = count_of(&part[..count], b"\"content\":\"t");
                    if tokens > 0 {
                        if seen.first_token.is_none() {
                            seen.first_token = Some(now);
                        } else {
                            seen.longest_pause = seen.longest_pause.max(now - last);
                        }
                        last = now;
                        seen.tokens += tokens;
                    }
                }
            }
        }
    };
    let left = future::or(talk, async {
        Timer::after(leave_after).await;
        true
    })
    .await;
    seen.took = since();
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    seen.head = head.to_ascii_lowercase();
    seen.status = head.split_whitespace().nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    seen.body =
        if seen.head.contains("transfer-encoding: chunked") { unchunked(body) } else { body.to_owned() };
    seen.finished = judged(&seen, left);
    let finals = seen.body.matches("data: [DONE]").count() + seen.body.matches("data: {\"error\"").count();
    seen.after_final =
        finals > 1 || seen.body.split("data: [DONE]\n\n").nth(1).is_some_and(|rest| !rest.is_empty());
    seen
}

fn judged(seen: &Seen, left: bool) -> FinalSeen {
    let streamed = seen.head.contains("text/event-stream");
    if streamed && seen.body.contains("data: [DONE]") {
        return FinalSeen::Generated;
    }
    let json: serde_json::Value = serde_json::from_str(&seen.body).unwrap_or_default();
    if !streamed && seen.status == 200 && json.get("choices").is_some() {
        return FinalSeen::Generated;
    }
    if seen.body.contains("\"code\":\"rejected\"") {
        return FinalSeen::Rejected;
    }
    if seen.body.contains("\"code\":\"aborted\"") {
        return FinalSeen::Aborted;
    }
    if seen.status >= 400 && json.get("error").is_some() {
        return FinalSeen::Refused;
    }
    if left { FinalSeen::Left } else { FinalSeen::Nothing }
}

fn count_of(bytes: &[u8], what: &[u8]) -> u64 {
    bytes.windows(what.len()).filter(|window| *window == what).count() as u64
}

fn unchunked(body: &str) -> String {
    let mut rest = body;
    let mut whole = String::with_capacity(body.len());
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
        let Some(part) = after.get(..size) else {
            whole.push_str(after);
            break;
        };
        whole.push_str(part);
        rest = after.get(size + 2..).unwrap_or("");
        if size == 0 {
            break;
        }
    }
    whole
}
