//! Failure cases of the gRPC API alone: HTTP/2 frames, flow-control windows, deadlines and floods of frames. Each case
//! runs the whole program on loopback.

mod testbed;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::future;
use h2::client::ResponseFuture;
use http::Request;
use petrelshore_e2e::client::{Api, Observation, Question};
use petrelshore_e2e::grpc_client::{call, connect, framed, message, read};
use petrelshore_emulator::model::Step;
use petrelshore_emulator::profile::{Fault, Profile};
use petrelshore_emulator::record::FinalOutcome;
use petrelshore_grpc_api::{SERVICE, v1};
use prost::Message;
use std::time::{Duration, Instant};
use testbed::raw_http2::{RawConnection, frame, goaway, raw_call, read_u32, reset, resets};
use testbed::{CLIENT_TIMEOUT, Testbed, fast_decode, run_case_for_api, small_fleet};
use tonic::Code;
use tonic_health::pb::{HealthCheckRequest, HealthCheckResponse};
use tonic_reflection::pb::v1::server_reflection_request::MessageRequest;
use tonic_reflection::pb::v1::server_reflection_response::MessageResponse;
use tonic_reflection::pb::v1::{ServerReflectionRequest, ServerReflectionResponse};

fn run_case<F: Future<Output = ()>>(name: &str, settings: &str, run: impl Fn(Testbed) -> F) {
    run_case_for_api(Api::Grpc, name, &small_fleet(), settings, fast_decode, run);
}

fn chat(tokens: u64) -> Question {
    Question::new("workshop-chat", "why", tokens)
}

/// A gRPC connection that a task of its own drives. The connection closes when this value is dropped.
struct GrpcConnection {
    sender: h2::client::SendRequest<bytes::Bytes>,
    driver: async_executor::Task<Option<h2::Error>>,
}

impl GrpcConnection {
    async fn open(testbed: &Testbed) -> GrpcConnection {
        let (sender, driver) = connect(testbed.gateway.addresses.grpc).await.expect("the gateway listens");
        GrpcConnection { sender, driver: testbed.executor.spawn(async move { driver.await.err() }) }
    }

    async fn call(&mut self, question: &Question) -> ResponseFuture {
        call(&mut self.sender, question).await.expect("the connection accepts a call")
    }

    async fn ask(&mut self, question: &Question) -> Observation {
        let response = self.call(question).await;
        let mut observation = Observation::nothing();
        let read = read(response, Instant::now(), &mut observation);
        let timeout = async {
            Timer::after(CLIENT_TIMEOUT).await;
        };
        future::or(read, timeout).await;
        observation
    }

    /// Sends these bytes as the body of a call. Returns the HTTP status and the gRPC status of the response headers.
    async fn post(
        &mut self,
        path: &str,
        headers: &[(&str, &str)],
        body: bytes::Bytes,
    ) -> (u16, Option<Code>) {
        let mut request = Request::post(format!("http://gateway{path}")).header("te", "trailers");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        future::poll_fn(|context| self.sender.poll_ready(context)).await.expect("the connection is open");
        let (response, mut body_sender) =
            self.sender.send_request(request.body(()).unwrap(), false).expect("the call is sent");
        let _ = body_sender.send_data(body, true);
        let response = response.await.expect("a response");
        let code = response.headers().get("grpc-status").map(|code| Code::from_bytes(code.as_bytes()));
        (response.status().as_u16(), code)
    }
}

