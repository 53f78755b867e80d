//! Rare connection states of the `platform` sub-command. Each test forces the state: the test plays the clients, the
//! servers or the discovery agent, and takes its next step when its sockets show the effect of the previous step.

mod common;

use common::*;
use petrelshore_emulator::platform::{DiscoveryAgent, ModelServer, ServerBehavior, entry};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A gateway with a scripted prefill server and a scripted decode server.
struct ScriptedTestbed {
    gateway: Gateway,
    prefill: ScriptedServer,
    decode: ScriptedServer,
    _agent: DiscoveryAgent,
}

fn scripted_testbed(name: &str, edit_config: impl Fn(String) -> String) -> ScriptedTestbed {
    let (prefill, decode) = (ScriptedServer::start(), ScriptedServer::start());
    let entries =
        [entry("r", prefill.address, "reader", "active"), entry("w", decode.address, "writer", "active")];
    let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
    ScriptedTestbed {
        gateway: Gateway::start(name, agent.address, &entries, edit_config),
        prefill,
        decode,
        _agent: agent,
    }
}

impl ScriptedTestbed {
    /// Sends a request on a new connection, answers its prefill, starts its stream, and waits until the client has
    /// received the first event.
    fn start_stream(&self, id: u64) -> (BufReader<TcpStream>, ScriptedConnection) {
        let mut client = self.gateway.connect();
        client.write_all(request_text(id, "").as_bytes()).unwrap();
        let mut prefill_connection = self.prefill.accept();
        assert!(prefill_connection.read_request().contains(&format!("Req-Id: {id:016x}")));
        prefill_connection.send(PREFILL_RESPONSE);
        let mut decode_connection = self.decode.accept();
        assert!(decode_connection.read_request().contains(&format!("Req-Id: {id:016x}")));
        decode_connection.send(&(STREAM_HEAD.to_owned() + &chunk(&event("first"))));
        let mut lines = BufReader::new(client);
        expect(&mut lines, "first");
        (lines, decode_connection)
    }
}

/// Reads up to and including `words`.
fn expect(from: &mut impl Read, words: &str) {
    let (mut seen, mut byte) = (Vec::new(), [0]);
    while !seen.ends_with(words.as_bytes()) {
        match from.read(&mut byte) {
            Ok(1) => seen.push(byte[0]),
            other => panic!("{other:?} before '{words}': {}", String::from_utf8_lossy(&seen)),
        }
    }
}

/// Waits until the gateway has closed or reset an idle connection, at most for `EVENT_TIMEOUT`, and asserts that the
/// gateway sent nothing on the connection.
fn expect_closed(stream: &mut TcpStream) {
    assert_eq!(stream.read(&mut [0; 64]).unwrap_or(0), 0, "the gateway sent bytes on an idle connection");
}

#[test]
fn end_to_end_headers_are_forwarded_hop_by_hop_ones_not() {
    let testbed = scripted_testbed("fields", |text| text);
    let extra_headers = "Idempotency-Key: 5e-Ab\r\nX-Any: one\r\nX-Any: two\r\nConnection: keep-alive, x-hop\r\n\
                         X-Hop: 1\r\nTE: trailers\r\nReq-Owner: someone\r\n";
    let mut client = testbed.gateway.connect();
    client.write_all(request_text(1, extra_headers).as_bytes()).unwrap();
    let mut prefill_connection = testbed.prefill.accept();
    let to_prefill = prefill_connection.read_request();
    prefill_connection.send(PREFILL_RESPONSE);
    let to_decode = testbed.decode.accept().read_request();
    for seen in [to_prefill, to_decode] {
        for line in
            ["Idempotency-Key: 5e-Ab", "X-Any: one\r\nX-Any: two", "Req-Kind: chat", "Req-Owner: someone"]
        {
            assert!(seen.contains(&format!("\r\n{line}\r\n")), "{line}: {seen}");
        }
        for field in ["connection:", "x-hop:", "te:"] {
            assert!(!seen.to_lowercase().contains(&format!("\r\n{field}")), "{field}: {seen}");
        }
        for once in ["Req-Id:", "Req-Deadline-Ms:", "Content-Length:", "Host:", "Content-Type:"] {
            assert_eq!(seen.matches(once).count(), 1, "{once}: {seen}");
        }
    }
}

