//! Simulates clients: open-loop arrivals of tasks, connections to all placers, and a record of each task's outcome.
//!
//! The arrival time of a task does not depend on any answer, and its time to start is measured from its arrival.
//! Clients never retry after a refusal, so each arrival is answered at most once. A client whose task migrates sends
//! the request again, as the protocol specifies.

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

/// The time span in which tasks arrive, and the start of its measured part.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalWindow {
    /// The first task may arrive from this time on.
    pub start: Instant,
    /// Tasks that arrive from this time on are measured.
    pub measured_from: Instant,
    /// No task arrives from this time on.
    pub end: Instant,
}

/// A command to the client thread.
#[derive(Debug, Clone, Copy)]
pub enum ClientCommand {
    /// Reports that a placer was started at this address. The clients send it health checks, and send it tasks once a
    /// check has passed.
    PlacerStarted(PlacerId, SocketAddr),
    /// Reports that a placer was killed, so that its pending answers are lost.
    PlacerKilled(PlacerId),
    /// Starts the arrival of tasks.
    StartArrivals(ArrivalWindow),
    /// Stops the thread.
    Stop,
}

/// The current state of the clients.
#[derive(Debug, Clone, Default)]
pub struct ClientState {
    /// For each placer, when a health check first passed since its latest start; `None` if none has passed.
    pub ready: Vec<Option<Instant>>,
    /// Number of bytes that wait to be written to placers.
    pub queued: usize,
    /// Number of requests that wait for an answer.
    pub waiting: u64,
    /// Number of tasks that have started.
    pub started: u64,
    /// Number of tasks that were refused, or failed before their start.
    pub refused: u64,
}

/// The start times of the measured tasks, and the lateness of the clients in sending their requests.
pub struct Timings {
    /// The times from arrival to answer, by class in the order of [`Class::ALL`].
    pub to_start: [LatencyHistogram; Class::ALL.len()],
    /// The delays between the time when a task was due and the time when its request was sent.
    pub lateness: LatencyHistogram,
}

/// The records of the clients, for the audit at the end of a run.
pub struct ClientAudit {
    /// The outcome of each task.
    pub tasks: TaskTable,
    /// The times of the measured tasks.
    pub timings: Timings,
    /// Answers for a task that had been answered before.
    pub second_answers: u64,
    /// Messages from placers that cannot be parsed.
    pub bad_messages: u64,
}

/// All simulated clients, which share one thread.
pub struct Clients {
    commands: Sender<ClientCommand>,
    state: Arc<Mutex<ClientState>>,
    /// For each placer, whether its kill has been announced and not cleared.
    kill_announced: Arc<[AtomicBool]>,
    thread: PeerThread<ClientAudit>,
}

impl Clients {
    /// Starts the client thread. The clients already own the given running tasks.
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

    /// Announces that a placer is about to be killed. The clients attribute every connection to it that closes from now
    /// on to the kill, even one that closes before they handle [`ClientCommand::PlacerKilled`].
    pub fn announce_kill(&self, placer: PlacerId) {
        self.set_kill_announced(placer, true);
    }

    /// Withdraws the announcement of a kill, once the placer has been restarted.
    pub fn clear_kill(&self, placer: PlacerId) {
        self.set_kill_announced(placer, false);
    }

    fn set_kill_announced(&self, placer: PlacerId, announced: bool) {
        if let Some(flag) = self.kill_announced.get(placer.index()) {
            flag.store(announced, Ordering::SeqCst);
        }
    }

    /// Returns the current state of the clients.
    pub fn state(&self) -> ClientState {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the error with which the client thread has ended, if it has.
    pub fn failure(&mut self) -> Option<io::Error> {
        self.thread.failure()
    }

    /// Stops the client thread and returns its records.
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
        // After `stop`, the thread has already ended and joining it has no effect.
        let _ = self.thread.join();
    }
}
