//! A scripted service discovery feed.

use crate::{Host, TEST_TIMEOUT, Unreachable, accept, listen};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A listener, and the subscription once there is one.
pub struct Feed {
    listener: TcpListener,
    subscription: Option<TcpStream>,
}

impl Feed {
    /// Returns a feed that listens at a free port.
    pub fn new() -> Feed {
        Feed {
            listener: listen(),
            subscription: None,
        }
    }

    /// Returns a feed that listens at an address.
    ///
    /// # Panics
    ///
    /// If the address is in use.
    pub fn bind(address: SocketAddr) -> Feed {
        Feed {
            listener: TcpListener::bind(address).expect("a free port"),
            subscription: None,
        }
    }

    /// Returns where it listens.
    ///
    /// # Panics
    ///
    /// If the listener has no address.
    pub fn address(&self) -> String {
        self.listener.local_addr().expect("an address").to_string()
    }

    pub(crate) fn into_listener(self) -> TcpListener {
        self.listener
    }

    /// Waits for a subscription and returns the number of its first event.
    ///
    /// # Panics
    ///
    /// If no subscription comes in time.
    pub fn accept_subscription(&mut self) -> u64 {
        let subscription = accept(&self.listener, TEST_TIMEOUT).expect("a subscription");
        let mut line = String::new();
        BufReader::new(&subscription)
            .read_line(&mut line)
            .expect("a line");
        self.subscription = Some(subscription);
        line.strip_prefix("SUB ")
            .and_then(|n| n.trim_end().parse().ok())
            .expect("SUB N")
    }

    /// Makes it unreachable: new connections neither come up nor are refused.
    pub fn make_unreachable(&self) -> Unreachable {
        Unreachable::of(&self.listener)
    }

    /// Takes the subscription, which ends when dropped.
    pub fn take_subscription(&mut self) -> Option<TcpStream> {
        self.subscription.take()
    }

    /// Sends a line.
    ///
    /// # Panics
    ///
    /// If the placer does not read.
    pub fn send(&mut self, line: &OwnedValue) {
        let text = format!("{}\n", line.encode());
        self.subscription
            .as_mut()
            .expect("a subscription")
            .write_all(text.as_bytes())
            .expect("the placer reads");
    }

    /// Sends event `n`: one host is in this state.
    pub fn send_host_state(&mut self, n: u64, host: &Host, state: &str) {
        self.send(&endpoint_event(
            n,
            UpdateKind::Delta,
            vec![host.entry(state, 0)],
        ));
    }
}

/// Whether an event replaces the endpoint list or changes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// The complete list.
    Complete,
    /// Only the endpoints that changed.
    Delta,
}

/// Returns event `n` of a feed with these endpoints.
pub fn endpoint_event(n: u64, kind: UpdateKind, hosts: Vec<OwnedValue>) -> OwnedValue {
    json!({ "n": n, "members": { "seq": n, "whole": kind == UpdateKind::Complete, "hosts": hosts } })
}

impl Default for Feed {
    fn default() -> Feed {
        Feed::new()
    }
}
