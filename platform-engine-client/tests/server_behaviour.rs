//! What an exchange tells of model servers that behave badly, on loopback.

use bytes::Bytes;
use futures_lite::future;
use petrelshore::interface::Outcome;
use petrelshore_emulator::platform::{ModelServer, ServerBehavior, events};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_platform_engine_client::{AttemptRequest, Client, SendPermission};
use petrelshore_platform_protocol::load::{Field, Measure};
use petrelshore_runtime::Clock;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(20);

fn client(most: usize) -> Client {
    let load = Field { name: "x0".to_owned(), measure: Measure::MemoryShare };
    Client::new(Clock::start(), most, 15_000_000_000, vec![load])
}

fn call(to: SocketAddr) -> AttemptRequest {
    AttemptRequest {
        address: to,
        target: Bytes::from("/v1/chat/completions?a=b"),
        id: "00000000000000aa".into(),
        fields: Bytes::new(),
        body: Bytes::from("{}"),
        timeout: 5_000_000_000,
        decided_at: Clock::start().now(),
        connect_timeout: Duration::from_secs(5),
        holds_cache: false,
        new_connection: false,
        send_check: Rc::new(|| SendPermission::Granted),
    }
}

/// All events of a write, and how it ended; patience is for tests that would hang.
async fn written(client: &Client, to: SocketAddr) -> (String, Result<(), AttemptEnd>) {
    let mut passed = String::new();
    let ended = async {
        let mut stream = client.decode(&call(to), &|| {}).await.result?;
        while let Some(events) = stream.next().await? {
            passed.push_str(std::str::from_utf8(&events).unwrap());
        }
        Ok(())
    };
    let late = async {
        async_io::Timer::after(PATIENCE).await;
        panic!("still no end")
    };
    let ended = future::or(ended, late).await;
    (passed, ended)
}

/// Long enough for a connection to have rested: what comes late behind an answer has come.
async fn rest() {
    async_io::Timer::after(Duration::from_millis(150)).await;
}

#[test]
fn a_good_stream_passes_unchanged_and_its_connection_serves_again_once_it_has_rested() {
    let server = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let client = client(4);
    async_io::block_on(async {
        for _ in 0..3 {
            assert_eq!(written(&client, server.address).await, (events(), Ok(())));
            rest().await;
        }
    });
    assert_eq!((server.connections(), client.connection_counts()), (1, (1, 1)));
    assert_eq!(server.requests()[2], "POST /v1/chat/completions?a=b 00000000000000aa");
}

#[test]
fn a_read_tells_what_was_kept_and_the_load() {
    let server = ModelServer::start(true, ServerBehavior::Interim).unwrap();
    let client = client(4);
    let heard = async_io::block_on(client.prefill(&call(server.address), &|| {}));
    assert_eq!((heard.result, heard.load.is_none()), (Ok(4.0), true), "an unreadable load is none");
    server.set(ServerBehavior::Good);
    let heard = async_io::block_on(client.prefill(&call(server.address), &|| {}));
    assert_eq!((heard.result, heard.load.unwrap().memory_share), (Ok(4.0), Some(0.25)));
}

#[test]
fn only_what_the_protocol_names_proves_that_nothing_ran() {
    let server = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let client = client(4);
    let cases = [
        (ServerBehavior::Declines, AttemptEnd::AtCapacity),
        (ServerBehavior::CacheMissing, AttemptEnd::KvCacheMissing),
        (ServerBehavior::Overloaded, AttemptEnd::ErrorStatus { status: 503 }),
        (ServerBehavior::Fails, AttemptEnd::ErrorStatus { status: 500 }),
        (ServerBehavior::Resets, AttemptEnd::Reset),
        (ServerBehavior::InvalidResponse, AttemptEnd::Malformed),
        (ServerBehavior::EndlessHead, AttemptEnd::Malformed),
    ];
    for (manner, ending) in cases {
        server.set(manner);
        let told = async_io::block_on(written(&client, server.address));
        assert_eq!(told, (String::new(), Err(ending)), "{manner:?}");
    }
    let closed = TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap();
    let told = async_io::block_on(written(&client, closed));
    assert_eq!(told, (String::new(), Err(AttemptEnd::NotConnected)));
}

#[test]
fn a_stream_that_is_spoilt_later_passes_only_whole_events_and_its_connection_is_not_used_again() {
    let server = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let client = client(4);
    for manner in [ServerBehavior::BadChunk, ServerBehavior::HugeChunk, ServerBehavior::InvalidEvent] {
        server.set(manner);
        let (passed, ended) = async_io::block_on(written(&client, server.address));
        assert_eq!(ended, Err(AttemptEnd::Malformed), "{manner:?}");
        assert!(events().starts_with(&passed), "{manner:?}: {passed}");
        assert_eq!(client.connection_counts().0, 0, "{manner:?}");
    }
}