#[test]
fn request_in_the_accept_queue_at_shutdown_is_answered() {
    let prefill = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let testbed =
        PlatformTestbed::start_with("queue", platform_command, prefill, ["reader", "writer"], without_resume);
    // Clients take every connection slot of the gateway. Each has one request served and half of the next request sent.
    let mut clients = Vec::new();
    loop {
        let mut stream = testbed.connect();
        stream.write_all(request_text(clients.len() as u64, "").as_bytes()).unwrap();
        if !read_response(&mut BufReader::new(stream.try_clone().unwrap())).0.contains("200") {
            break;
        }
        clients.push(stream);
    }
    let partial = request_text(9_999, "");
    clients.iter_mut().for_each(|stream| stream.write_all(&partial.as_bytes()[..40]).unwrap());
    // The gateway rejects eight connections at a time for lack of capacity, and these clients do not close. The other
    // connections wait in the accept queue for longer than the gateway runs after SIGTERM.
    let other_clients: Vec<TcpStream> = (0..40).map(|_| testbed.connect()).collect();
    let mut last = testbed.connect();
    last.write_all(request_text(5_000, "").as_bytes()).unwrap();
    testbed.signal("-TERM");
    let mut response = String::new();
    let result = last.read_to_string(&mut response);
    assert!(result.is_ok() && response.starts_with("HTTP/1.1 "), "{result:?}: '{response}'");
    drop((clients, other_clients));
}

