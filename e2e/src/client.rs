//! A client of either front that trusts nothing: it writes down what came over its socket.

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use petrelshore_emulator::record::{FinalOutcome, Nanos};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Which front a client speaks to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Front {
    Chat,
    Grpc,
}

impl Front {
    pub const ALL: [Front; 2] = [Front::Chat, Front::Grpc];
}

/// Where a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub chat: SocketAddr,
    pub grpc: SocketAddr,
}

/// One question, in whatever protocol it is put.
#[derive(Clone, Debug)]
pub struct Question {
    pub model: String,
    pub text: String,
    pub max_tokens: u64,
    pub headers: Vec<(&'static str, String)>,
}

impl Question {
    pub fn new(model: &str, text: impl Into<String>, max_tokens: u64) -> Self {
        Question { model: model.to_owned(), text: text.into(), max_tokens, headers: Vec::new() }
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Puts it to a gateway as a stream and reads until its end, or until `leave_after`.
    pub async fn ask(&self, front: Front, at: Addresses, leave_after: Duration) -> Seen {
        match front {
            Front::Chat => {
                let headers: Vec<(&str, &str)> = self.headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
                let body = chat_body(&self.model, &self.text, self.max_tokens, true);
                exchange(at.chat, &request("/v1/chat/completions", &headers, &body), leave_after).await
            }
            Front::Grpc => crate::grpc_client::exchange(at.grpc, self, leave_after).await,
        }
    }
}

/// What one exchange showed.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Of the HTTP front; of the gRPC front its own code. Zero where none came.
    pub status: u16,
    pub head: String,
    pub body: String,
    /// The word for programs that came with what is no answer.
    pub code: Option<String>,
    /// When the client may come back by itself.
    pub retry_after: Option<Duration>,
    pub first_token: Option<Nanos>,
    /// Between one token and the next, the longest.
    pub longest_pause: Nanos,
    pub took: Nanos,
    pub tokens: u64,
    pub finished: FinalOutcome,
    /// Bytes came after the final answer.
    pub after_final: bool,
}

impl Seen {
    pub fn nothing() -> Self {
        Seen {
            status: 0,
            head: String::new(),
            body: String::new(),
            code: None,
            retry_after: None,
            first_token: None,
            longest_pause: 0,
            took: 0,
            tokens: 0,
            finished: FinalOutcome::NoResponse,
            after_final: false,
        }
    }

    /// So many tokens have come, the last ones now.
    pub fn came(&mut self, now: Nanos, tokens: u64, last: &mut Nanos) {
        if tokens == 0 {
            return;
        }
        if self.first_token.is_none() {
            self.first_token = Some(now);
        } else {
            self.longest_pause = self.longest_pause.max(now - *last);
        }
        *last = now;
        self.tokens += tokens;
    }

    /// What a word for programs says of the end.
    pub fn judged_by_code(&self) -> Option<FinalOutcome> {
        Some(match self.code.as_deref()? {
            "rejected" => FinalOutcome::Rejected,
            "aborted" => FinalOutcome::Aborted,
            _ => FinalOutcome::NotAccepted,
        })
    }
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

/// What every question begins with.
pub fn shared_text() -> String {
    "You explain unlock, ride, dock and fault events. ".repeat(8)
}

/// A chat body with one question.
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

/// Sends a request and reads until the connection ends, or until `leave_after`.
pub async fn exchange(to: SocketAddr, request: &str, leave_after: Duration) -> Seen {
    let started = Instant::now();
    let since = || started.elapsed().as_nanos() as Nanos;
    let mut seen = Seen::nothing();
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
                    seen.came(now, tokens, &mut last);
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
    let field = |name: &str| seen.head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let again = field("x-should-retry:") == Some("true");
    let wait = field("retry-after-ms:").and_then(|millis| millis.parse().ok());
    seen.retry_after = wait.filter(|_| again).map(Duration::from_millis);
    seen.code = code(&seen.body);
    seen.finished = judged(&seen, left);
    let finals = seen.body.matches("data: [DONE]").count() + seen.body.matches("data: {\"error\"").count();
    seen.after_final =
        finals > 1 || seen.body.split("data: [DONE]\n\n").nth(1).is_some_and(|rest| !rest.is_empty());
    seen
}

fn judged(seen: &Seen, left: bool) -> FinalOutcome {
    let streamed = seen.head.contains("text/event-stream");
    if streamed && seen.body.contains("data: [DONE]") {
        return FinalOutcome::Completed;
    }
    let json: serde_json::Value = serde_json::from_str(&seen.body).unwrap_or_default();
    if !streamed && seen.status == 200 && json.get("choices").is_some() {
        return FinalOutcome::Completed;
    }
    if let Some(judged) = seen.judged_by_code() {
        return judged;
    }
    if seen.status >= 400 && json.get("error").is_some() {
        return FinalOutcome::NotAccepted;
    }
    if left { FinalOutcome::Disconnected } else { FinalOutcome::NoResponse }
}

/// The error's code, in a body or in a stream's last event.
fn code(body: &str) -> Option<String> {
    let error = body.rsplit("data: ").find(|part| part.starts_with("{\"error\""))?;
    let json: serde_json::Value = serde_json::from_str(error.trim()).ok()?;
    json["error"]["code"].as_str().map(str::to_owned)
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
