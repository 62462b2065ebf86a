//! Starts a cluster and executes its commands. Everything runs on one thread, as tasks of one executor.

use super::shared_state::SharedState;
use super::state::{EndpointChange, HostSlot, PlacerFeed, State};
use super::{ClusterCommand, ClusterConfig, HostFault, LoadSample};
use crate::event_log::{EventLog, ListedState};
use crate::host_model::{Micros, ModelFault, Warmth};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::StreamExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The maximum number of pairs of a host and a placer for which each host has a separate listener per placer. With more
/// pairs, a host has one listener for all placers, since each listener takes a descriptor. The host then cannot tell
/// placers apart, and a report whose connection has ended is sent to all placers.
const MAX_SEPARATE_LISTENERS: usize = 2_048;
/// Makes the random delays independent of other random numbers drawn with the same seed.
const SEED_SALT: u64 = 0x7369_7465;
/// How many times a restarted host tries to listen at its address, which the kernel may still hold for a moment.
const LISTEN_ATTEMPTS: usize = 100;
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(20);
const MONITOR_INTERVAL: Duration = Duration::from_millis(100);
const MONITOR_INTERVAL_MICROS: Micros = 100_000;
const LOAD_SAMPLE_INTERVAL: Micros = 500_000;

/// The running cluster, which the tasks of the executor share.
#[derive(Clone)]
pub(super) struct Runtime(Rc<RefCell<State>>);

/// Listens at an address.
pub(super) fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Listens at a free loopback port.
pub(super) fn listen_anywhere() -> io::Result<Async<TcpListener>> {
    listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
}

impl Runtime {
    /// Starts all hosts and feeds.
    pub(super) fn start(
        config: ClusterConfig,
        log: EventLog,
        executor: Rc<LocalExecutor<'static>>,
        shared: Arc<Mutex<SharedState>>,
    ) -> io::Result<Runtime> {
        let rng = ChaCha8Rng::seed_from_u64(config.seed ^ SEED_SALT);
        let (hosts, placers) = (config.hosts, config.placers);
        let runtime = Runtime(Rc::new(RefCell::new(State {
            config,
            log,
            executor,
            slots: Vec::new(),
            feeds: Vec::new(),
            rng,
            shared,
            host_count: 0,
        })));
        let listeners_per_host = if hosts * placers <= MAX_SEPARATE_LISTENERS {
            placers
        } else {
            1
        };
        for slot in 0..hosts {
            runtime.add_host(slot, listeners_per_host)?;
        }
        for placer in 0..placers {
            runtime.add_feed(placer)?;
        }
        runtime.with(|state| state.publish_endpoints());
        let monitor = runtime.clone();
        runtime.spawn(async move { monitor.monitor_hosts().await });
        Ok(runtime)
    }

    /// Adds a slot with a host that needs no slow start.
    fn add_host(&self, slot: usize, listener_count: usize) -> io::Result<()> {
        let listeners: Vec<Async<TcpListener>> = (0..listener_count)
            .map(|_| listen_anywhere())
            .collect::<Result<_, _>>()?;
        let addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(|listener| listener.get_ref().local_addr())
            .collect::<Result<_, _>>()?;
        self.with(|state| {
            let zone = slot % state.config.zones.len().max(1);
            let rack = slot / state.config.rack_size.max(1);
            state.slots.push(HostSlot {
                zone,
                rack,
                addresses: addresses.clone(),
                process: None,
            });
            state.shared().host_addresses.push(addresses);
        });
        self.start_host(slot, listeners, Warmth::Warm);
        Ok(())
    }

    fn add_feed(&self, placer: usize) -> io::Result<()> {
        let listener = listen_anywhere()?;
        let address = listener.get_ref().local_addr()?;
        self.with(|state| {
            state.shared().feed_addresses.push(address);
            state.feeds.push(PlacerFeed::new());
        });
        let runtime = self.clone();
        self.spawn(async move { runtime.accept_subscriptions(placer, listener).await });
        Ok(())
    }

