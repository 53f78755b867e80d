//! One exchange with a model server: a read, a write, or letting go of a state.

use crate::orca::{self, Load};
use crate::pool::{Pool, Sender};
use crate::sse::Events;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::buffered::{Piece, Usage};
use petrelshore_runtime::Spawner;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const COMPLETIONS: &str = "/v1/completions";
const RELEASE: &str = "/v1/kv/release";
/// Largest whole answer of a reader, and largest error body: both hold a few fields.
const ANSWER: usize = 256 << 10;
/// After its closing mark an answer's body must end within this for its connection to serve again.
const BODY_END: Duration = Duration::from_millis(500);

/// What every exchange needs.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    pub to: SocketAddr,
    pub request_id: String,
    pub model: Rc<str>,
    pub prompt: Rc<str>,
    pub max_tokens: u32,
    pub stop: Rc<[String]>,
    /// Further sampling fields, as the client gave them.
    pub sampling: Rc<serde_json::Map<String, serde_json::Value>>,
    /// Marks repeats of tokened work.
    pub idempotency_key: Option<Rc<str>>,
    /// What the reader gave for the state that is to be fetched.
    pub state: Option<Rc<RawValue>>,
    /// Never on a connection that was used before.
    pub fresh: bool,
    pub connect_within: Duration,
}

/// A read state that waits at its reader.
#[derive(Clone, Debug)]
pub struct PrefillResult {
    pub params: Rc<RawValue>,
    pub kept_tokens: f64,
}

/// What an exchange told, with the load that came along.
#[derive(Debug)]
pub struct Reply<T> {
    pub result: Result<T, AttemptEnd>,
    pub load: Option<Load>,
}

#[derive(Deserialize)]
struct UsageBody {
    prompt_tokens: u64,
    completion_tokens: u64,
}

#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    stream_options: Option<StreamOptions>,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    stop: &'a [String],
    #[serde(skip_serializing_if = "Option::is_none")]
    kv_transfer_params: Option<&'a RawValue>,
    #[serde(flatten)]
    sampling: &'a serde_json::Map<String, serde_json::Value>,
}

#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

#[derive(Deserialize)]
struct ReadAnswer {
    kv_transfer_params: Box<RawValue>,
    usage: ReadUsage,
}

#[derive(Deserialize)]
struct ReadUsage {
    prompt_tokens_details: Option<ReadDetails>,
}

#[derive(Deserialize)]
struct ReadDetails {
    cached_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<UsageBody>,
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct ErrorAnswer {
    error: ErrorBody,
}

#[derive(Deserialize)]
struct ErrorBody {
    code: Option<serde_json::Value>,
}

pub struct Client {
    pool: Rc<Pool>,
    /// How this gateway names itself to model servers.
    agent: String,
}

impl Client {
    pub fn new(spawner: Spawner, name: &str) -> Self {
        Client { pool: Rc::new(Pool::new(spawner)), agent: format!("petrelshore/{name}") }
    }

    /// Has a prompt read; its state then waits at the reader.
    pub async fn prefill(&self, request: &CompletionRequest) -> Reply<PrefillResult> {
        let asked = RawValue::from_string(
            r#"{"do_remote_decode":true,"do_remote_prefill":false,"remote_engine_id":null,"remote_block_ids":null,"remote_host":null,"remote_port":null}"#
                .to_owned(),
        );
        let body = Completion {
            model: &request.model,
            prompt: &request.prompt,
            max_tokens: 1,
            stream: false,
            stream_options: None,
            stop: &[],
            kv_transfer_params: asked.as_deref().ok(),
            sampling: &serde_json::Map::new(),
        };
        let (response, sender) = match self.ask(request, &body).await {
            Ok(answered) => answered,
            Err(ending) => return Reply { result: Err(ending), load: None },
        };
        let load = load_of(&response);
        let result = async {
            let (status, bytes) = whole(response).await?;
            if status != StatusCode::OK {
                return Err(refusal(status, &bytes));
            }
            self.pool.keep(request.to, sender);
            let answer: ReadAnswer = serde_json::from_slice(&bytes).map_err(|_| AttemptEnd::Malformed)?;
            let kept = answer.usage.prompt_tokens_details.and_then(|details| details.cached_tokens);
            let kept_tokens = kept.unwrap_or(0) as f64;
            Ok(PrefillResult { params: Rc::from(answer.kv_transfer_params), kept_tokens })
        };
        Reply { result: result.await, load }
    }

