//! The binary messages that clients and placers exchange.
//!
//! A message is `length:2 type:1 task:8 parameters`, and each parameter is `code:1 length:2 value`. The numbers are
//! field sizes in bytes; all integers are big-endian.

use super::{Cause, MAX_MESSAGE_BYTES, Malformed, TaskEnd, TaskId, TaskRequest};
use std::sync::Arc;
use task_placer::facade::PlacementRequest;
use task_placer::settings::{millis_to_micros, parse_number};
use task_placer::{HostId, Micros};

/// Size of a length field in bytes. The length of a message does not include the field itself.
const LENGTH_BYTES: usize = 2;
/// Size of the type and the task id in bytes, the smallest valid length of a message.
const MIN_BODY_BYTES: usize = 9;
/// The maximum wait of a client in milliseconds, one day. Longer waits are reduced to it, so that later sums of times
/// can't overflow.
const MAX_WAIT_MS: f64 = 86_400_000.0;

/// Values of the type field. Comments give the protocol's name where it differs.
mod kind {
    /// Called "set-up" in the protocol.
    pub const TASK_REQUEST: u8 = 1;
    /// Called "answer" in the protocol.
    pub const TASK_STARTED: u8 = 9;
    pub const RELEASE: u8 = 12;
    /// Called "heard" in the protocol.
    pub const RELEASE_ACK: u8 = 16;
    /// Called "move" in the protocol.
    pub const MIGRATE: u8 = 51;
    /// Called "test" in the protocol.
    pub const HEALTH_CHECK: u8 = 52;
    /// Called "tested" in the protocol.
    pub const HEALTH_CHECK_RESULT: u8 = 53;
}

/// Parameter codes. Comments give the protocol's name where it differs.
mod code {
    pub const CLASS: u8 = 129;
    pub const WAIT: u8 = 132;
    pub const TENANT: u8 = 135;
    pub const RETRY: u8 = 138;
    pub const KEY: u8 = 141;
    /// Called "figures" in the protocol.
    pub const ATTRIBUTES: u8 = 144;
    /// Called "stay away" in the protocol.
    pub const RETRY_AFTER: u8 = 147;
    pub const CAUSE: u8 = 171;
    pub const DESCRIPTION: u8 = 174;
}

/// A message of a client.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientMessage {
    /// A request to place or adopt a task ("set-up" on the wire).
    TaskRequest(Box<TaskRequest>),
    /// A task request with a missing or invalid field. The messages after it can still be read.
    InvalidTaskRequest(Malformed),
    /// Cancels the request or ends the running task, with this cause.
    Release(Cause),
    /// A health check ("test" on the wire).
    HealthCheck,
    /// Acknowledges a release that the placer sent ("heard" on the wire).
    ReleaseAck,
    /// A message of an unknown type.
    Other,
}

/// Decodes the first message of `bytes`, and returns its task, its content and its total length in bytes, or `None` if
/// the message is still incomplete.
///
/// # Errors
///
/// Fails if the bytes are not the start of a valid message.
pub fn read(bytes: &[u8]) -> Result<Option<(TaskId, ClientMessage, usize)>, Malformed> {
    let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = usize::from(u16::from_be_bytes(*length));
    if length + LENGTH_BYTES > MAX_MESSAGE_BYTES {
        return Err(Malformed::TooLong);
    }
    if length < MIN_BODY_BYTES {
        return Err(Malformed::Length);
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let (kind, body) = body.split_first().ok_or(Malformed::Length)?;
    let (task, body) = body.split_first_chunk::<8>().ok_or(Malformed::Length)?;
    let message = read_content(*kind, &Parameters::read(body)?)?;
    let task = TaskId(u64::from_be_bytes(*task));
    Ok(Some((task, message, length + LENGTH_BYTES)))
}

fn read_content(kind: u8, parameters: &Parameters<'_>) -> Result<ClientMessage, Malformed> {
    Ok(match kind {
        kind::TASK_REQUEST => match task_request(parameters) {
            Ok(request) => ClientMessage::TaskRequest(Box::new(request)),
            Err(reason) => ClientMessage::InvalidTaskRequest(reason),
        },
        kind::RELEASE => match parameters.find(code::CAUSE) {
            Some([cause]) => ClientMessage::Release(Cause(*cause)),
            _ => return Err(Malformed::Field("cause")),
        },
        kind::HEALTH_CHECK => ClientMessage::HealthCheck,
        kind::RELEASE_ACK => ClientMessage::ReleaseAck,
        _ => ClientMessage::Other,
    })
}

/// The parameters of a message as (code, value) pairs, in message order.
struct Parameters<'a>(Vec<(u8, &'a [u8])>);

impl<'a> Parameters<'a> {
    fn read(mut rest: &'a [u8]) -> Result<Parameters<'a>, Malformed> {
        let mut parameters = Vec::new();
        while let Some((code, after)) = rest.split_first() {
            let (length, after) = after
                .split_first_chunk::<LENGTH_BYTES>()
                .ok_or(Malformed::Length)?;
            let length = usize::from(u16::from_be_bytes(*length));
            let (value, after) = after.split_at_checked(length).ok_or(Malformed::Length)?;
            parameters.push((*code, value));
            rest = after;
        }
        Ok(Parameters(parameters))
    }

    fn find(&self, code: u8) -> Option<&'a [u8]> {
        let parameter = self.0.iter().find(|(found, _)| *found == code);
        parameter.map(|(_, value)| *value)
    }

