//! Emulated model servers of the platform.

use super::http::{hang, read_request};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The behavior of a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Executes requests and responds correctly.
    Good,
    /// Responds 503 with the `Srv-Declined` header, which proves that nothing was executed.
    Declines,
    /// Responds 500.
    Fails,
    /// Responds 503 without the `Srv-Declined` header.
    Overloaded,
    /// Responds 410 with the `Srv-Declined` header: the KV cache is missing.
    CacheMissing,
    /// Closes the connection without a response after it has read the request.
    Resets,
    /// Responds only to release requests and health checks.
    Silent,
    /// Responds to nothing.
    Unresponsive,
    /// Responds correctly to the first request on each connection, and closes the connection at the second request.
    OncePerConnection,
    /// Sends bytes that are not an HTTP response.
    InvalidResponse,
    /// Sends a response header that never ends.
    EndlessHead,
    /// Sends many 1xx responses before a correct response whose load report can't be parsed.
    Interim,
    /// Sends two correct responses to one request.
    SecondResponse,
    /// Sends a correct first event and then an invalid chunk.
    BadChunk,
    /// Sends a correct first event and then a chunk of excessive size.
    HugeChunk,
    /// Sends a correct first event and then bytes that are not an event.
    InvalidEvent,
    /// Sends a correct first event and then nothing.
    SilentInStream,
    /// Responds correctly, but slowly enough that clients may disconnect.
    Slow,
}

const HEALTH_CHECK: &str = "GET /healthz";
const EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n";
const STREAM_END: &str =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\ndata: [DONE]\n\n: Srv-Load: x0=0.5\n\n";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const PREFILL_RESPONSE: &str =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\nSrv-Load: x0=0.25\r\n\r\n{\"cached_tokens\":4}";
const SLOW_DELAY: Duration = Duration::from_millis(400);
/// The time between the first event and the failure of its stream, so that gateways can forward the event.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(100);
const INTERIM_RESPONSES: usize = 100;

/// The events of a correct answer.
pub fn events() -> String {
    format!("{EVENT}{EVENT}{STREAM_END}")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A listening model server. Its threads run until the process ends.
#[derive(Clone)]
pub struct ModelServer {
    /// The address that the server listens on.
    pub address: SocketAddr,
    behavior: Arc<Mutex<ServerBehavior>>,
    requests: Arc<Mutex<Vec<String>>>,
    connections: Arc<Mutex<usize>>,
}

impl ModelServer {
    /// Starts a prefill server if `prefill` is set, otherwise a decode server.
    pub fn start(prefill: bool, behavior: ServerBehavior) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let server = ModelServer {
            address: listener.local_addr()?,
            behavior: Arc::new(Mutex::new(behavior)),
            requests: Arc::default(),
            connections: Arc::default(),
        };
        let handle = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                *handle.connections.lock().unwrap() += 1;
                let handle = handle.clone();
                thread::spawn(move || handle.serve(prefill, stream));
            }
        });
        Ok(server)
    }

    /// Changes the behavior of the server.
    pub fn set(&self, behavior: ServerBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// All requests that the server has read, each as method, path and request ID.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    /// The requests for prefill or decode, without health checks and release requests.
    pub fn work_requests(&self) -> Vec<String> {
        self.requests().into_iter().filter(|request| request.starts_with("POST")).collect()
    }

    /// The number of connections that the server has accepted.
    pub fn connections(&self) -> usize {
        *self.connections.lock().unwrap()
    }

    fn serve(&self, prefill: bool, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut served = 0;
        while let Some(request) = read_request(&mut reader) {
            self.requests.lock().unwrap().push(format!("{} {}", request.line, request.id));
            let behavior = *self.behavior.lock().unwrap();
            if behavior == ServerBehavior::OncePerConnection && served > 0 {
                return;
            }
            served += 1;
            let sent = match (&request.line[..], behavior) {
                (line, ServerBehavior::Unresponsive) if !line.starts_with("POST") => hang(),
                (HEALTH_CHECK, _) => writer.write_all(empty_response("200 OK", "").as_bytes()),
                (line, _) if line.starts_with("DELETE") => {
                    writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
                }
                _ => respond(&mut writer, prefill, behavior),
            };
            if sent.is_err() {
                return;
            }
        }
    }
}

fn good_response(prefill: bool) -> String {
    if prefill {
        return PREFILL_RESPONSE.to_owned();
    }
    format!("{STREAM_HEAD}{}{}{}0\r\n\r\n", chunk(EVENT), chunk(EVENT), chunk(STREAM_END))
}

fn empty_response(status: &str, header_lines: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{header_lines}Content-Length: 0\r\n\r\n")
}

/// Returns an error, on which the caller closes the connection.
fn close() -> std::io::Result<()> {
    Err(ErrorKind::Other.into())
}

/// Writes the response of a behavior. The caller closes the connection on an error.
fn respond(writer: &mut TcpStream, prefill: bool, behavior: ServerBehavior) -> std::io::Result<()> {
    let good = good_response(prefill);
    let text = match behavior {
        ServerBehavior::Good | ServerBehavior::OncePerConnection => good,
        ServerBehavior::Slow => {
            thread::sleep(SLOW_DELAY);
            good
        }
        ServerBehavior::Declines => empty_response("503 Service Unavailable", "Srv-Declined: 1\r\n"),
        ServerBehavior::Overloaded => empty_response("503 Service Unavailable", ""),
        ServerBehavior::Fails => empty_response("500 Internal Server Error", ""),
        ServerBehavior::CacheMissing => empty_response("410 Gone", "Srv-Declined: 1\r\n"),
        ServerBehavior::Resets => return close(),
        ServerBehavior::Silent | ServerBehavior::Unresponsive => return hang(),
        ServerBehavior::InvalidResponse => "\u{1}\u{2} no answer\r\n\r\n".to_owned(),
        ServerBehavior::EndlessHead => {
            writer.write_all(b"HTTP/1.1 200 OK\r\n")?;
            while writer.write_all(&[b'x'; 4096]).is_ok() {}
            return close();
        }
        ServerBehavior::Interim => {
            let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(INTERIM_RESPONSES);
            interim + &good.replacen("\r\n\r\n", "\r\nSrv-Load: =;x0=much\r\n\r\n", 1)
        }
        ServerBehavior::SecondResponse => format!("{good}{good}"),
        ServerBehavior::BadChunk
        | ServerBehavior::HugeChunk
        | ServerBehavior::InvalidEvent
        | ServerBehavior::SilentInStream => return fail_in_stream(writer, behavior),
    };
    writer.write_all(text.as_bytes())
}

/// Writes a correct first event and then the fault of the behavior.
fn fail_in_stream(writer: &mut TcpStream, behavior: ServerBehavior) -> std::io::Result<()> {
    writer.write_all(format!("{STREAM_HEAD}{}", chunk(EVENT)).as_bytes())?;
    thread::sleep(FIRST_EVENT_TIME);
    match behavior {
        ServerBehavior::BadChunk => writer.write_all(b"zz\r\nwhat\r\n"),
        ServerBehavior::InvalidEvent => writer.write_all(chunk("\u{1}\u{2}\u{3}\n\n").as_bytes()),
        ServerBehavior::SilentInStream => hang(),
        _ => {
            writer.write_all(b"c0000000\r\n")?;
            while writer.write_all(EVENT.as_bytes()).is_ok() {}
            close()
        }
    }
}
