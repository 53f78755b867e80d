//! Steady load: a number of concurrent streams, through a gateway or straight at a prefill and a decode server, with
//! times to the first token and between tokens.

mod direct;

use crate::client::{Observation, Question, chat_body, request};
use crate::fleet::Executor;
use crate::grpc_client;
use async_executor::Task;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hdrhistogram::Histogram;
use petrelshore_emulator::record::FinalOutcome;
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Streams that share a connection where the protocol allows it.
const STREAMS_PER_CONNECTION: usize = 100;
/// The part of the time in which streams start, and in which nothing is counted.
const START_PHASE_DIVISOR: u32 = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Two minutes, in microseconds.
const MAX_TIME_MICROS: u64 = 120_000_000;
const READ_BUFFER_BYTES: usize = 8192;
const STREAM_END: &[u8] = b"data: [DONE]";
/// What each token begins with, through a gateway and straight from a server.
const GATEWAY_TOKEN_MARKER: &[u8] = b"\"content\":\"t";
const SERVER_TOKEN_MARKER: &[u8] = b"\"text\":\"t";

/// Where streams go.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    /// Chat completions of a gateway.
    Gateway(SocketAddr),
    /// The gRPC service of a gateway.
    Grpc(SocketAddr),
    /// The two exchanges that a gateway would make, by the client itself.
    Direct {
        /// The prefill server.
        prefill: SocketAddr,
        /// The decode server.
        decode: SocketAddr,
    },
}

/// The load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Concurrent streams.
    pub streams: usize,
    /// Tokens of each answer.
    pub tokens: u64,
    /// How long it lasts.
    pub duration: Duration,
    /// The model.
    pub model: String,
    /// The API key.
    pub key: Option<String>,
}

/// Why load was not generated.
#[derive(Debug)]
pub enum LoadError {
    /// An address does not accept connections.
    Unreachable(SocketAddr),
    /// No histogram for the times.
    Histogram(hdrhistogram::CreationError),
}

impl fmt::Display for LoadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Unreachable(address) => write!(formatter, "{address} is not reached"),
            LoadError::Histogram(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for LoadError {}

/// What was measured, times in microseconds.
pub struct Measurements {
    /// Times to the first token.
    pub first_token: Histogram<u64>,
    /// Times between tokens.
    pub between_tokens: Histogram<u64>,
    /// Complete answers.
    pub answers: u64,
    /// Tokens of complete answers.
    pub tokens: u64,
    /// Incomplete answers.
    pub failed: u64,
}

impl Measurements {
    fn new() -> Result<Measurements, LoadError> {
        let empty = || Histogram::new_with_max(MAX_TIME_MICROS, 3).map_err(LoadError::Histogram);
        Ok(Measurements { first_token: empty()?, between_tokens: empty()?, answers: 0, tokens: 0, failed: 0 })
    }

    /// Records tokens that were received together; returns when.
    fn record_tokens(&mut self, began: Instant, last: Option<Instant>) -> Instant {
        let now = Instant::now();
        match last {
            None => self.first_token.saturating_record((now - began).as_micros() as u64),
            Some(last) => self.between_tokens.saturating_record((now - last).as_micros() as u64),
        }
        now
    }

    fn record_answer(&mut self, tokens: u64) {
        self.answers += 1;
        self.tokens += tokens;
    }
}

/// A shared connection, driven for as long as this is kept.
struct SharedConnection {
    sender: grpc_client::Sender,
    _driver: Task<Option<h2::Error>>,
}

/// What all streams share.
struct Generator {
    target: Target,
    load: Load,
    measurements: RefCell<Measurements>,
    /// Streams begin no further answers after this.
    until: Instant,
    /// Answers that begin earlier are not part of the times.
    counted_from: Instant,
}

/// Whether an answer is part of the times.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Timing {
    Recorded,
    Skipped,
}

/// Keeps the streams going for the time, each beginning anew when it ends.
pub async fn run(executor: &Executor, target: Target, load: &Load) -> Result<Measurements, LoadError> {
    let start_phase = load.duration / START_PHASE_DIVISOR;
    let generator = Rc::new(Generator {
        target,
        load: load.clone(),
        measurements: RefCell::new(Measurements::new()?),
        until: Instant::now() + load.duration,
        counted_from: Instant::now() + start_phase,
    });
    let connections = connect(executor, target, load.streams).await?;
    let mut streams = Vec::new();
    for number in 0..load.streams {
        let generator = generator.clone();
        let connection = connections.get(number / STREAMS_PER_CONNECTION);
        let sender = connection.map(|connection| connection.sender.clone());
        let delay = start_phase * number as u32 / load.streams as u32;
        streams.push(executor.spawn(async move {
            Timer::after(delay).await;
            generator.run_stream(number, sender).await;
        }));
    }
    for stream in streams {
        stream.await;
    }
    let empty = Measurements::new()?;
    Ok(generator.measurements.replace(empty))
}

