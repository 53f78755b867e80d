//! While a KV cache is held, a server has to prove that it is alive.

use crate::support::{client, let_it_idle, prefill_within, request};
use petrelshore_emulator::platform::{ModelServer, ServerBehavior};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_platform_engine_client::AttemptRequest;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

#[test]
fn liveness_proof_tells_a_dead_server_from_a_slow_one() {
    for alive in [true, false] {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let to = listener.local_addr().unwrap();
        let response = b"HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\": 4}";
        let server = std::thread::spawn(move || {
            let (mut first, _) = listener.accept().unwrap();
            let mut request = [0; 1024];
            while first.read(&mut request).unwrap() == 0 {}
            first.write_all(response).unwrap();
            // Then nothing listens any more, or another connection is established before the response.
            let listener = alive.then_some(listener);
            while first.read(&mut request).unwrap() == 0 {}
            if let Some(listener) = listener {
                let proof = listener.accept().unwrap();
                first.write_all(response).unwrap();
                drop(proof);
            }
            // Open until the client has closed.
            let _ = first.read(&mut request);
        });
        let client = client(4);
        async_io::block_on(async {
            assert_eq!(client.prefill(&request(to), &|| {}).await.result, Ok(4.0));
            let_it_idle().await;
            let delivered = Cell::new(false);
            let held = AttemptRequest {
                holds_cache: true,
                connect_timeout: Duration::from_millis(100),
                ..request(to)
            };
            let reply = client.prefill(&held, &|| delivered.set(true)).await;
            let expected = if alive { Ok(4.0) } else { Err(AttemptEnd::Reset) };
            assert_eq!(reply.result, expected);
            assert!(alive || !delivered.get(), "nothing proves that its server has it");
        });
        drop(client);
        server.join().unwrap();
    }
}

#[test]
fn pooled_connection_without_liveness_proof_is_a_reset() {
    let server = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let client = client(1);
    async_io::block_on(async {
        assert!(client.prefill(&request(server.address), &|| {}).await.result.is_ok());
        let_it_idle().await;
    });
    server.set(ServerBehavior::Silent);
    // Its own connection holds the only permit, so none can be established as a proof.
    let held = AttemptRequest {
        holds_cache: true,
        connect_timeout: Duration::from_millis(400),
        ..request(server.address)
    };
    assert_eq!(prefill_within(&client, &held, Duration::from_secs(2)), (Some(AttemptEnd::Reset), false));
}

#[test]
fn new_connection_that_falls_silent_is_a_reset() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    // One connection is established and never accepted; no other is.
    rustix::net::listen(&listener, 0).unwrap();
    let to = listener.local_addr().unwrap();
    let held =
        AttemptRequest { holds_cache: true, connect_timeout: Duration::from_millis(400), ..request(to) };
    assert_eq!(prefill_within(&client(4), &held, Duration::from_secs(2)), (Some(AttemptEnd::Reset), false));
}
