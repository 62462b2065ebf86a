//! The lines of the control feed.

use crate::identity::WorkerId;
use std::io::Write;

/// Workers that share a block: the machines that fail together.
const WORKERS_IN_A_BLOCK: u32 = 32;
/// The kind of all workers, as the deployment's settings name it.
pub const WORKER_KIND: &str = "plain";

/// A worker as the list shows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListedWorker {
    /// Whether it is there; else it was removed.
    pub up: bool,
    /// The Unix millisecond of a late start, or 0.
    pub born_ms: u64,
    /// Cores that nobody has asked for.
    pub free_cores: f64,
    /// Memory that nobody has asked for.
    pub free_memory: f64,
}

/// One entry to be written.
#[derive(Debug, Clone, Copy)]
pub struct Entry<'a> {
    /// The worker.
    pub worker: WorkerId,
    /// The port at which this placer reaches it.
    pub port: u16,
    /// The name of its zone.
    pub zone: &'a str,
    /// Its state.
    pub listed: ListedWorker,
}

/// Writes one event: its number, whether it holds the whole list, and its entries. No line feed.
pub fn event<'a>(
    out: &mut Vec<u8>,
    number: u64,
    whole: bool,
    entries: impl Iterator<Item = Entry<'a>>,
) {
    let _ = write!(
        out,
        r#"{{"n":{number},"members":{{"seq":{number},"whole":{whole},"hosts":["#
    );
    for (n, entry) in entries.enumerate() {
        if n > 0 {
            out.push(b',');
        }
        write_entry(out, &entry);
    }
    out.extend(b"]}}");
}

/// Writes the line that shows only the number of the last event. No line feed.
pub fn number(out: &mut Vec<u8>, number: u64) {
    let _ = write!(out, r#"{{"n":{number}}}"#);
}

fn write_entry(out: &mut Vec<u8>, entry: &Entry<'_>) {
    let Entry {
        worker,
        port,
        zone,
        listed,
    } = entry;
    let ListedWorker {
        up,
        born_ms,
        free_cores,
        free_memory,
    } = listed;
    let (address, block) = (worker.address(), worker.0 / WORKERS_IN_A_BLOCK);
    let health = if *up { "up" } else { "removed" };
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
        r#""share":1,"born_ms":{born_ms},"unasked":[{free_cores},{free_memory}]}}"#
    );
}

/// The number in a placer's `SUB N`.
pub fn subscription(line: &[u8]) -> Option<u64> {
    let line = std::str::from_utf8(line).ok()?;
    line.strip_prefix("SUB ")?.trim_end().parse().ok()
}
