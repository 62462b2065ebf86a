//! The agent check over TCP, as HAProxy's public documentation of `agent-check` describes it.
//!
//! The load balancer connects, may first send a line of its own (`agent-send`), and reads one ASCII line of words
//! separated by spaces. A missing word changes nothing at the load balancer, so what an earlier answer set must be
//! reverted by name: after `drain` or `maint` an agent has to answer `ready`, and after `stopped` it has to answer
//! `up`. So every answer of a state that serves contains both.

use task_placer::health::{Report, State};

/// The maximum length of the load balancer's line, in bytes.
pub const MAX_LINE_BYTES: usize = 256;

/// What the load balancer has sent first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentLine {
    /// Not a complete line yet.
    Incomplete,
    /// A complete line without its end. It tells several checks of one load balancer apart.
    Complete(String),
    /// Too long, or not printable.
    Malformed,
}

/// Parses what the load balancer has sent so far.
pub fn parse_line(bytes: &[u8]) -> AgentLine {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() >= MAX_LINE_BYTES {
            AgentLine::Malformed
        } else {
            AgentLine::Incomplete
        };
    };
    let line = bytes.get(..end.min(MAX_LINE_BYTES)).unwrap_or_default();
    let is_printable = line
        .iter()
        .all(|byte| (b' '..=b'~').contains(byte) || matches!(byte, b'\r' | b'\t'));
    match std::str::from_utf8(line) {
        Ok(text) if is_printable && end < MAX_LINE_BYTES => {
            AgentLine::Complete(text.trim().to_string())
        }
        _ => AgentLine::Malformed,
    }
}

/// Encodes the answer for a report. `max_connections` is the most connections of clients, if it is to be
/// reported; it shrinks with the weight.
pub fn encode_answer(report: &Report, max_connections: Option<usize>) -> String {
    match report.state {
        State::Starting | State::Up | State::Degraded => {
            let maxconn = max_connections
                .map(|most| (most * usize::from(report.weight) / 100).max(1))
                .map(|most| format!(" maxconn:{most}"))
                .unwrap_or_default();
            let cause = report
                .cause
                .map(|signal| format!(" # {signal}"))
                .unwrap_or_default();
            format!("up ready {}%{maxconn}{cause}\n", report.weight)
        }
        // Still up: connections that the load balancer holds stay open, and a retried one is accepted.
        State::Drain => "up drain # finishing what was taken\n".to_string(),
        State::Maint => "maint # by order\n".to_string(),
        State::Stopped => "stopped # ending\n".to_string(),
    }
}

#[cfg(test)]
pub mod tests;
