//! The socket's own ends, on loopback.

use async_io::{Async, Timer, block_on};
use futures_lite::future;
use petrelshore_http1::connection::Wire;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// One end as the gateway has it, the other as its peer.
fn pair() -> (Wire, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Wire::new(Async::new(listener.accept().unwrap().0).unwrap()), peer)
}

fn soon(holds: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while !holds() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(1));
    }
    holds()
}

#[test]
fn a_peer_has_left_once_it_closes_ends_its_sending_or_resets_also_behind_bytes_nobody_took() {
    for bytes in [0, 1, 50_000] {
        let (wire, mut peer) = pair();
        peer.write_all(&vec![b'x'; bytes]).unwrap();
        assert!(
            soon(|| wire.peer().waits() == (bytes > 0)) && !wire.peer().has_left(),
            "{bytes}: it is there"
        );
        peer.shutdown(Shutdown::Write).unwrap();
        assert!(soon(|| wire.peer().has_left()), "{bytes}: it has ended its sending");
        let (wire, mut peer) = pair();
        peer.write_all(&vec![b'x'; bytes]).unwrap();
        drop(peer);
        assert!(soon(|| wire.peer().has_left()), "{bytes}: it has closed");
    }
    let (wire, peer) = pair();
    block_on(wire.write(b"unread")).unwrap();
    // Closed over what it has not read, it resets.
    assert!(soon(|| peer.peek(&mut [0]).is_ok()));
    drop(peer);
    assert!(soon(|| wire.peer().has_left()), "it has reset");
}

#[test]
fn leaving_is_seen_although_more_was_sent_than_is_kept() {
    let (mut wire, mut peer) = pair();
    peer.write_all(&[b'x'; 100_000]).unwrap();
    block_on(async {
        let late = async {
            Timer::after(Duration::from_millis(300)).await;
            false
        };
        let left = async {
            wire.closed(10_000).await;
            true
        };
        assert!(!future::or(left, late).await, "it is there");
        assert!(wire.buffer.len() < 20_000, "{} bytes are kept", wire.buffer.len());
        drop(peer);
        let late = async {
            Timer::after(Duration::from_secs(5)).await;
            false
        };
        let left = async {
            wire.closed(10_000).await;
            true
        };
        assert!(future::or(left, late).await, "it has left");
    });
}

#[test]
fn the_last_bytes_arrive_although_the_peer_has_sent_more_than_was_read() {
    for sent in [1, 60_000, 300_000] {
        let (mut wire, mut peer) = pair();
        let other = std::thread::spawn(move || {
            let _ = peer.write_all(&vec![b'x'; sent]);
            let mut told = String::new();
            peer.read_to_string(&mut told).map(|_| told)
        });
        block_on(async {
            wire.more().await.ok();
            wire.write(b"the last word").await.unwrap();
            wire.finish().await;
        });
        drop(wire);
        assert_eq!(other.join().unwrap().unwrap_or_default(), "the last word", "{sent}");
    }
}
