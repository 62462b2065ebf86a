//! The admin socket of a placer, as operators and the platform use it.

use crate::{TEST_TIMEOUT, free_address, wait_for};
use simd_json::prelude::*;
use simd_json::{OwnedValue, to_owned_value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// The address of the admin socket of one placer process.
#[derive(Debug, Clone, Copy)]
pub struct AdminSocket(pub SocketAddr);

impl AdminSocket {
    /// Connects as soon as the admin socket listens.
    ///
    /// # Panics
    ///
    /// If the socket does not listen within [`TEST_TIMEOUT`], or its read timeout cannot be set.
    pub fn connect(&self) -> TcpStream {
        let stream = wait_for("the admin socket to listen", || {
            TcpStream::connect(self.0).ok()
        });
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("cannot set a socket option");
        stream
    }

    /// Sends a command and returns the complete reply.
    ///
    /// # Panics
    ///
    /// If the placer does not reply.
    pub fn request(&self, line: &str) -> String {
        let mut stream = self.connect();
        stream
            .write_all(format!("{line}\n").as_bytes())
            .expect("cannot send to the placer");
        let mut reply = String::new();
        stream
            .read_to_string(&mut reply)
            .expect("cannot read the reply");
        reply
    }

    /// Returns whether the command `check` reports the placer as healthy.
    ///
    /// # Panics
    ///
    /// If the reply is neither `ok` nor `fail`.
    pub fn is_healthy(&self) -> bool {
        match self.request("check") {
            reply if reply.starts_with("ok") => true,
            reply if reply.starts_with("fail") => false,
            other => panic!("the reply is neither `ok` nor `fail`: {other:?}"),
        }
    }

    /// Returns the metrics that the command `vars` reports.
    ///
    /// # Panics
    ///
    /// If the placer does not reply, or its reply is not one line of JSON followed by the line `eof`.
    pub fn metrics(&self) -> OwnedValue {
        let mut stream = self.connect();
        stream
            .write_all(b"vars\n")
            .expect("cannot send to the placer");
        let lines: Vec<String> = BufReader::new(stream)
            .lines()
            .map(|line| line.expect("cannot read the metrics"))
            .collect();
        let [json, last] = lines.as_slice() else {
            panic!("the reply does not have two lines: {lines:?}")
        };
        assert_eq!(last, "eof");
        to_owned_value(json.clone().into_bytes().as_mut()).expect("the metrics are not JSON")
    }

    /// Returns the value of a request counter of a class.
    ///
    /// # Panics
    ///
    /// If the placer does not report this counter.
    pub fn request_count(&self, class: &str, counter: &str) -> u64 {
        let metrics = self.metrics();
        let counts = metrics
            .get("requests")
            .and_then(|requests| requests.get(class));
        counts
            .and_then(|counts| counts.get_u64(counter))
            .expect("the metrics do not contain the counter")
    }
}

/// Adds a free admin address to a configuration, and returns it with the socket at that address.
///
/// # Panics
///
/// If the configuration is not an object.
pub fn with_admin_socket(mut config: OwnedValue) -> (OwnedValue, AdminSocket) {
    let address = free_address();
    config
        .insert("admin", address.to_string())
        .expect("an object");
    (config, AdminSocket(address))
}
