//! Writing through a bounded queue, and what is read before an end.

use super::*;
use std::net::TcpListener;

/// A connection, and the peer's end of it, which reads nothing.
fn pair() -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (peer, _) = listener.accept().expect("a connection");
    (Conn::new(Async::new(stream).expect("a socket")), peer)
}

#[test]
fn a_peer_that_never_reads_is_ended_with_a_reason_and_its_queue_is_bounded() {
    let (conn, _peer) = pair();
    let mut sent = 0;
    while !conn.stopping() {
        conn.send(0, &[0; 8192]);
        sent += 8192;
        assert!(sent < 1 << 30, "no end");
    }
    assert_eq!(conn.end.get(), Some(CloseReason::QueueFull));
    assert!(conn.queue.borrow().len() <= MOST_QUEUED);
}

#[test]
fn a_peer_that_takes_nothing_for_too_long_is_ended() {
    let (conn, _peer) = pair();
    while conn.flushed() {
        conn.send(1_000, &[0; 8192]);
    }
    conn.end_if_stuck(6_000, 5_000);
    assert!(!conn.stopping());
    conn.end_if_stuck(6_001, 5_000);
    assert_eq!(conn.end.get(), Some(CloseReason::WriteStalled));
}

/// What a host said and closed on is heard, also where a write to it fails before that is read.
#[test]
fn what_a_peer_said_before_it_closed_is_read_although_a_write_fails_first() {
    let (conn, mut peer) = pair();
    // Unread input at the peer: its close resets the connection.
    assert!(conn.send(0, b"never read"));
    let mut heard = Vec::new();
    let run = conn.run(|inbox| {
        heard.append(inbox);
        Ok(())
    });
    let fails = async {
        future::yield_now().await;
        peer.write_all(&[7; 3 * CHUNK]).expect("it has room");
        drop(peer);
        while conn.send(0, b"into the void") {}
    };
    let (end, ()) = async_io::block_on(future::zip(run, fails));
    assert_eq!((end, heard.len()), (CloseReason::Reset, 3 * CHUNK));
}

#[test]
fn what_has_come_in_and_was_not_read_shows() {
    let (conn, mut peer) = pair();
    assert_eq!(conn.unread(), Unread::Nothing);
    peer.write_all(&[7; 3]).expect("it has room");
    assert_eq!(
        (conn.unread(), conn.unread().whole()),
        (Unread::Bytes(3), true)
    );
    peer.write_all(&[7; CHUNK]).expect("it has room");
    assert_eq!(
        (conn.unread(), conn.unread().whole()),
        (Unread::Bytes(CHUNK), false)
    );
    let (conn, peer) = pair();
    drop(peer);
    assert_eq!(conn.unread(), Unread::EndOfStream);
}
