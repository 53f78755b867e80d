//! The hard cases that only the gRPC API has: its frames, windows, deadlines and floods, each on loopback through the
//! whole program.

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
use testbed::raw_http2::{RawConnection, frame, goaway, number, raw_call, reset, resets};
use testbed::{LONG, Testbed, case_of, quick, small};
use tonic::Code;
use tonic_health::pb::{HealthCheckRequest, HealthCheckResponse};
use tonic_reflection::pb::v1::server_reflection_request::MessageRequest;
use tonic_reflection::pb::v1::server_reflection_response::MessageResponse;
use tonic_reflection::pb::v1::{ServerReflectionRequest, ServerReflectionResponse};

fn case<F: Future<Output = ()>>(name: &str, more: &str, run: impl Fn(Testbed) -> F) {
    case_of(Api::Grpc, name, &small(), more, quick, run);
}

fn chat(tokens: u64) -> Question {
    Question::new("workshop-chat", "why", tokens)
}

/// A connection that is driven beside the test; dropping it closes the connection.
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
        call(&mut self.sender, question).await.expect("the connection takes a call")
    }

    async fn ask(&mut self, question: &Question) -> Observation {
        let response = self.call(question).await;
        let mut observation = Observation::nothing();
        let read = read(response, Instant::now(), &mut observation);
        let late = async {
            Timer::after(LONG).await;
        };
        future::or(read, late).await;
        observation
    }

    /// Sends bytes as a call's body and returns the status that came.
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
        future::poll_fn(|context| self.sender.poll_ready(context)).await.expect("the connection lives");
        let (response, mut sending) =
            self.sender.send_request(request.body(()).unwrap(), false).expect("a call is sent");
        let _ = sending.send_data(body, true);
        let response = response.await.expect("an answer");
        let code = response.headers().get("grpc-status").map(|code| Code::from_bytes(code.as_bytes()));
        (response.status().as_u16(), code)
    }
}

impl GrpcConnection {
    /// One message, and all that come back; none with a status that is no success.
    async fn all<R: Message + Default>(&mut self, path: &str, asked: &impl Message) -> Vec<R> {
        let request =
            Request::post(format!("http://gateway{path}")).header("content-type", "application/grpc");
        future::poll_fn(|context| self.sender.poll_ready(context)).await.expect("the connection lives");
        let (response, mut sending) =
            self.sender.send_request(request.body(()).unwrap(), false).expect("a call is sent");
        sending.send_data(framed(asked), true).expect("its message is sent");
        let mut body = response.await.expect("an answer").into_body();
        let (mut bytes, mut found) = (bytes::BytesMut::new(), Vec::new());
        while let Some(Ok(part)) = body.data().await {
            bytes.extend_from_slice(&part);
        }
        while bytes.len() >= 5 {
            let length = number(&bytes[1..5]) as usize;
            found.push(R::decode(&bytes[5..5 + length]).expect("a message"));
            let _ = bytes.split_to(5 + length);
        }
        found
    }
}

/// Waits until something holds.
async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..400 {
        if holds() {
            return;
        }
        Timer::after(Duration::from_millis(25)).await;
    }
    panic!("it never came to this: {what}");
}

#[test]
fn expired_grpc_timeout_makes_no_work() {
    case("grpc-short", "", |testbed| async move {
        for time in ["1n", "900u", "4m", "0S"] {
            let observation = testbed.send(chat(3).with("grpc-timeout", time), LONG).await;
            let said = (observation.status, observation.code.as_deref(), observation.retry_after);
            assert_eq!(
                said,
                (Code::DeadlineExceeded as u16, Some("no_time"), None),
                "{time}: {observation:?}"
            );
        }
        for time in ["", "5", "123456789S", "soon"] {
            let observation = Question::send(
                &chat(3).with("grpc-timeout", time),
                Api::Grpc,
                testbed.gateway.addresses,
                LONG,
            )
            .await;
            assert_eq!(observation.status, Code::InvalidArgument as u16, "{time}: {observation:?}");
        }
        assert_eq!((testbed.gateway.gateway.counts().accepted, testbed.arrivals(Step::Prefill)), (0, 0));
        testbed.assert_clean().await;
    });
}