    /// Calls `act` with the borrowed state. The closure must not call methods of the runtime, which would borrow the
    /// state again.
    pub(super) fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.0.borrow_mut())
    }

    pub(super) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.with(|state| state.executor.spawn(task).detach());
    }

    /// Executes a command.
    pub(super) fn execute(&self, command: ClusterCommand) {
        match command {
            ClusterCommand::SetHostFault(slot, fault) => self.set_host_fault(slot, fault),
            ClusterCommand::KillHost(slot) => self.kill_host(slot),
            ClusterCommand::StartHost(slot) => self.restart_host(slot),
            ClusterCommand::StartDraining(slot) => self.set_draining(slot, ListedState::Draining),
            ClusterCommand::StopDraining(slot) => self.set_draining(slot, ListedState::Up),
            ClusterCommand::EvictTasks { slot, count } => {
                let updates = self.with(|state| {
                    state
                        .process(slot)
                        .map(|process| process.model.evict(count))
                        .unwrap_or_default()
                });
                self.report(slot, updates);
            }
            ClusterCommand::SetFeedFault(placer, fault) => self.with(|state| {
                let now = state.log.now();
                if let Some(feed) = state.feeds.get_mut(placer) {
                    feed.set_fault(fault, now);
                }
            }),
            ClusterCommand::MoveFeed(placer) => self.move_feed(placer),
            ClusterCommand::Stop => {}
        }
    }

    /// Starts a process with a slow start in a slot, as soon as the slot's address is free.
    fn restart_host(&self, slot: usize) {
        let addresses = self.with(|state| state.slots.get(slot).map(|slot| slot.addresses.clone()));
        let Some(addresses) = addresses else { return };
        let runtime = self.clone();
        self.spawn(async move {
            for _ in 0..LISTEN_ATTEMPTS {
                let listeners: io::Result<Vec<_>> =
                    addresses.iter().map(|address| listen(*address)).collect();
                if let Ok(listeners) = listeners {
                    runtime.start_host(slot, listeners, Warmth::Cold);
                    runtime.notify_state(slot);
                    return;
                }
                Timer::after(LISTEN_RETRY_DELAY).await;
            }
        });
    }

    fn set_draining(&self, slot: usize, listed: ListedState) {
        self.with(|state| {
            let now = state.log.now();
            if let Some(process) = state.process(slot) {
                match listed {
                    ListedState::Draining => process.model.start_draining(now),
                    ListedState::Up | ListedState::Removed => process.model.stop_draining(),
                }
                process.state = listed;
                let _ = process.wake.try_send(());
            }
        });
        self.notify_state(slot);
    }

    fn set_host_fault(&self, slot: usize, fault: HostFault) {
        let suppressed = self.with(|state| {
            let Some(process) = state.process(slot) else {
                return Vec::new();
            };
            process.fault = fault;
            process.model.set_fault(match fault {
                HostFault::Reject => Some(ModelFault::Reject),
                HostFault::Slow => Some(ModelFault::Slow),
                _ => None,
            });
            let _ = process.wake.try_send(());
            if fault == HostFault::Silent {
                Vec::new()
            } else {
                std::mem::take(&mut process.suppressed)
            }
        });
        self.report(slot, suppressed);
    }

    /// Periodically samples the load of the hosts, and reports their free resources through the feeds.
    async fn monitor_hosts(&self) {
        let mut ticks = Timer::interval(MONITOR_INTERVAL);
        let mut elapsed: Micros = 0;
        while ticks.next().await.is_some() {
            elapsed += MONITOR_INTERVAL_MICROS;
            if elapsed % LOAD_SAMPLE_INTERVAL == 0 {
                self.with(|state| state.sample_load());
            }
            let interval = self.with(|state| state.config.refresh_interval);
            let due = elapsed % interval.max(MONITOR_INTERVAL_MICROS) < MONITOR_INTERVAL_MICROS;
            if interval > 0 && due {
                self.refresh_free_resources();
            }
        }
    }

    /// Reports each host whose free resources have changed since the last report through all feeds.
    fn refresh_free_resources(&self) {
        let changes: Vec<EndpointChange> = self.with(|state| {
            let slots = 0..state.slots.len();
            slots
                .filter_map(|slot| {
                    let process = state.process(slot)?;
                    let free = process.model.free();
                    if free == process.reported_free {
                        return None;
                    }
                    process.reported_free = free;
                    state.endpoint_change(slot)
                })
                .collect()
        });
        if !changes.is_empty() {
            self.notify_feeds(changes);
        }
        self.with(|state| state.publish_endpoints());
    }
}

impl State {
    fn sample_load(&mut self) {
        let load = self
            .slots
            .iter()
            .map(|slot| slot.process.as_ref().map(|process| process.model.load()))
            .collect();
        let at = self.log.now();
        self.shared().load_samples.push(LoadSample { at, load });
    }

    /// Returns the change that reports the current state of a slot, if a process runs in it.
    pub(super) fn endpoint_change(&mut self, slot: usize) -> Option<EndpointChange> {
        let endpoint = self.endpoint(slot)?;
        let process = self.process(slot)?;
        Some(EndpointChange {
            host: process.number,
            endpoint,
            state: process.state,
        })
    }
}