#[test]
fn a_connection_with_more_on_it_than_was_asked_for_is_not_used_again() {
    let server = ModelServer::start(false, ServerBehavior::SecondResponse).unwrap();
    let client = client(4);
    for _ in 0..2 {
        assert_eq!(async_io::block_on(written(&client, server.address)), (events(), Ok(())));
        // What came late would be seen before the next use, too.
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(server.connections(), 2);
}

#[test]
fn where_all_places_are_taken_the_longest_idle_connection_makes_room() {
    let servers = [ServerBehavior::Good; 3].map(|manner| ModelServer::start(false, manner).unwrap());
    let client = client(2);
    for server in &servers {
        assert_eq!(async_io::block_on(written(&client, server.address)).1, Ok(()));
    }
    assert_eq!(client.connection_counts(), (2, 2));
    let told = client.release(servers[0].address, "00000000000000aa", PATIENCE, &|| SendPermission::Granted);
    assert_eq!(async_io::block_on(told), Ok(()));
    assert_eq!(servers[0].requests()[1], "DELETE /kv/leases/00000000000000aa ");
}

#[test]
fn a_kept_connection_that_closes_under_its_request_proves_nothing_and_the_next_gets_a_new_one() {
    let server = ModelServer::start(false, ServerBehavior::OncePerConnection).unwrap();
    let client = client(4);
    async_io::block_on(async {
        assert_eq!(written(&client, server.address).await, (events(), Ok(())));
        assert_eq!(client.connection_counts(), (1, 1), "kept for the next");
        rest().await;
        let (passed, ended) = written(&client, server.address).await;
        assert_eq!(
            (passed.as_str(), ended),
            ("", Err(AttemptEnd::Reset)),
            "it has come whole, and may have run"
        );
        assert_eq!(written(&client, server.address).await, (events(), Ok(())));
    });
    assert_eq!(server.connections(), 2);
}

#[test]
fn a_server_that_never_comes_up_gives_its_place_back_in_time_and_nothing_has_run() {
    // Its queue of connections is full, so that the next ones hang.
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    rustix::net::listen(&listener, 0).unwrap();
    let to = listener.local_addr().unwrap();
    let _queue: Vec<_> =
        (0..4).map(|_| std::net::TcpStream::connect_timeout(&to, Duration::from_millis(50))).collect();
    let client = client(1);
    async_io::block_on(async {
        for _ in 0..3 {
            let heard = client
                .prefill(&AttemptRequest { connect_timeout: Duration::from_millis(50), ..call(to) }, &|| {})
                .await;
            assert_eq!(heard.result, Err(AttemptEnd::NotConnected));
        }
    });
    assert_eq!(client.connection_counts(), (0, 0));
}

#[test]
fn while_a_state_waits_a_used_connection_that_leads_nowhere_is_told_from_one_to_a_slow_server() {
    for there in [true, false] {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let to = listener.local_addr().unwrap();
        let answer = b"HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\": 4}";
        let server = std::thread::spawn(move || {
            let (mut used, _) = listener.accept().unwrap();
            let mut request = [0; 1024];
            while used.read(&mut request).unwrap() == 0 {}
            used.write_all(answer).unwrap();
            // Then nothing listens any more, or another connection comes up before the answer.
            let listener = there.then_some(listener);
            while used.read(&mut request).unwrap() == 0 {}
            if let Some(listener) = listener {
                let proof = listener.accept().unwrap();
                used.write_all(answer).unwrap();
                drop(proof);
            }
            // Open until the client has gone.
            let _ = used.read(&mut request);
        });
        let client = client(4);
        async_io::block_on(async {
            assert_eq!(client.prefill(&call(to), &|| {}).await.result, Ok(4.0));
            rest().await;
            let reached = std::cell::Cell::new(false);
            let held =
                AttemptRequest { holds_cache: true, connect_timeout: Duration::from_millis(100), ..call(to) };
            let heard = client.prefill(&held, &|| reached.set(true)).await;
            let expected = if there { Ok(4.0) } else { Err(AttemptEnd::Reset) };
            assert_eq!(heard.result, expected);
            assert!(there || !reached.get(), "nothing proves that its server has it");
        });
        drop(client);
        server.join().unwrap();
    }
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left_also_while_the_connection_came_up() {
    let server = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let client = client(4);
    async_io::block_on(async {
        // Asked before a connection is made, and again once it is there.
        for leaves_at in [0, 1] {
            let looks = Rc::new(Cell::new(0));
            let may_go = Rc::new(move || match looks.replace(looks.get() + 1) >= leaves_at {
                true => SendPermission::ClientLeft,
                false => SendPermission::Granted,
            });
            let heard = client
                .decode(
                    &AttemptRequest { send_check: may_go, new_connection: true, ..call(server.address) },
                    &|| {},
                )
                .await;
            assert_eq!(heard.result.err(), Some(AttemptEnd::ReturnedUnsent), "{leaves_at}");
        }
    });
    assert!(server.requests().is_empty(), "{:?}", server.requests());
    // The connection that came up for nobody serves the next.
    assert_eq!(async_io::block_on(written(&client, server.address)), (events(), Ok(())));
    assert_eq!(server.connections(), 1);
}

/// Answers every request with these bytes, then closes.
fn answers(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut asked = Vec::new();
            while !asked.ends_with(b"{}") {
                let mut piece = [0; 1024];
                match stream.read(&mut piece) {
                    Ok(count) if count > 0 => asked.extend_from_slice(&piece[..count]),
                    _ => break,
                }
            }
            let _ = stream.write_all(&bytes);
        }
    });
    address
}

