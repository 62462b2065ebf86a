//! The network side of the placer: one thread that runs one local executor, whose tasks share one
//! [`dispatch::Dispatch`].
//!
//! [`clients`], [`hosts`], [`feed`] and [`peers`] run the connections and pass their events to traits that dispatch
//! implements.
//! [`admin`], [`ctl`] and [`health`] serve operators and load balancers.

mod admin;
mod clients;
mod clock;
mod codec;
pub mod config;
mod conn;
mod ctl;
mod dispatch;
mod feed;
pub mod health;
mod hosts;
mod inherit;
pub mod log;
mod peers;
mod retry;
mod system_error;
mod timer_wheel;

use crate::operator::Operator;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::Signal;
pub use async_signal::Signals;
use clients::accept::{self, Acceptor};
use config::Config;
use dispatch::{Dispatch, SharedDispatch};
use futures_lite::StreamExt;
use retry::retry;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Limit of checks, at process exit, whether the last messages to the placer's other processes have been sent.
const MAX_FLUSH_CHECKS: u32 = 5;
/// Interval between two of these checks.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Installs the signal handlers. This must happen early during the start: without a handler, a SIGHUP that requests a
/// reload of the configuration would kill the process.
///
/// # Errors
///
/// Fails if the handlers cannot be installed.
pub fn signals() -> io::Result<Signals> {
    async_io::block_on(retry("signals", || {
        Signals::new([Signal::Term, Signal::Int, Signal::Hup])
    }))
}

/// Serves until a signal requests the shutdown and no response is pending. `path` is the file that the configuration is
/// reloaded from.
///
/// # Errors
///
/// Fails if an address or a socket cannot be listened on.
pub fn serve(
    config: Config,
    path: Option<PathBuf>,
    operator: Operator,
    signals: Signals,
) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let addresses = Addresses::of(&config);
    let shared: SharedDispatch = Rc::new_cyclic(|weak| {
        let task_spawner = dispatch::TaskSpawner::new(weak.clone(), executor.clone());
        RefCell::new(Dispatch::new(config, &operator, task_spawner))
    });
    let server = Server {
        executor: executor.clone(),
        shared,
        addresses,
        operator,
    };
    async_io::block_on(executor.run(server.run(path, signals)))
}

/// The name of the placer, and the addresses that the process listens on and connects to.
struct Addresses {
    name: String,
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    feed: SocketAddr,
    /// The sequence number of the last feed event contained in the configuration; the feed is followed from the next
    /// one.
    feed_sequence: u64,
}

impl Addresses {
    fn of(config: &Config) -> Addresses {
        Addresses {
            name: config.name.clone(),
            listen: config.listen,
            admin: config.admin,
            feed: config.feed,
            feed_sequence: config.cached_sequence,
        }
    }
}

/// Starts all listeners and connections, and runs until the process may exit.
struct Server {
    executor: Rc<LocalExecutor<'static>>,
    shared: SharedDispatch,
    addresses: Addresses,
    operator: Operator,
}

impl Server {
    async fn run(self, path: Option<PathBuf>, signals: Signals) -> io::Result<()> {
        // The cached hosts are applied before anyone can connect, because a passing health check means ready.
        self.shared.borrow_mut().start();
        self.open_operator_listeners().await?;
        // The client listener opens last, so that all other listeners are open once a client can connect.
        let acceptor = self.open_client_listener().await?;
        let new_addresses = self.follow_feed();
        self.handle_signals(signals, path, new_addresses);
        self.run_until_finished(&acceptor).await;
        self.shared.borrow_mut().fail_pending_requests();
        self.shared.borrow_mut().stop_reading_hosts();
        accept::shutdown_connections(&self.shared).await;
        self.announce_last_task_ends().await;
        if let Some(socket) = &self.operator.control_socket {
            let _ = std::fs::remove_file(socket);
        }
        Ok(())
    }

    /// Opens the listeners for load balancers and operators that the operator's file and the configuration define.
    async fn open_operator_listeners(&self) -> io::Result<()> {
        health::open(&self.operator.health, &self.executor, &self.shared).await?;
        if let Some(socket) = &self.operator.control_socket {
            let limiter = ctl::open(socket, &self.executor, &self.shared).await?;
            self.shared.borrow_mut().operator_connections.push(limiter);
        }
        if let Some(address) = self.addresses.admin {
            let limiter = admin::open(address, &self.executor, &self.shared).await?;
            self.shared.borrow_mut().operator_connections.push(limiter);
        }
        Ok(())
    }

