//! Codec of the binary messages that clients and placers exchange.
//!
//! A message is `length:2 type:1 task:8 parameters`, and a parameter is `code:1 length:2 value`, with sizes in bytes.
//! All numbers are big-endian. The comments on the constants give the protocol's own words where they differ.

use super::{MAX_MESSAGE_BYTES, WireError};
use crate::identity::{RequestId, WorkerId};

/// The types of messages.
mod kind {
    /// A request to place or adopt a task, the protocol's "set-up".
    pub const TASK_REQUEST: u8 = 1;
    pub const ANSWER: u8 = 9;
    pub const RELEASE: u8 = 12;
    /// The acknowledgement that a release was received.
    pub const END_ACKNOWLEDGED: u8 = 16;
    /// The notice that a task migrates, the protocol's "move".
    pub const MIGRATE: u8 = 51;
    /// A health check, the protocol's "test".
    pub const HEALTH_CHECK: u8 = 52;
    /// The result of a health check.
    pub const HEALTH_CHECKED: u8 = 53;
}

/// The codes of parameters.
mod code {
    pub const CLASS: u8 = 129;
    pub const WAIT: u8 = 132;
    pub const TENANT: u8 = 135;
    pub const KEY: u8 = 141;
    pub const RESOURCES: u8 = 144;
    pub const CAUSE: u8 = 171;
    pub const DESCRIPTION: u8 = 174;
}

/// The id in the messages of a health check. No request has this id.
const HEALTH_CHECK_ID: u64 = u64::MAX;
/// The size of a length field in bytes.
const LENGTH_BYTES: usize = 2;
/// The size in bytes of the type and the task id, which lie between the length field and the parameters.
const HEADER_BYTES: usize = 9;

/// A message from a placer to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacerMessage {
    /// The task has started. Holds the answer that the worker wrote.
    Answer(String),
    /// The task was refused, has failed or has ended, with the cause.
    Release(u8),
    /// The task migrates, so its client must send the request again.
    Migrate,
    /// The placer acknowledges a release that the client sent.
    EndAcknowledged,
    /// The result of a health check.
    HealthChecked {
        /// Whether the placer accepts tasks.
        passed: bool,
    },
}

/// A client's request to place a task, or to adopt a task that already runs.
#[derive(Debug, Clone)]
pub struct TaskRequest<'a> {
    /// The id of the request.
    pub id: RequestId,
    /// The name of the task's class.
    pub class: &'a str,
    /// How long the client waits for the answer, in milliseconds.
    pub wait_ms: u64,
    /// The name of the task's tenant.
    pub tenant: &'a str,
    /// The idempotency key of the task.
    pub key: u64,
    /// The number of cores that the task requests.
    pub cores: f64,
    /// The memory that the task requests, in the unit of the worker's memory.
    pub memory: f64,
    /// The id of the task's service.
    pub service: u64,
    /// The worker that already runs the task; `None` for a new task.
    pub running_at: Option<WorkerId>,
    /// The task description that the placer forwards to the worker.
    pub description: &'a str,
}

/// Appends a request to place or adopt a task.
pub fn write_task_request(out: &mut Vec<u8>, request: &TaskRequest<'_>) {
    let TaskRequest {
        cores,
        memory,
        service,
        ..
    } = request;
    let mut resources = format!("cores:{cores};memory:{memory};service:{service:016x}");
    if let Some(worker) = request.running_at {
        resources.push_str(&format!(";at:{worker}"));
    }
    let wait = request.wait_ms.to_string();
    let key = format!("{:016x}", request.key);
    let parameters = [
        (code::CLASS, request.class.as_bytes()),
        (code::WAIT, wait.as_bytes()),
        (code::TENANT, request.tenant.as_bytes()),
        (code::KEY, key.as_bytes()),
        (code::RESOURCES, resources.as_bytes()),
        (code::DESCRIPTION, request.description.as_bytes()),
    ];
    write_message(out, kind::TASK_REQUEST, request.id.0, &parameters);
}

