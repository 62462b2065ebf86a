//! Tests of `clients/presence.rs`: how long an attempt waits for unread input of its client.

use super::presence::MAX_READ_AHEAD_BYTES;
use super::*;
use async_io::Async;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

const CHUNK_BYTES: usize = 16 * 1024;

/// A client, and its end of the connection.
fn client() -> (Clients, ClientId, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    let mut clients = Clients::new(256, 0);
    let id = clients.insert(
        0,
        Rc::new(Connection::new(Async::new(stream).expect("a socket"))),
    );
    (clients, id, peer)
}

#[test]
fn client_that_never_pauses_is_waited_for_up_to_a_limit() {
    let (mut clients, id, mut peer) = client();
    let host = HostId(Arc::from("h0"));
    peer.write_all(&[0; 8 * CHUNK_BYTES]).expect("it has room");
    let (mut mark, mut reads) = (None, 0);
    // As much as before waits each time that some was read.
    while let ClientPresence::UnreadInput(next) = clients.presence(id, mark, &host) {
        mark = next;
        assert_eq!(
            clients.input_processed(id, CHUNK_BYTES).len(),
            1,
            "the host where it waits"
        );
        reads += 1;
        assert!(
            reads <= MAX_READ_AHEAD_BYTES as usize / CHUNK_BYTES,
            "{reads} reads"
        );
    }
    assert_eq!(clients.presence(id, mark, &host), ClientPresence::Present);
    assert_eq!(reads, MAX_READ_AHEAD_BYTES as usize / CHUNK_BYTES);
}

#[test]
fn later_input_is_not_waited_for_and_a_mark_belongs_to_one_client() {
    let (mut clients, id, mut peer) = client();
    let host = HostId(Arc::from("h0"));
    peer.write_all(&[0; 10]).expect("it has room");
    let ClientPresence::UnreadInput(mark @ Some(_)) = clients.presence(id, None, &host) else {
        panic!("ten bytes wait")
    };
    assert_eq!(
        clients.presence(id, mark, &host),
        ClientPresence::UnreadInput(mark),
        "nothing was read"
    );
    clients.input_processed(id, 10);
    assert_eq!(clients.presence(id, mark, &host), ClientPresence::Present);
    let other = mark.map(|mark| ReadMark {
        client: ClientId(7),
        ..mark
    });
    assert!(matches!(
        clients.presence(id, other, &host),
        ClientPresence::UnreadInput(Some(_))
    ));
    drop(peer);
    clients.input_processing_started(id);
    assert!(
        matches!(
            clients.presence(id, mark, &host),
            ClientPresence::UnreadInput(_)
        ),
        "its messages are being processed"
    );
    assert_eq!(
        clients.presence(ClientId(9), None, &host),
        ClientPresence::Gone
    );
}
