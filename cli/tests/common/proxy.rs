//! A proxy before one server, whose open connections can fall silent without an error: what is sent on them is accepted
//! and goes nowhere, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

const BUFFER_BYTES: usize = 16 << 10;

/// A proxy that listens. Its threads end with the process.
pub struct Proxy {
    pub address: SocketAddr,
    /// Connections that were accepted before the latest silence carry nothing any more.
    silences: Arc<AtomicUsize>,
}

impl Proxy {
    pub fn start(server: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let proxy = Proxy { address: listener.local_addr().unwrap(), silences: Arc::default() };
        let silences = proxy.silences.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(server) else { continue };
                forward_both_ways(client, server, &silences);
            }
        });
        proxy
    }

    /// All open connections fall silent.
    pub fn silence_open_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

fn forward_both_ways(client: TcpStream, server: TcpStream, silences: &Arc<AtomicUsize>) {
    let (Ok(client_writer), Ok(server_writer)) = (client.try_clone(), server.try_clone()) else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    for (from, to) in [(client, server_writer), (server, client_writer)] {
        let silences = silences.clone();
        let accepted_after = silences.load(Ordering::SeqCst);
        thread::spawn(move || forward(from, to, || silences.load(Ordering::SeqCst) > accepted_after));
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
