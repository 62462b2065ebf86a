//! The control feeds: one for each placer, all on one thread.
//!
//! A feed reports the list of workers and their free resources. Its events are numbered from 1 at each start of
//! its placer. How changes are grouped is set by [`FeedRule`](crate::settings::FeedRule). A feed keeps no history,
//! only the set of workers that have changed since its placer last saw them: a placer that subscribes again gets
//! the present state of these under the next sequence numbers.

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

/// The longest wait for a reply of the feed thread.
const REPLY_LIMIT: Duration = Duration::from_secs(10);

/// The free resources of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FreeResources {
    /// The worker.
    pub worker: WorkerId,
    /// Cores that no task has asked for.
    pub free_cores: f64,
    /// Memory that no task has asked for.
    pub free_memory: f64,
}

/// A command to the feeds.
pub enum FeedCommand {
    /// Sets the ports at which a placer reaches the workers, by zone.
    SetWorkerPorts(PlacerId, Vec<u16>),
    /// Updates the free resources of workers.
    UpdateResources(Vec<FreeResources>),
    /// Reports the workers of a zone as removed.
    RemoveZone(ZoneId),
    /// Reports the workers of a zone as up, started at this Unix millisecond.
    RestoreZone(ZoneId, u64),
    /// Starts the feed of a placer anew, and replies with the first event for its configuration.
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
    /// Starts a feed for each placer, one for each set of counters.
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

    /// Returns the sender of commands.
    pub fn commands(&self) -> Sender<FeedCommand> {
        self.commands.clone()
    }

    /// Returns the address at which a placer subscribes.
    pub fn address(&self, placer: PlacerId) -> Option<SocketAddr> {
        self.addresses.get(placer.index()).copied()
    }

    /// Starts the feed of a placer anew. Returns the events that its configuration contains, as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the feed thread does not reply in time.
    pub fn start_placer(&self, placer: PlacerId) -> io::Result<String> {
        let (reply, replied) = mpsc::channel();
        self.commands.send(FeedCommand::StartPlacer(placer, reply));
        replied
            .recv_timeout(REPLY_LIMIT)
            .map_err(|_| io::Error::other("no reply of the feeds"))
    }

    /// Returns the error on which the thread has ended, if it has.
    pub fn failure(&mut self) -> Option<io::Error> {
        self.thread.failure()
    }

    /// Stops the feeds.
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
        // After `stop` the thread has ended already.
        let _ = self.thread.join();
    }
}
