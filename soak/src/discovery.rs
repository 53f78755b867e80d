//! Discovery's agents: one on each gateway's machine, at one of several addresses.

use crate::message::{Connection, body, head, say, within};
use crate::world::World;
use async_io::Timer;
use async_net::TcpListener;
use futures_lite::future;
use futures_lite::io::BufReader;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Addresses that an agent may move between.
pub const ADDRESSES: usize = 2;
/// An address that discovery has moved away from closes what is open there after this.
const CLOSED_AFTER: Duration = Duration::from_millis(1_500);

pub async fn serve(world: Rc<World>, gateway: usize, which: usize) -> io::Result<()> {
    let listener = TcpListener::bind(world.agent_address(gateway, which)).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        if world.agents[gateway].address.get() != which {
            continue;
        }
        let own = world.clone();
        world.spawn(async move {
            let moved = async {
                while own.agents[gateway].address.get() == which {
                    Timer::after(Duration::from_millis(100)).await;
                }
                Timer::after(CLOSED_AFTER).await;
                Ok(())
            };
            let _ = future::or(answers(&own, gateway, BufReader::new(stream)), moved).await;
        });
    }
}

async fn answers(world: &World, gateway: usize, mut connection: Connection) -> io::Result<()> {
    let agent = &world.agents[gateway];
    let (mut changes_from, fell_silent) = (u64::MAX, agent.watches_fell_silent.get());
    while let Some(head) = head(&mut connection).await? {
        body(&mut connection, &head).await?;
        // What was asked while it is silent is not answered later either.
        if agent.silent.get() {
            return future::pending().await;
        }
        let query =
            head.first.split(' ').nth(1).and_then(|path| path.split_once('?')).map(|(_, query)| query);
        let value = |name: &str| -> Option<u64> {
            let pair =
                query?.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
            pair?.1.parse().ok()
        };
        if let Some(since) = value("since") {
            changes_from = since;
            let wait = Duration::from_millis(value("timeout_ms").unwrap_or(0));
            let news = async {
                loop {
                    let changed = world.list_changed.listen();
                    if world.index.get() > since {
                        return;
                    }
                    changed.await;
                }
            };
            within(wait, news).await;
        }
        if agent.silent.get() || agent.watches_fell_silent.get() != fell_silent {
            return future::pending().await;
        }
        Timer::after(agent.slow.get()).await;
        let index = world.index.get();
        let whole = changes_from == u64::MAX || index > changes_from;
        let endpoints = if whole { world.endpoints(gateway) } else { String::new() };
        let text = format!("{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[{endpoints}]}}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        say(&mut connection, &answer).await?;
    }
    Ok(())
}