/// The shared connections of a target whose protocol allows them.
async fn connect(
    executor: &Executor,
    target: Target,
    streams: usize,
) -> Result<Vec<SharedConnection>, LoadError> {
    let Target::Grpc(address) = target else { return Ok(Vec::new()) };
    let mut connections = Vec::new();
    for _ in 0..streams.div_ceil(STREAMS_PER_CONNECTION) {
        let connection = grpc_client::connect(address).await;
        let (sender, driver) = connection.ok_or(LoadError::Unreachable(address))?;
        let driver = executor.spawn(async move { driver.await.err() });
        connections.push(SharedConnection { sender, _driver: driver });
    }
    Ok(connections)
}

impl Generator {
    async fn run_stream(&self, number: usize, mut sender: Option<grpc_client::Sender>) {
        let mut turn = 0;
        while Instant::now() < self.until {
            turn += 1;
            let counted = Instant::now() >= self.counted_from;
            let timing = if counted { Timing::Recorded } else { Timing::Skipped };
            let question = format!("stream {number} turn {turn}");
            let answer = match &mut sender {
                Some(sender) => self.answer_by_grpc(sender, &question, timing).await,
                None => self.answer_by_http(&question, timing).await,
            };
            match answer {
                Some(tokens) => self.measurements.borrow_mut().record_answer(tokens),
                None => {
                    self.measurements.borrow_mut().failed += 1;
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn record_tokens(&self, began: Instant, last: &mut Option<Instant>, timing: Timing) {
        if timing == Timing::Recorded {
            *last = Some(self.measurements.borrow_mut().record_tokens(began, *last));
        }
    }

    /// The tokens of one answer on a shared connection; `None` where it is incomplete.
    async fn answer_by_grpc(
        &self,
        sender: &mut grpc_client::Sender,
        question: &str,
        timing: Timing,
    ) -> Option<u64> {
        let began = Instant::now();
        let mut question = Question::new(&self.load.model, question, self.load.tokens);
        if let Some(key) = &self.load.key {
            question = question.with("authorization", &format!("Bearer {key}"));
        }
        let response = grpc_client::call(sender, &question).await?;
        let (mut observation, mut last) = (Observation::nothing(), None);
        let on_tokens = |_| self.record_tokens(began, &mut last, timing);
        grpc_client::read_with(response, began, &mut observation, on_tokens).await;
        (observation.outcome == FinalOutcome::Completed).then_some(observation.tokens)
    }

    /// The tokens of one answer on a connection of its own; `None` where it is incomplete.
    async fn answer_by_http(&self, question: &str, timing: Timing) -> Option<u64> {
        let began = Instant::now();
        match self.target {
            Target::Gateway(address) => {
                let key = self.load.key.as_ref().map(|key| format!("Bearer {key}"));
                let headers: Vec<(&str, &str)> =
                    key.iter().map(|key| ("authorization", key.as_str())).collect();
                let body = chat_body(&self.load.model, question, self.load.tokens, true);
                let request = request("/v1/chat/completions", &headers, &body);
                self.read_stream(address, &request, GATEWAY_TOKEN_MARKER, began, timing).await
            }
            Target::Direct { prefill, decode } => {
                let request = direct::prefill(prefill, &self.load, question).await?;
                self.read_stream(decode, &request, SERVER_TOKEN_MARKER, began, timing).await
            }
            // Its streams share connections.
            Target::Grpc(_) => None,
        }
    }

    /// Sends a request and reads its stream; returns its tokens.
    async fn read_stream(
        &self,
        address: SocketAddr,
        request: &str,
        token_marker: &[u8],
        began: Instant,
        timing: Timing,
    ) -> Option<u64> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let (mut last, mut total, mut tail): (Option<Instant>, u64, Vec<u8>) = (None, 0, Vec::new());
        let mut buffer = [0u8; READ_BUFFER_BYTES];
        loop {
            let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
            tail.extend_from_slice(&buffer[..count]);
            let tokens = tail.windows(token_marker.len()).filter(|window| *window == token_marker).count();
            let ended = tail.windows(STREAM_END.len()).any(|window| window == STREAM_END);
            if tokens > 0 {
                self.record_tokens(began, &mut last, timing);
                total += tokens as u64;
            }
            if ended {
                return Some(total);
            }
            let keep = tail.len().min(token_marker.len() - 1);
            tail.drain(..tail.len() - keep);
        }
    }
}
