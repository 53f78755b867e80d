//! A TCP proxy in front of one server that can silence its connections without an error: it accepts and discards what is
//! sent on them. New connections work unless all are silenced.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

const BUFFER_BYTES: usize = 16 << 10;

/// A listening proxy. Its threads end with the process.
pub struct Proxy {
    pub address: SocketAddr,
    /// The number of calls of `silence_open_connections`. A connection that was accepted before the latest call
    /// forwards nothing any more.
    silence_count: Arc<AtomicUsize>,
    /// Set once connections that are accepted later are silent as well.
    all_silent: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(server: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Proxy { address, silence_count: Arc::default(), all_silent: Arc::default() };
        let (silence_count, all_silent) = (proxy.silence_count.clone(), proxy.all_silent.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(server) else { continue };
                forward_both_ways(client, server, &silence_count, &all_silent);
            }
        });
        proxy
    }

    /// From now on, discards all bytes that arrive on the connections that are open at this call.
    pub fn silence_open_connections(&self) {
        self.silence_count.fetch_add(1, Ordering::SeqCst);
    }

    /// From now on, discards all bytes that arrive on any connection.
    pub fn silence_all_connections(&self) {
        self.all_silent.store(true, Ordering::SeqCst);
    }
}

fn forward_both_ways(
    client: TcpStream,
    server: TcpStream,
    silence_count: &Arc<AtomicUsize>,
    all_silent: &Arc<AtomicBool>,
) {
    let (Ok(client_writer), Ok(server_writer)) = (client.try_clone(), server.try_clone()) else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    for (from, to) in [(client, server_writer), (server, client_writer)] {
        let (silence_count, all_silent) = (silence_count.clone(), all_silent.clone());
        let count_at_accept = silence_count.load(Ordering::SeqCst);
        let is_silent = move || {
            all_silent.load(Ordering::SeqCst) || silence_count.load(Ordering::SeqCst) > count_at_accept
        };
        thread::spawn(move || forward(from, to, is_silent));
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, is_silent: impl Fn() -> bool) {
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if !is_silent() && to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    if !is_silent() {
        let _ = to.shutdown(Shutdown::Both);
    }
}