impl GrpcConnection {
    /// Sends one message and returns all messages of the response. A response whose status is an error has no
    /// messages.
    async fn request_messages<R: Message + Default>(
        &mut self,
        path: &str,
        request_message: &impl Message,
    ) -> Vec<R> {
        let request =
            Request::post(format!("http://gateway{path}")).header("content-type", "application/grpc");
        future::poll_fn(|context| self.sender.poll_ready(context)).await.expect("the connection is open");
        let (response, mut body_sender) =
            self.sender.send_request(request.body(()).unwrap(), false).expect("the call is sent");
        body_sender.send_data(framed(request_message), true).expect("the message is sent");
        let mut body = response.await.expect("a response").into_body();
        let (mut bytes, mut messages) = (bytes::BytesMut::new(), Vec::new());
        while let Some(Ok(part)) = body.data().await {
            bytes.extend_from_slice(&part);
        }
        while bytes.len() >= 5 {
            let length = read_u32(&bytes[1..5]) as usize;
            messages.push(R::decode(&bytes[5..5 + length]).expect("a valid message"));
            let _ = bytes.split_to(5 + length);
        }
        messages
    }
}

/// Polls `holds` every 25 ms until it is true. Panics with `what` after 400 polls.
async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..400 {
        if holds() {
            return;
        }
        Timer::after(Duration::from_millis(25)).await;
    }
    panic!("timed out waiting until {what}");
}

#[test]
fn expired_grpc_timeout_makes_no_work() {
    run_case("grpc-expired", "", |testbed| async move {
        for timeout in ["1n", "900u", "4m", "0S"] {
            let observation = testbed.send(chat(3).with("grpc-timeout", timeout), CLIENT_TIMEOUT).await;
            let result = (observation.status, observation.code.as_deref(), observation.retry_after);
            assert_eq!(
                result,
                (Code::DeadlineExceeded as u16, Some("no_time"), None),
                "{timeout}: {observation:?}"
            );
        }
        for timeout in ["", "5", "123456789S", "soon"] {
            let observation = Question::send(
                &chat(3).with("grpc-timeout", timeout),
                Api::Grpc,
                testbed.gateway.addresses,
                CLIENT_TIMEOUT,
            )
            .await;
            assert_eq!(observation.status, Code::InvalidArgument as u16, "{timeout}: {observation:?}");
        }
        assert_eq!((testbed.gateway.gateway.counts().accepted, testbed.arrivals(Step::Prefill)), (0, 0));
        testbed.assert_clean().await;
    });
}

#[test]
fn grpc_deadline_aborts_the_call() {
    run_case("grpc-deadline", "", |testbed| async move {
        // The first deadline passes before a decode server has read the request, the second deadline while the answer
        // is streamed.
        testbed.set_fault("writer", Fault::Hangs);
        let before_decode = testbed.send(chat(5).with("grpc-timeout", "400m"), CLIENT_TIMEOUT).await;
        assert!(
            matches!(before_decode.outcome, FinalOutcome::Aborted | FinalOutcome::Rejected),
            "{before_decode:?}"
        );
        testbed.set_fault("writer", Fault::None);
        let during_stream = testbed.send(chat(400).with("grpc-timeout", "700m"), CLIENT_TIMEOUT).await;
        let result = (during_stream.status, during_stream.outcome, during_stream.retry_after);
        assert_eq!(result, (Code::DeadlineExceeded as u16, FinalOutcome::Aborted, None), "{during_stream:?}");
        assert!(during_stream.tokens > 0 && during_stream.tokens < 400, "{during_stream:?}");
        testbed.assert_clean().await;
    });
}

#[test]
fn deadline_before_the_trailers_ends_the_call() {
    run_case("grpc-trailers", "", |testbed| async move {
        // The gateway has the whole answer, but the client's flow-control window admits only 60 bytes of it until
        // the deadline.
        let stream = TcpStream::connect(testbed.gateway.addresses.grpc).await.unwrap();
        let stream = tokio_util::compat::FuturesAsyncReadCompatExt::compat(stream);
        let handshake = h2::client::Builder::new().initial_window_size(60).handshake(stream).await;
        let (mut sender, driver) = handshake.expect("the HTTP/2 handshake succeeds");
        let driver = testbed.executor.spawn(async move { driver.await.unwrap_or_default() });
        let response = call(&mut sender, &chat(8).with("grpc-timeout", "1500m")).await.unwrap();
        let body = response.await.expect("the response began").into_body();
        wait_until("the answer is complete", || testbed.gateway.gateway.counts().completed == 1).await;
        let mut body = body;
        let mut received = 0;
        let status = loop {
            match body.data().await {
                // The client returns no flow-control capacity for the data that it reads.
                Some(Ok(bytes)) => received += bytes.len(),
                Some(Err(error)) => panic!("{error}"),
                None => break body.trailers().await.unwrap().expect("trailers"),
            }
        };
        assert!(received <= 60, "{received} bytes exceed the client's window");
        assert_eq!(Code::from_bytes(status["grpc-status"].as_bytes()), Code::DeadlineExceeded);
        assert_eq!(status["grpc-retry-pushback-ms"], "-1");
        drop(driver);
        testbed.assert_clean().await;
    });
}

