//! Discovery agents: each gateway's host has one agent, which serves at one of several addresses at a time.

use crate::message::{Connection, Head, read_body, read_head, with_timeout, write_text};
use crate::testbed::Testbed;
use async_io::Timer;
use async_net::TcpListener;
use futures_lite::future;
use futures_lite::io::BufReader;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// The number of addresses that an agent may move between.
pub const ADDRESSES: usize = 2;
/// The time after an agent's move to another address until the connections at the old address are closed.
const MOVED_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
const MOVED_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The query string of a gateway's request.
struct Query<'a>(Option<&'a str>);

impl<'a> Query<'a> {
    fn of(head: &'a Head) -> Query<'a> {
        let path = head.start_line.split(' ').nth(1);
        Query(path.and_then(|path| path.split_once('?')).map(|(_, query)| query))
    }

    fn number(&self, name: &str) -> Option<u64> {
        let mut pairs = self.0?.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }
}

/// Serves one address of a gateway's agent. The returned future completes only if the address cannot be served.
pub async fn serve(testbed: Rc<Testbed>, gateway: usize, address: usize) -> io::Result<()> {
    let listener = TcpListener::bind(testbed.agent_address(gateway, address)).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        if testbed.agents[gateway].address.get() != address {
            continue;
        }
        let own = testbed.clone();
        testbed.spawn(async move {
            let moved = async {
                while own.agents[gateway].address.get() == address {
                    Timer::after(MOVED_CHECK_INTERVAL).await;
                }
                Timer::after(MOVED_CLOSE_DELAY).await;
                Ok(())
            };
            let _ = future::or(serve_connection(&own, gateway, BufReader::new(stream)), moved).await;
        });
    }
}

async fn serve_connection(testbed: &Testbed, gateway: usize, mut connection: Connection) -> io::Result<()> {
    let agent = &testbed.agents[gateway];
    let stalls = agent.stalls.get();
    let mut known_version = None;
    while let Some(head) = read_head(&mut connection).await? {
        read_body(&mut connection, &head).await?;
        // The agent never answers a request that arrives while the agent is silent, not even later.
        if agent.silent.get() {
            return future::pending().await;
        }
        let query = Query::of(&head);
        if let Some(since) = query.number("since") {
            known_version = Some(since);
            let wait = Duration::from_millis(query.number("timeout_ms").unwrap_or(0));
            with_timeout(wait, newer_list(testbed, since)).await;
        }
        if agent.silent.get() || agent.stalls.get() != stalls {
            return future::pending().await;
        }
        Timer::after(agent.delay.get()).await;
        write_text(&mut connection, &list_response(testbed, gateway, known_version)).await?;
    }
    Ok(())
}

/// Waits until the endpoint list is newer than `version`.
async fn newer_list(testbed: &Testbed, version: u64) {
    loop {
        let changed = testbed.list_changed.listen();
        if testbed.list_version.get() > version {
            return;
        }
        changed.await;
    }
}

/// Returns the response to a poll: the full endpoint list, or an empty list if the gateway has the current version.
fn list_response(testbed: &Testbed, gateway: usize, known_version: Option<u64>) -> String {
    let version = testbed.list_version.get();
    let full = known_version.is_none_or(|known| version > known);
    let endpoints = if full { testbed.endpoints(gateway) } else { String::new() };
    let body = format!("{{\"index\":{version},\"snapshot\":{full},\"endpoints\":[{endpoints}]}}");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
