//! The gateway's process before an agent that lists a whole service: 4,200 model servers.

mod common;

use common::*;
use petrelshore_emulator::platform::entry;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const SERVERS: usize = 4_200;
/// What a gateway may use for control.
const MEMORY_MIB: u64 = 256;
const BYTES_A_SECOND: u64 = 6_000;
/// How long its control traffic is counted.
const COUNTED: Duration = Duration::from_secs(6);

/// Bytes that an agent has sent and received.
#[derive(Default)]
struct Traffic {
    bytes: AtomicU64,
    wholes: AtomicU64,
}

/// An agent that answers the whole list at once, and a watch with no news at its end.
fn agent(list: String) -> (SocketAddr, Arc<Traffic>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let (address, traffic) = (listener.local_addr().unwrap(), Arc::new(Traffic::default()));
    let counted = traffic.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (list, traffic) = (list.clone(), counted.clone());
            std::thread::spawn(move || {
                let mut asked = [0; 4_096];
                while let Ok(count @ 1..) = stream.read(&mut asked) {
                    let text = String::from_utf8_lossy(&asked[..count]).into_owned();
                    let wait = text.split("timeout_ms=").nth(1).and_then(|rest| rest.split(' ').next());
                    let body = match wait.and_then(|ms| ms.parse().ok()) {
                        Some(ms) => {
                            std::thread::sleep(Duration::from_millis(ms));
                            "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}"
                        }
                        None => {
                            traffic.wholes.fetch_add(1, Ordering::SeqCst);
                            &list
                        }
                    };
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if stream.write_all((head.clone() + body).as_bytes()).is_err() {
                        return;
                    }
                    let bytes = (count + head.len() + body.len()) as u64;
                    traffic.bytes.fetch_add(bytes, Ordering::SeqCst);
                }
            });
        }
    });
    (address, traffic)
}

fn resident_mib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let exchange = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    exchange.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap() / 1_024
}

#[test]
fn full_size_fleet_is_ready_soon_within_resource_limits() {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let entries: Vec<String> = (0..SERVERS)
        .map(|n| {
            entry(&format!("server-{n:05}"), nowhere, ["reader", "writer"][usize::from(n % 4 > 0)], "active")
        })
        .collect();
    let whole = format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","));
    let bytes = whole.len();
    let (address, traffic) = agent(whole);
    let started = Instant::now();
    let gateway = Gateway::start("service", address, &[], |text| text);
    let ready = started.elapsed();
    let late = Instant::now() + EVENT_TIMEOUT;
    while traffic.wholes.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < late, "the list is never asked for");
        std::thread::sleep(Duration::from_millis(1));
    }
    let listed = started.elapsed();
    std::thread::sleep(Duration::from_secs(1));
    let before = traffic.bytes.load(Ordering::SeqCst);
    std::thread::sleep(COUNTED);
    let a_second = (traffic.bytes.load(Ordering::SeqCst) - before) / COUNTED.as_secs();
    let resident = resident_mib(gateway.child.id());
    println!(
        "ready {ready:?}, list of {bytes} bytes asked for after {listed:?}, resident {resident} MiB, watch {a_second} \
         bytes a second"
    );
    assert!(ready < Duration::from_secs(10) && listed < Duration::from_secs(10), "{ready:?}, {listed:?}");
    assert!(resident < MEMORY_MIB, "{resident} MiB");
    assert!(a_second < BYTES_A_SECOND, "{a_second} bytes a second");
    assert_eq!(traffic.wholes.load(Ordering::SeqCst), 1, "the whole list is had once");
}
