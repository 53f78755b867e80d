//! KV caches that are held for model servers whose processes have stopped running.
//!
//! When a decode server's process stopped, its machine still accepted connections and bytes. The gateway wrote the
//! decode request, saw a second connection come up, and took the new connection as proof that the server had received
//! the request. The release timer then stood still, and the KV cache was neither fetched nor released until the attempt
//! timed out seconds later. The cause is that the kernel of a machine answers for a process that does not run.
//! Suspending the server process with a signal reproduces the failure; cutting off its machine does not.

mod common;

use common::chat::{ChatGateway, EmulatedServer, RecordingPrefillServer};
use common::model_server_process::{ModelServerProcess, Role, run_if_requested};
use common::proxy::Proxy;
use common::*;
use petrelshore_emulator::platform::{DiscoveryAgent, ModelServer, ServerBehavior, entry};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const ENTRY_POINT: &str = "model_server_process";
/// The release time in the settings of these tests, within which a KV cache has to be released.
const RELEASE_WITHIN: Duration = Duration::from_millis(500);
const RELEASE_SLACK: Duration = Duration::from_millis(300);
/// A time longer than the idle time after which the gateway reuses a connection.
const REUSE_DELAY: Duration = Duration::from_millis(250);
/// The scope in which servers recognize an idempotency key and the time for which servers recognize the key, for
/// classes with keys.
const KEY_SCOPE: &str = "\"dedupScope\":\"zone\",\"window\":2500000000";
const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[test]
fn model_server_process() {
    run_if_requested();
}

/// A gateway with a prefill server in this process and the given decode servers.
struct Testbed {
    gateway: Gateway,
    prefill: ModelServer,
    _agent: DiscoveryAgent,
}

impl Testbed {
    fn start(name: &str, decode: &[SocketAddr], semantics: &str) -> Testbed {
        Self::start_with(name, decode, semantics, |text| text)
    }

    /// `edit_config` changes the configuration text before the gateway reads it.
    fn start_with(
        name: &str,
        decode: &[SocketAddr],
        semantics: &str,
        edit_config: impl Fn(String) -> String,
    ) -> Testbed {
        let prefill = ModelServer::start(true, ServerBehavior::Good).unwrap();
        let mut entries = vec![entry("p", prefill.address, "reader", "active")];
        entries.extend(
            decode.iter().enumerate().map(|(n, at)| entry(&format!("d{n}"), *at, "writer", "active")),
        );
        let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
        let edit_class =
            |text: String| edit_config(text.replace("\"free\"", &format!("\"{semantics}\",{KEY_SCOPE}")));
        let gateway = Gateway::start(name, agent.address, &entries, edit_class);
        Testbed { gateway, prefill, _agent: agent }
    }

    /// Sends a request and leaves its connection open.
    fn send(&self, id: u64) -> TcpStream {
        let mut client = self.gateway.connect();
        client.write_all(request_text(id, "").as_bytes()).unwrap();
        client
    }

    fn is_served(&self, id: u64) -> bool {
        let (status, _, complete) = read_response(&mut BufReader::new(self.send(id)));
        status.starts_with("HTTP/1.1 200") && complete
    }

    /// Waits for the release of a request's KV cache and returns the time from the prefill to the release.
    fn cache_hold_time(&self, id: u64) -> Duration {
        let prefilled_at = wait_for_request(&self.prefill, "POST", id);
        wait_for_request(&self.prefill, "DELETE", id) - prefilled_at
    }
}

fn assert_released_in_time(hold_time: Duration, what: &str) {
    assert!(hold_time <= RELEASE_WITHIN + RELEASE_SLACK, "{what}: the KV cache was held for {hold_time:?}");
}

#[test]
fn cache_behind_stopped_server_is_released_on_pooled_connection() {
    for semantics in ["free", "single_shot", "guarded"] {
        let decode = ModelServerProcess::start(ENTRY_POINT, Role::Decode);
        let testbed = Testbed::start(&format!("stopped-pooled-{semantics}"), &[decode.address], semantics);
        assert!(testbed.is_served(1));
        std::thread::sleep(REUSE_DELAY);
        decode.suspend();
        let _client = testbed.send(2);
        assert_released_in_time(testbed.cache_hold_time(2), semantics);
    }
}

#[test]
fn cache_behind_stopped_server_is_released_on_new_connection() {
    for semantics in ["free", "single_shot", "guarded"] {
        let decode = ModelServerProcess::start(ENTRY_POINT, Role::Decode);
        // The gateway has not served any request yet.
        let config_edits: [fn(String) -> String; 2] = [|text| text, with_health_checks];
        for edit_config in config_edits {
            let name = format!("stopped-new-{semantics}");
            let testbed = Testbed::start_with(&name, &[decode.address], semantics, edit_config);
            decode.suspend();
            let _client = testbed.send(1);
            assert_released_in_time(testbed.cache_hold_time(1), semantics);
            decode.resume();
        }
    }
}

