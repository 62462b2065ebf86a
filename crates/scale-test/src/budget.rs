//! Estimates the resources that a run needs, and rejects a run that needs more than the machine allows.
//!
//! The estimates are deliberately high: a rejected run can be made smaller, but a run that exhausts memory or
//! descriptors yields no measurements and disturbs everything else on the machine.

use std::fmt;
use std::io;

use procfs::{Current, Meminfo};
use rustix::process::{Resource, getrlimit};
use thiserror::Error;

use crate::sample::io_error;
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// The largest number of processes of a run, including this one.
pub const MAX_PROCESSES: u64 = 300;

/// The divisor of the machine's memory that gives the memory a run may need. The rest is left for the system, its
/// cache, and errors of the estimate.
pub const MEMORY_DIVISOR: u64 = 2;

const BYTES_PER_KB: u64 = 1024;
const KB_PER_MB: u64 = 1024;
const KB_PER_GIB: f64 = 1024.0 * 1024.0;

/// Memory of this process without simulated workers and clients, in kB.
const MEMORY_KB_OWN: u64 = 64 * KB_PER_MB;

/// Memory of a placer that knows no workers, in kB: its program, buffers and allocator.
const MEMORY_KB_PLACER: u64 = 32 * KB_PER_MB;

/// Memory of a simulated worker in this process, in kB.
const MEMORY_KB_WORKER: u64 = 4;

/// Memory of a worker in the endpoint list of one placer, in kB.
const MEMORY_KB_LISTED_WORKER: u64 = 4;

/// Memory of a running task in its placer, its worker and its client together, in kB.
const MEMORY_KB_RUNNING_TASK: u64 = 8;

/// Memory of a connection, in kB: the buffers of the programs at both ends and of the kernel's two sockets.
const MEMORY_KB_CONNECTION: u64 = 64;

/// Descriptors of this process that belong to no connection and no placer: standard streams, the workers' listening
/// socket, event queues, result files, and the files of `/proc` that are sampled.
const DESCRIPTORS_OWN: u64 = 64;

/// Descriptors of this process for each placer: the placer's two output pipes, the listening sockets and connections of
/// its feed, a listening socket and its handle in the event loop for each of some zones, and its health checks.
const DESCRIPTORS_OWN_PER_PLACER: u64 = 32;

/// The largest number of connections from one placer to one worker.
const CONNECTIONS_PER_WORKER: u64 = 3;

/// The divisor of a placer's connection limit that gives the connections reserved for clients. The rest is for workers.
const CLIENTS_SHARE_DIVISOR: u64 = 3;

/// Descriptors of a placer that are not connections to workers or clients: standard streams, the event queue, listening
/// sockets, the feed and signals.
const DESCRIPTORS_PLACER: u64 = 32;

/// The numbers that determine the resources that a run needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSize {
    /// The number of simulated workers, all in this process.
    pub workers: u64,
    /// The number of placers, each in a process of its own.
    pub placers: u64,
    /// The number of tasks that run at a time, over all placers.
    pub running_tasks: u64,
    /// The number of client connections, over all placers.
    pub connections: u64,
    /// The limit on the connections of a placer that its configuration sets.
    pub placer_sockets: u64,
}

/// The estimated resources that a run needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Memory of all processes and of the kernel for their connections, in kB.
    pub memory_kb: u64,
    /// Open descriptors of this process.
    pub descriptors_own: u64,
    /// Open descriptors of each placer.
    pub descriptors_placer: u64,
    /// The number of processes, including this one.
    pub processes: u64,
}

impl RunSize {
    /// Returns the size of a run with these settings.
    pub fn of(settings: &Settings) -> RunSize {
        let placers = u64::from(settings.placers);
        RunSize {
            workers: u64::from(settings.workers),
            placers,
            running_tasks: u64::from(settings.running_tasks),
            connections: placers * u64::from(settings.client_connections),
            placer_sockets: settings.placer_sockets,
        }
    }
}

impl Need {
    /// Returns the resources that a run with these settings needs. [`Settings::descriptors_needed`] computes the
    /// descriptors of this process, because they depend on the number of zones.
    pub fn of_settings(settings: &Settings) -> Need {
        Need {
            descriptors_own: settings.descriptors_needed(),
            ..Need::of(&RunSize::of(settings))
        }
    }

    /// Returns the resources that a run of this size needs. Each placer is assumed to use all its connections to
    /// workers.
    pub fn of(size: &RunSize) -> Need {
        let worker_connections = size.placers.saturating_mul(worker_connections(size));
        let connections = worker_connections.saturating_add(size.connections);
        Need {
            memory_kb: memory_kb(size, connections),
            descriptors_own: descriptors_own(size, connections),
            descriptors_placer: descriptors_placer(size),
            processes: size.placers.saturating_add(1),
        }
    }
}

/// Returns the largest number of connections from one placer to workers.
fn worker_connections(size: &RunSize) -> u64 {
    let allowed = size.placer_sockets - size.placer_sockets / CLIENTS_SHARE_DIVISOR;
    size.workers
        .saturating_mul(CONNECTIONS_PER_WORKER)
        .min(allowed)
}

