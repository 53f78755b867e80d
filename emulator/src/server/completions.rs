//! Handles completion requests: admission, then the prefill response or the answer stream.

use super::prompt;
use super::response::{RouteResult, error, json_response, streamed};
use super::state::ServerState;
use super::transfer::fetch_cache;
use crate::model::{Job, Progress, Rejection, Step};
use crate::profile::Fault;
use crate::record::Event;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use bytes::Bytes;
use futures_lite::{future, stream};
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::Duration;

const DEFAULT_MAX_TOKENS: u64 = 16;

/// A completion request.
pub(super) struct CompletionRequest {
    pub(super) request_id: String,
    pub(super) idempotency_key: Option<String>,
    /// The sender's `User-Agent` header.
    pub(super) gateway: String,
    pub(super) body: Value,
}

impl CompletionRequest {
    fn transfer_params(&self) -> Value {
        self.body.get("kv_transfer_params").cloned().unwrap_or_default()
    }

    fn step(&self) -> Step {
        let transfer_params = self.transfer_params();
        let flag = |name: &str| transfer_params.get(name).and_then(Value::as_bool).unwrap_or(false);
        if flag("do_remote_decode") {
            Step::Prefill
        } else if flag("do_remote_prefill") {
            Step::Decode
        } else {
            Step::Combined
        }
    }

    fn job(&self, id: u64, step: Step, prompt: &str) -> Job {
        let max_tokens = self.body.get("max_tokens").and_then(Value::as_u64).unwrap_or(DEFAULT_MAX_TOKENS);
        Job {
            id,
            step,
            blocks: prompt::blocks(prompt),
            prompt_tokens: prompt::tokens(prompt),
            answer_tokens: if step == Step::Prefill { 0 } else { max_tokens },
        }
    }
}

/// A completion request from its arrival to its end. Dropping the value records the end.
pub(super) struct Attempt {
    state: Rc<ServerState>,
    request: String,
}

impl Attempt {
    /// Starts an attempt and records its arrival.
    pub(super) fn start(
        state: Rc<ServerState>,
        request: String,
        gateway: String,
        idempotency_key: Option<String>,
        step: Step,
        client: Option<u64>,
    ) -> Attempt {
        state.record().write(Event::AttemptArrived {
            server: state.name().to_owned(),
            gateway,
            request: request.clone(),
            idempotency_key,
            step: step.name().to_owned(),
            client,
        });
        Attempt { state, request }
    }

    /// Records a rejection.
    fn reject(&self, status: u16, code: &'static str) -> Rejected {
        let (server, request) = (self.state.name().to_owned(), self.request.clone());
        self.state.record().write(Event::AttemptRejected { server, request, code: code.to_owned() });
        Rejected { status, code, load: self.state.load_report() }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let (server, request) = (self.state.name().to_owned(), self.request.clone());
        self.state.record().write(Event::AttemptEnded { server, request });
    }
}

/// The error response of a rejected request.
struct Rejected {
    status: u16,
    code: &'static str,
    load: String,
}

/// A job in the model. Dropping the value cancels the rest of the job.
struct ActiveJob {
    state: Rc<ServerState>,
    id: u64,
    prompt_tokens: u64,
    attempt: Attempt,
    progress: Receiver<Progress>,
}

impl Drop for ActiveJob {
    fn drop(&mut self) {
        self.state.cancel(self.id);
    }
}

/// Serves a completion request. A message on `reset` resets the request's connection.
pub(super) async fn complete(
    request: CompletionRequest,
    state: Rc<ServerState>,
    reset: Sender<()>,
) -> RouteResult {
    let unresponsive = state.unresponsive();
    let Some(prompt) = request.body.get("prompt").and_then(Value::as_str) else {
        return error(400, &state.load_report(), "prompt_missing");
    };
    let step = request.step();
    let attempt = Attempt::start(
        state.clone(),
        request.request_id.clone(),
        request.gateway.clone(),
        request.idempotency_key.clone(),
        step,
        prompt::client_number(prompt),
    );
    if unresponsive {
        let _attempt = attempt;
        return future::pending().await;
    }
    let job = match admit(&request, prompt, step, attempt, &state).await {
        Ok(job) => job,
        Err(rejected) => return error(rejected.status, &rejected.load, rejected.code),
    };
    if let Fault::FailsSlowly(after) = state.fault() {
        Timer::after(Duration::from_nanos(after)).await;
        return error(500, &state.load_report(), "failed");
    }
    match step {
        Step::Prefill => prefill_response(&job, &state).await,
        Step::Decode | Step::Combined => answer_stream(job, &state, reset).await,
    }
}

