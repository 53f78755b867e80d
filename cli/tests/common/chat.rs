//! The chat gateway as a process, with a decode server in a separate process and a scripted prefill server.

use super::EVENT_TIMEOUT;
use super::signals::suspend;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PREFILL_RESPONSE: &str =
    r#"{"choices":[],"kv_transfer_params":{"at":"p"},"usage":{"prompt_tokens":3,"completion_tokens":1}}"#;
const PREFILL_PATH: &str = "/v1/completions";
/// The header of a response to a request that may be sent again.
const RETRYABLE: &str = "x-should-retry: true";
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A process of the `petrelshore` command, with the first address of its ready line.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start(arguments: &[&str]) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_petrelshore"))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let ready = lines.next().unwrap().unwrap();
        let address = ready.split([' ', ',']).find_map(|word| word.parse().ok()).unwrap();
        thread::spawn(move || lines.for_each(drop));
        Process { child, address }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An emulated model server in a separate process.
pub struct EmulatedServer {
    process: Process,
    pub address: SocketAddr,
}

impl EmulatedServer {
    pub fn start(role: &str) -> EmulatedServer {
        let process = Process::start(&["stand-in", "--role", role]);
        EmulatedServer { address: process.address, process }
    }

    /// Suspends the process with SIGSTOP. No thread of it runs any more on return.
    pub fn suspend(&self) {
        suspend(self.process.child.id());
    }
}

/// A request that the prefill server received.
#[derive(Clone)]
struct ReceivedRequest {
    path: String,
    /// The id that a release request names for the KV cache.
    cache_id: String,
    received_at: Instant,
}

/// A prefill server that answers immediately and records each request.
pub struct RecordingPrefillServer {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl RecordingPrefillServer {
    pub fn start() -> RecordingPrefillServer {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let server =
            RecordingPrefillServer { address: listener.local_addr().unwrap(), requests: Arc::default() };
        let (address, requests) = (server.address, server.requests.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let requests = requests.clone();
                thread::spawn(move || serve_connection(stream, address, &requests));
            }
        });
        server
    }

    /// Returns the number of prefill requests that were received.
    pub fn prefills(&self) -> usize {
        let requests = self.requests.lock().unwrap();
        requests.iter().filter(|request| request.path == PREFILL_PATH).count()
    }

    /// Waits for the release of the n-th prefill's KV cache (counted from 0) and returns the time from the prefill
    /// request to the release.
    pub fn cache_hold_time(&self, number: usize) -> Duration {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        loop {
            let requests = self.requests.lock().unwrap().clone();
            let prefill = requests.iter().filter(|request| request.path == PREFILL_PATH).nth(number);
            let released = prefill.and_then(|prefill| {
                let is_release = |request: &&ReceivedRequest| {
                    request.path == "/v1/kv/release" && request.cache_id == prefill.cache_id
                };
                Some(requests.iter().find(is_release)?.received_at - prefill.received_at)
            });
            if let Some(hold_time) = released {
                return hold_time;
            }
            assert!(Instant::now() < deadline, "no release of prefill {number}");
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Returns the body of a prefill response, which tells decode servers where to fetch the KV cache.
fn prefill_response(address: SocketAddr, id: &str) -> String {
    let transfer = serde_json::json!({
        "do_remote_prefill": true, "remote_request_id": id,
        "remote_host": address.ip().to_string(), "remote_port": address.port(),
    });
    let usage = serde_json::json!({"prompt_tokens": 3, "completion_tokens": 1});
    serde_json::json!({"choices": [], "kv_transfer_params": transfer, "usage": usage}).to_string()
}

fn serve_connection(mut stream: TcpStream, address: SocketAddr, requests: &Mutex<Vec<ReceivedRequest>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    loop {
        let (mut start_line, mut id, mut length) = (String::new(), String::new(), 0);
        if reader.read_line(&mut start_line).unwrap_or(0) == 0 {
            return;
        }
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).unwrap();
            match line.trim().split_once(": ") {
                Some(("content-length", value)) => length = value.parse().unwrap(),
                Some(("x-request-id", value)) => id = value.to_owned(),
                Some(_) => {}
                None => break,
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).unwrap();
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
        let cache_id = body["request_id"].as_str().map_or(id, str::to_owned);
        let path = start_line.split(' ').nth(1).unwrap_or_default().to_owned();
        let received = ReceivedRequest { path, cache_id: cache_id.clone(), received_at: Instant::now() };
        requests.lock().unwrap().push(received);
        let body = prefill_response(address, &cache_id);
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// A running chat gateway.
pub struct ChatGateway {
    process: Process,
    folder: PathBuf,
}

impl Drop for ChatGateway {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl ChatGateway {
    pub fn start(name: &str, prefill: SocketAddr, decode: SocketAddr) -> ChatGateway {
        let folder = std::env::temp_dir().join(format!("petrelshore-chat-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let settings = r#"{
          name = "gw", zone = "here", listen.chat = "127.0.0.1:0",
          inventory = { file = "boxes.csv", kept = "last.json" },
          kinds.reader = { role = 'reader, memory_tokens = 100000 },
          kinds.writer = { role = 'writer, memory_tokens = 100000 },
          traffic.ask = { models = ["ask"], utility = 1, latency_slo = "2s", abandon_time = "8s" },
          open = true, drain_time = "1s",
        }"#;
        std::fs::write(folder.join("gateway.ncl"), settings).unwrap();
        let list = format!("name,kind,address,zone\np,reader,{prefill},here\nd,writer,{decode},here\n");
        std::fs::write(folder.join("boxes.csv"), list).unwrap();
        let process = Process::start(&["serve", folder.join("gateway.ncl").to_str().unwrap()]);
        ChatGateway { process, folder }
    }

    /// Sends requests until one is served. On a busy machine the gateway may reject a request because it has heard
    /// nothing of a server in time. Panics if no request is served for [`EVENT_TIMEOUT`], or if one fails otherwise.
    pub fn wait_until_served(&self) {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        loop {
            let response = self.send_request().response(EVENT_TIMEOUT);
            if response.contains("[DONE]") {
                return;
            }
            assert!(response.contains(RETRYABLE) && Instant::now() < deadline, "{response}");
        }
    }

    /// Sends a streaming chat request and leaves its connection open.
    pub fn send_request(&self) -> ChatClient {
        let body =
            r#"{"model":"ask","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"why"}]}"#;
        let mut stream = TcpStream::connect(self.process.address).unwrap();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + body).as_bytes()).unwrap();
        ChatClient(stream)
    }
}

/// A client connection with a request in flight.
pub struct ChatClient(TcpStream);

impl ChatClient {
    /// Reads the response until its connection ends, and panics after a pause longer than `timeout`.
    fn response(mut self, timeout: Duration) -> String {
        self.0.set_read_timeout(Some(timeout)).unwrap();
        let mut response = Vec::new();
        self.0.read_to_end(&mut response).unwrap();
        String::from_utf8_lossy(&response).into_owned()
    }
}