#[test]
fn grpc_deadline_aborts_the_call() {
    case("grpc-deadline", "", |testbed| async move {
        // While the prompt waits, and while the answer runs.
        testbed.set_fault("writer", Fault::Hangs);
        let waits = testbed.send(chat(5).with("grpc-timeout", "400m"), LONG).await;
        assert!(matches!(waits.outcome, FinalOutcome::Aborted | FinalOutcome::Rejected), "{waits:?}");
        testbed.set_fault("writer", Fault::None);
        let runs = testbed.send(chat(400).with("grpc-timeout", "700m"), LONG).await;
        let said = (runs.status, runs.outcome, runs.retry_after);
        assert_eq!(said, (Code::DeadlineExceeded as u16, FinalOutcome::Aborted, None), "{runs:?}");
        assert!(runs.tokens > 0 && runs.tokens < 400, "{runs:?}");
        testbed.assert_clean().await;
    });
}

#[test]
fn deadline_before_the_trailers_ends_the_call() {
    case("grpc-trailers", "", |testbed| async move {
        // The whole answer is there; the client's window holds but a part of it, until its time is up.
        let stream = TcpStream::connect(testbed.gateway.addresses.grpc).await.unwrap();
        let stream = tokio_util::compat::FuturesAsyncReadCompatExt::compat(stream);
        let small = h2::client::Builder::new().initial_window_size(60).handshake(stream).await;
        let (mut sender, driver) = small.expect("the gateway shakes hands");
        let driver = testbed.executor.spawn(async move { driver.await.unwrap_or_default() });
        let response = call(&mut sender, &chat(8).with("grpc-timeout", "1500m")).await.unwrap();
        let body = response.await.expect("it began").into_body();
        until("generated", || testbed.gateway.gateway.counts().completed == 1).await;
        let mut body = body;
        let mut given = 0;
        let status = loop {
            match body.data().await {
                // Nothing is given back of what is read.
                Some(Ok(bytes)) => given += bytes.len(),
                Some(Err(error)) => panic!("{error}"),
                None => break body.trailers().await.unwrap().expect("trailers"),
            }
        };
        assert!(given <= 60, "{given} bytes are more than its window");
        assert_eq!(Code::from_bytes(status["grpc-status"].as_bytes()), Code::DeadlineExceeded);
        assert_eq!(status["grpc-retry-pushback-ms"], "-1");
        drop(driver);
        testbed.assert_clean().await;
    });
}

#[test]
fn stream_reset_cancels_only_its_call() {
    let slow = |profile: Profile| Profile { prefill_tokens_per_second: 300.0, ..quick(profile) };
    case_of(Api::Grpc, "grpc-reset", &small(), "", slow, |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        let response = connection.call(&chat(50)).await;
        until("it is read", || testbed.arrivals(Step::Prefill) == 1).await;
        drop(response);
        until("withdrawn", || testbed.gateway.gateway.counts().cancelled == 1).await;
        assert_eq!(testbed.arrivals(Step::Decode), 0);
        let response = connection.call(&chat(2000)).await;
        let mut body = response.await.expect("it is written").into_body();
        assert!(body.data().await.is_some_and(|part| part.is_ok()));
        drop(body);
        until("withdrawn", || testbed.gateway.gateway.counts().cancelled == 2).await;
        // The connection serves on.
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
    case("grpc-drain", "", |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        let running = connection.call(&chat(200)).await;
        until("it is written", || testbed.arrivals(Step::Decode) == 1).await;
        let gateway = testbed.gateway.gateway.clone();
        let drain = testbed.executor.spawn(async move { gateway.drain().await });
        until("draining", || testbed.gateway.gateway.is_draining()).await;
        // A new connection is told GOAWAY at once; a call that crosses it is refused, and may come again elsewhere.
        let refused = chat(3).send(Api::Grpc, testbed.gateway.addresses, LONG).await;
        assert!(refused.outcome == FinalOutcome::NoResponse || refused.retry_after.is_some(), "{refused:?}");
        assert_eq!(testbed.gateway.gateway.counts().accepted, 1);
        let mut observation = Observation::nothing();
        read(running, Instant::now(), &mut observation).await;
        assert_eq!(
            (observation.outcome, observation.tokens),
            (FinalOutcome::Completed, 200),
            "{observation:?}"
        );
        assert_eq!(drain.await, 0, "nothing had to be ended");
        // It was told to go: the connection is over by the gateway's word, without an error.
        assert!(connection.driver.await.is_none_or(|error| error.reason() == Some(h2::Reason::NO_ERROR)));
        let again = call(&mut connection.sender, &chat(3)).await;
        assert!(again.is_none(), "a call was taken after GOAWAY");
        testbed.assert_clean().await;
    });
}

