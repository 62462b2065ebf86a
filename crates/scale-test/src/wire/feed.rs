//! Codec of the control feed: writes events as lines of JSON, and reads the subscription line of a placer. The names
//! in the JSON are those of the protocol.

use crate::identity::WorkerId;
use std::io::Write;

/// The number of workers in a block, which is the protocol's group of machines that fail together.
const WORKERS_PER_BLOCK: u32 = 32;
/// The host kind of all workers. The deployment's settings list the same name.
pub const WORKER_KIND: &str = "plain";

/// The state of a worker as the feed reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListedWorker {
    /// Whether the worker is up; a worker that is not up is reported as removed.
    pub is_up: bool,
    /// The Unix time in milliseconds at which a restored worker was started, or 0 for a worker that was up from the
    /// start of the run.
    pub started_at_unix_ms: u64,
    /// Cores that no task has requested.
    pub free_cores: f64,
    /// Memory that no task has requested.
    pub free_memory: f64,
}

/// One entry of an event, which reports one worker.
#[derive(Debug, Clone, Copy)]
pub struct Entry<'a> {
    /// The worker.
    pub worker: WorkerId,
    /// The port at which the placer reaches the worker.
    pub port: u16,
    /// The name of the worker's zone.
    pub zone: &'a str,
    /// The reported state of the worker.
    pub listed: ListedWorker,
}

/// Which workers an event lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// Only workers that have changed.
    Delta,
    /// All workers. A worker that is not among them was removed.
    CompleteList,
}

/// Appends one event to `out`, without a line feed.
pub fn write_event<'a>(
    out: &mut Vec<u8>,
    sequence_number: u64,
    kind: EventKind,
    entries: impl Iterator<Item = Entry<'a>>,
) {
    let is_complete = kind == EventKind::CompleteList;
    // Writing to a `Vec` never fails; the same holds for each `write!` below.
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

/// Appends a line that holds only the sequence number of the last event, without its line feed.
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

/// Returns the sequence number N from a placer's subscription line `SUB N`, or `None` if the line is invalid.
pub fn read_subscription(line: &[u8]) -> Option<u64> {
    let line = std::str::from_utf8(line).ok()?;
    line.strip_prefix("SUB ")?.trim_end().parse().ok()
}
