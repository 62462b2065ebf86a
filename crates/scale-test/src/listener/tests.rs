//! One socket for all loopback addresses, that can vanish and come back.

use super::*;
use crate::identity::WorkerId;
use std::net::TcpStream;

fn call(worker: WorkerId, port: u16) -> io::Result<TcpStream> {
    TcpStream::connect((worker.address(), port))
}

#[test]
fn listener_accepts_at_every_worker_address_and_identifies_the_worker() {
    let listener = LoopbackListener::open().expect("a port");
    let accepting = std::net::TcpListener::from(listener.socket.try_clone().expect("a handle"));
    accepting.set_nonblocking(false).expect("a socket option");
    for worker in [WorkerId(0), WorkerId(7_299), WorkerId(16_383)] {
        let _calling = call(worker, listener.port()).expect("a connection");
        let (accepted, peer) = accepting.accept().expect("a connection");
        let address = accepted.local_addr().expect("an address").ip();
        assert_eq!(WorkerId::from_address(address, 16_384), Some(worker));
        assert!(is_loopback(address) && is_loopback(peer.ip()));
    }
}

#[test]
fn refusing_listener_keeps_its_port_and_can_listen_again() {
    let listener = LoopbackListener::open().expect("a port");
    let _held = call(WorkerId(1), listener.port()).expect("a connection");
    listener.refuse().expect("it vanishes");
    let refused = call(WorkerId(1), listener.port()).expect_err("nobody is there");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, listener.port()));
    assert!(
        bind(&socket().expect("a socket"), address).is_err(),
        "the port is held"
    );
    listener.listen().expect("it is back");
    call(WorkerId(1), listener.port()).expect("a connection");
}

#[test]
fn only_addresses_of_this_machine_are_loopback() {
    let is = |text: &str| is_loopback(text.parse().expect("an address"));
    assert!(is("127.0.0.1") && is("127.16.3.4"));
    assert!(!is("10.0.0.1") && !is("0.0.0.0") && !is("::1"));
}