#[test]
fn calls_beyond_the_stream_limit_are_refused() {
    case("grpc-streams", "limits.streams = 4", |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        let first = connection.ask(&chat(2)).await;
        assert_eq!(first.outcome, FinalOutcome::Completed, "{first:?}");
        assert_eq!(connection.sender.current_max_send_streams(), 4);
        // A client that heeds nothing: six at once, of which two are refused as never run.
        let mut raw = RawConnection::open(&testbed).await;
        let six: Vec<u8> = (0..6).flat_map(|number| raw_call(1 + 2 * number, &chat(60))).collect();
        raw.send(&six).await;
        let refused = raw.frames_until(|frames| resets(frames).len() >= 2).await;
        const REFUSED_STREAM: u32 = 7;
        assert_eq!(resets(&refused)[..2], [(9, REFUSED_STREAM), (11, REFUSED_STREAM)]);
        until("four are answered", || testbed.gateway.gateway.counts().completed == 5).await;
        assert_eq!(testbed.gateway.gateway.counts().accepted, 5);
        testbed.assert_clean().await;
    });
}

#[test]
fn invalid_calls_get_their_status() {
    case("grpc-bad", "", |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        let stream = format!("/{SERVICE}/Stream");
        let grpc = [("content-type", "application/grpc+proto")];
        let good = message(&chat(3));
        let whole = framed(&good);
        let with = |change: &dyn Fn(&mut v1::ChatRequest)| {
            let mut changed = good.clone();
            change(&mut changed);
            framed(&changed)
        };
        let long = |length: u32| [&[0][..], &length.to_be_bytes(), b"few"].concat().into();
        let packed: bytes::Bytes = [&[1][..], &whole[1..]].concat().into();
        let cases: [(&str, bytes::Bytes, Code); 16] = [
            ("/petrelshore.chat.v1.ChatService/Sing", whole.clone(), Code::Unimplemented),
            ("/petrelshore.chat.v2.ChatService/Stream", whole.clone(), Code::Unimplemented),
            ("/", whole.clone(), Code::Unimplemented),
            (&stream, bytes::Bytes::new(), Code::Internal),
            (&stream, vec![0, 0, 0].into(), Code::Internal),
            (&stream, vec![0, 0, 0, 0, 3, 0xff, 0xff, 0xff].into(), Code::Internal),
            (&stream, long(100), Code::Internal),
            (&stream, long(5_000_000), Code::ResourceExhausted),
            (&stream, long(u32::MAX), Code::ResourceExhausted),
            (&stream, packed, Code::Unimplemented),
            (&stream, with(&|m| m.model.clear()), Code::InvalidArgument),
            (&stream, with(&|m| m.model = "nobody".to_owned()), Code::NotFound),
            (&stream, with(&|m| m.messages.clear()), Code::InvalidArgument),
            (&stream, with(&|m| m.messages[0].role = 99), Code::InvalidArgument),
            (&stream, with(&|m| m.temperature = Some(f64::NAN)), Code::InvalidArgument),
            (&stream, with(&|m| m.max_tokens = Some(0)), Code::InvalidArgument),
        ];
        for (path, body, code) in cases {
            assert_eq!(
                connection.post(path, &grpc, body.clone()).await,
                (200, Some(code)),
                "{path} {body:?}"
            );
        }
        let http = connection.post(&stream, &[("content-type", "application/json")], whole.clone()).await;
        assert_eq!(http, (415, None));
        let gzip = [grpc[0], ("grpc-encoding", "gzip")];
        assert_eq!(connection.post(&stream, &gzip, whole.clone()).await.1, Some(Code::Unimplemented));
        let key = [grpc[0], ("idempotency-key", "")];
        assert_eq!(connection.post(&stream, &key, whole).await.1, Some(Code::InvalidArgument));
        assert_eq!((testbed.gateway.gateway.counts().accepted, testbed.arrivals(Step::Prefill)), (0, 0));
        let observation = connection.ask(&chat(3)).await;
        assert_eq!(observation.outcome, FinalOutcome::Completed, "{observation:?}");
        testbed.assert_clean().await;
    });
}