#[test]
fn an_answer_that_breaks_off_at_any_byte_has_failed_and_may_have_run() {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let stream =
        format!("{head}{}{}0\r\nTrailer: x\r\n\r\n", chunk("data: a\n\n"), chunk("data: [DONE]\n\n"));
    let read = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}";
    let declined = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 4\r\n\r\nbusy";
    let client = client(4);
    for cut in 0..stream.len() {
        let to = answers(stream.as_bytes()[..cut].to_vec());
        let (passed, ended) = async_io::block_on(written(&client, to));
        let ended = ended.expect_err("not whole");
        assert!(!ended.proves_not_run() && ended.outcome(false) != Outcome::Completed, "{cut}: {ended:?}");
        assert!("data: a\n\ndata: [DONE]\n\n".starts_with(&passed), "{cut}: {passed}");
    }
    for cut in 0..read.len() {
        let to = answers(read.as_bytes()[..cut].to_vec());
        let ended = async_io::block_on(client.prefill(&call(to), &|| {})).result.expect_err("not whole");
        assert!(!ended.proves_not_run(), "{cut}: {ended:?}");
    }
    // The mark counts once the head that holds it is whole.
    let whole = declined.find("\r\n\r\n").unwrap() + 4;
    for cut in 0..declined.len() {
        let to = answers(declined.as_bytes()[..cut].to_vec());
        let ended = async_io::block_on(client.prefill(&call(to), &|| {})).result.expect_err("declined");
        assert_eq!(ended.proves_not_run(), cut >= whole, "{cut}: {ended:?}");
    }
}

/// Takes connections only once it is told to: until then its queue is full, and the next ones hang.
struct IngressError {
    listener: TcpListener,
    to: SocketAddr,
    queue: Vec<std::net::TcpStream>,
}

impl IngressError {
    fn start() -> IngressError {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        rustix::net::listen(&listener, 0).unwrap();
        let to = listener.local_addr().unwrap();
        let connect = |_| std::net::TcpStream::connect_timeout(&to, Duration::from_millis(100)).ok();
        IngressError { queue: (0..4).map_while(connect).collect(), listener, to }
    }

    /// Takes what is queued, and the one that comes up late behind it.
    fn open(self) -> std::net::TcpStream {
        for _ in &self.queue {
            self.listener.accept().unwrap();
        }
        self.listener.accept().unwrap().0
    }
}

/// What comes on a connection until its end.
fn all_of(mut stream: std::net::TcpStream) -> Vec<u8> {
    let mut came = Vec::new();
    let _ = stream.read_to_end(&mut came);
    came
}

