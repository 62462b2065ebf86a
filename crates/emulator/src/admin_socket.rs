//! The admin socket of a placer, as operators and the platform use it.

use crate::{TEST_TIMEOUT, wait_for};
use simd_json::prelude::*;
use simd_json::{OwnedValue, to_owned_value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// The address of the admin socket of one process.
#[derive(Debug, Clone, Copy)]
pub struct AdminSocket(pub SocketAddr);

impl AdminSocket {
    /// Connects as soon as it listens.
    ///
    /// # Panics
    ///
    /// If the socket cannot be set up.
    pub fn connect(&self) -> TcpStream {
        let stream = wait_for("the admin socket listens", || {
            TcpStream::connect(self.0).ok()
        });
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a socket option");
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
            .expect("the placer reads");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).expect("a reply");
        reply
    }

    /// Returns the result of the health check `check`.
    ///
    /// # Panics
    ///
    /// If the reply is neither `ok` nor `fail`.
    pub fn is_healthy(&self) -> bool {
        match self.request("check") {
            reply if reply.starts_with("ok") => true,
            reply if reply.starts_with("fail") => false,
            other => panic!("neither ok nor fail: {other:?}"),
        }
    }

    /// Returns the metrics that `vars` reports.
    ///
    /// # Panics
    ///
    /// If the placer does not reply, or not with one line of JSON.
    pub fn metrics(&self) -> OwnedValue {
        let mut stream = self.connect();
        stream.write_all(b"vars\n").expect("the placer reads");
        let lines: Vec<String> = BufReader::new(stream)
            .lines()
            .map(|line| line.expect("text"))
            .collect();
        let [json, last] = lines.as_slice() else {
            panic!("not two lines: {lines:?}")
        };
        assert_eq!(last, "eof");
        to_owned_value(json.clone().into_bytes().as_mut()).expect("JSON")
    }

    /// Returns a request counter of a class.
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
            .expect("a count")
    }
}
