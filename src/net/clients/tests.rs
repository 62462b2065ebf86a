//! How long an offer waits for what its client says.

use super::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;

const CHUNK: usize = 16 * 1024;

/// A client, and its end of the connection.
fn client() -> (Clients, ClientId, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    let mut clients = Clients::new(256, 0);
    let id = clients.opened(0, Rc::new(Conn::new(Async::new(stream).expect("a socket"))));
    (clients, id, peer)
}

#[test]
fn a_client_that_always_has_more_to_say_is_waited_for_no_further_than_a_bound() {
    let (mut clients, id, mut peer) = client();
    let host = HostId(Arc::from("h0"));
    peer.write_all(&[0; 8 * CHUNK]).expect("it has room");
    let (mut mark, mut reads) = (None, 0);
    // As much as before waits each time that some was read.
    while let ClientPresence::UnreadInput(next) = clients.presence(id, mark, &host) {
        mark = next;
        assert_eq!(clients.read(id, CHUNK).len(), 1, "the host where it waits");
        reads += 1;
        assert!(reads <= MOST_AHEAD as usize / CHUNK, "{reads} reads");
    }
    assert_eq!(clients.presence(id, mark, &host), ClientPresence::Present);
    assert_eq!(reads, MOST_AHEAD as usize / CHUNK);
}

#[test]
fn what_came_after_the_first_look_is_not_waited_for_and_a_mark_is_one_clients_own() {
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
    clients.read(id, 10);
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
    clients.reads(id);
    assert!(
        matches!(
            clients.presence(id, mark, &host),
            ClientPresence::UnreadInput(_)
        ),
        "its words are being gone through"
    );
    assert_eq!(
        clients.presence(ClientId(9), None, &host),
        ClientPresence::Gone
    );
}
