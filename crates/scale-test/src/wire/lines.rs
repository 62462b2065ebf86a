//! The JSON lines that placers and workers exchange.

use super::{MAX_MESSAGE_BYTES, WireError};
use crate::identity::SetupId;
use serde::Deserialize;
use std::borrow::Cow;
use std::io::Write;

/// What a placer says to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacerLine {
    /// A task is offered.
    Offer(Offer),
    /// An offer is given up, or a task that stands is ended.
    Release {
        /// The set-up.
        id: SetupId,
    },
    /// The end of a task was heard.
    EndAcknowledged {
        /// The set-up.
        id: SetupId,
    },
    /// A test of the connection.
    HealthCheck {
        /// The id to answer with.
        id: SetupId,
    },
    /// A message that asks for nothing.
    Other,
}

/// A task that is offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The set-up.
    pub id: SetupId,
    /// The key of the task.
    pub key: u64,
    /// What the client wrote for the worker.
    pub description: String,
}

/// Why a worker refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoCapacity {
    /// Not enough cores.
    Cores,
    /// Not enough memory.
    Memory,
}

impl NoCapacity {
    fn note(self) -> &'static str {
        match self {
            NoCapacity::Cores => "nc",
            NoCapacity::Memory => "nm",
        }
    }
}

#[derive(Deserialize)]
struct RawLine<'a> {
    #[serde(borrow)]
    t: Cow<'a, str>,
    #[serde(borrow, rename = "ref")]
    id: Cow<'a, str>,
    #[serde(borrow, default)]
    f: RawFields<'a>,
    #[serde(borrow, default)]
    d: Option<Cow<'a, str>>,
}

#[derive(Deserialize, Default)]
struct RawFields<'a> {
    #[serde(borrow, default)]
    key: Option<Cow<'a, str>>,
}

/// Reads one line, without its line feed.
///
/// # Errors
///
/// Returns an error if the line is not a message of the protocol.
pub fn read(line: &[u8]) -> Result<PlacerLine, WireError> {
    let raw: RawLine<'_> = serde_json::from_slice(line).map_err(|_| WireError::BadJson)?;
    let id = SetupId::parse(&raw.id).ok_or(WireError::BadField("ref"))?;
    Ok(match &*raw.t {
        "new" => {
            let key = raw
                .f
                .key
                .as_deref()
                .and_then(|key| u64::from_str_radix(key, 16).ok());
            PlacerLine::Offer(Offer {
                id,
                key: key.ok_or(WireError::BadField("key"))?,
                description: raw.d.ok_or(WireError::BadField("d"))?.into_owned(),
            })
        }
        "down" => PlacerLine::Release { id },
        "ack" => PlacerLine::EndAcknowledged { id },
        "hb" => PlacerLine::HealthCheck { id },
        _ => PlacerLine::Other,
    })
}

/// The end of the first line of these bytes, if it has come whole.
///
/// # Errors
///
/// Returns [`WireError::TooLong`] if the first line exceeds the longest message.
pub fn line_end(bytes: &[u8]) -> Result<Option<usize>, WireError> {
    match bytes.iter().position(|byte| *byte == b'\n') {
        Some(end) if end < MAX_MESSAGE_BYTES => Ok(Some(end)),
        None if bytes.len() < MAX_MESSAGE_BYTES => Ok(None),
        _ => Err(WireError::TooLong),
    }
}

/// Writes that a task stands. The description needs no escapes in JSON.
pub fn up(out: &mut Vec<u8>, id: SetupId, description: &str) {
    line(
        out,
        format_args!(r#"{{"t":"up","ref":"{id}","f":{{}},"d":"{description}"}}"#),
    );
}

/// Writes that a worker is full.
pub fn full(out: &mut Vec<u8>, id: SetupId, why: NoCapacity) {
    let (note, cause) = (why.note(), super::cause::FULL);
    line(
        out,
        format_args!(r#"{{"t":"down","ref":"{id}","f":{{"note":"{note}"}},"c":{cause}}}"#),
    );
}

/// Writes the end of a task, or an error.
pub fn down(out: &mut Vec<u8>, id: SetupId, cause: u8) {
    line(
        out,
        format_args!(r#"{{"t":"down","ref":"{id}","f":{{}},"c":{cause}}}"#),
    );
}

/// Writes that a test has passed.
pub fn health_check_passed(out: &mut Vec<u8>, id: SetupId) {
    line(
        out,
        format_args!(r#"{{"t":"hb_ok","ref":"{id}","f":{{}},"c":1}}"#),
    );
}

fn line(out: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    // Writing to memory does not fail.
    let _ = writeln!(out, "{text}");
}
