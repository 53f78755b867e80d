//! A box on a socket: completions with hand-over of state, load in headers, release, and faults.

use crate::model::{BLOCK, Build, Fault, Happened, Job, ModelBox, Refused, Role, Work};
use crate::record::{Passed, Record};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use event_listener::Event;
use futures_lite::{AsyncWriteExt, Stream, future, stream};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Bytes of prompt that make a token here; the gateway guesses the same.
const BYTES_A_TOKEN: usize = 4;
const FETCH_WITHIN: Duration = Duration::from_secs(2);

struct Shared {
    name: String,
    address: Cell<Option<SocketAddr>>,
    record: Record,
    model: RefCell<ModelBox>,
    started_seconds: f64,
    wake: Event,
    waiters: RefCell<BTreeMap<u64, Sender<Happened>>>,
    next: Cell<u64>,
    /// Jobs whose read state is held, by the request that they belong to.
    held: RefCell<BTreeMap<String, u64>>,
    /// Reads that are not done, and by what name their states will be known.
    reading: RefCell<BTreeMap<u64, String>>,
    /// Marks of tokened work that has run here.
    marks: RefCell<BTreeSet<String>>,
}

/// A stand-in that runs. Dropping it is a kill: its socket and its streams break.
pub struct StandIn {
    shared: Rc<Shared>,
    cell: String,
    pub address: SocketAddr,
    _tasks: Vec<Task<()>>,
}

impl StandIn {
    /// Starts on `address`; port 0 takes a free one.
    pub async fn start(
        executor: &Rc<LocalExecutor<'static>>,
        record: &Record,
        (name, cell): (&str, &str),
        build: Build,
        address: SocketAddr,
        cold: bool,
    ) -> std::io::Result<StandIn> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let shared = Rc::new(Shared {
            name: name.to_owned(),
            address: Cell::new(Some(address)),
            record: record.clone(),
            model: RefCell::new(ModelBox::new(build, record.now(), cold)),
            started_seconds: epoch.as_secs_f64(),
            wake: Event::new(),
            waiters: RefCell::default(),
            next: Cell::new(0),
            held: RefCell::default(),
            reading: RefCell::default(),
            marks: RefCell::default(),
        });
        let (server, cell) = (name.to_owned(), cell.to_owned());
        record.write(Passed::Box { server, cell: cell.clone(), fault: "None".to_owned() });
        let work = executor.spawn(shared.clone().work());
        let accept = executor.spawn(accept(listener, shared.clone()));
        Ok(StandIn { shared, cell, address, _tasks: vec![work, accept] })
    }

    pub fn set_fault(&self, fault: Fault) {
        let server = self.shared.name.clone();
        self.shared.record.write(Passed::Box {
            server,
            cell: self.cell.clone(),
            fault: format!("{fault:?}"),
        });
        self.shared.model.borrow_mut().set_fault(fault);
        self.shared.wake.notify(usize::MAX);
    }

    pub fn forget(&self) {
        self.shared.model.borrow_mut().forget();
    }

    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// States held now.
    pub fn states(&self) -> usize {
        self.shared.model.borrow().states().count()
    }

    pub fn in_flight(&self) -> usize {
        self.shared.model.borrow().in_flight()
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        // What a killed process held is gone with it.
        let held: Vec<String> = self.shared.held.borrow().keys().cloned().collect();
        for request in held {
            self.shared.let_go(&request);
        }
    }
}

