//! The control feeds: one for each placer, all on one thread.
//!
//! Each feed numbers its events from 1 at each start of its placer and tells what stands at the workers. How
//! often it does is the settings' rule ([`FeedRule`](crate::settings::FeedRule)). A feed keeps no history:
//! it knows which workers have changed since its placer was last told of them, so that a placer which
//! subscribes again is told the present state of these under the next numbers.

mod cursor;
mod thread;

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

/// How long the feeds' thread may take to answer.
const REPLY_LIMIT: Duration = Duration::from_secs(10);

/// The room of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FreeResources {
    /// Whose.
    pub worker: WorkerId,
    /// Cores that nobody has asked for.
    pub free_cores: f64,
    /// Memory that nobody has asked for.
    pub free_memory: f64,
}

/// What the feeds are told.
pub enum FeedCommand {
    /// The ports at which a placer reaches the workers of each zone.
    SetWorkerPorts(PlacerId, Vec<u16>),
    /// The rooms of workers have changed.
    UpdateResources(Vec<FreeResources>),
    /// The workers of a zone were removed.
    RemoveZone(ZoneId),
    /// They are up again, as processes that started at this Unix millisecond.
    RestoreZone(ZoneId, u64),
    /// A placer starts: its numbers begin anew, and its configuration holds the events so far.
    StartPlacer(PlacerId, mpsc::Sender<String>),
    /// The thread ends.
    Stop,
}

/// All control feeds.
pub struct Feeds {
    commands: Sender<FeedCommand>,
    thread: PeerThread<()>,
    addresses: Vec<SocketAddr>,
}

impl Feeds {
    /// Starts one for each placer that is counted.
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

    /// Where commands are sent.
    pub fn commands(&self) -> Sender<FeedCommand> {
        self.commands.clone()
    }

    /// Where a placer subscribes.
    pub fn address(&self, placer: PlacerId) -> Option<SocketAddr> {
        self.addresses.get(placer.index()).copied()
    }

    /// A placer starts: the events that its configuration holds, as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the feed thread does not reply in time.
    pub fn known(&self, placer: PlacerId) -> io::Result<String> {
        let (reply, replied) = mpsc::channel();
        self.commands.send(FeedCommand::StartPlacer(placer, reply));
        replied
            .recv_timeout(REPLY_LIMIT)
            .map_err(|_| io::Error::other("no reply of the feeds"))
    }

    /// The error on which their thread has ended, if it has.
    pub fn failure(&mut self) -> Option<io::Error> {
        self.thread.failure()
    }

    /// Ends them.
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
        // It has ended already where the run came to its end.
        let _ = self.thread.join();
    }
}
