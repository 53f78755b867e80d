//! Follows discovery's list, by the agent on the gateway's own machine.

use crate::service::Service;
use async_io::Timer;
use bytes::BytesMut;
use futures_lite::future;
use petrelshore::interface::Nanos;
use petrelshore_http1::body::BodyDecoder;
use petrelshore_http1::connection::{ConnectionError, HttpConnection};
use petrelshore_platform_protocol::Malformed;
use petrelshore_platform_protocol::list::{Listed, listed};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

// A change counts as told 6 s after discovery has it and can be reached, however the calls before ended. At the most
// there pass the rest of a watch that is out (`WAIT` + a `pause`, 2.5 s), a connection and the whole list (`AT_ONCE`
// each): 3.5 s.
//
// What an agent that was silent has at its return counts at once, and it does not answer what it was asked before. So
// calls begin a `pause` apart, whatever became of the ones before, and the list is there a part of the drain grace
// after the return. The ones before stay out for their time: an agent that is only slow answers them. One that takes up
// to `PATIENT` is followed: its list is there 3.5 s after the watch before it has ended at the latest.

/// What a watch asks the agent to wait for news at the most. Short, since word that got lost on its way, and an agent
/// that is silent, show only at its end: no more than so many times the drain grace.
const WAIT: Duration = Duration::from_millis(2_000);
const WAIT_GRACES: u32 = 2;
/// The agent answers at once what has no wait in it.
const AT_ONCE: Duration = Duration::from_millis(500);
/// But discovery may be slow. So one of the calls that begin in this time stays out for longer than the others.
const PATIENT_APART: Duration = Duration::from_millis(1_000);
const PATIENT: Duration = Duration::from_millis(2_500);
/// Between the beginnings of two calls for the whole list: a part of the drain grace, within these bounds.
const PAUSE_PART: u32 = 2;
const PAUSE_LEAST: Duration = Duration::from_millis(50);
const PAUSE_MOST: Duration = Duration::from_millis(500);
/// Largest list.
const LARGEST: usize = 4 << 20;

/// How long to wait, by the drain grace of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waits {
    /// What a watch asks for.
    watch: Duration,
    /// Between two calls for the whole list, and after a watch whose wait is over.
    pause: Duration,
}

impl Waits {
    pub fn of(drain_grace: Nanos) -> Self {
        let grace = Duration::from_nanos(drain_grace);
        Waits {
            watch: (grace * WAIT_GRACES).clamp(AT_ONCE, WAIT),
            pause: (grace / PAUSE_PART).clamp(PAUSE_LEAST, PAUSE_MOST),
        }
    }
}

/// Follows the list for as long as it is polled; a new address is taken up at once, from its whole list on.
pub async fn watch(service: Service) {
    let waits = Waits::of(service.drain_grace());
    loop {
        let moved = service.discovery_address_changed();
        let address = service.discovery_address();
        let followed = async {
            loop {
                // Guards against an agent that ends each connection with its answer.
                let soonest = Timer::after(waits.pause);
                let (wire, list) = whole(&service, address, waits).await;
                let what = follow(&service, address, waits, wire, list).await;
                debug!(%address, what, "discovery: asking anew");
                soonest.await;
            }
        };
        future::or(moved, followed).await;
    }
}

type ListRequest<'a> = Pin<Box<dyn Future<Output = Result<(HttpConnection, Listed), Malformed>> + 'a>>;

/// The whole list, by the first call that has it, and the connection that it came on.
async fn whole(service: &Service, address: SocketAddr, waits: Waits) -> (HttpConnection, Listed) {
    let mut calls: Vec<ListRequest<'_>> = Vec::new();
    let mut last_patient = None;
    loop {
        let patient = last_patient.is_none_or(|last: Instant| last.elapsed() >= PATIENT_APART);
        if patient {
            last_patient = Some(Instant::now());
        }
        let within = if patient { PATIENT } else { AT_ONCE };
        calls.push(Box::pin(async move {
            let wire = HttpConnection::connect(address, AT_ONCE).await;
            let mut wire = wire.map_err(|why| format!("no connection: {why:?}"))?;
            let list = ask(&mut wire, address, "", within, service).await?;
            Ok((wire, list))
        }));
        let first = future::poll_fn(|context| {
            let mut had = None;
            calls.retain_mut(|call| match call.as_mut().poll(context) {
                _ if had.is_some() => true,
                Poll::Pending => true,
                Poll::Ready(Ok(list)) => {
                    had = Some(list);
                    false
                }
                Poll::Ready(Err(what)) => {
                    debug!(%address, what, "discovery: no list");
                    false
                }
            });
            had.map_or(Poll::Pending, Poll::Ready)
        });
        let pause = async {
            Timer::after(waits.pause).await;
            None
        };
        if let Some(had) = future::or(async { Some(first.await) }, pause).await {
            return had;
        }
    }
}

/// Takes a list and what changes after it. Returns why it can't be followed any further.
async fn follow(
    service: &Service,
    address: SocketAddr,
    waits: Waits,
    mut wire: HttpConnection,
    mut list: Listed,
) -> Malformed {
    loop {
        for what in &list.left_out {
            warn!(%what, "discovery: an entry is left out");
        }
        let index = list.index;
        service.update_endpoints(list);
        // Another answer behind the one asked for would be taken for the next one's, and each after it for the next.
        if !wire.is_reusable() {
            return "more than was asked for, or the end".to_owned();
        }
        let since = format!("?since={index}&timeout_ms={}", waits.watch.as_millis());
        list = match ask(&mut wire, address, &since, waits.watch + waits.pause, service).await {
            // Nothing newer than the index known here would ever come.
            Ok(next) if next.index < index => {
                return format!("the index went back from {index} to {}", next.index);
            }
            Ok(next) => next,
            Err(what) => return what,
        };
    }
}

async fn ask(
    wire: &mut HttpConnection,
    address: SocketAddr,
    since: &str,
    within: Duration,
    service: &Service,
) -> Result<Listed, Malformed> {
    let asked = async {
        let message = format!("GET /v1/servers{since} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        wire.write_all(message.as_bytes()).await.map_err(|error| error.to_string())?;
        let said = |broken: ConnectionError| match broken {
            ConnectionError::Malformed(unreadable) => unreadable.to_string(),
            ConnectionError::Closed => "the connection broke".to_owned(),
        };
        let head = wire.read_response_head().await.map_err(said)?;
        let (mut body, mut data) = (BodyDecoder::new(head.framing, LARGEST as u64), BytesMut::new());
        while !body.decode(&mut wire.buffer, &mut data).map_err(|unreadable| unreadable.to_string())? {
            if data.len() > LARGEST {
                return Err("the list is too large".to_owned());
            }
            match wire.read_more().await {
                Err(ConnectionError::Closed) if body.may_end_at_close() => break,
                more => more.map_err(said)?,
            }
        }
        if head.status != 200 {
            return Err(format!("status {}", head.status));
        }
        let json = serde_json::from_slice(&data).map_err(|error| error.to_string())?;
        listed(&json, service.names())
    };
    let late = async {
        Timer::after(within).await;
        Err("silent".to_owned())
    };
    future::or(asked, late).await
}
