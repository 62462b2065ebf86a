//! Operators and the platform, who call a placer where it takes calls.

use crate::{LIMIT, until};
use simd_json::prelude::*;
use simd_json::{OwnedValue, to_owned_value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Where one process of a placer takes calls.
#[derive(Debug, Clone, Copy)]
pub struct Calls(pub SocketAddr);

impl Calls {
    /// A connection, made as soon as it listens.
    pub fn connect(&self) -> TcpStream {
        let stream = until("it takes calls", || TcpStream::connect(self.0).ok());
        stream
            .set_read_timeout(Some(LIMIT))
            .expect("a socket option");
        stream
    }

    /// The whole reply to a line.
    pub fn call(&self, line: &str) -> String {
        let mut stream = self.connect();
        stream
            .write_all(format!("{line}\n").as_bytes())
            .expect("it reads");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).expect("a reply");
        reply
    }

    /// Whether it says yes.
    pub fn check(&self) -> bool {
        match self.call("check") {
            yes if yes.starts_with("ok") => true,
            no if no.starts_with("fail") => false,
            other => panic!("neither yes nor no: {other:?}"),
        }
    }

    /// The figures.
    pub fn figures(&self) -> OwnedValue {
        let mut stream = self.connect();
        stream.write_all(b"vars\n").expect("it reads");
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

    /// A count of a class.
    pub fn count(&self, class: &str, what: &str) -> u64 {
        let figures = self.figures();
        let counts = figures
            .get("requests")
            .and_then(|requests| requests.get(class));
        counts
            .and_then(|counts| counts.get_u64(what))
            .expect("a count")
    }
}
