//! Tests of `status.rs`: how long an attempt waits for unread input of its client.

use super::*;
use crate::net::conn::Connection;
use async_io::Async;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;

const CHUNK_BYTES: usize = 16 * 1024;

/// Returns a table with one client, the client's id, and the client's end of the connection.
fn client() -> (Clients, ClientId, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a port");
    let peer = TcpStream::connect(
        listener
            .local_addr()
            .expect("failed to read the local address"),
    )
    .expect("failed to connect");
    let (stream, _) = listener.accept().expect("failed to accept the connection");
    let mut clients = Clients::new(256, 0);
    let id = clients.insert(
        0,
        Rc::new(Connection::new(
            Async::new(stream).expect("failed to register the socket"),
        )),
        None,
    );
    (clients, id, peer)
}

/// Returns the number of reads for which an attempt waits, if its client sends without pause and its input has been
/// waiting for `input_wait`.
fn awaited_reads(input_wait: Micros) -> u64 {
    let (mut clients, id, mut peer) = client();
    let host = HostId(Arc::from("h0"));
    peer.write_all(&[0; 8 * CHUNK_BYTES])
        .expect("failed to write to the socket");
    let (mut mark, mut reads) = (None, 0);
    // Reads are only simulated, so the same amount of input stays unread each time.
    while let ClientStatus::UnreadInput(next) = clients.status(
        id,
        mark,
        &host,
        input_wait,
        &mut UnreadInputCache::default(),
    ) {
        mark = next;
        assert_eq!(
            clients.input_processed(id, CHUNK_BYTES).len(),
            1,
            "the host whose attempt waits was not returned"
        );
        reads += 1;
        assert!(
            reads < 10_000,
            "the attempt still waits after {reads} reads"
        );
    }
    assert_eq!(
        clients.status(id, mark, &host, 0, &mut UnreadInputCache::default()),
        ClientStatus::Connected
    );
    reads
}

#[test]
fn client_that_never_pauses_is_waited_for_up_to_a_limit() {
    let limit = MAX_READ_AHEAD_BYTES / CHUNK_BYTES as u64;
    assert_eq!(awaited_reads(0), limit);
    assert_eq!(awaited_reads(LONG_INPUT_WAIT - 1), limit);
}

// Regression: after a stall, a cancellation behind more input than the usual limit was read only after the attempt had
// been sent.
#[test]
fn after_a_stall_all_that_a_buffer_may_hold_is_read_before_an_attempt() {
    let limit = MAX_READ_AHEAD_AFTER_STALL_BYTES / CHUNK_BYTES as u64;
    assert_eq!(awaited_reads(LONG_INPUT_WAIT), limit);
}

/// Returns a client that has sent ten bytes, and the mark that an attempt for it waits for.
fn client_with_unread_input(host: &HostId) -> (Clients, ClientId, TcpStream, Option<ReadMark>) {
    let (mut clients, id, mut peer) = client();
    peer.write_all(&[0; 10])
        .expect("failed to write to the socket");
    let ClientStatus::UnreadInput(mark @ Some(_)) =
        clients.status(id, None, host, 0, &mut UnreadInputCache::default())
    else {
        panic!("the ten bytes are not reported as unread input")
    };
    (clients, id, peer, mark)
}

#[test]
fn input_that_arrived_before_the_first_look_is_waited_for_until_it_is_read() {
    let host = HostId(Arc::from("h0"));
    let (mut clients, id, _peer, mark) = client_with_unread_input(&host);

    let before = clients.status(id, mark, &host, 0, &mut UnreadInputCache::default());
    clients.input_processed(id, 10);
    let after = clients.status(id, mark, &host, 0, &mut UnreadInputCache::default());

    assert_eq!(
        before,
        ClientStatus::UnreadInput(mark),
        "the mark changed although no input was read"
    );
    assert_eq!(after, ClientStatus::Connected);
}

#[test]
fn mark_of_another_client_is_not_used() {
    let host = HostId(Arc::from("h0"));
    let (mut clients, id, _peer, mark) = client_with_unread_input(&host);
    clients.input_processed(id, 10);
    let other = mark.map(|mark| ReadMark {
        client: ClientId(7),
        ..mark
    });

    let status = clients.status(id, other, &host, 0, &mut UnreadInputCache::default());

    assert!(matches!(status, ClientStatus::UnreadInput(Some(_))));
}

#[test]
fn closed_client_is_waited_for_while_its_messages_are_processed() {
    let host = HostId(Arc::from("h0"));
    let (mut clients, id, peer, mark) = client_with_unread_input(&host);
    clients.input_processed(id, 10);
    drop(peer);
    clients.input_processing_started(id);

    let status = clients.status(id, mark, &host, 0, &mut UnreadInputCache::default());

    assert!(
        matches!(status, ClientStatus::UnreadInput(_)),
        "the client's messages are still being processed"
    );
}

#[test]
fn unknown_client_is_disconnected() {
    let (mut clients, _, _peer) = client();
    let host = HostId(Arc::from("h0"));

    let status = clients.status(
        ClientId(9),
        None,
        &host,
        0,
        &mut UnreadInputCache::default(),
    );

    assert_eq!(status, ClientStatus::Disconnected);
}
