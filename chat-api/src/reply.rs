//! Words for final answers: statuses, error bodies and events. The table in `docs/chat-api.md` says the same.

use bytes::Bytes;
use futures_lite::Stream;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode, header};
use petrelshore_chat_gateway::{FinalAnswer, Usage};
use petrelshore_gateway_core::error_response::{ErrorCause, ErrorResponse, Retry};
use petrelshore_ingress::error::{CallError, RequestError, RequestErrorKind};
use serde_json::{Value, json};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Texts as a stream of body parts.
pub type Parts = Pin<Box<dyn Stream<Item = Bytes>>>;

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
    status: u16,
    kind: &'static str,
    code: Option<&'static str>,
    param: Option<String>,
    message: String,
    retry: Retry,
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

impl From<RequestError> for Error {
    fn from(wrong: RequestError) -> Error {
        let (status, code) = match wrong.kind {
            RequestErrorKind::Unauthenticated => (401, Some("invalid_api_key")),
            RequestErrorKind::UnknownModel => (404, Some("model_not_found")),
            RequestErrorKind::InvalidField | RequestErrorKind::Malformed => (400, None),
            RequestErrorKind::ReceiveTimeout => (408, None),
            RequestErrorKind::UnknownPath => (404, None),
            RequestErrorKind::UnknownMethod => (405, None),
        };
        let kind = if status == 401 { "authentication_error" } else { "invalid_request_error" };
        Error { status, kind, code, param: wrong.field, message: wrong.message, retry: Retry::Mended }
    }
}

impl From<ErrorResponse> for Error {
    fn from(unanswered: ErrorResponse) -> Error {
        let cause = unanswered.cause;
        let (status, kind) = match cause {
            ErrorCause::Rejected(_)
            | ErrorCause::GatewayAtCapacity
            | ErrorCause::IngressAtCapacity
            | ErrorCause::Draining => (503, "server_error"),
            ErrorCause::Aborted(_) => (502, "server_error"),
            ErrorCause::ClientAtCapacity | ErrorCause::TooManyCancelled => (429, "rate_limit_error"),
            ErrorCause::KeyInFlight => (409, "invalid_request_error"),
            ErrorCause::KeyReused => (422, "invalid_request_error"),
            ErrorCause::DeadlineTooShort => (408, "invalid_request_error"),
            ErrorCause::TooLarge => (413, "invalid_request_error"),
        };
        let (code, param) = (Some(cause.code()), cause.field().map(str::to_owned));
        Error { status, kind, code, param, message: unanswered.to_string(), retry: unanswered.retry }
    }
}

impl From<CallError> for Error {
    fn from(failed: CallError) -> Error {
        match failed {
            CallError::InvalidRequest(wrong) => wrong.into(),
            CallError::Unanswered(unanswered) => unanswered.into(),
        }
    }
}

/// The error of a final answer; none for one that was generated.
pub fn error_of(last: &FinalAnswer) -> Option<Error> {
    ErrorResponse::from_final_answer(last).map(Error::from)
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
    pub fn closing(&self, last: &FinalAnswer) -> String {
        match (last, error_of(last)) {
            (FinalAnswer::Completed { finish_reason: finish, usage }, _) => {
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
