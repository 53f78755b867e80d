//! Closing of connections, tested on loopback sockets.

use async_io::{Async, Timer, block_on};
use futures_lite::future;
use petrelshore_http1::connection::HttpConnection;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Returns a connection and the socket of its peer.
fn connected_pair() -> (HttpConnection, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (HttpConnection::new(Async::new(listener.accept().unwrap().0).unwrap()), peer)
}

/// Waits up to 10 seconds for the condition to hold. Returns false if the condition did not hold in this time.
fn eventually(condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(1));
    }
    condition()
}

#[test]
fn close_shutdown_and_reset_are_seen_behind_unread_bytes() {
    for bytes in [0, 1, 50_000] {
        let (connection, mut peer) = connected_pair();
        peer.write_all(&vec![b'x'; bytes]).unwrap();
        assert!(
            eventually(|| connection.peer().has_unread_bytes() == (bytes > 0))
                && !connection.peer().has_closed(),
            "{bytes} unread bytes: the connection is reported as closed while it is open, or its bytes are not reported"
        );
        peer.shutdown(Shutdown::Write).unwrap();
        assert!(
            eventually(|| connection.peer().has_closed()),
            "{bytes} unread bytes: the shutdown of the sending side is not reported"
        );
        let (connection, mut peer) = connected_pair();
        peer.write_all(&vec![b'x'; bytes]).unwrap();
        drop(peer);
        assert!(
            eventually(|| connection.peer().has_closed()),
            "{bytes} unread bytes: the close is not reported"
        );
    }
    let (connection, peer) = connected_pair();
    block_on(connection.write_all(b"unread")).unwrap();
    // Dropping a socket that has unread bytes resets its connection.
    assert!(eventually(|| peer.peek(&mut [0]).is_ok()));
    drop(peer);
    assert!(eventually(|| connection.peer().has_closed()), "the reset is not reported");
}

#[test]
fn close_is_seen_although_more_was_sent_than_is_buffered() {
    let (mut connection, mut peer) = connected_pair();
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
        assert!(!future::or(closed, timeout).await, "a close is reported while the connection is open");
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
        assert!(future::or(closed, timeout).await, "the close is not reported");
    });
}

#[test]
fn last_bytes_arrive_although_the_peer_sent_more_than_was_read() {
    for sent in [1, 60_000, 300_000] {
        let (mut connection, mut peer) = connected_pair();
        let peer_thread = std::thread::spawn(move || {
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
        assert_eq!(
            peer_thread.join().unwrap().unwrap_or_default(),
            "last bytes",
            "after {sent} bytes from the peer"
        );
    }
}
