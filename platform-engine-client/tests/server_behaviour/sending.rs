//! Tests what is sent on connections that are established late or accept bytes slowly.

use crate::support::{
    BlockedListener, TEST_TIMEOUT, client, prefill_within, read_stream, read_to_end, request,
    request_holding_cache, run_blocking, wait_until_reusable,
};
use bytes::Bytes;
use futures_lite::future;
use petrelshore::interface::Outcome;
use petrelshore_emulator::platform::{ModelServer, ServerBehavior, events};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_platform_engine_client::{AttemptRequest, ConnectionCounts, SendPermission};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

#[test]
fn nothing_is_sent_once_the_client_has_left() {
    let server = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let client = client(4);
    async_io::block_on(async {
        // The send check runs before a connection is established and again after that. The check denies from
        // the first or from the second call on.
        for denied_from in [0, 1] {
            let checks = Rc::new(Cell::new(0));
            let send_check = Rc::new(move || match checks.replace(checks.get() + 1) >= denied_from {
                true => SendPermission::ClientLeft,
                false => SendPermission::Granted,
            });
            let reply = client
                .decode(
                    &AttemptRequest { send_check, new_connection: true, ..request(server.address) },
                    &|| {},
                )
                .await;
            assert_eq!(reply.result.err(), Some(AttemptEnd::ReturnedUnsent), "denied from: {denied_from}");
        }
    });
    assert!(server.requests().is_empty(), "{:?}", server.requests());
    // The unused connection serves the next request.
    assert_eq!(async_io::block_on(read_stream(&client, server.address)), (events(), Ok(())));
    assert_eq!(server.connections(), 1);
}

#[test]
fn request_denied_while_connecting_is_not_sent() {
    for release in [false, true] {
        let blocked = BlockedListener::start();
        let (address, client) = (blocked.address, client(4));
        let denied = Rc::new(Cell::new(false));
        let checked = denied.clone();
        let send_check: Rc<dyn Fn() -> SendPermission> =
            Rc::new(move || if checked.get() { SendPermission::Denied } else { SendPermission::Granted });
        async_io::block_on(async {
            let sent = async {
                if release {
                    client.release(address, "00000000000000aa", TEST_TIMEOUT, &*send_check).await
                } else {
                    let attempt = AttemptRequest {
                        send_check: send_check.clone(),
                        connect_timeout: TEST_TIMEOUT,
                        ..request(address)
                    };
                    client
                        .prefill(&attempt, &|| panic!("the request must not be sent"))
                        .await
                        .result
                        .map(|_| ())
                }
            };
            // The send check starts to deny while the connection hangs, as it does when the server starts draining or
            // the release is revoked. The connection is accepted only after that.
            let accepted = async {
                async_io::Timer::after(Duration::from_millis(50)).await;
                denied.set(true);
                run_blocking(move || blocked.open()).await
            };
            let (ended, stream) = future::zip(sent, accepted).await;
            assert_eq!(ended, Err(AttemptEnd::NotSent), "release: {release}");
            assert!(
                AttemptEnd::NotSent.proves_not_run()
                    && AttemptEnd::NotSent.outcome(false) == Outcome::NeverSent
            );
            // Closes the unused connection, which is in the pool. The server must have received nothing on this
            // connection.
            client.retain_endpoints(|_| false);
            assert_eq!(read_to_end(stream), b"", "release: {release}");
        });
    }
}

#[test]
fn connect_timeout_returns_the_permit_and_proves_not_run() {
    // The listener's backlog is full, so that further connections hang.
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    rustix::net::listen(&listener, 0).unwrap();
    let address = listener.local_addr().unwrap();
    let _backlog: Vec<_> =
        (0..4).map(|_| TcpStream::connect_timeout(&address, Duration::from_millis(50))).collect();
    let client = client(1);
    async_io::block_on(async {
        for _ in 0..3 {
            let reply = client
                .prefill(
                    &AttemptRequest { connect_timeout: Duration::from_millis(50), ..request(address) },
                    &|| {},
                )
                .await;
            assert_eq!(reply.result, Err(AttemptEnd::NotConnected));
        }
    });
    assert_eq!(client.connection_counts(), ConnectionCounts { open: 0, idle: 0 });
}

