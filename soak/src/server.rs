//! Model servers, and the ways to them. Each gateway reaches each server at an address of its own, so that a way can be
//! cut: connections on it fall silent, and new ones never come up.

use crate::message::{Connection, as_chunk, body, head, say};
use crate::record::{Event, Exchange, Outcome, Role};
use crate::world::{Manner, World};
use async_io::{Async, Timer};
use async_net::TcpStream;
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, future};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Connections that may wait to be taken while a way is open.
const WAITING: i32 = 128;
/// Connections that fill the system's queue of a way that is cut, so that no other comes up.
const FILLERS: usize = 4;
const PROMPT_WORK: (u64, u64) = (5, 40);
const FIRST_EVENT: (u64, u64) = (10, 50);
const EVENT_GAP: (u64, u64) = (5, 60);
const MOST_EVENTS: usize = 25;
const SLOWER: Duration = Duration::from_millis(500);
const PROMPT_READ: &str =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\nSrv-Load: x0=0.25\r\n\r\n{\"cached_tokens\":4}";
const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const STREAM_END: &str =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\ndata: [DONE]\n\n: Srv-Load: x0=0.5\n\n";
const DECLINED: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const STATE_GONE: &str = "HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const LET_GO: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// An exchange that has arrived. Dropped without an end, its connection was broken.
struct Open {
    world: Rc<World>,
    exchange: Exchange,
    ended: bool,
}

impl Open {
    fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.world.record.write(Event::Ended { exchange: self.exchange, outcome });
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        if !self.ended {
            let outcome = Outcome::Broken;
            self.world.record.write(Event::Ended { exchange: self.exchange, outcome });
        }
    }
}

/// Serves what one gateway sends to one server, for as long as it is polled.
pub async fn serve(world: Rc<World>, gateway: usize, server: usize) -> io::Result<()> {
    let address = world.server_address(gateway, server);
    loop {
        let state = &world.servers[server];
        let changed = state.changed.listen();
        if state.manner.get() == Manner::Down {
            changed.await;
            continue;
        }
        let listener = Async::<TcpListener>::bind(address)?;
        let down = async {
            loop {
                let changed = state.changed.listen();
                if state.manner.get() == Manner::Down {
                    return Ok(());
                }
                changed.await;
            }
        };
        future::or(down, accept(&world, gateway, server, &listener)).await?;
    }
}

async fn accept(
    world: &Rc<World>,
    gateway: usize,
    server: usize,
    listener: &Async<TcpListener>,
) -> io::Result<()> {
    let link = world.link(gateway, server);
    loop {
        let changed = link.changed.listen();
        if link.cut.get() {
            let _fillers = fill(listener, world.server_address(gateway, server))?;
            changed.await;
            continue;
        }
        rustix::net::listen(listener, WAITING)?;
        let taken = async { Some(listener.accept().await) };
        let cut = async {
            changed.await;
            None
        };
        let Some(taken) = future::or(taken, cut).await else { continue };
        let Ok((stream, _)) = taken else { continue };
        let stream = TcpStream::from(stream);
        let _ = stream.set_nodelay(true);
        let own = world.clone();
        world.spawn(async move { connection(own, gateway, server, stream).await });
    }
}

/// Fills the system's queue: connections beyond it are not answered.
fn fill(listener: &Async<TcpListener>, address: SocketAddr) -> io::Result<Vec<rustix::fd::OwnedFd>> {
    use rustix::net::{AddressFamily, SocketFlags, SocketType, connect, socket_with};
    rustix::net::listen(listener, 0)?;
    let mut fillers = Vec::new();
    for _ in 0..FILLERS {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let filler = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
        let _ = connect(&filler, &address);
        fillers.push(filler);
    }
    Ok(fillers)
}

/// Why a connection can't be used any more.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Over {
    /// Served to its end.
    Served,
    Reset,
}

async fn connection(world: Rc<World>, gateway: usize, server: usize, stream: TcpStream) {
    let mut connection = BufReader::new(stream);
    let starts = world.servers[server].starts.get();
    let over = {
        let served = async {
            let _ = exchanges(&world, gateway, server, &mut connection).await;
            Over::Served
        };
        future::or(served, broken(&world, gateway, server, starts)).await
    };
    if over == Over::Reset {
        let _ = rustix::net::sockopt::set_socket_linger(connection.get_ref(), Some(Duration::ZERO));
    }
}

/// Returns once a connection is to be reset: its server has gone, or its way was cut and is back.
async fn broken(world: &World, gateway: usize, server: usize, starts: u64) -> Over {
    let (state, link) = (&world.servers[server], world.link(gateway, server));
    loop {
        let (server_changed, link_changed) = (state.changed.listen(), link.changed.listen());
        if state.manner.get() == Manner::Down || state.starts.get() != starts {
            return Over::Reset;
        }
        if link.cut.get() {
            link_changed.await;
            return Over::Reset;
        }
        future::or(server_changed, link_changed).await;
    }
}

/// Returns while nothing is cut; for as long as it is, not at all.
async fn passes(world: &World, gateway: usize, server: usize) {
    if world.link(gateway, server).cut.get() {
        future::pending::<()>().await;
    }
}

