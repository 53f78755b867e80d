//! Connections of clients: taken, seated, closed.

use crate::connection::serve;
use crate::reply;
use async_executor::Task;
use async_io::Timer;
use async_net::TcpStream;
use event_listener::Event;
use futures_lite::future;
use petrelshore_conductor::doors::Doors;
use petrelshore_conductor::lobby::{Entry, FULL_LEAST, Lobby, SeatId};
use petrelshore_framing::wire::{Peer, Wire};
use petrelshore_front::entrance::{Listening, Reading};
use petrelshore_platform::Service;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

/// So many are told at once that there is no place for them; others wait until the system takes their connection from
/// its queue. Guards the descriptors of discovery and model servers.
const AT_THE_DOOR: usize = 8;
/// Connections taken before others get their turn.
const AT_A_TIME: usize = 8;
/// Part of memory that bodies may take up before their first event.
const BODIES: usize = 6;
/// Part of memory for what clients send behind their open requests, and the most and the least of one of them.
const AHEAD: usize = 8;
const AHEAD_MOST: usize = 64 << 10;
const AHEAD_LEAST: usize = 4 << 10;
/// Largest body of a request.
pub const LARGEST_BODY: usize = 256 << 10;

/// All clients of one gateway.
#[derive(Clone)]
pub struct House(Rc<Inside>);

struct Inside {
    service: Service,
    lobby: RefCell<Lobby>,
    doors: Rc<RefCell<Doors>>,
    seated: RefCell<HashMap<SeatId, (Peer, Task<()>)>>,
    /// Those at the door that are told that there is no place.
    at_the_door: Cell<usize>,
    ahead: usize,
    leaving: Cell<bool>,
    /// Told when a client or one at the door has gone.
    gone: Event,
}

impl House {
    /// At most so many connections, and bodies within a part of so much memory.
    pub fn new(service: Service, connections: usize, memory_bytes: usize) -> Self {
        let doors = Doors::bounded(connections, LARGEST_BODY, memory_bytes / BODIES);
        House(Rc::new(Inside {
            service,
            lobby: RefCell::new(Lobby::new(connections)),
            doors: Rc::new(RefCell::new(doors)),
            seated: RefCell::default(),
            at_the_door: Cell::new(0),
            ahead: (memory_bytes / AHEAD / connections.max(1)).clamp(AHEAD_LEAST, AHEAD_MOST),
            leaving: Cell::new(false),
            gone: Event::new(),
        }))
    }

    /// Takes connections for as long as it is polled.
    pub async fn take(self, listening: Listening) {
        loop {
            for _ in 0..AT_A_TIME {
                let (stream, _) = listening.next().await;
                self.enter(stream).await;
            }
            // Guards against a flood of connections: those that are in get their turn.
            future::yield_now().await;
        }
    }

    async fn enter(&self, stream: TcpStream) {
        let mut entry = self.ask_in();
        if entry == Entry::Soon {
            Timer::after(Duration::from_nanos(FULL_LEAST)).await;
            entry = self.ask_in();
        }
        let (spawner, house) = (self.0.service.spawner().clone(), self.clone());
        let mut wire = Wire::new(stream);
        let Entry::Seated(seat) = entry else {
            debug!("no place for a new connection");
            self.0.at_the_door.update(|count| count + 1);
            spawner.run(async move {
                if wire.write(reply::full().as_bytes()).await.is_ok() {
                    wire.finish().await;
                }
                drop(wire);
                house.0.at_the_door.update(|count| count - 1);
                house.0.gone.notify(usize::MAX);
            });
            return self.room_at_the_door().await;
        };
        let peer = wire.peer();
        let task = spawner.spawn(async move {
            serve(&house, seat, wire).await;
            house.0.lobby.borrow_mut().leave(seat);
            let own = house.0.seated.borrow_mut().remove(&seat);
            own.into_iter().for_each(|(_, task)| task.detach());
            house.0.gone.notify(usize::MAX);
        });
        if let Some(task) = task {
            self.0.seated.borrow_mut().insert(seat, (peer, task));
        }
    }

    async fn room_at_the_door(&self) {
        loop {
            let gone = self.0.gone.listen();
            if self.0.at_the_door.get() < AT_THE_DOOR {
                return;
            }
            gone.await;
        }
    }

    /// Asks for a place, and closes whom that takes it from.
    fn ask_in(&self) -> Entry {
        let now = self.0.service.clock().now();
        let (entry, leaves) = self.0.lobby.borrow_mut().enter(now, |seat| self.rests(seat));
        leaves.into_iter().for_each(|leaves| self.close(leaves));
        entry
    }

    /// Whether nothing has come on a connection that was not taken yet. Closed over that, it would be reset, and its
    /// request lost.
    fn rests(&self, seat: SeatId) -> bool {
        self.0.seated.borrow().get(&seat).is_none_or(|(peer, _)| !peer.waits())
    }

    /// Closes what rests, and says with every answer from now on that its connection ends.
    pub fn leave(&self) {
        self.0.leaving.set(true);
        let idle = self.0.lobby.borrow().idle(self.0.service.clock().now());
        for seat in idle.into_iter().filter(|seat| self.rests(*seat)) {
            self.0.lobby.borrow_mut().leave(seat);
            self.close(seat);
        }
    }

    /// Returns once no client is left.
    pub async fn until_empty(&self) {
        loop {
            let gone = self.0.gone.listen();
            if self.connections() == 0 {
                return;
            }
            gone.await;
        }
    }

    pub fn connections(&self) -> usize {
        self.0.lobby.borrow().len()
    }

    pub(crate) fn leaving(&self) -> bool {
        self.0.leaving.get()
    }

    pub(crate) fn service(&self) -> &Service {
        &self.0.service
    }

    pub(crate) fn lobby(&self) -> &RefCell<Lobby> {
        &self.0.lobby
    }

    /// The room of a body that is about to be read.
    pub(crate) fn reading(&self, seat: SeatId) -> Reading {
        Reading::new(self.0.doors.clone(), seat.0)
    }

    /// Most bytes that a client may have sent behind its open request before they stay with the system.
    pub(crate) fn ahead(&self) -> usize {
        self.0.ahead
    }

    fn close(&self, seat: SeatId) {
        let task = self.0.seated.borrow_mut().remove(&seat);
        drop(task);
    }
}
