//! Tests of liveness proofs. While a KV cache is reserved, a server has to prove that its process runs: an accepted
//! connection or accepted bytes do not prove this.

use crate::support::{client, prefill_within, request, request_holding_cache, wait_until_reusable};
use petrelshore::interface::Outcome;
use petrelshore_emulator::platform::{ModelServer, ServerBehavior};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_platform_engine_client::AttemptRequest;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const PREFILL_RESPONSE: &[u8] = b"HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\": 4}";
const RELEASE_RESPONSE: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// Reads the next request on a connection, up to the end of its head. Returns what was received if the connection ends
/// first.
fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 1024];
    while !text.contains("\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => text.push_str(&String::from_utf8_lossy(&buffer[..count])),
            _ => return text,
        }
    }
    text
}

/// Reads a request, checks its method and sends the response.
fn answer(stream: &mut TcpStream, method: &str, response: &[u8]) {
    let request = read_request(stream);
    assert!(request.starts_with(method), "{request}");
    stream.write_all(response).unwrap();
}

#[test]
fn liveness_proof_tells_a_stopped_server_from_a_slow_one() {
    for alive in [true, false] {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let (delivered, delivery) = async_channel::bounded::<()>(1);
        let server = std::thread::spawn(move || {
            let (mut first, _) = listener.accept().unwrap();
            answer(&mut first, "POST", PREFILL_RESPONSE);
            // The probe that is sent right before the second prefill request.
            answer(&mut first, "DELETE", RELEASE_RESPONSE);
            assert!(read_request(&mut first).starts_with("POST"));
            // The connection for the liveness proof is accepted in both cases, but only a running server answers on it.
            let (mut proof, _) = listener.accept().unwrap();
            if alive {
                answer(&mut proof, "DELETE", RELEASE_RESPONSE);
                delivery.recv_blocking().unwrap();
                first.write_all(PREFILL_RESPONSE).unwrap();
            }
            // Keeps the first connection open until the client closes it.
            let _ = read_request(&mut first);
        });
        let client = client(4);
        async_io::block_on(async {
            assert_eq!(client.prefill(&request(address), &|| {}).await.result, Ok(4.0));
            wait_until_reusable().await;
            let deliveries = Cell::new(0);
            let on_delivered = || {
                deliveries.set(deliveries.get() + 1);
                let _ = delivered.try_send(());
            };
            let reply = client.prefill(&request_holding_cache(address), &on_delivered).await;
            let expected = if alive { Ok(4.0) } else { Err(AttemptEnd::Unproven) };
            assert_eq!(reply.result, expected);
            assert_eq!(deliveries.get(), usize::from(alive));
        });
        drop(client);
        server.join().unwrap();
    }
    assert!(AttemptEnd::Unresponsive.proves_not_run(), "no request is written to an unresponsive server");
    assert!(!AttemptEnd::Unproven.proves_not_run(), "the request may have run, or may still run");
    assert_eq!(AttemptEnd::Unproven.outcome(false), Outcome::Reset);
}

#[test]
fn pooled_connection_without_liveness_proof_is_unproven() {
    let server = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let client = client(1);
    async_io::block_on(async {
        assert!(client.prefill(&request(server.address), &|| {}).await.result.is_ok());
        wait_until_reusable().await;
    });
    server.set(ServerBehavior::Silent);
    // The request's own connection takes the only permit, so no connection can be established for the liveness proof.
    let ended = prefill_within(&client, &request_holding_cache(server.address), Duration::from_secs(2));
    assert_eq!(ended, (Some(AttemptEnd::Unproven), false));
}

#[test]
fn nothing_but_the_probe_is_written_to_a_server_that_does_not_answer() {
    for pooled in [false, true] {
        let server = ModelServer::start(true, ServerBehavior::Good).unwrap();
        let client = client(4);
        if pooled {
            async_io::block_on(async {
                assert!(client.prefill(&request(server.address), &|| {}).await.result.is_ok());
                wait_until_reusable().await;
            });
        }
        server.set(ServerBehavior::Unresponsive);
        let before = server.requests().len();
        let ended = prefill_within(&client, &request_holding_cache(server.address), Duration::from_secs(2));
        assert_eq!(ended, (Some(AttemptEnd::Unresponsive), false), "pooled: {pooled}");
        let requests = server.requests();
        let probed = |request: &String| request.starts_with("DELETE /kv/leases/00000000000000ff");
        assert!(requests[before..].iter().all(probed), "pooled: {pooled}, {requests:?}");
    }
}

#[test]
fn new_connection_that_falls_silent_proves_nothing() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    // With this backlog, one connection is established but never accepted, and no other connection is established.
    rustix::net::listen(&listener, 0).unwrap();
    let address = listener.local_addr().unwrap();
    // No probe is available while no request is finished. The request is then written without a previous proof.
    let unprobed = AttemptRequest { probe: None, ..request_holding_cache(address) };
    let ended = prefill_within(&client(4), &unprobed, Duration::from_secs(2));
    assert_eq!(ended, (Some(AttemptEnd::Unproven), false));
}

#[test]
fn second_answer_to_a_probe_is_not_taken_for_the_response() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        answer(&mut stream, "DELETE", RELEASE_RESPONSE);
        assert!(read_request(&mut stream).starts_with("POST"));
        stream.write_all(&[RELEASE_RESPONSE, PREFILL_RESPONSE].concat()).unwrap();
        let _ = read_request(&mut stream);
    });
    let client = client(4);
    let reply = async_io::block_on(client.prefill(&request_holding_cache(address), &|| {}));
    assert_eq!(reply.result, Ok(4.0));
    drop(client);
    server.join().unwrap();
}