impl Shared {
    /// Lets the box work when it is due, and tells those who wait.
    async fn work(self: Rc<Self>) {
        loop {
            let woken = self.wake.listen();
            let now = self.record.now();
            let due = self.model.borrow().next_due();
            match due {
                Some(due) if due <= now => {
                    let mut happened = Vec::new();
                    self.model.borrow_mut().due(now, &mut happened);
                    for event in happened {
                        let id = match event {
                            Happened::Read { id, .. } => {
                                self.hold(id);
                                id
                            }
                            Happened::Token { id, .. } => id,
                            Happened::Expired { id } => {
                                let held = self
                                    .held
                                    .borrow()
                                    .iter()
                                    .find(|(_, job)| **job == id)
                                    .map(|(r, _)| r.clone());
                                held.into_iter().for_each(|request| {
                                    self.let_go(&request);
                                });
                                continue;
                            }
                        };
                        if let Some(waiter) = self.waiters.borrow().get(&id) {
                            let _ = waiter.try_send(event);
                        }
                    }
                    future::yield_now().await;
                }
                Some(due) => {
                    let timer = async {
                        Timer::after(Duration::from_nanos(due - now)).await;
                    };
                    future::or(woken, timer).await;
                }
                None => woken.await,
            }
        }
    }

    fn load(&self) -> String {
        let model = self.model.borrow();
        format!(
            "TEXT named_metrics.kv_cache_usage_perc={:.4}, named_metrics.num_requests_running={}, \
             named_metrics.queued_prompt_tokens={}, named_metrics.process_start_time_seconds={:.3}",
            model.memory_share(),
            model.in_flight(),
            model.queued_prompt_tokens(),
            self.started_seconds,
        )
    }

    /// A read is done: from now on its state is held, whether or not its answer still reaches anybody.
    fn hold(&self, id: u64) {
        let Some(request) = self.reading.borrow_mut().remove(&id) else { return };
        self.held.borrow_mut().insert(request.clone(), id);
        self.record.write(Passed::StateHeld { server: self.name.clone(), request });
    }

    fn let_go(&self, request: &str) -> bool {
        let Some(id) = self.held.borrow_mut().remove(request) else { return false };
        self.model.borrow_mut().let_go(id);
        let (server, request) = (self.name.clone(), request.to_owned());
        self.record.write(Passed::StateGone { server, request });
        true
    }
}

/// A work request from its arrival to its end.
struct Out {
    record: Record,
    server: String,
    request: String,
}

impl Drop for Out {
    fn drop(&mut self) {
        let (server, request) = (self.server.clone(), self.request.clone());
        self.record.write(Passed::Over { server, request });
    }
}

/// A job in the box; dropping it cancels what is left of it.
struct InBox {
    shared: Rc<Shared>,
    id: u64,
    _out: Out,
    events: Receiver<Happened>,
}

impl Drop for InBox {
    fn drop(&mut self) {
        self.shared.waiters.borrow_mut().remove(&self.id);
        self.shared.reading.borrow_mut().remove(&self.id);
        let now = self.shared.record.now();
        self.shared.model.borrow_mut().cancel(now, self.id);
        self.shared.wake.notify(usize::MAX);
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    // Connections end with the stand-in, as a killed process's do.
    let connections: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
    let accepting = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            connections.spawn(connection(stream, shared.clone())).detach();
        }
    };
    connections.run(accepting).await
}

async fn connection(stream: TcpStream, shared: Rc<Shared>) {
    if shared.model.borrow().fault() == Fault::Hangs {
        return hang(stream, &shared).await;
    }
    // Resets are made by dropping the connection in the middle of it.
    let (reset, broken) = async_channel::bounded::<()>(1);
    let service = service_fn(move |request| {
        let (shared, reset) = (shared.clone(), reset.clone());
        async move { route(request, shared, reset).await }
    });
    let builder = hyper::server::conn::http1::Builder::new();
    let served = async {
        let _ = builder.serve_connection(FuturesIo::new(stream), service).await;
    };
    let cut = async {
        if broken.recv().await.is_err() {
            future::pending::<()>().await;
        }
    };
    future::or(served, cut).await;
}

