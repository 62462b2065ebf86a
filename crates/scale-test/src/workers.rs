//! Simulates thousands of workers on a few threads.
//!
//! Each worker has its own loopback address, and each pair of a placer and a zone has its own port. One listening
//! socket therefore serves all workers of a zone for one placer, and the port identifies the connecting placer. The
//! state of the workers is in [`fleet::Fleet`], which does no I/O; `thread::WorkerThread` moves messages between
//! the fleet and the connections. Zones share no state, so each thread owns all workers of some zones.

mod connections;
pub mod fleet;
mod replies;
mod task_records;
mod thread;

pub use task_records::{WorkerAudit, WorkerTaskRecord};

use crate::feeds::FeedCommand;
use crate::identity::{PlacerId, TaskIndex, WorkerId, ZoneId};
use crate::listener::LoopbackListener;
use crate::mailbox::{self, Sender};
use crate::peer_thread::PeerThread;
use crate::settings::Settings;
use crate::timing::LatencyHistogram;
use crate::traffic::PlacerCounters;
use crate::wire::description::TaskShape;
use mio::Poll;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A task that already runs at a worker when the test starts.
#[derive(Debug, Clone, Copy)]
pub struct RunningTask {
    /// The index of the task.
    pub task: TaskIndex,
    /// The worker that runs it.
    pub worker: WorkerId,
    /// The placer that owns it.
    pub placer: PlacerId,
    /// The resources and the remaining lifetime of the task.
    pub shape: TaskShape,
}

/// A command to the worker threads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Starts the lifetimes of the tasks that run at the start.
    StartLifetimes,
    /// Crashes all workers of a zone.
    CrashZone(ZoneId),
    /// Restores all workers of a zone, with no tasks.
    RestoreZone(ZoneId),
    /// Makes this number of workers send invalid bytes on all their connections.
    SendGarbage(u32),
    /// Stops tasks from ending by themselves, so that ends that are still pending can be delivered.
    StopEndingTasks,
    /// Stops the thread.
    Stop,
}

/// The current load of the workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerState {
    /// Number of tasks that start or run.
    pub active_tasks: usize,
    /// Number of task ends that placers have not acknowledged.
    pub unacknowledged: usize,
    /// Number of open connections from placers.
    pub connections: usize,
}

/// The records of the workers, and how late their answers were.
pub struct WorkerReport {
    /// The records of all tasks and faults.
    pub audit: WorkerAudit,
    /// The delays between the time when an answer was due and the time when it was sent.
    pub lateness: LatencyHistogram,
}

/// The configuration that all workers share.
#[derive(Debug, Clone)]
pub struct WorkerSetup {
    /// Number of workers.
    pub workers: u32,
    /// Number of zones, over which the workers are distributed evenly.
    pub zones: u32,
    /// Capacity of each worker, in cores.
    pub cores: f64,
    /// Memory capacity of each worker, in the same unit as the memory of tasks.
    pub memory: f64,
    /// Time from an offer to its answer.
    pub start_time: Duration,
}

impl WorkerSetup {
    /// Returns the setup that the settings describe.
    pub fn of(settings: &Settings) -> WorkerSetup {
        WorkerSetup {
            workers: settings.workers,
            zones: settings.zones,
            cores: settings.worker_cores,
            memory: settings.worker_memory,
            start_time: settings.start_time,
        }
    }
}

/// The maximum number of worker threads. More threads would take processor time from the placers on the same machine.
const MAX_THREADS: usize = 4;

/// One thread, which owns the workers of some zones.
struct Group {
    commands: Sender<WorkerCommand>,
    state: Arc<Mutex<WorkerState>>,
    thread: PeerThread<WorkerReport>,
}

/// All simulated workers.
pub struct Workers {
    groups: Vec<Group>,
    /// The listening ports, by placer and zone.
    ports: Vec<Vec<u16>>,
}

impl Workers {
    /// Starts the worker threads. The workers already run the given tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener, an event loop or a thread cannot be created.
    pub fn start(
        setup: &WorkerSetup,
        running_tasks: &[RunningTask],
        counters: &[Arc<PlacerCounters>],
        feeds: &Sender<FeedCommand>,
    ) -> io::Result<Workers> {
        let listeners = open_listeners(counters.len(), setup.zones)?;
        let ports = listeners
            .iter()
            .map(|zones| zones.iter().map(LoopbackListener::port).collect())
            .collect();
        let group_count = MAX_THREADS.min(setup.zones as usize).max(1);
        let mut groups = Vec::new();
        for (number, listeners) in listeners_by_group(listeners, group_count)
            .into_iter()
            .enumerate()
        {
            let in_group = |task: &&RunningTask| {
                group_of(task.worker.zone(setup.zones), group_count) == number
            };
            let tasks_of_group: Vec<RunningTask> =
                running_tasks.iter().filter(in_group).copied().collect();
            let resources = GroupResources {
                counters: counters.to_vec(),
                feeds: feeds.clone(),
                listeners,
            };
            groups.push(Group::start(number, setup, &tasks_of_group, resources)?);
        }
        Ok(Workers { groups, ports })
    }

