//! A client of either API that trusts nothing: it reports what it read from its socket.

mod http;

use petrelshore_emulator::record::{FinalOutcome, Nanos};
use std::net::SocketAddr;
use std::time::Duration;

pub use http::{chat_body, exchange, request, shared_text};

/// The API that a client uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Api {
    /// Chat completions over HTTP.
    Chat,
    /// The gRPC service.
    Grpc,
}

impl Api {
    /// Both APIs.
    pub const ALL: [Api; 2] = [Api::Chat, Api::Grpc];
}

/// Where a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Chat completions.
    pub chat: SocketAddr,
    /// The gRPC service.
    pub grpc: SocketAddr,
}

/// One question, for either API.
#[derive(Clone, Debug)]
pub struct Question {
    /// The model.
    pub model: String,
    /// The user's message.
    pub text: String,
    /// The most tokens of the answer.
    pub max_tokens: u64,
    /// Headers, or metadata of a call.
    pub headers: Vec<(&'static str, String)>,
}

impl Question {
    /// A question without headers.
    pub fn new(model: &str, text: impl Into<String>, max_tokens: u64) -> Self {
        Question { model: model.to_owned(), text: text.into(), max_tokens, headers: Vec::new() }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Sends it to a gateway and reads the stream to its end; disconnects after `timeout`.
    pub async fn send(&self, api: Api, addresses: Addresses, timeout: Duration) -> Observation {
        match api {
            Api::Chat => {
                let headers: Vec<(&str, &str)> =
                    self.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
                let body = chat_body(&self.model, &self.text, self.max_tokens, true);
                let request = request("/v1/chat/completions", &headers, &body);
                exchange(addresses.chat, &request, timeout).await
            }
            Api::Grpc => crate::grpc_client::exchange(addresses.grpc, self, timeout).await,
        }
    }
}

/// What a client observed of one exchange.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The HTTP status, or the gRPC code; zero where none was received.
    pub status: u16,
    /// The head of an HTTP response, in lower case.
    pub head: String,
    /// The body of an HTTP response, or the text of an answer.
    pub body: String,
    /// The error code.
    pub code: Option<String>,
    /// When the client may retry by itself.
    pub retry_after: Option<Duration>,
    /// When the first token was received.
    pub first_token: Option<Nanos>,
    /// The longest time between two tokens.
    pub max_pause: Nanos,
    /// How long the exchange took.
    pub took: Nanos,
    /// Tokens received.
    pub tokens: u64,
    /// How the exchange ended.
    pub outcome: FinalOutcome,
    /// Something was received after the final response.
    pub after_final: bool,
}

impl Observation {
    /// Nothing was received.
    pub fn nothing() -> Self {
        Observation {
            status: 0,
            head: String::new(),
            body: String::new(),
            code: None,
            retry_after: None,
            first_token: None,
            max_pause: 0,
            took: 0,
            tokens: 0,
            outcome: FinalOutcome::NoResponse,
            after_final: false,
        }
    }

    /// Counts tokens that were received together; `last` is when the ones before were.
    pub fn count_tokens(&mut self, now: Nanos, tokens: u64, last: &mut Nanos) {
        if tokens == 0 {
            return;
        }
        if self.first_token.is_none() {
            self.first_token = Some(now);
        } else {
            self.max_pause = self.max_pause.max(now - *last);
        }
        *last = now;
        self.tokens += tokens;
    }

    /// The outcome that the error code stands for.
    pub fn outcome_by_code(&self) -> Option<FinalOutcome> {
        Some(match self.code.as_deref()? {
            "rejected" => FinalOutcome::Rejected,
            "aborted" => FinalOutcome::Aborted,
            _ => FinalOutcome::NotAccepted,
        })
    }
}
