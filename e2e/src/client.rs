//! A client of both APIs that reports exactly what it read from its socket.

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

/// The addresses that a gateway listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The chat completions API.
    pub chat: SocketAddr,
    /// The gRPC service.
    pub grpc: SocketAddr,
}

/// A chat request with one user message, for either API.
#[derive(Clone, Debug)]
pub struct Question {
    /// The model that the request names.
    pub model: String,
    /// The user's message.
    pub text: String,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u64,
    /// Headers of the HTTP request, or metadata of the gRPC call.
    pub headers: Vec<(&'static str, String)>,
}

impl Question {
    /// Creates a question without headers.
    pub fn new(model: &str, text: impl Into<String>, max_tokens: u64) -> Self {
        Question { model: model.to_owned(), text: text.into(), max_tokens, headers: Vec::new() }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Sends the question to a gateway and reads the stream to its end, but disconnects after `timeout`.
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

/// The observations of a client during one exchange.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The HTTP status or the gRPC status code; zero if none was received.
    pub status: u16,
    /// The status line and headers of an HTTP response, in lower case.
    pub head: String,
    /// The body of an HTTP response, or the text of a gRPC answer.
    pub body: String,
    /// The error code of the response.
    pub code: Option<String>,
    /// The delay before an automatic retry; `None` if the response doesn't allow an automatic retry.
    pub retry_after: Option<Duration>,
    /// The time from the start of the exchange to the first token.
    pub first_token: Option<Nanos>,
    /// The longest time between two consecutive reads with tokens.
    pub max_pause: Nanos,
    /// The duration of the exchange.
    pub took: Nanos,
    /// The number of tokens received.
    pub tokens: u64,
    /// The outcome of the exchange.
    pub outcome: FinalOutcome,
    /// Set if data was received after the final response.
    pub after_final: bool,
}

impl Observation {
    /// An observation in which nothing was received.
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

    /// Counts tokens that were received together at the time `now`. `last` is the time of the previous tokens and is
    /// set to `now`.
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

    /// Returns the outcome for the error code; `None` if the response has no error code.
    pub fn outcome_by_code(&self) -> Option<FinalOutcome> {
        Some(match self.code.as_deref()? {
            "rejected" => FinalOutcome::Rejected,
            "aborted" => FinalOutcome::Aborted,
            _ => FinalOutcome::NotAccepted,
        })
    }
}
