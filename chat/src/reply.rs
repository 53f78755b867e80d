//! Words for final answers: statuses, error bodies and events. The table in `docs/chat-api.md` says the same.

use crate::request::Wrong;
use crate::stall::Parts;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode, header};
use petrelshore::interface::Nanos;
use petrelshore_conductor::Reason;
use petrelshore_gateway::{Final, Refusal, Usage};
use serde_json::{Value, json};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A response's body: whole, or parts as they come.
pub enum ReplyBody {
    Whole(Option<Bytes>),
    Stream(Parts),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut *self {
            ReplyBody::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            ReplyBody::Stream(parts) => {
                parts.as_mut().poll_next(context).map(|part| part.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ReplyBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            ReplyBody::Stream(_) => SizeHint::default(),
        }
    }
}

pub type Reply = Response<ReplyBody>;

/// An error as the API words it.
pub struct Error {
    pub status: u16,
    pub kind: &'static str,
    pub code: Option<&'static str>,
    pub param: Option<String>,
    pub message: String,
    pub retry: Retry,
}

/// What a client may do by itself after an error.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Nothing ran: coming again is harmless, after this time.
    After(Nanos),
    /// Nothing ran, but the same request would fail again.
    Mended,
    /// The work may have run.
    Never,
}

impl Error {
    pub fn body(&self) -> Value {
        json!({ "error": {
            "message": self.message, "type": self.kind, "param": self.param, "code": self.code,
        }})
    }

    pub fn reply(&self) -> Reply {
        let mut reply = json_reply(self.status, &self.body());
        let headers = reply.headers_mut();
        // Clients of this API send again after 409, 429 and 5xx by themselves unless this header says otherwise.
        let again = matches!(self.retry, Retry::After(_));
        headers
            .insert("x-should-retry", header::HeaderValue::from_static(if again { "true" } else { "false" }));
        if let Retry::After(wait) = self.retry {
            let seconds = wait.div_ceil(1_000_000_000).max(1);
            headers.insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
            headers.insert("retry-after-ms", header::HeaderValue::from(wait.div_ceil(1_000_000)));
        }
        reply
    }
}

impl From<Wrong> for Error {
    fn from(wrong: Wrong) -> Error {
        Error {
            status: wrong.status,
            kind: if wrong.status == 401 { "authentication_error" } else { "invalid_request_error" },
            code: wrong.code,
            param: wrong.param,
            message: wrong.message,
            retry: Retry::Mended,
        }
    }
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Error {
        let (status, kind, code, message, wait) = match refusal {
            Refusal::KeyReused => {
                return Error {
                    status: 422,
                    kind: "invalid_request_error",
                    code: Some("idempotency_key_reused"),
                    param: Some("Idempotency-Key".to_owned()),
                    message: "this Idempotency-Key stands for another request".to_owned(),
                    retry: Retry::Mended,
                };
            }
            Refusal::GatewayFull { retry_after } => {
                (503, "server_error", "overloaded", "the gateway holds all that it may", retry_after)
            }
            Refusal::ClientFull { retry_after } => (
                429,
                "rate_limit_error",
                "too_many_in_hand",
                "too many requests of yours are in hand",
                retry_after,
            ),
            Refusal::Draining { retry_after } => {
                (503, "server_error", "draining", "this gateway is stopping", retry_after)
            }
            Refusal::KeyInHand { retry_after } => (
                409,
                "invalid_request_error",
                "idempotency_key_in_use",
                "a request with this Idempotency-Key is still running",
                retry_after,
            ),
        };
        Error {
            status,
            kind,
            code: Some(code),
            param: None,
            message: message.to_owned(),
            retry: Retry::After(wait),
        }
    }
}

/// The error of a final answer; none for one that was generated.
pub fn error_of(last: &Final) -> Option<Error> {
    let (harmless, wait, reason) = match last {
        Final::Generated { .. } => return None,
        Final::Rejected { retry_after, reason } => (true, retry_after.unwrap_or(1_000_000_000), *reason),
        Final::Aborted { reason } => (false, 0, *reason),
    };
    let what = match reason {
        Reason::NoRoom => "no model server can take it in time",
        Reason::Failed => "the model servers failed at it",
        Reason::OutOfTime => "it was not answered in time",
        Reason::Broken => "the answer broke off",
        Reason::Stalled => "the client took nothing of its answer",
        Reason::Draining => "this gateway is stopping",
        Reason::Repeated => "a request with this Idempotency-Key ended before and its answer is not kept",
    };
    Some(match harmless {
        true => Error {
            status: 503,
            kind: "server_error",
            code: Some("rejected"),
            param: None,
            message: format!("rejected: {what}; trying again is harmless"),
            retry: Retry::After(wait),
        },
        false => Error {
            status: 502,
            kind: "server_error",
            code: Some("aborted"),
            param: None,
            message: format!("aborted: {what}; the work may have run"),
            retry: Retry::Never,
        },
    })
}

pub fn json_reply(status: u16, body: &Value) -> Reply {
    let mut reply = Response::new(ReplyBody::Whole(Some(Bytes::from(body.to_string()))));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    reply.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    reply
}

pub fn event_reply(parts: Parts) -> Reply {
    let mut reply = Response::new(ReplyBody::Stream(parts));
    let headers = reply.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-cache"));
    reply
}

/// Words the chunks of one stream. What all its chunks share is worded once.
pub struct Chunks {
    head: String,
    pub include_usage: bool,
}

impl Chunks {
    pub fn new(id: &str, created: u64, model: &str, include_usage: bool) -> Self {
        let model = Value::from(model);
        let head = format!(
            r#"data: {{"id":"{id}","object":"chat.completion.chunk","created":{created},"model":{model},"#
        );
        Chunks { head, include_usage }
    }

    fn chunk(&self, delta: &str, finish: &str) -> String {
        let usage = if self.include_usage { r#","usage":null"# } else { "" };
        format!(
            "{}\"choices\":[{{\"index\":0,\"delta\":{delta},\"logprobs\":null,\"finish_reason\":{finish}}}]{usage}}}\n\n",
            self.head
        )
    }

    pub fn opening(&self) -> String {
        self.chunk(r#"{"role":"assistant","content":""}"#, "null")
    }

    pub fn text(&self, text: &str) -> String {
        self.chunk(&format!(r#"{{"content":{}}}"#, Value::from(text)), "null")
    }

    /// What follows the last text.
    pub fn closing(&self, last: &Final) -> String {
        match (last, error_of(last)) {
            (Final::Generated { finish, usage }, _) => {
                let mut end = self.chunk("{}", &Value::from(finish.as_str()).to_string());
                if self.include_usage {
                    end.push_str(&format!(
                        "{}\"choices\":[],\"usage\":{}}}\n\n",
                        self.head,
                        usage_of(*usage)
                    ));
                }
                end.push_str("data: [DONE]\n\n");
                end
            }
            (_, Some(error)) => format!("data: {}\n\n", error.body()),
            (_, None) => String::new(),
        }
    }
}

/// A whole answer.
pub fn completion(id: &str, created: u64, model: &str, text: &str, finish: &str, usage: Usage) -> Value {
    json!({
        "id": id, "object": "chat.completion", "created": created, "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text, "refusal": null },
            "logprobs": null,
            "finish_reason": finish,
        }],
        "usage": usage_of(usage),
    })
}

fn usage_of(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    })
}