#[test]
fn stream_reset_cancels_only_its_call() {
    let slow = |profile: Profile| Profile { prefill_tokens_per_second: 300.0, ..fast_decode(profile) };
    run_case_for_api(Api::Grpc, "grpc-reset", &small_fleet(), "", slow, |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        let response = connection.call(&chat(50)).await;
        wait_until("the prefill server has the request", || testbed.arrivals(Step::Prefill) == 1).await;
        drop(response);
        wait_until("the call is cancelled", || testbed.gateway.gateway.counts().cancelled == 1).await;
        assert_eq!(testbed.arrivals(Step::Decode), 0);
        let response = connection.call(&chat(2000)).await;
        let mut body = response.await.expect("the response began").into_body();
        assert!(body.data().await.is_some_and(|part| part.is_ok()));
        drop(body);
        wait_until("the call is cancelled", || testbed.gateway.gateway.counts().cancelled == 2).await;
        // The connection still serves other calls.
        let observation = connection.ask(&chat(3)).await;
        assert_eq!(
            (observation.outcome, observation.tokens),
            (FinalOutcome::Completed, 3),
            "{observation:?}"
        );
        testbed.assert_clean().await;
    });
}

#[test]
fn drain_completes_open_calls_and_rejects_new_ones() {
    run_case("grpc-drain", "", |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        let running = connection.call(&chat(200)).await;
        wait_until("the decode server has the request", || testbed.arrivals(Step::Decode) == 1).await;
        let gateway = testbed.gateway.gateway.clone();
        let drain = testbed.executor.spawn(async move { gateway.drain().await });
        wait_until("the gateway is draining", || testbed.gateway.gateway.is_draining()).await;
        // A new connection receives GOAWAY at once. A call that was sent before the client received the GOAWAY is
        // rejected and may be retried at another gateway.
        let refused = chat(3).send(Api::Grpc, testbed.gateway.addresses, CLIENT_TIMEOUT).await;
        assert!(refused.outcome == FinalOutcome::NoResponse || refused.retry_after.is_some(), "{refused:?}");
        assert_eq!(testbed.gateway.gateway.counts().accepted, 1);
        let mut observation = Observation::nothing();
        read(running, Instant::now(), &mut observation).await;
        assert_eq!(
            (observation.outcome, observation.tokens),
            (FinalOutcome::Completed, 200),
            "{observation:?}"
        );
        assert_eq!(drain.await, 0, "the drain terminated a request");
        // The gateway's GOAWAY closes the connection without an error.
        assert!(connection.driver.await.is_none_or(|error| error.reason() == Some(h2::Reason::NO_ERROR)));
        let after_goaway = call(&mut connection.sender, &chat(3)).await;
        assert!(after_goaway.is_none(), "the connection accepted a call after GOAWAY");
        testbed.assert_clean().await;
    });
}

