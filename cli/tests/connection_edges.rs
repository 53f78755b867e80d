//! Rare moments of the `platform` sub-command, each forced: the test holds the other ends, and goes on by what it sees
//! on its sockets.

mod common;

use common::*;
use petrelshore_emulator::platform::{DiscoveryAgent, ModelServer, ServerBehavior, entry};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A gateway before a reader and a writer that the test holds.
struct ScriptedWorld {
    gateway: Gateway,
    reader: ScriptedServer,
    writer: ScriptedServer,
    _agent: DiscoveryAgent,
}

fn scripted_world(name: &str, change: impl Fn(String) -> String) -> ScriptedWorld {
    let (reader, writer) = (ScriptedServer::start(), ScriptedServer::start());
    let entries =
        [entry("r", reader.address, "reader", "active"), entry("w", writer.address, "writer", "active")];
    let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
    ScriptedWorld {
        gateway: Gateway::start(name, agent.address, &entries, change),
        reader,
        writer,
        _agent: agent,
    }
}

impl ScriptedWorld {
    /// A request on a new connection, read, with its stream begun by a first event, which has come.
    fn streams(&self, id: u64) -> (BufReader<TcpStream>, ScriptedConnection) {
        let mut client = self.gateway.connect();
        client.write_all(request_text(id, "").as_bytes()).unwrap();
        let mut read = self.reader.accept();
        assert!(read.request().contains(&format!("Req-Id: {id:016x}")));
        read.say(READ);
        let mut write = self.writer.accept();
        assert!(write.request().contains(&format!("Req-Id: {id:016x}")));
        write.say(&(STREAM.to_owned() + &chunk(&event("first"))));
        let mut lines = BufReader::new(client);
        expect(&mut lines, "first");
        (lines, write)
    }
}

/// Reads up to these words.
fn expect(from: &mut impl Read, words: &str) {
    let (mut seen, mut byte) = (Vec::new(), [0]);
    while !seen.ends_with(words.as_bytes()) {
        match from.read(&mut byte) {
            Ok(1) => seen.push(byte[0]),
            other => panic!("{other:?} before '{words}': {}", String::from_utf8_lossy(&seen)),
        }
    }
}

/// Waits until the other end of a resting connection has ended it.
fn ended(stream: &mut TcpStream) {
    assert_eq!(stream.read(&mut [0; 64]).unwrap_or(0), 0, "it rests, so nothing is said on it");
}