#[test]
fn partial_request_at_shutdown_is_completed_and_answered() {
    let mut testbed = scripted_testbed("half", without_resume);
    let (request, mut idle) = (request_text(7, ""), testbed.gateway.connect());
    let mut partial = testbed.gateway.connect();
    partial.write_all(&request.as_bytes()[..60]).unwrap();
    // The gateway has read the partial request once it has served a later connection.
    let (mut client, mut decode_connection) = testbed.start_stream(1);
    testbed.gateway.signal("-TERM");
    read_log_until(&mut testbed.gateway.log, "stopping");
    // The gateway closes idle connections: from now on it accepts no new work.
    expect_closed(&mut idle);
    partial.write_all(&request.as_bytes()[60..]).unwrap();
    let response = read_response(&mut BufReader::new(partial));
    assert!(response.0.starts_with("HTTP/1.1 503") && response.2, "{response:?}");
    // The request is not forwarded to the prefill server.
    assert!(testbed.prefill.accept_within(Duration::from_millis(300)).is_none());
    decode_connection.send(LAST_CHUNK);
    expect(&mut client, LAST_CHUNK);
    assert_eq!(testbed.gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn streams_complete_and_late_requests_get_503_during_shutdown() {
    let mut testbed = scripted_testbed("late", without_resume);
    let mut idle = testbed.gateway.connect();
    let (mut client, mut decode_connection) = testbed.start_stream(1);
    testbed.gateway.signal("-TERM");
    expect_closed(&mut idle);
    let mut late = testbed.gateway.connect();
    late.write_all(request_text(2, "").as_bytes()).unwrap();
    let mut response = String::new();
    late.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 503") && response.contains("Connection: close"), "{response}");
    assert!(
        testbed.prefill.accept_within(Duration::from_millis(300)).is_none(),
        "the late request was forwarded"
    );
    decode_connection.send(&(chunk(&event("second")) + LAST_CHUNK));
    expect(&mut client, "second\"}}]}\n\n\r\n0\r\n\r\n");
    assert_eq!(testbed.gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn configuration_reload_works_during_shutdown() {
    let mut testbed = scripted_testbed("reload", without_resume);
    let (mut client, mut decode_connection) = testbed.start_stream(1);
    testbed.gateway.signal("-TERM");
    read_log_until(&mut testbed.gateway.log, "stopping");
    let new_agent = DiscoveryAgent::start("").unwrap();
    let text = std::fs::read_to_string(&testbed.gateway.file).unwrap();
    let text = text.replace(&testbed._agent.address.to_string(), &new_agent.address.to_string());
    std::fs::write(&testbed.gateway.file, text).unwrap();
    testbed.gateway.signal("-HUP");
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while new_agent.polling_connections() == 0 {
        assert!(Instant::now() < deadline, "the gateway never polled the new address");
        std::thread::sleep(Duration::from_millis(5));
    }
    // A second SIGTERM changes nothing.
    testbed.gateway.signal("-TERM");
    decode_connection.send(LAST_CHUNK);
    expect(&mut client, LAST_CHUNK);
    assert_eq!(testbed.gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn broken_stream_is_delivered_over_unread_client_bytes() {
    let testbed = scripted_testbed("broken", |text| text);
    let (mut client, mut decode_connection) = testbed.start_stream(1);
    // Behind the open request lie more bytes than the gateway reads. Closing the connection with these bytes unread
    // would reset it.
    client.get_mut().set_nonblocking(true).unwrap();
    let _ = client.get_mut().write_all(&vec![b' '; 400_000]);
    client.get_mut().set_nonblocking(false).unwrap();
    // The decode server sends more events than the buffers on the path can hold. The client reads none of the events
    // until the stream has broken.
    let events: Vec<String> = (0..24).map(|n| event(&format!("{n:05}").repeat(6_000))).collect();
    events.iter().for_each(|event| decode_connection.send(&chunk(event)));
    drop(decode_connection);
    // The gateway sees the decode server's close and then closes the client's connection.
    let mut response = Vec::new();
    let result = client.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response);
    let received = (0..24).filter(|n| response.contains(&format!("{n:05}").repeat(6_000))).count();
    assert!(
        result.is_ok() && received == 24 && !response.ends_with(LAST_CHUNK),
        "{result:?}: {received} of 24 events"
    );
}

#[test]
fn stop_before_the_first_endpoint_list_exits_cleanly() {
    let silent = ScriptedServer::start();
    let mut gateway = Gateway::start("nolist", silent.address, &[], without_resume);
    gateway.signal("-TERM");
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn half_close_after_the_last_answer_closes_the_connection() {
    let testbed = scripted_testbed("shut", |text| text);
    let (mut client, mut decode_connection) = testbed.start_stream(1);
    decode_connection.send(LAST_CHUNK);
    expect(&mut client, LAST_CHUNK);
    client.get_mut().shutdown(Shutdown::Write).unwrap();
    expect_closed(client.get_mut());
}

/// An endpoint list of one prefill server, with the given status, and one active decode server.
fn list(index: u64, snapshot: &str, [prefill, decode]: [SocketAddr; 2], status: &str) -> String {
    format!(
        "{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{},{}]}}",
        entry("r", prefill, "reader", status),
        entry("w", decode, "writer", "active")
    )
}

/// A complete response with status 200 and the given body.
fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Request line with which the gateway asks the discovery agent for the full list.
const FULL_LIST_REQUEST: &str = "GET /v1/servers HTTP/1.1";

/// Starts a gateway with a scripted discovery agent. Also returns two addresses for its list, at which nothing listens.
fn start_with_scripted_agent(
    name: &str,
    edit_config: impl Fn(String) -> String,
) -> (Gateway, ScriptedServer, [SocketAddr; 2]) {
    let (agent, unused_address) = (ScriptedServer::start(), SocketAddr::from(([127, 0, 0, 1], 9)));
    (Gateway::start(name, agent.address, &[], edit_config), agent, [unused_address; 2])
}

#[test]
fn silent_discovery_is_polled_within_the_drain_grace() {
    let grace = Duration::from_millis(250);
    let with_short_drain_grace =
        |text: String| text.replace("\"drainGrace\":2000000000", "\"drainGrace\":250000000");
    let (_gateway, agent, servers) = start_with_scripted_agent("return", with_short_drain_grace);
    // The agent starts to answer at varying times between two polls; it never answers requests that came while it was
    // silent.
    for (round, delay) in (0..8).map(|n| (n, Duration::from_millis(20 * n))) {
        let mut silent = agent.accept();
        assert_eq!(silent.read_request().lines().next(), Some(FULL_LIST_REQUEST));
        std::thread::sleep(delay);
        let unanswered: Vec<ScriptedConnection> =
            std::iter::from_fn(|| agent.accept_within(Duration::ZERO)).collect();
        let answering_since = Instant::now();
        let mut connection = agent.accept();
        let waited = answering_since.elapsed();
        assert!(waited < grace * 3 / 4, "{round}: {waited:?}");
        assert_eq!(connection.read_request().lines().next(), Some(FULL_LIST_REQUEST));
        connection.send(&ok_response(&list(round + 1, "true", servers, "leaving")));
        // The gateway has applied the list: its next request on this connection is a watch.
        let watch = connection.read_request();
        assert!(watch.contains(&format!("since={}&", round + 1)), "{watch}");
        drop((silent, unanswered, connection));
        while agent.accept_within(Duration::from_millis(1)).is_some() {}
    }
}

#[test]
fn index_regression_or_stray_answer_triggers_a_full_list() {
    let (_gateway, agent, servers) = start_with_scripted_agent("index", |text| text);
    let mut connection = agent.accept();
    assert_eq!(connection.read_request().lines().next(), Some(FULL_LIST_REQUEST));
    // The list is chunked, follows an interim response, and is indented.
    let json = list(41, "true", servers, "active").replace(',', ",\n    ");
    let (front, rest) = json.split_at(30);
    connection.send(&format!(
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}{}{LAST_CHUNK}",
        chunk(front),
        chunk(rest)
    ));
    assert!(connection.read_request().contains("?since=41&"));
    connection.send(&ok_response("{\"index\":5,\"snapshot\":false,\"endpoints\":[]}"));
    // Shorter than the time after which the gateway abandons an unanswered watch.
    let poll_limit = Duration::from_millis(1_500);
    let mut connection = agent.accept_within(poll_limit).expect("the gateway did not poll again");
    assert_eq!(
        connection.read_request().lines().next(),
        Some(FULL_LIST_REQUEST),
        "a watch since 41 would never return an update, so the gateway has to request the full list"
    );
    // The agent sends two responses at once: the gateway must not take the second response for the answer to its watch.
    let two_responses =
        ok_response(&list(5, "true", servers, "active")) + &ok_response(&list(6, "true", servers, "active"));
    connection.send(&two_responses);
    let mut connection = agent.accept_within(poll_limit).expect("the gateway did not poll again");
    assert_eq!(connection.read_request().lines().next(), Some(FULL_LIST_REQUEST));
    connection.send(&ok_response(&list(7, "true", servers, "leaving")));
    assert!(connection.read_request().contains("?since=7&"));
}

#[test]
fn closing_discovery_agent_is_not_polled_in_a_busy_loop() {
    let (_gateway, agent, servers) = start_with_scripted_agent("closes", |text| text);
    let (started, mut list_requests) = (Instant::now(), 0);
    while started.elapsed() < Duration::from_secs(2) {
        let Some(mut connection) = agent.accept_within(Duration::from_millis(20)) else { continue };
        if connection.read_request().lines().next() == Some(FULL_LIST_REQUEST) {
            list_requests += 1;
            let body = list(1, "true", servers, "active");
            connection.send(&ok_response(&body).replacen("200 OK\r\n", "200 OK\r\nConnection: close\r\n", 1));
        }
    }
    assert!((2..=8).contains(&list_requests), "{list_requests} full-list requests in 2 s");
}

#[test]
fn slow_discovery_agent_is_followed() {
    let (_gateway, agent, servers) = start_with_scripted_agent("slow-agent", |text| text);
    let (followed, deadline) = (Arc::new(AtomicBool::new(false)), Instant::now() + Duration::from_secs(6));
    while !followed.load(Ordering::SeqCst) {
        assert!(
            Instant::now() < deadline,
            "the gateway did not apply the list within 6 s, although the agent answers within 0.9 s"
        );
        let Some(mut connection) = agent.accept_within(Duration::from_millis(20)) else { continue };
        let (followed, body) = (followed.clone(), list(7, "true", servers, "active"));
        std::thread::spawn(move || {
            if connection.read_request().lines().next() != Some(FULL_LIST_REQUEST) {
                return;
            }
            std::thread::sleep(Duration::from_millis(900));
            // The gateway may have abandoned the request by now.
            let _ = connection.socket().write_all(ok_response(&body).as_bytes());
            if connection.read_request().contains("since=7&") {
                followed.store(true, Ordering::SeqCst);
            }
        });
    }
}

/// Asserts that a scripted server receives nothing but release requests, on new connections or on
/// `open_connection`, for longer than a request that is due would take to arrive.
fn assert_only_releases(server: &ScriptedServer, open_connection: Option<&mut ScriptedConnection>) {
    let deadline = Instant::now() + Duration::from_millis(800);
    let assert_release = |line: &str| assert!(line.is_empty() || line.starts_with("DELETE "), "{line}");
    while let Some(mut connection) = server.accept_within(deadline.saturating_duration_since(Instant::now()))
    {
        assert_release(connection.read_request().lines().next().unwrap_or_default());
    }
    if let Some(open_connection) = open_connection {
        while let Some(line) =
            open_connection.request_line_within(Duration::from_millis(20)).filter(|line| !line.is_empty())
        {
            assert_release(&line);
        }
    }
}

const DECLINED: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

#[test]
fn nothing_is_sent_after_client_left_during_prefill_or_retry() {
    for (name, response) in [("read", PREFILL_RESPONSE), ("declined", DECLINED)] {
        let testbed = scripted_testbed(name, |text| text);
        let mut client = testbed.gateway.connect();
        client.write_all(request_text(1, "").as_bytes()).unwrap();
        let mut prefill_connection = testbed.prefill.accept();
        assert!(prefill_connection.read_request().starts_with("POST "));
        // The client disconnects before the prefill server answers.
        drop(client);
        let _ = prefill_connection.socket().write_all(response.as_bytes());
        assert_only_releases(&testbed.decode, None);
        assert_only_releases(&testbed.prefill, Some(&mut prefill_connection));
    }
}

#[test]
fn nothing_is_sent_after_client_left_while_waiting() {
    let (prefill, decode) = (ScriptedServer::start(), ScriptedServer::start());
    let decode_entry = entry("w", decode.address, "writer", "active");
    let agent = DiscoveryAgent::start(&decode_entry).unwrap();
    let gateway = Gateway::start("held", agent.address, std::slice::from_ref(&decode_entry), |text| text);
    let [disconnecting, mut waiting] = [1, 2].map(|id| {
        let mut client = gateway.connect();
        client.write_all(request_text(id, "").as_bytes()).unwrap();
        client
    });
    // Both requests wait for a prefill server. One client disconnects, and then a prefill server is listed.
    disconnecting.shutdown(Shutdown::Both).unwrap();
    drop(disconnecting);
    agent.set(&[entry("r", prefill.address, "reader", "active"), decode_entry].join(","));
    let mut prefill_connection = prefill.accept();
    let request = prefill_connection.read_request();
    assert!(request.contains("Req-Id: 0000000000000002"), "{request}");
    assert_only_releases(&prefill, Some(&mut prefill_connection));
    let _ = waiting.read(&mut [0; 16]);
}

/// Upper bound for the time from the last byte of an event at the decode server until the client has received the
/// event.
const MAX_FORWARDING_DELAY: Duration = Duration::from_millis(300);

#[test]
fn events_are_forwarded_at_once_also_around_shutdown() {
    let mut testbed = scripted_testbed("events", without_resume);
    let (mut client, mut decode_connection) = testbed.start_stream(1);
    let mut expect_forwarded =
        |decode_connection: &mut ScriptedConnection, last_piece: &str, expected: &[&str]| {
            let from = Instant::now();
            decode_connection.send(last_piece);
            expected.iter().for_each(|word| expect(&mut client, word));
            assert!(from.elapsed() < MAX_FORWARDING_DELAY, "{expected:?}: {:?}", from.elapsed());
        };
    // The decode server sends an event in two pieces, split in turn within the chunk size, within the chunk, and before
    // the blank line that ends the event.
    let text = chunk(&event("pieces"));
    for at in [1, 20, text.len() - 4] {
        let (front, rest) = text.split_at(at);
        decode_connection.send(front);
        expect_forwarded(&mut decode_connection, rest, &["pieces"]);
    }
    // An event is split over two chunks, with its blank line in the second chunk. A whole event follows in the same
    // segment.
    let split = event("late");
    decode_connection.send(&chunk(&split[..split.len() - 1]));
    expect_forwarded(&mut decode_connection, &(chunk("\n") + &chunk(&event("next"))), &["late", "next"]);
    let many: String = (0..50).map(|n| chunk(&event(&format!("e{n:02}")))).collect();
    let words: Vec<String> = (0..50).map(|n| format!("e{n:02}")).collect();
    expect_forwarded(&mut decode_connection, &many, &words.iter().map(String::as_str).collect::<Vec<_>>());
    testbed.gateway.signal("-TERM");
    expect_forwarded(&mut decode_connection, &chunk(&event("with")), &["with"]);
    read_log_until(&mut testbed.gateway.log, "stopping");
    expect_forwarded(&mut decode_connection, &(chunk(&event("after")) + LAST_CHUNK), &["after", LAST_CHUNK]);
    assert_eq!(testbed.gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn stalled_client_does_not_block_other_streams() {
    let testbed = scripted_testbed("slow", |text| text);
    let mut streams: Vec<_> = (0..60).map(|id| testbed.start_stream(id)).collect();
    // One client reads nothing, while its decode server sends more than all buffers on the path can hold.
    let (slow, mut flooding) = streams.pop().unwrap();
    let flood = std::thread::spawn(move || {
        let text = chunk(&event(&"x".repeat(30_000)));
        while flooding.socket().write_all(text.as_bytes()).is_ok() {}
    });
    let mut late_events = 0;
    for round in 0..5 {
        let word = format!("round{round}");
        for (client, decode_connection) in &mut streams {
            let from = Instant::now();
            decode_connection.send(&chunk(&event(&word)));
            expect(client, &word);
            late_events += usize::from(from.elapsed() >= MAX_FORWARDING_DELAY);
        }
    }
    assert_eq!(late_events, 0, "late events among {}", 5 * streams.len());
    drop(slow);
    flood.join().unwrap();
}

#[test]
fn bytes_behind_connection_close_are_not_forwarded() {
    let testbed = scripted_testbed("behind", |text| text);
    let mut client = testbed.gateway.connect();
    let both_at_once = request_text(1, "Connection: close\r\n") + &request_text(2, "");
    client.write_all(both_at_once.as_bytes()).unwrap();
    let mut prefill_connection = testbed.prefill.accept();
    assert!(prefill_connection.read_request().contains("Req-Id: 0000000000000001"));
    prefill_connection.send(PREFILL_RESPONSE);
    let mut decode_connection = testbed.decode.accept();
    decode_connection.read_request();
    decode_connection.send(&(STREAM_HEAD.to_owned() + &chunk(&event("only")) + LAST_CHUNK));
    // The client receives the whole response and then the end of the connection, although the gateway has not read
    // everything that the client sent.
    let mut response = String::new();
    client.read_to_string(&mut response).unwrap();
    assert!(
        response.contains("Connection: close")
            && response.ends_with(LAST_CHUNK)
            && response.matches("HTTP/1.1").count() == 1,
        "{response}"
    );
    assert_only_releases(&testbed.prefill, Some(&mut prefill_connection));
}

#[test]
fn evicted_connection_is_closed_and_forwards_nothing() {
    let prefill = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let testbed =
        PlatformTestbed::start_with("evicted", platform_command, prefill, ["reader", "writer"], |text| text);
    let mut silent: Vec<TcpStream> = (0..200).map(|_| testbed.connect()).collect();
    // The connection table holds fewer than 200 connections: the first was evicted for a later one, as its end shows.
    expect_closed(&mut silent[0]);
    let _ = silent[0].write_all(request_text(7, "").as_bytes());
    // The gateway shut down its sending side instead of resetting the connection, and discards what the client sends
    // after that.
    for id in 100..103 {
        assert!(
            testbed
                .send_and_read(request_text(id, "Connection: close\r\n").as_bytes())
                .starts_with("HTTP/1.1 200")
        );
    }
    let seen = testbed.prefill.requests();
    assert!(seen.iter().all(|line| !line.ends_with("0000000000000007")), "{seen:?}");
}

/// The deadline that a request states to its server, in milliseconds.
fn forwarded_deadline(request: &str) -> u64 {
    let line = request.lines().find_map(|line| line.strip_prefix("Req-Deadline-Ms: "));
    line.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no deadline in {request}"))
}

#[test]
fn forwarded_deadline_is_at_most_the_time_left() {
    // In this class a decode attempt has all the time that the client has left.
    let testbed = scripted_testbed("deadline", |text| text.replace("\"free\"", "\"single_shot\""));
    let request = request_text(1, "");
    let deadline = forwarded_deadline(&request);
    let head_ends = request.find("\r\n\r\n").unwrap() + 4;
    // The body of the first request arrives slowly. The client then pipelines a second request, which waits behind the
    // slow stream of the first.
    let mut client = testbed.gateway.connect();
    let started = Instant::now();
    client.write_all(&request.as_bytes()[..head_ends + 1]).unwrap();
    std::thread::sleep(Duration::from_millis(700));
    client.write_all(&request.as_bytes()[head_ends + 1..]).unwrap();
    let (prefill, decode) = (&testbed.prefill, &testbed.decode);
    let mut prefill_connection = prefill.accept();
    let check_deadline = |request: &str, since: Instant| {
        let left = deadline.saturating_sub(since.elapsed().as_millis() as u64);
        let forwarded = forwarded_deadline(request);
        assert!(forwarded <= left + 150, "the forwarded deadline is {forwarded} ms, but {left} ms are left");
    };
    check_deadline(&prefill_connection.read_request(), started);
    prefill_connection.send(PREFILL_RESPONSE);
    let mut decode_connection = decode.accept();
    check_deadline(&decode_connection.read_request(), started);
    decode_connection.send(&(STREAM_HEAD.to_owned() + &chunk(&event("first"))));
    let sent_at = Instant::now();
    client.write_all(request_text(2, "").as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(900));
    decode_connection.send(LAST_CHUNK);
    // The second prefill uses the connection of the first prefill, or a new connection.
    let mut prefill_connection =
        prefill.accept_within(Duration::from_millis(300)).unwrap_or(prefill_connection);
    check_deadline(&prefill_connection.read_request(), sent_at);
}

#[test]
fn nothing_is_sent_for_clients_that_left_in_a_busy_turn() {
    const CLIENTS: u64 = 40;
    let testbed = scripted_testbed("turn", |text| text);
    let mut clients: Vec<TcpStream> = (0..CLIENTS)
        .map(|id| {
            let mut client = testbed.gateway.connect();
            client.write_all(request_text(id, "").as_bytes()).unwrap();
            client
        })
        .collect();
    let mut prefill_connections: Vec<ScriptedConnection> =
        (0..CLIENTS).map(|_| testbed.prefill.accept()).collect();
    prefill_connections
        .iter_mut()
        .for_each(|prefill_connection| assert!(prefill_connection.read_request().starts_with("POST ")));
    // While the gateway is suspended, all prefills complete, further requests arrive, and all clients disconnect.
    testbed.gateway.signal("-STOP");
    prefill_connections.iter_mut().for_each(|prefill_connection| prefill_connection.send(PREFILL_RESPONSE));
    for id in CLIENTS..2 * CLIENTS {
        let mut client = testbed.gateway.connect();
        client.write_all(request_text(id, "").as_bytes()).unwrap();
        clients.push(client);
    }
    drop(clients);
    testbed.gateway.signal("-CONT");
    assert_only_releases(&testbed.decode, None);
    assert_only_releases(&testbed.prefill, None);
}

#[test]
fn malformed_first_requests_are_answered() {
    let testbed = scripted_testbed("read", |text| text);
    let valid = request_text(1, "");
    let malformed = [
        ("404", valid.replace("/v1/chat/completions", "/elsewhere")),
        ("405", valid.replace("POST", "PUT")),
        ("400", valid.replace("Req-Deadline-Ms: 4000", "Req-Deadline-Ms: never")),
        ("400", valid.replace("Req-Id: ", "Req-Other: ")),
        ("400", valid.replace("Content-Length: 2\r\n\r\n{}", "Content-Length: 2\r\n\r\n{]")),
        ("400", valid.replace("Content-Length: 2", "Content-Length: -2")),
        ("413", valid.replace("Content-Length: 2", "Content-Length: 3000000")),
        ("431", valid.replace("Req-Kind", &format!("X-Long: {}\r\nReq-Kind", "x".repeat(100_000)))),
        // The deadline passes before the request can be forwarded.
        ("503", valid.replace("Req-Deadline-Ms: 4000", "Req-Deadline-Ms: 1")),
    ];
    for (status, request) in malformed {
        let mut client = testbed.gateway.connect();
        // The gateway may answer an oversized request before it has read all of it.
        let _ = client.write_all(request.as_bytes());
        let response = read_response(&mut BufReader::new(client)).0;
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{status}: {response}");
    }
    // The client stops in the middle of the request body.
    let mut client = testbed.gateway.connect();
    client.write_all(&valid.as_bytes()[..valid.len() - 1]).unwrap();
    let response = read_response(&mut BufReader::new(client)).0;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}

#[test]
fn release_reaches_a_third_server_when_two_are_silent() {
    let (prefill, decode_servers) = (
        ScriptedServer::start(),
        [ScriptedServer::start(), ScriptedServer::start(), ScriptedServer::start()],
    );
    let mut entries = vec![entry("r", prefill.address, "reader", "active")];
    let names = ["w0", "w1", "w2"];
    entries.extend((0..3).map(|n| entry(names[n], decode_servers[n].address, "writer", "active")));
    let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
    let gateway = Gateway::start("silent-three", agent.address, &entries, |text| text);
    let mut client = gateway.connect();
    client.write_all(request_text(1, "").as_bytes()).unwrap();
    let mut prefill_connection = prefill.accept();
    assert!(prefill_connection.read_request().starts_with("POST"));
    prefill_connection.send(PREFILL_RESPONSE);
    // The decode request is sent to one of the decode servers; then the client disconnects.
    let mut decode_connection = decode_servers
        .iter()
        .cycle()
        .find_map(|server| server.accept_within(Duration::from_millis(1)))
        .unwrap();
    assert!(decode_connection.read_request().starts_with("POST"));
    drop(client);
    let disconnected_at = Instant::now();
    // No decode server answers, so all of them have to receive the release.
    let mut released_after = [None; 3];
    let mut open: Vec<(usize, ScriptedConnection)> = Vec::new();
    while released_after.contains(&None) {
        assert!(
            disconnected_at.elapsed() < EVENT_TIMEOUT,
            "time until each server received the release: {released_after:?}"
        );
        for (n, server) in decode_servers.iter().enumerate() {
            open.extend(server.accept_within(Duration::ZERO).map(|connection| (n, connection)));
        }
        for (n, connection) in &mut open {
            if released_after[*n].is_none()
                && connection.request_line_within(Duration::from_millis(1)).is_some()
            {
                released_after[*n] = Some(disconnected_at.elapsed());
            }
        }
    }
    let last = released_after.iter().flatten().max().copied().unwrap();
    assert!(
        last < Duration::from_millis(300),
        "a release was later than 300 ms of the 0.5 s release time: {released_after:?}"
    );
    drop((prefill_connection, decode_connection));
}

/// More client connections than the gateway of this deployment can hold.
const OTHER_CLIENTS: usize = 200;

#[test]
fn slowly_written_first_request_is_answered_in_a_crowd() {
    let testbed = PlatformTestbed::start("crowd-slow");
    let text = request_text(1, "");
    let (first, rest) = text.split_at(text.len() / 2);
    let mut slow = testbed.connect();
    slow.write_all(first.as_bytes()).unwrap();
    // The gateway has read the first half, and this connection is older than the silent connections that follow.
    std::thread::sleep(Duration::from_millis(100));
    let other_clients: Vec<TcpStream> = (0..OTHER_CLIENTS)
        .map(|_| {
            std::thread::sleep(Duration::from_millis(2));
            testbed.connect()
        })
        .collect();
    slow.write_all(rest.as_bytes()).unwrap();
    let mut status = String::new();
    BufReader::new(slow).read_line(&mut status).unwrap();
    assert!(
        status.starts_with("HTTP/1.1 200"),
        "a request that the gateway had started to read got '{status}'"
    );
    drop(other_clients);
}
