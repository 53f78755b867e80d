//! Tests of the gateway with emulated model servers on loopback, without an ingress.

use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use petrelshore::interface::*;
use petrelshore_emulator::platform::{ModelServer, ServerBehavior, config as config_text, entry, events};
use petrelshore_gateway_core::ingress_limits::IngressLimits;
use petrelshore_gateway_core::passthrough::FinalAnswer;
use petrelshore_gateway_core::{NewSequence, Relay};
use petrelshore_ingress::listener::BodyReservation;
use petrelshore_platform_gateway::{Answer, AnswerItem, ForwardedRequest, PlatformGateway};
use petrelshore_platform_protocol::config;
use petrelshore_runtime::Spawner;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

fn accept(gateway: &PlatformGateway, id: SequenceId) -> Answer {
    let now = gateway.clock().now();
    let new = NewSequence {
        id,
        traffic: TrafficTypeId(0),
        tenant: None,
        session: None,
        prefix: None,
        prompt_tokens: 100.0,
        prefix_tokens: 0.0,
        max_output_tokens: 50.0,
        output_length_hint: None,
        resumed: false,
        relay: Relay::Passthrough,
        first_token_deadline: now + 4_000_000_000,
        completion_deadline: None,
    };
    let limits = Rc::new(RefCell::new(IngressLimits::bounded(10, 1_000, 10_000)));
    let request = ForwardedRequest {
        id: format!("{:016x}", id.0).into(),
        target: Bytes::from("/v1/chat/completions"),
        fields: Bytes::new(),
        body: Bytes::from("{}"),
        reservation: BodyReservation::new(limits, id.0),
        has_client_left: Rc::new(|| false),
    };
    gateway.accept(new, request).map_err(|rejection| format!("{rejection:?}")).unwrap()
}

/// A client drops its completed answer unread after another request with the same id was accepted. The drop must not
/// cancel the other request.
#[test]
fn dropped_completed_answer_leaves_new_request_with_same_id_running() {
    let prefill_server = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let decode_server = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let entries = [
        entry("r", prefill_server.address, "reader", "active"),
        entry("w", decode_server.address, "writer", "active"),
    ];
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = config::decode(&config_text(unused_address, unused_address, &entries.join(","))).unwrap();
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let gateway = PlatformGateway::start(config, 20, Spawner::new(&executor));
        // This request completes although its client has not read any of the answer.
        let unread_answer = accept(&gateway, SequenceId(7));
        while gateway.tracked() > 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        prefill_server.set(ServerBehavior::Slow);
        let mut next_answer = accept(&gateway, SequenceId(7));
        drop(unread_answer);
        let mut received = String::new();
        let final_answer = loop {
            match next_answer.next().await {
                AnswerItem::Events(events) => received.push_str(std::str::from_utf8(&events).unwrap()),
                AnswerItem::FinalAnswer(final_answer) => break final_answer,
            }
        };
        assert_eq!((received, final_answer), (events(), FinalAnswer::Completed));
    }));
}
