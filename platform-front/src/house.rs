//! Connections of clients: taken, seated, closed.

use crate::connection::serve;
use crate::reply;
use async_executor::Task;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncWriteExt, future};
use petrelshore_conductor::doors::Doors;
use petrelshore_conductor::lobby::{Entry, FULL_LEAST, Lobby, SeatId};
use petrelshore_framing::wire::Wire;
use petrelshore_front::entrance::{Listening, Reading};
use petrelshore_platform::Service;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

/// A client that is turned away at the door is told so within this.
const AT_THE_DOOR: Duration = Duration::from_millis(500);
/// Connections taken before others get their turn.
const AT_A_TIME: usize = 8;
/// Part of memory that bodies may take up before their first event.
const BODIES: usize = 6;
/// Largest body of a request.
pub const LARGEST_BODY: usize = 256 << 10;

/// All clients of one gateway.
#[derive(Clone)]
pub struct House(Rc<Inside>);

struct Inside {
    service: Service,
    lobby: RefCell<Lobby>,
    doors: Rc<RefCell<Doors>>,
    seated: RefCell<HashMap<SeatId, Task<()>>>,
    leaving: Cell<bool>,
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
            leaving: Cell::new(false),
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
        let spawner = self.0.service.spawner().clone();
        let mut entry = self.ask_in();
        if entry == Entry::Soon {
            Timer::after(Duration::from_nanos(FULL_LEAST)).await;
            entry = self.ask_in();
        }
        let Entry::Seated(seat) = entry else {
            debug!("no place for a new connection");
            return spawner.run(async move {
                let told = async {
                    let mut stream = stream;
                    let _ = stream.write_all(reply::full().as_bytes()).await;
                };
                let late = async {
                    Timer::after(AT_THE_DOOR).await;
                };
                future::or(told, late).await;
            });
        };
        let house = self.clone();
        let task = spawner.spawn(async move {
            serve(&house, seat, Wire::new(stream)).await;
            house.0.lobby.borrow_mut().leave(seat);
            let own = house.0.seated.borrow_mut().remove(&seat);
            own.into_iter().for_each(Task::detach);
        });
        if let Some(task) = task {
            self.0.seated.borrow_mut().insert(seat, task);
        }
    }

    /// Asks for a place, and closes whom that takes it from.
    fn ask_in(&self) -> Entry {
        let (entry, leaves) = self.0.lobby.borrow_mut().enter(self.0.service.clock().now());
        leaves.into_iter().for_each(|leaves| self.close(leaves));
        entry
    }

    /// Closes what has no open request, and says with every answer from now on that its connection ends.
    pub fn leave(&self) {
        self.0.leaving.set(true);
        let idle = self.0.lobby.borrow().idle();
        for seat in idle {
            self.0.lobby.borrow_mut().leave(seat);
            self.close(seat);
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

    fn close(&self, seat: SeatId) {
        let task = self.0.seated.borrow_mut().remove(&seat);
        drop(task);
    }
}
