//! The control feed.

use crate::{Host, LIMIT, OutOfReach, accept, listen};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The control feed: a listener, and the subscription once there is one.
pub struct Feed {
    listener: TcpListener,
    stream: Option<TcpStream>,
}

impl Feed {
    /// One that listens.
    pub fn new() -> Feed {
        Feed {
            listener: listen(),
            stream: None,
        }
    }

    /// One that listens there.
    pub fn at(address: SocketAddr) -> Feed {
        Feed {
            listener: TcpListener::bind(address).expect("a free port"),
            stream: None,
        }
    }

    /// Where it listens.
    pub fn address(&self) -> String {
        self.listener.local_addr().expect("an address").to_string()
    }

    pub(crate) fn into_listener(self) -> TcpListener {
        self.listener
    }

    /// Waits for a subscription and answers its number.
    pub fn subscribed(&mut self) -> u64 {
        let stream = accept(&self.listener, LIMIT).expect("a subscription");
        let mut line = String::new();
        BufReader::new(&stream)
            .read_line(&mut line)
            .expect("a line");
        self.stream = Some(stream);
        line.strip_prefix("SUB ")
            .and_then(|n| n.trim_end().parse().ok())
            .expect("SUB N")
    }

    /// From now on no connection to it comes up, and none is refused.
    pub fn vanish(&self) -> OutOfReach {
        OutOfReach::of(&self.listener)
    }

    /// Breaks the subscription off when dropped.
    pub fn stream_taken(&mut self) -> Option<TcpStream> {
        self.stream.take()
    }

    /// Says a line.
    pub fn tell(&mut self, line: &OwnedValue) {
        let text = format!("{}\n", line.encode());
        self.stream
            .as_mut()
            .expect("a subscription")
            .write_all(text.as_bytes())
            .expect("it reads");
    }

    /// Event `n`: one host is in this state.
    pub fn event(&mut self, n: u64, host: &Host, state: &str) {
        self.tell(&event(n, false, vec![host.entry(state, 0)]));
    }
}

/// A numbered event of the feed.
pub fn event(n: u64, whole: bool, hosts: Vec<OwnedValue>) -> OwnedValue {
    json!({ "n": n, "members": { "seq": n, "whole": whole, "hosts": hosts } })
}

impl Default for Feed {
    fn default() -> Feed {
        Feed::new()
    }
}
