//! The binary messages of clients: `length:2 type:1 task:8 parameters`, each parameter
//! `code:1 length:2 value`, all big-endian.

use super::{MAX_MESSAGE_BYTES, WireError};
use crate::identity::{SetupId, WorkerId};

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
    pub const KEY: u8 = 141;
    pub const RESOURCES: u8 = 144;
    pub const CAUSE: u8 = 171;
    pub const DESCRIPTION: u8 = 174;
}

/// The id of a test: no task carries it.
const TEST_ID: u64 = u64::MAX;
/// The bytes of a message's length.
const LENGTH_BYTES: usize = 2;
/// The fewest bytes of a message after its length: its type and its task.
const HEADER_BYTES: usize = 9;

/// What a placer says to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacerMessage {
    /// The task stands; the worker's description.
    Answer(String),
    /// A refusal, a failure or the end of a task.
    Release(u8),
    /// The task moves: its client comes again.
    Migrate,
    /// A release of the client was heard.
    EndAcknowledged,
    /// The result of a test.
    HealthChecked {
        /// Whether the placer takes tasks.
        passed: bool,
    },
}

/// A set-up, as a client writes it.
#[derive(Debug, Clone)]
pub struct SetUp<'a> {
    /// Its id.
    pub id: SetupId,
    /// The name of its class.
    pub class: &'a str,
    /// How long the client waits for the answer, in milliseconds.
    pub wait_ms: u64,
    /// The name of its tenant.
    pub tenant: &'a str,
    /// The key of the task.
    pub key: u64,
    /// Cores asked for.
    pub cores: f64,
    /// Memory asked for.
    pub memory: f64,
    /// The service it belongs to.
    pub service: u64,
    /// The worker that holds the task already.
    pub running_at: Option<WorkerId>,
    /// What goes on to the worker.
    pub description: &'a str,
}

/// Writes a set-up.
pub fn write_set_up(out: &mut Vec<u8>, set_up: &SetUp<'_>) {
    let SetUp {
        cores,
        memory,
        service,
        ..
    } = set_up;
    let mut figures = format!("cores:{cores};memory:{memory};service:{service:016x}");
    if let Some(worker) = set_up.running_at {
        figures.push_str(&format!(";at:{worker}"));
    }
    let wait = set_up.wait_ms.to_string();
    let key = format!("{:016x}", set_up.key);
    let parameters = [
        (code::CLASS, set_up.class.as_bytes()),
        (code::WAIT, wait.as_bytes()),
        (code::TENANT, set_up.tenant.as_bytes()),
        (code::KEY, key.as_bytes()),
        (code::RESOURCES, figures.as_bytes()),
        (code::DESCRIPTION, set_up.description.as_bytes()),
    ];
    message(out, kind::SET_UP, set_up.id.0, &parameters);
}

/// Writes that the end of a task was heard.
pub fn write_end_acknowledged(out: &mut Vec<u8>, id: SetupId) {
    message(out, kind::HEARD, id.0, &[]);
}

/// Writes a test.
pub fn write_health_check(out: &mut Vec<u8>) {
    message(out, kind::TEST, TEST_ID, &[(code::CAUSE, &[0])]);
}

fn message(out: &mut Vec<u8>, kind: u8, id: u64, parameters: &[(u8, &[u8])]) {
    let length = HEADER_BYTES
        + parameters
            .iter()
            .map(|(_, value)| 3 + value.len())
            .sum::<usize>();
    out.extend(short(length));
    out.push(kind);
    out.extend(id.to_be_bytes());
    for (code, value) in parameters {
        out.push(*code);
        out.extend(short(value.len()));
        out.extend(*value);
    }
}

/// A length on the wire. What is written here is far shorter than the longest.
fn short(length: usize) -> [u8; LENGTH_BYTES] {
    u16::try_from(length).unwrap_or(u16::MAX).to_be_bytes()
}

/// Reads the first message of these bytes, its task and its length; none if more must come.
///
/// # Errors
///
/// Returns an error if the bytes are not a message of the protocol.
pub fn read(bytes: &[u8]) -> Result<Option<(SetupId, PlacerMessage, usize)>, WireError> {
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
    let id = SetupId(u64::from_be_bytes(*id));
    let message = match *kind {
        kind::ANSWER => PlacerMessage::Answer(description(parameters)?),
        kind::RELEASE => PlacerMessage::Release(one_byte(parameters)?),
        kind::MOVE => PlacerMessage::Migrate,
        kind::HEARD => PlacerMessage::EndAcknowledged,
        kind::TESTED => PlacerMessage::HealthChecked {
            passed: one_byte(parameters)? == 1,
        },
        _ => return Err(WireError::BadField("type")),
    };
    Ok(Some((id, message, LENGTH_BYTES + length)))
}

fn description(parameters: &[u8]) -> Result<String, WireError> {
    let value = find(parameters, code::DESCRIPTION)?.ok_or(WireError::BadField("description"))?;
    let text = std::str::from_utf8(value).map_err(|_| WireError::BadField("description"))?;
    Ok(text.to_string())
}

fn one_byte(parameters: &[u8]) -> Result<u8, WireError> {
    match find(parameters, code::CAUSE)? {
        Some([cause]) => Ok(*cause),
        _ => Err(WireError::BadField("cause")),
    }
}

fn find(mut rest: &[u8], wanted: u8) -> Result<Option<&[u8]>, WireError> {
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
