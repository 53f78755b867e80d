//! One client's connection: its calls taken, its manners held to, its end made known.

use crate::exchange;
use crate::frame_observer::{Known, Watch};
use crate::reflection::Described;
use async_io::Timer;
use async_net::TcpStream;
use bytes::Bytes;
use event_listener::Event;
use futures_lite::{AsyncWriteExt, future};
use h2::server::{Builder, Connection, SendResponse};
use h2::{Ping, PingPong, Reason, RecvStream};
use http::Request;
use petrelshore::interface::Nanos;
use petrelshore_chat_gateway::Gateway;
use petrelshore_gateway_core::flow_control::StreamId;
use petrelshore_gateway_core::http2_abuse::{Abuse, AbuseDetector, KeepaliveAction};
use petrelshore_ingress::listener::{ClientGuard, Ingress, Listener, stall_timeout};
use petrelshore_ingress::stall::StallGuard;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};
use tracing::debug;

/// Most of a request's head.
const HEAD: u32 = 32 << 10;
/// What a connection may have on its way to here before it is read, over all its calls.
const UPWARD: u32 = 1 << 20;
/// What is kept of one call for a socket that takes nothing.
const KEPT: usize = 16 << 10;
/// A farewell must be written within this.
const FAREWELL: Duration = Duration::from_secs(2);

type Socket = Compat<Watch<StallGuard>>;

/// Serves clients for as long as it is polled. Connections run where the gateway's tasks run.
pub async fn serve(listener: Listener, ingress: Ingress) {
    let (gateway, described) = (ingress.gateway.clone(), Rc::new(Described::new()));
    let connected = move |stream, inside| connection(stream, inside, gateway.clone(), described.clone());
    ingress.serve(listener, connected, reject).await;
}

/// More clients than the gateway may hold are told so: a GOAWAY before any call, so that none was taken.
async fn reject(mut stream: TcpStream) {
    const SETTINGS: [u8; 9] = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    const ENHANCE_YOUR_CALM: u8 = 11;
    let goaway = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, ENHANCE_YOUR_CALM];
    let _ = stream.write_all(&[&SETTINGS[..], &goaway].concat()).await;
    let _ = stream.close().await;
}

/// What the calls of a connection share.
pub struct Line {
    pub gateway: Gateway,
    pub inside: ClientGuard,
    pub known: Rc<Known>,
    pub described: Rc<Described>,
    calls: RefCell<BTreeMap<StreamId, Rc<Cut>>>,
}

/// By this a call is told to end, so that the others on its connection go on.
#[derive(Default)]
pub struct Cut {
    told: Cell<bool>,
    event: Event,
}

impl Cut {
    pub async fn told(&self) {
        let event = self.event.listen();
        if !self.told.get() {
            event.await;
        }
    }
}

/// A call's place on its connection; dropping it is its end.
pub struct Place {
    pub line: Rc<Line>,
    pub id: StreamId,
    pub cut: Rc<Cut>,
}

impl Place {
    fn new(line: Rc<Line>, id: StreamId) -> Self {
        let cut = Rc::new(Cut::default());
        line.known.abuse.borrow_mut().call_started();
        line.known.windows.borrow_mut().stream_opened(id);
        line.calls.borrow_mut().insert(id, cut.clone());
        Place { line, id, cut }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let known = &self.line.known;
        known.abuse.borrow_mut().call_ended(known.clock.now());
        known.windows.borrow_mut().stream_closed(self.id);
        self.line.calls.borrow_mut().remove(&self.id);
    }
}

/// What happens next on a connection.
enum Next {
    Call(Box<Request<RecvStream>>, SendResponse<Bytes>),
    Draining,
    Misbehaves(Abuse),
    KeepaliveAction,
    Over(Option<h2::Error>),
}

