//! Hosts.

use crate::{LIMIT, accept, listen};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

/// A connection that has not come up by then does not.
const VANISHED: Duration = Duration::from_millis(100);

/// A host and its connections.
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: &'static str,
    listener: TcpListener,
}

impl Host {
    /// A host that listens.
    pub fn new(name: &str, zone: &'static str) -> Host {
        Host {
            name: name.to_string(),
            zone,
            listener: listen(),
        }
    }

    /// The same, whose system takes little that it has not read.
    pub fn narrow(name: &str, zone: &'static str) -> Host {
        let host = Host::new(name, zone);
        rustix::net::sockopt::set_socket_recv_buffer_size(&host.listener, 4_096)
            .expect("a socket option");
        host
    }

    /// Its listener, for a host that runs by itself.
    pub(crate) fn listener(&self) -> TcpListener {
        self.listener.try_clone().expect("a socket")
    }

    /// Its entry in the list.
    pub fn entry(&self, state: &str, born_ms: u64) -> OwnedValue {
        let address = self.listener.local_addr().expect("an address").to_string();
        json!({
            "host": self.name.as_str(), "dial": address, "site": self.zone, "class": "plain", "block": 1,
            "health": state, "share": 1, "born_ms": born_ms, "unasked": [32, 64]
        })
    }

    /// The next connection to it.
    pub fn accept(&self) -> HostConn {
        let stream = accept(&self.listener, LIMIT).expect("a connection");
        HostConn {
            reader: BufReader::new(stream),
        }
    }

    /// The next connection to it, or none within the limit.
    pub fn accept_within(&self, limit: Duration) -> Option<HostConn> {
        accept(&self.listener, limit).map(|stream| HostConn {
            reader: BufReader::new(stream),
        })
    }
}

/// What keeps a host out of reach: connections that fill its accept queue.
pub struct OutOfReach(Vec<TcpStream>);

impl OutOfReach {
    /// What listens here is out of reach.
    pub(crate) fn of(listener: &TcpListener) -> OutOfReach {
        rustix::net::listen(listener, 0).expect("a listener");
        let address = listener.local_addr().expect("an address");
        // One more than the queue takes, by the system's own count.
        OutOfReach(
            (0..2)
                .filter_map(|_| TcpStream::connect_timeout(&address, VANISHED).ok())
                .collect(),
        )
    }
}

impl Host {
    /// From now on no connection to it comes up, and none is refused.
    pub fn vanish(&self) -> OutOfReach {
        OutOfReach::of(&self.listener)
    }

    /// It is there again.
    pub fn come_back(&self, held: OutOfReach) {
        rustix::net::listen(&self.listener, 128).expect("a listener");
        held.0
            .iter()
            .for_each(|_| drop(accept(&self.listener, LIMIT)));
    }
}

/// One connection at a host.
pub struct HostConn {
    reader: BufReader<TcpStream>,
}

impl HostConn {
    /// The next message, or none within the limit.
    pub fn read_within(&mut self, limit: Duration) -> Option<OwnedValue> {
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

    /// Waits for the program to end the connection, whatever it still says.
    pub fn ended(&mut self) -> bool {
        self.reader
            .get_ref()
            .set_read_timeout(Some(LIMIT))
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

    /// Closes the connection now. Where it is only dropped, a process that another test just starts may hold a
    /// copy of it, until it runs its program.
    pub fn leave(self) {
        self.reader
            .get_ref()
            .shutdown(Shutdown::Write)
            .expect("it is open");
    }

    /// The next message of a type, which must come.
    pub fn expect(&mut self, kind: &str) -> OwnedValue {
        let message = self
            .read_within(LIMIT)
            .unwrap_or_else(|| panic!("no {kind} comes"));
        assert_eq!(message.get_str("t"), Some(kind), "{message}");
        message
    }

    /// The id of the next offer.
    pub fn offer(&mut self) -> String {
        self.expect("new")
            .get_str("ref")
            .expect("an id")
            .to_string()
    }

    /// Says a message.
    pub fn say(&mut self, line: &OwnedValue) {
        self.raw(format!("{}\n", line.encode()).as_bytes());
    }

    /// Sends bytes as they are.
    pub fn raw(&mut self, bytes: &[u8]) {
        self.reader.get_ref().write_all(bytes).expect("it reads");
    }

    /// Answers that the task stands.
    pub fn up(&mut self, id: &str) {
        self.say(&json!({ "t": "up", "ref": id, "f": {}, "d": format!("stands {id}\r\n") }));
    }

    /// Refuses or releases a task.
    pub fn down(&mut self, id: &str, cause: u8, note: &str) {
        self.say(&json!({ "t": "down", "ref": id, "f": { "note": note }, "c": cause }));
    }
}
