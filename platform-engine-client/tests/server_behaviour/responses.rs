//! Tests how valid and invalid responses of model servers are reported.

use crate::support::{client, read_stream, request, wait_until_reusable};
use petrelshore::interface::Outcome;
use petrelshore_emulator::platform::{ModelServer, ServerBehavior, events};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_platform_engine_client::ConnectionCounts;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

#[test]
fn good_stream_is_forwarded_unchanged_and_its_connection_reused() {
    let server = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let client = client(4);
    async_io::block_on(async {
        for _ in 0..3 {
            assert_eq!(read_stream(&client, server.address).await, (events(), Ok(())));
            wait_until_reusable().await;
        }
    });
    assert_eq!(
        (server.connections(), client.connection_counts()),
        (1, ConnectionCounts { open: 1, idle: 1 })
    );
    assert_eq!(server.requests()[2], "POST /v1/chat/completions?a=b 00000000000000aa");
}

#[test]
fn prefill_reports_cached_tokens_and_load() {
    let server = ModelServer::start(true, ServerBehavior::Interim).unwrap();
    let client = client(4);
    let reply = async_io::block_on(client.prefill(&request(server.address), &|| {}));
    assert_eq!((reply.result, reply.load.is_none()), (Ok(4.0), true), "a malformed load report is ignored");
    server.set(ServerBehavior::Good);
    let reply = async_io::block_on(client.prefill(&request(server.address), &|| {}));
    assert_eq!((reply.result, reply.load.unwrap().memory_share), (Ok(4.0), Some(0.25)));
}

#[test]
fn each_bad_response_has_its_attempt_end() {
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
    for (behavior, end) in cases {
        server.set(behavior);
        let result = async_io::block_on(read_stream(&client, server.address));
        assert_eq!(result, (String::new(), Err(end)), "{behavior:?}");
    }
    let closed = TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap();
    let result = async_io::block_on(read_stream(&client, closed));
    assert_eq!(result, (String::new(), Err(AttemptEnd::NotConnected)));
}

#[test]
fn malformed_stream_forwards_complete_events_and_closes_connection() {
    let server = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let client = client(4);
    for behavior in [ServerBehavior::BadChunk, ServerBehavior::HugeChunk, ServerBehavior::InvalidEvent] {
        server.set(behavior);
        let (forwarded, ended) = async_io::block_on(read_stream(&client, server.address));
        assert_eq!(ended, Err(AttemptEnd::Malformed), "{behavior:?}");
        assert!(events().starts_with(&forwarded), "{behavior:?}: {forwarded}");
        assert_eq!(client.connection_counts().open, 0, "{behavior:?}");
    }
}

/// Starts a server that answers every request with the given bytes and then closes the connection. Returns its address.
fn respond_with(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = Vec::new();
            while !request.ends_with(b"{}") {
                let mut part = [0; 1024];
                match stream.read(&mut part) {
                    Ok(count) if count > 0 => request.extend_from_slice(&part[..count]),
                    _ => break,
                }
            }
            let _ = stream.write_all(&bytes);
        }
    });
    address
}

#[test]
fn response_cut_at_any_byte_fails_and_may_have_run() {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let stream =
        format!("{head}{}{}0\r\nTrailer: x\r\n\r\n", chunk("data: a\n\n"), chunk("data: [DONE]\n\n"));
    let prefill = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}";
    let declined = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 4\r\n\r\nbusy";
    let client = client(4);
    for cut in 0..stream.len() {
        let address = respond_with(stream.as_bytes()[..cut].to_vec());
        let (forwarded, ended) = async_io::block_on(read_stream(&client, address));
        let ended = ended.expect_err("the response is incomplete");
        assert!(
            !ended.proves_not_run() && ended.outcome(false) != Outcome::Completed,
            "cut at byte {cut}: {ended:?}"
        );
        assert!("data: a\n\ndata: [DONE]\n\n".starts_with(&forwarded), "cut at byte {cut}: {forwarded}");
    }
    for cut in 0..prefill.len() {
        let address = respond_with(prefill.as_bytes()[..cut].to_vec());
        let ended = async_io::block_on(client.prefill(&request(address), &|| {}))
            .result
            .expect_err("the response is incomplete");
        assert!(!ended.proves_not_run(), "cut at byte {cut}: {ended:?}");
    }
    // `Srv-Declined` proves that the request did not run only if the response's head is complete.
    let head_bytes = declined.find("\r\n\r\n").unwrap() + 4;
    for cut in 0..declined.len() {
        let address = respond_with(declined.as_bytes()[..cut].to_vec());
        let ended = async_io::block_on(client.prefill(&request(address), &|| {}))
            .result
            .expect_err("the response is incomplete or declines the request");
        assert_eq!(ended.proves_not_run(), cut >= head_bytes, "cut at byte {cut}: {ended:?}");
    }
}