    /// Has an answer written, from a held state or from the prompt itself.
    pub async fn decode(&self, request: &CompletionRequest) -> Reply<DecodeStream> {
        let body = Completion {
            model: &request.model,
            prompt: &request.prompt,
            max_tokens: request.max_tokens,
            stream: true,
            stream_options: Some(StreamOptions { include_usage: true }),
            stop: &request.stop,
            kv_transfer_params: request.state.as_deref(),
            sampling: &request.sampling,
        };
        let (response, sender) = match self.ask(request, &body).await {
            Ok(answered) => answered,
            Err(ending) => return Reply { result: Err(ending), load: None },
        };
        let load = load_of(&response);
        if response.status() != StatusCode::OK {
            let refused = whole(response).await.map(|(status, bytes)| refusal(status, &bytes));
            return Reply { result: Err(refused.unwrap_or_else(|ending| ending)), load };
        }
        let writing = DecodeStream {
            to: request.to,
            pool: self.pool.clone(),
            sender: Some(sender),
            body: response.into_body(),
            events: Events::default(),
            ready: VecDeque::new(),
            finished: false,
        };
        Reply { result: Ok(writing), load }
    }

    /// Tells a reader once to let go of what it holds for a request. An error says how the exchange ended.
    pub async fn release(
        &self,
        to: SocketAddr,
        request_id: &str,
        within: Duration,
    ) -> Result<(), AttemptEnd> {
        let body = serde_json::json!({ "request_id": request_id }).to_string();
        let told = async {
            let sender = match self.pool.pooled(to) {
                Some((sender, _)) => sender,
                None => self.pool.connect(to, within).await?,
            };
            let request = self.post(to, RELEASE, request_id, None, Bytes::from(body))?;
            let (response, sender) = send(sender, request).await.map_err(|_| AttemptEnd::Reset)?;
            let (status, _) = whole(response).await?;
            self.pool.keep(to, sender);
            if status.is_success() {
                Ok(())
            } else {
                Err(AttemptEnd::ErrorStatus { status: status.as_u16() })
            }
        };
        let late = async {
            async_io::Timer::after(within).await;
            Err(AttemptEnd::TimedOut)
        };
        futures_lite::future::or(told, late).await
    }

    /// Drops connections to servers that are no longer listed.
    pub fn retain_endpoints(&self, listed: impl Fn(&SocketAddr) -> bool) {
        self.pool.keep_only(listed);
    }

    /// Sends one request. On a pooled connection that hands it back unwritten, a new one carries it.
    async fn ask(
        &self,
        request: &CompletionRequest,
        body: &Completion<'_>,
    ) -> Result<(Response<Incoming>, Sender), AttemptEnd> {
        let body = Bytes::from(serde_json::to_vec(body).map_err(|_| AttemptEnd::ReturnedUnsent)?);
        let key = request.idempotency_key.as_deref();
        let mut message = self.post(request.to, COMPLETIONS, &request.request_id, key, body)?;
        let pooled = if request.fresh { None } else { self.pool.pooled(request.to) };
        if let Some((sender, idle)) = pooled {
            match send(sender, message).await {
                Ok(answered) => {
                    self.pool.held();
                    return Ok(answered);
                }
                Err(Some(unwritten)) => message = unwritten,
                Err(None) => {
                    self.pool.broke(request.to, idle);
                    return Err(AttemptEnd::Reset);
                }
            }
        }
        let sender = self.pool.connect(request.to, request.connect_within).await?;
        let unsent =
            |back: Option<_>| if back.is_some() { AttemptEnd::ReturnedUnsent } else { AttemptEnd::Reset };
        send(sender, message).await.map_err(unsent)
    }

    fn post(
        &self,
        to: SocketAddr,
        path: &str,
        id: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<Message, AttemptEnd> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("host", to.to_string())
            .header("content-type", "application/json")
            .header("endpoint-load-metrics-format", "TEXT")
            .header("x-request-id", id)
            .header("user-agent", &self.agent);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(body)).map_err(|_| AttemptEnd::ReturnedUnsent)
    }
}

