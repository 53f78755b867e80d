//! Steady load: so many streams at once, through a gateway or straight at a reader and a writer, with times to the
//! first token and between tokens.

use crate::client::{Question, Seen, chat_body, request};
use crate::fleet::Executor;
use crate::grpc_client;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hdrhistogram::Histogram;
use petrelshore_emulator::record::FinalOutcome;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Streams that share a connection where the protocol lets them.
const ON_A_CONNECTION: usize = 100;

/// Where streams go.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    Gateway(SocketAddr),
    /// The same gateway's gRPC front.
    Grpc(SocketAddr),
    /// The two exchanges that a gateway would make, by the client itself.
    Direct {
        reader: SocketAddr,
        writer: SocketAddr,
    },
}

#[derive(Clone, Debug)]
pub struct Load {
    pub streams: usize,
    pub tokens: u64,
    pub lasts: Duration,
    pub model: String,
    pub key: Option<String>,
}

/// Times in microseconds.
pub struct Times {
    pub first: Histogram<u64>,
    pub between: Histogram<u64>,
    pub answers: u64,
    pub tokens: u64,
    pub failed: u64,
}

impl Times {
    fn new() -> Result<Times, String> {
        let empty = || Histogram::new_with_max(120_000_000, 3).map_err(|error| error.to_string());
        Ok(Times { first: empty()?, between: empty()?, answers: 0, tokens: 0, failed: 0 })
    }
}

/// Keeps that many streams going for the time, each beginning anew when it ends.
pub async fn run(executor: &Executor, way: Way, load: &Load) -> Result<Times, String> {
    let times = Rc::new(RefCell::new(Times::new()?));
    let until = Instant::now() + load.lasts;
    // Streams begin spread over the first fifth, and what begins there is not counted.
    let spread = load.lasts / 5;
    let counted = Instant::now() + spread;
    let mut connections = Vec::new();
    if let Way::Grpc(to) = way {
        for _ in 0..load.streams.div_ceil(ON_A_CONNECTION) {
            let (sender, driver) = grpc_client::connect(to).await.ok_or(format!("{to} is not reached"))?;
            connections.push((sender, executor.spawn(async move { driver.await.err() })));
        }
    }
    let mut tasks = Vec::new();
    for number in 0..load.streams {
        let (times, load) = (times.clone(), load.clone());
        let mut sender = connections.get(number / ON_A_CONNECTION).map(|(sender, _)| sender.clone());
        tasks.push(executor.spawn(async move {
            Timer::after(spread * number as u32 / load.streams as u32).await;
            let mut turn = 0;
            while Instant::now() < until {
                turn += 1;
                let began = Instant::now();
                let (asked, counts) = (format!("stream {number} turn {turn}"), began >= counted);
                let done = match &mut sender {
                    Some(sender) => multiplexed(sender, &load, &asked, &times, counts).await,
                    None => stream(way, &load, &asked, &times, counts).await,
                };
                if done.is_none() {
                    times.borrow_mut().failed += 1;
                    Timer::after(Duration::from_millis(100)).await;
                }
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    let times = Rc::try_unwrap(times).map_err(|_| "a stream is still running")?;
    Ok(times.into_inner())
}

impl Times {
    /// Tokens have come together; tells when.
    fn came(&mut self, began: Instant, last: Option<Instant>) -> Instant {
        let now = Instant::now();
        match last {
            None => self.first.saturating_record((now - began).as_micros() as u64),
            Some(last) => self.between.saturating_record((now - last).as_micros() as u64),
        }
        now
    }
}

/// One answer on a shared connection; none where it did not come whole.
async fn multiplexed(
    sender: &mut grpc_client::Sender,
    load: &Load,
    question: &str,
    times: &RefCell<Times>,
    counted: bool,
) -> Option<()> {
    let began = Instant::now();
    let mut question = Question::new(&load.model, question, load.tokens);
    if let Some(key) = &load.key {
        question = question.with("authorization", &format!("Bearer {key}"));
    }
    let response = grpc_client::call(sender, &question).await?;
    let (mut seen, mut last) = (Seen::nothing(), None);
    let came = |_| {
        if counted {
            last = Some(times.borrow_mut().came(began, last));
        }
    };
    grpc_client::read_with(response, began, &mut seen, came).await;
    if seen.finished != FinalOutcome::Completed {
        return None;
    }
    let mut times = times.borrow_mut();
    (times.answers, times.tokens) = (times.answers + 1, times.tokens + seen.tokens);
    Some(())
}

/// One answer; none where it did not come whole.
async fn stream(way: Way, load: &Load, question: &str, times: &RefCell<Times>, counted: bool) -> Option<()> {
    let began = Instant::now();
    let (to, text, mark): (SocketAddr, String, &[u8]) = match way {
        Way::Gateway(to) => {
            let key = load.key.as_ref().map(|key| format!("Bearer {key}"));
            let headers: Vec<(&str, &str)> = key.iter().map(|key| ("authorization", key.as_str())).collect();
            let body = chat_body(&load.model, question, load.tokens, true);
            (to, request("/v1/chat/completions", &headers, &body), b"\"content\":\"t")
        }
        Way::Direct { reader, writer } => {
            let asked = json!({ "do_remote_decode": true, "do_remote_prefill": false });
            let read = completion(load, question, 1, false, asked);
            let answer = whole(reader, &read).await?;
            let params = answer.get("kv_transfer_params")?.clone();
            (writer, completion(load, question, load.tokens, true, params), b"\"text\":\"t")
        }
        // Its streams share connections.
        Way::Grpc(_) => return None,
    };
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let (mut last, mut seen, mut tail): (Option<Instant>, u64, Vec<u8>) = (None, 0, Vec::new());
    let mut part = [0u8; 8192];
    loop {
        let count = stream.read(&mut part).await.ok().filter(|count| *count > 0)?;
        tail.extend_from_slice(&part[..count]);
        let tokens = tail.windows(mark.len()).filter(|window| *window == mark).count() as u64;
        let done = tail.windows(12).any(|window| window == b"data: [DONE]");
        if tokens > 0 {
            if counted {
                last = Some(times.borrow_mut().came(began, last));
            }
            seen += tokens;
        }
        if done {
            break;
        }
        let keep = tail.len().min(mark.len() - 1);
        tail.drain(..tail.len() - keep);
    }
    let mut times = times.borrow_mut();
    (times.answers, times.tokens) = (times.answers + 1, times.tokens + seen);
    Some(())
}

fn completion(load: &Load, question: &str, tokens: u64, stream: bool, params: Value) -> String {
    let body = json!({
        "model": load.model, "prompt": format!("{}{question}", "You explain events. ".repeat(20)),
        "max_tokens": tokens, "stream": stream, "kv_transfer_params": params,
    });
    request(
        "/v1/completions",
        &[("x-request-id", &format!("load-{question}").replace(' ', "-"))],
        &body.to_string(),
    )
}

async fn whole(to: SocketAddr, text: &str) -> Option<Value> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let text = String::from_utf8(answer).ok()?;
    serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
}
