//! How connections end, on loopback.

use async_io::{Async, Timer, block_on};
use futures_lite::future;
use petrelshore_http1::connection::HttpConnection;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A connection, and the socket of its peer.
fn pair() -> (HttpConnection, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (HttpConnection::new(Async::new(listener.accept().unwrap().0).unwrap()), peer)
}

fn eventually(holds: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while !holds() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(1));
    }
    holds()
}

#[test]
fn close_shutdown_and_reset_are_seen_behind_unread_bytes() {
    for bytes in [0, 1, 50_000] {
        let (connection, mut peer) = pair();
        peer.write_all(&vec![b'x'; bytes]).unwrap();
        assert!(
            eventually(|| connection.peer().has_unread_bytes() == (bytes > 0))
                && !connection.peer().has_closed(),
            "{bytes}: it is open"
        );
        peer.shutdown(Shutdown::Write).unwrap();
        assert!(eventually(|| connection.peer().has_closed()), "{bytes}: it has shut down its sending side");
        let (connection, mut peer) = pair();
        peer.write_all(&vec![b'x'; bytes]).unwrap();
        drop(peer);
        assert!(eventually(|| connection.peer().has_closed()), "{bytes}: it has closed");
    }
    let (connection, peer) = pair();
    block_on(connection.write_all(b"unread")).unwrap();
    // Closed with unread bytes, it resets.
    assert!(eventually(|| peer.peek(&mut [0]).is_ok()));
    drop(peer);
    assert!(eventually(|| connection.peer().has_closed()), "it has reset");
}

#[test]
fn close_is_seen_although_more_was_sent_than_is_buffered() {
    let (mut connection, mut peer) = pair();
    peer.write_all(&[b'x'; 100_000]).unwrap();
    block_on(async {
        let timeout = async {
            Timer::after(Duration::from_millis(300)).await;
            false
        };
        let closed = async {
            connection.wait_closed(10_000).await;
            true
        };
        assert!(!future::or(closed, timeout).await, "it is open");
        assert!(connection.buffer.len() < 20_000, "{} bytes are buffered", connection.buffer.len());
        drop(peer);
        let timeout = async {
            Timer::after(Duration::from_secs(5)).await;
            false
        };
        let closed = async {
            connection.wait_closed(10_000).await;
            true
        };
        assert!(future::or(closed, timeout).await, "it has closed");
    });
}

#[test]
fn last_bytes_arrive_although_the_peer_sent_more_than_was_read() {
    for sent in [1, 60_000, 300_000] {
        let (mut connection, mut peer) = pair();
        let other = std::thread::spawn(move || {
            let _ = peer.write_all(&vec![b'x'; sent]);
            let mut received = String::new();
            peer.read_to_string(&mut received).map(|_| received)
        });
        block_on(async {
            connection.read_more().await.ok();
            connection.write_all(b"last bytes").await.unwrap();
            connection.lingering_close().await;
        });
        drop(connection);
        assert_eq!(other.join().unwrap().unwrap_or_default(), "last bytes", "{sent}");
    }
}
