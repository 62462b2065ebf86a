//! The state of a cluster: the slots of hosts and their processes, and the feeds.

use super::host_process::HostProcess;
use super::shared_state::SharedState;
use super::{ClusterConfig, FeedFault};
use crate::event_log::{Event, EventLog, ListedState};
use crate::host_model::{Micros, Resources};
use async_channel::Sender;
use async_executor::LocalExecutor;
use rand_chacha::ChaCha8Rng;
use simd_json::{OwnedValue, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A placer whose feed is disturbed counts as notified of an event at the latest so long after the fault began.
const MAX_FEED_FAULT: Micros = 4_000_000;
/// The number of the first event of a feed; the endpoint list of the configuration is event 1.
const FIRST_FEED_EVENT: u64 = 2;

/// A slot for a host. It keeps its address, zone and rack over the processes in it.
pub(super) struct HostSlot {
    pub(super) zone: usize,
    pub(super) rack: usize,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) process: Option<HostProcess>,
}

/// A change of one endpoint, for the feeds.
#[derive(Clone)]
pub(super) struct EndpointChange {
    /// The number of the host.
    pub(super) host: usize,
    /// Its entry in the endpoint list.
    pub(super) endpoint: OwnedValue,
    pub(super) state: ListedState,
}

/// The feed of one placer.
pub(super) struct PlacerFeed {
    pub(super) events: Vec<OwnedValue>,
    pub(super) fault: FeedFault,
    fault_since: Micros,
    /// Counts its restarts.
    pub(super) generation: u64,
    /// Wakes the open subscriptions.
    pub(super) subscribers: Vec<Sender<()>>,
}

impl PlacerFeed {
    pub(super) fn new() -> PlacerFeed {
        PlacerFeed {
            events: Vec::new(),
            fault: FeedFault::None,
            fault_since: 0,
            generation: 0,
            subscribers: Vec::new(),
        }
    }

    pub(super) fn set_fault(&mut self, fault: FeedFault, now: Micros) {
        self.fault = fault;
        self.fault_since = now;
        self.wake_subscribers();
    }

    fn wake_subscribers(&mut self) {
        self.subscribers
            .retain(|wake| wake.try_send(()).is_ok() || !wake.is_closed());
    }
}

/// All that the cluster's thread owns.
pub(super) struct State {
    pub(super) config: ClusterConfig,
    pub(super) log: EventLog,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) slots: Vec<HostSlot>,
    pub(super) feeds: Vec<PlacerFeed>,
    pub(super) rng: ChaCha8Rng,
    pub(super) shared: Arc<Mutex<SharedState>>,
    /// Processes of hosts started so far.
    pub(super) host_count: usize,
}

impl State {
    pub(super) fn process(&mut self, slot: usize) -> Option<&mut HostProcess> {
        self.slots
            .get_mut(slot)
            .and_then(|slot| slot.process.as_mut())
    }

    pub(super) fn shared(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The endpoint of the process in a slot, with the slot itself in `place`.
    pub(super) fn endpoint(&self, slot: usize) -> Option<OwnedValue> {
        let host = self.slots.get(slot)?;
        let process = host.process.as_ref()?;
        let health = match process.state {
            ListedState::Draining => "draining",
            ListedState::Up | ListedState::Removed => "up",
        };
        let zone = self.config.zones.get(host.zone).map_or("", String::as_str);
        let address = host
            .addresses
            .first()
            .map_or_else(String::new, ToString::to_string);
        let Resources { cores, memory } = process.model.free();
        Some(json!({
            "host": process.name.as_str(), "dial": address, "place": slot, "site": zone, "class": "node",
            "block": host.rack, "health": health, "share": 1, "born_ms": process.born_ms, "unasked": [cores, memory]
        }))
    }

    /// Publishes the endpoint list for placers that start.
    pub(super) fn publish_endpoints(&self) {
        let endpoints: Vec<OwnedValue> = (0..self.slots.len())
            .filter_map(|slot| self.endpoint(slot))
            .collect();
        self.shared().endpoints = endpoints;
    }

    /// Restarts the feed of a placer that starts: its configuration holds the first event, and numbering begins
    /// with it.
    pub(super) fn restart_feed(&mut self, placer: usize) {
        if let Some(feed) = self.feeds.get_mut(placer) {
            feed.events.clear();
            feed.generation += 1;
            feed.subscribers.clear();
        }
        self.publish_endpoints();
    }

    /// Appends an event to the feed of a placer, unless the feed has restarted since, and records that the placer
    /// is notified.
    pub(super) fn append_feed_event(
        &mut self,
        placer: usize,
        generation: u64,
        changes: &[EndpointChange],
    ) {
        let now = self.log.now();
        let hosts: Vec<OwnedValue> = {
            let shared = self.shared();
            let endpoints = changes.iter().map(|change| &change.endpoint);
            endpoints
                .map(|endpoint| shared.routed_endpoint(placer, endpoint))
                .collect()
        };
        let Some(feed) = self
            .feeds
            .get_mut(placer)
            .filter(|feed| feed.generation == generation)
        else {
            return;
        };
        let n = feed.events.len() as u64 + FIRST_FEED_EVENT;
        feed.events
            .push(json!({ "n": n, "members": { "seq": n, "whole": false, "hosts": hosts } }));
        feed.wake_subscribers();
        let notified_at = match feed.fault {
            FeedFault::Disconnected | FeedFault::Silent => {
                now.max(feed.fault_since + MAX_FEED_FAULT)
            }
            FeedFault::None | FeedFault::Duplicated => now,
        };
        for change in changes {
            let listed = Event::HostListed {
                placer,
                host: change.host,
                state: change.state,
            };
            self.log.record_at(notified_at, listed);
        }
    }
}
