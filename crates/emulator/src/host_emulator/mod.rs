//! Hosts and feeds that run by themselves, for tests of whole deployments.
//!
//! A host starts offered tasks after a start time, ends them after their run time, rejects offers beyond its
//! capacity, and records what a test checks the placers against: which task started when, and whether a
//! non-idempotent one started twice. Scripted hosts are [`Host`]; hosts with queues, slow starts and faults are
//! those of [`cluster`](crate::cluster).

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

/// How an emulated host behaves.
#[derive(Debug, Clone)]
pub struct HostBehavior {
    /// Time from an offer to the start of the task.
    pub start_time: Duration,
    /// Time from the start to the end of the task; each task's own differs by up to half of it.
    pub run_time: Duration,
    /// Tasks at a time; offers beyond them are rejected.
    pub capacity: usize,
}

/// A host that runs by itself until it is dropped.
pub struct EmulatedHost {
    host: Host,
    stop: Arc<AtomicBool>,
    free_capacity: Arc<AtomicU64>,
}

impl EmulatedHost {
    /// Starts a host.
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

    /// Returns its entry in the endpoint list.
    pub fn entry(&self, state: &str) -> OwnedValue {
        self.host.entry(state, 0)
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.host.name
    }

    /// Sets how many more tasks it takes.
    pub fn set_free_capacity(&self, capacity: usize) {
        self.free_capacity.store(capacity as u64, Ordering::Relaxed);
    }
}

impl Drop for EmulatedHost {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
