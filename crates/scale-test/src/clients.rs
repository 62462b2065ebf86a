//! The hollow clients: open-loop arrivals, their connections to all placers, and what becomes of each task.
//!
//! A task is due at a time that does not depend on any answer; its time to start runs from then. On a refusal
//! it does not come again: each arrival is answered once. A client whose task moves comes again, as the
//! protocol wants it.

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

/// When tasks arrive, and which of them count.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalWindow {
    /// The first may be due from here on.
    pub start: Instant,
    /// Those count that are due from here on.
    pub measured_from: Instant,
    /// None is due from here on.
    pub end: Instant,
}

/// What the clients are told to do.
#[derive(Debug, Clone, Copy)]
pub enum ClientCommand {
    /// A placer has been started at this address: it is tested until a test passes, and is then in service.
    PlacerStarted(PlacerId, SocketAddr),
    /// A placer is killed: what it owes goes with it.
    PlacerKilled(PlacerId),
    /// Tasks arrive.
    StartArrivals(ArrivalWindow),
    /// The thread ends.
    Stop,
}

/// How the clients are just now.
#[derive(Debug, Clone, Default)]
pub struct ClientState {
    /// When the first test of each placer passed, since it was last started.
    pub ready: Vec<Option<Instant>>,
    /// Bytes that wait to be written.
    pub queued: usize,
    /// Set-ups that wait for an answer.
    pub waiting: u64,
    /// Tasks that were answered.
    pub started: u64,
    /// Tasks that were refused.
    pub refused: u64,
}

/// LatencyHistogram to start, and the generator's own lateness, of the tasks that count.
pub struct Timings {
    /// By class, in the command of [`Class::ALL`]: from when the task was due to its answer.
    pub to_start: [LatencyHistogram; Class::ALL.len()],
    /// From when the task was due to when its set-up was sent.
    pub lateness: LatencyHistogram,
}

/// What the clients noted.
pub struct ClientAudit {
    /// What became of each task.
    pub tasks: TaskTable,
    /// LatencyHistogram of the tasks that count.
    pub timings: Timings,
    /// Answers that came for a task that had been answered.
    pub second_answers: u64,
    /// Messages of placers that can't be read.
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
    /// Starts them, with the tasks that stand.
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

    /// Tells them something.
    pub fn send(&self, command: ClientCommand) {
        self.commands.send(command);
    }

    /// A placer is about to be killed, or lives again: connections that end meanwhile end with it.
    pub fn doom(&self, placer: PlacerId, kill_announced: bool) {
        if let Some(flag) = self.kill_announced.get(placer.index()) {
            flag.store(kill_announced, Ordering::SeqCst);
        }
    }

    /// How they are.
    pub fn state(&self) -> ClientState {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The error on which their thread has ended, if it has.
    pub fn failure(&mut self) -> Option<io::Error> {
        self.thread.failure()
    }

    /// Ends them; their books.
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
        // It has ended already where the run came to its end.
        let _ = self.thread.join();
    }
}
