//! Orders and questions of operators: the words on the socket, and the side that sends them.
//!
//! One JSON object a line each way. `{"v":1,"do":"drain"}` is answered by `{"v":1,"ok":true,...}` or
//! `{"v":1,"ok":false,"error":"..."}`.

use crate::operator;
use crate::terminal::complain;
use clap::Args;
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The version of these words.
pub const VERSION: u64 = 1;
/// No line holds more: of orders, and of answers.
pub const MOST_ORDER: usize = 4 * 1024;
const MOST_ANSWER: u64 = 256 * 1024;
/// How long a placer may take to answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// What is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Finish, take nothing new.
    Drain,
    /// Back into service.
    Ready,
    /// Out of service.
    Maint,
    /// How is it.
    State,
    /// What is shed, repeated and tried.
    Overload,
}

impl Order {
    const ALL: [(&'static str, Order); 5] = [
        ("drain", Order::Drain),
        ("ready", Order::Ready),
        ("maint", Order::Maint),
        ("state", Order::State),
        ("overload", Order::Overload),
    ];

    fn as_str(self) -> &'static str {
        Order::ALL
            .iter()
            .find(|(_, order)| *order == self)
            .map_or("", |(name, _)| name)
    }
}

/// Reads an order from a line, or says what is wrong with it.
pub fn read(line: &mut [u8]) -> Result<Order, String> {
    let value = simd_json::to_borrowed_value(line).map_err(|e| format!("not JSON: {e}"))?;
    match value.get_u64("v") {
        Some(VERSION) => {}
        Some(other) => {
            return Err(format!(
                "version {other}: this placer speaks version {VERSION}"
            ));
        }
        None => return Err("no version: expected \"v\":1".to_string()),
    }
    let name = value.get_str("do").ok_or("expected \"do\" with an order")?;
    let order = Order::ALL
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, order)| *order);
    order.ok_or_else(|| {
        format!("no such order: {name}; known are drain, ready, maint, state, overload")
    })
}

/// The answer to an order: what was found, or what went wrong.
pub fn answer(found: Result<OwnedValue, String>) -> Vec<u8> {
    let value = match found {
        Ok(mut value) => {
            let _ = value.insert("v", VERSION);
            let _ = value.insert("ok", true);
            value
        }
        Err(error) => json!({ "v": VERSION, "ok": false, "error": error }),
    };
    let mut line = value.encode().into_bytes();
    line.push(b'\n');
    line
}

/// Which placer is meant.
#[derive(Debug, Args)]
pub struct Target {
    /// Its socket; else the one that the operator's file names
    #[arg(long, value_name = "PATH")]
    socket: Option<PathBuf>,
}

/// Sends an order, prints the answer, and answers the exit code: 0 done, 1 refused or not reached.
pub fn send(order: Order, target: &Target, file: Option<&Path>, json: bool) -> ExitCode {
    let socket = match (&target.socket, file) {
        (Some(socket), _) => Some(socket.clone()),
        (None, Some(file)) => operator::load(file).operator.control_socket,
        (None, None) => None,
    };
    let Some(socket) = socket else {
        complain(
            "task-placer: no socket: name one by --socket, or an operator's file that has [ctl] socket",
        );
        return ExitCode::FAILURE;
    };
    let line = match ask(&socket, order) {
        Ok(line) => line,
        Err(e) => {
            complain(&format!("task-placer: {}: {e}", socket.display()));
            return ExitCode::FAILURE;
        }
    };
    let mut bytes = line.clone().into_bytes();
    let Ok(value) = simd_json::to_owned_value(&mut bytes) else {
        complain(&format!(
            "task-placer: {}: answered what is no JSON",
            socket.display()
        ));
        return ExitCode::FAILURE;
    };
    if value.get_bool("ok") != Some(true) {
        complain(&format!(
            "task-placer: {}",
            value.get_str("error").unwrap_or("refused")
        ));
        return ExitCode::FAILURE;
    }
    let text = match order {
        _ if json => line,
        Order::Overload => told_overload(&value),
        _ => told(&value),
    };
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
    ExitCode::SUCCESS
}

fn ask(socket: &Path, order: Order) -> std::io::Result<String> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let mut order = json!({ "v": VERSION, "do": order.as_str() }).encode();
    order.push('\n');
    stream.write_all(order.as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream.take(MOST_ANSWER)).read_line(&mut line)?;
    if line.is_empty() {
        return Err(std::io::Error::new(
            std::io::ErrorKind::UnexpectedEof,
            "closed without an answer",
        ));
    }
    Ok(line)
}

/// An answer for people.
fn told(value: &OwnedValue) -> String {
    let text = |name: &str| value.get_str(name).unwrap_or_default().to_string();
    let number =
        |value: &OwnedValue, name: &str| value.get(name).and_then(|v| v.cast_f64()).unwrap_or(0.0);
    let mut lines = vec![format!("{} {}%", text("state"), number(value, "weight"))];
    if !text("reason").is_empty() {
        lines.push(format!("held down by {}", text("reason")));
    }
    if let Some(signals) = value.get_array("signals") {
        lines.push(format!(
            "the fleet explains {:.0}% of what goes badly",
            100.0 * number(value, "fleet")
        ));
        for signal in signals {
            let code = signal.get_str("code").unwrap_or_default();
            lines.push(format!(
                "  {code:<14} {:>10.3}  own {:>4.2}  leaves {:>3.0}%",
                number(signal, "value"),
                number(signal, "own"),
                number(signal, "leaves")
            ));
        }
    }
    if let Some(drain) = value.get("drain") {
        lines.push(format!(
            "drain {}: {} of {} balancers have seen it, {} asks owed, {} tasks stand, {} ends untold",
            drain.get_str("phase").unwrap_or_default(),
            number(drain, "seen"),
            number(drain, "pollers"),
            number(drain, "owed"),
            number(drain, "standing"),
            number(drain, "untold")
        ));
    }
    lines.join("\n")
}

/// How an overload stands, for people.
fn told_overload(value: &OwnedValue) -> String {
    let number = |value: &OwnedValue, name: &str| value.get(name).and_then(|v| v.cast_f64());
    let mut first = format!(
        "step {}: lets {:.0}% through",
        number(value, "step").unwrap_or(0.0),
        100.0 * number(value, "through").unwrap_or(1.0)
    );
    if let Some(left) = number(value, "attempts-left") {
        first.push_str(&format!("; {left:.1} further attempts left"));
    }
    first.push_str(&format!(
        "; {} clients stay away",
        number(value, "away").unwrap_or(0.0)
    ));
    let mut lines = vec![first];
    if let Some(counters) = value.get_object("counters") {
        let mut counters: Vec<(&String, u64)> = counters
            .iter()
            .map(|(name, v)| (name, v.as_u64().unwrap_or(0)))
            .collect();
        counters.sort();
        lines.push(
            counters
                .iter()
                .map(|(name, n)| format!("{name} {n}"))
                .collect::<Vec<_>>()
                .join("  "),
        );
    }
    for host in value.get_array("hosts").into_iter().flatten() {
        let name = host.get_str("host").unwrap_or_default();
        lines.push(match number(host, "turn") {
            Some(turn) => format!("  {name}  in doubt, own turn in {turn:.2} s"),
            None => format!(
                "  {name}  window {:.2}  out {}  delay {:.2} s",
                number(host, "window").unwrap_or(0.0),
                number(host, "out").unwrap_or(0.0),
                number(host, "delay").unwrap_or(0.0)
            ),
        });
    }
    lines.join("\n")
}

#[cfg(test)]
mod tests;