#[test]
fn what_was_overtaken_while_its_connection_came_up_is_not_sent_and_has_not_run() {
    for release in [false, true] {
        let shut = IngressError::start();
        let (to, client) = (shut.to, client(4));
        let overtaken = Rc::new(Cell::new(false));
        let asked = overtaken.clone();
        let may_go: Rc<dyn Fn() -> SendPermission> =
            Rc::new(move || if asked.get() { SendPermission::Denied } else { SendPermission::Granted });
        async_io::block_on(async {
            let sent = async {
                if release {
                    client.release(to, "00000000000000aa", PATIENCE, &*may_go).await
                } else {
                    let call =
                        AttemptRequest { send_check: may_go.clone(), connect_timeout: PATIENCE, ..call(to) };
                    client.prefill(&call, &|| panic!("it was never out")).await.result.map(|_| ())
                }
            };
            // The server drains, or the word is taken back, while the connection hangs; only then is it taken.
            let late = async {
                async_io::Timer::after(Duration::from_millis(50)).await;
                overtaken.set(true);
                blocking(move || shut.open()).await
            };
            let (ended, taken) = future::zip(sent, late).await;
            assert_eq!(ended, Err(AttemptEnd::NotSent), "{release}");
            assert!(
                AttemptEnd::NotSent.proves_not_run()
                    && AttemptEnd::NotSent.outcome(false) == Outcome::NeverSent
            );
            // The connection waits for another exchange; nothing has come on it once it ends.
            client.retain_endpoints(|_| false);
            assert_eq!(all_of(taken), b"", "{release}");
        });
    }
}

/// Waits for a peer's own thread.
async fn blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (done, waits) = async_channel::bounded(1);
    std::thread::spawn(move || done.send_blocking(work()));
    waits.recv().await.unwrap()
}

#[test]
fn a_server_that_is_killed_right_after_its_accept_counts_as_having_had_nothing() {
    let shut = IngressError::start();
    let (to, client) = (shut.to, client(4));
    let reached = Cell::new(false);
    async_io::block_on(async {
        let call = AttemptRequest { connect_timeout: PATIENCE, ..call(to) };
        let told = || reached.set(true);
        let sent = client.prefill(&call, &told);
        // It is taken late, and closed over the request that has come on it: that resets it.
        let killed = blocking(move || {
            let taken = shut.open();
            while taken.peek(&mut [0]).is_ok_and(|count| count == 0) {}
        });
        let (heard, ()) = future::zip(sent, killed).await;
        assert_eq!(heard.result, Err(AttemptEnd::Reset), "it may have run all the same");
    });
    assert!(!reached.get(), "nothing proves that a server that ran had it");
}

#[test]
fn an_answer_behind_a_good_one_some_milliseconds_late_is_not_taken_for_the_next() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let to = listener.local_addr().unwrap();
    let answer = |kept: u32| {
        format!("HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{{\"cached_tokens\":{kept}}}")
            .into_bytes()
    };
    // Whichever request comes second, the first connection brings its late answer before anything else is said.
    let server = std::thread::spawn(move || {
        let mut request = [0; 1024];
        let (mut first, _) = listener.accept().unwrap();
        while first.read(&mut request).unwrap() == 0 {}
        first.write_all(&answer(1)).unwrap();
        first.set_nonblocking(true).unwrap();
        listener.set_nonblocking(true).unwrap();
        let late = std::time::Instant::now() + PATIENCE;
        while std::time::Instant::now() < late {
            if first.read(&mut request).is_ok_and(|count| count > 0) {
                first.write_all(&answer(1)).unwrap();
                return first.write_all(&answer(2)).unwrap();
            }
            if let Ok((mut second, _)) = listener.accept() {
                second.set_nonblocking(false).unwrap();
                while second.read(&mut request).unwrap() == 0 {}
                first.write_all(&answer(1)).unwrap();
                return second.write_all(&answer(2)).unwrap();
            }
        }
    });
    let client = client(4);
    async_io::block_on(async {
        assert_eq!(client.prefill(&call(to), &|| {}).await.result, Ok(1.0));
        assert_eq!(client.prefill(&call(to), &|| {}).await.result, Ok(2.0), "its own answer");
    });
    server.join().unwrap();
}

#[test]
fn where_no_connection_is_free_that_says_nothing_of_the_server() {
    let silent = ModelServer::start(false, ServerBehavior::Silent).unwrap();
    let good = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let client = client(1);
    async_io::block_on(async {
        let waits = async {
            client.decode(&call(silent.address), &|| {}).await;
            unreachable!("it never answers")
        };
        let second = async {
            while silent.requests().is_empty() {
                async_io::Timer::after(Duration::from_millis(1)).await;
            }
            client.prefill(&call(good.address), &|| {}).await.result
        };
        assert_eq!(future::or(waits, second).await, Err(AttemptEnd::NotSent));
    });
    assert_eq!(good.connections(), 0);
}