/// Fetches the KV cache of a decode request and submits the request's job to the model. Records a rejection.
async fn admit(
    request: &CompletionRequest,
    prompt: &str,
    step: Step,
    attempt: Attempt,
    state: &Rc<ServerState>,
) -> Result<ActiveJob, Rejected> {
    let key = request.idempotency_key.as_ref();
    if step != Step::Prefill && key.is_some_and(|key| state.was_executed(key)) {
        return Err(attempt.reject(422, "repeated"));
    }
    let job = request.job(state.next_job(), step, prompt);
    if step == Step::Decode && fetch_cache(&request.transfer_params()).await.is_err() {
        return Err(attempt.reject(409, "state_missing"));
    }
    let progress = state.subscribe(job.id);
    if step == Step::Prefill {
        state.register_prefill(job.id, attempt.request.clone());
    }
    let active =
        ActiveJob { state: state.clone(), id: job.id, prompt_tokens: job.prompt_tokens, attempt, progress };
    match state.submit(job) {
        Err(Rejection::AtCapacity) => return Err(active.attempt.reject(503, "full")),
        Err(Rejection::WrongRole) => return Err(active.attempt.reject(400, "wrong_role")),
        Ok(()) => {}
    }
    if step != Step::Prefill {
        state.record_execution(&active.attempt.request, request.idempotency_key.clone());
    }
    Ok(active)
}

/// Waits for a prefill to finish. The response contains the address from which the KV cache can be fetched.
async fn prefill_response(job: &ActiveJob, state: &ServerState) -> RouteResult {
    let Ok(Progress::PrefillDone { cached_tokens, .. }) = job.progress.recv().await else {
        return error(500, &state.load_report(), "failed");
    };
    let (request, address) = (&job.attempt.request, state.address());
    let transfer_params = json!({
        "do_remote_prefill": true, "do_remote_decode": false, "remote_engine_id": state.name(),
        "remote_request_id": request, "remote_host": address.ip().to_string(),
        "remote_port": address.port(),
    });
    let body = json!({
        "id": request, "object": "text_completion", "kv_transfer_params": transfer_params,
        "choices": [{ "index": 0, "text": "", "finish_reason": "length" }],
        "usage": { "prompt_tokens": job.prompt_tokens, "completion_tokens": 1,
                   "prompt_tokens_details": { "cached_tokens": cached_tokens } },
    });
    json_response(200, &state.load_report(), &body)
}

/// An answer whose tokens are being streamed.
struct AnswerStream {
    job: ActiveJob,
    /// Progress that was received and is not yet part of the stream.
    received: Option<Progress>,
    ended: bool,
}

/// Waits for the first token and then streams the answer.
async fn answer_stream(job: ActiveJob, state: &ServerState, reset: Sender<()>) -> RouteResult {
    let load = state.load_report();
    let received = job.progress.recv().await.ok();
    let answer = AnswerStream { job, received, ended: false };
    let parts = stream::unfold(answer, move |answer| next_part(answer, reset.clone()));
    streamed(&load, parts)
}

/// Returns the next part of an answer stream; `None` ends the stream.
async fn next_part(mut answer: AnswerStream, reset: Sender<()>) -> Option<(Bytes, AnswerStream)> {
    if answer.ended {
        return None;
    }
    let progress = match answer.received.take() {
        Some(progress) => progress,
        None => answer.job.progress.recv().await.ok()?,
    };
    let Progress::Token { number, last, .. } = progress else { return None };
    let text = match answer.job.state.fault() {
        Fault::ResetAfter(tokens) if number > tokens => {
            let _ = reset.try_send(());
            return future::pending().await;
        }
        Fault::EndsBadly(tokens) if number > tokens => return None,
        Fault::Garbage(tokens) if number > tokens => "data: {]\n\n".to_owned(),
        _ => token_events(&answer.job, number, last),
    };
    answer.ended = last;
    Some((Bytes::from(text), answer))
}

/// Returns the event of a token. After the last token, the finish reason, the usage and the end marker of the stream
/// follow.
fn token_events(job: &ActiveJob, number: u64, last: bool) -> String {
    let request = &job.attempt.request;
    let event = |text: &str, finish_reason: &str| {
        format!(
            "data: {{\"id\":\"{request}\",\"object\":\"text_completion\",\
             \"choices\":[{{\"index\":0,\"text\":\"{text}\",\"finish_reason\":{finish_reason}}}]}}\n\n"
        )
    };
    let mut text = event(&format!("t{number} "), "null");
    if last {
        let prompt_tokens = job.prompt_tokens;
        text.push_str(&event("", "\"length\""));
        text.push_str(&format!(
            "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{prompt_tokens},\"completion_tokens\":{number},\
             \"total_tokens\":{}}}}}\n\ndata: [DONE]\n\n",
            prompt_tokens + number
        ));
    }
    text
}