#[test]
fn calls_without_a_known_api_key_are_unauthenticated() {
    let more = r#"open | force = false, tenants.shops = { keys = ["shop-key"], per_second = 10 }"#;
    case("grpc-keys", more, |testbed| async move {
        for key in [None, Some("Bearer nobody"), Some("shop-key")] {
            let question = chat(3);
            let question = key.map_or(question.clone(), |key| question.with("authorization", key));
            let observation = question.send(Api::Grpc, testbed.gateway.addresses, LONG).await;
            assert_eq!(
                (observation.status, observation.retry_after),
                (Code::Unauthenticated as u16, None),
                "{observation:?}"
            );
        }
        assert_eq!(testbed.gateway.gateway.counts().accepted, 0);
        let observation = testbed.send(chat(3).with("authorization", "Bearer shop-key"), LONG).await;
        assert_eq!(observation.outcome, FinalOutcome::Completed, "{observation:?}");
        testbed.assert_clean().await;
    });
}

#[test]
fn flood_of_reset_calls_makes_no_prefill_work() {
    case("grpc-flood", "", |testbed| async move {
        // Open and reset in one breath, again and again, on several connections.
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
            "a reset that came with its call was read all the same"
        );
        // Each taken, and withdrawn while it is read.
        let mut connection = GrpcConnection::open(&testbed).await;
        for _ in 0..400 {
            let before = testbed.gateway.gateway.counts();
            // A slow machine's gateway sees many resets at once, and ends the connection for them.
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
        let taken = testbed.gateway.gateway.counts().accepted;
        assert!((32..=60).contains(&taken), "{taken} were taken of a flood");
        let refused = chat(3).send(Api::Grpc, testbed.gateway.addresses, LONG).await;
        assert_eq!(refused.code.as_deref(), Some("too_many_withdrawn"), "{refused:?}");
        assert!(refused.retry_after.is_some_and(|wait| wait > Duration::ZERO), "{refused:?}");
        testbed.assert_clean().await;
    });
}

