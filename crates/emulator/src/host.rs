//! A scripted host and its connections, driven step by step by a test.

use crate::{TEST_TIMEOUT, accept, listen};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long a connection that fills an accept queue may take to be established. A connection that takes longer has
/// found the queue full and will not be established.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(100);

/// A named host with a listener for placers.
pub struct Host {
    /// The name of the host in the endpoint list.
    pub name: String,
    /// The zone of the host.
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

    /// Returns a host whose connections have a small receive buffer, so that writes of the placer soon block if the
    /// host does not read.
    ///
    /// # Panics
    ///
    /// If the size of the receive buffer cannot be set.
    pub fn with_small_receive_buffer(name: &str, zone: &'static str) -> Host {
        let host = Host::new(name, zone);
        rustix::net::sockopt::set_socket_recv_buffer_size(&host.listener, 4_096)
            .expect("cannot set a socket option");
        host
    }

    /// Returns a copy of the listener, for a host that runs by itself.
    pub(crate) fn listener(&self) -> TcpListener {
        self.listener
            .try_clone()
            .expect("cannot duplicate the listener")
    }

    /// Returns the entry of the host in the endpoint list.
    ///
    /// # Panics
    ///
    /// If the listener has no address.
    pub fn entry(&self, state: &str, born_ms: u64) -> OwnedValue {
        let address = self
            .listener
            .local_addr()
            .expect("the listener has no address")
            .to_string();
        json!({
            "host": self.name.as_str(), "dial": address, "site": self.zone, "class": "plain", "block": 1,
            "health": state, "share": 1, "born_ms": born_ms, "unasked": [32, 64]
        })
    }

    /// Waits for the next connection of a placer.
    ///
    /// # Panics
    ///
    /// If no connection arrives within [`TEST_TIMEOUT`].
    pub fn accept(&self) -> HostConnection {
        let stream = accept(&self.listener, TEST_TIMEOUT).expect("no connection arrived in time");
        HostConnection {
            reader: BufReader::new(stream),
        }
    }

    /// Waits for the next connection and returns its socket, or `None` if no connection arrives within `limit`.
    pub fn accept_stream_within(&self, limit: Duration) -> Option<TcpStream> {
        accept(&self.listener, limit)
    }

    /// Waits for the next connection, and returns `None` if no connection arrives within `limit`.
    pub fn accept_within(&self, limit: Duration) -> Option<HostConnection> {
        accept(&self.listener, limit).map(|stream| HostConnection {
            reader: BufReader::new(stream),
        })
    }
}

/// Connections that keep the accept queue of a listener full, so that further connections cannot be established.
pub struct Unreachable(Vec<TcpStream>);

impl Unreachable {
    /// Shrinks the accept queue of a listener to length 0 and fills it.
    pub(crate) fn of(listener: &TcpListener) -> Unreachable {
        rustix::net::listen(listener, 0).expect("cannot change the length of the accept queue");
        let address = listener.local_addr().expect("the listener has no address");
        // The kernel admits one connection more than the length of the queue, so two fill it.
        Unreachable(
            (0..2)
                .filter_map(|_| TcpStream::connect_timeout(&address, UNREACHABLE_TIMEOUT).ok())
                .collect(),
        )
    }

    /// Restores the accept queue of the listener, and closes the connections that filled it.
    pub(crate) fn end(self, listener: &TcpListener) {
        rustix::net::listen(listener, 128).expect("cannot change the length of the accept queue");
        self.0
            .iter()
            .for_each(|_| drop(accept(listener, TEST_TIMEOUT)));
    }
}

impl Host {
    /// Makes the host unreachable: new connections are neither established nor refused.
    pub fn make_unreachable(&self) -> Unreachable {
        Unreachable::of(&self.listener)
    }

    /// Makes the host reachable again, and closes the connections that filled its accept queue.
    ///
    /// # Panics
    ///
    /// If the length of the accept queue cannot be restored.
    pub fn make_reachable(&self, unreachable: Unreachable) {
        unreachable.end(&self.listener);
    }
}

/// A connection of a placer to a scripted host.
pub struct HostConnection {
    reader: BufReader<TcpStream>,
}