    /// Returns the ports at which a placer reaches the workers, indexed by zone.
    pub fn ports(&self, placer: PlacerId) -> &[u16] {
        self.ports.get(placer.index()).map_or(&[], Vec::as_slice)
    }

    /// Sends a command to the threads concerned: a command for a zone to the thread that owns the zone,
    /// [`WorkerCommand::SendGarbage`] to the first thread, and any other command to all threads.
    pub fn send(&self, command: WorkerCommand) {
        let only_group = match command {
            WorkerCommand::CrashZone(zone) | WorkerCommand::RestoreZone(zone) => {
                Some(group_of(zone, self.groups.len()))
            }
            WorkerCommand::SendGarbage(_) => Some(0),
            WorkerCommand::StartLifetimes
            | WorkerCommand::StopEndingTasks
            | WorkerCommand::Stop => None,
        };
        self.groups
            .iter()
            .enumerate()
            .filter(|(number, _)| only_group.is_none_or(|only| only == *number))
            .for_each(|(_, group)| group.commands.send(command));
    }

    /// Returns the current load of all workers.
    pub fn state(&self) -> WorkerState {
        let mut total = WorkerState::default();
        for group in &self.groups {
            let state = *group.state.lock().unwrap_or_else(PoisonError::into_inner);
            total.active_tasks += state.active_tasks;
            total.unacknowledged += state.unacknowledged;
            total.connections += state.connections;
        }
        total
    }

    /// Returns the error with which a worker thread has ended, if one has.
    pub fn failure(&mut self) -> Option<io::Error> {
        self.groups
            .iter_mut()
            .find_map(|group| group.thread.failure())
    }

    /// Stops the worker threads and returns their merged records.
    ///
    /// # Errors
    ///
    /// Returns the first error with which a thread ended.
    pub fn stop(mut self) -> io::Result<WorkerReport> {
        self.send(WorkerCommand::Stop);
        let mut merged = WorkerReport {
            audit: WorkerAudit::default(),
            lateness: LatencyHistogram::new()?,
        };
        for group in &mut self.groups {
            let report = group.thread.join()?;
            merged.audit.merge(&report.audit);
            merged.lateness.merge(&report.lateness);
        }
        Ok(merged)
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        self.send(WorkerCommand::Stop);
        // After `stop`, the threads have already ended and joining them has no effect.
        self.groups
            .iter_mut()
            .for_each(|group| drop(group.thread.join()));
    }
}

/// The counters, feeds and listeners that a worker thread uses.
struct GroupResources {
    counters: Vec<Arc<PlacerCounters>>,
    feeds: Sender<FeedCommand>,
    listeners: Vec<ZoneListener>,
}

impl Group {
    /// Starts the thread of a group, and reports the free capacity of its workers to the feeds.
    fn start(
        number: usize,
        setup: &WorkerSetup,
        running_tasks: &[RunningTask],
        resources: GroupResources,
    ) -> io::Result<Group> {
        let GroupResources {
            counters,
            feeds,
            listeners,
        } = resources;
        let poll = Poll::new()?;
        let (commands, received) = mailbox::mailbox(poll.registry(), thread::MAILBOX)?;
        let state = Arc::default();
        let mut fleet = fleet::Fleet::new(setup.clone(), running_tasks);
        // Sent before any placer starts, because the configuration of a placer lists the free capacity.
        feeds.send(FeedCommand::UpdateResources(fleet.take_changed_resources()));
        let shared = thread::Shared {
            counters,
            feeds,
            commands: received,
            state: Arc::clone(&state),
        };
        let running = thread::WorkerThread::new(poll, fleet, listeners, shared)?;
        let thread = PeerThread::spawn(&format!("workers-{number}"), move || running.run())?;
        Ok(Group {
            commands,
            state,
            thread,
        })
    }
}

/// Returns the index of the group that owns a zone.
fn group_of(zone: ZoneId, groups: usize) -> usize {
    zone.0 as usize % groups.max(1)
}

/// A socket for the connections of one placer to the workers of one zone.
pub struct ZoneListener {
    /// The placer that connects to the socket.
    pub placer: PlacerId,
    /// The zone of the workers that the socket serves.
    pub zone: ZoneId,
    /// The listening socket.
    pub socket: LoopbackListener,
}

/// Opens one listener for each placer and zone. The result is indexed by placer, then by zone.
fn open_listeners(placers: usize, zones: u32) -> io::Result<Vec<Vec<LoopbackListener>>> {
    let for_zones = || (0..zones).map(|_| LoopbackListener::open()).collect();
    (0..placers).map(|_| for_zones()).collect()
}

/// Distributes the listeners to the groups that own their zones.
fn listeners_by_group(
    listeners: Vec<Vec<LoopbackListener>>,
    group_count: usize,
) -> Vec<Vec<ZoneListener>> {
    let mut by_group: Vec<Vec<ZoneListener>> = (0..group_count).map(|_| Vec::new()).collect();
    for (placer, zones) in (0_u16..).map(PlacerId).zip(listeners) {
        for (zone, socket) in (0_u32..).map(ZoneId).zip(zones) {
            if let Some(group) = by_group.get_mut(group_of(zone, group_count)) {
                group.push(ZoneListener {
                    placer,
                    zone,
                    socket,
                });
            }
        }
    }
    by_group
}
