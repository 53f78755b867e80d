//! Applies events to a request table and executes the commands that the table returns.

use crate::clock::Clock;
use crate::request_table::RequestTable;
use crate::timer::TimerDriver;
use async_channel::{Sender, TrySendError};
use petrelshore::interface::{Nanos, SequenceId};
use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;

/// The request table of a gateway, with the clock and the timer that drive the table.
pub struct EventLoop<R> {
    /// Every task of the gateway that has an event borrows the table mutably, but never across an await.
    requests: RefCell<R>,
    clock: Clock,
    timers: TimerDriver,
}

impl<R: RequestTable> EventLoop<R> {
    /// Creates an event loop for `requests`.
    pub fn new(clock: Clock, requests: R) -> Self {
        EventLoop { requests: RefCell::new(requests), clock, timers: TimerDriver::default() }
    }

    /// Returns the clock that supplies the times for the request table.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the current time.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Borrows the request table for reading. The borrow must end before the next await or event.
    pub fn requests(&self) -> Ref<'_, R> {
        self.requests.borrow()
    }

    /// Borrows the request table for events that return no commands. The borrow must end before the next await or
    /// event.
    pub fn requests_mut(&self) -> RefMut<'_, R> {
        self.requests.borrow_mut()
    }
}

/// The result of forwarding a part of an answer to the ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The part is in the channel to the ingress.
    Delivered,
    /// The ingress no longer reads from the channel: the client has left or has received its final answer.
    Closed,
}

/// A gateway that applies the events of its sockets to a request table and executes the commands of the table.
pub trait EventDriven: Sized + 'static {
    /// The type of the request table.
    type Requests: RequestTable;

    /// Returns the event loop of the gateway.
    fn event_loop(&self) -> &EventLoop<Self::Requests>;

    /// Executes one command of the request table.
    fn execute(self: &Rc<Self>, command: <Self::Requests as RequestTable>::Command);

    /// Applies an event to the request table, and executes the commands that the event returns.
    fn apply(
        self: &Rc<Self>,
        event: impl FnOnce(&mut Self::Requests, Nanos, &mut Vec<<Self::Requests as RequestTable>::Command>),
    ) {
        let mut commands = Vec::new();
        event(&mut self.event_loop().requests_mut(), self.event_loop().now(), &mut commands);
        self.execute_all(commands);
    }

    /// Executes commands in order, then updates the timer, since the event and the commands may have changed the next
    /// timeout.
    fn execute_all(self: &Rc<Self>, commands: Vec<<Self::Requests as RequestTable>::Command>) {
        for command in commands {
            self.execute(command);
        }
        let event_loop = self.event_loop();
        event_loop.timers.update(event_loop.requests().next_timeout());
    }

    /// Returns the timeout task, which applies each timeout of the request table when the timeout is reached. The task
    /// never completes.
    fn run_timeouts(self: Rc<Self>) -> impl Future<Output = ()> + 'static {
        async move {
            let event_loop = self.event_loop();
            let next_timeout = || event_loop.requests().next_timeout();
            let on_timeout = || self.apply(|requests, now, commands| requests.on_timeout(now, commands));
            event_loop.timers.run(event_loop.clock, next_timeout, on_timeout).await;
        }
    }

    /// Sends a part of an answer to the ingress. While the channel is full, the attempt waits and the request table
    /// treats the client as stalled.
    fn forward<T>(
        self: &Rc<Self>,
        id: SequenceId,
        to: &Sender<T>,
        part: T,
    ) -> impl Future<Output = Delivery> {
        async move {
            let sent = match to.try_send(part) {
                Ok(()) => true,
                Err(TrySendError::Full(part)) => {
                    self.apply(|requests, now, _| requests.client_stalled(now, id));
                    let sent = to.send(part).await;
                    self.apply(|requests, now, _| requests.client_stall_ended(now, id));
                    sent.is_ok()
                }
                Err(TrySendError::Closed(_)) => false,
            };
            if sent { Delivery::Delivered } else { Delivery::Closed }
        }
    }
}
