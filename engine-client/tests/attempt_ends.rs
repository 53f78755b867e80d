//! Tests of the end that the client reports for each attempt at a scripted server. The tests also check which ends
//! prove that the attempt did not run.

use async_executor::LocalExecutor;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use petrelshore_engine_client::{Client, CompletionRequest, Spawner};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::buffered::Piece;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

fn request(address: SocketAddr) -> CompletionRequest {
    CompletionRequest {
        address,
        request_id: "1-0".to_owned(),
        model: Rc::from("m"),
        prompt: Rc::from("p"),
        max_tokens: 4,
        stop: Rc::from([]),
        sampling: Rc::default(),
        idempotency_key: None,
        transfer_params: None,
        new_connection: false,
        connect_timeout: Duration::from_secs(5),
        holds_cache: false,
    }
}

fn request_on_new_connection(address: SocketAddr) -> CompletionRequest {
    CompletionRequest { new_connection: true, ..request(address) }
}

/// Reads the head and the body of one request from a socket. Returns false if the socket ends before the request does.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut part = [0u8; 4096];
    loop {
        let Ok(count) = stream.read(&mut part).await else { return false };
        bytes.extend_from_slice(&part[..count]);
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length =
                head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next()?.parse().ok());
            if body.len() >= length.unwrap_or(0usize) {
                return true;
            }
        }
        if count == 0 {
            return false;
        }
    }
}

/// Starts a server that accepts one connection for each element of `responses`, one after another. On each connection
/// it answers one request with each text, and then closes the connection.
async fn scripted_server(executor: &Rc<LocalExecutor<'static>>, responses: Vec<Vec<String>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serve = async move {
        for connection in responses {
            let Ok((mut stream, _)) = listener.accept().await else { return };
            for response in connection {
                if !read_request(&mut stream).await {
                    break;
                }
                let _ = stream.write_all(response.as_bytes()).await;
            }
        }
    };
    executor.spawn(serve).detach();
    address
}

fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn error(status: &str, code: &str) -> String {
    response(status, &format!(r#"{{"error":{{"message":"x","code":"{code}"}}}}"#))
}

const EVENTS: &str = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\n\n\
    data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

fn run_test<F: Future<Output = ()>>(test: impl FnOnce(Rc<LocalExecutor<'static>>, Client) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let client = Client::new(Spawner::new(&executor), "test");
    future::block_on(executor.run(test(executor.clone(), client)));
}

/// Sends a decode request, and returns the text of its stream and how the attempt ended.
async fn read_stream(client: &Client, request: &CompletionRequest) -> (String, Result<(), AttemptEnd>) {
    let mut text = String::new();
    let mut stream = match client.decode(request, &|| {}).await.result {
        Ok(stream) => stream,
        Err(end) => return (text, Err(end)),
    };
    loop {
        match stream.next().await {
            Ok(Some(Piece::Text(piece))) => text.push_str(&piece),
            Ok(Some(_)) => {}
            Ok(None) => {
                stream.return_connection();
                return (text, Ok(()));
            }
            Err(end) => return (text, Err(end)),
        }
    }
}

#[test]
fn each_error_is_classified_by_status_and_code_together() {
    let cases = [
        (error("503 x", "full"), AttemptEnd::AtCapacity, true),
        (error("409 x", "state_missing"), AttemptEnd::KvCacheMissing, true),
        // The status alone or the code alone proves nothing, because a proxy may have generated it.
        (response("503 x", "busy"), AttemptEnd::ErrorStatus { status: 503 }, false),
        (error("500 x", "full"), AttemptEnd::ErrorStatus { status: 500 }, false),
        (error("409 x", "other"), AttemptEnd::ErrorStatus { status: 409 }, false),
        (response("429 x", "{}"), AttemptEnd::ErrorStatus { status: 429 }, false),
        (String::new(), AttemptEnd::Reset, false),
        ("HTTP/1.1 200 OK\r\ncontent-len".to_owned(), AttemptEnd::Reset, false),
        ("nonsense\r\n\r\n".to_owned(), AttemptEnd::Reset, false),
        (response("200 OK", EVENTS).replace("data: [DONE]", "data: {}    "), AttemptEnd::Malformed, false),
        (response("200 OK", "data: {]\n\n"), AttemptEnd::Malformed, false),
        (response("200 OK", "data: [DONE]\n\n"), AttemptEnd::Malformed, false),
        (response("200 OK", &format!("data: {}", "x".repeat(600 << 10))), AttemptEnd::Malformed, false),
        (
            response("200 OK", "data: {\"error\":{\"message\":\"x\"}}\n\n"),
            AttemptEnd::ErrorStatus { status: 500 },
            false,
        ),
        (
            response("200 OK", EVENTS).replace("content-length: 1", "content-length: 9"),
            AttemptEnd::Reset,
            false,
        ),
    ];
    for (text, end, proves_not_run) in cases {
        run_test(|executor, client| async move {
            let server = scripted_server(&executor, vec![vec![text.clone()]]).await;
            let succeeds = text.contains("content-length: 9");
            let (_, result) = read_stream(&client, &request_on_new_connection(server)).await;
            // A stream whose body is announced to be longer than its events still succeeds at its `[DONE]` event.
            assert_eq!(result.err(), if succeeds { None } else { Some(end) }, "{text:.200}");
            assert_eq!(end.proves_not_run(), proves_not_run, "{text:.200}");
        });
    }
}

#[test]
fn refused_connection_proves_not_run() {
    run_test(|_, client| async move {
        let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = unused.local_addr().unwrap();
        drop(unused);
        let (_, result) = read_stream(&client, &request(server)).await;
        assert_eq!(result, Err(AttemptEnd::NotConnected));
        assert!(AttemptEnd::NotConnected.proves_not_run());
    });
}

#[test]
fn pooled_connection_closed_under_request_proves_nothing() {
    run_test(|executor, client| async move {
        let server = scripted_server(&executor, vec![vec![response("200 OK", EVENTS), String::new()]]).await;
        assert_eq!(read_stream(&client, &request(server)).await, ("a".to_owned(), Ok(())));
        async_io::Timer::after(Duration::from_millis(30)).await;
        // The server reads the second request completely and closes the connection, so the request may have run.
        let (_, result) = read_stream(&client, &request(server)).await;
        assert_eq!(result, Err(AttemptEnd::Reset));
        assert!(!AttemptEnd::Reset.proves_not_run());
    });
}

#[test]
fn closed_pooled_connection_is_not_reused() {
    run_test(|executor, client| async move {
        let once = || vec![response("200 OK", EVENTS)];
        let server = scripted_server(&executor, vec![once(), once(), once()]).await;
        for _ in 0..3 {
            assert_eq!(read_stream(&client, &request(server)).await, ("a".to_owned(), Ok(())));
            async_io::Timer::after(Duration::from_millis(30)).await;
        }
    });
}

#[test]
fn request_for_a_new_connection_never_uses_a_pooled_one() {
    run_test(|executor, client| async move {
        let twice = vec![response("200 OK", EVENTS), String::new()];
        let server = scripted_server(&executor, vec![twice, vec![response("200 OK", EVENTS)]]).await;
        assert_eq!(read_stream(&client, &request(server)).await.1, Ok(()));
        async_io::Timer::after(Duration::from_millis(30)).await;
        // The server would break the first connection during the second request, and accepts a second connection only
        // once the first one has closed. So a request on a new connection times out instead of ending with a reset.
        let second = request_on_new_connection(server);
        let timeout = async {
            async_io::Timer::after(Duration::from_millis(300)).await;
            (String::new(), Err(AttemptEnd::TimedOut))
        };
        let (_, result) = future::or(read_stream(&client, &second), timeout).await;
        assert_eq!(result, Err(AttemptEnd::TimedOut));
    });
}

#[test]
fn prefill_response_needs_its_fields_and_skips_others() {
    let good =
        r#"{"kv_transfer_params":{"a":1},"usage":{"prompt_tokens_details":{"cached_tokens":7}},"more":[]}"#;
    for (body, cached) in [(good, Some(7.0)), (r#"{"usage":{}}"#, None), ("[]", None)] {
        run_test(|executor, client| async move {
            let server = scripted_server(&executor, vec![vec![response("200 OK", body)]]).await;
            let reply = client.prefill(&request(server), &|| {}).await;
            match cached {
                Some(cached) => assert_eq!(reply.result.unwrap().cached_tokens, cached),
                None => assert_eq!(reply.result.err(), Some(AttemptEnd::Malformed)),
            }
        });
    }
}
