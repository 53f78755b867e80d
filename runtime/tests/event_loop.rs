//! Tests the event loop with a request table and a gateway that record the calls they receive.

use async_executor::LocalExecutor;
use futures_lite::future;
use petrelshore::interface::{Nanos, SequenceId};
use petrelshore_runtime::{
    AttemptSlot, Clock, Delivery, EventDriven, EventLoop, RequestTable, Spawner, wait_until,
};
use std::cell::RefCell;
use std::rc::Rc;

const REQUEST: SequenceId = SequenceId(7);

/// A call that the request table or the gateway received.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Recorded {
    Timeout,
    Executed(&'static str),
    Stalled(bool),
}

/// The received calls in order, shared by the request table and its gateway.
type Record = Rc<RefCell<Vec<Recorded>>>;

struct RecordingTable {
    next_timeout: Option<Nanos>,
    record: Record,
}

impl RequestTable for RecordingTable {
    type Command = &'static str;

    fn next_timeout(&self) -> Option<Nanos> {
        self.next_timeout
    }

    fn on_timeout(&mut self, _: Nanos, commands: &mut Vec<&'static str>) {
        self.next_timeout = None;
        self.record.borrow_mut().push(Recorded::Timeout);
        commands.extend(["first", "second"]);
    }

    fn client_stalled(&mut self, _: Nanos, id: SequenceId) {
        assert_eq!(id, REQUEST);
        self.record.borrow_mut().push(Recorded::Stalled(true));
    }

    fn client_stall_ended(&mut self, _: Nanos, id: SequenceId) {
        assert_eq!(id, REQUEST);
        self.record.borrow_mut().push(Recorded::Stalled(false));
    }
}

struct RecordingGateway {
    event_loop: EventLoop<RecordingTable>,
    executed: event_listener::Event,
    record: Record,
}

impl EventDriven for RecordingGateway {
    type Requests = RecordingTable;

    fn event_loop(&self) -> &EventLoop<RecordingTable> {
        &self.event_loop
    }

    fn execute(self: &Rc<Self>, command: &'static str) {
        // Panics if the request table is still borrowed while its commands are executed.
        drop(self.event_loop.requests_mut());
        self.record.borrow_mut().push(Recorded::Executed(command));
        self.executed.notify(usize::MAX);
    }
}

fn gateway() -> Rc<RecordingGateway> {
    let record = Record::default();
    let table = RecordingTable { next_timeout: None, record: record.clone() };
    let event_loop = EventLoop::new(Clock::start(), table);
    Rc::new(RecordingGateway { event_loop, executed: event_listener::Event::new(), record })
}

#[test]
fn timeout_set_by_an_event_is_applied_and_its_commands_executed_in_order() {
    let executor = Rc::new(LocalExecutor::new());
    let gateway = gateway();
    Spawner::new(&executor).run(gateway.clone().run_timeouts());
    async_io::block_on(executor.run(async {
        // Lets the timeout task start to wait without a timeout before the event sets one.
        future::yield_now().await;
        gateway.apply(|requests, now, _| requests.next_timeout = Some(now + 1_000_000));
        wait_until(&gateway.executed, || gateway.record.borrow().len() == 3).await;
    }));
    let expected = [Recorded::Timeout, Recorded::Executed("first"), Recorded::Executed("second")];
    assert_eq!(*gateway.record.borrow(), expected);
}

#[test]
fn full_channel_stalls_the_client_until_it_reads() {
    let gateway = gateway();
    let (sender, receiver) = async_channel::bounded(1);
    future::block_on(async {
        assert_eq!(gateway.forward(REQUEST, &sender, 1).await, Delivery::Delivered);
        assert_eq!(*gateway.record.borrow(), []);
        let read = async {
            future::yield_now().await;
            assert_eq!(*gateway.record.borrow(), [Recorded::Stalled(true)]);
            receiver.recv().await
        };
        let (delivery, read) = future::zip(gateway.forward(REQUEST, &sender, 2), read).await;
        assert_eq!((delivery, read), (Delivery::Delivered, Ok(1)));
    });
    assert_eq!(*gateway.record.borrow(), [Recorded::Stalled(true), Recorded::Stalled(false)]);
}

#[test]
fn forward_to_closed_channel_reports_closed() {
    let gateway = gateway();
    let (sender, receiver) = async_channel::bounded(1);
    drop(receiver);
    assert_eq!(future::block_on(gateway.forward(REQUEST, &sender, 1)), Delivery::Closed);
    assert_eq!(*gateway.record.borrow(), []);
}

#[test]
fn attempt_slot_yields_only_the_task_of_its_attempt() {
    let executor = Rc::new(LocalExecutor::new());
    let mut slot = AttemptSlot::default();
    slot.start(1, Spawner::new(&executor).spawn(future::pending()));
    assert!(slot.take(0).is_none());
    assert!(slot.take(1).is_some());
    assert!(slot.take(1).is_none());
}