#[test]
fn the_time_that_a_server_is_told_is_what_is_left_when_its_connection_has_come_up() {
    let shut = IngressError::start();
    let (to, client) = (shut.to, client(4));
    async_io::block_on(async {
        let begun = std::time::Instant::now();
        let call = AttemptRequest { connect_timeout: PATIENCE, ..call(to) };
        let sent = client.prefill(&call, &|| {});
        let told = blocking(move || {
            let mut taken = shut.open();
            let waited = begun.elapsed().as_millis() as u64;
            let mut request = [0; 1024];
            let count = taken.read(&mut request).unwrap();
            let text = String::from_utf8_lossy(&request[..count]).into_owned();
            let told = text.split("Req-Deadline-Ms: ").nth(1).and_then(|rest| rest.split('\r').next());
            (waited, told.unwrap().parse::<u64>().unwrap())
        });
        let (_, (waited, told)) = future::zip(sent, told).await;
        assert!(
            waited > 500 && told <= 5_000 - waited + 150,
            "{told} ms are told after {waited} ms of 5,000"
        );
    });
}

/// How a read ends within the time, and whether its server was said to have it.
fn ended_within(client: &Client, call: &AttemptRequest, within: Duration) -> (Option<AttemptEnd>, bool) {
    let reached = Cell::new(false);
    let note_reached = || reached.set(true);
    let ended = async { client.prefill(call, &note_reached).await.result.err() };
    let late = async {
        async_io::Timer::after(within).await;
        None
    };
    let ended = async_io::block_on(future::or(ended, late));
    (ended, reached.get())
}

#[test]
fn a_request_whose_last_byte_can_not_be_written_is_broken_off_in_the_time_for_its_connection() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let to = listener.local_addr().unwrap();
    let large = Bytes::from(vec![b' '; 16 << 20]);
    let stuck = AttemptRequest {
        body: large,
        holds_cache: true,
        connect_timeout: Duration::from_millis(400),
        ..call(to)
    };
    // On a new connection, which its server's machine takes without anybody reading on it.
    let new = client(4);
    assert_eq!(ended_within(&new, &stuck, Duration::from_secs(2)), (Some(AttemptEnd::NotConnected), false));
    // On a used one.
    let used = client(4);
    let (first, answered) = (call(to), async_channel::bounded::<()>(1));
    let server = std::thread::spawn(move || {
        let _queued = listener.accept().unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let count = stream.read(&mut request).unwrap();
        assert!(count > 0);
        stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}").unwrap();
        let _ = answered.1.recv_blocking();
        drop((stream, listener));
    });
    async_io::block_on(async {
        assert_eq!(used.prefill(&first, &|| {}).await.result, Ok(0.0));
        rest().await;
    });
    assert_eq!(used.connection_counts(), (1, 1));
    let (ended, reached) = ended_within(&used, &stuck, Duration::from_secs(2));
    assert!(ended.is_some_and(AttemptEnd::proves_not_run) && !reached, "{ended:?}, {reached}");
    drop(answered.0);
    server.join().unwrap();
}

#[test]
fn while_a_state_waits_a_used_connection_that_nothing_proves_counts_as_broken_off() {
    let server = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let client = client(1);
    async_io::block_on(async {
        assert!(client.prefill(&call(server.address), &|| {}).await.result.is_ok());
        rest().await;
    });
    server.set(ServerBehavior::Silent);
    // Its own connection takes the only permit, so none can come up as a proof.
    let held = AttemptRequest {
        holds_cache: true,
        connect_timeout: Duration::from_millis(400),
        ..call(server.address)
    };
    assert_eq!(ended_within(&client, &held, Duration::from_secs(2)), (Some(AttemptEnd::Reset), false));
}

#[test]
fn while_a_state_waits_a_new_connection_that_falls_silent_proves_nothing() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    // One connection comes up and is taken by nobody; no other does.
    rustix::net::listen(&listener, 0).unwrap();
    let to = listener.local_addr().unwrap();
    let held = AttemptRequest { holds_cache: true, connect_timeout: Duration::from_millis(400), ..call(to) };
    assert_eq!(ended_within(&client(4), &held, Duration::from_secs(2)), (Some(AttemptEnd::Reset), false));
}

#[test]
fn a_request_that_is_taken_slowly_is_broken_off_before_the_time_it_tells_is_stale() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let to = listener.local_addr().unwrap();
    let large = 16 << 20;
    let server = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        std::thread::sleep(Duration::from_millis(400));
        all_of(stream).len()
    });
    let slow = AttemptRequest { body: Bytes::from(vec![b' '; large]), ..call(to) };
    let ended = ended_within(&client(4), &slow, Duration::from_secs(3));
    assert_eq!(ended, (Some(AttemptEnd::NotConnected), false));
    assert!(server.join().unwrap() < large, "its last byte was never written");
}
