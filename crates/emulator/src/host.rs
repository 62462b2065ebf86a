//! A scripted host and its connections.

use crate::{TEST_TIMEOUT, accept, listen};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A connection that is not up by then will not come up.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(100);

/// A listener under the name of a host.
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: &'static str,
    listener: TcpListener,
}

impl Host {
    /// Returns a host that listens at a free port.
    pub fn new(name: &str, zone: &'static str) -> Host {
        Host {
            name: name.to_string(),
            zone,
            listener: listen(),
        }
    }

    /// The same with a small receive buffer, so that a connection that is not read soon blocks.
    ///
    /// # Panics
    ///
    /// If the socket cannot be set up.
    pub fn with_small_receive_buffer(name: &str, zone: &'static str) -> Host {
        let host = Host::new(name, zone);
        rustix::net::sockopt::set_socket_recv_buffer_size(&host.listener, 4_096)
            .expect("a socket option");
        host
    }

    /// Returns its listener, for a host that runs by itself.
    pub(crate) fn listener(&self) -> TcpListener {
        self.listener.try_clone().expect("a socket")
    }

    /// Returns its entry in the endpoint list.
    ///
    /// # Panics
    ///
    /// If the listener has no address.
    pub fn entry(&self, state: &str, born_ms: u64) -> OwnedValue {
        let address = self.listener.local_addr().expect("an address").to_string();
        json!({
            "host": self.name.as_str(), "dial": address, "site": self.zone, "class": "plain", "block": 1,
            "health": state, "share": 1, "born_ms": born_ms, "unasked": [32, 64]
        })
    }

    /// Waits for the next connection, which must come.
    ///
    /// # Panics
    ///
    /// If no connection comes in time.
    pub fn accept(&self) -> HostConnection {
        let stream = accept(&self.listener, TEST_TIMEOUT).expect("a connection");
        HostConnection {
            reader: BufReader::new(stream),
        }
    }

    /// Waits for the next connection and returns its bare socket; none if there is none within the limit.
    pub fn accept_stream_within(&self, limit: Duration) -> Option<TcpStream> {
        accept(&self.listener, limit)
    }

    /// Waits for the next connection; none if there is none within the limit.
    pub fn accept_within(&self, limit: Duration) -> Option<HostConnection> {
        accept(&self.listener, limit).map(|stream| HostConnection {
            reader: BufReader::new(stream),
        })
    }
}

/// Connections that fill an accept queue, and so keep its listener out of reach.
pub struct Unreachable(Vec<TcpStream>);

impl Unreachable {
    /// Fills the accept queue of a listener.
    pub(crate) fn of(listener: &TcpListener) -> Unreachable {
        rustix::net::listen(listener, 0).expect("a listener");
        let address = listener.local_addr().expect("an address");
        // One more than the length of the queue, by the kernel's count.
        Unreachable(
            (0..2)
                .filter_map(|_| TcpStream::connect_timeout(&address, UNREACHABLE_TIMEOUT).ok())
                .collect(),
        )
    }
}

impl Host {
    /// Makes it unreachable: new connections neither come up nor are refused.
    pub fn make_unreachable(&self) -> Unreachable {
        Unreachable::of(&self.listener)
    }

    /// Makes it reachable again.
    ///
    /// # Panics
    ///
    /// If the port cannot listen again.
    pub fn make_reachable(&self, unreachable: Unreachable) {
        rustix::net::listen(&self.listener, 128).expect("a listener");
        unreachable
            .0
            .iter()
            .for_each(|_| drop(accept(&self.listener, TEST_TIMEOUT)));
    }
}

/// A connection of a placer to a host.
pub struct HostConnection {
    reader: BufReader<TcpStream>,
}

impl HostConnection {
    /// Reads the next message; none if there is none within the limit. Checks of the connection are answered, as by any
    /// host, and not returned.
    ///
    /// # Panics
    ///
    /// If the socket cannot be set up, or what comes is no message.
    pub fn read_within(&mut self, limit: Duration) -> Option<OwnedValue> {
        let end = Instant::now() + limit;
        loop {
            // A limit of zero would wait for ever.
            let rest = end.saturating_duration_since(Instant::now());
            let message = self.read_any_within(rest.max(Duration::from_millis(1)))?;
            if message.get_str("t") != Some("hb") {
                return Some(message);
            }
            let id = message.get_str("ref").unwrap_or_default();
            let answer = json!({ "t": "hb_ok", "ref": id, "f": {}, "c": 1 });
            // The placer may have closed the connection meanwhile.
            let _ = writeln!(self.reader.get_ref(), "{}", answer.encode());
        }
    }

    /// Waits for a check of the connection, and leaves it unanswered.
    ///
    /// # Panics
    ///
    /// If another message comes, or none in time.
    pub fn ignore_check(&mut self) {
        let message = self.read_any_within(TEST_TIMEOUT).expect("a check");
        assert_eq!(message.get_str("t"), Some("hb"), "{message}");
    }

    fn read_any_within(&mut self, limit: Duration) -> Option<OwnedValue> {
        self.reader
            .get_ref()
            .set_read_timeout(Some(limit))
            .expect("a socket option");
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(n) if n > 0 => Some(simd_json::to_owned_value(&mut line).expect("JSON")),
            _ => None,
        }
    }

    /// Waits for the placer to close the connection, whatever it still sends. Returns whether it did.
    ///
    /// # Panics
    ///
    /// If the socket cannot be set up.
    pub fn wait_closed(&mut self) -> bool {
        self.reader
            .get_ref()
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a socket option");
        let mut line = Vec::new();
        loop {
            line.clear();
            match self.reader.read_until(b'\n', &mut line) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => return e.kind() == ErrorKind::ConnectionReset,
            }
        }
    }

    /// Closes the connection now. If it were only dropped, a process that another test is just forking could keep
    /// a copy open until it executes its program.
    ///
    /// # Panics
    ///
    /// If the connection has ended already.
    pub fn close(self) {
        self.reader
            .get_ref()
            .shutdown(Shutdown::Write)
            .expect("an open connection");
    }

    /// Reads the next message, which must come and be of this type.
    ///
    /// # Panics
    ///
    /// If no message of this kind comes in time.
    pub fn expect(&mut self, kind: &str) -> OwnedValue {
        let message = self
            .read_within(TEST_TIMEOUT)
            .unwrap_or_else(|| panic!("no {kind} comes"));
        assert_eq!(message.get_str("t"), Some(kind), "{message}");
        message
    }

    /// Reads the next message, which must be an offer, and returns its id.
    ///
    /// # Panics
    ///
    /// If no attempt comes in time.
    pub fn expect_offer(&mut self) -> String {
        self.expect("new")
            .get_str("ref")
            .expect("an id")
            .to_string()
    }

    /// Sends a message.
    pub fn send(&mut self, line: &OwnedValue) {
        self.send_bytes(format!("{}\n", line.encode()).as_bytes());
    }

    /// Sends bytes as they are.
    ///
    /// # Panics
    ///
    /// If the placer has closed the connection.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.reader
            .get_ref()
            .write_all(bytes)
            .expect("the placer reads");
    }

    /// Reports that the task is running.
    pub fn report_running(&mut self, id: &str) {
        self.send(&json!({ "t": "up", "ref": id, "f": {}, "d": format!("stands {id}\r\n") }));
    }

    /// Rejects an offer or reports the end of a task.
    pub fn report_ended(&mut self, id: &str, cause: u8, note: &str) {
        self.send(&json!({ "t": "down", "ref": id, "f": { "note": note }, "c": cause }));
    }
}