/// Takes whatever comes, answers nothing, and writes down what a request in it was, for the auditor.
async fn hang(mut stream: TcpStream, shared: &Shared) {
    let mut heard = String::new();
    let mut part = vec![0u8; 16 << 10];
    let mut out = None;
    while let Ok(count @ 1..) = futures_lite::AsyncReadExt::read(&mut stream, &mut part).await {
        heard.push_str(&String::from_utf8_lossy(&part[..count]));
        let field = |name: &str| {
            let value = heard.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
            value.unwrap_or_default().trim().to_owned()
        };
        let whole = heard
            .split_once("\r\n\r\n")
            .is_some_and(|(_, body)| body.len() >= field("content-length").parse().unwrap_or(usize::MAX));
        if whole && out.is_none() {
            let reads = heard.contains("\"do_remote_decode\":true");
            let client = heard.rsplit("#client ").next();
            let client = client.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
            let (server, request) = (shared.name.clone(), field("x-request-id"));
            shared.record.write(Passed::Arrived {
                server: server.clone(),
                gateway: field("user-agent"),
                request: request.clone(),
                mark: None,
                work: if reads { "read" } else { "write" }.to_owned(),
                client,
            });
            out = Some(Out { record: shared.record.clone(), server, request });
        }
    }
}

type Answered = Result<Response<Answer>, std::convert::Infallible>;

enum Answer {
    Whole(Option<Bytes>),
    Stream(Pin<Box<dyn Stream<Item = Bytes>>>),
}

impl Body for Answer {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match &mut *self {
            Answer::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Answer::Stream(parts) => {
                parts.as_mut().poll_next(context).map(|part| part.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answer::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Answer::Stream(_) => SizeHint::default(),
        }
    }
}

fn answer(status: u16, load: &str, body: &Value) -> Answered {
    let mut response = Response::new(Answer::Whole(Some(Bytes::from(body.to_string()))));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    if let Ok(load) = load.parse() {
        response.headers_mut().insert("endpoint-load-metrics", load);
    }
    Ok(response)
}

fn error(status: u16, load: &str, code: &str) -> Answered {
    answer(status, load, &json!({ "error": { "message": code, "type": "server_error", "code": code } }))
}

async fn route(request: Request<Incoming>, shared: Rc<Shared>, reset: Sender<()>) -> Answered {
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let id = header("x-request-id").unwrap_or_default();
    let mark = header("idempotency-key");
    let gateway = header("user-agent").unwrap_or_default();
    let path = request.uri().path().to_owned();
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return error(400, "", "bad_body"),
    };
    let json: Value = serde_json::from_slice(&body).unwrap_or_default();
    let lost = matches!(shared.model.borrow().fault(), Fault::Silent | Fault::Hangs)
        || shared.model.borrow().fallen();
    match path.as_str() {
        "/v1/completions" => {
            let asked = Asked { request: id, mark, gateway, json, lost };
            completions(asked, shared, reset).await
        }
        "/v1/kv/release" | "/v1/kv/fetch" => {
            let named = json.get("request_id").and_then(Value::as_str).unwrap_or(&id).to_owned();
            let had = shared.let_go(&named);
            if lost {
                return future::pending().await;
            }
            if path.ends_with("fetch") && !had {
                return error(404, &shared.load(), "state_missing");
            }
            answer(200, &shared.load(), &json!({ "request_id": named, "released": had }))
        }
        _ => error(404, "", "not_found"),
    }
}

struct Asked {
    request: String,
    mark: Option<String>,
    gateway: String,
    json: Value,
    lost: bool,
}

