//! Tests of `conn.rs`: writing through a bounded queue, and reading the remaining input at the end of a connection.

use super::reading::CHUNK_BYTES;
use super::writing::MAX_QUEUED_BYTES;
use super::*;
use futures_lite::future;
use std::io::Write;
use std::net::TcpListener;

/// Returns a connection and the peer's end of it, which reads nothing.
fn pair() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a port");
    let stream = TcpStream::connect(
        listener
            .local_addr()
            .expect("failed to read the local address"),
    )
    .expect("failed to connect");
    let (peer, _) = listener.accept().expect("failed to accept the connection");
    (
        Connection::new(Async::new(stream).expect("failed to register the socket")),
        peer,
    )
}

#[test]
fn peer_that_never_reads_is_closed_with_a_reason_and_its_queue_is_bounded() {
    let (conn, _peer) = pair();
    let mut sent = 0;
    while !conn.is_closing() {
        conn.send(0, &[0; 8192]);
        sent += 8192;
        assert!(
            sent < 1 << 30,
            "the write queue is never full after {sent} bytes"
        );
    }
    assert_eq!(conn.close_reason.get(), Some(CloseReason::QueueFull));
    assert!(conn.queue.borrow().len() <= MAX_QUEUED_BYTES);
}

#[test]
fn peer_that_takes_nothing_for_too_long_is_closed() {
    let (conn, _peer) = pair();
    while conn.is_flushed() {
        conn.send(1_000, &[0; 8192]);
    }
    conn.close_if_write_stalled(6_000, 5_000);
    assert!(!conn.is_closing());
    conn.close_if_write_stalled(6_001, 5_000);
    assert_eq!(conn.close_reason.get(), Some(CloseReason::WriteStalled));
}

/// Guards against the loss of what a host sent before it closed, if a write to the host fails before that input is
/// read.
#[test]
fn input_sent_before_a_close_is_read_although_a_write_fails_first() {
    let (conn, mut peer) = pair();
    // The peer does not read this, so that its close resets the connection.
    assert!(conn.send(0, b"never read"));
    let mut received = Vec::new();
    let run = conn.run(|inbox| {
        received.append(inbox);
        Ok(())
    });
    let fails = async {
        future::yield_now().await;
        peer.write_all(&[7; 3 * CHUNK_BYTES])
            .expect("failed to write to the socket");
        drop(peer);
        while conn.send(0, b"after closing") {}
    };
    let (end, ()) = async_io::block_on(future::zip(run, fails));
    assert_eq!((end, received.len()), (CloseReason::Reset, 3 * CHUNK_BYTES));
}

#[test]
fn unread_input_is_counted_up_to_one_read() {
    let (conn, mut peer) = pair();
    assert_eq!(conn.unread(), Unread::Nothing);
    peer.write_all(&[7; 3])
        .expect("failed to write to the socket");
    assert_eq!(
        (conn.unread(), conn.unread().fits_next_read()),
        (Unread::Bytes(3), true)
    );
    peer.write_all(&[7; CHUNK_BYTES])
        .expect("failed to write to the socket");
    assert_eq!(
        (conn.unread(), conn.unread().fits_next_read()),
        (Unread::Bytes(CHUNK_BYTES), false)
    );
}

#[test]
fn close_of_the_peer_is_seen_before_it_is_read() {
    let (conn, peer) = pair();

    drop(peer);

    assert_eq!(conn.unread(), Unread::EndOfStream);
}
