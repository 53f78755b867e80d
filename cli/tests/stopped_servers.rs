//! Incident: KV caches were kept behind model servers whose processes had stopped.
//!
//! Seen: prompts were prefilled, the decode requests written, and for seconds nothing took them; the KV caches were
//! neither fetched nor released. Course: the process of a decode server stopped running. Its machine went on: connections
//! to it were established and bytes accepted. The gateway had its request written, saw a second connection come up, and
//! took that as the proof that the server has the request: the time of the KV cache stood still until the attempt's own
//! timeout. Cause: what answers for a machine was taken as the answer of a server. Proof: a server process that is
//! stopped by a signal, in these tests, gives the same course; one whose machine is cut off does not.

mod common;

use common::chat::{ChatGateway, PrefillEngine, StandIn};
use common::model_server_process::{ModelServerProcess, Role, run_if_asked};
use common::proxy::Proxy;
use common::*;
use petrelshore_emulator::platform::{DiscoveryAgent, ModelServer, ServerBehavior, entry};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const ENTRY_POINT: &str = "model_server_process";
/// A KV cache must be released within this, by the settings of these tests.
const RELEASE_WITHIN: Duration = Duration::from_millis(500);
const RELEASE_SLACK: Duration = Duration::from_millis(300);
/// For how long a connection has to be idle before it is used again, and some more.
const REUSE_DELAY: Duration = Duration::from_millis(250);
/// Where and for how long servers know an idempotency key, for classes that have one.
const KEY_SCOPE: &str = "\"dedupScope\":\"zone\",\"window\":2500000000";
const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[test]
fn model_server_process() {
    run_if_asked();
}

/// A gateway before a prefill server of this process and decode servers of others.
struct World {
    gateway: Gateway,
    prefill: ModelServer,
    _agent: DiscoveryAgent,
}

impl World {
    fn start(name: &str, decode: &[SocketAddr], semantics: &str) -> World {
        Self::start_with(name, decode, semantics, |text| text)
    }

    /// With a configuration that is changed so.
    fn start_with(
        name: &str,
        decode: &[SocketAddr],
        semantics: &str,
        change: impl Fn(String) -> String,
    ) -> World {
        let prefill = ModelServer::start(true, ServerBehavior::Good).unwrap();
        let mut entries = vec![entry("p", prefill.address, "reader", "active")];
        entries.extend(
            decode.iter().enumerate().map(|(n, at)| entry(&format!("d{n}"), *at, "writer", "active")),
        );
        let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
        let of_class =
            |text: String| change(text.replace("\"free\"", &format!("\"{semantics}\",{KEY_SCOPE}")));
        let gateway = Gateway::start(name, agent.address, &entries, of_class);
        World { gateway, prefill, _agent: agent }
    }

    /// Sends a request; its connection stays open.
    fn send(&self, id: u64) -> TcpStream {
        let mut client = self.gateway.connect();
        client.write_all(request_text(id, "").as_bytes()).unwrap();
        client
    }

    fn is_served(&self, id: u64) -> bool {
        let (status, _, whole) = answer(&mut BufReader::new(self.send(id)));
        status.starts_with("HTTP/1.1 200") && whole
    }

    /// How long the KV cache of a request was kept: from its prefill to its release.
    fn kept(&self, id: u64) -> Duration {
        let prefilled = seen_at(&self.prefill, "POST", id);
        seen_at(&self.prefill, "DELETE", id) - prefilled
    }
}

fn assert_released_in_time(kept: Duration, what: &str) {
    assert!(kept <= RELEASE_WITHIN + RELEASE_SLACK, "{what}: the KV cache was kept for {kept:?}");
}

#[test]
fn cache_behind_stopped_server_is_released_on_pooled_connection() {
    for semantics in ["free", "single_shot", "guarded"] {
        let decode = ModelServerProcess::start(ENTRY_POINT, Role::Decode);
        let world = World::start(&format!("stopped-pooled-{semantics}"), &[decode.address], semantics);
        assert!(world.is_served(1));
        std::thread::sleep(REUSE_DELAY);
        decode.stop();
        let _client = world.send(2);
        assert_released_in_time(world.kept(2), semantics);
    }
}

