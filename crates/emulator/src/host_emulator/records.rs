//! What emulated hosts record, for tests to check placers against.

use std::collections::BTreeMap;
use std::time::Instant;

/// The start of a task on a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStart {
    /// The idempotency key of the task.
    pub key: String,
    /// Its class.
    pub class: String,
    /// The id of the request.
    pub id: String,
    /// When it started.
    pub at: Instant,
}

/// The records of all hosts of a test.
#[derive(Debug, Default)]
pub struct HostRecords {
    /// Every start, in order.
    pub starts: Vec<TaskStart>,
    /// Offers rejected for lack of capacity.
    pub rejected: usize,
    /// Offers received.
    pub offers: usize,
    /// Tasks stopped by a placer.
    pub stopped: usize,
}

impl HostRecords {
    /// Returns the keys of the tasks of a class that started more than once.
    pub fn started_more_than_once(&self, class: &str) -> Vec<String> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for start in self.starts.iter().filter(|start| start.class == class) {
            *counts.entry(&start.key).or_default() += 1;
        }
        counts
            .into_iter()
            .filter(|(_, count)| *count > 1)
            .map(|(key, _)| key.to_string())
            .collect()
    }
}
