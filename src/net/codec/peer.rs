//! The messages that the processes of one placer exchange during a rolling upgrade, one JSON object per line.
//!
//! The form is that of the lines of hosts: `t` is the type, `ref` the task, `f` the fields and `c` the cause.

use super::lines::{json_line, task_id};
use super::{Cause, Malformed, TaskId};
use simd_json::prelude::*;
use simd_json::{BorrowedValue, json};
use std::sync::Arc;
use task_placer::HostId;

/// The maximum length of a line, including its line feed. The longest message has one host name.
pub const MAX_LINE_BYTES: usize = 1_024;
/// The maximum length of a host name. A task at a host with a longer name is not announced.
const MAX_HOST_BYTES: usize = 256;

/// A message from one process of a placer to another.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// The sender exchanges messages. All that it announced before is void, and what it is responsible for follows.
    Hello,
    /// The sender is responsible for a task at this host, which is in this state.
    Task {
        /// The task.
        task: TaskId,
        /// The host that runs the task.
        host: HostId,
        /// The state of the task.
        state: PeerTaskState,
    },
    /// The sender is no longer responsible for the task.
    Done(TaskId),
    /// A client has released a task that the sender does not know.
    Release(TaskId, Cause),
    /// The reply to a release, which tells whether the sender knows the task.
    ReleaseReply {
        /// The task.
        task: TaskId,
        /// Whether the sender knows the task, and thus has handled the release.
        is_known: bool,
    },
    /// A message of a type that this version does not know.
    Other,
}

/// The state of a task that another process of the placer is responsible for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerTaskState {
    /// The task runs.
    Running,
    /// The task has been released with this cause, and its host has not confirmed the release.
    Releasing(Cause),
}

/// Decodes one line.
///
/// # Errors
///
/// Fails if the line is not a valid message of another process.
pub fn read(line: &mut [u8]) -> Result<PeerMessage, Malformed> {
    let value = simd_json::to_borrowed_value(line).map_err(|_| Malformed::Json)?;
    if !value.is_object() {
        return Err(Malformed::Json);
    }
    let task = || task_id(&value).ok_or(Malformed::Field("ref"));
    let cause = || value.get_u8("c").map(Cause).ok_or(Malformed::Field("c"));
    Ok(match value.get_str("t").ok_or(Malformed::Field("t"))? {
        "hello" => PeerMessage::Hello,
        "task" => PeerMessage::Task {
            task: task()?,
            host: host(&value)?,
            state: match field(&value, "state")? {
                "running" => PeerTaskState::Running,
                "releasing" => PeerTaskState::Releasing(cause()?),
                _ => return Err(Malformed::Field("state")),
            },
        },
        "done" => PeerMessage::Done(task()?),
        "release" => PeerMessage::Release(task()?, cause()?),
        "released" => PeerMessage::ReleaseReply {
            task: task()?,
            is_known: match field(&value, "known")? {
                "1" => true,
                "0" => false,
                _ => return Err(Malformed::Field("known")),
            },
        },
        _ => PeerMessage::Other,
    })
}

fn field<'a>(value: &'a BorrowedValue<'_>, name: &'static str) -> Result<&'a str, Malformed> {
    let fields = value.get("f");
    let text = fields.and_then(|fields| fields.get_str(name));
    text.ok_or(Malformed::Field(name))
}

fn host(value: &BorrowedValue<'_>) -> Result<HostId, Malformed> {
    let name = field(value, "host")?;
    if name.is_empty() || name.len() > MAX_HOST_BYTES {
        return Err(Malformed::Field("host"));
    }
    Ok(HostId(Arc::from(name)))
}

/// Encodes a message, or returns `None` if it can't be sent: the host's name is too long.
pub fn write(message: &PeerMessage) -> Option<Vec<u8>> {
    let value = match message {
        PeerMessage::Hello => json!({ "t": "hello" }),
        PeerMessage::Task { task, host, state } => {
            if host.0.is_empty() || host.0.len() > MAX_HOST_BYTES {
                return None;
            }
            let host = &*host.0;
            let task = task.to_string();
            match state {
                PeerTaskState::Running => {
                    json!({ "t": "task", "ref": task, "f": { "host": host, "state": "running" } })
                }
                PeerTaskState::Releasing(cause) => json!({
                    "t": "task", "ref": task, "f": { "host": host, "state": "releasing" }, "c": cause.0
                }),
            }
        }
        PeerMessage::Done(task) => json!({ "t": "done", "ref": task.to_string() }),
        PeerMessage::Release(task, cause) => {
            json!({ "t": "release", "ref": task.to_string(), "c": cause.0 })
        }
        PeerMessage::ReleaseReply { task, is_known } => {
            let known = if *is_known { "1" } else { "0" };
            json!({ "t": "released", "ref": task.to_string(), "f": { "known": known } })
        }
        PeerMessage::Other => return None,
    };
    Some(json_line(&value.into())).filter(|line| line.len() <= MAX_LINE_BYTES)
}

#[cfg(test)]
mod tests;