async fn connection(stream: TcpStream, inside: ClientGuard, gateway: Gateway, described: Rc<Described>) {
    let limits = gateway.settings().limits;
    let clock = gateway.clock();
    let abuse = AbuseDetector::new(clock.now(), limits.streams as usize);
    let known = Rc::new(Known {
        clock,
        abuse: RefCell::new(abuse),
        windows: RefCell::default(),
        given: Event::new(),
    });
    let socket = Watch::new(StallGuard::new(stream, stall_timeout()), known.clone()).compat();
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(limits.streams)
        .max_header_list_size(HEAD)
        .initial_connection_window_size(UPWARD)
        .max_send_buffer_size(KEPT);
    let late = async {
        Timer::after(Duration::from_nanos(limits.body_time)).await;
        None
    };
    let hands = async { builder.handshake::<_, Bytes>(socket).await.ok() };
    let Some(mut h2) = future::or(hands, late).await else { return };
    let line = Rc::new(Line { gateway, inside, known, described, calls: RefCell::default() });
    let peer = line.inside.peer;
    let mut pings = h2.ping_pong();
    let mut draining = false;
    let mut stopping = pin!(line.gateway.until_draining());
    loop {
        let stop = async {
            match draining {
                true => future::pending().await,
                false => stopping.as_mut().await,
            }
            Next::Draining
        };
        match future::or(stop, line.next(&mut h2, &mut pings)).await {
            Next::Call(request, respond) => {
                let place = Place::new(line.clone(), respond.stream_id().as_u32());
                line.gateway.spawner().run(exchange::run(place, *request, respond));
            }
            Next::Draining => {
                // Running calls end whole; new ones are told to go elsewhere.
                draining = true;
                h2.graceful_shutdown();
            }
            Next::Misbehaves(bad) => {
                debug!(?bad, %peer, "connection ended for its manners");
                return farewell(h2, Reason::ENHANCE_YOUR_CALM).await;
            }
            Next::KeepaliveAction => match line.due(&mut pings) {
                Some(KeepaliveAction::CloseIdle) => return farewell(h2, Reason::NO_ERROR).await,
                Some(KeepaliveAction::PeerGone) => return debug!(%peer, "connection's client is gone"),
                Some(KeepaliveAction::Ping) | None => {}
            },
            Next::Over(error) => return debug!(?error, %peer, "client connection ended"),
        }
    }
}

async fn farewell(mut h2: Connection<Socket, Bytes>, reason: Reason) {
    h2.abrupt_shutdown(reason);
    let written = async {
        let _ = std::future::poll_fn(|context| h2.poll_closed(context)).await;
    };
    let late = async {
        Timer::after(FAREWELL).await;
    };
    future::or(written, late).await;
}

impl Line {
    /// Moves the connection on until something is to be done.
    async fn next(&self, h2: &mut Connection<Socket, Bytes>, pings: &mut Option<PingPong>) -> Next {
        let mut at = self.next_due();
        let mut timer = Timer::at(self.known.clock.instant(at));
        std::future::poll_fn(|context| {
            if let Some(pings) = pings {
                // That the peer answered is noted where its frames are.
                let _ = pings.poll_pong(context);
            }
            let accepted = h2.poll_accept(context);
            if let Some(bad) = self.known.abuse.borrow().detected() {
                return Poll::Ready(Next::Misbehaves(bad));
            }
            match accepted {
                Poll::Ready(Some(Ok((request, respond)))) => {
                    return Poll::Ready(Next::Call(Box::new(request), respond));
                }
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Next::Over(Some(error))),
                Poll::Ready(None) => return Poll::Ready(Next::Over(None)),
                Poll::Pending => {}
            }
            if self.next_due() < at {
                at = self.next_due();
                timer.set_at(self.known.clock.instant(at));
            }
            pin!(&mut timer).poll(context).map(|_| Next::KeepaliveAction)
        })
        .await
    }

    fn next_due(&self) -> Nanos {
        let windows = self.known.windows.borrow().next_timeout().unwrap_or(Nanos::MAX);
        self.known.abuse.borrow().next_timeout().min(windows)
    }

    fn due(&self, pings: &mut Option<PingPong>) -> Option<KeepaliveAction> {
        let now = self.known.clock.now();
        if let Some(id) = self.known.windows.borrow_mut().stream_to_reset(now)
            && let Some(cut) = self.calls.borrow().get(&id)
        {
            debug!(stream = id, peer = %self.inside.peer, "ended so that its connection goes on");
            cut.told.set(true);
            cut.event.notify(usize::MAX);
        }
        let due = self.known.abuse.borrow_mut().on_timeout(now);
        if due == Some(KeepaliveAction::Ping)
            && let Some(pings) = pings
        {
            // One that is still out asks as well as a new one.
            let _ = pings.send_ping(Ping::opaque());
        }
        due
    }
}
