//! Tests which connections are reused and how many are open.

use crate::support::{TEST_TIMEOUT, client, read_stream, request, wait_until_reusable};
use futures_lite::future;
use petrelshore_emulator::platform::{ModelServer, ServerBehavior, events};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_platform_engine_client::{ConnectionCounts, SendPermission};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn connection_with_unsolicited_bytes_is_not_reused() {
    let server = ModelServer::start(false, ServerBehavior::SecondResponse).unwrap();
    let client = client(4);
    for _ in 0..2 {
        assert_eq!(async_io::block_on(read_stream(&client, server.address)), (events(), Ok(())));
        // Bytes that arrive only after this wait would be found before the next use, too.
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(server.connections(), 2);
}

#[test]
fn longest_idle_connection_is_closed_at_the_limit() {
    let servers = [ServerBehavior::Good; 3].map(|behavior| ModelServer::start(false, behavior).unwrap());
    let client = client(2);
    for server in &servers {
        assert_eq!(async_io::block_on(read_stream(&client, server.address)).1, Ok(()));
    }
    assert_eq!(client.connection_counts(), ConnectionCounts { open: 2, idle: 2 });
    let released =
        client.release(servers[0].address, "00000000000000aa", TEST_TIMEOUT, &|| SendPermission::Granted);
    assert_eq!(async_io::block_on(released), Ok(()));
    assert_eq!(servers[0].requests()[1], "DELETE /kv/leases/00000000000000aa ");
}

#[test]
fn pooled_connection_closed_under_request_is_a_reset() {
    let server = ModelServer::start(false, ServerBehavior::OncePerConnection).unwrap();
    let client = client(4);
    async_io::block_on(async {
        assert_eq!(read_stream(&client, server.address).await, (events(), Ok(())));
        assert_eq!(
            client.connection_counts(),
            ConnectionCounts { open: 1, idle: 1 },
            "the connection is pooled"
        );
        wait_until_reusable().await;
        let (forwarded, ended) = read_stream(&client, server.address).await;
        assert_eq!(
            (forwarded.as_str(), ended),
            ("", Err(AttemptEnd::Reset)),
            "the server received the complete request and may have run it"
        );
        assert_eq!(read_stream(&client, server.address).await, (events(), Ok(())));
    });
    assert_eq!(server.connections(), 2);
}

#[test]
fn late_unsolicited_response_is_not_taken_for_the_next() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let response = |cached: u32| {
        format!("HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{{\"cached_tokens\":{cached}}}")
            .into_bytes()
    };
    // Whichever connection carries the second request, the server first sends a second response to the first request on
    // the first connection.
    let server = std::thread::spawn(move || {
        let mut request = [0; 1024];
        let (mut first, _) = listener.accept().unwrap();
        while first.read(&mut request).unwrap() == 0 {}
        first.write_all(&response(1)).unwrap();
        first.set_nonblocking(true).unwrap();
        listener.set_nonblocking(true).unwrap();
        let deadline = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < deadline {
            if first.read(&mut request).is_ok_and(|count| count > 0) {
                first.write_all(&response(1)).unwrap();
                return first.write_all(&response(2)).unwrap();
            }
            if let Ok((mut second, _)) = listener.accept() {
                second.set_nonblocking(false).unwrap();
                while second.read(&mut request).unwrap() == 0 {}
                first.write_all(&response(1)).unwrap();
                return second.write_all(&response(2)).unwrap();
            }
        }
    });
    let client = client(4);
    async_io::block_on(async {
        assert_eq!(client.prefill(&request(address), &|| {}).await.result, Ok(1.0));
        assert_eq!(
            client.prefill(&request(address), &|| {}).await.result,
            Ok(2.0),
            "the second request gets its own response"
        );
    });
    server.join().unwrap();
}

#[test]
fn exhausted_connection_limit_is_not_sent() {
    let silent = ModelServer::start(false, ServerBehavior::Silent).unwrap();
    let good = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let client = client(1);
    async_io::block_on(async {
        let unanswered = async {
            client.decode(&request(silent.address), &|| {}).await;
            unreachable!("the silent server never responds")
        };
        let second = async {
            while silent.requests().is_empty() {
                async_io::Timer::after(Duration::from_millis(1)).await;
            }
            client.prefill(&request(good.address), &|| {}).await.result
        };
        assert_eq!(future::or(unanswered, second).await, Err(AttemptEnd::NotSent));
    });
    assert_eq!(good.connections(), 0);
}
