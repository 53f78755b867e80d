//! Sends valid and invalid requests over sockets. An invalid request must get the right status and an error object that
//! names the invalid field, and the gateway must not admit the request.

use async_executor::LocalExecutor;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use petrelshore_chat_api as chat;
use petrelshore_chat_gateway::{Gateway, Spawner};
use petrelshore_settings::read_text;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

struct Api {
    gateway: Gateway,
    address: SocketAddr,
}

/// Runs a test against a gateway whose only model server is unreachable. The gateway's counts show which requests were
/// admitted.
fn with_api<F: Future<Output = ()>>(name: &str, test: impl FnOnce(Api) -> F) {
    let folder: PathBuf =
        std::env::temp_dir().join(format!("petrelshore-chat-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let list = "name,kind,address,zone\nw,mixed,127.0.0.1:1,here\n";
    std::fs::write(folder.join("servers.csv"), list).unwrap();
    let text = r#"{
      name = "gateway", zone = "here", listen.chat = "127.0.0.1:0",
      inventory = { file = "servers.csv", kept = "last.json" },
      kinds.mixed = { role = 'mixed, memory_tokens = 1000 },
      traffic.ask = { models = ["ask"], utility = 1, latency_slo = "100ms", abandon_time = "400ms" },
      tenants.riders = { keys = ["k1"], per_second = 5 },
      limits = { body_bytes = 20000, body_time = "300ms" },
    }"#;
    let settings = read_text(&folder.join("gateway.ncl"), text).unwrap();
    let executor = Rc::new(LocalExecutor::new());
    let run = async {
        let listener = chat::bind(settings.chat).await.unwrap();
        let address = listener.address;
        let gateway = Gateway::start(settings, Spawner::new(&executor)).unwrap();
        executor.spawn(chat::serve(listener, chat::Ingress::new(gateway.clone()))).detach();
        test(Api { gateway, address }).await;
    };
    future::block_on(executor.run(run));
    std::fs::remove_dir_all(&folder).unwrap();
}

impl Api {
    /// Sends the parts of a request with a pause after each part. Returns the status, which is 0 if there is none, the
    /// head in lower case, and the body.
    async fn send(&self, parts: &[&[u8]], pause: Duration) -> (u16, String, String) {
        let mut stream = async_net::TcpStream::connect(self.address).await.unwrap();
        for part in parts {
            if stream.write_all(part).await.is_err() {
                break;
            }
            async_io::Timer::after(pause).await;
        }
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
        let text = String::from_utf8_lossy(&received).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split_whitespace().nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        (status, head.to_ascii_lowercase(), body.to_owned())
    }

    async fn post(&self, headers: &str, body: &[u8]) -> (u16, String, Value) {
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n",
            body.len()
        );
        let (status, head, body) = self.send(&[head.as_bytes(), body], Duration::ZERO).await;
        (status, head, serde_json::from_str(&body).unwrap_or_default())
    }
}

const AUTHORIZATION: &str = "authorization: Bearer k1\r\n";

fn valid_request() -> Value {
    json!({ "model": "ask", "messages": [{ "role": "user", "content": "why" }] })
}

#[test]
fn invalid_request_is_rejected_with_its_field_and_not_admitted() {
    let with = |name: &str, value: Value| {
        let mut body = valid_request();
        body[name] = value;
        body.to_string()
    };
    let content = |content: Value| with("messages", json!([{ "role": "user", "content": content }]));
    let deeply_nested = "[".repeat(100_000 / 8);
    let cases: Vec<(String, u16, Value)> = vec![
        ("{".to_owned(), 400, Value::Null),
        ("[1]".to_owned(), 400, Value::Null),
        (deeply_nested, 400, Value::Null),
        ("{\"model\":\"ask\"}".to_owned(), 400, json!("messages")),
        (with("model", json!(7)), 400, json!("model")),
        (with("model", json!("nope")), 404, json!("model")),
        (with("messages", json!([])), 400, json!("messages")),
        (with("messages", json!("hi")), 400, json!("messages")),
        (with("messages", json!([{ "content": "x" }])), 400, json!("messages[0].role")),
        (with("messages", json!([{ "role": "king", "content": "x" }])), 400, json!("messages[0].role")),
        (content(json!(5)), 400, json!("messages[0].content")),
        (content(json!([{ "type": "image_url" }])), 400, json!("messages[0].content[0]")),
        (content(json!([{ "type": "text" }])), 400, json!("messages[0].content[0]")),
        (with("n", json!(2)), 400, json!("n")),
        (with("max_tokens", json!(-1)), 400, json!("max_tokens")),
        (with("max_tokens", json!(1e30)), 400, json!("max_tokens")),
        (with("max_completion_tokens", json!("many")), 400, json!("max_completion_tokens")),
        (with("stream", json!("yes")), 400, json!("stream")),
        (with("stream_options", json!({ "include_usage": true })), 400, json!("stream_options")),
        (with("temperature", json!(9)), 400, json!("temperature")),
        (with("stop", json!(["a", "b", "c", "d", "e"])), 400, json!("stop")),
        (with("stop", json!([1])), 400, json!("stop")),
        (with("tools", json!([{}])), 400, json!("tools")),
        (with("response_format", json!({ "type": "json_object" })), 400, json!("response_format")),
        (with("prompt_cache_key", json!(1)), 400, json!("prompt_cache_key")),
        (with("seed", json!(1.5)), 400, json!("seed")),
    ];
    with_api("invalid", |api| async move {
        for (body, status, param) in cases {
            let (got, head, answer) = api.post(AUTHORIZATION, body.as_bytes()).await;
            assert_eq!((got, &answer["error"]["param"]), (status, &param), "{answer} to {:.80}", body);
            assert!(answer["error"]["message"].is_string() && answer["error"]["type"].is_string());
            assert!(head.contains("x-should-retry: false"), "{head}");
        }
        let (status, ..) = api.post(AUTHORIZATION, b"{\"model\":\"ask\",\"messages\":\"\xff\xfe\"}").await;
        assert_eq!(status, 400);
        let (status, _, answer) = api.post("", valid_request().to_string().as_bytes()).await;
        assert_eq!((status, &answer["error"]["code"]), (401, &json!("invalid_api_key")));
        let (status, ..) =
            api.post("authorization: Bearer other\r\n", valid_request().to_string().as_bytes()).await;
        assert_eq!(status, 401);
        for header in [
            "x-traffic-type: nope\r\n",
            "idempotency-key: \r\n",
            "x-abandon-ms: soon\r\n",
            "x-abandon-ms: 0\r\n",
        ] {
            let (status, ..) =
                api.post(&format!("{AUTHORIZATION}{header}"), valid_request().to_string().as_bytes()).await;
            assert_eq!(status, 400, "{header}");
        }
        assert_eq!((api.gateway.counts().accepted, api.gateway.tracked()), (0, 0));
    });
}

#[test]
fn oversized_slow_and_partial_requests_are_rejected_and_not_admitted() {
    with_api("sizes", |api| async move {
        let head = |length: usize| {
            format!(
                "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{AUTHORIZATION}content-length: {length}\r\n\r\n"
            )
        };
        let (status, ..) = api.send(&[head(100_000_000).as_bytes()], Duration::ZERO).await;
        assert_eq!(status, 413);
        let chunked = head(0).replace("content-length: 0", "transfer-encoding: chunked");
        let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
        let (status, ..) = api.send(&[chunked.as_bytes(), chunk.as_bytes()], Duration::ZERO).await;
        assert_eq!(status, 413);
        let (status, ..) = api.send(&[head(50).as_bytes(), b"{"], Duration::ZERO).await;
        assert_eq!(status, 408);
        let many_fields: String = (0..200).map(|n| format!("x-{n}: y\r\n")).collect();
        let (status, ..) =
            api.send(&[head(2).replace(AUTHORIZATION, &many_fields).as_bytes(), b"{}"], Duration::ZERO).await;
        assert_eq!(status, 431);
        let (status, ..) = api.send(&[b"\x16\x03\x01nonsense\r\n\r\n"], Duration::ZERO).await;
        assert!(status == 400 || status == 0, "{status}");
        let body = valid_request().to_string();
        let request = format!("{}{body}", head(body.len()));
        let bytes: Vec<&[u8]> = request.as_bytes().chunks(1).collect();
        let (status, ..) = api.send(&bytes, Duration::ZERO).await;
        assert_eq!(status, 503, "a request that arrives byte by byte is decoded like any other request");
        let (status, ..) =
            api.send(&[b"GET /nothing HTTP/1.1\r\nconnection: close\r\n\r\n"], Duration::ZERO).await;
        assert_eq!(status, 404);
        let (status, ..) = api
            .send(&[b"GET /v1/chat/completions HTTP/1.1\r\nconnection: close\r\n\r\n"], Duration::ZERO)
            .await;
        assert_eq!(status, 405);
        assert_eq!((api.gateway.counts().accepted, api.gateway.tracked()), (1, 0));
    });
}

#[test]
fn request_without_available_server_is_rejected_with_retry_after() {
    with_api("rejected", |api| async move {
        let (status, head, answer) = api.post(AUTHORIZATION, valid_request().to_string().as_bytes()).await;
        assert_eq!((status, &answer["error"]["code"]), (503, &json!("rejected")), "{answer}");
        assert!(head.contains("retry-after: ") && head.contains("retry-after-ms: "), "{head}");
        assert_eq!((api.gateway.counts().rejected, api.gateway.tracked()), (1, 0));
    });
}

#[test]
fn models_are_listed_only_for_authenticated_clients() {
    with_api("models", |api| async move {
        let get = |path: &str, key: &str| format!("GET {path} HTTP/1.1\r\nconnection: close\r\n{key}\r\n");
        let (status, _, body) =
            api.send(&[get("/v1/models", AUTHORIZATION).as_bytes()], Duration::ZERO).await;
        let json: Value = serde_json::from_str(&body).unwrap();
        assert_eq!((status, &json["data"][0]["id"]), (200, &json!("ask")));
        let (status, ..) = api.send(&[get("/v1/models/ask", AUTHORIZATION).as_bytes()], Duration::ZERO).await;
        assert_eq!(status, 200);
        let (status, ..) =
            api.send(&[get("/v1/models/nope", AUTHORIZATION).as_bytes()], Duration::ZERO).await;
        assert_eq!(status, 404);
        let (status, ..) = api.send(&[get("/v1/models", "").as_bytes()], Duration::ZERO).await;
        assert_eq!(status, 401);
    });
}