async fn completions(asked: Asked, shared: Rc<Shared>, reset: Sender<()>) -> Answered {
    let Asked { request, mark, gateway, json, lost } = asked;
    let Some(prompt) = json.get("prompt").and_then(Value::as_str) else {
        return error(400, &shared.load(), "prompt_missing");
    };
    let transfer = json.get("kv_transfer_params").cloned().unwrap_or_default();
    let asked = |name: &str| transfer.get(name).and_then(Value::as_bool).unwrap_or(false);
    let work = match (asked("do_remote_decode"), asked("do_remote_prefill")) {
        (true, _) => Work::Read,
        (_, true) => Work::Write,
        _ => Work::Whole,
    };
    let (server, word) = (shared.name.clone(), format!("{work:?}").to_lowercase());
    // Rehearsal clients number their requests in the prompt, so that both ends of the way can be matched.
    let client =
        prompt.rsplit("#client ").next().and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    let out = Out { record: shared.record.clone(), server: server.clone(), request: request.clone() };
    shared.record.write(Passed::Arrived {
        server: server.clone(),
        gateway,
        request: request.clone(),
        mark: mark.clone(),
        work: word,
        client,
    });
    if lost {
        let _out = out;
        return future::pending().await;
    }
    let turned = |status: u16, code: &str| {
        let (server, request, said) = (server.clone(), request.clone(), code.to_owned());
        shared.record.write(Passed::Turned { server, request, code: said });
        error(status, &shared.load(), code)
    };
    if work != Work::Read && mark.as_ref().is_some_and(|mark| shared.marks.borrow().contains(mark)) {
        return turned(422, "repeated");
    }
    let max_tokens = json.get("max_tokens").and_then(Value::as_u64).unwrap_or(16);
    let job = shared.next.get();
    shared.next.set(job + 1);
    let job = Job {
        id: job,
        work,
        blocks: blocks(prompt),
        prompt_tokens: prompt.len().div_ceil(BYTES_A_TOKEN) as u64,
        answer_tokens: if work == Work::Read { 0 } else { max_tokens },
    };
    if work == Work::Write && fetch(&transfer).await.is_err() {
        return turned(409, "state_missing");
    }
    let (sender, events) = async_channel::unbounded();
    shared.waiters.borrow_mut().insert(job.id, sender);
    if work == Work::Read {
        shared.reading.borrow_mut().insert(job.id, request.clone());
    }
    let in_box = InBox { shared: shared.clone(), id: job.id, _out: out, events };
    let prompt_tokens = job.prompt_tokens;
    let (was_up, taken) = {
        let mut model = shared.model.borrow_mut();
        let was_up = !model.fallen();
        (was_up, model.arrive(shared.record.now(), job))
    };
    if was_up && shared.model.borrow().fallen() {
        shared.record.write(Passed::FellOver { server: server.clone() });
    }
    match taken {
        Err(Refused::Full) => return turned(503, "full"),
        Err(Refused::Unable) => return turned(400, "wrong_role"),
        Ok(()) => {}
    }
    shared.wake.notify(usize::MAX);
    if work != Work::Read {
        shared.marks.borrow_mut().extend(mark);
        shared.record.write(Passed::Ran { server: server.clone(), request: request.clone() });
    }
    let fault = shared.model.borrow().fault();
    if let Fault::FailsSlowly(after) = fault {
        Timer::after(Duration::from_nanos(after)).await;
        return error(500, &shared.load(), "failed");
    }
    if work == Work::Read {
        let Ok(Happened::Read { kept, .. }) = in_box.events.recv().await else {
            return error(500, &shared.load(), "failed");
        };
        let address = shared.address.get();
        let params = json!({
            "do_remote_prefill": true, "do_remote_decode": false, "remote_engine_id": server,
            "remote_request_id": request, "remote_host": address.map(|a| a.ip().to_string()),
            "remote_port": address.map(|a| a.port()),
        });
        let body = json!({
            "id": request, "object": "text_completion", "kv_transfer_params": params,
            "choices": [{ "index": 0, "text": "", "finish_reason": "length" }],
            "usage": { "prompt_tokens": prompt_tokens, "completion_tokens": 1,
                       "prompt_tokens_details": { "cached_tokens": kept } },
        });
        return answer(200, &shared.load(), &body);
    }
    let load = shared.load();
    let first = in_box.events.recv().await;
    let parts = stream::unfold((in_box, first.ok(), false), move |(in_box, first, over)| {
        let (request, reset) = (request.clone(), reset.clone());
        async move {
            if over {
                return None;
            }
            let event = match first {
                Some(event) => event,
                None => in_box.events.recv().await.ok()?,
            };
            let Happened::Token { number, last, .. } = event else { return None };
            let fault = in_box.shared.model.borrow().fault();
            let text = match fault {
                Fault::ResetAfter(tokens) if number > tokens => {
                    let _ = reset.try_send(());
                    return future::pending().await;
                }
                Fault::EndsBadly(tokens) if number > tokens => return None,
                Fault::Garbage(tokens) if number > tokens => "data: {]\n\n".to_owned(),
                _ => tokens_text(&request, number, last, prompt_tokens),
            };
            Some((Bytes::from(text), (in_box, None, last)))
        }
    });
    let mut response = Response::new(Answer::Stream(Box::pin(parts)));
    if let Ok(load) = load.parse() {
        response.headers_mut().insert("endpoint-load-metrics", load);
    }
    Ok(response)
}