#[test]
fn end_to_end_headers_are_forwarded_hop_by_hop_ones_not() {
    let world = scripted_world("fields", |text| text);
    let more = "Idempotency-Key: 5e-Ab\r\nX-Any: one\r\nX-Any: two\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\n\
                TE: trailers\r\nReq-Owner: someone\r\n";
    let mut client = world.gateway.connect();
    client.write_all(request_text(1, more).as_bytes()).unwrap();
    let mut read = world.reader.accept();
    let to_reader = read.request();
    read.say(READ);
    let to_writer = world.writer.accept().request();
    for seen in [to_reader, to_writer] {
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
    let reader = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let world = PlatformWorld::start_with("queue", command, reader, ["reader", "writer"], without_resume);
    // Every place is taken by a client who asks: one request served, half of the next sent.
    let mut askers = Vec::new();
    loop {
        let mut stream = world.connect();
        stream.write_all(request_text(askers.len() as u64, "").as_bytes()).unwrap();
        if !answer(&mut BufReader::new(stream.try_clone().unwrap())).0.contains("200") {
            break;
        }
        askers.push(stream);
    }
    let half = request_text(9_999, "");
    askers.iter_mut().for_each(|stream| stream.write_all(&half.as_bytes()[..40]).unwrap());
    // Eight at a time are told that there is no place, and do not close: the others wait in the system's queue, longer
    // than the gateway goes on after the word to stop.
    let crowd: Vec<TcpStream> = (0..40).map(|_| world.connect()).collect();
    let mut last = world.connect();
    last.write_all(request_text(5_000, "").as_bytes()).unwrap();
    world.signal("-TERM");
    let mut exchange = String::new();
    let read = last.read_to_string(&mut exchange);
    assert!(read.is_ok() && exchange.starts_with("HTTP/1.1 "), "{read:?}: '{exchange}'");
    drop((askers, crowd));
}

#[test]
fn partial_request_at_shutdown_is_completed_and_answered() {
    let mut world = scripted_world("half", without_resume);
    let (request, mut rests) = (request_text(7, ""), world.gateway.connect());
    let mut half = world.gateway.connect();
    half.write_all(&request.as_bytes()[..60]).unwrap();
    // Its half is in the gateway's hands once another connection behind it has been served.
    let (mut streams, mut write) = world.streams(1);
    world.gateway.signal("-TERM");
    read_log_until(&mut world.gateway.log, "stopping");
    // What rests is ended: from here on nothing new is taken on.
    ended(&mut rests);
    half.write_all(&request.as_bytes()[60..]).unwrap();
    let exchange = answer(&mut BufReader::new(half));
    assert!(exchange.0.starts_with("HTTP/1.1 503") && exchange.2, "{exchange:?}");
    // Nor does it go to a reader.
    assert!(world.reader.accept_within(Duration::from_millis(300)).is_none());
    write.say(LAST);
    expect(&mut streams, LAST);
    assert_eq!(world.gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn streams_complete_and_late_requests_get_503_during_shutdown() {
    let mut world = scripted_world("late", without_resume);
    let mut rests = world.gateway.connect();
    let (mut streams, mut write) = world.streams(1);
    world.gateway.signal("-TERM");
    ended(&mut rests);
    let mut late = world.gateway.connect();
    late.write_all(request_text(2, "").as_bytes()).unwrap();
    let mut exchange = String::new();
    late.read_to_string(&mut exchange).unwrap();
    assert!(exchange.starts_with("HTTP/1.1 503") && exchange.contains("Connection: close"), "{exchange}");
    assert!(world.reader.accept_within(Duration::from_millis(300)).is_none(), "it is not sent on");
    write.say(&(chunk(&event("second")) + LAST));
    expect(&mut streams, "second\"}}]}\n\n\r\n0\r\n\r\n");
    assert_eq!(world.gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn configuration_reload_works_during_shutdown() {
    let mut world = scripted_world("reload", without_resume);
    let (mut streams, mut write) = world.streams(1);
    world.gateway.signal("-TERM");
    read_log_until(&mut world.gateway.log, "stopping");
    let moved = DiscoveryAgent::start("").unwrap();
    let text = std::fs::read_to_string(&world.gateway.file).unwrap();
    let text = text.replace(&world._agent.address.to_string(), &moved.address.to_string());
    std::fs::write(&world.gateway.file, text).unwrap();
    world.gateway.signal("-HUP");
    let late = Instant::now() + EVENT_TIMEOUT;
    while moved.polling_connections() == 0 {
        assert!(Instant::now() < late, "the new address is never asked");
        std::thread::sleep(Duration::from_millis(5));
    }
    // A second word to stop changes nothing.
    world.gateway.signal("-TERM");
    write.say(LAST);
    expect(&mut streams, LAST);
    assert_eq!(world.gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn broken_stream_is_delivered_over_unread_client_bytes() {
    let world = scripted_world("broken", |text| text);
    let (mut client, mut write) = world.streams(1);
    // Behind the open request lies more than the gateway takes: closed over that, the connection would be reset.
    client.get_mut().set_nonblocking(true).unwrap();
    let _ = client.get_mut().write_all(&vec![b' '; 400_000]);
    client.get_mut().set_nonblocking(false).unwrap();
    // More events than the buffers on the way take: the client reads none of them until the stream has broken.
    let events: Vec<String> = (0..24).map(|n| event(&format!("{n:05}").repeat(6_000))).collect();
    events.iter().for_each(|event| write.say(&chunk(event)));
    drop(write);
    // The writer's end is seen by the gateway once its own connection to it is gone: then it ends the client's.
    let mut exchange = Vec::new();
    let read = client.read_to_end(&mut exchange);
    let exchange = String::from_utf8_lossy(&exchange);
    let came = (0..24).filter(|n| exchange.contains(&format!("{n:05}").repeat(6_000))).count();
    assert!(read.is_ok() && came == 24 && !exchange.ends_with(LAST), "{read:?}: {came} of 24 events");
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
    let world = scripted_world("shut", |text| text);
    let (mut client, mut write) = world.streams(1);
    write.say(LAST);
    expect(&mut client, LAST);
    client.get_mut().shutdown(Shutdown::Write).unwrap();
    ended(client.get_mut());
}

/// A list of a reader and a writer, the reader with this status.
fn list(index: u64, scope: &str, [reader, writer]: [SocketAddr; 2], status: &str) -> String {
    format!(
        "{{\"index\":{index},\"snapshot\":{scope},\"endpoints\":[{},{}]}}",
        entry("r", reader, "reader", status),
        entry("w", writer, "writer", "active")
    )
}

fn whole(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

const CALL: &str = "GET /v1/servers HTTP/1.1";

/// A gateway whose discovery agent the test holds, and two addresses for its list.
fn before_agent(name: &str, change: impl Fn(String) -> String) -> (Gateway, ScriptedServer, [SocketAddr; 2]) {
    let (agent, nowhere) = (ScriptedServer::start(), SocketAddr::from(([127, 0, 0, 1], 9)));
    (Gateway::start(name, agent.address, &[], change), agent, [nowhere; 2])
}

#[test]
fn silent_discovery_is_polled_within_the_drain_grace() {
    let grace = Duration::from_millis(250);
    let short = |text: String| text.replace("\"drainGrace\":2000000000", "\"drainGrace\":250000000");
    let (_gateway, agent, servers) = before_agent("return", short);
    // It returns at any moment between two calls; what was asked while it was silent is never answered.
    for (round, later) in (0..8).map(|n| (n, Duration::from_millis(20 * n))) {
        let mut silent = agent.accept();
        assert_eq!(silent.request().lines().next(), Some(CALL));
        std::thread::sleep(later);
        let waits: Vec<ScriptedConnection> =
            std::iter::from_fn(|| agent.accept_within(Duration::ZERO)).collect();
        let back = Instant::now();
        let mut request_text = agent.accept();
        let waited = back.elapsed();
        assert!(waited < grace * 3 / 4, "{round}: {waited:?}");
        assert_eq!(request_text.request().lines().next(), Some(CALL));
        request_text.say(&whole(&list(round + 1, "true", servers, "leaving")));
        // It is taken: what follows is the watch on that connection.
        let watch = request_text.request();
        assert!(watch.contains(&format!("since={}&", round + 1)), "{watch}");
        drop((silent, waits, request_text));
        while agent.accept_within(Duration::from_millis(1)).is_some() {}
    }
}

#[test]
fn index_regression_or_stray_answer_triggers_a_full_list() {
    let (_gateway, agent, servers) = before_agent("index", |text| text);
    let mut request_text = agent.accept();
    assert_eq!(request_text.request().lines().next(), Some(CALL));
    // In chunks, behind an interim answer, and indented.
    let json = list(41, "true", servers, "active").replace(',', ",\n    ");
    let (front, rest) = json.split_at(30);
    request_text.say(&format!(
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}{}{LAST}",
        chunk(front),
        chunk(rest)
    ));
    assert!(request_text.request().contains("?since=41&"));
    request_text.say(&whole("{\"index\":5,\"snapshot\":false,\"endpoints\":[]}"));
    // Sooner than a watch that is not answered would be given up.
    let soon = Duration::from_millis(1_500);
    let mut request_text = agent.accept_within(soon).expect("a new call");
    assert_eq!(request_text.request().lines().next(), Some(CALL), "nothing newer than 41 would ever come");
    // Twice in one go: the second would be taken for the answer to the watch.
    let twice = whole(&list(5, "true", servers, "active")) + &whole(&list(6, "true", servers, "active"));
    request_text.say(&twice);
    let mut request_text = agent.accept_within(soon).expect("a new call");
    assert_eq!(request_text.request().lines().next(), Some(CALL));
    request_text.say(&whole(&list(7, "true", servers, "leaving")));
    assert!(request_text.request().contains("?since=7&"));
}

#[test]
fn closing_discovery_agent_is_not_polled_in_a_busy_loop() {
    let (_gateway, agent, servers) = before_agent("closes", |text| text);
    let (from, mut calls) = (Instant::now(), 0);
    while from.elapsed() < Duration::from_secs(2) {
        let Some(mut request_text) = agent.accept_within(Duration::from_millis(20)) else { continue };
        if request_text.request().lines().next() == Some(CALL) {
            calls += 1;
            let body = list(1, "true", servers, "active");
            request_text.say(&whole(&body).replacen("200 OK\r\n", "200 OK\r\nConnection: close\r\n", 1));
        }
    }
    assert!((2..=8).contains(&calls), "{calls} calls in 2 s");
}

#[test]
fn slow_discovery_agent_is_followed() {
    let (_gateway, agent, servers) = before_agent("slow-agent", |text| text);
    let (followed, read_log_until) =
        (Arc::new(AtomicBool::new(false)), Instant::now() + Duration::from_secs(6));
    while !followed.load(Ordering::SeqCst) {
        assert!(Instant::now() < read_log_until, "a list that each call has in 0.9 s was not had in 6 s");
        let Some(mut request_text) = agent.accept_within(Duration::from_millis(20)) else { continue };
        let (followed, body) = (followed.clone(), list(7, "true", servers, "active"));
        std::thread::spawn(move || {
            if request_text.request().lines().next() != Some(CALL) {
                return;
            }
            std::thread::sleep(Duration::from_millis(900));
            // The gateway may have given the call up meanwhile.
            let _ = request_text.socket().write_all(whole(&body).as_bytes());
            if request_text.request().contains("since=7&") {
                followed.store(true, Ordering::SeqCst);
            }
        });
    }
}

/// Nothing but words to let go comes to a held server, on new connections or on one that it has, within a time in which
/// anything that was due would have come.
fn nothing_more(server: &ScriptedServer, kept: Option<&mut ScriptedConnection>) {
    let read_log_until = Instant::now() + Duration::from_millis(800);
    let only_lets_go = |line: &str| assert!(line.is_empty() || line.starts_with("DELETE "), "{line}");
    while let Some(mut came) = server.accept_within(read_log_until.saturating_duration_since(Instant::now()))
    {
        only_lets_go(came.request().lines().next().unwrap_or_default());
    }
    if let Some(kept) = kept {
        while let Some(line) = kept.line_within(Duration::from_millis(20)).filter(|line| !line.is_empty()) {
            only_lets_go(&line);
        }
    }
}

const DECLINED: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

#[test]
fn nothing_is_sent_after_client_left_during_prefill_or_retry() {
    for (name, says) in [("read", READ), ("declined", DECLINED)] {
        let world = scripted_world(name, |text| text);
        let mut client = world.gateway.connect();
        client.write_all(request_text(1, "").as_bytes()).unwrap();
        let mut read = world.reader.accept();
        assert!(read.request().starts_with("POST "));
        // It has gone before its reader says anything.
        drop(client);
        let _ = read.socket().write_all(says.as_bytes());
        nothing_more(&world.writer, None);
        nothing_more(&world.reader, Some(&mut read));
    }
}

#[test]
fn nothing_is_sent_after_client_left_while_waiting() {
    let (reader, writer) = (ScriptedServer::start(), ScriptedServer::start());
    let writes = entry("w", writer.address, "writer", "active");
    let agent = DiscoveryAgent::start(&writes).unwrap();
    let gateway = Gateway::start("held", agent.address, std::slice::from_ref(&writes), |text| text);
    let [leaves, mut stays] = [1, 2].map(|id| {
        let mut client = gateway.connect();
        client.write_all(request_text(id, "").as_bytes()).unwrap();
        client
    });
    // Both are held, and one of them goes; then there is a reader.
    leaves.shutdown(Shutdown::Both).unwrap();
    drop(leaves);
    agent.set(&[entry("r", reader.address, "reader", "active"), writes].join(","));
    let mut read = reader.accept();
    let request = read.request();
    assert!(request.contains("Req-Id: 0000000000000002"), "{request}");
    nothing_more(&reader, Some(&mut read));
    let _ = stays.read(&mut [0; 16]);
}

/// An event of a stream may take this long from its last byte in to its first byte out.
const AT_ONCE: Duration = Duration::from_millis(300);

#[test]
fn events_are_forwarded_at_once_also_around_shutdown() {
    let mut world = scripted_world("events", without_resume);
    let (mut client, mut write) = world.streams(1);
    let mut passed = |write: &mut ScriptedConnection, last_piece: &str, expected: &[&str]| {
        let from = Instant::now();
        write.say(last_piece);
        expected.iter().for_each(|word| expect(&mut client, word));
        assert!(from.elapsed() < AT_ONCE, "{expected:?}: {:?}", from.elapsed());
    };
    // In pieces: of its chunk's size, its chunk, and the blank line that ends it.
    let text = chunk(&event("pieces"));
    for at in [1, 20, text.len() - 4] {
        let (front, rest) = text.split_at(at);
        write.say(front);
        passed(&mut write, rest, &["pieces"]);
    }
    // An event over two chunks, its blank line in the second, and a further event whole in the same segment.
    let split = event("late");
    write.say(&chunk(&split[..split.len() - 1]));
    passed(&mut write, &(chunk("\n") + &chunk(&event("next"))), &["late", "next"]);
    let many: String = (0..50).map(|n| chunk(&event(&format!("e{n:02}")))).collect();
    let words: Vec<String> = (0..50).map(|n| format!("e{n:02}")).collect();
    passed(&mut write, &many, &words.iter().map(String::as_str).collect::<Vec<_>>());
    world.gateway.signal("-TERM");
    passed(&mut write, &chunk(&event("with")), &["with"]);
    read_log_until(&mut world.gateway.log, "stopping");
    passed(&mut write, &(chunk(&event("after")) + LAST), &["after", LAST]);
    assert_eq!(world.gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn stalled_client_does_not_block_other_streams() {
    let world = scripted_world("slow", |text| text);
    let mut streams: Vec<_> = (0..60).map(|id| world.streams(id)).collect();
    // One takes nothing of what fills all buffers on its way.
    let (slow, mut floods) = streams.pop().unwrap();
    let flood = std::thread::spawn(move || {
        let text = chunk(&event(&"x".repeat(30_000)));
        while floods.socket().write_all(text.as_bytes()).is_ok() {}
    });
    let mut late = 0;
    for round in 0..5 {
        let word = format!("round{round}");
        for (client, write) in &mut streams {
            let from = Instant::now();
            write.say(&chunk(&event(&word)));
            expect(client, &word);
            late += usize::from(from.elapsed() >= AT_ONCE);
        }
    }
    assert_eq!(late, 0, "of {} events", 5 * streams.len());
    drop(slow);
    flood.join().unwrap();
}

#[test]
fn bytes_behind_connection_close_are_not_forwarded() {
    let world = scripted_world("behind", |text| text);
    let mut client = world.gateway.connect();
    let both_at_once = request_text(1, "Connection: close\r\n") + &request_text(2, "");
    client.write_all(both_at_once.as_bytes()).unwrap();
    let mut read = world.reader.accept();
    assert!(read.request().contains("Req-Id: 0000000000000001"));
    read.say(READ);
    let mut write = world.writer.accept();
    write.request();
    write.say(&(STREAM.to_owned() + &chunk(&event("only")) + LAST));
    // The whole answer arrives although more was sent than is read, and then the end.
    let mut exchange = String::new();
    client.read_to_string(&mut exchange).unwrap();
    assert!(
        exchange.contains("Connection: close")
            && exchange.ends_with(LAST)
            && exchange.matches("HTTP/1.1").count() == 1,
        "{exchange}"
    );
    nothing_more(&world.reader, Some(&mut read));
}

#[test]
fn evicted_connection_is_closed_and_forwards_nothing() {
    let reader = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let world = PlatformWorld::start_with("evicted", command, reader, ["reader", "writer"], |text| text);
    let mut silent: Vec<TcpStream> = (0..200).map(|_| world.connect()).collect();
    // The table holds fewer: the first of them has given its place to another by now, which its end shows.
    ended(&mut silent[0]);
    let _ = silent[0].write_all(request_text(7, "").as_bytes());
    // It was an end of sending, not a reset, and what came behind it is dropped.
    for id in 100..103 {
        assert!(
            world.exchange(request_text(id, "Connection: close\r\n").as_bytes()).starts_with("HTTP/1.1 200")
        );
    }
    let seen = world.reader.requests();
    assert!(seen.iter().all(|line| !line.ends_with("0000000000000007")), "{seen:?}");
}

/// The time that a request tells its server, in milliseconds.
fn told_deadline(request: &str) -> u64 {
    let line = request.lines().find_map(|line| line.strip_prefix("Req-Deadline-Ms: "));
    line.and_then(|exchange| exchange.parse().ok()).unwrap_or_else(|| panic!("no deadline in {request}"))
}

#[test]
fn forwarded_deadline_is_at_most_the_time_left() {
    // A class whose writes have all the time that their clients have left.
    let world = scripted_world("deadline", |text| text.replace("\"free\"", "\"single_shot\""));
    let asked = request_text(1, "");
    let deadline = told_deadline(&asked);
    let head_ends = asked.find("\r\n\r\n").unwrap() + 4;
    // A body that takes its time; then a request that was sent ahead, behind a stream that takes its own.
    let mut client = world.gateway.connect();
    let begun = Instant::now();
    client.write_all(&asked.as_bytes()[..head_ends + 1]).unwrap();
    std::thread::sleep(Duration::from_millis(700));
    client.write_all(&asked.as_bytes()[head_ends + 1..]).unwrap();
    let (reader, writer) = (&world.reader, &world.writer);
    let mut read = reader.accept();
    let least = |request: &str, since: Instant| {
        let left = deadline.saturating_sub(since.elapsed().as_millis() as u64);
        let exchange = told_deadline(request);
        assert!(exchange <= left + 150, "{exchange} ms are told, {left} ms are left");
    };
    least(&read.request(), begun);
    read.say(READ);
    let mut write = writer.accept();
    least(&write.request(), begun);
    write.say(&(STREAM.to_owned() + &chunk(&event("first"))));
    let sent_ahead = Instant::now();
    client.write_all(request_text(2, "").as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(900));
    write.say(LAST);
    // On the connection that the first read left, or on a new one.
    let mut read = reader.accept_within(Duration::from_millis(300)).unwrap_or(read);
    least(&read.request(), sent_ahead);
}

#[test]
fn nothing_is_sent_for_clients_that_left_in_a_busy_turn() {
    const CLIENTS: u64 = 40;
    let world = scripted_world("turn", |text| text);
    let mut clients: Vec<TcpStream> = (0..CLIENTS)
        .map(|id| {
            let mut client = world.gateway.connect();
            client.write_all(request_text(id, "").as_bytes()).unwrap();
            client
        })
        .collect();
    let mut reads: Vec<ScriptedConnection> = (0..CLIENTS).map(|_| world.reader.accept()).collect();
    reads.iter_mut().for_each(|read| assert!(read.request().starts_with("POST ")));
    // While the gateway stands still all reads end, further requests come, and all clients go.
    world.gateway.signal("-STOP");
    reads.iter_mut().for_each(|read| read.say(READ));
    for id in CLIENTS..2 * CLIENTS {
        let mut client = world.gateway.connect();
        client.write_all(request_text(id, "").as_bytes()).unwrap();
        clients.push(client);
    }
    drop(clients);
    world.gateway.signal("-CONT");
    nothing_more(&world.writer, None);
    nothing_more(&world.reader, None);
}

#[test]
fn malformed_first_requests_are_answered() {
    let world = scripted_world("read", |text| text);
    let good = request_text(1, "");
    let spoilt = [
        ("404", good.replace("/v1/chat/completions", "/elsewhere")),
        ("405", good.replace("POST", "PUT")),
        ("400", good.replace("Req-Deadline-Ms: 4000", "Req-Deadline-Ms: never")),
        ("400", good.replace("Req-Id: ", "Req-Other: ")),
        ("400", good.replace("Content-Length: 2\r\n\r\n{}", "Content-Length: 2\r\n\r\n{]")),
        ("400", good.replace("Content-Length: 2", "Content-Length: -2")),
        ("413", good.replace("Content-Length: 2", "Content-Length: 3000000")),
        ("431", good.replace("Req-Kind", &format!("X-Long: {}\r\nReq-Kind", "x".repeat(100_000)))),
        // Its time is over as it comes.
        ("503", good.replace("Req-Deadline-Ms: 4000", "Req-Deadline-Ms: 1")),
    ];
    for (status, request) in spoilt {
        let mut client = world.gateway.connect();
        // What is too long may be answered before all of it is taken.
        let _ = client.write_all(request.as_bytes());
        let exchange = answer(&mut BufReader::new(client)).0;
        assert!(exchange.starts_with(&format!("HTTP/1.1 {status}")), "{status}: {exchange}");
    }
    // One that stops in the middle of its body.
    let mut client = world.gateway.connect();
    client.write_all(&good.as_bytes()[..good.len() - 1]).unwrap();
    let exchange = answer(&mut BufReader::new(client)).0;
    assert!(exchange.starts_with("HTTP/1.1 408"), "{exchange}");
}

#[test]
fn release_reaches_a_third_server_when_two_are_silent() {
    let (reader, writers) = (
        ScriptedServer::start(),
        [ScriptedServer::start(), ScriptedServer::start(), ScriptedServer::start()],
    );
    let mut entries = vec![entry("r", reader.address, "reader", "active")];
    let names = ["w0", "w1", "w2"];
    entries.extend((0..3).map(|n| entry(names[n], writers[n].address, "writer", "active")));
    let agent = DiscoveryAgent::start(&entries.join(",")).unwrap();
    let gateway = Gateway::start("silent-three", agent.address, &entries, |text| text);
    let mut client = gateway.connect();
    client.write_all(request_text(1, "").as_bytes()).unwrap();
    let mut read = reader.accept();
    assert!(read.request().starts_with("POST"));
    read.say(READ);
    // The write is out to one of them; then the client leaves.
    let mut write =
        writers.iter().cycle().find_map(|held| held.accept_within(Duration::from_millis(1))).unwrap();
    assert!(write.request().starts_with("POST"));
    drop(client);
    let left = Instant::now();
    // Nobody answers; all of them are told.
    let mut exchange = [None; 3];
    let mut open: Vec<(usize, ScriptedConnection)> = Vec::new();
    while exchange.contains(&None) {
        assert!(left.elapsed() < EVENT_TIMEOUT, "told: {exchange:?}");
        for (n, held) in writers.iter().enumerate() {
            open.extend(held.accept_within(Duration::ZERO).map(|connection| (n, connection)));
        }
        for (n, connection) in &mut open {
            if exchange[*n].is_none() && connection.line_within(Duration::from_millis(1)).is_some() {
                exchange[*n] = Some(left.elapsed());
            }
        }
    }
    let last = exchange.iter().flatten().max().copied().unwrap();
    assert!(last < Duration::from_millis(300), "of 0.5 s to let go: {exchange:?}");
    drop((read, write));
}

/// More than the gateway of this deployment has places for clients.
const CROWD: usize = 200;

#[test]
fn slowly_written_first_request_is_answered_in_a_crowd() {
    let world = PlatformWorld::start("crowd-slow");
    let text = request_text(1, "");
    let (first, rest) = text.split_at(text.len() / 2);
    let mut slow = world.connect();
    slow.write_all(first.as_bytes()).unwrap();
    // It is read, and older than everybody who comes now and says nothing.
    std::thread::sleep(Duration::from_millis(100));
    let crowd: Vec<TcpStream> = (0..CROWD)
        .map(|_| {
            std::thread::sleep(Duration::from_millis(2));
            world.connect()
        })
        .collect();
    slow.write_all(rest.as_bytes()).unwrap();
    let mut status = String::new();
    BufReader::new(slow).read_line(&mut status).unwrap();
    assert!(status.starts_with("HTTP/1.1 200"), "'{status}' to a request that was read");
    drop(crowd);
}
