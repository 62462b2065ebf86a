//! The ids of workers, placers, zones and tasks, and their forms on the wire.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr};

/// The address of worker 0, 127.16.0.0; the others follow it within 127.0.0.0/8.
const FIRST_ADDRESS: u32 = 0x7f10_0000;
/// The largest number of workers of a run.
pub const MAX_WORKERS: u32 = 16_384;
/// The number of bits of a set-up id that contain the task's index; the higher bits contain the attempt.
const INDEX_BITS: u32 = 40;
/// The key of task 0. Far above all ids, so that keys and ids differ.
const FIRST_KEY: u64 = 0xa000_0000_0000_0000;

/// A hollow worker, by its index in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

impl WorkerId {
    /// Returns the loopback address at which placers reach the worker.
    pub fn address(self) -> Ipv4Addr {
        Ipv4Addr::from_bits(FIRST_ADDRESS + self.0)
    }

    /// Returns the worker with an address, if it is one of so many workers.
    pub fn from_address(address: IpAddr, workers: u32) -> Option<WorkerId> {
        let IpAddr::V4(address) = address else {
            return None;
        };
        let index = address.to_bits().checked_sub(FIRST_ADDRESS)?;
        (index < workers).then_some(WorkerId(index))
    }

    /// Returns the worker with a name.
    pub fn from_name(name: &str) -> Option<WorkerId> {
        name.strip_prefix('w')
            .and_then(|digits| digits.parse().ok())
            .map(WorkerId)
    }

    /// Returns the index among the workers.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// Returns the zone. Workers are assigned to zones in turn.
    pub fn zone(self, zones: u32) -> ZoneId {
        ZoneId(self.0 % zones.max(1))
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "w{:05}", self.0)
    }
}

/// A zone, by its index in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A real placer, by its index among those of the run.
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

/// A task, by its index in the run. All its attempts have the same idempotency key.
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

    /// Returns the task with a key.
    pub fn from_key(key: u64) -> Option<TaskIndex> {
        key.checked_sub(FIRST_KEY)
            .and_then(|index| u32::try_from(index).ok())
            .map(TaskIndex)
    }
}

/// One set-up of a task. Each attempt of the client has an id of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl RequestId {
    /// Returns the id of an attempt of a task, which is never 0.
    pub fn new(task: TaskIndex, attempt: u8) -> RequestId {
        RequestId((u64::from(attempt) << INDEX_BITS) | (u64::from(task.0) + 1))
    }

    /// Returns the task and the attempt.
    pub fn parts(self) -> Option<(TaskIndex, u8)> {
        let index_bits = self.0 & ((1 << INDEX_BITS) - 1);
        let index = u32::try_from(index_bits.checked_sub(1)?).ok()?;
        Some((TaskIndex(index), u8::try_from(self.0 >> INDEX_BITS).ok()?))
    }

    /// Reads an id from 16 hex digits.
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