fn tokens_text(request: &str, number: u64, last: bool, prompt_tokens: u64) -> String {
    let chunk = |text: &str, finish: &str| {
        format!(
            "data: {{\"id\":\"{request}\",\"object\":\"text_completion\",\
             \"choices\":[{{\"index\":0,\"text\":\"{text}\",\"finish_reason\":{finish}}}]}}\n\n"
        )
    };
    let mut text = chunk(&format!("t{number} "), "null");
    if last {
        text.push_str(&chunk("", "\"length\""));
        text.push_str(&format!(
            "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{prompt_tokens},\"completion_tokens\":{number},\
             \"total_tokens\":{}}}}}\n\ndata: [DONE]\n\n",
            prompt_tokens + number
        ));
    }
    text
}

/// Chained hashes of a prompt's blocks.
fn blocks(prompt: &str) -> Vec<u64> {
    let whole = prompt.as_bytes().chunks_exact(BYTES_A_TOKEN * BLOCK as usize);
    let chain = whole.scan(0xcbf2_9ce4_8422_2325u64, |hash, block| {
        *hash = block.iter().fold(*hash, |h, byte| (h ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3));
        Some(*hash)
    });
    chain.collect()
}

/// Fetches a state from its reader, over a connection of its own.
async fn fetch(transfer: &Value) -> Result<(), Missing> {
    let word = |name: &str| transfer.get(name).and_then(Value::as_str);
    let port = transfer.get("remote_port").and_then(Value::as_u64).and_then(|port| u16::try_from(port).ok());
    let (Some(request), Some(host), Some(port)) = (word("remote_request_id"), word("remote_host"), port)
    else {
        return Err(Missing);
    };
    let address = format!("{host}:{port}").parse::<SocketAddr>().map_err(|_| Missing)?;
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.map_err(|_| Missing)?;
        let body = json!({ "request_id": request }).to_string();
        let head = format!(
            "POST /v1/kv/fetch HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.map_err(|_| Missing)?;
        let mut told = [0u8; 12];
        futures_lite::AsyncReadExt::read_exact(&mut stream, &mut told).await.map_err(|_| Missing)?;
        if told.ends_with(b" 200") { Ok(()) } else { Err(Missing) }
    };
    let late = async {
        Timer::after(FETCH_WITHIN).await;
        Err(Missing)
    };
    future::or(exchange, late).await
}

/// The state that a writer was to fetch is not there.
struct Missing;

/// Kinds of box that `try` and rehearsals use where nothing else is said.
pub fn usual_build(role: Role) -> Build {
    Build {
        role,
        slots: 64,
        queue: 64,
        memory_tokens: 200_000,
        state_for: 20_000_000_000,
        read_tokens_per_second: 20_000.0,
        token_nanos: 20_000_000,
        cold_for: 10_000_000_000,
        cold_from: 0.3,
        cold_multiple: 2.5,
        cold_window: 2_000_000_000,
    }
}
