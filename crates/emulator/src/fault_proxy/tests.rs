//! Tests of the fault proxies on real sockets.

use super::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

/// Starts an echo server and returns its address.
fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("the listener has no address");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            std::thread::spawn(move || {
                let mut reader = stream.try_clone().expect("cannot duplicate the socket");
                let _ = io::copy(&mut reader, &mut stream);
            });
        }
    });
    address
}

fn parties(list: &[Party]) -> BTreeSet<Party> {
    list.iter().copied().collect()
}

/// Sends bytes and returns the echo, or `None` if it does not arrive within the limit.
fn echoed(stream: &mut TcpStream, bytes: &[u8], limit: Duration) -> Option<Vec<u8>> {
    stream.write_all(bytes).ok()?;
    stream
        .set_read_timeout(Some(limit))
        .expect("cannot set a socket option");
    let mut echo = vec![0; bytes.len()];
    stream.read_exact(&mut echo).ok()?;
    Some(echo)
}

const LONG_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

#[test]
fn each_fault_takes_effect_and_heals() {
    let proxies = FaultProxies::start().expect("the proxies' thread has failed");
    let (one, other) = (parties(&[Party::Placer(0)]), parties(&[Party::Host(3)]));
    let address = proxies
        .add_proxy(Party::Placer(0), Party::Host(3), start_echo())
        .expect("cannot add a proxy");
    let call = || TcpStream::connect_timeout(&address, SHORT_TIMEOUT);
    // For each fault: whether an open connection still echoes, and whether a new connection is established.
    for (fault, passes, connects) in [
        (LinkFault::Cut, false, false),
        (LinkFault::CutForward, false, false),
        (LinkFault::CutBackward, false, false),
        (LinkFault::Stall, false, true),
        (LinkFault::BlackHole, true, false),
    ] {
        let mut open = TcpStream::connect(address).expect("cannot connect to the proxy");
        assert_eq!(
            echoed(&mut open, b"before", LONG_TIMEOUT).as_deref(),
            Some(&b"before"[..]),
            "{fault:?}"
        );
        assert_eq!(
            proxies
                .set_fault(&one, &other, fault)
                .expect("the proxies' thread has failed"),
            1
        );
        let echo = echoed(
            &mut open,
            b"during",
            if passes { LONG_TIMEOUT } else { SHORT_TIMEOUT },
        );
        assert_eq!(echo.is_some(), passes, "{fault:?}");
        assert_eq!(call().is_ok(), connects, "{fault:?}");
        assert_eq!(
            proxies
                .set_fault(&one, &other, LinkFault::None)
                .expect("the proxies' thread has failed"),
            1
        );
        if !passes {
            // The withheld bytes arrive once the fault is cleared.
            open.set_read_timeout(Some(LONG_TIMEOUT))
                .expect("cannot set a socket option");
            let mut echo = [0; 6];
            open.read_exact(&mut echo)
                .expect("the withheld bytes did not arrive");
            assert_eq!(&echo, b"during", "{fault:?}");
        }
        let mut new = TcpStream::connect_timeout(&address, LONG_TIMEOUT)
            .expect("cannot connect after the fault was cleared");
        assert_eq!(
            echoed(&mut new, b"after", LONG_TIMEOUT).as_deref(),
            Some(&b"after"[..]),
            "{fault:?}"
        );
    }
}

#[test]
fn reset_ends_open_and_new_connections() {
    let proxies = FaultProxies::start().expect("the proxies' thread has failed");
    let ends = (parties(&[Party::Clients]), parties(&[Party::Placer(1)]));
    let address = proxies
        .add_proxy(Party::Clients, Party::Placer(1), start_echo())
        .expect("cannot add a proxy");
    let mut open = TcpStream::connect(address).expect("cannot connect to the proxy");
    assert!(echoed(&mut open, b"before", LONG_TIMEOUT).is_some());
    // The sets are passed in reverse order, which makes no difference.
    assert_eq!(
        proxies
            .set_fault(&ends.1, &ends.0, LinkFault::Reset)
            .expect("the proxies' thread has failed"),
        1
    );
    open.set_read_timeout(Some(LONG_TIMEOUT))
        .expect("cannot set a socket option");
    assert_eq!(
        open.read(&mut [0; 8])
            .expect_err("the connection was not reset")
            .kind(),
        ErrorKind::ConnectionReset
    );
    let mut new = TcpStream::connect(address).expect("cannot connect to the proxy");
    new.set_read_timeout(Some(LONG_TIMEOUT))
        .expect("cannot set a socket option");
    assert_eq!(
        new.read(&mut [0; 8])
            .expect_err("the connection was not reset")
            .kind(),
        ErrorKind::ConnectionReset
    );
}

#[test]
fn delayed_links_are_late_and_only_new_connections_follow_a_redirect() {
    let proxies = FaultProxies::start().expect("the proxies' thread has failed");
    let ends = (parties(&[Party::Placer(0)]), parties(&[Party::Feed(0)]));
    let address = proxies
        .add_proxy(Party::Placer(0), Party::Feed(0), start_echo())
        .expect("cannot add a proxy");
    let mut open = TcpStream::connect(address).expect("cannot connect to the proxy");
    assert!(echoed(&mut open, b"before", LONG_TIMEOUT).is_some());
    let delay = Duration::from_millis(60);
    proxies
        .set_fault(&ends.0, &ends.1, LinkFault::Delay(delay))
        .expect("the proxies' thread has failed");
    let begun = Instant::now();
    assert!(echoed(&mut open, b"slow", LONG_TIMEOUT).is_some());
    assert!(
        begun.elapsed() >= 2 * delay,
        "not delayed in both directions: {:?}",
        begun.elapsed()
    );
    proxies
        .set_fault(&ends.0, &ends.1, LinkFault::None)
        .expect("the proxies' thread has failed");
    let closed_address = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("no free port");
    proxies.redirect(Party::Placer(0), Party::Feed(0), closed_address);
    let mut new = TcpStream::connect(address).expect("cannot connect to the proxy");
    assert_eq!(
        echoed(&mut new, b"lost", LONG_TIMEOUT),
        None,
        "echo received although nothing listens at the new target"
    );
    assert!(echoed(&mut open, b"still", LONG_TIMEOUT).is_some());
    let traffic = proxies.traffic();
    assert_eq!((traffic.connections, traffic.bytes), (1, 2 * (6 + 4 + 5)));
}
