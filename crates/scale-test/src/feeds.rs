//! The control feeds: one for each placer, all on one thread.
//!
//! A feed reports the list of workers and their free resources. Its events are numbered from 1 at each start of
//! its placer. [`FeedRule`](crate::settings::FeedRule) determines how changes are grouped into events. A feed keeps no
//! history of events, only the set of workers that have changed since the last event sent to its placer: a placer that
//! subscribes again gets the current state of these workers under the next sequence numbers.

mod cursor;
mod thread;
mod worker_list;

use crate::identity::{PlacerId, WorkerId, ZoneId};
use crate::mailbox::{self, Sender};
use crate::peer_thread::PeerThread;
use crate::settings::Settings;
use crate::traffic::PlacerCounters;
use mio::Poll;
use mio::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::time::Duration;

/// The time limit for a reply of the feed thread.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// The free resources of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FreeResources {
    /// The worker.
    pub worker: WorkerId,
    /// Cores that no task has requested.
    pub free_cores: f64,
    /// Memory that no task has requested.
    pub free_memory: f64,
}

/// A command to the feed thread.
pub enum FeedCommand {
    /// Sets the ports at which a placer reaches the workers, by zone.
    SetWorkerPorts(PlacerId, Vec<u16>),
    /// Updates the free resources of workers.
    UpdateResources(Vec<FreeResources>),
    /// Reports the workers of a zone as removed.
    RemoveZone(ZoneId),
    /// Reports the workers of a zone as up, with the Unix time in milliseconds at which they were started.
    RestoreZone(ZoneId, u64),
    /// Restarts the feed of a placer, and replies with the first event, which the placer's configuration contains.
    StartPlacer(PlacerId, mpsc::Sender<String>),
    /// Stops the thread.
    Stop,
}

/// All control feeds, one for each placer.
pub struct Feeds {
    commands: Sender<FeedCommand>,
    thread: PeerThread<()>,
    addresses: Vec<SocketAddr>,
}

impl Feeds {
    /// Starts one feed for each placer. `counters` holds the counters of each placer, by placer index.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener, the event loop or the thread cannot be created.
    pub fn start(settings: &Settings, counters: Vec<Arc<PlacerCounters>>) -> io::Result<Feeds> {
        let poll = Poll::new()?;
        let (commands, received) = mailbox::mailbox(poll.registry(), thread::MAILBOX)?;
        let (mut listeners, mut addresses) = (Vec::<TcpListener>::new(), Vec::new());
        for _ in &counters {
            let (listener, address) = crate::listener::listen_local()?;
            listeners.push(listener);
            addresses.push(address);
        }
        let mut running = thread::FeedThread::new(poll, settings, listeners, counters, received)?;
        let thread = PeerThread::spawn("feeds", move || running.run())?;
        Ok(Feeds {
            commands,
            thread,
            addresses,
        })
    }

    /// Returns a sender for commands to the feed thread.
    pub fn commands(&self) -> Sender<FeedCommand> {
        self.commands.clone()
    }

    /// Returns the address at which a placer subscribes to its feed.
    pub fn address(&self, placer: PlacerId) -> Option<SocketAddr> {
        self.addresses.get(placer.index()).copied()
    }

    /// Restarts the feed of a placer. Returns the first events of the feed as JSON, for the placer's configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the feed thread does not reply in time.
    pub fn start_placer(&self, placer: PlacerId) -> io::Result<String> {
        let (reply, replied) = mpsc::channel();
        self.commands.send(FeedCommand::StartPlacer(placer, reply));
        replied
            .recv_timeout(REPLY_TIMEOUT)
            .map_err(|_| io::Error::other("the feed thread did not reply in time"))
    }

    /// Returns the error with which the feed thread ended, or `None` if it still runs.
    pub fn failure(&mut self) -> Option<io::Error> {
        self.thread.failure()
    }

    /// Stops the feed thread and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the error with which the thread ended.
    pub fn stop(mut self) -> io::Result<()> {
        self.commands.send(FeedCommand::Stop);
        self.thread.join()
    }
}

impl Drop for Feeds {
    fn drop(&mut self) {
        self.commands.send(FeedCommand::Stop);
        // After `stop` the thread has already been joined, and this join fails without effect.
        let _ = self.thread.join();
    }
}
