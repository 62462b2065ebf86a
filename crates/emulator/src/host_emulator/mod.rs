//! Hosts and feeds that run by themselves, for tests of whole deployments.
//!
//! A host starts each offered task after a start time, ends it after its run time, and rejects offers beyond its
//! capacity. It records the starts of all tasks, so that a test can check which task started when, and whether a
//! non-idempotent task started twice. For hosts driven step by step by a test, see [`Host`]; for hosts with queues,
//! slow starts and faults, see [`cluster`](crate::cluster).

mod connection;
mod feed;
mod records;

use crate::Host;
pub use feed::EmulatedFeed;
pub use records::{HostRecords, TaskStart};
use simd_json::OwnedValue;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ACCEPT_INTERVAL: Duration = Duration::from_millis(200);

/// The timing and the capacity of an emulated host.
#[derive(Debug, Clone)]
pub struct HostBehavior {
    /// The time from an offer to the start of its task.
    pub start_time: Duration,
    /// The mean time from the start to the end of a task. The time of each task differs from it by up to half.
    pub run_time: Duration,
    /// The number of tasks that the host accepts at a time. Further offers are rejected.
    pub capacity: usize,
}

/// A host that runs by itself until it is dropped.
pub struct EmulatedHost {
    host: Host,
    stop: Arc<AtomicBool>,
    free_capacity: Arc<AtomicU64>,
}

impl EmulatedHost {
    /// Starts a host that adds to the given records.
    pub fn start(
        name: &str,
        zone: &'static str,
        behavior: HostBehavior,
        records: Arc<Mutex<HostRecords>>,
    ) -> EmulatedHost {
        let host = Host::new(name, zone);
        let stop = Arc::new(AtomicBool::new(false));
        let free_capacity = Arc::new(AtomicU64::new(behavior.capacity as u64));
        let listener = host.listener();
        let (stopped, capacity) = (stop.clone(), free_capacity.clone());
        std::thread::spawn(move || {
            let next_seed = AtomicU64::new(1);
            while !stopped.load(Ordering::Relaxed) {
                let Some(stream) = crate::accept(&listener, ACCEPT_INTERVAL) else {
                    continue;
                };
                let (behavior, records) = (behavior.clone(), records.clone());
                let capacity = capacity.clone();
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                std::thread::spawn(move || {
                    connection::serve(stream, &behavior, &records, &capacity, seed);
                });
            }
        });
        EmulatedHost {
            host,
            stop,
            free_capacity,
        }
    }

    /// Returns the entry of the host in the endpoint list.
    pub fn entry(&self, state: &str) -> OwnedValue {
        self.host.entry(state, 0)
    }

    /// Returns the name of the host.
    pub fn name(&self) -> &str {
        &self.host.name
    }

    /// Sets the number of further tasks that the host accepts.
    pub fn set_free_capacity(&self, capacity: usize) {
        self.free_capacity.store(capacity as u64, Ordering::Relaxed);
    }
}

impl Drop for EmulatedHost {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
