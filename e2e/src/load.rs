//! Generates steady load with a number of concurrent streams, either through a gateway or directly to a prefill and a
//! decode server, and measures the times to the first token and between tokens.

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

/// The maximum number of streams that share a connection if the protocol allows sharing.
const STREAMS_PER_CONNECTION: usize = 100;
/// The start phase lasts the duration of the load divided by this number. Streams start at even intervals during this
/// phase, and token times of answers that start during this phase are not recorded.
const START_PHASE_DIVISOR: u32 = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The largest time that a histogram holds: two minutes, in microseconds.
const MAX_TIME_MICROS: u64 = 120_000_000;
const READ_BUFFER_BYTES: usize = 8192;
const STREAM_END: &[u8] = b"data: [DONE]";
// The start of each token in a stream, through a gateway and directly from a server.
const GATEWAY_TOKEN_MARKER: &[u8] = b"\"content\":\"t";
const SERVER_TOKEN_MARKER: &[u8] = b"\"text\":\"t";

/// The destination of the streams.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    /// The chat completions API of a gateway.
    Gateway(SocketAddr),
    /// The gRPC service of a gateway.
    Grpc(SocketAddr),
    /// The client itself makes the two exchanges that a gateway would make.
    Direct {
        /// The prefill server.
        prefill: SocketAddr,
        /// The decode server.
        decode: SocketAddr,
    },
}

/// The parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// The number of concurrent streams.
    pub streams: usize,
    /// The number of tokens of each answer.
    pub tokens: u64,
    /// The time for which streams start new answers.
    pub duration: Duration,
    /// The model that requests name.
    pub model: String,
    /// The API key, if the gateway requires one.
    pub key: Option<String>,
}

/// The reason why no load was generated.
#[derive(Debug)]
pub enum LoadError {
    /// Connecting to an address failed.
    Unreachable(SocketAddr),
    /// A histogram for the times could not be created.
    Histogram(hdrhistogram::CreationError),
}

impl fmt::Display for LoadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Unreachable(address) => write!(formatter, "can't connect to {address}"),
            LoadError::Histogram(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for LoadError {}

/// The results of a load, with times in microseconds.
pub struct Measurements {
    /// Times to the first token.
    pub first_token: Histogram<u64>,
    /// Times between tokens.
    pub between_tokens: Histogram<u64>,
    /// The number of complete answers.
    pub answers: u64,
    /// The number of tokens in complete answers.
    pub tokens: u64,
    /// The number of failed or incomplete answers.
    pub failed: u64,
}

impl Measurements {
    fn new() -> Result<Measurements, LoadError> {
        let empty = || Histogram::new_with_max(MAX_TIME_MICROS, 3).map_err(LoadError::Histogram);
        Ok(Measurements { first_token: empty()?, between_tokens: empty()?, answers: 0, tokens: 0, failed: 0 })
    }

    /// Records the time of tokens that were received together, and returns that time. `last` is the time of the
    /// previous tokens of the answer.
    fn record_tokens(&mut self, started: Instant, last: Option<Instant>) -> Instant {
        let now = Instant::now();
        match last {
            None => self.first_token.saturating_record((now - started).as_micros() as u64),
            Some(last) => self.between_tokens.saturating_record((now - last).as_micros() as u64),
        }
        now
    }

    fn record_answer(&mut self, tokens: u64) {
        self.answers += 1;
        self.tokens += tokens;
    }
}

/// A connection that several streams share. Dropping it stops the task that drives the connection.
struct SharedConnection {
    sender: grpc_client::Sender,
    _driver: Task<Option<h2::Error>>,
}

/// The state that all streams share.
struct Generator {
    target: Target,
    load: Load,
    measurements: RefCell<Measurements>,
    /// Streams start no new answers after this time.
    end_time: Instant,
    /// Token times of answers that start earlier are not recorded.
    recorded_from: Instant,
}

/// Specifies whether the token times of an answer are recorded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Timing {
    Recorded,
    Skipped,
}

/// Runs the streams for the duration of the load. Each stream requests one answer after another.
pub async fn run(executor: &Executor, target: Target, load: &Load) -> Result<Measurements, LoadError> {
    let start_phase = load.duration / START_PHASE_DIVISOR;
    let generator = Rc::new(Generator {
        target,
        load: load.clone(),
        measurements: RefCell::new(Measurements::new()?),
        end_time: Instant::now() + load.duration,
        recorded_from: Instant::now() + start_phase,
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

/// Opens the shared connections to a target; none if the target's protocol doesn't allow sharing.
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
        while Instant::now() < self.end_time {
            turn += 1;
            let recorded = Instant::now() >= self.recorded_from;
            let timing = if recorded { Timing::Recorded } else { Timing::Skipped };
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

    fn record_tokens(&self, started: Instant, last: &mut Option<Instant>, timing: Timing) {
        if timing == Timing::Recorded {
            *last = Some(self.measurements.borrow_mut().record_tokens(started, *last));
        }
    }

    /// Requests one answer on a shared connection. Returns its number of tokens, or `None` if the answer is incomplete.
    async fn answer_by_grpc(
        &self,
        sender: &mut grpc_client::Sender,
        question: &str,
        timing: Timing,
    ) -> Option<u64> {
        let started = Instant::now();
        let mut question = Question::new(&self.load.model, question, self.load.tokens);
        if let Some(key) = &self.load.key {
            question = question.with("authorization", &format!("Bearer {key}"));
        }
        let response = grpc_client::call(sender, &question).await?;
        let (mut observation, mut last) = (Observation::nothing(), None);
        let on_tokens = |_| self.record_tokens(started, &mut last, timing);
        grpc_client::read_with(response, started, &mut observation, on_tokens).await;
        (observation.outcome == FinalOutcome::Completed).then_some(observation.tokens)
    }

    /// Requests one answer on a new connection. Returns its number of tokens, or `None` if the answer is incomplete.
    async fn answer_by_http(&self, question: &str, timing: Timing) -> Option<u64> {
        let started = Instant::now();
        match self.target {
            Target::Gateway(address) => {
                let key = self.load.key.as_ref().map(|key| format!("Bearer {key}"));
                let headers: Vec<(&str, &str)> =
                    key.iter().map(|key| ("authorization", key.as_str())).collect();
                let body = chat_body(&self.load.model, question, self.load.tokens, true);
                let request = request("/v1/chat/completions", &headers, &body);
                self.read_stream(address, &request, GATEWAY_TOKEN_MARKER, started, timing).await
            }
            Target::Direct { prefill, decode } => {
                let request = direct::prefill(prefill, &self.load, question).await?;
                self.read_stream(decode, &request, SERVER_TOKEN_MARKER, started, timing).await
            }
            // Streams to a gRPC target use shared connections.
            Target::Grpc(_) => None,
        }
    }

    /// Sends a request and reads the stream of the response. Returns the number of tokens, or `None` if the stream is
    /// incomplete.
    async fn read_stream(
        &self,
        address: SocketAddr,
        request: &str,
        token_marker: &[u8],
        started: Instant,
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
                self.record_tokens(started, &mut last, timing);
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
