//! The gateway of the chat API as a process, before a decode server in a process of its own and a scripted prefill server.

use super::EVENT_TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PREFILLED: &str =
    r#"{"choices":[],"kv_transfer_params":{"at":"p"},"usage":{"prompt_tokens":3,"completion_tokens":1}}"#;
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A process of the command, with the first address on its ready line.
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

/// An emulated model server in a process of its own.
pub struct StandIn {
    process: Process,
    pub address: SocketAddr,
}

impl StandIn {
    pub fn start(role: &str) -> StandIn {
        let process = Process::start(&["stand-in", "--role", role]);
        StandIn { address: process.address, process }
    }

    /// Stops the process in the middle of whatever it does.
    pub fn stop(&self) {
        let id = self.process.child.id().to_string();
        assert!(Command::new("kill").args(["-STOP", &id]).status().unwrap().success());
    }
}

/// What a prefill server was asked, with the time.
#[derive(Clone)]
struct EngineRequest {
    path: String,
    /// The id by which a KV cache is released.
    cache: String,
    at: Instant,
}

/// A prefill server that answers at once, and notes what it is asked.
pub struct PrefillEngine {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<EngineRequest>>>,
}

impl PrefillEngine {
    pub fn start() -> PrefillEngine {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let engine = PrefillEngine { address: listener.local_addr().unwrap(), requests: Arc::default() };
        let (address, requests) = (engine.address, engine.requests.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let requests = requests.clone();
                thread::spawn(move || serve(stream, address, &requests));
            }
        });
        engine
    }

    /// How long the KV cache of the n-th prefill was kept until its release.
    pub fn kept_of_prefill(&self, number: usize) -> Duration {
        let until = Instant::now() + EVENT_TIMEOUT;
        loop {
            let requests = self.requests.lock().unwrap().clone();
            let prefill = requests.iter().filter(|request| request.path == "/v1/completions").nth(number);
            let released = prefill.and_then(|prefill| {
                let is_release = |request: &&EngineRequest| {
                    request.path == "/v1/kv/release" && request.cache == prefill.cache
                };
                Some(requests.iter().find(is_release)?.at - prefill.at)
            });
            if let Some(kept) = released {
                return kept;
            }
            assert!(Instant::now() < until, "no release of prefill {number}");
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Where decode servers fetch a KV cache.
fn prefilled(address: SocketAddr, id: &str) -> String {
    let transfer = serde_json::json!({
        "do_remote_prefill": true, "remote_request_id": id,
        "remote_host": address.ip().to_string(), "remote_port": address.port(),
    });
    let usage = serde_json::json!({"prompt_tokens": 3, "completion_tokens": 1});
    serde_json::json!({"choices": [], "kv_transfer_params": transfer, "usage": usage}).to_string()
}

fn serve(mut stream: TcpStream, address: SocketAddr, requests: &Mutex<Vec<EngineRequest>>) {
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
        let cache = body["request_id"].as_str().map_or(id, str::to_owned);
        let path = start_line.split(' ').nth(1).unwrap_or_default().to_owned();
        let noted = EngineRequest { path, cache: cache.clone(), at: Instant::now() };
        requests.lock().unwrap().push(noted);
        let body = prefilled(address, &cache);
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The gateway.
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

    /// Asks for a stream; its connection stays open.
    pub fn ask(&self) -> ChatClient {
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

/// A client that waits for its answer.
pub struct ChatClient(TcpStream);

impl ChatClient {
    /// Whether its answer comes whole within the time.
    pub fn ends_within(mut self, time: Duration) -> bool {
        self.0.set_read_timeout(Some(time)).unwrap();
        let mut text = String::new();
        self.0.read_to_string(&mut text).is_ok() && text.contains("[DONE]")
    }
}
