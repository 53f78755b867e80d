//! The `petrelshore` command as a process: start, reload, stop, and the message of a failed start.

use futures_lite::future;
use petrelshore_e2e::client::{Observation, Question};
use petrelshore_e2e::grpc_client;
use petrelshore_emulator::record::FinalOutcome;
use petrelshore_soak::shim::{Fault, Faults, Library};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A process that is killed when its test ends.
struct Running {
    child: Child,
    address: SocketAddr,
    /// The address of the second listener, if there is one.
    second: Option<SocketAddr>,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn petrelshore(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_petrelshore"));
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Starts a process and reads its addresses from its ready line.
fn start(arguments: &[&str]) -> Running {
    let mut child = petrelshore(arguments).stderr(Stdio::null()).spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let ready = lines.next().unwrap().unwrap();
    let mut addresses = ready.split([' ', ',']).filter_map(|word| word.parse::<SocketAddr>().ok());
    let address = addresses.next().unwrap_or_else(|| panic!("no address in '{ready}'"));
    let second = addresses.next();
    std::thread::spawn(move || lines.for_each(drop));
    Running { child, address, second }
}

fn signal(running: &Running, name: &str) {
    let status = Command::new("kill").args([name, &running.child.id().to_string()]).status().unwrap();
    assert!(status.success());
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("petrelshore-daemon-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn write_settings(folder: &Path, drain: &str) -> String {
    let text = format!(
        r#"{{
      name = "gw", zone = "here", listen.chat = "127.0.0.1:0",
      inventory = {{ file = "boxes.csv", kept = "last.json" }},
      kinds.mixed = {{ role = 'mixed, memory_tokens = 100000 }},
      traffic.ask = {{ models = ["ask"], utility = 1, latency_slo = "2s", abandon_time = "8s" }},
      open = true, drain_time = "{drain}",
    }}"#
    );
    let file = folder.join("gateway.ncl");
    std::fs::write(&file, text).unwrap();
    file.to_str().unwrap().to_owned()
}

fn write_list(folder: &Path, servers: &[(&str, SocketAddr)]) {
    let rows: String = servers.iter().map(|(name, at)| format!("{name},mixed,{at},here\n")).collect();
    std::fs::write(folder.join("boxes.csv"), format!("name,kind,address,zone\n{rows}")).unwrap();
}

/// Sends a streaming chat request and returns the open socket.
fn send_request(to: SocketAddr, tokens: u32) -> TcpStream {
    let body = format!(
        r#"{{"model":"ask","stream":true,"max_tokens":{tokens},"messages":[{{"role":"user","content":"why"}}]}}"#
    );
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).unwrap();
    stream
}

fn read_to_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

fn exit_code(running: &mut Running) -> Option<i32> {
    let deadline = Instant::now() + Duration::from_secs(30);
    while Instant::now() < deadline {
        if let Some(status) = running.child.try_wait().unwrap() {
            return status.code();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

fn stand_in(name: &str, token_ms: &str) -> Running {
    start(&["stand-in", "--role", "mixed", "--name", name, "--token-ms", token_ms])
}

#[test]
fn sigterm_completes_streams_and_rejects_new_requests() {
    let folder = folder("term");
    let server = stand_in("one", "20");
    write_list(&folder, &[("one", server.address)]);
    let mut gateway = start(&["serve", &write_settings(&folder, "20s")]);
    let mut stream = send_request(gateway.address, 30);
    let mut first = [0u8; 1];
    stream.read_exact(&mut first).unwrap();
    signal(&gateway, "-TERM");
    std::thread::sleep(Duration::from_millis(150));
    let late = read_to_end(send_request(gateway.address, 3));
    assert!(late.contains("503") && late.contains("draining") && late.contains("retry-after"), "{late}");
    let text = read_to_end(stream);
    assert!(text.contains("t30 ") && text.contains("[DONE]"), "{text}");
    assert_eq!(exit_code(&mut gateway), Some(0));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn streams_past_the_drain_timeout_get_a_final_answer() {
    let folder = folder("drain");
    let server = stand_in("one", "100");
    write_list(&folder, &[("one", server.address)]);
    let mut gateway = start(&["serve", &write_settings(&folder, "300ms")]);
    let mut stream = send_request(gateway.address, 900);
    let mut first = [0u8; 1];
    stream.read_exact(&mut first).unwrap();
    signal(&gateway, "-TERM");
    let text = read_to_end(stream);
    assert!(text.contains("\"code\":\"aborted\"") && !text.contains("[DONE]"), "{text}");
    assert_eq!(exit_code(&mut gateway), Some(0));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn sighup_reloads_the_inventory_and_rejects_a_bad_one() {
    let folder = folder("hup");
    let (old, new) = (stand_in("old", "20"), stand_in("new", "5"));
    write_list(&folder, &[("old", old.address)]);
    let gateway = start(&["serve", &write_settings(&folder, "5s")]);
    let mut stream = send_request(gateway.address, 60);
    let mut first = [0u8; 1];
    stream.read_exact(&mut first).unwrap();
    write_list(&folder, &[("new", new.address)]);
    signal(&gateway, "-HUP");
    let text = read_to_end(stream);
    assert!(text.contains("t60 ") && text.contains("[DONE]"), "{text}");
    drop(old);
    // Only the new server is left, and it is in slow start: it answers as its share of the load allows.
    let served = || (0..20).any(|_| read_to_end(send_request(gateway.address, 3)).contains("[DONE]"));
    assert!(served());
    std::fs::write(folder.join("boxes.csv"), "name,kind,address,zone\nnew,mixed,127.0").unwrap();
    signal(&gateway, "-HUP");
    std::thread::sleep(Duration::from_millis(200));
    assert!(served());
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn operator_listener_serves_health_and_metrics() {
    let folder = folder("operator");
    let server = stand_in("one", "5");
    write_list(&folder, &[("one", server.address)]);
    let file = write_settings(&folder, "5s");
    let text = std::fs::read_to_string(&file).unwrap();
    let listeners = "listen = { chat = \"127.0.0.1:0\", operator = \"127.0.0.1:0\" }";
    std::fs::write(&file, text.replace("listen.chat = \"127.0.0.1:0\"", listeners)).unwrap();
    let gateway = start(&["serve", &file]);
    assert!(read_to_end(send_request(gateway.address, 3)).contains("[DONE]"));
    let get = |path: &str| {
        let mut stream = TcpStream::connect(gateway.second.unwrap()).unwrap();
        stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").as_bytes()).unwrap();
        read_to_end(stream)
    };
    assert!(get("/health").contains("ready"));
    let metrics = get("/metrics");
    assert!(
        metrics.contains("petrelshore_sequences_generated_total 1") && metrics.contains("# HELP"),
        "{metrics}"
    );
    assert!(get("/other").starts_with("HTTP/1.1 404"));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn sigterm_completes_a_running_grpc_stream() {
    let folder = folder("grpc");
    let server = stand_in("one", "10");
    write_list(&folder, &[("one", server.address)]);
    let file = write_settings(&folder, "20s");
    let text = std::fs::read_to_string(&file).unwrap();
    let listeners = "listen = { chat = \"127.0.0.1:0\", grpc = \"127.0.0.1:0\" }";
    std::fs::write(&file, text.replace("listen.chat = \"127.0.0.1:0\"", listeners)).unwrap();
    let mut gateway = start(&["serve", &file]);
    let grpc = gateway.second.unwrap();
    let (mut seen, mut stop_sent) = (Observation::nothing(), false);
    let exchange = async {
        let (mut sender, driver) = grpc_client::connect(grpc).await.expect("the gateway does not listen");
        let asked = async {
            let response = grpc_client::call(&mut sender, &Question::new("ask", "why", 100)).await.unwrap();
            // The gateway gets SIGTERM when the first token arrives.
            let first = |_| {
                if !std::mem::replace(&mut stop_sent, true) {
                    signal(&gateway, "-TERM");
                }
            };
            grpc_client::read_with(response, Instant::now(), &mut seen, first).await;
        };
        let drive = async {
            let _ = driver.await;
            future::pending().await
        };
        future::or(asked, drive).await;
    };
    future::block_on(exchange);
    assert_eq!((seen.outcome, seen.tokens), (FinalOutcome::Completed, 100), "{seen:?}");
    assert_eq!(exit_code(&mut gateway), Some(0));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn failed_start_prints_one_line_and_fails() {
    let folder = folder("bad");
    let file = write_settings(&folder, "5s");
    let run = |arguments: &[&str]| -> (Option<i32>, String) {
        let Output { status, stderr, .. } = petrelshore(arguments).output().unwrap();
        (status.code(), String::from_utf8(stderr).unwrap())
    };
    let (code, stderr) = run(&["serve", &file]);
    assert!(code == Some(1) && stderr.contains("boxes.csv"), "{stderr}");
    write_list(&folder, &[("one", "127.0.0.1:9".parse().unwrap())]);
    let (code, stderr) = run(&["check", &file]);
    assert_eq!(code, Some(0), "{stderr}");
    std::fs::write(folder.join("boxes.csv"), "name,kind,address,zone\none,mixed,there,here\n").unwrap();
    let (code, stderr) = run(&["check", &file]);
    assert!(code == Some(1) && stderr.contains("boxes.csv:2: field address"), "{stderr}");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    write_list(&folder, &[("one", "127.0.0.1:9".parse().unwrap())]);
    let text = std::fs::read_to_string(&file).unwrap().replace("127.0.0.1:0", &address);
    std::fs::write(&file, text).unwrap();
    let (code, stderr) = run(&["serve", &file]);
    assert!(code == Some(1) && stderr.contains(&address), "{stderr}");
    let (code, stderr) = run(&["serve", "/nowhere.ncl"]);
    assert!(code == Some(1) && stderr.lines().count() == 1 && stderr.contains("/nowhere.ncl"), "{stderr}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn failed_list_storage_is_retried() {
    let folder = folder("full-disk");
    let library = Library::build(&folder).unwrap();
    let faults = Faults::new(&library, folder.join("words"), 1).unwrap();
    write_list(&folder, &[("one", SocketAddr::from(([127, 0, 0, 1], 9)))]);
    let settings = write_settings(&folder, "1s");
    faults.set(Fault::DiskFails, 1).unwrap();
    let mut command = petrelshore(&["serve", &settings]);
    faults.preload(&mut command);
    let mut child = command.stderr(Stdio::null()).spawn().unwrap();
    let mut ready = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut ready).unwrap();
    assert!(!folder.join("last.json").exists(), "the list was stored although every disk write fails");
    faults.set(Fault::DiskFails, 0).unwrap();
    let deadline = Instant::now() + Duration::from_secs(10);
    while !folder.join("last.json").exists() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(20));
    }
    let stored = std::fs::read_to_string(folder.join("last.json"));
    let _ = child.kill();
    let _ = child.wait();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(
        stored.is_ok_and(|text| text.contains("one")),
        "the applied list was not stored after the disk recovered"
    );
}

#[test]
fn chat_api_survives_interrupted_calls_and_failed_connects() {
    let folder = folder("interrupted");
    let library = Library::build(&folder).unwrap();
    let faults = Faults::new(&library, folder.join("words"), 1).unwrap();
    let server = stand_in("one", "2");
    write_list(&folder, &[("one", server.address)]);
    let settings = write_settings(&folder, "1s");
    let mut command = petrelshore(&["serve", &settings]);
    faults.preload(&mut command);
    let mut child = command.stderr(Stdio::null()).spawn().unwrap();
    let mut ready = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut ready).unwrap();
    let address = ready.split([' ', ',']).find_map(|word| word.parse::<SocketAddr>().ok()).unwrap();
    faults.set(Fault::Interrupted, 20).unwrap();
    faults.set(Fault::ConnectFails, 3).unwrap();
    let served = (0..60).filter(|_| read_to_end(send_request(address, 3)).contains("[DONE]")).count();
    let _ = child.kill();
    let _ = child.wait();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(served, 60);
}

/// The index of the server that received a request, and the request's text.
type ReceivedRequest = (usize, String);

/// Reads the next request, head and body, on a connection. Returns an empty string if the connection ends.
fn read_request(lines: &mut BufReader<TcpStream>) -> String {
    let (mut text, mut length) = (String::new(), 0);
    loop {
        let from = text.len();
        if lines.read_line(&mut text).unwrap_or(0) == 0 {
            return String::new();
        }
        let line = text[from..].to_lowercase();
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.trim().parse().unwrap();
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    lines.read_exact(&mut body).unwrap();
    text + std::str::from_utf8(&body).unwrap()
}

#[test]
fn removed_prefill_server_still_gets_its_release() {
    let folder = folder("delisted");
    let (seen, names) = (Arc::new(Mutex::new(Vec::<ReceivedRequest>::new())), ["r1", "r2", "w1", "w2"]);
    let listeners = names.map(|_| TcpListener::bind(("127.0.0.1", 0)).unwrap());
    let addresses = [0, 1, 2, 3].map(|n| listeners[n].local_addr().unwrap());
    for (n, listener) in listeners.into_iter().enumerate() {
        let seen = seen.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let seen = seen.clone();
                std::thread::spawn(move || {
                    let mut lines = BufReader::new(stream);
                    loop {
                        let text = read_request(&mut lines);
                        if text.is_empty() {
                            return;
                        }
                        seen.lock().unwrap().push((n, text));
                        if n >= 2 {
                            // The decode servers never answer, so that the KV cache stays held.
                            continue;
                        }
                        let answer = r#"{"kv_transfer_params":{"a":1},"usage":{"prompt_tokens":3}}"#;
                        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", answer.len());
                        let _ = lines.get_mut().write_all((head + answer).as_bytes());
                    }
                });
            }
        });
    }
    let list = |without: Option<usize>| {
        let row = |n: usize| {
            let kind = if n < 2 { "reader" } else { "writer" };
            format!("{},{kind},{},here\n", names[n], addresses[n])
        };
        let rows: String = (0..4).filter(|n| Some(*n) != without).map(row).collect();
        std::fs::write(folder.join("boxes.csv"), format!("name,kind,address,zone\n{rows}")).unwrap();
    };
    list(None);
    let file = write_settings(&folder, "1s");
    let kinds = "kinds.reader = { role = 'reader, memory_tokens = 100000 },\n\
                 kinds.writer = { role = 'writer, memory_tokens = 100000 },";
    let text = std::fs::read_to_string(&file).unwrap();
    let mixed = text.lines().find(|line| line.contains("kinds.mixed")).unwrap().to_owned();
    std::fs::write(&file, text.replace(&mixed, kinds)).unwrap();
    let gateway = start(&["serve", &file]);
    let client = send_request(gateway.address, 3);
    let wait_for = |what: &str, condition: &dyn Fn(&[ReceivedRequest]) -> bool| {
        let deadline = Instant::now() + Duration::from_secs(5);
        while !condition(&seen.lock().unwrap()) {
            assert!(Instant::now() < deadline, "timed out waiting until {what}: {:?}", seen.lock().unwrap());
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    wait_for("the decode request is sent", &|seen| seen.iter().any(|(n, _)| *n >= 2));
    let prefill = seen.lock().unwrap()[0].0;
    list(Some(prefill));
    signal(&gateway, "-HUP");
    std::thread::sleep(Duration::from_millis(200));
    drop(client);
    let released = |seen: &[ReceivedRequest]| seen.iter().filter(|(n, _)| *n == prefill).count() >= 2;
    wait_for("the prefill server receives the release", &released);
    drop(gateway);
    std::fs::remove_dir_all(&folder).unwrap();
}
