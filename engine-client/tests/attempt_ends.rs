//! Each row of the table of endings, against scripted peers: what a socket shows, and what it proves.

use async_executor::LocalExecutor;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use petrelshore_engine_client::{Client, CompletionRequest, Spawner};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::buffered::Piece;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

fn request(to: SocketAddr, fresh: bool) -> CompletionRequest {
    CompletionRequest {
        to,
        request_id: "1-0".to_owned(),
        model: Rc::from("m"),
        prompt: Rc::from("p"),
        max_tokens: 4,
        stop: Rc::from([]),
        sampling: Rc::default(),
        idempotency_key: None,
        state: None,
        fresh,
        connect_within: Duration::from_secs(5),
    }
}

/// Reads one request's head and body off a socket.
async fn hear(stream: &mut TcpStream) -> bool {
    let mut heard = Vec::new();
    let mut part = [0u8; 4096];
    loop {
        let Ok(count) = stream.read(&mut part).await else { return false };
        heard.extend_from_slice(&part[..count]);
        let text = String::from_utf8_lossy(&heard).to_ascii_lowercase();
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

/// A peer that answers each connection's requests with these texts, one after another, and then closes.
async fn peer(executor: &Rc<LocalExecutor<'static>>, answers: Vec<Vec<String>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serve = async move {
        for connection in answers {
            let Ok((mut stream, _)) = listener.accept().await else { return };
            for answer in connection {
                if !hear(&mut stream).await {
                    break;
                }
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    };
    executor.spawn(serve).detach();
    address
}

fn answer(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn error(status: &str, code: &str) -> String {
    answer(status, &format!(r#"{{"error":{{"message":"x","code":"{code}"}}}}"#))
}

const EVENTS: &str = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\n\n\
    data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<LocalExecutor<'static>>, Client) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let client = Client::new(Spawner::new(&executor), "test");
    future::block_on(executor.run(test(executor.clone(), client)));
}

/// Writes until the end, and says how it ended.
async fn written(client: &Client, request: &CompletionRequest) -> (String, Result<(), AttemptEnd>) {
    let mut text = String::new();
    let mut writing = match client.decode(request).await.result {
        Ok(writing) => writing,
        Err(ending) => return (text, Err(ending)),
    };
    loop {
        match writing.next().await {
            Ok(Some(Piece::Text(piece))) => text.push_str(&piece),
            Ok(Some(_)) => {}
            Ok(None) => {
                writing.done();
                return (text, Ok(()));
            }
            Err(ending) => return (text, Err(ending)),
        }
    }
}

#[test]
fn each_refusal_is_classed_by_status_and_code_together() {
    let rows = [
        (error("503 x", "full"), AttemptEnd::AtCapacity, true),
        (error("409 x", "state_missing"), AttemptEnd::KvCacheMissing, true),
        // The status alone, or the code alone, proves nothing: a proxy may have made it up.
        (answer("503 x", "busy"), AttemptEnd::ErrorStatus { status: 503 }, false),
        (error("500 x", "full"), AttemptEnd::ErrorStatus { status: 500 }, false),
        (error("409 x", "other"), AttemptEnd::ErrorStatus { status: 409 }, false),
        (answer("429 x", "{}"), AttemptEnd::ErrorStatus { status: 429 }, false),
        (String::new(), AttemptEnd::Reset, false),
        ("HTTP/1.1 200 OK\r\ncontent-len".to_owned(), AttemptEnd::Reset, false),
        ("nonsense\r\n\r\n".to_owned(), AttemptEnd::Reset, false),
        (answer("200 OK", EVENTS).replace("data: [DONE]", "data: {}    "), AttemptEnd::Malformed, false),
        (answer("200 OK", "data: {]\n\n"), AttemptEnd::Malformed, false),
        (answer("200 OK", "data: [DONE]\n\n"), AttemptEnd::Malformed, false),
        (answer("200 OK", &format!("data: {}", "x".repeat(600 << 10))), AttemptEnd::Malformed, false),
        (
            answer("200 OK", "data: {\"error\":{\"message\":\"x\"}}\n\n"),
            AttemptEnd::ErrorStatus { status: 500 },
            false,
        ),
        (
            answer("200 OK", EVENTS).replace("content-length: 1", "content-length: 9"),
            AttemptEnd::Reset,
            false,
        ),
    ];
    for (text, ending, proven) in rows {
        run(|executor, client| async move {
            let to = peer(&executor, vec![vec![text.clone()]]).await;
            let cut = text.contains("content-length: 9");
            let (_, ended) = written(&client, &request(to, true)).await;
            // A body that is longer than its events ends well at its closing mark.
            assert_eq!(ended.err(), if cut { None } else { Some(ending) }, "{text:.200}");
            assert_eq!(ending.proves_not_run(), proven, "{text:.200}");
        });
    }
}

#[test]
fn no_connection_proves_that_nothing_went_out() {
    run(|_, client| async move {
        let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = unused.local_addr().unwrap();
        drop(unused);
        let (_, ended) = written(&client, &request(to, false)).await;
        assert_eq!(ended, Err(AttemptEnd::NotConnected));
        assert!(AttemptEnd::NotConnected.proves_not_run());
    });
}

#[test]
fn a_pooled_connection_that_closes_under_its_request_proves_nothing() {
    run(|executor, client| async move {
        let to = peer(&executor, vec![vec![answer("200 OK", EVENTS), String::new()]]).await;
        assert_eq!(written(&client, &request(to, false)).await, ("a".to_owned(), Ok(())));
        async_io::Timer::after(Duration::from_millis(30)).await;
        // The peer reads the second request whole, and closes: it may have run.
        let (_, ended) = written(&client, &request(to, false)).await;
        assert_eq!(ended, Err(AttemptEnd::Reset));
        assert!(!AttemptEnd::Reset.proves_not_run());
    });
}

#[test]
fn a_pooled_connection_that_was_closed_before_is_not_used() {
    run(|executor, client| async move {
        let whole = || vec![answer("200 OK", EVENTS)];
        let to = peer(&executor, vec![whole(), whole(), whole()]).await;
        for _ in 0..3 {
            assert_eq!(written(&client, &request(to, false)).await, ("a".to_owned(), Ok(())));
            async_io::Timer::after(Duration::from_millis(30)).await;
        }
    });
}

#[test]
fn a_request_that_must_be_fresh_never_rides_on_a_pooled_connection() {
    run(|executor, client| async move {
        let twice = vec![answer("200 OK", EVENTS), String::new()];
        let to = peer(&executor, vec![twice, vec![answer("200 OK", EVENTS)]]).await;
        assert_eq!(written(&client, &request(to, false)).await.1, Ok(()));
        async_io::Timer::after(Duration::from_millis(30)).await;
        // The first connection would break under it; this peer takes the second only once the first has closed.
        let fresh = request(to, true);
        let late = async {
            async_io::Timer::after(Duration::from_millis(300)).await;
            (String::new(), Err(AttemptEnd::TimedOut))
        };
        let (_, ended) = future::or(written(&client, &fresh), late).await;
        assert_eq!(ended, Err(AttemptEnd::TimedOut));
    });
}

#[test]
fn a_reader_that_leaves_out_what_is_needed_is_malformed_and_further_fields_are_skipped() {
    let good =
        r#"{"kv_transfer_params":{"a":1},"usage":{"prompt_tokens_details":{"cached_tokens":7}},"more":[]}"#;
    for (body, kept) in [(good, Some(7.0)), (r#"{"usage":{}}"#, None), ("[]", None)] {
        run(|executor, client| async move {
            let to = peer(&executor, vec![vec![answer("200 OK", body)]]).await;
            let heard = client.prefill(&request(to, false)).await;
            match kept {
                Some(kept) => assert_eq!(heard.result.unwrap().kept_tokens, kept),
                None => assert_eq!(heard.result.err(), Some(AttemptEnd::Malformed)),
            }
        });
    }
}
