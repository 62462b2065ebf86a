//! The JSON lines that placers and hosts exchange.

use super::{MAX_MESSAGE_BYTES, Malformed, TaskId};
use simd_json::prelude::*;
use simd_json::{BorrowedValue, json};
use task_placer::settings::parse_number;
use task_placer::{OutcomeDetail, TaskReport};

/// What a host says of a task.
#[derive(Debug, Clone, PartialEq)]
pub enum HostMessage {
    /// The task stands; the description of the answer.
    Started(String),
    /// Refused, ended or cut: the cause, and why.
    Released(u8, OutcomeDetail),
    /// A note on a task that stands.
    Report(TaskReport, f64),
    /// A message that asks for nothing.
    Other,
}

/// Reads one line.
pub fn read(line: &mut [u8]) -> Result<(TaskId, HostMessage), Malformed> {
    let value = simd_json::to_borrowed_value(line).map_err(|_| Malformed::Json)?;
    if !value.is_object() {
        return Err(Malformed::Json);
    }
    let text = |name| value.get_str(name);
    let task = text("ref")
        .filter(|t| t.len() == 16)
        .and_then(|t| u64::from_str_radix(t, 16).ok());
    let task = TaskId(task.ok_or(Malformed::Field("ref"))?);
    let fields = value.get("f");
    let field = |name| fields.and_then(|f| f.get(name));
    let note = field("note").and_then(|v| v.as_str());
    let word = match text("t").ok_or(Malformed::Field("t"))? {
        // Without its description it is no answer, but a spoilt one.
        "up" => HostMessage::Started(text("d").ok_or(Malformed::Field("d"))?.to_string()),
        "down" => {
            let cause = value
                .get("c")
                .and_then(|v| v.as_u8())
                .ok_or(Malformed::Field("c"))?;
            HostMessage::Released(cause, detail(note))
        }
        "tell" => {
            let figure = field("value")
                .and_then(number)
                .ok_or(Malformed::Field("value"))?;
            HostMessage::Report(kind_of_note(note), figure)
        }
        _ => HostMessage::Other,
    };
    Ok((task, word))
}

/// A figure, which may come as text.
pub fn number(value: &BorrowedValue<'_>) -> Option<f64> {
    match value.as_str() {
        Some(text) => parse_number(text),
        None => value.cast_f64().filter(|v| v.is_finite()),
    }
}

fn detail(note: Option<&str>) -> OutcomeDetail {
    match note {
        Some("nc") => OutcomeDetail::NoCores,
        Some("nm") => OutcomeDetail::NoMemory,
        Some("nq") => OutcomeDetail::QueueFull,
        Some("nh") => OutcomeDetail::NotEligible,
        Some("ev") => OutcomeDetail::Evicted,
        Some("pre") => OutcomeDetail::Preempted,
        Some("dr") => OutcomeDetail::Drained,
        _ => OutcomeDetail::Unknown,
    }
}

fn kind_of_note(note: Option<&str>) -> TaskReport {
    match note {
        Some("live") => TaskReport::Running,
        Some("c") => TaskReport::Cores,
        Some("m") => TaskReport::Memory,
        Some("s") => TaskReport::ServiceLevel,
        Some("p") => TaskReport::HostMemory,
        _ => TaskReport::Other,
    }
}

fn line(value: &BorrowedValue<'_>) -> Vec<u8> {
    let mut line = value.encode().into_bytes();
    line.push(b'\n');
    line
}

/// An offer, or none if it does not fit in one message. `left_ms` is how long the placer waits.
pub fn offer(
    task: TaskId,
    class: &str,
    key: &str,
    left_ms: i64,
    description: &str,
) -> Option<Vec<u8>> {
    let value: BorrowedValue<'_> = json!({
        "t": "new",
        "ref": task.to_string(),
        "f": { "class": class, "key": key, "left": left_ms.to_string() },
        "d": description,
    })
    .into();
    Some(line(&value)).filter(|line| line.len() <= MAX_MESSAGE_BYTES)
}

/// Gives an offer up, or ends a task that stands.
pub fn release(task: TaskId, cause: u8) -> Vec<u8> {
    line(&json!({ "t": "down", "ref": task.to_string(), "f": {}, "c": cause }).into())
}

/// A host's release was heard.
pub fn heard(task: TaskId) -> Vec<u8> {
    line(&json!({ "t": "ack", "ref": task.to_string(), "f": {} }).into())
}

#[cfg(test)]
mod tests;