#[test]
fn cache_behind_stopped_server_is_released_on_new_connection() {
    for semantics in ["free", "single_shot", "guarded"] {
        let decode = ModelServerProcess::start(ENTRY_POINT, Role::Decode);
        // The gateway has not served any request yet.
        let changes: [fn(String) -> String; 2] = [|text| text, with_health_checks];
        for change in changes {
            let name = format!("stopped-new-{semantics}");
            let world = World::start_with(&name, &[decode.address], semantics, change);
            decode.stop();
            let _client = world.send(1);
            assert_released_in_time(world.kept(1), semantics);
            decode.resume();
        }
    }
}

#[test]
fn cache_behind_silent_connection_is_fetched_or_released_in_time() {
    for semantics in ["free", "single_shot", "guarded"] {
        let decode = ModelServer::start(false, ServerBehavior::Good).unwrap();
        let proxy = Proxy::start(decode.address);
        let world = World::start(&format!("silent-{semantics}"), &[proxy.address], semantics);
        assert!(world.is_served(1));
        std::thread::sleep(REUSE_DELAY);
        proxy.silence_open_connections();
        // The server runs, and new connections to it work.
        let started = Instant::now();
        assert!(world.is_served(2), "{semantics}");
        assert_released_in_time(started.elapsed(), semantics);
    }
}

#[test]
fn gateway_of_the_chat_api_releases_cache_behind_stopped_server() {
    for pooled in [false, true] {
        let decode = StandIn::start("writer");
        let prefill = PrefillEngine::start();
        let gateway = ChatGateway::start(&format!("stopped-{pooled}"), prefill.address, decode.address);
        if pooled {
            assert!(gateway.ask().ends_within(EVENT_TIMEOUT));
            std::thread::sleep(REUSE_DELAY);
        }
        decode.stop();
        let _client = gateway.ask();
        let kept = prefill.kept_of_prefill(usize::from(pooled));
        assert_released_in_time(kept, if pooled { "pooled" } else { "new" });
    }
}

/// Waits until a server has seen a request that starts so for this id; when that was seen.
fn seen_at(server: &ModelServer, method: &str, id: u64) -> Instant {
    let id = format!("{id:016x}");
    let until = Instant::now() + EVENT_TIMEOUT;
    loop {
        let requests = server.requests();
        if requests.iter().any(|request| request.starts_with(method) && request.contains(&id)) {
            return Instant::now();
        }
        assert!(Instant::now() < until, "no {method} for {id}: {requests:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A gateway before a decode server that takes requests and never answers them, and a prefill server at this address.
fn before_silent_decode(name: &str, prefill: SocketAddr) -> (Gateway, ModelServer, DiscoveryAgent) {
    let decode = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let entries = [entry("p", prefill, "reader", "active"), entry("d", decode.address, "writer", "active")];
    let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
    let gateway = Gateway::start(name, agent.address, &entries, with_health_checks);
    let mut first = gateway.connect();
    first.write_all(request_text(1, "").as_bytes()).unwrap();
    assert!(answer(&mut BufReader::new(first)).2);
    std::thread::sleep(REUSE_DELAY);
    decode.set(ServerBehavior::Silent);
    (gateway, decode, agent)
}

#[test]
fn release_is_sent_again_where_its_connection_has_fallen_silent() {
    let prefill = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let proxy = Proxy::start(prefill.address);
    let (gateway, decode, _agent) = before_silent_decode("release-silent", proxy.address);
    let mut client = gateway.connect();
    client.write_all(request_text(2, "").as_bytes()).unwrap();
    seen_at(&decode, "POST", 2);
    std::thread::sleep(REUSE_DELAY);
    proxy.silence_open_connections();
    drop(client);
    let left = Instant::now();
    assert_released_in_time(seen_at(&prefill, "DELETE", 2) - left, "silent connection");
}

#[test]
fn release_goes_by_way_of_another_server_where_its_own_has_stopped() {
    let prefill = ModelServerProcess::start(ENTRY_POINT, Role::Prefill);
    let (gateway, decode, _agent) = before_silent_decode("release-stopped", prefill.address);
    let mut client = gateway.connect();
    client.write_all(request_text(2, "").as_bytes()).unwrap();
    seen_at(&decode, "POST", 2);
    prefill.stop();
    drop(client);
    let left = Instant::now();
    assert_released_in_time(seen_at(&decode, "DELETE", 2) - left, "stopped server");
}
