//! An emulated discovery agent of the platform.

use super::http::{hang, read_request};
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum number of checks for a change before a poll for a newer list is answered.
const MAX_CHANGE_CHECKS: usize = 100;

/// A version of the endpoint list.
#[derive(Clone)]
struct EndpointList {
    version: u64,
    /// The elements of a JSON array, without its brackets.
    entries: String,
}

/// A discovery agent whose endpoint list can be changed. Its threads run until the process ends.
#[derive(Clone)]
pub struct DiscoveryAgent {
    /// The address that the agent listens on.
    pub address: SocketAddr,
    list: Arc<Mutex<EndpointList>>,
    /// The client ports of the connections that have polled.
    polled_by: Arc<Mutex<BTreeSet<u16>>>,
    polls: Arc<AtomicUsize>,
    silent: Arc<Mutex<bool>>,
}

impl DiscoveryAgent {
    /// Starts an agent whose endpoint list consists of `entries`.
    pub fn start(entries: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let agent = DiscoveryAgent {
            address: listener.local_addr()?,
            list: Arc::new(Mutex::new(EndpointList { version: 1, entries: entries.to_owned() })),
            polled_by: Arc::default(),
            polls: Arc::default(),
            silent: Arc::default(),
        };
        let handle = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handle = handle.clone();
                thread::spawn(move || handle.serve(stream));
            }
        });
        Ok(agent)
    }

    /// Replaces the endpoint list and increments its version.
    pub fn set(&self, entries: &str) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        list.entries = entries.to_owned();
    }

    /// With `silent` set, the agent keeps connections open and leaves polls without a response.
    pub fn silence(&self, silent: bool) {
        *self.silent.lock().unwrap() = silent;
    }

    /// The number of connections that have polled.
    pub fn polling_connections(&self) -> usize {
        self.polled_by.lock().unwrap().len()
    }

    /// The number of polls that have arrived.
    pub fn polls(&self) -> usize {
        self.polls.load(Ordering::Relaxed)
    }

    fn serve(&self, stream: TcpStream) {
        let (Ok(mut writer), Ok(peer)) = (stream.try_clone(), stream.peer_addr()) else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            self.polled_by.lock().unwrap().insert(peer.port());
            self.polls.fetch_add(1, Ordering::Relaxed);
            self.wait_for_change(&request.line);
            if *self.silent.lock().unwrap() {
                let _ = hang();
                return;
            }
            if writer.write_all(self.response().as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Waits for a newer list if the poller already has the current version, up to `MAX_CHANGE_CHECKS` checks.
    fn wait_for_change(&self, line: &str) {
        let since = line.split_once("since=").and_then(|(_, rest)| rest.split('&').next()?.parse().ok());
        for _ in 0..MAX_CHANGE_CHECKS {
            if since != Some(self.list.lock().unwrap().version) {
                return;
            }
            thread::sleep(CHANGE_CHECK_INTERVAL);
        }
    }

    fn response(&self) -> String {
        let EndpointList { version, entries } = self.list.lock().unwrap().clone();
        let body = format!("{{\"index\":{version},\"snapshot\":true,\"endpoints\":[{entries}]}}");
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }
}
