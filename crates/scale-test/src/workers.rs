//! Thousands of hollow workers on a few threads.
//!
//! Each placer reaches each worker at an address of the worker and a port of the placer and the worker's
//! zone, so that one listening socket serves all workers of a zone, and the port tells who calls. What the
//! workers hold is in [`fleet::Fleet`], which knows nothing of sockets; `thread::WorkerThread` moves
//! messages between it and the connections. Zones share nothing, so that each thread has the workers of some
//! zones to itself.

mod connections;
pub mod fleet;
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

/// A task that stands at the start.
#[derive(Debug, Clone, Copy)]
pub struct RunningTask {
    /// Which.
    pub task: TaskIndex,
    /// Where.
    pub worker: WorkerId,
    /// Whose.
    pub placer: PlacerId,
    /// What it holds, and how long it still stands.
    pub shape: TaskShape,
}

/// What the workers are told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Tasks that stand at the start begin to live.
    StartLifetimes,
    /// All workers of a zone vanish.
    CrashZone(ZoneId),
    /// They are back, holding nothing.
    RestoreZone(ZoneId),
    /// So many workers send bytes that are no message on all their connections.
    SendGarbage(u32),
    /// No task ends from now on: what has ended is to be heard.
    StopEndingTasks,
    /// The thread ends.
    Stop,
}

/// What the workers have in hand just now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerState {
    /// Tasks that stand or start.
    pub active_tasks: usize,
    /// Ends that placers have not confirmed.
    pub unacknowledged: usize,
    /// Connections of placers.
    pub connections: usize,
}

/// What the workers noted, and how well they did.
pub struct WorkerReport {
    /// What they noted.
    pub audit: WorkerAudit,
    /// From when an answer was due to when it was sent.
    pub lateness: LatencyHistogram,
}

/// How all workers are set up.
#[derive(Debug, Clone)]
pub struct WorkerSetup {
    /// How many.
    pub workers: u32,
    /// In so many zones.
    pub zones: u32,
    /// The cores of each.
    pub cores: f64,
    /// The memory of each.
    pub memory: f64,
    /// Time from an offer to its answer.
    pub start_time: Duration,
}

impl WorkerSetup {
    /// As the settings say.
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

/// Threads at the most: with more, placers on the same machine have less of it.
const MAX_THREADS: usize = 4;

/// One thread with the workers of some zones.
struct Group {
    orders: Sender<WorkerCommand>,
    state: Arc<Mutex<WorkerState>>,
    thread: PeerThread<WorkerReport>,
}

/// All hollow workers.
pub struct Workers {
    groups: Vec<Group>,
    ports: Vec<Vec<u16>>,
}

impl Workers {
    /// Starts them, with the tasks that stand.
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
        let count = MAX_THREADS.min(setup.zones as usize).max(1);
        let mut dealt: Vec<Vec<ZoneListener>> = (0..count).map(|_| Vec::new()).collect();
        for (placer, zones) in (0_u16..).map(PlacerId).zip(listeners) {
            for (zone, socket) in (0_u32..).map(ZoneId).zip(zones) {
                if let Some(group) = dealt.get_mut(group_of(zone, count)) {
                    group.push(ZoneListener {
                        placer,
                        zone,
                        socket,
                    });
                }
            }
        }
        let mut groups = Vec::new();
        for (number, listeners) in dealt.into_iter().enumerate() {
            let here =
                |task: &&RunningTask| group_of(task.worker.zone(setup.zones), count) == number;
            let running_tasks: Vec<RunningTask> =
                running_tasks.iter().filter(here).copied().collect();
            let shared = GroupParts {
                counters: counters.to_vec(),
                feeds: feeds.clone(),
                listeners,
            };
            groups.push(Group::start(number, setup, &running_tasks, shared)?);
        }
        Ok(Workers { groups, ports })
    }

    /// The port at which a placer reaches the workers of each zone.
    pub fn ports(&self, placer: PlacerId) -> &[u16] {
        self.ports.get(placer.index()).map_or(&[], Vec::as_slice)
    }