#[test]
fn cache_behind_silent_connection_is_fetched_or_released_in_time() {
    for semantics in ["free", "single_shot", "guarded"] {
        let decode = ModelServer::start(false, ServerBehavior::Good).unwrap();
        let proxy = Proxy::start(decode.address);
        let testbed = Testbed::start(&format!("silent-{semantics}"), &[proxy.address], semantics);
        assert!(testbed.is_served(1));
        std::thread::sleep(REUSE_DELAY);
        proxy.silence_open_connections();
        // The server is running, and new connections to it work.
        let started = Instant::now();
        assert!(testbed.is_served(2), "{semantics}");
        assert_released_in_time(started.elapsed(), semantics);
    }
}

#[test]
fn gateway_of_the_chat_api_releases_cache_behind_stopped_server() {
    for pooled in [false, true] {
        let decode = EmulatedServer::start("writer");
        let prefill = RecordingPrefillServer::start();
        let gateway = ChatGateway::start(&format!("stopped-{pooled}"), prefill.address, decode.address);
        if pooled {
            gateway.wait_until_served();
            std::thread::sleep(REUSE_DELAY);
        }
        let prefills = prefill.prefills();
        decode.suspend();
        let _client = gateway.send_request();
        let hold_time = prefill.cache_hold_time(prefills);
        assert_released_in_time(hold_time, if pooled { "pooled" } else { "new" });
    }
}

/// Waits until a server has received a request with this method and id, and returns the time at which the request was
/// seen.
fn wait_for_request(server: &ModelServer, method: &str, id: u64) -> Instant {
    let id = format!("{id:016x}");
    let deadline = Instant::now() + EVENT_TIMEOUT;
    loop {
        let requests = server.requests();
        if requests.iter().any(|request| request.starts_with(method) && request.contains(&id)) {
            return Instant::now();
        }
        assert!(Instant::now() < deadline, "the server received no {method} for {id}: {requests:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Starts a gateway with the prefill server at `prefill` and a decode server that is reached at `decode_address`, answers
/// the first request, and accepts later requests without answering them.
fn start_with_silent_decode(
    name: &str,
    prefill: SocketAddr,
    decode: &ModelServer,
    decode_address: SocketAddr,
) -> (Gateway, DiscoveryAgent) {
    let entries = [entry("p", prefill, "reader", "active"), entry("d", decode_address, "writer", "active")];
    let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
    let gateway = Gateway::start(name, agent.address, &entries, with_health_checks);
    let mut first = gateway.connect();
    first.write_all(request_text(1, "").as_bytes()).unwrap();
    assert!(read_response(&mut BufReader::new(first)).2);
    std::thread::sleep(REUSE_DELAY);
    decode.set(ServerBehavior::Silent);
    (gateway, agent)
}

#[test]
fn release_is_sent_again_where_its_connection_has_fallen_silent() {
    let prefill = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let decode = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let (proxy, decode_proxy) = (Proxy::start(prefill.address), Proxy::start(decode.address));
    let (gateway, _agent) =
        start_with_silent_decode("release-silent", proxy.address, &decode, decode_proxy.address);
    let mut client = gateway.connect();
    client.write_all(request_text(2, "").as_bytes()).unwrap();
    wait_for_request(&decode, "POST", 2);
    std::thread::sleep(REUSE_DELAY);
    proxy.silence_open_connections();
    // The decode server could relay the release. Without it only a new connection to the prefill server is left.
    decode_proxy.silence_all_connections();
    drop(client);
    let disconnected_at = Instant::now();
    assert_released_in_time(wait_for_request(&prefill, "DELETE", 2) - disconnected_at, "silent connection");
}

#[test]
fn release_goes_by_way_of_another_server_where_its_own_has_stopped() {
    let prefill = ModelServerProcess::start(ENTRY_POINT, Role::Prefill);
    let decode = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let (gateway, _agent) =
        start_with_silent_decode("release-stopped", prefill.address, &decode, decode.address);
    let mut client = gateway.connect();
    client.write_all(request_text(2, "").as_bytes()).unwrap();
    wait_for_request(&decode, "POST", 2);
    prefill.suspend();
    drop(client);
    let disconnected_at = Instant::now();
    assert_released_in_time(wait_for_request(&decode, "DELETE", 2) - disconnected_at, "stopped server");
}
