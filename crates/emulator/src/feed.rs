//! A scripted service discovery feed, driven step by step by a test.

use crate::{Host, TEST_TIMEOUT, Unreachable, accept, listen};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A feed with its listener, and the latest accepted subscription.
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

    /// Returns a feed that listens at the given address.
    ///
    /// # Panics
    ///
    /// If the feed cannot listen at the address.
    pub fn bind(address: SocketAddr) -> Feed {
        Feed {
            listener: TcpListener::bind(address).expect("cannot listen at the address"),
            subscription: None,
        }
    }

    /// Returns the address at which the feed listens.
    ///
    /// # Panics
    ///
    /// If the listener has no address.
    pub fn address(&self) -> String {
        self.listener
            .local_addr()
            .expect("the listener has no address")
            .to_string()
    }

    pub(crate) fn into_listener(self) -> TcpListener {
        self.listener
    }

    /// Waits for a subscription, and returns the number of the first event that the placer requests.
    ///
    /// # Panics
    ///
    /// If no valid subscription arrives within [`TEST_TIMEOUT`].
    pub fn accept_subscription(&mut self) -> u64 {
        let subscription =
            accept(&self.listener, TEST_TIMEOUT).expect("no subscription arrived in time");
        let mut line = String::new();
        BufReader::new(&subscription)
            .read_line(&mut line)
            .expect("cannot read the subscription");
        self.subscription = Some(subscription);
        line.strip_prefix("SUB ")
            .and_then(|n| n.trim_end().parse().ok())
            .expect("the subscription is not `SUB N`")
    }

    /// Makes the feed unreachable: new connections are neither established nor refused.
    pub fn make_unreachable(&self) -> Unreachable {
        Unreachable::of(&self.listener)
    }

    /// Makes the feed reachable again, and closes the connections that filled its accept queue.
    ///
    /// # Panics
    ///
    /// If the length of the accept queue cannot be restored.
    pub fn make_reachable(&self, unreachable: Unreachable) {
        unreachable.end(&self.listener);
    }

    /// Returns the connection of the subscription, which ends when the returned value is dropped.
    pub fn take_subscription(&mut self) -> Option<TcpStream> {
        self.subscription.take()
    }

    /// Sends a message to the subscribed placer as one line of JSON.
    ///
    /// # Panics
    ///
    /// If there is no subscription, or its connection has failed.
    pub fn send(&mut self, line: &OwnedValue) {
        let text = format!("{}\n", line.encode());
        self.subscription
            .as_mut()
            .expect("no placer has subscribed")
            .write_all(text.as_bytes())
            .expect("cannot send to the placer");
    }

    /// Sends event `n`, which reports the state of one host.
    pub fn send_host_state(&mut self, n: u64, host: &Host, state: &str) {
        self.send(&endpoint_event(
            n,
            UpdateKind::Delta,
            vec![host.entry(state, 0)],
        ));
    }
}

/// Whether an event replaces the endpoint list or changes some of its entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// The event contains the complete list.
    Complete,
    /// The event contains only the endpoints that changed.
    Delta,
}

/// Returns event `n` of a feed, with these endpoint entries.
pub fn endpoint_event(n: u64, kind: UpdateKind, hosts: Vec<OwnedValue>) -> OwnedValue {
    json!({ "n": n, "members": { "seq": n, "whole": kind == UpdateKind::Complete, "hosts": hosts } })
}

impl Default for Feed {
    fn default() -> Feed {
        Feed::new()
    }
}