    /// Tells them something: of a zone to those who have it, garbage to the first, the rest to all.
    pub fn order(&self, order: WorkerCommand) {
        let only = match order {
            WorkerCommand::CrashZone(zone) | WorkerCommand::RestoreZone(zone) => {
                Some(group_of(zone, self.groups.len()))
            }
            WorkerCommand::SendGarbage(_) => Some(0),
            WorkerCommand::StartLifetimes
            | WorkerCommand::StopEndingTasks
            | WorkerCommand::Stop => None,
        };
        let told = self
            .groups
            .iter()
            .enumerate()
            .filter(|(n, _)| only.is_none_or(|only| only == *n));
        told.for_each(|(_, group)| group.orders.send(order));
    }

    /// What they have in hand.
    pub fn state(&self) -> WorkerState {
        let mut all = WorkerState::default();
        for group in &self.groups {
            let state = *group.state.lock().unwrap_or_else(PoisonError::into_inner);
            all.active_tasks += state.active_tasks;
            all.unacknowledged += state.unacknowledged;
            all.connections += state.connections;
        }
        all
    }

    /// The error on which a thread of theirs has ended, if one has.
    pub fn failure(&mut self) -> Option<io::Error> {
        self.groups
            .iter_mut()
            .find_map(|group| group.thread.failure())
    }

    /// Ends them; what they noted.
    ///
    /// # Errors
    ///
    /// Returns the first error with which a thread ended.
    pub fn stop(mut self) -> io::Result<WorkerReport> {
        self.order(WorkerCommand::Stop);
        let mut all = WorkerReport {
            audit: WorkerAudit::default(),
            lateness: LatencyHistogram::new()?,
        };
        for group in &mut self.groups {
            let report = group.thread.join()?;
            all.audit.add(&report.audit);
            all.lateness.merge(&report.lateness);
        }
        Ok(all)
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        self.order(WorkerCommand::Stop);
        // They have ended already where the run came to its end.
        self.groups
            .iter_mut()
            .for_each(|group| drop(group.thread.join()));
    }
}

/// What one thread takes part with.
struct GroupParts {
    counters: Vec<Arc<PlacerCounters>>,
    feeds: Sender<FeedCommand>,
    listeners: Vec<ZoneListener>,
}

impl Group {
    fn start(
        number: usize,
        setup: &WorkerSetup,
        running_tasks: &[RunningTask],
        parts: GroupParts,
    ) -> io::Result<Group> {
        let GroupParts {
            counters,
            feeds,
            listeners,
        } = parts;
        let poll = Poll::new()?;
        let (orders, taken) = mailbox::mailbox(poll.registry(), thread::MAILBOX)?;
        let state = Arc::default();
        let mut fleet = fleet::Fleet::new(setup.clone(), running_tasks);
        // Before any placer starts: its configuration shows what stands.
        feeds.send(FeedCommand::UpdateResources(fleet.take_changed_resources()));
        let shared = thread::Shared {
            counters,
            feeds,
            orders: taken,
            state: Arc::clone(&state),
        };
        let running = thread::WorkerThread::new(poll, fleet, listeners, shared)?;
        let thread = PeerThread::spawn(&format!("workers-{number}"), move || running.run())?;
        Ok(Group {
            orders,
            state,
            thread,
        })
    }
}

/// The thread that has the workers of a zone.
fn group_of(zone: ZoneId, groups: usize) -> usize {
    zone.0 as usize % groups.max(1)
}

/// A socket that listens for the calls of one placer to the workers of one zone.
pub struct ZoneListener {
    /// Whose calls.
    pub placer: PlacerId,
    /// To which workers.
    pub zone: ZoneId,
    /// The socket.
    pub socket: LoopbackListener,
}

/// The listeners of each placer, by zone.
fn open_listeners(placers: usize, zones: u32) -> io::Result<Vec<Vec<LoopbackListener>>> {
    let for_zones = || (0..zones).map(|_| LoopbackListener::open()).collect();
    (0..placers).map(|_| for_zones()).collect()
}