#[test]
fn calls_beyond_the_stream_limit_are_refused() {
    run_case("grpc-streams", "limits.streams = 4", |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        let first = connection.ask(&chat(2)).await;
        assert_eq!(first.outcome, FinalOutcome::Completed, "{first:?}");
        assert_eq!(connection.sender.current_max_send_streams(), 4);
        // A client that ignores the limit opens six calls at once. The gateway refuses two of them with REFUSED_STREAM,
        // which states that they never ran.
        let mut raw = RawConnection::open(&testbed).await;
        let six_calls: Vec<u8> = (0..6).flat_map(|number| raw_call(1 + 2 * number, &chat(60))).collect();
        raw.send(&six_calls).await;
        let frames = raw.frames_until(|frames| resets(frames).len() >= 2).await;
        const REFUSED_STREAM: u32 = 7;
        assert_eq!(resets(&frames)[..2], [(9, REFUSED_STREAM), (11, REFUSED_STREAM)]);
        wait_until("the four accepted calls are completed", || {
            testbed.gateway.gateway.counts().completed == 5
        })
        .await;
        assert_eq!(testbed.gateway.gateway.counts().accepted, 5);
        testbed.assert_clean().await;
    });
}

#[test]
fn invalid_calls_get_their_status() {
    run_case("grpc-invalid", "", |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        let stream = format!("/{SERVICE}/Stream");
        let grpc_headers = [("content-type", "application/grpc+proto")];
        let valid = message(&chat(3));
        let valid_body = framed(&valid);
        let changed_body = |change: &dyn Fn(&mut v1::ChatRequest)| {
            let mut changed = valid.clone();
            change(&mut changed);
            framed(&changed)
        };
        let truncated = |length: u32| [&[0][..], &length.to_be_bytes(), b"few"].concat().into();
        let compressed: bytes::Bytes = [&[1][..], &valid_body[1..]].concat().into();
        let cases: [(&str, bytes::Bytes, Code); 16] = [
            ("/petrelshore.chat.v1.ChatService/Sing", valid_body.clone(), Code::Unimplemented),
            ("/petrelshore.chat.v2.ChatService/Stream", valid_body.clone(), Code::Unimplemented),
            ("/", valid_body.clone(), Code::Unimplemented),
            (&stream, bytes::Bytes::new(), Code::Internal),
            (&stream, vec![0, 0, 0].into(), Code::Internal),
            (&stream, vec![0, 0, 0, 0, 3, 0xff, 0xff, 0xff].into(), Code::Internal),
            (&stream, truncated(100), Code::Internal),
            (&stream, truncated(5_000_000), Code::ResourceExhausted),
            (&stream, truncated(u32::MAX), Code::ResourceExhausted),
            (&stream, compressed, Code::Unimplemented),
            (&stream, changed_body(&|m| m.model.clear()), Code::InvalidArgument),
            (&stream, changed_body(&|m| m.model = "nobody".to_owned()), Code::NotFound),
            (&stream, changed_body(&|m| m.messages.clear()), Code::InvalidArgument),
            (&stream, changed_body(&|m| m.messages[0].role = 99), Code::InvalidArgument),
            (&stream, changed_body(&|m| m.temperature = Some(f64::NAN)), Code::InvalidArgument),
            (&stream, changed_body(&|m| m.max_tokens = Some(0)), Code::InvalidArgument),
        ];
        for (path, body, code) in cases {
            assert_eq!(
                connection.post(path, &grpc_headers, body.clone()).await,
                (200, Some(code)),
                "{path} {body:?}"
            );
        }
        let not_grpc =
            connection.post(&stream, &[("content-type", "application/json")], valid_body.clone()).await;
        assert_eq!(not_grpc, (415, None));
        let gzip = [grpc_headers[0], ("grpc-encoding", "gzip")];
        assert_eq!(connection.post(&stream, &gzip, valid_body.clone()).await.1, Some(Code::Unimplemented));
        let empty_key = [grpc_headers[0], ("idempotency-key", "")];
        assert_eq!(connection.post(&stream, &empty_key, valid_body).await.1, Some(Code::InvalidArgument));
        assert_eq!((testbed.gateway.gateway.counts().accepted, testbed.arrivals(Step::Prefill)), (0, 0));
        let observation = connection.ask(&chat(3)).await;
        assert_eq!(observation.outcome, FinalOutcome::Completed, "{observation:?}");
        testbed.assert_clean().await;
    });
}

