//! The hollow clients: open-loop arrivals, connections to all placers, and the outcome of each task.
//!
//! A task arrives at a time that does not depend on any answer, and its time to start is measured from then.
//! Clients never retry after a refusal: each arrival is answered once. A client whose task migrates sends its
//! set-up again, as the protocol specifies.

mod arrivals;
mod link;
mod tasks;
mod thread;

pub use arrivals::{Arrival, Arrivals, running_tasks};
pub use tasks::{TaskRecord, TaskState, TaskTable};

use crate::deployment::Class;
use crate::identity::PlacerId;
use crate::mailbox::{self, Sender};
use crate::peer_thread::PeerThread;
use crate::settings::Settings;
use crate::timing::LatencyHistogram;
use crate::traffic::PlacerCounters;
use crate::workers::RunningTask;
use mio::Poll;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The time in which tasks arrive, and the part of it that is measured.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalWindow {
    /// The first task may arrive from this time on.
    pub start: Instant,
    /// Tasks that arrive from this time on are measured.
    pub measured_from: Instant,
    /// No task arrives from this time on.
    pub end: Instant,
}

/// A command to the clients.
#[derive(Debug, Clone, Copy)]
pub enum ClientCommand {
    /// A placer was started at this address. Its health is checked until a check passes; then it is in service.
    PlacerStarted(PlacerId, SocketAddr),
    /// A placer was killed, and its pending answers are lost.
    PlacerKilled(PlacerId),
    /// Starts the arrival of tasks.
    StartArrivals(ArrivalWindow),
    /// Stops the thread.
    Stop,
}

/// The present state of the clients.
#[derive(Debug, Clone, Default)]
pub struct ClientState {
    /// When the first health check of each placer passed, since its latest start.
    pub ready: Vec<Option<Instant>>,
    /// Bytes that wait to be written.
    pub queued: usize,
    /// Set-ups that wait for an answer.
    pub waiting: u64,
    /// Tasks that have started.
    pub started: u64,
    /// Tasks that were refused or have failed before their start.
    pub refused: u64,
}

/// The times to start, and the load generator's own lateness, of the measured tasks.
pub struct Timings {
    /// The times from arrival to answer, by class in the order of [`Class::ALL`].
    pub to_start: [LatencyHistogram; Class::ALL.len()],
    /// The time from when a task was due to when its set-up was sent.
    pub lateness: LatencyHistogram,
}

/// What the clients recorded.
pub struct ClientAudit {
    /// The outcome of each task.
    pub tasks: TaskTable,
    /// The times of the measured tasks.
    pub timings: Timings,
    /// Answers for a task that had been answered before.
    pub second_answers: u64,
    /// Messages of placers that cannot be read.
    pub bad_messages: u64,
}

/// All hollow clients.
pub struct Clients {
    commands: Sender<ClientCommand>,
    state: Arc<Mutex<ClientState>>,
    kill_announced: Arc<[AtomicBool]>,
    thread: PeerThread<ClientAudit>,
}

impl Clients {
    /// Starts the clients, with the tasks that run at the start.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop or the thread cannot be created.
    pub fn start(
        settings: &Settings,
        running_tasks: &[RunningTask],
        counters: Vec<Arc<PlacerCounters>>,
    ) -> io::Result<Clients> {
        let poll = Poll::new()?;
        let (commands, received) = mailbox::mailbox(poll.registry(), thread::MAILBOX)?;
        let state = Arc::new(Mutex::new(ClientState {
            ready: vec![None; counters.len()],
            ..ClientState::default()
        }));
        let arrivals = Arrivals::new(settings);
        let tasks = TaskTable::new(running_tasks, &arrivals);
        let kill_announced: Arc<[AtomicBool]> =
            counters.iter().map(|_| AtomicBool::new(false)).collect();
        let shared = thread::Shared {
            counters,
            commands: received,
            state: Arc::clone(&state),
            kill_announced: kill_announced.clone(),
        };
        let running = thread::ClientThread::new(poll, settings, tasks, arrivals, shared)?;
        let thread = PeerThread::spawn("clients", move || running.run())?;
        Ok(Clients {
            commands,
            state,
            kill_announced,
            thread,
        })
    }

    /// Sends a command to the clients.
    pub fn send(&self, command: ClientCommand) {
        self.commands.send(command);
    }

    /// Announces that a placer is about to be killed. Connections that close from now on close because of it,
    /// also if they close before the clients handle [`ClientCommand::PlacerKilled`].
    pub fn announce_kill(&self, placer: PlacerId) {
        self.set_kill_announced(placer, true);
    }

    /// Takes the announcement back, when the placer has been restarted.
    pub fn clear_kill(&self, placer: PlacerId) {
        self.set_kill_announced(placer, false);
    }

    fn set_kill_announced(&self, placer: PlacerId, announced: bool) {
        if let Some(flag) = self.kill_announced.get(placer.index()) {
            flag.store(announced, Ordering::SeqCst);
        }
    }

    /// Returns the present state of the clients.
    pub fn state(&self) -> ClientState {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the error on which the thread has ended, if it has.
    pub fn failure(&mut self) -> Option<io::Error> {
        self.thread.failure()
    }

    /// Stops the clients and returns what they recorded.
    ///
    /// # Errors
    ///
    /// Returns the error with which the thread ended.
    pub fn stop(mut self) -> io::Result<ClientAudit> {
        self.commands.send(ClientCommand::Stop);
        self.thread.join()
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.commands.send(ClientCommand::Stop);
        // After `stop` the thread has ended already.
        let _ = self.thread.join();
    }
}
