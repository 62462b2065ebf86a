//! The records that emulated hosts keep, for tests to check placers against.

use std::collections::BTreeMap;
use std::time::Instant;

/// The start of a task on a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStart {
    /// The idempotency key of the task.
    pub key: String,
    /// The class of the task.
    pub class: String,
    /// The id of the request that the offer was made for.
    pub id: String,
    /// The time at which the task started.
    pub at: Instant,
}

/// The records that all hosts of a test share.
#[derive(Debug, Default)]
pub struct HostRecords {
    /// All starts of tasks, in the order of recording.
    pub starts: Vec<TaskStart>,
    /// The number of offers rejected for lack of capacity.
    pub rejected: usize,
    /// The number of offers received.
    pub offers: usize,
    /// The number of running tasks that a placer stopped.
    pub stopped: usize,
}

impl HostRecords {
    /// Returns the idempotency keys of the tasks of a class that were started more than once.
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
