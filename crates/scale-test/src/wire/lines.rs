//! Codec of the JSON lines that placers and workers exchange. The names in the JSON are those of the protocol.

use super::{MAX_MESSAGE_BYTES, WireError};
use crate::identity::RequestId;
use serde::Deserialize;
use std::borrow::Cow;
use std::io::Write;

/// A message from a placer to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacerLine {
    /// The offer of a task.
    Offer(Offer),
    /// The withdrawal of an offer, or the cancellation of a running task.
    Release {
        /// The id of the request.
        id: RequestId,
    },
    /// The acknowledgement of the end of a task.
    EndAcknowledged {
        /// The id of the request.
        id: RequestId,
    },
    /// A health check of the connection.
    HealthCheck {
        /// The id of the health check, which the reply repeats.
        id: RequestId,
    },
    /// A message that needs no reply.
    Other,
}

/// The offer of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The id of the request.
    pub id: RequestId,
    /// The idempotency key of the task.
    pub key: u64,
    /// The description that the client wrote for the worker.
    pub description: String,
}

/// The resource of which a worker has too little left for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoCapacity {
    /// The worker has not enough free cores.
    Cores,
    /// The worker has not enough free memory.
    Memory,
}

impl NoCapacity {
    /// Returns the protocol's code for the `note` field.
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

/// Decodes one line, given without its line feed.
///
/// # Errors
///
/// Returns an error if the line is not a message of the protocol.
pub fn read(line: &[u8]) -> Result<PlacerLine, WireError> {
    let raw: RawLine<'_> = serde_json::from_slice(line).map_err(|_| WireError::BadJson)?;
    let id = RequestId::parse(&raw.id).ok_or(WireError::BadField("ref"))?;
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

/// Returns the index of the first line feed, or `None` if the first line is not complete yet.
///
/// # Errors
///
/// Returns [`WireError::TooLong`] if the first line is longer than a message may be.
pub fn line_end(bytes: &[u8]) -> Result<Option<usize>, WireError> {
    match bytes.iter().position(|byte| *byte == b'\n') {
        Some(end) if end < MAX_MESSAGE_BYTES => Ok(Some(end)),
        None if bytes.len() < MAX_MESSAGE_BYTES => Ok(None),
        _ => Err(WireError::TooLong),
    }
}

/// Appends the message that a task has started. The description must not contain characters that JSON escapes.
pub fn write_task_started(out: &mut Vec<u8>, id: RequestId, description: &str) {
    write_line(
        out,
        format_args!(r#"{{"t":"up","ref":"{id}","f":{{}},"d":"{description}"}}"#),
    );
}

/// Appends the message that a worker refuses a task because it lacks a resource.
pub fn write_no_capacity(out: &mut Vec<u8>, id: RequestId, lacking: NoCapacity) {
    let note = lacking.note();
    let cause = super::cause::FULL;
    write_line(
        out,
        format_args!(r#"{{"t":"down","ref":"{id}","f":{{"note":"{note}"}},"c":{cause}}}"#),
    );
}

/// Appends the message that a task has ended or an offer has failed, with the cause.
pub fn write_release(out: &mut Vec<u8>, id: RequestId, cause: u8) {
    write_line(
        out,
        format_args!(r#"{{"t":"down","ref":"{id}","f":{{}},"c":{cause}}}"#),
    );
}

/// Appends the message that a health check has passed.
pub fn write_health_check_passed(out: &mut Vec<u8>, id: RequestId) {
    write_line(
        out,
        format_args!(r#"{{"t":"hb_ok","ref":"{id}","f":{{}},"c":1}}"#),
    );
}

fn write_line(out: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    // Writing to a `Vec` never fails.
    let _ = writeln!(out, "{text}");
}
