//! Tests of the fault proxies on real sockets.

use super::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

/// Starts an echo server.
fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            std::thread::spawn(move || {
                let mut reader = stream.try_clone().expect("a socket");
                let _ = io::copy(&mut reader, &mut stream);
            });
        }
    });
    address
}

fn parties(list: &[Party]) -> BTreeSet<Party> {
    list.iter().copied().collect()
}

/// Sends bytes and returns the echo; none if it does not come within the limit.
fn echoed(stream: &mut TcpStream, bytes: &[u8], limit: Duration) -> Option<Vec<u8>> {
    stream.write_all(bytes).ok()?;
    stream.set_read_timeout(Some(limit)).expect("an option");
    let mut echo = vec![0; bytes.len()];
    stream.read_exact(&mut echo).ok()?;
    Some(echo)
}

const LONG_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

#[test]
fn each_fault_takes_effect_and_heals() {
    let proxies = FaultProxies::start().expect("proxies");
    let (one, other) = (parties(&[Party::Placer(0)]), parties(&[Party::Host(3)]));
    let address = proxies
        .add_proxy(Party::Placer(0), Party::Host(3), start_echo())
        .expect("a proxy");
    let call = || TcpStream::connect_timeout(&address, SHORT_TIMEOUT);
    // By fault: whether an open connection echoes, and whether a new one comes up.
    for (fault, passes, connects) in [
        (LinkFault::Cut, false, false),
        (LinkFault::CutForward, false, false),
        (LinkFault::CutBackward, false, false),
        (LinkFault::Stall, false, true),
        (LinkFault::BlackHole, true, false),
    ] {
        let mut open = TcpStream::connect(address).expect("the proxy listens");
        assert_eq!(
            echoed(&mut open, b"before", LONG_TIMEOUT).as_deref(),
            Some(&b"before"[..]),
            "{fault:?}"
        );
        assert_eq!(proxies.set_fault(&one, &other, fault).expect("proxies"), 1);
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
                .expect("proxies"),
            1
        );
        if !passes {
            // The withheld bytes arrive.
            open.set_read_timeout(Some(LONG_TIMEOUT))
                .expect("an option");
            let mut echo = [0; 6];
            open.read_exact(&mut echo).expect("it was only delayed");
            assert_eq!(&echo, b"during", "{fault:?}");
        }
        let mut new = TcpStream::connect_timeout(&address, LONG_TIMEOUT).expect("healed");
        assert_eq!(
            echoed(&mut new, b"after", LONG_TIMEOUT).as_deref(),
            Some(&b"after"[..]),
            "{fault:?}"
        );
    }
}

#[test]
fn reset_ends_open_and_new_connections() {
    let proxies = FaultProxies::start().expect("proxies");
    let ends = (parties(&[Party::Clients]), parties(&[Party::Placer(1)]));
    let address = proxies
        .add_proxy(Party::Clients, Party::Placer(1), start_echo())
        .expect("a proxy");
    let mut open = TcpStream::connect(address).expect("the proxy listens");
    assert!(echoed(&mut open, b"before", LONG_TIMEOUT).is_some());
    // The order of the two sets does not matter.
    assert_eq!(
        proxies
            .set_fault(&ends.1, &ends.0, LinkFault::Reset)
            .expect("proxies"),
        1
    );
    open.set_read_timeout(Some(LONG_TIMEOUT))
        .expect("an option");
    assert_eq!(
        open.read(&mut [0; 8]).expect_err("reset").kind(),
        ErrorKind::ConnectionReset
    );
    let mut new = TcpStream::connect(address).expect("the proxy listens");
    new.set_read_timeout(Some(LONG_TIMEOUT)).expect("an option");
    assert_eq!(
        new.read(&mut [0; 8]).expect_err("reset").kind(),
        ErrorKind::ConnectionReset
    );
}

#[test]
fn delayed_links_are_late_and_only_new_connections_follow_a_redirect() {
    let proxies = FaultProxies::start().expect("proxies");
    let ends = (parties(&[Party::Placer(0)]), parties(&[Party::Feed(0)]));
    let address = proxies
        .add_proxy(Party::Placer(0), Party::Feed(0), start_echo())
        .expect("a proxy");
    let mut open = TcpStream::connect(address).expect("the proxy listens");
    assert!(echoed(&mut open, b"before", LONG_TIMEOUT).is_some());
    let delay = Duration::from_millis(60);
    proxies
        .set_fault(&ends.0, &ends.1, LinkFault::Delay(delay))
        .expect("proxies");
    let begun = Instant::now();
    assert!(echoed(&mut open, b"slow", LONG_TIMEOUT).is_some());
    assert!(
        begun.elapsed() >= 2 * delay,
        "both ways: {:?}",
        begun.elapsed()
    );
    proxies
        .set_fault(&ends.0, &ends.1, LinkFault::None)
        .expect("proxies");
    let nobody = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port");
    proxies.redirect(Party::Placer(0), Party::Feed(0), nobody);
    let mut new = TcpStream::connect(address).expect("the proxy listens");
    assert_eq!(
        echoed(&mut new, b"lost", LONG_TIMEOUT),
        None,
        "nothing listens at the new target"
    );
    assert!(echoed(&mut open, b"still", LONG_TIMEOUT).is_some());
    let carried = proxies.traffic();
    assert_eq!((carried.connections, carried.bytes), (1, 2 * (6 + 4 + 5)));
}