#[test]
fn calls_without_a_known_api_key_are_unauthenticated() {
    let settings = r#"open | force = false, tenants.shops = { keys = ["shop-key"], per_second = 10 }"#;
    run_case("grpc-keys", settings, |testbed| async move {
        for key in [None, Some("Bearer nobody"), Some("shop-key")] {
            let question = chat(3);
            let question = key.map_or(question.clone(), |key| question.with("authorization", key));
            let observation = question.send(Api::Grpc, testbed.gateway.addresses, CLIENT_TIMEOUT).await;
            assert_eq!(
                (observation.status, observation.retry_after),
                (Code::Unauthenticated as u16, None),
                "{observation:?}"
            );
        }
        assert_eq!(testbed.gateway.gateway.counts().accepted, 0);
        let observation =
            testbed.send(chat(3).with("authorization", "Bearer shop-key"), CLIENT_TIMEOUT).await;
        assert_eq!(observation.outcome, FinalOutcome::Completed, "{observation:?}");
        testbed.assert_clean().await;
    });
}

/// Makes a call and cancels it once the gateway has accepted it. Returns the response of a call that was not accepted.
async fn cancel_once_accepted(testbed: &Testbed, connection: &mut GrpcConnection) -> Option<Observation> {
    loop {
        let before = testbed.gateway.gateway.counts().accepted;
        let accepted = async {
            while testbed.gateway.gateway.counts().accepted == before {
                future::yield_now().await;
            }
            None
        };
        let refused = async {
            let mut observation = Observation::nothing();
            if let Some(response) = call(&mut connection.sender, &chat(50)).await {
                read(response, Instant::now(), &mut observation).await;
            }
            Some(observation)
        };
        match future::or(refused, accepted).await {
            // The gateway has closed the connection because of the resets that the client sent before.
            Some(observation) if observation.outcome == FinalOutcome::NoResponse => {
                *connection = GrpcConnection::open(testbed).await;
            }
            outcome => return outcome,
        }
    }
}

#[test]
fn flood_of_reset_calls_makes_no_prefill_work() {
    run_case("grpc-flood", "", |testbed| async move {
        // Each call is opened and reset in the same write, many times on several connections.
        for _ in 0..5 {
            let mut raw = RawConnection::open(&testbed).await;
            for round in 0..100u32 {
                let pair = |number: u32| {
                    let id = 1 + 2 * (round * 10 + number);
                    [raw_call(id, &chat(50)), reset(id)].concat()
                };
                raw.send(&(0..10).flat_map(pair).collect::<Vec<u8>>()).await;
            }
        }
        assert_eq!(
            testbed.arrivals(Step::Prefill),
            0,
            "a call that was reset in the same write caused a prefill"
        );
        // The gateway accepts each call, and the client then cancels it during its prefill.
        let mut connection = GrpcConnection::open(&testbed).await;
        for _ in 0..400 {
            let before = testbed.gateway.gateway.counts();
            // On a slow machine the gateway may receive many resets at once and close the connection for them.
            let Some(response) = call(&mut connection.sender, &chat(50)).await else {
                connection = GrpcConnection::open(&testbed).await;
                continue;
            };
            for _ in 0..200 {
                let now = testbed.gateway.gateway.counts();
                if now.accepted > before.accepted {
                    break;
                }
                future::yield_now().await;
            }
            drop(response);
        }
        let accepted = testbed.gateway.gateway.counts().accepted;
        assert!((32..=60).contains(&accepted), "the gateway accepted {accepted} calls of the flood");
        // The credit decays while the flood lasts, so the gateway may accept a further call for each `time_per_call`.
        let time_per_call = Duration::from_millis(200);
        let started = Instant::now();
        let mut accepted_late: u32 = 0;
        let refused = loop {
            match cancel_once_accepted(&testbed, &mut connection).await {
                Some(refused) => break refused,
                None => accepted_late += 1,
            }
            let limit = 1 + started.elapsed().div_duration_f64(time_per_call).ceil() as u32;
            assert!(accepted_late <= limit, "{accepted_late} calls after the flood, at most {limit}");
        };
        assert_eq!(refused.code.as_deref(), Some("too_many_withdrawn"), "{refused:?}");
        assert!(refused.retry_after.is_some_and(|wait| wait > Duration::ZERO), "{refused:?}");
        testbed.assert_clean().await;
    });
}

