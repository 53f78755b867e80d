//! Applies events to a request table and executes the commands that it returns.

use crate::clock::Clock;
use crate::request_table::RequestTable;
use crate::timer::TimerDriver;
use async_channel::{Sender, TrySendError};
use petrelshore::interface::{Nanos, SequenceId};
use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;

/// The request table of a gateway, with the clock and the timer that drive it.
pub struct EventLoop<R> {
    /// Changed by whichever task of the gateway has an event, never across an await.
    requests: RefCell<R>,
    clock: Clock,
    timers: TimerDriver,
}

impl<R: RequestTable> EventLoop<R> {
    /// An event loop for this request table.
    pub fn new(clock: Clock, requests: R) -> Self {
        EventLoop { requests: RefCell::new(requests), clock, timers: TimerDriver::default() }
    }

    /// The clock that the request table goes by.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The present time.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// The request table, to look something up. Not to be held across an await or an event.
    pub fn requests(&self) -> Ref<'_, R> {
        self.requests.borrow()
    }

    /// The request table, for events that return no commands. Not to be held across an await or an event.
    pub fn requests_mut(&self) -> RefMut<'_, R> {
        self.requests.borrow_mut()
    }
}

/// Whether the ingress still takes what is sent to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is in the channel to the ingress.
    Delivered,
    /// The ingress reads no more: the client has left or has its final answer.
    Closed,
}

/// A gateway on sockets that is driven by events of its request table.
pub trait EventDriven: Sized + 'static {
    /// Its request table.
    type Requests: RequestTable;

    /// The event loop that it runs on.
    fn event_loop(&self) -> &EventLoop<Self::Requests>;

    /// Executes one command of the request table.
    fn execute(self: &Rc<Self>, command: <Self::Requests as RequestTable>::Command);

    /// Applies an event to the request table, and executes the commands that it returns.
    fn apply(
        self: &Rc<Self>,
        event: impl FnOnce(&mut Self::Requests, Nanos, &mut Vec<<Self::Requests as RequestTable>::Command>),
    ) {
        let mut commands = Vec::new();
        event(&mut self.event_loop().requests_mut(), self.event_loop().now(), &mut commands);
        self.execute_all(commands);
    }

    /// Executes commands in their order, and sets the timer for what they changed.
    fn execute_all(self: &Rc<Self>, commands: Vec<<Self::Requests as RequestTable>::Command>) {
        for command in commands {
            self.execute(command);
        }
        let events = self.event_loop();
        events.timers.update(events.requests().next_timeout());
    }

    /// The timeout task: applies each timeout of the request table when it is reached. Runs as long as it is polled.
    fn run_timeouts(self: Rc<Self>) -> impl Future<Output = ()> + 'static {
        async move {
            let events = self.event_loop();
            let next_timeout = || events.requests().next_timeout();
            let on_timeout = || self.apply(|requests, now, commands| requests.on_timeout(now, commands));
            events.timers.run(events.clock, next_timeout, on_timeout).await;
        }
    }

    /// Sends a part of an answer to the ingress. While the channel is full the attempt waits, and the request table
    /// knows that the client is stalled.
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
