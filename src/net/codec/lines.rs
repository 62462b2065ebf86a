//! The messages that placers and hosts exchange, one JSON object per line.

use super::{Cause, MAX_MESSAGE_BYTES, Malformed, TaskId};
use simd_json::prelude::*;
use simd_json::{BorrowedValue, json};
use task_placer::settings::parse_number;
use task_placer::{OutcomeDetail, TaskReport};

/// The task id in connection checks, which concern no task. It is not 0, because hosts treat a message with the id 0 as
/// malformed.
const CHECK_ID: TaskId = TaskId(u64::MAX);
/// The number of hex digits of a task id.
const TASK_ID_DIGITS: usize = 16;

/// A message of a host about a task.
#[derive(Debug, Clone, PartialEq)]
pub enum HostMessage {
    /// The host has started the task ("up" on the wire). Holds the description to forward to the client.
    Started(String),
    /// The attempt was rejected, or the task ended or failed ("down" on the wire). Holds the cause and the detail.
    Released(Cause, OutcomeDetail),
    /// A report about a running task ("tell" on the wire). Holds what is reported and its value.
    Report(TaskReport, f64),
    /// A message of an unknown type.
    Other,
}

/// Decodes one line into a task id and a message.
///
/// # Errors
///
/// Fails if the line is not a valid message of a host.
pub fn read(line: &mut [u8]) -> Result<(TaskId, HostMessage), Malformed> {
    let value = simd_json::to_borrowed_value(line).map_err(|_| Malformed::Json)?;
    if !value.is_object() {
        return Err(Malformed::Json);
    }
    let task = task_id(&value).ok_or(Malformed::Field("ref"))?;
    let fields = value.get("f");
    let note = fields.and_then(|fields| fields.get_str("note"));
    let message = match value.get_str("t").ok_or(Malformed::Field("t"))? {
        "up" => {
            // A started message without a description is malformed: the client's response needs it.
            let description = value.get_str("d").ok_or(Malformed::Field("d"))?;
            HostMessage::Started(description.to_string())
        }
        "down" => {
            let cause = value.get_u8("c").ok_or(Malformed::Field("c"))?;
            HostMessage::Released(Cause(cause), outcome_detail(note))
        }
        "tell" => {
            let reported = fields
                .and_then(|fields| fields.get("value"))
                .and_then(number)
                .ok_or(Malformed::Field("value"))?;
            HostMessage::Report(task_report(note), reported)
        }
        _ => HostMessage::Other,
    };
    Ok((task, message))
}

/// Returns the task id of a message, or `None` if it is missing or not 16 hex digits.
pub(super) fn task_id(value: &BorrowedValue<'_>) -> Option<TaskId> {
    let text = value.get_str("ref")?;
    if text.len() != TASK_ID_DIGITS {
        return None;
    }
    u64::from_str_radix(text, 16).ok().map(TaskId)
}

/// Returns a finite number, written as a JSON number or as text, or `None` if the value is neither.
pub fn number(value: &BorrowedValue<'_>) -> Option<f64> {
    match value.as_str() {
        Some(text) => parse_number(text),
        None => value.cast_f64().filter(|number| number.is_finite()),
    }
}

/// Returns the detail that the note in a host's release message denotes.
pub(super) fn outcome_detail(note: Option<&str>) -> OutcomeDetail {
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

/// Returns the note that denotes a detail, or an empty text if none does.
pub(super) fn outcome_note(detail: OutcomeDetail) -> &'static str {
    match detail {
        OutcomeDetail::Unknown => "",
        OutcomeDetail::NoCores => "nc",
        OutcomeDetail::NoMemory => "nm",
        OutcomeDetail::QueueFull => "nq",
        OutcomeDetail::NotEligible => "nh",
        OutcomeDetail::Evicted => "ev",
        OutcomeDetail::Preempted => "pre",
        OutcomeDetail::Drained => "dr",
    }
}

/// Returns what a report is about, according to its note.
fn task_report(note: Option<&str>) -> TaskReport {
    match note {
        Some("live") => TaskReport::Running,
        Some("c") => TaskReport::Cores,
        Some("m") => TaskReport::Memory,
        Some("s") => TaskReport::ServiceLevel,
        Some("p") => TaskReport::HostMemory,
        _ => TaskReport::Other,
    }
}

/// Encodes a value as one line.
pub(super) fn json_line(value: &BorrowedValue<'_>) -> Vec<u8> {
    let mut line = value.encode().into_bytes();
    line.push(b'\n');
    line
}

/// Encodes an attempt to start a task ("new" on the wire), or returns `None` if it exceeds [`MAX_MESSAGE_BYTES`].
/// `left_ms` is how long the placer waits for the host's reply, in milliseconds.
pub fn start_task(
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
    Some(json_line(&value)).filter(|line| line.len() <= MAX_MESSAGE_BYTES)
}

/// Encodes the release of an abandoned attempt or of an ended task ("down" on the wire).
pub fn release(task: TaskId, cause: Cause) -> Vec<u8> {
    json_line(&json!({ "t": "down", "ref": task.to_string(), "f": {}, "c": cause.0 }).into())
}

/// Encodes a connection check ("hb" on the wire), to which the host replies at once.
pub fn connection_check() -> Vec<u8> {
    json_line(&json!({ "t": "hb", "ref": CHECK_ID.to_string(), "f": {}, "c": 0 }).into())
}

/// Encodes the acknowledgement of a host's release ("ack" on the wire).
pub fn release_ack(task: TaskId) -> Vec<u8> {
    json_line(&json!({ "t": "ack", "ref": task.to_string(), "f": {} }).into())
}

#[cfg(test)]
mod tests;
