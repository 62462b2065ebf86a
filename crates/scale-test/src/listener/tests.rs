//! A listener on all loopback addresses, which can refuse connections and listen again.

use super::*;
use crate::identity::WorkerId;
use std::net::TcpStream;

fn connect(worker: WorkerId, port: u16) -> io::Result<TcpStream> {
    TcpStream::connect((worker.address(), port))
}

#[test]
fn listener_accepts_at_every_worker_address_and_identifies_the_worker() {
    let listener = LoopbackListener::open().expect("open a listener");
    let accepting =
        std::net::TcpListener::from(listener.socket.try_clone().expect("duplicate the socket"));
    accepting.set_nonblocking(false).expect("set blocking mode");
    for worker in [WorkerId(0), WorkerId(7_299), WorkerId(16_383)] {
        let _connection = connect(worker, listener.port()).expect("a TCP connection");
        let (accepted, peer) = accepting.accept().expect("a TCP connection");
        let address = accepted.local_addr().expect("a valid address").ip();
        assert_eq!(WorkerId::from_address(address, 16_384), Some(worker));
        assert!(is_loopback(address) && is_loopback(peer.ip()));
    }
}

#[test]
fn refusing_listener_keeps_its_port_and_can_listen_again() {
    let listener = LoopbackListener::open().expect("open a listener");
    let _open = connect(WorkerId(1), listener.port()).expect("a TCP connection");
    listener.refuse().expect("refuse connections");
    let refused =
        connect(WorkerId(1), listener.port()).expect_err("the connection must be refused");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, listener.port()));
    assert!(
        bind(&socket().expect("create a socket"), address).is_err(),
        "the refusing listener must keep its port"
    );
    listener.listen().expect("listen again");
    connect(WorkerId(1), listener.port()).expect("a TCP connection");
}

#[test]
fn only_addresses_of_this_machine_are_loopback() {
    let is = |text: &str| is_loopback(text.parse().expect("a valid address"));
    assert!(is("127.0.0.1") && is("127.16.3.4"));
    assert!(!is("10.0.0.1") && !is("0.0.0.0") && !is("::1"));
}
