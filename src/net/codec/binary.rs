//! The binary messages that clients and placers exchange.
//!
//! `length:2 type:1 task:8 parameters`, each parameter `code:1 length:2 value`, all big-endian.

use super::{MAX_MESSAGE_BYTES, Malformed, TaskId, TaskRequest};
use std::sync::Arc;
use task_placer::HostId;
use task_placer::facade::PlacementRequest;
use task_placer::settings::{millis, parse_number};

mod kind {
    pub const SET_UP: u8 = 1;
    pub const ANSWER: u8 = 9;
    pub const RELEASE: u8 = 12;
    pub const HEARD: u8 = 16;
    pub const MOVE: u8 = 51;
    pub const TEST: u8 = 52;
    pub const TESTED: u8 = 53;
}

mod code {
    pub const CLASS: u8 = 129;
    pub const WAIT: u8 = 132;
    pub const TENANT: u8 = 135;
    pub const RETRY: u8 = 138;
    pub const KEY: u8 = 141;
    pub const FIGURES: u8 = 144;
    pub const STAY_AWAY: u8 = 147;
    pub const CAUSE: u8 = 171;
    pub const DESCRIPTION: u8 = 174;
}

/// What a client says.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientMessage {
    /// A task to place, or one that stands already.
    TaskRequest(Box<TaskRequest>),
    /// A set-up that can't be read; the rest of the connection can.
    InvalidTaskRequest(Malformed),
    /// It gives the set-up up, or ends the task.
    Release(u8),
    /// A test.
    HealthCheck,
    /// It has heard a release.
    ReleaseAck,
    /// A message that asks for nothing.
    Other,
}

/// Reads the first message of `bytes`: its task, its word and its length, or none if more must come.
pub fn read(bytes: &[u8]) -> Result<Option<(TaskId, ClientMessage, usize)>, Malformed> {
    let Some((length, rest)) = bytes.split_first_chunk::<2>() else {
        return Ok(None);
    };
    let length = usize::from(u16::from_be_bytes(*length));
    if length + 2 > MAX_MESSAGE_BYTES {
        return Err(Malformed::TooLong);
    }
    if length < 9 {
        return Err(Malformed::Length);
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let Some((kind, body)) = body.split_first() else {
        return Err(Malformed::Length);
    };
    let Some((task, body)) = body.split_first_chunk::<8>() else {
        return Err(Malformed::Length);
    };
    let parameters = parameters(body)?;
    let word = match *kind {
        kind::SET_UP => match task_request(&parameters) {
            Ok(task_request) => ClientMessage::TaskRequest(Box::new(task_request)),
            Err(why) => ClientMessage::InvalidTaskRequest(why),
        },
        kind::RELEASE => match find(&parameters, code::CAUSE) {
            Some([cause]) => ClientMessage::Release(*cause),
            _ => return Err(Malformed::Field("cause")),
        },
        kind::TEST => ClientMessage::HealthCheck,
        kind::HEARD => ClientMessage::ReleaseAck,
        _ => ClientMessage::Other,
    };
    Ok(Some((TaskId(u64::from_be_bytes(*task)), word, length + 2)))
}

fn parameters(mut rest: &[u8]) -> Result<Vec<(u8, &[u8])>, Malformed> {
    let mut found = Vec::new();
    while let Some((code, after)) = rest.split_first() {
        let (length, after) = after.split_first_chunk::<2>().ok_or(Malformed::Length)?;
        let length = usize::from(u16::from_be_bytes(*length));
        let (value, after) = after.split_at_checked(length).ok_or(Malformed::Length)?;
        found.push((*code, value));
        rest = after;
    }
    Ok(found)
}

fn find<'a>(parameters: &[(u8, &'a [u8])], code: u8) -> Option<&'a [u8]> {
    parameters
        .iter()
        .find(|(c, _)| *c == code)
        .map(|(_, value)| *value)
}

fn task_request(parameters: &[(u8, &[u8])]) -> Result<TaskRequest, Malformed> {
    let text = |code, name| match find(parameters, code).map(std::str::from_utf8) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => Err(Malformed::Field(name)),
    };
    let need = |code, name| text(code, name)?.ok_or(Malformed::Field(name));
    let figures = need(code::FIGURES, "figures")?;
    let figure = |name: &str| {
        let pairs = figures.split(';').filter_map(|pair| pair.split_once(':'));
        pairs
            .into_iter()
            .find(|(n, _)| *n == name)
            .map(|(_, value)| value)
    };
    let amount = |name: &'static str| {
        let value = figure(name).and_then(parse_number).filter(|v| *v >= 0.0);
        value.ok_or(Malformed::Field(name))
    };
    let hex = |text: &str, name| u64::from_str_radix(text, 16).map_err(|_| Malformed::Field(name));
    let at = figure("at").map(|host| HostId(Arc::from(host)));
    let wait = match text(code::WAIT, "wait")? {
        None if at.is_some() => 0.0,
        None => return Err(Malformed::Field("wait")),
        // A day at the most: later sums of times stay far from their limits.
        Some(text) => parse_number(text)
            .ok_or(Malformed::Field("wait"))?
            .clamp(0.0, 86_400_000.0),
    };
    let key = need(code::KEY, "key")?;
    Ok(TaskRequest {
        placement: PlacementRequest {
            class: need(code::CLASS, "class")?.to_string(),
            tenant: text(code::TENANT, "tenant")?.map(str::to_string),
            service: hex(
                figure("service").ok_or(Malformed::Field("service"))?,
                "service",
            )?,
            key: hex(key, "key")?,
            cores: amount("cores")?,
            memory: amount("memory")?,
            time_budget: millis(wait),
            is_retry: text(code::RETRY, "retry")?.is_some_and(|v| v != "0"),
        },
        wait: millis(wait),
        at,
        key: key.to_string(),
        description: text(code::DESCRIPTION, "description")?
            .unwrap_or_default()
            .to_string(),
    })
}

/// Puts a message together. Values come from messages that were short enough themselves.
fn message(kind: u8, task: TaskId, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let length = 9 + parameters
        .iter()
        .map(|(_, value)| 3 + value.len())
        .sum::<usize>();
    let mut bytes = Vec::with_capacity(2 + length);
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

/// The task stands.
pub fn answer(task: TaskId, description: &str) -> Vec<u8> {
    message(
        kind::ANSWER,
        task,
        &[(code::DESCRIPTION, description.as_bytes())],
    )
}

/// A refusal, a failure or the end of a task, with the time to stay away where one is given.
pub fn release(task: TaskId, cause: u8, stay_away_ms: Option<u64>) -> Vec<u8> {
    let away = stay_away_ms.map(|ms| ms.to_string());
    let mut parameters = vec![(code::CAUSE, std::slice::from_ref(&cause))];
    parameters.extend(away.as_ref().map(|ms| (code::STAY_AWAY, ms.as_bytes())));
    message(kind::RELEASE, task, &parameters)
}

/// The client's release was heard.
pub fn heard(task: TaskId) -> Vec<u8> {
    message(kind::HEARD, task, &[])
}

/// The task moves: its client comes again.
pub fn moved(task: TaskId) -> Vec<u8> {
    message(kind::MOVE, task, &[])
}

/// A test's result.
pub fn tested(task: TaskId, passed: bool) -> Vec<u8> {
    message(kind::TESTED, task, &[(code::CAUSE, &[u8::from(passed)])])
}

#[cfg(test)]
mod tests;
