//! Clients: those that wait for their answers, those that leave, and those that send what can't be served.

use crate::message::{Connection, chunk, head, within};
use crate::record::{Class, Event, Process, Seen};
use crate::world::World;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::io::BufReader;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::rc::Rc;
use std::time::Duration;

/// Between two requests of a client.
const THINKS: (u64, u64) = (20, 250);
const CONNECTS_WITHIN: Duration = Duration::from_secs(3);
/// Parts of the clients that do not wait for their answer, or send what can't be served.
const LEAVES: f64 = 0.12;
const BAD: f64 = 0.04;
const WRITES_SLOWLY: f64 = 0.05;
/// What a bad client is owed an error or a close within, and some slack.
const BAD_WITHIN: Duration = Duration::from_millis(3_400);
/// A stream or an answer from which nothing comes for so long has fallen silent.
const SILENCE: Duration = Duration::from_millis(8_000);
const DEADLINES: (u64, u64) = (1_200, 3_000);

struct Request {
    id: u64,
    class: Class,
    deadline: Duration,
    text: String,
}

impl Request {
    fn new(world: &World, id: u64) -> Request {
        let (class, kind) = match world.chance.below(4) {
            0 => (Class::OnceOnly, "unlock"),
            1 => (Class::Tokened, "order"),
            _ => (Class::Repeatable, "chat"),
        };
        let deadline = world.chance.time(DEADLINES.0, DEADLINES.1);
        let body = format!("{{\"messages\":\"{}\"}}", "x".repeat(world.chance.below(4_000)));
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nReq-Id: {id:016x}\r\nReq-Kind: {kind}\r\n\
             Req-Key: {:016x}\r\nReq-Deadline-Ms: {}\r\n\
             Req-Extra: prompt_len=1000,prefix_len=0,max_out=200\r\nContent-Length: {}\r\n\r\n{body}",
            id % 64,
            deadline.as_millis(),
            body.len()
        );
        Request { id, class, deadline, text }
    }
}

/// A connection to a gateway's process, and whether it has served a request.
struct Kept {
    connection: Connection,
    to: Process,
    reused: bool,
}

/// One client after the other, for as long as it is polled.
pub async fn serve(world: Rc<World>, number: usize) {
    let mut kept: Option<Kept> = None;
    for count in 0.. {
        Timer::after(world.chance.time(THINKS.0, THINKS.1)).await;
        if world.over.get() {
            return;
        }
        let id = (world.seed << 40) | ((number as u64) << 24) | count;
        let request = Request::new(&world, id);
        if world.chance.hits(BAD) {
            bad(&world, &request).await;
            continue;
        }
        let stays = kept.take().filter(|_| world.chance.hits(0.8));
        let connection = match stays {
            Some(kept) => Some(kept),
            None => connect(&world).await,
        };
        let Some(connection) = connection else { continue };
        kept = ask(&world, &request, connection).await;
        // The end of a connection may cross a request that was not read: it is sent once more, on a new one.
        if kept.as_ref().is_some_and(|kept| !kept.reused)
            && let Some(again) = kept.take()
        {
            kept = ask(&world, &request, again).await.filter(|kept| kept.reused);
        }
    }
}

async fn connect(world: &World) -> Option<Kept> {
    let to = {
        let open = world.open.borrow();
        let at = world.chance.below(open.len());
        open.iter().nth(at).map(|(gateway, run)| Process { gateway: *gateway, run: *run })?
    };
    let stream = within(CONNECTS_WITHIN, TcpStream::connect(world.gateway_address(to.gateway))).await?;
    let stream = stream.ok()?;
    let _ = stream.set_nodelay(true);
    Some(Kept { connection: BufReader::new(stream), to, reused: false })
}

