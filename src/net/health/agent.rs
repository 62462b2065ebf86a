//! Parses and encodes the agent check over TCP, as HAProxy's public documentation of `agent-check` describes it.
//!
//! The load balancer connects, may first send a line of its own (`agent-send`), and reads one ASCII line of words
//! separated by spaces. A word that is missing from the answer changes nothing at the load balancer, so the effect of
//! an earlier answer must be reverted explicitly: after `drain` or `maint` the agent has to answer `ready`, and after
//! `stopped` it has to answer `up`. Every answer of a state that serves therefore contains both words.

use task_placer::health::{Report, State};

/// The maximum length of the line that a load balancer sends, including its end, in bytes.
pub const MAX_LINE_BYTES: usize = 256;

/// The line that a load balancer may send before it reads the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentLine {
    /// The end of the line has not been received yet.
    Incomplete,
    /// A complete line without its end. It distinguishes several checks of one load balancer.
    Complete(String),
    /// The line is too long or contains a character that is not printable.
    Malformed,
}

/// Parses the bytes that the load balancer has sent so far.
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

/// Encodes the answer for a report. `max_connections` is the maximum number of client connections at full weight, or
/// `None` if it is not to be reported; the reported number is reduced in proportion to the weight.
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
        // The answer still contains `up`, so that the load balancer keeps its connections to this placer open and may
        // retry one here.
        State::Drain => "up drain # finishing what was taken\n".to_string(),
        State::Maint => "maint # by order\n".to_string(),
        State::Stopped => "stopped # ending\n".to_string(),
    }
}

#[cfg(test)]
pub mod tests;
