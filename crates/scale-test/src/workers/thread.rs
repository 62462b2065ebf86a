//! The event loop of a group of simulated workers.
//!
//! The loop accepts connections, reads messages, sends answers when they are due, and reports changed capacity to the
//! control feeds. [`Fleet`] decides what a worker replies.

mod accept;
mod faults;
mod messages;

use super::connections::{ConnectionId, Connections};
use super::fleet::Fleet;
use super::replies::{ActiveTaskId, TaskTimer};
use super::{WorkerCommand, WorkerReport, WorkerState, ZoneListener};
use crate::feeds::FeedCommand;
use crate::mailbox::{Receiver, Sender};
use crate::peer_thread::wait_for_events;
use crate::timers::TimerQueue;
use crate::timing::LatencyHistogram;
use crate::traffic::PlacerCounters;
use crate::wire::lines;
use crate::wire::{cause, description};
use mio::net::TcpListener;
use mio::{Events, Poll, Token};
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The token of the command mailbox.
pub const MAILBOX: Token = Token(0);
/// The first token of the listeners.
const FIRST_LISTENER: usize = 1;
/// The first token of the connections, above the tokens of all listeners.
const FIRST_CONNECTION: usize = 1 << 24;
/// Maximum number of events taken from the poll at a time.
const EVENTS_PER_POLL: usize = 128;
/// Maximum time to wait for events.
const MAX_POLL_WAIT: Duration = Duration::from_millis(100);

/// State and channels that the worker thread shares with other threads.
pub struct Shared {
    /// The traffic counters of each placer.
    pub counters: Vec<Arc<PlacerCounters>>,
    /// The feeds to which changes of free capacity are reported.
    pub feeds: Sender<FeedCommand>,
    /// The commands to this thread.
    pub commands: Receiver<WorkerCommand>,
    /// The current load of this thread's workers, which the thread publishes after each turn of the event loop.
    pub state: Arc<Mutex<WorkerState>>,
}

/// The event that a timer triggers.
enum TimerEvent {
    /// A timer of a task, with the connection on which the task was offered, if any.
    Task(TaskTimer, ActiveTaskId, Option<ConnectionId>),
    /// Another attempt to accept from the listener with this index.
    RetryAccept(usize),
}

/// A listening socket, and its registration with the event loop.
struct Listener {
    /// The socket, which keeps its port while it refuses connections.
    zone: ZoneListener,
    /// The handle from which the event loop accepts; `None` while the zone is down.
    handle: Option<TcpListener>,
}

/// The thread of a group of workers.
pub struct WorkerThread {
    poll: Poll,
    fleet: Fleet,
    listeners: Vec<Listener>,
    connections: Connections,
    timers: TimerQueue<TimerEvent>,
    shared: Shared,
    /// The delays between the time when an answer was due and the time when it was sent.
    lateness: LatencyHistogram,
    stopped: bool,
}

impl WorkerThread {
    /// Creates the state of the thread and starts to listen on all sockets.
    pub fn new(
        poll: Poll,
        fleet: Fleet,
        listeners: Vec<ZoneListener>,
        shared: Shared,
    ) -> io::Result<WorkerThread> {
        let listeners = listeners
            .into_iter()
            .map(|zone| Listener { zone, handle: None })
            .collect();
        let mut thread = WorkerThread {
            poll,
            fleet,
            listeners,
            connections: Connections::default(),
            timers: TimerQueue::default(),
            shared,
            lateness: LatencyHistogram::new()?,
            stopped: false,
        };
        for index in 0..thread.listeners.len() {
            thread.start_listening(index)?;
        }
        Ok(thread)
    }