    /// Starts to accept clients, on the inherited socket if there is one, or else on a new one.
    async fn open_client_listener(&self) -> io::Result<Rc<Acceptor<Dispatch>>> {
        let listener = self.client_listener().await?;
        let acceptor = Acceptor::new(listener, self.shared.clone(), self.executor.clone());
        let acceptor = Rc::new(acceptor);
        let accepting = acceptor.clone();
        self.executor
            .spawn(async move { accepting.run().await })
            .detach();
        self.shared.borrow_mut().is_listening = true;
        Ok(acceptor)
    }

    async fn client_listener(&self) -> io::Result<Async<TcpListener>> {
        let listen = self.addresses.listen;
        if let Some(inherited) = inherit::listener(listen).await? {
            self.shared.borrow_mut().shares_listener = true;
            peers::group::join(&self.addresses.name, &self.executor, &self.shared);
            return Ok(inherited);
        }
        retry("listen", || accept::listen(listen))
            .await
            .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {listen}: {e}")))
    }

    /// Starts to follow the feed, and returns the channel through which its address can be changed.
    fn follow_feed(&self) -> Sender<SocketAddr> {
        let (new_addresses, receiver) = async_channel::unbounded();
        let Addresses {
            feed,
            feed_sequence,
            ..
        } = self.addresses;
        self.executor
            .spawn(feed::follow(
                feed,
                feed_sequence,
                receiver,
                self.shared.clone(),
            ))
            .detach();
        new_addresses
    }

    /// Starts to handle signals: SIGHUP reloads the configuration, all others begin the shutdown. The reload runs in
    /// its own task, so that a file that blocks while it is read does not delay a shutdown.
    fn handle_signals(
        &self,
        mut signals: Signals,
        path: Option<PathBuf>,
        new_addresses: Sender<SocketAddr>,
    ) {
        let (reload_requests, receiver) = async_channel::unbounded();
        let reloading = reload_on_request(self.shared.clone(), path, receiver, new_addresses);
        self.executor.spawn(reloading).detach();
        let shared = self.shared.clone();
        let handling = async move {
            while let Some(signal) = signals.next().await {
                match signal {
                    Ok(Signal::Hup) => drop(reload_requests.try_send(())),
                    Ok(_) => shared.borrow_mut().terminate(),
                    // No signal was received, so no shutdown was requested.
                    Err(error) => warn!(reason = %error.kind(), "cannot receive signal"),
                }
            }
        };
        self.executor.spawn(handling).detach();
    }

    /// Drives the timer wheel and the log until the process may exit.
    async fn run_until_finished(&self, acceptor: &Acceptor<Dispatch>) {
        let mut ticks = Timer::interval(Duration::from_micros(timer_wheel::TICK.unsigned_abs()));
        while ticks.next().await.is_some() {
            log::write_queued();
            let is_finished = {
                let mut dispatch = self.shared.borrow_mut();
                dispatch.tick();
                dispatch.is_finished()
            };
            if is_finished && !acceptor.accept_before_exit() {
                break;
            }
        }
    }

    /// Announces what is left to the placer's other processes, and waits for a bounded time until it has been sent.
    async fn announce_last_task_ends(&self) {
        self.shared.borrow_mut().announce_task_ends();
        for _ in 0..MAX_FLUSH_CHECKS {
            if self.shared.borrow().peers_are_flushed() {
                return;
            }
            Timer::after(FLUSH_CHECK_INTERVAL).await;
        }
    }
}

/// Reloads the configuration for each request. Only the feed address and the limits are applied; everything else keeps
/// the values from the start. If the file cannot be read, the previous configuration stays in effect.
async fn reload_on_request(
    shared: SharedDispatch,
    path: Option<PathBuf>,
    requests: Receiver<()>,
    new_addresses: Sender<SocketAddr>,
) {
    while requests.recv().await.is_ok() {
        match config::load(path.as_deref()).await {
            Ok(config) => {
                info!(feed = %config.feed, "configuration reloaded");
                shared.borrow_mut().apply_limits(config.limits);
                let _ = new_addresses.try_send(config.feed);
            }
            Err(problem) => warn!(%problem, "cannot reload configuration"),
        }
    }
}