#[test]
fn reset_within_a_round_trip_is_not_delivered() {
    let blocked = BlockedListener::start();
    let (address, client) = (blocked.address, client(4));
    let delivered = Cell::new(false);
    async_io::block_on(async {
        let attempt = AttemptRequest { connect_timeout: TEST_TIMEOUT, ..request(address) };
        let on_delivered = || delivered.set(true);
        let sent = client.prefill(&attempt, &on_delivered);
        // The connection is accepted late and closed with the request unread, which resets the connection.
        let accept_and_close = run_blocking(move || {
            let stream = blocked.open();
            while stream.peek(&mut [0]).is_ok_and(|count| count == 0) {}
        });
        let (reply, ()) = future::zip(sent, accept_and_close).await;
        assert_eq!(reply.result, Err(AttemptEnd::Reset), "the request may have run nevertheless");
    });
    assert!(!delivered.get(), "nothing proves that a running server received the request");
}

#[test]
fn stated_deadline_excludes_the_time_spent_connecting() {
    let blocked = BlockedListener::start();
    let (address, client) = (blocked.address, client(4));
    async_io::block_on(async {
        let started = Instant::now();
        let attempt = AttemptRequest { connect_timeout: TEST_TIMEOUT, ..request(address) };
        let sent = client.prefill(&attempt, &|| {});
        let stated = run_blocking(move || {
            let mut stream = blocked.open();
            let waited = started.elapsed().as_millis() as u64;
            let mut request = [0; 1024];
            let count = stream.read(&mut request).unwrap();
            let text = String::from_utf8_lossy(&request[..count]).into_owned();
            let stated = text.split("Req-Deadline-Ms: ").nth(1).and_then(|rest| rest.split('\r').next());
            (waited, stated.unwrap().parse::<u64>().unwrap())
        });
        let (_, (waited, stated)) = future::zip(sent, stated).await;
        assert!(
            waited > 500 && stated <= 5_000 - waited + 150,
            "the request states {stated} ms after {waited} of 5,000 ms have passed"
        );
    });
}

#[test]
fn unwritable_request_is_aborted_within_the_connect_timeout() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let address = listener.local_addr().unwrap();
    let large = Bytes::from(vec![b' '; 16 << 20]);
    let stuck = AttemptRequest { body: large, ..request_holding_cache(address) };
    // Sends on a new connection. The server's machine establishes the connection although no process reads from it.
    let new = client(4);
    let unprobed = AttemptRequest { probe: None, body: stuck.body.clone(), ..request_holding_cache(address) };
    let ended = prefill_within(&new, &unprobed, Duration::from_secs(2));
    assert_eq!(ended, (Some(AttemptEnd::NotConnected), false));
    // Sends on a pooled connection.
    let pooled = client(4);
    let (first, finished) = (request(address), async_channel::bounded::<()>(1));
    let server = std::thread::spawn(move || {
        let _unread_connection = listener.accept().unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let count = stream.read(&mut request).unwrap();
        assert!(count > 0);
        stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}").unwrap();
        // The server answers the probe and reads nothing more.
        let count = stream.read(&mut request).unwrap();
        assert!(request[..count].starts_with(b"DELETE"));
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
        let _ = finished.1.recv_blocking();
        drop((stream, listener));
    });
    async_io::block_on(async {
        assert_eq!(pooled.prefill(&first, &|| {}).await.result, Ok(0.0));
        wait_until_reusable().await;
    });
    assert_eq!(pooled.connection_counts(), ConnectionCounts { open: 1, idle: 1 });
    let (ended, delivered) = prefill_within(&pooled, &stuck, Duration::from_secs(2));
    assert!(ended.is_some_and(AttemptEnd::proves_not_run) && !delivered, "{ended:?}, {delivered}");
    drop(finished.0);
    server.join().unwrap();
}

#[test]
fn slowly_read_request_is_aborted_before_its_deadline_is_stale() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 4096).unwrap();
    let address = listener.local_addr().unwrap();
    let large = 16 << 20;
    let server = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        std::thread::sleep(Duration::from_millis(400));
        read_to_end(stream).len()
    });
    let slow = AttemptRequest { body: Bytes::from(vec![b' '; large]), ..request(address) };
    let ended = prefill_within(&client(4), &slow, Duration::from_secs(3));
    assert_eq!(ended, (Some(AttemptEnd::NotConnected), false));
    assert!(server.join().unwrap() < large, "the last byte must not be written");
}
