//! System calls of a gateway that fail in the ways the system documents, and a wall clock that is wrong: the process is
//! real, and a preloaded library has its calls fail.

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

/// A gateway that suffers these faults.
fn suffering(faults: &Faults) -> impl Fn(&PathBuf) -> Command + '_ {
    |file| {
        let mut command = command(file);
        faults.preload(&mut command);
        command
    }
}

/// Asks on a connection of its own; the status line, and whether the answer was whole.
fn asked(at: SocketAddr, id: u64) -> (String, bool) {
    let mut client = TcpStream::connect(at).unwrap();
    client.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    client.write_all(request_text(id, "").as_bytes()).unwrap();
    let (status, _, whole) = answer(&mut BufReader::new(client));
    (status, whole)
}

/// How many of so many requests were served whole.
fn served(at: SocketAddr, requests: u64) -> u64 {
    let served = |id: &u64| {
        let (status, whole) = asked(at, *id);
        status.starts_with("HTTP/1.1 200") && whole
    };
    (1..=requests).filter(served).count() as u64
}

#[test]
fn interrupted_and_short_system_calls_lose_no_request() {
    let faults = faults("interrupted");
    let world = PlatformWorld::start_as("interrupted", suffering(&faults));
    faults.set(Fault::Interrupted, 20).unwrap();
    faults.set(Fault::ShortTransfer, 10).unwrap();
    assert_eq!(served(world.at, 200), 200);
    assert!(faults.get(Fault::CallsFailed).unwrap() > 100, "the faults were there");
}

#[test]
fn unwritable_log_does_not_stop_the_gateway() {
    let reader = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let writer = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let entries =
        [entry("r", reader.address, "reader", "active"), entry("w", writer.address, "writer", "active")];
    let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
    let [.., high, low] = std::process::id().to_be_bytes();
    let listen = SocketAddr::from(([127, 77, high, low.max(1)], 9000));
    let file = file("full-log");
    std::fs::write(&file, config(listen, agent.address, &entries.join(","))).unwrap();
    let full = std::fs::File::options().write(true).open("/dev/full").unwrap();
    let mut child = command(&file).stderr(Stdio::from(full)).spawn().unwrap();
    let read_log_until = Instant::now() + EVENT_TIMEOUT;
    while TcpStream::connect(listen).is_err() && child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < read_log_until, "it never listened");
        std::thread::sleep(Duration::from_millis(10));
    }
    let served = child.try_wait().unwrap().is_none() && served(listen, 3) == 3;
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_file(&file);
    assert!(served, "a line of its log that could not be written ended it");
}

#[test]
fn stop_signal_survives_interrupted_system_calls() {
    let faults = faults("stop");
    let mut world = PlatformWorld::start_as("stop-interrupted", suffering(&faults));
    faults.set(Fault::Interrupted, 2).unwrap();
    faults.set(Fault::ShortTransfer, 2).unwrap();
    world.signal("-HUP");
    world.signal("-HUP");
    std::thread::sleep(Duration::from_millis(50));
    world.signal("-TERM");
    let read_log_until = Instant::now() + EVENT_TIMEOUT;
    while world.child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < read_log_until, "it did not take the word to stop");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn unread_log_pipe_does_not_block_the_gateway() {
    let chatty = |file: &PathBuf| {
        let mut command = command(file);
        command.args(["--log-filter", "trace"]);
        command
    };
    let world = PlatformWorld::start_as("unread-log", chatty);
    assert_eq!(served(world.at, 300), 300);
}

#[test]
fn slow_start_ends_despite_a_wrong_wall_clock() {
    const SECOND: i64 = 1_000_000_000;
    for ahead in [-3_600, 3_600] {
        let faults = faults("wall");
        faults.set(Fault::WallOffset, ahead * SECOND).unwrap();
        let reader = ModelServer::start(true, ServerBehavior::Good).unwrap();
        let writer = ModelServer::start(false, ServerBehavior::Good).unwrap();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let started_now = |text: String| text.replace("\"since_ms\":0", &format!("\"since_ms\":{now}"));
        let entries =
            [entry("r", reader.address, "reader", "active"), entry("w", writer.address, "writer", "active")]
                .map(started_now);
        let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
        let name = format!("wall-{ahead}");
        let gateway = Gateway::start_as(&name, suffering(&faults), agent.address, &entries, |text| text);
        // Cold for 5 s; nothing has been admitted yet, so that nothing is sent to a cold server.
        let cold_until = Instant::now() + Duration::from_secs(4);
        let mut id = 1_000;
        while Instant::now() < cold_until {
            id += 1;
            assert!(
                asked(gateway.at, id).0.starts_with("HTTP/1.1 503"),
                "{ahead} s ahead: slow start is skipped"
            );
        }
        std::thread::sleep(Duration::from_secs(2));
        assert_eq!(served(gateway.at, 50), 50, "{ahead} s ahead: slow start does not end");
    }
}

#[test]
fn failed_accepts_do_not_extend_the_client_deadline() {
    let faults = faults("accepts");
    let (reader, writer) = (ScriptedServer::start(), ScriptedServer::start());
    let entries =
        [entry("r", reader.address, "reader", "active"), entry("w", writer.address, "writer", "active")];
    let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
    // A write of this type gets all the time there is.
    let once = |text: String| text.replace("\"free\"", "\"single_shot\"");
    let gateway = Gateway::start_as("accepts", suffering(&faults), agent.address, &entries, once);
    faults.set(Fault::AcceptFails, 1).unwrap();
    let asked = Instant::now();
    let mut client = gateway.connect();
    client.write_all(request_text(1, "").as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    faults.set(Fault::AcceptFails, 0).unwrap();
    let mut read = reader.accept();
    assert!(read.request().starts_with("POST"));
    read.say(READ);
    let request = writer.accept().request();
    let exchange = request.split("Req-Deadline-Ms: ").nth(1).and_then(|rest| rest.split('\r').next());
    let exchange: u128 = exchange.unwrap().parse().unwrap();
    let left = 4_000 - asked.elapsed().as_millis();
    assert!(exchange <= left + 150, "told {exchange} ms of {left}");
}