async fn exchanges(
    world: &Rc<World>,
    gateway: usize,
    server: usize,
    connection: &mut Connection,
) -> io::Result<()> {
    let mut served = 0;
    loop {
        if connection.fill_buf().await?.is_empty() {
            return Ok(());
        }
        passes(world, gateway, server).await;
        let began = world.record.now();
        if served > 0 && world.servers[server].manner.get() == Manner::ForgetsIdle && world.chance.hits(0.3) {
            return Ok(());
        }
        let Some(head) = head(connection).await? else { return Ok(()) };
        body(connection, &head).await?;
        passes(world, gateway, server).await;
        served += 1;
        let mut words = head.first.split(' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        if method == "DELETE" {
            let request = path.rsplit('/').next().and_then(|id| u64::from_str_radix(id, 16).ok());
            world.free(request.unwrap_or(0));
            say(connection, LET_GO).await?;
            continue;
        }
        let id = head.field("Req-Id").and_then(|id| u64::from_str_radix(id, 16).ok());
        let told = head.field("Req-Deadline-Ms").and_then(|told| told.parse().ok());
        let (Some(request), Some(told)) = (id, told) else {
            say(connection, FAILED).await?;
            continue;
        };
        world.note_sent_on(request);
        let exchange = Exchange(world.exchange());
        world.record.write(Event::Arrived {
            exchange,
            request,
            server,
            role: world.servers[server].role,
            from: gateway,
            began,
            told: Duration::from_millis(told),
        });
        let open = Open { world: world.clone(), exchange, ended: false };
        let outcome = match world.servers[server].role {
            Role::Prefill => prefill(world, server, request, connection).await,
            Role::Decode => decode(world, request, connection, server).await,
        };
        match outcome {
            Ok(outcome) => open.end(outcome),
            Err(_) => {
                open.end(Outcome::GivenUp);
                return Ok(());
            }
        }
        passes(world, gateway, server).await;
    }
}

/// Works for a while; an error where the gateway gives the exchange up meanwhile.
async fn work(world: &World, server: usize, time: Duration, connection: &mut Connection) -> io::Result<()> {
    let state = &world.servers[server];
    let slower = if state.manner.get() == Manner::Slow { SLOWER } else { Duration::ZERO };
    let worked = async {
        Timer::after(time + slower).await;
        loop {
            let changed = state.changed.listen();
            if state.manner.get() != Manner::Hangs {
                return Ok(());
            }
            changed.await;
        }
    };
    let given_up = async {
        match connection.fill_buf().await {
            Ok([]) | Err(_) => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(_) => future::pending().await,
        }
    };
    future::or(given_up, worked).await
}

async fn prefill(
    world: &World,
    server: usize,
    request: u64,
    connection: &mut Connection,
) -> io::Result<Outcome> {
    let time = world.chance.time(PROMPT_WORK.0, PROMPT_WORK.1);
    let worked = work(world, server, time, connection).await;
    if worked.is_err() && world.chance.hits(0.5) {
        // It had ended well just then.
        world.hold(request, server);
    }
    worked?;
    if world.servers[server].manner.get() == Manner::Bad {
        return misbehave(world, connection).await;
    }
    world.hold(request, server);
    say(connection, PROMPT_READ).await?;
    Ok(Outcome::Answered)
}

async fn misbehave(world: &World, connection: &mut Connection) -> io::Result<Outcome> {
    let text = match world.chance.below(5) {
        0 => FAILED,
        1 => "\u{1}\u{2} no answer\r\n\r\n",
        2 => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        3 => {
            say(connection, DECLINED).await?;
            return Ok(Outcome::Declined);
        }
        _ => return Err(io::ErrorKind::ConnectionReset.into()),
    };
    say(connection, text).await?;
    Ok(Outcome::Answered)
}

async fn decode(
    world: &World,
    request: u64,
    connection: &mut Connection,
    server: usize,
) -> io::Result<Outcome> {
    let manner = world.servers[server].manner.get();
    if manner == Manner::Bad && world.chance.hits(0.5) {
        return misbehave(world, connection).await;
    }
    work(world, server, world.chance.time(FIRST_EVENT.0, FIRST_EVENT.1), connection).await?;
    if !world.free(request) {
        say(connection, STATE_GONE).await?;
        return Ok(Outcome::Declined);
    }
    let events = 1 + world.chance.below(MOST_EVENTS);
    let mut text = STREAM.to_owned();
    for number in 0..events {
        let micros = world.record.now().as_micros();
        let event = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{number}\"}}}}],\"t\":{micros}}}\n\n"
        );
        text.push_str(&as_chunk(&event));
        say(connection, &text).await?;
        text.clear();
        if manner == Manner::Bad && world.chance.hits(0.1) {
            say(connection, "zz\r\nspoilt\r\n").await?;
            return Ok(Outcome::Broken);
        }
        work(world, server, world.chance.time(EVENT_GAP.0, EVENT_GAP.1), connection).await?;
    }
    say(connection, &(as_chunk(STREAM_END) + "0\r\n\r\n")).await?;
    Ok(Outcome::Answered)
}
