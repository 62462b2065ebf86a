//! The lines of the control feed.
//!
//! Writes events as JSON, and reads the subscription of a placer. The names in the JSON are those of the protocol.

use crate::identity::WorkerId;
use std::io::Write;

/// The number of workers in a block, the protocol's unit of machines that fail together.
const WORKERS_PER_BLOCK: u32 = 32;
/// The kind of all workers, as the deployment's settings name it.
pub const WORKER_KIND: &str = "plain";

/// The reported state of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListedWorker {
    /// Whether the worker is up; otherwise it was removed.
    pub is_up: bool,
    /// The Unix millisecond at which the worker was started late, or 0.
    pub started_at_unix_ms: u64,
    /// Cores that no task has asked for.
    pub free_cores: f64,
    /// Memory that no task has asked for.
    pub free_memory: f64,
}

/// One entry of an event.
#[derive(Debug, Clone, Copy)]
pub struct Entry<'a> {
    /// The worker.
    pub worker: WorkerId,
    /// The port at which the placer reaches the worker.
    pub port: u16,
    /// The name of the worker's zone.
    pub zone: &'a str,
    /// The state of the worker.
    pub listed: ListedWorker,
}

/// What the entries of an event are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// The workers that have changed.
    Delta,
    /// All workers. A worker that is not among them was removed.
    CompleteList,
}

/// Writes one event, without a line feed.
pub fn write_event<'a>(
    out: &mut Vec<u8>,
    sequence_number: u64,
    kind: EventKind,
    entries: impl Iterator<Item = Entry<'a>>,
) {
    let is_complete = kind == EventKind::CompleteList;
    // Writing to memory does not fail, here and below.
    let _ = write!(
        out,
        r#"{{"n":{sequence_number},"members":{{"seq":{sequence_number},"whole":{is_complete},"hosts":["#
    );
    for (index, entry) in entries.enumerate() {
        if index > 0 {
            out.push(b',');
        }
        write_entry(out, &entry);
    }
    out.extend(b"]}}");
}

/// Writes the line that holds only the sequence number of the last event, without a line feed.
pub fn write_sequence_number(out: &mut Vec<u8>, sequence_number: u64) {
    let _ = write!(out, r#"{{"n":{sequence_number}}}"#);
}

fn write_entry(out: &mut Vec<u8>, entry: &Entry<'_>) {
    let Entry {
        worker,
        port,
        zone,
        listed,
    } = entry;
    let ListedWorker {
        is_up,
        started_at_unix_ms,
        free_cores,
        free_memory,
    } = listed;
    let address = worker.address();
    let block = worker.0 / WORKERS_PER_BLOCK;
    let health = if *is_up { "up" } else { "removed" };
    let _ = write!(
        out,
        r#"{{"host":"{worker}","dial":"{address}:{port}","site":"{zone}","#
    );
    let _ = write!(
        out,
        r#""class":"{WORKER_KIND}","block":{block},"health":"{health}","#
    );
    let _ = write!(
        out,
        r#""share":1,"born_ms":{started_at_unix_ms},"unasked":[{free_cores},{free_memory}]}}"#
    );
}

/// Reads the sequence number in a placer's `SUB N`.
pub fn read_subscription(line: &[u8]) -> Option<u64> {
    let line = std::str::from_utf8(line).ok()?;
    line.strip_prefix("SUB ")?.trim_end().parse().ok()
}