#[test]
fn ping_flood_gets_a_goaway() {
    case("grpc-pings", "", |testbed| async move {
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
    case_of(Api::Grpc, "grpc-vanished", &small(), "", slow, |testbed| async move {
        // It takes whatever is sent, as a dead machine's peer does for long, and answers nothing.
        let mut raw = RawConnection::open(&testbed).await;
        raw.send(&raw_call(1, &chat(1000))).await;
        until("it is written", || testbed.arrivals(Step::Decode) == 1).await;
        for _ in 0..500 {
            if testbed.gateway.gateway.counts().cancelled == 1 {
                break;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        assert_eq!(testbed.gateway.gateway.counts().cancelled, 1, "nobody asked whether it is there");
        testbed.assert_clean().await;
    });
}

#[test]
fn unread_call_blocks_no_other_call_of_its_connection() {
    let flood = |profile: Profile| Profile { token_interval: 20_000, slots: 300, queue: 300, ..profile };
    let more = r#"traffic."workshop-chat".max_tokens = 400000"#;
    case_of(Api::Grpc, "grpc-many", &small(), more, flood, |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        // It would fill the whole connection's window many times over, and is never read.
        let stalled = connection.call(&chat(100_000)).await.await.expect("it began");
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
    case("grpc-explore", "", |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        for (service, status) in [("", Some(1)), (SERVICE, Some(1)), ("nobody", None)] {
            let asked = HealthCheckRequest { service: service.to_owned() };
            let state: Vec<HealthCheckResponse> =
                connection.all("/grpc.health.v1.Health/Check", &asked).await;
            assert_eq!(state.first().map(|state| state.status), status, "{service}");
        }
        let models: Vec<v1::ListModelsResponse> =
            connection.all(&format!("/{SERVICE}/ListModels"), &v1::ListModelsRequest {}).await;
        assert_eq!(models[0].models, ["dock-tokened", "rider-query", "unlock-once", "workshop-chat"]);
        for version in ["v1", "v1alpha"] {
            let path = format!("/grpc.reflection.{version}.ServerReflection/ServerReflectionInfo");
            let asked = MessageRequest::FileContainingSymbol(SERVICE.to_owned());
            let asked = ServerReflectionRequest { host: String::new(), message_request: Some(asked) };
            let found: Vec<ServerReflectionResponse> = connection.all(&path, &asked).await;
            let Some(MessageResponse::FileDescriptorResponse(found)) = found[0].message_response.clone()
            else {
                panic!("{version}: {found:?}");
            };
            let file = String::from_utf8_lossy(&found.file_descriptor_proto[0]).into_owned();
            assert!(file.contains("petrelshore/chat/v1/chat.proto") && file.contains("ChatEvent"));
        }
        // Who watches is told of a drain at once, and that it is the end.
        let watch = HealthCheckRequest { service: SERVICE.to_owned() };
        let gateway = testbed.gateway.gateway.clone();
        let drains = async {
            Timer::after(Duration::from_millis(200)).await;
            gateway.drain().await
        };
        let watches = connection.all::<HealthCheckResponse>("/grpc.health.v1.Health/Watch", &watch);
        let (states, _) = future::zip(watches, drains).await;
        assert_eq!(states.iter().map(|state| state.status).collect::<Vec<_>>(), [1, 2]);
        testbed.assert_clean().await;
    });
}

#[test]
fn idempotency_key_is_shared_by_both_apis() {
    case("grpc-both", "", |testbed| async move {
        let keyed = || Question::new("unlock-once", "open", 3).with("idempotency-key", "door-7");
        let first = keyed().send(Api::Chat, testbed.gateway.addresses, LONG).await;
        let again = keyed().send(Api::Grpc, testbed.gateway.addresses, LONG).await;
        let ends = (first.outcome, again.outcome);
        assert_eq!(ends, (FinalOutcome::Completed, FinalOutcome::Completed), "{first:?} {again:?}");
        assert_eq!((testbed.arrivals(Step::Prefill), testbed.arrivals(Step::Decode)), (1, 1));
        testbed.assert_clean().await;
    });
}

#[test]
fn buffered_answer_hides_a_broken_decode_server() {
    case("grpc-whole", "attempts = 8", |testbed| async move {
        let mut connection = GrpcConnection::open(&testbed).await;
        let path = format!("/{SERVICE}/Complete");
        let answers: Vec<v1::ChatAnswer> = connection.all(&path, &message(&chat(12))).await;
        let [answer] = answers.as_slice() else { panic!("{answers:?}") };
        assert!(answer.text.starts_with("t1 ") && answer.text.contains("t12 "), "{answer:?}");
        assert_eq!(answer.usage.map(|usage| usage.completion_tokens), Some(12));
        // One of both writers breaks every answer: nobody has observation a part, so it is written anew elsewhere.
        testbed.set_fault("writer-1-1", Fault::ResetAfter(2));
        for _ in 0..4 {
            let answers: Vec<v1::ChatAnswer> = connection.all(&path, &message(&chat(12))).await;
            assert_eq!(answers.len(), 1);
        }
        testbed.assert_clean().await;
    });
}
