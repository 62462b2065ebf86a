//! Estimates what a run needs of the machine, and rejects a run that needs too much.
//!
//! The estimates are high on purpose: a rejected run can be made smaller, but a run that exhausts memory or
//! descriptors measures nothing and disturbs everything else on the machine.

use std::fmt;
use std::io;

use procfs::{Current, Meminfo};
use rustix::process::{Resource, getrlimit};
use thiserror::Error;

use crate::sample::io_error;
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// The largest number of processes of a run, this one included.
pub const MAX_PROCESSES: u64 = 300;

/// A run may need the machine's memory divided by this. The rest is for the system, its cache, and errors of the
/// estimate.
pub const MEMORY_DIVISOR: u64 = 2;

const BYTES_PER_KB: u64 = 1024;
const KB_PER_MB: u64 = 1024;
const KB_PER_GIB: f64 = 1024.0 * 1024.0;

/// Memory of this process without peers.
const MEMORY_KB_OWN: u64 = 64 * KB_PER_MB;

/// Memory of a placer that knows no worker: its program, buffers and allocator.
const MEMORY_KB_PLACER: u64 = 32 * KB_PER_MB;

/// Memory of a hollow worker in this process.
const MEMORY_KB_WORKER: u64 = 4;

/// Memory of a worker in the list of one placer.
const MEMORY_KB_LISTED_WORKER: u64 = 4;

/// Memory of a running task, in its placer, its worker and its client together.
const MEMORY_KB_RUNNING_TASK: u64 = 8;

/// Memory of a connection: the buffers of the programs at both ends and of the system's two sockets.
const MEMORY_KB_CONNECTION: u64 = 64;

/// Descriptors of this process that belong to no connection and no placer: standard streams, the workers'
/// listening socket, event queues, its result files, and samples of `/proc`.
const DESCRIPTORS_OWN: u64 = 64;

/// Descriptors of this process for each placer: its two output pipes, its feed's listening sockets and
/// connections, a listening socket and its handle in the event loop for each of some zones, and its health
/// checks.
const DESCRIPTORS_OWN_PER_PLACER: u64 = 32;

/// The largest number of connections of a placer to one worker.
const CONNECTIONS_PER_WORKER: u64 = 3;

/// A placer reserves its connections divided by this for clients; the rest is for workers.
const CLIENTS_SHARE_DIVISOR: u64 = 3;

/// Descriptors of a placer that are not a worker's or a client's: standard streams, the event queue,
/// listening sockets, its feed, signals.
const DESCRIPTORS_PLACER: u64 = 32;

/// The size of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSize {
    /// Hollow workers, all in this process.
    pub workers: u64,
    /// Placers, each a process.
    pub placers: u64,
    /// Tasks that run at a time, over all placers.
    pub running_tasks: u64,
    /// Connections of clients, over all placers.
    pub connections: u64,
    /// The limit on the connections of a placer, by its configuration.
    pub placer_sockets: u64,
}

/// The estimated need of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Memory of all processes, and of the system for their connections.
    pub memory_kb: u64,
    /// Descriptors of this process.
    pub descriptors_own: u64,
    /// Descriptors of each placer.
    pub descriptors_placer: u64,
    /// Processes, this one included.
    pub processes: u64,
}

impl RunSize {
    /// Returns the size of a run of these settings.
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
    /// Returns the need of a run of these settings. The descriptors of this process are computed by the settings,
    /// because they depend on the number of zones.
    pub fn of_settings(settings: &Settings) -> Need {
        Need {
            descriptors_own: settings.descriptors_needed(),
            ..Need::of(&RunSize::of(settings))
        }
    }

    /// Returns the need of a run of this size. Each placer is assumed to use all its connections to workers.
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

/// Returns the connections of one placer to workers.
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

/// Returns the descriptors of this process, which has one end of every connection.
fn descriptors_own(size: &RunSize, connections: u64) -> u64 {
    let for_placers = size.placers.saturating_mul(DESCRIPTORS_OWN_PER_PLACER);
    sum(&[DESCRIPTORS_OWN, for_placers, connections])
}

/// Returns the descriptors of a placer: its connections to workers and to clients, all of which may use one placer.
fn descriptors_placer(size: &RunSize) -> u64 {
    let connections = worker_connections(size).saturating_add(size.connections);
    DESCRIPTORS_PLACER.saturating_add(connections.min(size.placer_sockets))
}

fn sum(terms: &[u64]) -> u64 {
    terms
        .iter()
        .fold(0, |total, term| total.saturating_add(*term))
}

/// The resources of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// Total memory, used or not.
    pub memory_kb: u64,
    /// The soft limit on the descriptors of this process, which its children inherit; `None` if unlimited.
    pub descriptors: Option<u64>,
}

impl Machine {
    /// Reads `/proc/meminfo` and the descriptor limit of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if the system's memory figures cannot be read.
    pub fn read() -> io::Result<Machine> {
        let memory = Meminfo::current().map_err(io_error)?;
        let descriptors = getrlimit(Resource::Nofile).current;
        Ok(Machine {
            memory_kb: memory.mem_total / BYTES_PER_KB,
            descriptors,
        })
    }
}

/// One resource of which a run needs too much.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Excess {
    /// Memory, against half of the machine's.
    #[error(
        "needs {} of memory, half of the machine is {}: fewer workers, placers or standing tasks",
        Gib(*.needed_kb), Gib(*.allowed_kb)
    )]
    Memory {
        /// What the run needs.
        needed_kb: u64,
        /// What it may need.
        allowed_kb: u64,
    },
    /// Descriptors of this process.
    #[error(
        "needs {needed} descriptors in this process, its limit (ulimit -n) is {allowed}: fewer workers, \
         placers or connections, or a higher limit"
    )]
    DescriptorsOwn {
        /// What the run needs.
        needed: u64,
        /// The soft limit.
        allowed: u64,
    },
    /// Descriptors of a placer.
    #[error(
        "needs {needed} descriptors in each placer, its limit (ulimit -n) is {allowed}: fewer workers or \
         connections, or a higher limit"
    )]
    DescriptorsPlacer {
        /// What a placer needs.
        needed: u64,
        /// The soft limit.
        allowed: u64,
    },
    /// Processes.
    #[error("needs {needed} processes, a run may have {MAX_PROCESSES}: fewer placers")]
    Processes {
        /// What the run needs.
        needed: u64,
    },
}

/// Why a run is rejected: every resource of which it needs too much. Displays as a line for each.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct BudgetError {
    /// The excesses in the order of [`Need`]'s fields, at least one.
    pub excesses: Vec<Excess>,
}

impl fmt::Display for BudgetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.excesses.iter().map(Excess::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Rejects a run that needs over half of the machine's memory, more descriptors than a process may have, or
/// more than [`MAX_PROCESSES`] processes.
///
/// # Errors
///
/// Returns every [`Excess`] if the run needs too much of anything.
pub fn check(need: &Need, machine: &Machine) -> Result<(), BudgetError> {
    let checks = [
        memory_excess(need, machine),
        descriptors_here_excess(need, machine),
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

fn descriptors_here_excess(need: &Need, machine: &Machine) -> Option<Excess> {
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
