//! The messages that the processes of one placer exchange during a rolling upgrade, one JSON object per line.
//!
//! The form is that of the lines of hosts: `t` is the type, `ref` the task, `f` the fields and `c` the cause.

use super::lines::{json_line, outcome_detail, outcome_note, task_id};
use super::{Cause, Malformed, TaskEnd, TaskId};
use simd_json::prelude::*;
use simd_json::{BorrowedValue, json};
use std::sync::Arc;
use task_placer::{HostId, OutcomeDetail};

/// The maximum length of a line, including its line feed. The longest message has one host name.
pub const MAX_LINE_BYTES: usize = 1_024;
/// The maximum length of a host name. A task at a host with a longer name is not announced.
const MAX_HOST_BYTES: usize = 256;

/// A message from one process of a placer to another.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// The sender exchanges messages. All that it announced before is void, and what it is responsible for follows.
    Hello,
    /// The sender is responsible for a task in this state.
    Task(TaskId, PeerTaskState),
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
    /// The sender has a client that can be told the end of this task, which waits for one.
    Claim(TaskId),
    /// The reply to a claim: from now on the receiver is responsible for the end of this task.
    Grant(TaskId),
    /// A host has released a task that the sender does not know.
    HostRelease {
        /// The task.
        task: TaskId,
        /// The host that has released the task.
        host: HostId,
        /// The cause that the host states.
        cause: Cause,
        /// The detail that the host states.
        detail: OutcomeDetail,
    },
    /// A client has named a running task to the sender, which is responsible for it from now on.
    Adopted(TaskId),
    /// The sender has sent the task to a host, so that no other process may do so too.
    Tried(TaskId),
    /// A message of a type that this version does not know.
    Other,
}

/// The state of a task that another process of the placer is responsible for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerTaskState {
    /// The task runs at this host.
    Running(HostId),
    /// The task has been released at this host with this cause, and the host has not confirmed the release.
    Releasing(HostId, Cause),
    /// The task is over, and no client has acknowledged its end.
    Ended(TaskEnd, EndDelivery),
}

impl PeerTaskState {
    /// Returns the host that runs the task, unless the task is over.
    pub fn host(&self) -> Option<&HostId> {
        match self {
            PeerTaskState::Running(host) | PeerTaskState::Releasing(host, _) => Some(host),
            PeerTaskState::Ended(..) => None,
        }
    }
}

/// How far the delivery of a task's end is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndDelivery {
    /// The end is on its way to a client.
    InProgress,
    /// The process has no client that the end could be sent to.
    WaitsForClient,
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
    Ok(match value.get_str("t").ok_or(Malformed::Field("t"))? {
        "hello" => PeerMessage::Hello,
        "task" => PeerMessage::Task(task()?, task_state(&value)?),
        "done" => PeerMessage::Done(task()?),
        "release" => PeerMessage::Release(task()?, cause(&value)?),
        "released" => PeerMessage::ReleaseReply {
            task: task()?,
            is_known: match field(&value, "known")? {
                "1" => true,
                "0" => false,
                _ => return Err(Malformed::Field("known")),
            },
        },
        "claim" => PeerMessage::Claim(task()?),
        "grant" => PeerMessage::Grant(task()?),
        "down" => PeerMessage::HostRelease {
            task: task()?,
            host: host(&value)?,
            cause: cause(&value)?,
            detail: outcome_detail(field(&value, "note").ok()),
        },
        "adopted" => PeerMessage::Adopted(task()?),
        "tried" => PeerMessage::Tried(task()?),
        _ => PeerMessage::Other,
    })
}

fn task_state(value: &BorrowedValue<'_>) -> Result<PeerTaskState, Malformed> {
    Ok(match field(value, "state")? {
        "running" => PeerTaskState::Running(host(value)?),
        "releasing" => PeerTaskState::Releasing(host(value)?, cause(value)?),
        "ended" => PeerTaskState::Ended(task_end(value)?, EndDelivery::InProgress),
        "waiting" => PeerTaskState::Ended(task_end(value)?, EndDelivery::WaitsForClient),
        _ => return Err(Malformed::Field("state")),
    })
}

fn task_end(value: &BorrowedValue<'_>) -> Result<TaskEnd, Malformed> {
    match field(value, "end")? {
        "down" => Ok(TaskEnd::Released(cause(value)?)),
        "shift" => Ok(TaskEnd::Migrated),
        _ => Err(Malformed::Field("end")),
    }
}

fn cause(value: &BorrowedValue<'_>) -> Result<Cause, Malformed> {
    value.get_u8("c").map(Cause).ok_or(Malformed::Field("c"))
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
    let task_message = |kind: &str, task: &TaskId| json!({ "t": kind, "ref": task.to_string() });
    let value = match message {
        PeerMessage::Hello => json!({ "t": "hello" }),
        PeerMessage::Task(task, state) => task_state_value(*task, state)?,
        PeerMessage::Done(task) => task_message("done", task),
        PeerMessage::Release(task, cause) => {
            json!({ "t": "release", "ref": task.to_string(), "c": cause.0 })
        }
        PeerMessage::ReleaseReply { task, is_known } => {
            let known = if *is_known { "1" } else { "0" };
            json!({ "t": "released", "ref": task.to_string(), "f": { "known": known } })
        }
        PeerMessage::Claim(task) => task_message("claim", task),
        PeerMessage::Grant(task) => task_message("grant", task),
        PeerMessage::HostRelease {
            task,
            host,
            cause,
            detail,
        } => json!({
            "t": "down",
            "ref": task.to_string(),
            "f": { "host": host_name(host)?, "note": outcome_note(*detail) },
            "c": cause.0,
        }),
        PeerMessage::Adopted(task) => task_message("adopted", task),
        PeerMessage::Tried(task) => task_message("tried", task),
        PeerMessage::Other => return None,
    };
    Some(json_line(&value.into())).filter(|line| line.len() <= MAX_LINE_BYTES)
}

fn task_state_value(task: TaskId, state: &PeerTaskState) -> Option<simd_json::OwnedValue> {
    let task = task.to_string();
    Some(match state {
        PeerTaskState::Running(host) => json!({
            "t": "task", "ref": task, "f": { "state": "running", "host": host_name(host)? },
        }),
        PeerTaskState::Releasing(host, cause) => json!({
            "t": "task", "ref": task, "f": { "state": "releasing", "host": host_name(host)? }, "c": cause.0,
        }),
        PeerTaskState::Ended(end, delivery) => {
            let state = match delivery {
                EndDelivery::InProgress => "ended",
                EndDelivery::WaitsForClient => "waiting",
            };
            match end {
                TaskEnd::Released(cause) => json!({
                    "t": "task", "ref": task, "f": { "state": state, "end": "down" }, "c": cause.0,
                }),
                TaskEnd::Migrated => json!({
                    "t": "task", "ref": task, "f": { "state": state, "end": "shift" },
                }),
            }
        }
    })
}

/// Returns the name of a host, or `None` if it is empty or too long to be read.
fn host_name(host: &HostId) -> Option<&str> {
    Some(&*host.0).filter(|name| !name.is_empty() && name.len() <= MAX_HOST_BYTES)
}

#[cfg(test)]
mod tests;