    /// Returns a parameter as text, or `None` if the message does not have it.
    fn text(&self, code: u8, name: &'static str) -> Result<Option<&'a str>, Malformed> {
        let value = self.find(code).map(std::str::from_utf8);
        value.transpose().map_err(|_| Malformed::Field(name))
    }

    /// Returns a parameter as text, and fails if the message does not have it.
    fn required_text(&self, code: u8, name: &'static str) -> Result<&'a str, Malformed> {
        self.text(code, name)?.ok_or(Malformed::Field(name))
    }
}

/// The attributes of a task, written as `name:value;...` ("figures" on the wire).
struct Attributes<'a>(&'a str);

impl<'a> Attributes<'a> {
    fn find(&self, name: &str) -> Option<&'a str> {
        let mut pairs = self.0.split(';').filter_map(|pair| pair.split_once(':'));
        pairs
            .find(|(found, _)| *found == name)
            .map(|(_, value)| value)
    }

    /// Returns an amount of a resource, and fails if it is missing, invalid or negative.
    fn amount(&self, name: &'static str) -> Result<f64, Malformed> {
        let value = self.find(name).and_then(parse_number);
        value
            .filter(|value| *value >= 0.0)
            .ok_or(Malformed::Field(name))
    }
}

fn task_request(parameters: &Parameters<'_>) -> Result<TaskRequest, Malformed> {
    let attributes = Attributes(parameters.required_text(code::ATTRIBUTES, "figures")?);
    let running_on = attributes.find("at").map(|host| HostId(Arc::from(host)));
    let wait = client_wait(parameters, running_on.is_some())?;
    let key = parameters.required_text(code::KEY, "key")?;
    let class = parameters.required_text(code::CLASS, "class")?;
    let tenant = parameters.text(code::TENANT, "tenant")?;
    let service = attributes
        .find("service")
        .ok_or(Malformed::Field("service"))?;
    let placement = PlacementRequest {
        class: class.to_string(),
        tenant: tenant.map(str::to_string),
        service: hex(service, "service")?,
        key: hex(key, "key")?,
        cores: attributes.amount("cores")?,
        memory: attributes.amount("memory")?,
        time_budget: wait,
        is_retry: parameters
            .text(code::RETRY, "retry")?
            .is_some_and(|retry| retry != "0"),
    };
    let description = parameters.text(code::DESCRIPTION, "description")?;
    Ok(TaskRequest {
        placement,
        wait,
        running_on,
        key: key.to_string(),
        description: description.unwrap_or_default().to_string(),
    })
}

/// Returns how long the client waits for its response. A request to adopt a running task may omit the parameter, which
/// then counts as 0.
fn client_wait(parameters: &Parameters<'_>, is_adoption: bool) -> Result<Micros, Malformed> {
    let wait_ms = match parameters.text(code::WAIT, "wait")? {
        None if is_adoption => 0.0,
        None => return Err(Malformed::Field("wait")),
        Some(text) => parse_number(text)
            .ok_or(Malformed::Field("wait"))?
            .clamp(0.0, MAX_WAIT_MS),
    };
    Ok(millis_to_micros(wait_ms))
}

fn hex(text: &str, name: &'static str) -> Result<u64, Malformed> {
    u64::from_str_radix(text, 16).map_err(|_| Malformed::Field(name))
}

/// Encodes a message. Lengths fit into their fields, because the values come from messages that did not exceed
/// [`MAX_MESSAGE_BYTES`].
fn message(kind: u8, task: TaskId, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let values = parameters.iter().map(|(_, value)| 3 + value.len());
    let length = MIN_BODY_BYTES + values.sum::<usize>();
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + length);
    bytes.extend(u16::try_from(length).unwrap_or(u16::MAX).to_be_bytes());
    bytes.push(kind);
    bytes.extend(task.0.to_be_bytes());
    for (code, value) in parameters {
        bytes.push(*code);
        bytes.extend(u16::try_from(value.len()).unwrap_or(u16::MAX).to_be_bytes());
        bytes.extend(*value);
    }
    bytes
}

/// Encodes the response to a request whose task a host has started ("answer" on the wire).
pub fn task_started(task: TaskId, description: &str) -> Vec<u8> {
    let description = (code::DESCRIPTION, description.as_bytes());
    message(kind::TASK_STARTED, task, &[description])
}

/// Encodes a rejection, a failure or the end of a task, with the time after which the client may retry ("stay away" on
/// the wire), if one is given.
pub fn release(task: TaskId, cause: Cause, retry_after_ms: Option<u64>) -> Vec<u8> {
    let retry_after = retry_after_ms.map(|ms| ms.to_string());
    let mut parameters = vec![(code::CAUSE, std::slice::from_ref(&cause.0))];
    let retry_after = retry_after.as_ref();
    parameters.extend(retry_after.map(|ms| (code::RETRY_AFTER, ms.as_bytes())));
    message(kind::RELEASE, task, &parameters)
}

/// Encodes the acknowledgement of a client's release ("heard" on the wire).
pub fn release_ack(task: TaskId) -> Vec<u8> {
    message(kind::RELEASE_ACK, task, &[])
}

/// Encodes what a client is told about a running task that is over for it.
pub fn task_end(task: TaskId, end: TaskEnd) -> Vec<u8> {
    match end {
        TaskEnd::Released(cause) => release(task, cause, None),
        TaskEnd::Migrated => message(kind::MIGRATE, task, &[]),
    }
}

/// Encodes the result of a health check ("tested" on the wire).
pub fn health_check_result(task: TaskId, is_healthy: bool) -> Vec<u8> {
    let result = (code::CAUSE, &[u8::from(is_healthy)][..]);
    message(kind::HEALTH_CHECK_RESULT, task, &[result])
}

#[cfg(test)]
mod tests;
