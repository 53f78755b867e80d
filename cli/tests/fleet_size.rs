//! The gateway process with a discovery agent that lists a full-size fleet: 4,200 model servers.

mod common;

use common::*;
use petrelshore_emulator::platform::entry;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const SERVERS: usize = 4_200;
/// Limit of a gateway's resident memory, in MiB.
const MAX_RESIDENT_MIB: u64 = 256;
/// Limit of a gateway's control traffic, in both directions together.
const MAX_BYTES_PER_SECOND: u64 = 6_000;
/// The time for which the control traffic is counted.
const COUNTING_TIME: Duration = Duration::from_secs(6);

/// Traffic of a discovery agent.
#[derive(Default)]
struct Traffic {
    /// Bytes that the agent has sent and received.
    bytes: AtomicU64,
    /// Requests for the full list.
    full_list_requests: AtomicU64,
}

/// Starts a discovery agent that answers a full-list request immediately, and a watch at its timeout with no change.
fn start_agent(list: String) -> (SocketAddr, Arc<Traffic>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let (address, traffic) = (listener.local_addr().unwrap(), Arc::new(Traffic::default()));
    let counted = traffic.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (list, traffic) = (list.clone(), counted.clone());
            std::thread::spawn(move || {
                let mut request = [0; 4_096];
                while let Ok(count @ 1..) = stream.read(&mut request) {
                    let text = String::from_utf8_lossy(&request[..count]).into_owned();
                    let wait = text.split("timeout_ms=").nth(1).and_then(|rest| rest.split(' ').next());
                    let body = match wait.and_then(|ms| ms.parse().ok()) {
                        Some(ms) => {
                            std::thread::sleep(Duration::from_millis(ms));
                            "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}"
                        }
                        None => {
                            traffic.full_list_requests.fetch_add(1, Ordering::SeqCst);
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
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    resident.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap() / 1_024
}

#[test]
fn full_size_fleet_is_ready_soon_within_resource_limits() {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let entries: Vec<String> = (0..SERVERS)
        .map(|n| {
            entry(
                &format!("server-{n:05}"),
                unused_address,
                ["reader", "writer"][usize::from(n % 4 > 0)],
                "active",
            )
        })
        .collect();
    let full_list = format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","));
    let bytes = full_list.len();
    let (address, traffic) = start_agent(full_list);
    let started = Instant::now();
    let gateway = Gateway::start("service", address, &[], |text| text);
    let ready_after = started.elapsed();
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while traffic.full_list_requests.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < deadline, "the gateway never requested the list");
        std::thread::sleep(Duration::from_millis(1));
    }
    let list_requested_after = started.elapsed();
    std::thread::sleep(Duration::from_secs(1));
    let before = traffic.bytes.load(Ordering::SeqCst);
    std::thread::sleep(COUNTING_TIME);
    let bytes_per_second = (traffic.bytes.load(Ordering::SeqCst) - before) / COUNTING_TIME.as_secs();
    let resident = resident_mib(gateway.child.id());
    println!(
        "ready {ready_after:?}, list of {bytes} bytes requested after {list_requested_after:?}, resident {resident} MiB, \
         watch {bytes_per_second} bytes a second"
    );
    assert!(
        ready_after < Duration::from_secs(10) && list_requested_after < Duration::from_secs(10),
        "{ready_after:?}, {list_requested_after:?}"
    );
    assert!(resident < MAX_RESIDENT_MIB, "{resident} MiB");
    assert!(bytes_per_second < MAX_BYTES_PER_SECOND, "{bytes_per_second} bytes a second");
    assert_eq!(traffic.full_list_requests.load(Ordering::SeqCst), 1, "the full list is requested once");
}