#[test]
fn ping_flood_gets_a_goaway() {
    run_case("grpc-pings", "", |testbed| async move {
        let mut raw = RawConnection::open(&testbed).await;
        for _ in 0..100 {
            raw.send(&(0..10).flat_map(|_| frame(6, 0, 0, &[0; 8])).collect::<Vec<u8>>()).await;
        }
        const ENHANCE_YOUR_CALM: u32 = 11;
        let frames = raw.frames_until(|frames| goaway(frames).is_some()).await;
        assert_eq!(goaway(&frames), Some(ENHANCE_YOUR_CALM));
        let mut connection = GrpcConnection::open(&testbed).await;
        let observation = connection.ask(&chat(3)).await;
        assert_eq!(observation.outcome, FinalOutcome::Completed, "{observation:?}");
        testbed.assert_clean().await;
    });
}

#[test]
fn vanished_client_is_detected_during_its_stream() {
    let slow = |profile: Profile| Profile { token_interval: 250_000_000, ..profile };
    run_case_for_api(Api::Grpc, "grpc-vanished", &small_fleet(), "", slow, |testbed| async move {
        // The client accepts whatever is sent and answers nothing. A connection to a dead machine looks the same for a
        // long time.
        let mut raw = RawConnection::open(&testbed).await;
        raw.send(&raw_call(1, &chat(1000))).await;
        wait_until("the decode server has the request", || testbed.arrivals(Step::Decode) == 1).await;
        for _ in 0..500 {
            if testbed.gateway.gateway.counts().cancelled == 1 {
                break;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        assert_eq!(
            testbed.gateway.gateway.counts().cancelled,
            1,
            "the gateway did not detect that the client had vanished"
        );
        testbed.assert_clean().await;
    });
}

#[test]
fn unread_call_blocks_no_other_call_of_its_connection() {
    let fast_tokens =
        |profile: Profile| Profile { token_interval: 20_000, slots: 300, queue: 300, ..profile };
    let settings = r#"traffic."workshop-chat".max_tokens = 400000"#;
    run_case_for_api(Api::Grpc, "grpc-unread", &small_fleet(), settings, fast_tokens, |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        // The answer is many times larger than the window of the whole connection, and the client never reads it.
        let stalled = connection.call(&chat(100_000)).await.await.expect("the response began");
        Timer::after(Duration::from_secs(1)).await;
        for _ in 0..5 {
            let mut calls = Vec::new();
            for _ in 0..10 {
                calls.push(connection.call(&Question::new("rider-query", "why", 20)).await);
            }
            for response in calls {
                let mut observation = Observation::nothing();
                read(response, Instant::now(), &mut observation).await;
                assert_eq!(
                    (observation.outcome, observation.tokens),
                    (FinalOutcome::Completed, 20),
                    "{observation:?}"
                );
            }
        }
        drop(stalled);
        testbed.assert_clean_after_stall().await;
    });
}

#[test]
fn health_and_reflection_services_respond() {
    run_case("grpc-services", "", |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        for (service, status) in [("", Some(1)), (SERVICE, Some(1)), ("nobody", None)] {
            let check = HealthCheckRequest { service: service.to_owned() };
            let responses: Vec<HealthCheckResponse> =
                connection.request_messages("/grpc.health.v1.Health/Check", &check).await;
            assert_eq!(responses.first().map(|response| response.status), status, "{service}");
        }
        let models: Vec<v1::ListModelsResponse> =
            connection.request_messages(&format!("/{SERVICE}/ListModels"), &v1::ListModelsRequest {}).await;
        assert_eq!(models[0].models, ["dock-tokened", "rider-query", "unlock-once", "workshop-chat"]);
        for version in ["v1", "v1alpha"] {
            let path = format!("/grpc.reflection.{version}.ServerReflection/ServerReflectionInfo");
            let symbol = MessageRequest::FileContainingSymbol(SERVICE.to_owned());
            let request = ServerReflectionRequest { host: String::new(), message_request: Some(symbol) };
            let responses: Vec<ServerReflectionResponse> = connection.request_messages(&path, &request).await;
            let Some(MessageResponse::FileDescriptorResponse(descriptors)) =
                responses[0].message_response.clone()
            else {
                panic!("{version}: {responses:?}");
            };
            let file = String::from_utf8_lossy(&descriptors.file_descriptor_proto[0]).into_owned();
            assert!(file.contains("petrelshore/chat/v1/chat.proto") && file.contains("ChatEvent"));
        }
        // When the gateway drains, a Watch call is notified at once with NOT_SERVING, and then ends.
        let watch = HealthCheckRequest { service: SERVICE.to_owned() };
        let gateway = testbed.gateway.gateway.clone();
        let drain = async {
            Timer::after(Duration::from_millis(200)).await;
            gateway.drain().await
        };
        let watches =
            connection.request_messages::<HealthCheckResponse>("/grpc.health.v1.Health/Watch", &watch);
        let (states, _) = future::zip(watches, drain).await;
        assert_eq!(states.iter().map(|state| state.status).collect::<Vec<_>>(), [1, 2]);
        testbed.assert_clean().await;
    });
}

