//! The service on loopback, without a front.

use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use petrelshore::interface::*;
use petrelshore_emulator::platform::{ModelServer, ServerBehavior, config as config_text, entry, events};
use petrelshore_gateway_core::ingress_limits::IngressLimits;
use petrelshore_gateway_core::passthrough::FinalAnswer;
use petrelshore_gateway_core::{NewSequence, Relay};
use petrelshore_ingress::listener::BodyReservation;
use petrelshore_platform_gateway::{Answer, Message, Next, Service};
use petrelshore_platform_protocol::config::config;
use petrelshore_runtime::Spawner;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

fn take(service: &Service, id: SequenceId) -> Answer {
    let now = service.clock().now();
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
    let message = Message {
        id: format!("{:016x}", id.0).into(),
        target: Bytes::from("/v1/chat/completions"),
        fields: Bytes::new(),
        body: Bytes::from("{}"),
        room: BodyReservation::new(limits, id.0),
        left: Rc::new(|| false),
    };
    service.accept(new, message).map_err(|refusal| format!("{refusal:?}")).unwrap()
}

#[test]
fn a_client_that_leaves_after_its_end_takes_no_other_sequence_with_its_id_along() {
    let reader = ModelServer::start(true, ServerBehavior::Good).unwrap();
    let writer = ModelServer::start(false, ServerBehavior::Good).unwrap();
    let entries =
        [entry("r", reader.address, "reader", "active"), entry("w", writer.address, "writer", "active")];
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = config(&config_text(nowhere, nowhere, &entries.join(","))).unwrap();
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let service = Service::start(config, 20, Spawner::new(&executor));
        // Over, though its client has read nothing of it yet.
        let unread = take(&service, SequenceId(7));
        while service.tracked() > 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        reader.set(ServerBehavior::Slow);
        let mut next = take(&service, SequenceId(7));
        drop(unread);
        let mut told = String::new();
        let last = loop {
            match next.next().await {
                Next::Events(events) => told.push_str(std::str::from_utf8(&events).unwrap()),
                Next::Last(last) => break last,
            }
        };
        assert_eq!((told, last), (events(), FinalAnswer::Completed));
    }));
}