    /// Runs the event loop until the stop command, and returns the records of the workers.
    pub fn run(mut self) -> io::Result<WorkerReport> {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        while !self.stopped {
            let wait = self.timers.wait(Instant::now(), MAX_POLL_WAIT);
            wait_for_events(&mut self.poll, &mut events, wait)?;
            for event in &events {
                match event.token() {
                    MAILBOX => {}
                    Token(token) if token >= FIRST_CONNECTION => {
                        self.handle_readiness(token - FIRST_CONNECTION)
                    }
                    Token(token) => self.accept(token - FIRST_LISTENER)?,
                }
            }
            self.handle_commands()?;
            self.run_due_timers()?;
            self.publish_state();
        }
        self.fleet.audit.unacknowledged = self.fleet.unacknowledged_count() as u64;
        Ok(WorkerReport {
            audit: self.fleet.audit,
            lateness: self.lateness,
        })
    }

    /// Reports changed capacity to the feeds, and publishes the current load.
    fn publish_state(&mut self) {
        let changed = self.fleet.take_changed_resources();
        if !changed.is_empty() {
            self.shared
                .feeds
                .send(FeedCommand::UpdateResources(changed));
        }
        let state = WorkerState {
            active_tasks: self.fleet.active_count(),
            unacknowledged: self.fleet.unacknowledged_count(),
            connections: self.connections.len(),
        };
        *self
            .shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = state;
    }

    fn handle_commands(&mut self) -> io::Result<()> {
        for command in self.shared.commands.take_all() {
            match command {
                WorkerCommand::StartLifetimes => self.start_lifetimes(),
                WorkerCommand::CrashZone(zone) => self.crash_zone(zone)?,
                WorkerCommand::RestoreZone(zone) => self.restore_zone(zone)?,
                WorkerCommand::SendGarbage(workers) => self.send_garbage(workers),
                WorkerCommand::StopEndingTasks => self.fleet.stop_ending_tasks(),
                WorkerCommand::Stop => self.stopped = true,
            }
        }
        Ok(())
    }

    /// Schedules the ends of the tasks that run at the start of the test.
    fn start_lifetimes(&mut self) {
        let now = Instant::now();
        for (id, lifetime) in self.fleet.remaining_lifetimes() {
            let event = TimerEvent::Task(TaskTimer::End, id, None);
            self.timers.add(now + lifetime, event);
        }
    }

    // ---- Timers ----

    fn run_due_timers(&mut self) -> io::Result<()> {
        let now = Instant::now();
        while let Some((due, event)) = self.timers.pop_due(now) {
            match event {
                TimerEvent::Task(TaskTimer::Answer, id, connection) => {
                    self.answer(due, id, connection)
                }
                TimerEvent::Task(TaskTimer::End, id, connection) => self.end(id, connection),
                TimerEvent::RetryAccept(index) => self.accept(index)?,
            }
        }
        Ok(())
    }

    /// Answers an offer whose task has started.
    fn answer(&mut self, due: Instant, id: ActiveTaskId, connection: Option<ConnectionId>) {
        let Some(lifetime) = self.fleet.complete_start(id) else {
            return;
        };
        self.lateness.add(due.elapsed());
        let end = TimerEvent::Task(TaskTimer::End, id, connection);
        self.timers.add(due + lifetime, end);
        // The connection is still open: closing it would have withdrawn the offer.
        let Some(connection) = connection else { return };
        self.remove_pending_offer(connection.slot, id.1);
        let mut bytes = Vec::new();
        lines::write_task_started(&mut bytes, id.1, &description::write_answer(id.0));
        self.send(connection.slot, &bytes, 1);
    }

    /// Ends a task whose lifetime is over, and notifies its placer if a connection is open.
    fn end(&mut self, id: ActiveTaskId, connection: Option<ConnectionId>) {
        let Some(placer) = self.fleet.end_task(id) else {
            return;
        };
        if let Some(slot) = self.connections.route(id.0, placer, connection) {
            let mut bytes = Vec::new();
            lines::write_release(&mut bytes, id.1, cause::NORMAL);
            self.send(slot, &bytes, 1);
        }
    }
}