/// Sends a request and follows its answer. Gives the connection back where it may serve another request, or a new one
/// (not reused) where the request is to be sent once more.
async fn ask(world: &World, request: &Request, mut kept: Kept) -> Option<Kept> {
    let began = world.record.now();
    let written = write(world, &mut kept.connection, &request.text).await;
    let asked = Event::Asked {
        request: request.id,
        to: kept.to,
        class: request.class,
        deadline: request.deadline,
        began,
    };
    if !written {
        // Its last byte was never written: it was not taken.
        return if kept.reused { connect(world).await } else { None };
    }
    world.record.write(asked);
    let leaves = world.chance.hits(LEAVES);
    let answer = answer(world, request.id, &mut kept.connection, kept.reused);
    let seen = match leaves {
        false => Some(answer.await),
        true => within(world.chance.time(0, 400), answer).await,
    };
    let Some(seen) = seen else {
        drop(kept);
        world.record.write(Event::Left { request: request.id });
        return None;
    };
    world.record.write(Event::Answered { request: request.id, seen });
    match seen {
        Seen::Whole(_) if !world.chance.hits(0.02) => {
            kept.reused = true;
            Some(kept)
        }
        // One that was sent on may have run: only its gateway knew.
        Seen::Nothing { reused: true } if !world.was_sent_on(request.id) => connect(world).await,
        _ => None,
    }
}

async fn write(world: &World, connection: &mut Connection, text: &str) -> bool {
    let bytes = text.as_bytes();
    let stream = connection.get_mut();
    if !world.chance.hits(WRITES_SLOWLY) {
        return stream.write_all(bytes).await.is_ok();
    }
    for piece in bytes.chunks(bytes.len() / 4 + 1) {
        if stream.write_all(piece).await.is_err() {
            return false;
        }
        Timer::after(world.chance.time(1, 120)).await;
    }
    true
}

async fn answer(world: &World, request: u64, connection: &mut Connection, reused: bool) -> Seen {
    let head = match within(SILENCE, head(connection)).await {
        None => return Seen::Silence,
        Some(Ok(Some(head))) => head,
        Some(_) => return Seen::Nothing { reused },
    };
    world.record.write(Event::AnswerBegan { request });
    let status = head.status();
    if let Some(length) = head.field("Content-Length").and_then(|length| length.parse().ok()) {
        let mut body = vec![0; length];
        let whole = within(SILENCE, connection.read_exact(&mut body)).await;
        return if matches!(whole, Some(Ok(_))) { Seen::Whole(status) } else { Seen::CutShort };
    }
    loop {
        match within(SILENCE, chunk(connection)).await {
            None => return Seen::Silence,
            Some(Err(_)) => return Seen::CutShort,
            Some(Ok(data)) if data.is_empty() => return Seen::Whole(status),
            Some(Ok(data)) => note_events(world, request, &data),
        }
    }
}

/// How long each event was on its way, by the time in it.
fn note_events(world: &World, request: u64, data: &[u8]) {
    let now = world.record.now();
    for event in String::from_utf8_lossy(data).split("\"t\":").skip(1) {
        let digits: String = event.chars().take_while(char::is_ascii_digit).collect();
        if let Ok(micros) = digits.parse() {
            let late = now.saturating_sub(Duration::from_micros(micros));
            world.record.write(Event::EventCame { request, late });
        }
    }
}

/// Sends what can't be served, and sees whether that is answered with an error or a close.
async fn bad(world: &World, request: &Request) {
    let Some(mut kept) = connect(world).await else { return };
    let text = match world.chance.below(6) {
        // Half a request, and then nothing.
        0 => request.text[..request.text.len() / 2].to_owned(),
        1 => request.text[..40].to_owned(),
        2 => request.text.replace("Req-Deadline-Ms: ", "Req-Deadline-Ms: soon"),
        3 => request.text.replace("Content-Length: ", "Transfer-Encoding: chunked\r\nContent-Length: "),
        4 => request.text.replace("Req-Kind: ", "Req-Kind: no-"),
        _ => "\u{1}\u{2}\u{3}\r\n\r\n".to_owned(),
    };
    let began = world.record.now();
    let _ = kept.connection.get_mut().write_all(text.as_bytes()).await;
    let told = async { head(&mut kept.connection).await };
    let silent = async {
        Timer::after(BAD_WITHIN.saturating_sub(world.record.now().saturating_sub(began))).await;
        None
    };
    let told = future::or(async { Some(told.await) }, silent).await;
    let served = matches!(&told, Some(Ok(Some(head))) if head.status() == 200);
    world.record.write(Event::BadClient { to: kept.to, answered: told.is_some(), served });
}
