//! Thousands of hollow workers on a few threads.
//!
//! A placer reaches a worker at an address of the worker and a port of the placer and the worker's zone. One
//! listening socket therefore serves all workers of a zone, and the port identifies the calling placer. The
//! state of the workers is in [`fleet::Fleet`], which does no I/O; `thread::WorkerThread` moves messages between
//! it and the connections. Zones share nothing, so each thread owns all workers of some zones.

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

/// A task that runs when the test starts.
#[derive(Debug, Clone, Copy)]
pub struct RunningTask {
    /// The task.
    pub task: TaskIndex,
    /// The worker that runs it.
    pub worker: WorkerId,
    /// The placer that owns it.
    pub placer: PlacerId,
    /// Its resources and its remaining lifetime.
    pub shape: TaskShape,
}

/// A command to the workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Starts the lifetimes of the tasks that run at the start.
    StartLifetimes,
    /// Crashes all workers of a zone.
    CrashZone(ZoneId),
    /// Restores all workers of a zone, with no tasks.
    RestoreZone(ZoneId),
    /// Makes so many workers send invalid bytes on all their connections.
    SendGarbage(u32),
    /// Stops tasks from ending, so that pending ends can be delivered.
    StopEndingTasks,
    /// Stops the thread.
    Stop,
}

/// The present load of the workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerState {
    /// Tasks that start or run.
    pub active_tasks: usize,
    /// Ends that placers have not acknowledged.
    pub unacknowledged: usize,
    /// Open connections of placers.
    pub connections: usize,
}

/// What the workers recorded, and how late they were.
pub struct WorkerReport {
    /// What they recorded.
    pub audit: WorkerAudit,
    /// The time from when an answer was due to when it was sent.
    pub lateness: LatencyHistogram,
}

/// The setup that all workers share.
#[derive(Debug, Clone)]
pub struct WorkerSetup {
    /// The number of workers.
    pub workers: u32,
    /// The number of zones.
    pub zones: u32,
    /// The cores of each worker.
    pub cores: f64,
    /// The memory of each worker.
    pub memory: f64,
    /// The time from an offer to its answer.
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

/// The largest number of threads. More would take processor time from the placers on this machine.
const MAX_THREADS: usize = 4;

/// One thread, which owns the workers of some zones.
struct Group {
    commands: Sender<WorkerCommand>,
    state: Arc<Mutex<WorkerState>>,
    thread: PeerThread<WorkerReport>,
}

/// All hollow workers.
pub struct Workers {
    groups: Vec<Group>,
    ports: Vec<Vec<u16>>,
}

impl Workers {
    /// Starts the workers, with the tasks that run at the start.
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

    /// Returns the ports at which a placer reaches the workers, by zone.
    pub fn ports(&self, placer: PlacerId) -> &[u16] {
        self.ports.get(placer.index()).map_or(&[], Vec::as_slice)
    }

    /// Sends a command: for a zone to the thread that owns it, for garbage to the first, else to all.
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

    /// Returns the present load of all workers.
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

    /// Returns the error on which a worker thread has ended, if one has.
    pub fn failure(&mut self) -> Option<io::Error> {
        self.groups
            .iter_mut()
            .find_map(|group| group.thread.failure())
    }

    /// Stops the workers and returns what they recorded.
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
        // After `stop` the threads have ended already.
        self.groups
            .iter_mut()
            .for_each(|group| drop(group.thread.join()));
    }
}

/// What one thread needs beside its workers.
struct GroupResources {
    counters: Vec<Arc<PlacerCounters>>,
    feeds: Sender<FeedCommand>,
    listeners: Vec<ZoneListener>,
}

impl Group {
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
        // Sent before any placer starts, whose configuration lists the free capacity.
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

/// Returns the number of the thread that owns a zone.
fn group_of(zone: ZoneId, groups: usize) -> usize {
    zone.0 as usize % groups.max(1)
}

/// A socket for the connections of one placer to the workers of one zone.
pub struct ZoneListener {
    /// The placer that connects.
    pub placer: PlacerId,
    /// The zone of the workers.
    pub zone: ZoneId,
    /// The socket.
    pub socket: LoopbackListener,
}

/// Opens the listeners of each placer, by zone.
fn open_listeners(placers: usize, zones: u32) -> io::Result<Vec<Vec<LoopbackListener>>> {
    let for_zones = || (0..zones).map(|_| LoopbackListener::open()).collect();
    (0..placers).map(|_| for_zones()).collect()
}

/// Sorts the listeners by the thread that owns their zone.
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