/// Appends the acknowledgement of a task's end.
pub fn write_end_acknowledged(out: &mut Vec<u8>, id: RequestId) {
    write_message(out, kind::END_ACKNOWLEDGED, id.0, &[]);
}

/// Appends a health check.
pub fn write_health_check(out: &mut Vec<u8>) {
    write_message(
        out,
        kind::HEALTH_CHECK,
        HEALTH_CHECK_ID,
        &[(code::CAUSE, &[0])],
    );
}

fn write_message(out: &mut Vec<u8>, kind: u8, id: u64, parameters: &[(u8, &[u8])]) {
    let length = HEADER_BYTES
        + parameters
            .iter()
            .map(|(_, value)| 3 + value.len())
            .sum::<usize>();
    out.extend(length_bytes(length));
    out.push(kind);
    out.extend(id.to_be_bytes());
    for (code, value) in parameters {
        out.push(*code);
        out.extend(length_bytes(value.len()));
        out.extend(*value);
    }
}

/// Encodes a length field. Lengths saturate at `u16::MAX`, which no message written here comes near.
fn length_bytes(length: usize) -> [u8; LENGTH_BYTES] {
    u16::try_from(length).unwrap_or(u16::MAX).to_be_bytes()
}

/// Decodes the first message in `bytes`. Returns the id of its request, the message and its length in bytes, or `None`
/// if the message is not complete yet.
///
/// # Errors
///
/// Returns an error if the bytes are not a message of the protocol.
pub fn read(bytes: &[u8]) -> Result<Option<(RequestId, PlacerMessage, usize)>, WireError> {
    let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = usize::from(u16::from_be_bytes(*length));
    if length + LENGTH_BYTES > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLong);
    }
    if length < HEADER_BYTES {
        return Err(WireError::BadLength);
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let (kind, body) = body.split_first().ok_or(WireError::BadLength)?;
    let (id, parameters) = body.split_first_chunk::<8>().ok_or(WireError::BadLength)?;
    let id = RequestId(u64::from_be_bytes(*id));
    let message = match *kind {
        kind::ANSWER => PlacerMessage::Answer(description(parameters)?),
        kind::RELEASE => PlacerMessage::Release(one_byte(parameters)?),
        kind::MIGRATE => PlacerMessage::Migrate,
        kind::END_ACKNOWLEDGED => PlacerMessage::EndAcknowledged,
        kind::HEALTH_CHECKED => PlacerMessage::HealthChecked {
            passed: one_byte(parameters)? == 1,
        },
        _ => return Err(WireError::BadField("type")),
    };
    Ok(Some((id, message, LENGTH_BYTES + length)))
}

fn description(parameters: &[u8]) -> Result<String, WireError> {
    let value =
        find_parameter(parameters, code::DESCRIPTION)?.ok_or(WireError::BadField("description"))?;
    let text = std::str::from_utf8(value).map_err(|_| WireError::BadField("description"))?;
    Ok(text.to_string())
}

fn one_byte(parameters: &[u8]) -> Result<u8, WireError> {
    match find_parameter(parameters, code::CAUSE)? {
        Some([cause]) => Ok(*cause),
        _ => Err(WireError::BadField("cause")),
    }
}

/// Returns the value of the first parameter whose code is `wanted`, after checking the lengths of all parameters.
fn find_parameter(mut rest: &[u8], wanted: u8) -> Result<Option<&[u8]>, WireError> {
    let mut found = None;
    while let Some((code, after)) = rest.split_first() {
        let (length, after) = after
            .split_first_chunk::<LENGTH_BYTES>()
            .ok_or(WireError::BadLength)?;
        let length = usize::from(u16::from_be_bytes(*length));
        let (value, after) = after.split_at_checked(length).ok_or(WireError::BadLength)?;
        if *code == wanted && found.is_none() {
            found = Some(value);
        }
        rest = after;
    }
    Ok(found)
}
