//! The ids of workers, placers, zones, tasks and requests, and their formats on the wire.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr};

/// The address of worker 0, which is 127.16.0.0. The other workers have the addresses after it, within 127.0.0.0/8.
const FIRST_ADDRESS: u32 = 0x7f10_0000;
/// The maximum number of workers in a run.
pub const MAX_WORKERS: u32 = 16_384;
/// The number of low bits of a request id that hold the task's index plus 1. The higher bits hold the attempt.
const INDEX_BITS: u32 = 40;
/// The idempotency key of task 0. It is far above all request ids, so that no key equals an id.
const FIRST_KEY: u64 = 0xa000_0000_0000_0000;

/// A simulated worker, identified by its index in the list of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

impl WorkerId {
    /// Returns the loopback address at which placers reach the worker.
    pub fn address(self) -> Ipv4Addr {
        Ipv4Addr::from_bits(FIRST_ADDRESS + self.0)
    }

    /// Returns the worker with an address, if it is one of the first `workers` workers.
    pub fn from_address(address: IpAddr, workers: u32) -> Option<WorkerId> {
        let IpAddr::V4(address) = address else {
            return None;
        };
        let index = address.to_bits().checked_sub(FIRST_ADDRESS)?;
        (index < workers).then_some(WorkerId(index))
    }

    /// Parses a worker's name, such as `w00012`.
    pub fn from_name(name: &str) -> Option<WorkerId> {
        name.strip_prefix('w')
            .and_then(|digits| digits.parse().ok())
            .map(WorkerId)
    }

    /// Returns the index among the workers.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// Returns the worker's zone among `zones` zones. Workers are assigned to zones in turn.
    pub fn zone(self, zones: u32) -> ZoneId {
        ZoneId(self.0 % zones.max(1))
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "w{:05}", self.0)
    }
}

/// A zone, identified by its index in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A placer process, identified by its index among the placers of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlacerId(pub u16);

impl PlacerId {
    /// Returns the index among the placers.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for PlacerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p{}", self.0)
    }
}

/// A task, identified by its index in the run. All its attempts have the same idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskIndex(pub u32);

impl TaskIndex {
    /// Returns the index among the tasks.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// Returns the idempotency key, which identifies the task at every worker.
    pub fn key(self) -> u64 {
        FIRST_KEY + u64::from(self.0)
    }

    /// Returns the task with an idempotency key.
    pub fn from_key(key: u64) -> Option<TaskIndex> {
        key.checked_sub(FIRST_KEY)
            .and_then(|index| u32::try_from(index).ok())
            .map(TaskIndex)
    }
}

/// The id of a client's request to place a task. Each attempt for a task has its own id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl RequestId {
    /// Returns the id for an attempt of a task. It is never 0.
    pub fn new(task: TaskIndex, attempt: u8) -> RequestId {
        RequestId((u64::from(attempt) << INDEX_BITS) | (u64::from(task.0) + 1))
    }

    /// Returns the task and the attempt of the id, or `None` if [`RequestId::new`] never returns this id.
    pub fn parts(self) -> Option<(TaskIndex, u8)> {
        let index_bits = self.0 & ((1 << INDEX_BITS) - 1);
        let index = u32::try_from(index_bits.checked_sub(1)?).ok()?;
        Some((TaskIndex(index), u8::try_from(self.0 >> INDEX_BITS).ok()?))
    }

    /// Parses an id from 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<RequestId> {
        (text.len() == 16)
            .then(|| u64::from_str_radix(text, 16).ok())
            .flatten()
            .map(RequestId)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

#[cfg(test)]
mod tests;
