//! A TCP proxy in front of one server that can silence its open connections without an error: it accepts and discards
//! what is sent on them, while new connections work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

const BUFFER_BYTES: usize = 16 << 10;

/// A listening proxy. Its threads end with the process.
pub struct Proxy {
    pub address: SocketAddr,
    /// The number of calls of `silence_open_connections`. A connection that was accepted before the latest call
    /// forwards nothing any more.
    silence_count: Arc<AtomicUsize>,
}

impl Proxy {
    pub fn start(server: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let proxy = Proxy { address: listener.local_addr().unwrap(), silence_count: Arc::default() };
        let silence_count = proxy.silence_count.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(server) else { continue };
                forward_both_ways(client, server, &silence_count);
            }
        });
        proxy
    }

    /// From now on, discards all bytes that arrive on the connections that are open at this call.
    pub fn silence_open_connections(&self) {
        self.silence_count.fetch_add(1, Ordering::SeqCst);
    }
}

fn forward_both_ways(client: TcpStream, server: TcpStream, silence_count: &Arc<AtomicUsize>) {
    let (Ok(client_writer), Ok(server_writer)) = (client.try_clone(), server.try_clone()) else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    for (from, to) in [(client, server_writer), (server, client_writer)] {
        let silence_count = silence_count.clone();
        let count_at_accept = silence_count.load(Ordering::SeqCst);
        thread::spawn(move || forward(from, to, || silence_count.load(Ordering::SeqCst) > count_at_accept));
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