#[test]
fn idempotency_key_is_shared_by_both_apis() {
    run_case("grpc-key-shared", "", |testbed| async move {
        let keyed = || Question::new("unlock-once", "open", 3).with("idempotency-key", "door-7");
        let first = keyed().send(Api::Chat, testbed.gateway.addresses, CLIENT_TIMEOUT).await;
        let replayed = keyed().send(Api::Grpc, testbed.gateway.addresses, CLIENT_TIMEOUT).await;
        let outcomes = (first.outcome, replayed.outcome);
        assert_eq!(outcomes, (FinalOutcome::Completed, FinalOutcome::Completed), "{first:?} {replayed:?}");
        assert_eq!((testbed.arrivals(Step::Prefill), testbed.arrivals(Step::Decode)), (1, 1));
        testbed.assert_clean().await;
    });
}

/// Guards against a buffered answer that holds the text of a broken attempt too.
#[test]
fn buffered_answer_hides_a_broken_decode_server() {
    let generated = |tokens| (1..=tokens).map(|number| format!("t{number} ")).collect::<String>();
    run_case("grpc-buffered", "attempts = 8", |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        let path = format!("/{SERVICE}/Complete");
        let answers: Vec<v1::ChatAnswer> = connection.request_messages(&path, &message(&chat(12))).await;
        let [answer] = answers.as_slice() else { panic!("{answers:?}") };
        let tokens = answer.usage.map(|usage| usage.completion_tokens);
        assert_eq!((answer.text.as_str(), tokens), (generated(12).as_str(), Some(12)));
        // The client has received no part of a buffered answer, so the gateway generates it again on the other server
        // after a break, and passes on nothing of the broken attempt.
        let question = message(&chat(40));
        let call = connection.request_messages::<v1::ChatAnswer>(&path, &question);
        let (answers, ()) = future::zip(call, testbed.break_running_answer()).await;
        let [answer] = answers.as_slice() else { panic!("{answers:?}") };
        assert_eq!(answer.text, generated(40));
        assert_eq!(testbed.arrivals(Step::Decode), 3, "the answer has to break once");
        // All later answers avoid the broken server or are generated again as well.
        for _ in 0..4 {
            let answers: Vec<v1::ChatAnswer> = connection.request_messages(&path, &message(&chat(12))).await;
            let [answer] = answers.as_slice() else { panic!("{answers:?}") };
            assert_eq!(answer.text, generated(12));
        }
        testbed.assert_clean().await;
    });
}