impl HostConnection {
    /// Reads the next message, and returns `None` if no message arrives within `limit`. Connection checks of the placer
    /// (`hb`) are answered, as every host does, and not returned.
    ///
    /// # Panics
    ///
    /// If the read timeout cannot be set, or the received line is not JSON.
    pub fn read_within(&mut self, limit: Duration) -> Option<OwnedValue> {
        let end = Instant::now() + limit;
        loop {
            // A timeout of zero is invalid, since the system would take it as no timeout at all.
            let remaining = end.saturating_duration_since(Instant::now());
            let message = self.read_any_within(remaining.max(Duration::from_millis(1)))?;
            if message.get_str("t") != Some("hb") {
                return Some(message);
            }
            let id = message.get_str("ref").unwrap_or_default();
            let answer = json!({ "t": "hb_ok", "ref": id, "f": {}, "c": 1 });
            // Ignores errors: the placer may have closed the connection in the meantime.
            let _ = writeln!(self.reader.get_ref(), "{}", answer.encode());
        }
    }

    /// Waits for a connection check of the placer, and does not answer it.
    ///
    /// # Panics
    ///
    /// If another message arrives, or no message arrives within [`TEST_TIMEOUT`].
    pub fn ignore_check(&mut self) {
        let message = self
            .read_any_within(TEST_TIMEOUT)
            .expect("no connection check arrived in time");
        assert_eq!(message.get_str("t"), Some("hb"), "{message}");
    }

    fn read_any_within(&mut self, limit: Duration) -> Option<OwnedValue> {
        self.reader
            .get_ref()
            .set_read_timeout(Some(limit))
            .expect("cannot set a socket option");
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(n) if n > 0 => {
                Some(simd_json::to_owned_value(&mut line).expect("the received line is not JSON"))
            }
            _ => None,
        }
    }

    /// Discards all messages until the placer closes the connection. Returns false if reading fails or times out first.
    ///
    /// # Panics
    ///
    /// If the read timeout cannot be set.
    pub fn wait_closed(&mut self) -> bool {
        self.reader
            .get_ref()
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("cannot set a socket option");
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

    /// Closes the connection at once by shutting down its write side. Dropping the socket would not be enough: a
    /// process that another test is just forking may hold a copy of its descriptor until that process executes its
    /// program.
    ///
    /// # Panics
    ///
    /// If the connection has already ended.
    pub fn close(self) {
        self.reader
            .get_ref()
            .shutdown(Shutdown::Write)
            .expect("the connection has already ended");
    }

    /// Reads the next message, and checks that it is of this type.
    ///
    /// # Panics
    ///
    /// If another message arrives, or no message arrives within [`TEST_TIMEOUT`].
    pub fn expect(&mut self, kind: &str) -> OwnedValue {
        let message = self
            .read_within(TEST_TIMEOUT)
            .unwrap_or_else(|| panic!("no `{kind}` message arrived in time"));
        assert_eq!(message.get_str("t"), Some(kind), "{message}");
        message
    }

    /// Reads the next message, checks that it is an offer, and returns its id.
    ///
    /// # Panics
    ///
    /// If another message arrives, or no message arrives within [`TEST_TIMEOUT`].
    pub fn expect_offer(&mut self) -> String {
        self.expect("new")
            .get_str("ref")
            .expect("the offer has no id")
            .to_string()
    }

    /// Sends a message as one line of JSON.
    pub fn send(&mut self, line: &OwnedValue) {
        self.send_bytes(format!("{}\n", line.encode()).as_bytes());
    }

    /// Sends bytes as they are.
    ///
    /// # Panics
    ///
    /// If the connection has failed.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.reader
            .get_ref()
            .write_all(bytes)
            .expect("cannot send to the placer");
    }

    /// Reports that the task of an offer is running.
    pub fn report_running(&mut self, id: &str) {
        self.send(&json!({ "t": "up", "ref": id, "f": {}, "d": format!("stands {id}\r\n") }));
    }

    /// Rejects an offer, or reports the end of a task, depending on the cause.
    pub fn report_ended(&mut self, id: &str, cause: u8, note: &str) {
        self.send(&json!({ "t": "down", "ref": id, "f": { "note": note }, "c": cause }));
    }
}
