//! An emulated cluster: hosts and service discovery feeds on loopback sockets, on one thread of their own.
//!
//! Each host is a [`HostModel`](crate::host_model::HostModel) behind a listener. Each placer has a feed of its
//! own, which notifies it of all hosts after a random delay. Commands come through a channel, so that a fault is
//! one line of a plan. What is sent and received is recorded in the event log; rules are not checked here.

mod feed_server;
mod host_process;
mod host_server;
mod runtime;
mod shared_state;
mod state;
mod task_description;

use crate::event_log::EventLog;
use crate::host_model::{HostSpec, Micros};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use futures_lite::future;
use runtime::Runtime;
use shared_state::SharedState;
use simd_json::OwnedValue;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;
pub use task_description::describe;

/// How long a placer that starts waits for its feed to restart.
const FEED_RESTART_TIMEOUT: Duration = Duration::from_secs(5);

/// What a cluster consists of.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Hosts at the start, spread over the zones.
    pub hosts: usize,
    /// Hosts in a rack.
    pub rack_size: usize,
    /// What each host is.
    pub host_spec: HostSpec,
    /// Number of placers.
    pub placers: usize,
    /// Minimum delay of an event in a feed.
    pub min_feed_delay: Micros,
    /// Maximum delay of an event in a feed.
    pub max_feed_delay: Micros,
    /// How often feeds report what is free on each host; 0 for never.
    pub refresh_interval: Micros,
    /// Seed of the random delays.
    pub seed: u64,
}

/// What is wrong with a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostFault {
    /// Nothing.
    None,
    /// It rejects every offer.
    Reject,
    /// It is ten times slower.
    Slow,
    /// It accepts offers and reports nothing.
    Silent,
    /// It resets a connection on which an offer comes, before reading it.
    ResetBeforeRead,
    /// It reads the offer, then resets the connection.
    ResetAfterRead,
    /// Its reports are malformed.
    MalformedReports,
}

/// What is wrong with a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedFault {
    /// Nothing.
    None,
    /// Its connection breaks, and new ones are not served.
    Disconnected,
    /// It stays connected and sends nothing.
    Silent,
    /// It sends each event twice.
    Duplicated,
}

/// A command to the cluster. Hosts are named by their slot, which outlives their processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClusterCommand {
    /// Sets or clears a fault of a host.
    SetHostFault(usize, HostFault),
    /// Kills the host's process.
    KillHost(usize),
    /// Starts a process in the slot, cold and under a new id.
    StartHost(usize),
    /// Begins to drain a host.
    StartDraining(usize),
    /// Ends the drain of a host.
    StopDraining(usize),
    /// Evicts a number of tasks from a host.
    EvictTasks {
        /// The slot of the host.
        slot: usize,
        /// How many.
        count: usize,
    },
    /// Sets or clears a fault of a placer's feed.
    SetFeedFault(usize, FeedFault),
    /// Moves the feed of a placer to another address.
    MoveFeed(usize),
    /// Ends the thread.
    Stop,
}

/// The load of the hosts at one time.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSample {
    /// When.
    pub at: Micros,
    /// By slot, the requested fraction of the cores; none where no process runs.
    pub load: Vec<Option<f64>>,
}

/// What the cluster's thread receives.
enum Message {
    Command(ClusterCommand),
    /// The feed of a placer restarts; confirmed once it has.
    RestartFeed(usize, mpsc::Sender<()>),
}

/// A running cluster; it ends when dropped.
pub struct Cluster {
    messages: Sender<Message>,
    shared: Arc<Mutex<SharedState>>,
    thread: Option<JoinHandle<()>>,
}

impl Cluster {
    /// Starts a cluster and waits until all its hosts and feeds listen.
    ///
    /// # Errors
    ///
    /// An error of the system: there is no thread, or no free port.
    pub fn start(config: ClusterConfig, log: EventLog) -> io::Result<Cluster> {
        let (messages, received) = async_channel::unbounded();
        let shared = Arc::<Mutex<SharedState>>::default();
        let (ready, is_ready) = mpsc::channel();
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new()
            .name("cluster".into())
            .spawn(move || serve(config, log, thread_shared, &received, &ready))?;
        is_ready
            .recv()
            .unwrap_or_else(|_| Err(io::Error::other("the cluster's thread ended")))?;
        Ok(Cluster {
            messages,
            shared,
            thread: Some(thread),
        })
    }

    /// Sends a command; it takes effect soon after.
    pub fn command(&self, command: ClusterCommand) {
        let _ = self.messages.try_send(Message::Command(command));
    }

    fn shared(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Restarts the feed of a placer that is about to start, and returns its address and the endpoint list.
    pub fn register_placer(&self, placer: usize) -> (SocketAddr, Vec<OwnedValue>) {
        let (done, is_done) = mpsc::channel();
        let _ = self.messages.try_send(Message::RestartFeed(placer, done));
        let _ = is_done.recv_timeout(FEED_RESTART_TIMEOUT);
        let shared = self.shared();
        // Nothing listens on the discard port: a placer without a feed finds none.
        let address = shared
            .feed_address(placer)
            .unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 9)));
        (address, shared.endpoint_list(placer))
    }

    /// Returns where the feed of a placer is now.
    pub fn feed_address(&self, placer: usize) -> Option<SocketAddr> {
        self.shared().feed_address(placer)
    }

    /// Returns where the host in a slot listens for a placer.
    pub fn host_address(&self, placer: usize, slot: usize) -> Option<SocketAddr> {
        self.shared().host_address(placer, slot)
    }

    /// Replaces the addresses that placers are given: of hosts, by placer and slot, and of feeds, by placer.
    pub fn set_routes(
        &self,
        hosts: BTreeMap<(usize, usize), SocketAddr>,
        feeds: BTreeMap<usize, SocketAddr>,
    ) {
        self.shared().set_routes(hosts, feeds);
    }

    /// Returns the zone of each host so far, by its number.
    pub fn host_zones(&self) -> Vec<usize> {
        self.shared().host_zones.clone()
    }

    /// Returns the slot of each host so far, by its number.
    pub fn host_slots(&self) -> Vec<usize> {
        self.shared().host_slots.clone()
    }

    /// Returns the load samples so far.
    pub fn load_samples(&self) -> Vec<LoadSample> {
        self.shared().load_samples.clone()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let stop = Message::Command(ClusterCommand::Stop);
        let _ = self.messages.try_send(stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The cluster's thread: starts it, reports whether that worked, and executes commands until told to stop.
fn serve(
    config: ClusterConfig,
    log: EventLog,
    shared: Arc<Mutex<SharedState>>,
    received: &Receiver<Message>,
    ready: &mpsc::Sender<io::Result<()>>,
) {
    let executor = Rc::new(LocalExecutor::new());
    future::block_on(executor.run(async {
        let runtime = match Runtime::start(config, log, executor.clone(), shared) {
            Ok(runtime) => runtime,
            Err(e) => {
                let _ = ready.send(Err(e));
                return;
            }
        };
        let _ = ready.send(Ok(()));
        while let Ok(message) = received.recv().await {
            match message {
                Message::Command(ClusterCommand::Stop) => return,
                Message::Command(command) => runtime.execute(command),
                Message::RestartFeed(placer, done) => {
                    runtime.with(|state| state.restart_feed(placer));
                    let _ = done.send(());
                }
            }
        }
    }));
}