type Message = Request<Full<Bytes>>;

/// The request comes back where it provably never went out.
async fn send(mut sender: Sender, message: Message) -> Result<(Response<Incoming>, Sender), Option<Message>> {
    match sender.try_send_request(message).await {
        Ok(response) => Ok((response, sender)),
        Err(mut error) => Err(error.take_message()),
    }
}

fn load_of(response: &Response<Incoming>) -> Option<Load> {
    let header = response.headers().get("endpoint-load-metrics")?;
    Some(orca::parse(header.to_str().ok()?))
}

async fn whole(response: Response<Incoming>) -> Result<(StatusCode, Bytes), AttemptEnd> {
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER).collect().await;
    let body = body.map_err(|error| match error.downcast_ref::<http_body_util::LengthLimitError>() {
        Some(_) => AttemptEnd::Malformed,
        None => AttemptEnd::Reset,
    })?;
    Ok((status, body.to_bytes()))
}

/// A refusal proves something only by both its status and its code, so that a proxy's bare 503 proves nothing.
fn refusal(status: StatusCode, body: &[u8]) -> AttemptEnd {
    let code = serde_json::from_slice::<ErrorAnswer>(body).ok().and_then(|answer| answer.error.code);
    match (status, code.as_ref().and_then(serde_json::Value::as_str)) {
        (StatusCode::SERVICE_UNAVAILABLE, Some("full")) => AttemptEnd::AtCapacity,
        (StatusCode::CONFLICT, Some("state_missing")) => AttemptEnd::KvCacheMissing,
        _ => AttemptEnd::ErrorStatus { status: status.as_u16() },
    }
}

/// An answer that is being written.
pub struct DecodeStream {
    to: SocketAddr,
    pool: Rc<Pool>,
    sender: Option<Sender>,
    body: Incoming,
    events: Events,
    ready: VecDeque<Piece>,
    finished: bool,
}

impl DecodeStream {
    /// The next piece; none once the answer is whole.
    pub async fn next(&mut self) -> Result<Option<Piece>, AttemptEnd> {
        loop {
            if let Some(piece) = self.ready.pop_front() {
                return Ok(Some(piece));
            }
            while let Some(data) = self.events.next_event().map_err(|_| AttemptEnd::Malformed)? {
                if data == "[DONE]" {
                    return if self.finished { Ok(None) } else { Err(AttemptEnd::Malformed) };
                }
                self.decode(&data)?;
                if !self.ready.is_empty() {
                    break;
                }
            }
            if !self.ready.is_empty() {
                continue;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    self.events.feed(&bytes).map_err(|_| AttemptEnd::Malformed)?;
                }
                Some(Err(_)) => return Err(AttemptEnd::Reset),
                None => return Err(AttemptEnd::Malformed),
            }
        }
    }

    fn decode(&mut self, data: &str) -> Result<(), AttemptEnd> {
        let chunk: Chunk = serde_json::from_str(data).map_err(|_| AttemptEnd::Malformed)?;
        if chunk.error.is_some() {
            return Err(AttemptEnd::ErrorStatus { status: 500 });
        }
        for choice in chunk.choices {
            if !choice.text.is_empty() {
                self.ready.push_back(Piece::Text(choice.text));
            }
            if let Some(reason) = choice.finish_reason {
                self.finished = true;
                self.ready.push_back(Piece::Finish(reason));
            }
        }
        let usage = chunk.usage.map(|told| Usage {
            prompt_tokens: told.prompt_tokens,
            completion_tokens: told.completion_tokens,
        });
        self.ready.extend(usage.map(Piece::Usage));
        Ok(())
    }

    /// Gives the connection of a whole answer back. Its body's end may still be on the way; whoever waits for the
    /// answer does not wait for that.
    pub fn done(mut self) {
        let Some(sender) = self.sender.take() else { return };
        let (pool, to, mut body) = (self.pool.clone(), self.to, self.body);
        let settled = async move {
            let ended = async { body.frame().await.is_none() };
            let late = async {
                async_io::Timer::after(BODY_END).await;
                false
            };
            if futures_lite::future::or(ended, late).await {
                pool.keep(to, sender);
            }
        };
        self.pool.spawn(settled);
    }
}
