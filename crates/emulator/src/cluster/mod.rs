//! An emulated cluster: hosts and service discovery feeds on loopback sockets, served by one separate thread.
//!
//! Each host is a [`HostModel`](crate::host_model::HostModel) behind a listener. Each placer has a separate feed, which
//! notifies it of all hosts, each event after a random delay. Commands are sent through a channel, so that a plan can
//! cause a fault with a single line. Everything sent and received is recorded in the event log; whether placers keep
//! the rules is not checked here.

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

/// How long the start of a placer waits for the restart of its feed.
const FEED_RESTART_TIMEOUT: Duration = Duration::from_secs(5);

/// The size, the timing and the seed of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The number of hosts at the start, spread over the zones.
    pub hosts: usize,
    /// The number of hosts in a rack.
    pub rack_size: usize,
    /// The capacity and timing of each host.
    pub host_spec: HostSpec,
    /// The number of placers.
    pub placers: usize,
    /// The minimum delay of an event in a feed.
    pub min_feed_delay: Micros,
    /// The maximum delay of an event in a feed.
    pub max_feed_delay: Micros,
    /// The interval at which feeds report the free resources of hosts, or 0 for never.
    pub refresh_interval: Micros,
    /// The seed of the random delays.
    pub seed: u64,
}

/// A fault of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostFault {
    /// The host has no fault.
    None,
    /// The host rejects every offer.
    Reject,
    /// The host is ten times slower.
    Slow,
    /// The host accepts offers and reports nothing.
    Silent,
    /// The host resets a connection as soon as an offer arrives on it, without reading the offer.
    ResetBeforeRead,
    /// The host reads an offer, and then resets the connection.
    ResetAfterRead,
    /// The host reports running tasks with malformed messages.
    MalformedReports,
}

/// A fault of a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedFault {
    /// The feed has no fault.
    None,
    /// The connection of the feed ends, and new connections are not served.
    Disconnected,
    /// The feed stays connected and sends nothing.
    Silent,
    /// The feed sends each event twice.
    Duplicated,
}

/// A command to the cluster. Hosts are identified by their slot, which stays the same when a host's process is
/// replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClusterCommand {
    /// Sets or clears a fault of a host.
    SetHostFault(usize, HostFault),
    /// Kills the process in a slot.
    KillHost(usize),
    /// Starts a process in a slot, with a slow start and under a new name.
    StartHost(usize),
    /// Starts the drain of a host.
    StartDraining(usize),
    /// Ends the drain of a host.
    StopDraining(usize),
    /// Evicts a number of tasks from a host.
    EvictTasks {
        /// The slot of the host.
        slot: usize,
        /// The number of tasks to evict.
        count: usize,
    },
    /// Sets or clears a fault of a placer's feed.
    SetFeedFault(usize, FeedFault),
    /// Moves the feed of a placer to another address.
    MoveFeed(usize),
    /// Ends the cluster's thread.
    Stop,
}

/// A sample of the load of all hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSample {
    /// The time of the sample.
    pub at: Micros,
    /// The requested fraction of the cores of each host, by slot. It is `None` for a slot without a process.
    pub load: Vec<Option<f64>>,
}

/// A message to the cluster's thread.
enum Message {
    Command(ClusterCommand),
    /// Restarts the feed of a placer, and sends a confirmation when it has restarted.
    RestartFeed(usize, mpsc::Sender<()>),
}

/// A running cluster, which is stopped when this value is dropped.
pub struct Cluster {
    messages: Sender<Message>,
    shared: Arc<Mutex<SharedState>>,
    thread: Option<JoinHandle<()>>,
}

impl Cluster {
    /// Starts a cluster, and waits until all its hosts and feeds listen.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started or a socket cannot be bound.
    pub fn start(config: ClusterConfig, log: EventLog) -> io::Result<Cluster> {
        let (messages, received) = async_channel::unbounded();
        let shared = Arc::<Mutex<SharedState>>::default();
        let (ready, is_ready) = mpsc::channel();
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new()
            .name("cluster".into())
            .spawn(move || serve(config, log, thread_shared, &received, &ready))?;
        is_ready.recv().unwrap_or_else(|_| {
            Err(io::Error::other(
                "the cluster's thread ended before the cluster was ready",
            ))
        })?;
        Ok(Cluster {
            messages,
            shared,
            thread: Some(thread),
        })
    }

    /// Sends a command, which takes effect asynchronously soon after.
    pub fn command(&self, command: ClusterCommand) {
        let _ = self.messages.try_send(Message::Command(command));
    }

    fn shared(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Restarts the feed of a placer that is about to start, and returns the address of the feed and the endpoint list.
    pub fn register_placer(&self, placer: usize) -> (SocketAddr, Vec<OwnedValue>) {
        let (done, is_done) = mpsc::channel();
        let _ = self.messages.try_send(Message::RestartFeed(placer, done));
        let _ = is_done.recv_timeout(FEED_RESTART_TIMEOUT);
        let shared = self.shared();
        // Nothing listens at the discard port, so a placer without a feed cannot connect to one.
        let address = shared
            .feed_address(placer)
            .unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 9)));
        (address, shared.endpoint_list(placer))
    }

    /// Returns the address at which a placer currently connects to its feed.
    pub fn feed_address(&self, placer: usize) -> Option<SocketAddr> {
        self.shared().feed_address(placer)
    }

    /// Returns the address at which the host in a slot listens for a placer.
    pub fn host_address(&self, placer: usize, slot: usize) -> Option<SocketAddr> {
        self.shared().host_address(placer, slot)
    }

    /// Replaces the addresses of proxies that placers are given instead of the real addresses: those of hosts by placer
    /// and slot, and those of feeds by placer.
    pub fn set_routes(
        &self,
        hosts: BTreeMap<(usize, usize), SocketAddr>,
        feeds: BTreeMap<usize, SocketAddr>,
    ) {
        self.shared().set_routes(hosts, feeds);
    }

    /// Returns the zones of all hosts started so far, by the number of the host.
    pub fn host_zones(&self) -> Vec<usize> {
        self.shared().host_zones.clone()
    }

    /// Returns the slots of all hosts started so far, by the number of the host.
    pub fn host_slots(&self) -> Vec<usize> {
        self.shared().host_slots.clone()
    }

    /// Returns all load samples so far.
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

/// Runs on the cluster's thread: starts the cluster, sends the result through `ready`, and executes commands until it
/// receives [`ClusterCommand::Stop`].
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