fn memory_kb(size: &RunSize, connections: u64) -> u64 {
    let listed_workers = size.placers.saturating_mul(size.workers);
    sum(&[
        MEMORY_KB_OWN,
        size.placers.saturating_mul(MEMORY_KB_PLACER),
        size.workers.saturating_mul(MEMORY_KB_WORKER),
        listed_workers.saturating_mul(MEMORY_KB_LISTED_WORKER),
        size.running_tasks.saturating_mul(MEMORY_KB_RUNNING_TASK),
        connections.saturating_mul(MEMORY_KB_CONNECTION),
    ])
}

/// Returns the number of descriptors of this process, which holds one end of every connection.
fn descriptors_own(size: &RunSize, connections: u64) -> u64 {
    let for_placers = size.placers.saturating_mul(DESCRIPTORS_OWN_PER_PLACER);
    sum(&[DESCRIPTORS_OWN, for_placers, connections])
}

/// Returns the number of descriptors of a placer, which include its connections to workers and to clients. All clients
/// may connect to the same placer.
fn descriptors_placer(size: &RunSize) -> u64 {
    let connections = worker_connections(size).saturating_add(size.connections);
    DESCRIPTORS_PLACER.saturating_add(connections.min(size.placer_sockets))
}

fn sum(terms: &[u64]) -> u64 {
    terms
        .iter()
        .fold(0, |total, term| total.saturating_add(*term))
}

/// The resources of the machine that limit a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// Total memory, whether used or free, in kB.
    pub memory_kb: u64,
    /// The soft limit on the descriptors of this process, which its children inherit; `None` if unlimited.
    pub descriptors: Option<u64>,
}

impl Machine {
    /// Reads `/proc/meminfo` and the descriptor limit of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if `/proc/meminfo` cannot be read.
    pub fn read() -> io::Result<Machine> {
        let memory = Meminfo::current().map_err(io_error)?;
        let descriptors = getrlimit(Resource::Nofile).current;
        Ok(Machine {
            memory_kb: memory.mem_total / BYTES_PER_KB,
            descriptors,
        })
    }
}

/// A resource of which a run needs more than it may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Excess {
    /// The run needs more than half of the machine's memory.
    #[error(
        "needs {} of memory, half of the machine is {}: use fewer workers, placers or running tasks",
        Gib(*.needed_kb), Gib(*.allowed_kb)
    )]
    Memory {
        /// The memory that the run needs, in kB.
        needed_kb: u64,
        /// The memory that the run may need, in kB.
        allowed_kb: u64,
    },
    /// This process needs more descriptors than its limit allows.
    #[error(
        "needs {needed} descriptors in this process, its limit (ulimit -n) is {allowed}: use fewer workers, \
         placers or connections, or raise the limit"
    )]
    DescriptorsOwn {
        /// The number of descriptors that this process needs.
        needed: u64,
        /// The soft limit.
        allowed: u64,
    },
    /// A placer needs more descriptors than its limit allows.
    #[error(
        "needs {needed} descriptors in each placer, its limit (ulimit -n) is {allowed}: use fewer workers or \
         connections, or raise the limit"
    )]
    DescriptorsPlacer {
        /// The number of descriptors that a placer needs.
        needed: u64,
        /// The soft limit.
        allowed: u64,
    },
    /// The run needs more than [`MAX_PROCESSES`] processes.
    #[error("needs {needed} processes, a run may have at most {MAX_PROCESSES}: use fewer placers")]
    Processes {
        /// The number of processes that the run needs.
        needed: u64,
    },
}

/// Why a run is rejected: every resource of which it needs too much. It is displayed as one line per resource.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct BudgetError {
    /// At least one excess, in the order of the fields of [`Need`].
    pub excesses: Vec<Excess>,
}

impl fmt::Display for BudgetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.excesses.iter().map(Excess::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Rejects a run that needs more than half of the machine's memory, more descriptors than a process may have, or more
/// than [`MAX_PROCESSES`] processes.
///
/// # Errors
///
/// Returns every [`Excess`] if the run needs too much of any resource.
pub fn check(need: &Need, machine: &Machine) -> Result<(), BudgetError> {
    let checks = [
        memory_excess(need, machine),
        descriptors_own_excess(need, machine),
        descriptors_placer_excess(need, machine),
        processes_excess(need),
    ];
    let excesses: Vec<Excess> = checks.into_iter().flatten().collect();
    if excesses.is_empty() {
        Ok(())
    } else {
        Err(BudgetError { excesses })
    }
}

fn memory_excess(need: &Need, machine: &Machine) -> Option<Excess> {
    let allowed_kb = machine.memory_kb / MEMORY_DIVISOR;
    let needed_kb = need.memory_kb;
    (needed_kb > allowed_kb).then_some(Excess::Memory {
        needed_kb,
        allowed_kb,
    })
}

fn descriptors_own_excess(need: &Need, machine: &Machine) -> Option<Excess> {
    let allowed = machine.descriptors?;
    let needed = need.descriptors_own;
    (needed > allowed).then_some(Excess::DescriptorsOwn { needed, allowed })
}

fn descriptors_placer_excess(need: &Need, machine: &Machine) -> Option<Excess> {
    let allowed = machine.descriptors?;
    let needed = need.descriptors_placer;
    (needed > allowed).then_some(Excess::DescriptorsPlacer { needed, allowed })
}

fn processes_excess(need: &Need) -> Option<Excess> {
    let needed = need.processes;
    (needed > MAX_PROCESSES).then_some(Excess::Processes { needed })
}

/// Memory in kilobytes, displayed in GiB.
struct Gib(u64);

impl fmt::Display for Gib {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} GiB", self.0 as f64 / KB_PER_GIB)
    }
}
