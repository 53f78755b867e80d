//! System calls of a gateway that fail in documented ways, and a wrong wall clock. The gateway is a real process; a
//! preloaded library makes its system calls fail.

mod common;

use common::*;
use petrelshore_emulator::platform::{DiscoveryAgent, ModelServer, ServerBehavior, config, entry};
use petrelshore_soak::shim::{Fault, Faults, Library};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SEED: u64 = 1;

fn library() -> &'static Library {
    static BUILT: OnceLock<Library> = OnceLock::new();
    BUILT.get_or_init(|| {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("faults-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Library::build(&folder).unwrap()
    })
}

fn faults(name: &str) -> Faults {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.words", std::process::id()));
    Faults::new(library(), file, SEED).unwrap()
}

/// Returns a function that builds the gateway command with these faults preloaded.
fn with_faults(faults: &Faults) -> impl Fn(&PathBuf) -> Command + '_ {
    |file| {
        let mut command = platform_command(file);
        faults.preload(&mut command);
        command
    }
}

/// Sends a request on a new connection. Returns the status line, and whether the response was complete.
fn send_request(address: SocketAddr, id: u64) -> (String, bool) {
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    client.write_all(request_text(id, "").as_bytes()).unwrap();
    let (status, _, complete) = read_response(&mut BufReader::new(client));
    (status, complete)
}

/// Sends this number of requests and returns how many of them got a complete response with status 200.
fn count_served(address: SocketAddr, requests: u64) -> u64 {
    let served = |id: &u64| {
        let (status, complete) = send_request(address, *id);
        status.starts_with("HTTP/1.1 200") && complete
    };
    (1..=requests).filter(served).count() as u64
}

#[test]
fn interrupted_and_short_system_calls_lose_no_request() {
    let faults = faults("interrupted");
    let testbed = PlatformTestbed::start_with_command("interrupted", with_faults(&faults));
    faults.set(Fault::Interrupted, 20).unwrap();
    faults.set(Fault::ShortTransfer, 10).unwrap();
    assert_eq!(count_served(testbed.address, 200), 200);
    assert!(
        faults.get(Fault::CallsFailed).unwrap() > 100,
        "too few system calls failed for this test to mean anything"
    );
}

#[test]
fn unwritable_log_does_not_stop_the_gateway() {
    let prefill = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let decode = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let entries =
        [entry("r", prefill.address, "reader", "active"), entry("w", decode.address, "writer", "active")];
    let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
    let [.., high, low] = std::process::id().to_be_bytes();
    let listen = SocketAddr::from(([127, 77, high, low.max(1)], 9000));
    let file = config_path("full-log");
    std::fs::write(&file, config(listen, agent.address, &entries.join(","))).unwrap();
    let full = std::fs::File::options().write(true).open("/dev/full").unwrap();
    let mut child = platform_command(&file).stderr(Stdio::from(full)).spawn().unwrap();
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while TcpStream::connect(listen).is_err() && child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < deadline, "the gateway never listened");
        std::thread::sleep(Duration::from_millis(10));
    }
    let served = child.try_wait().unwrap().is_none() && count_served(listen, 3) == 3;
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_file(&file);
    assert!(served, "a log line that could not be written stopped the gateway");
}

#[test]
fn stop_signal_survives_interrupted_system_calls() {
    let faults = faults("stop");
    let mut testbed = PlatformTestbed::start_with_command("stop-interrupted", with_faults(&faults));
    faults.set(Fault::Interrupted, 2).unwrap();
    faults.set(Fault::ShortTransfer, 2).unwrap();
    testbed.signal("-HUP");
    testbed.signal("-HUP");
    std::thread::sleep(Duration::from_millis(50));
    testbed.signal("-TERM");
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while testbed.child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < deadline, "the gateway did not stop after SIGTERM");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn unread_log_pipe_does_not_block_the_gateway() {
    let with_trace_log = |file: &PathBuf| {
        let mut command = platform_command(file);
        command.args(["--log-filter", "trace"]);
        command
    };
    let testbed = PlatformTestbed::start_with_command("unread-log", with_trace_log);
    assert_eq!(count_served(testbed.address, 300), 300);
}

#[test]
fn slow_start_ends_despite_a_wrong_wall_clock() {
    const SECOND: i64 = 1_000_000_000;
    for ahead in [-3_600, 3_600] {
        let faults = faults("wall");
        faults.set(Fault::WallOffset, ahead * SECOND).unwrap();
        let prefill = ModelServer::start(true, ServerBehavior::Good).unwrap();
        let decode = ModelServer::start(false, ServerBehavior::Good).unwrap();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let started_now = |text: String| text.replace("\"since_ms\":0", &format!("\"since_ms\":{now}"));
        let entries =
            [entry("r", prefill.address, "reader", "active"), entry("w", decode.address, "writer", "active")]
                .map(started_now);
        let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
        let name = format!("wall-{ahead}");
        let gateway =
            Gateway::start_with_command(&name, with_faults(&faults), agent.address, &entries, |text| text);
        // The servers are in slow start for 5 s. Nothing has been admitted yet, so no server gets a request in that
        // time.
        let slow_start_until = Instant::now() + Duration::from_secs(4);
        let mut id = 1_000;
        while Instant::now() < slow_start_until {
            id += 1;
            assert!(
                send_request(gateway.address, id).0.starts_with("HTTP/1.1 503"),
                "wall clock {ahead} s ahead: slow start was skipped"
            );
        }
        std::thread::sleep(Duration::from_secs(2));
        assert_eq!(
            count_served(gateway.address, 50),
            50,
            "wall clock {ahead} s ahead: slow start did not end"
        );
    }
}

#[test]
fn failed_accepts_do_not_extend_the_client_deadline() {
    let faults = faults("accepts");
    let (prefill, decode) = (ScriptedServer::start(), ScriptedServer::start());
    let entries =
        [entry("r", prefill.address, "reader", "active"), entry("w", decode.address, "writer", "active")];
    let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
    // In this class a decode attempt has all the time that the client has left.
    let at_most_once = |text: String| text.replace("\"free\"", "\"single_shot\"");
    let gateway =
        Gateway::start_with_command("accepts", with_faults(&faults), agent.address, &entries, at_most_once);
    faults.set(Fault::AcceptFails, 1).unwrap();
    let sent_at = Instant::now();
    let mut client = gateway.connect();
    client.write_all(request_text(1, "").as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    faults.set(Fault::AcceptFails, 0).unwrap();
    let mut prefill_connection = prefill.accept();
    assert!(prefill_connection.read_request().starts_with("POST"));
    prefill_connection.send(PREFILL_RESPONSE);
    let request = decode.accept().read_request();
    let forwarded = request.split("Req-Deadline-Ms: ").nth(1).and_then(|rest| rest.split('\r').next());
    let forwarded: u128 = forwarded.unwrap().parse().unwrap();
    let left = 4_000 - sent_at.elapsed().as_millis();
    assert!(forwarded <= left + 150, "the forwarded deadline is {forwarded} ms, but {left} ms are left");
}
