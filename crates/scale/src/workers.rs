//! Thousands of hollow workers on one thread.
//!
//! Each placer reaches each worker at an address of the worker and a port of the placer and the worker's
//! zone, so that one listening socket serves all workers of a zone, and the port tells who calls. What the
//! workers hold is in [`fleet::Fleet`], which knows nothing of sockets; [`thread::WorkerThread`] moves
//! messages between it and the connections.

mod audit_book;
mod connections;
pub mod fleet;
mod thread;

pub use audit_book::{TaskBook, WorkerBooks};

use crate::feeds::FeedOrder;
use crate::identity::{PlacerId, TaskIndex, WorkerId, ZoneId};
use crate::listener::LoopbackListener;
use crate::mailbox::{self, Sender};
use crate::peer_thread::PeerThread;
use crate::settings::Settings;
use crate::timing::Times;
use crate::traffic::PlacerCounters;
use crate::wire::description::TaskShape;
use mio::{Poll, Token};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// A task that stands at the start.
#[derive(Debug, Clone, Copy)]
pub struct StandingTask {
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
pub enum WorkerOrder {
    /// Tasks that stand at the start begin to live.
    Begin,
    /// All workers of a zone vanish.
    Vanish(ZoneId),
    /// They are back, holding nothing.
    Return(ZoneId),
    /// So many workers send bytes that are no message on all their connections.
    Garbage(u32),
    /// No task ends from now on: what has ended is to be heard.
    Freeze,
    /// The thread ends.
    Stop,
}

/// What the workers have in hand just now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerState {
    /// Tasks that stand or start.
    pub held: usize,
    /// Ends that placers have not confirmed.
    pub unheard: usize,
    /// Connections of placers.
    pub connections: usize,
}

/// What the workers noted, and how well they did.
pub struct WorkerReport {
    /// What they noted.
    pub books: WorkerBooks,
    /// From when an answer was due to when it was sent.
    pub lateness: Times,
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

/// All hollow workers.
pub struct Workers {
    orders: Sender<WorkerOrder>,
    state: Arc<std::sync::Mutex<WorkerState>>,
    thread: PeerThread<WorkerReport>,
    ports: Vec<Vec<u16>>,
}

impl Workers {
    /// Starts them, with the tasks that stand.
    pub fn start(
        setup: WorkerSetup,
        standing: &[StandingTask],
        counters: Vec<Arc<PlacerCounters>>,
        feeds: Sender<FeedOrder>,
    ) -> io::Result<Workers> {
        let poll = Poll::new()?;
        let (orders, taken) = mailbox::mailbox(poll.registry(), thread::MAILBOX)?;
        let listeners = open_listeners(counters.len(), setup.zones)?;
        let ports =
            listeners.iter().map(|zones| zones.iter().map(LoopbackListener::port).collect()).collect();
        let state = Arc::default();
        let mut fleet = fleet::Fleet::new(setup, standing);
        // Before any placer starts: its configuration shows what stands.
        feeds.send(FeedOrder::Rooms(fleet.take_changed_rooms()));
        let shared = thread::Shared { counters, feeds, orders: taken, state: Arc::clone(&state) };
        let running = thread::WorkerThread::new(poll, fleet, listeners, shared)?;
        let thread = PeerThread::spawn("workers", move || running.run())?;
        Ok(Workers { orders, state, thread, ports })
    }

    /// The port at which a placer reaches the workers of each zone.
    pub fn ports(&self, placer: PlacerId) -> &[u16] {
        self.ports.get(placer.index()).map_or(&[], Vec::as_slice)
    }

    /// Tells them something.
    pub fn order(&self, order: WorkerOrder) {
        self.orders.send(order);
    }

    /// What they have in hand.
    pub fn state(&self) -> WorkerState {
        *self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The error on which their thread has ended, if it has.
    pub fn failure(&mut self) -> Option<io::Error> {
        self.thread.failure()
    }

    /// Ends them; what they noted.
    pub fn stop(mut self) -> io::Result<WorkerReport> {
        self.orders.send(WorkerOrder::Stop);
        self.thread.join()
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        self.orders.send(WorkerOrder::Stop);
        // It has ended already where the run came to its end.
        let _ = self.thread.join();
    }
}

/// The listeners of each placer, by zone.
fn open_listeners(placers: usize, zones: u32) -> io::Result<Vec<Vec<LoopbackListener>>> {
    let for_zones = || (0..zones).map(|_| LoopbackListener::open()).collect();
    (0..placers).map(|_| for_zones()).collect()
}

/// The token of a listener.
fn listener_token(placer: PlacerId, zone: ZoneId, zones: u32) -> Token {
    Token(thread::FIRST_LISTENER.0 + placer.index() * zones as usize + zone.0 as usize)
}
