//! The state of a cluster: the slots of hosts with their processes, and the feeds of placers.

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

/// The longest time for which a feed fault excuses a placer: an event counts as delivered at the latest this long after
/// the fault began.
const MAX_FEED_FAULT: Micros = 4_000_000;
/// The number of the first event that a feed sends. Event 1 is the endpoint list in the configuration.
const FIRST_FEED_EVENT: u64 = 2;

/// A slot for a host, which keeps its addresses, zone and rack when the process in it is replaced.
pub(super) struct HostSlot {
    pub(super) zone: usize,
    pub(super) rack: usize,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) process: Option<HostProcess>,
}

/// A change of one endpoint, to be reported through the feeds.
#[derive(Clone)]
pub(super) struct EndpointChange {
    /// The number of the host in the event log.
    pub(super) host: usize,
    /// The entry of the host in the endpoint list.
    pub(super) endpoint: OwnedValue,
    pub(super) state: ListedState,
}

/// The feed of one placer.
pub(super) struct PlacerFeed {
    pub(super) events: Vec<OwnedValue>,
    pub(super) fault: FeedFault,
    fault_since: Micros,
    /// The number of restarts of the feed.
    pub(super) generation: u64,
    /// The channels that wake the open subscriptions.
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

/// The state that the cluster's thread owns.
pub(super) struct State {
    pub(super) config: ClusterConfig,
    pub(super) log: EventLog,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) slots: Vec<HostSlot>,
    pub(super) feeds: Vec<PlacerFeed>,
    pub(super) rng: ChaCha8Rng,
    pub(super) shared: Arc<Mutex<SharedState>>,
    /// The number of host processes started so far.
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

    /// Returns the endpoint entry of the process in a slot, with the slot in the additional field `place`.
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

    /// Updates the shared endpoint list, which placers receive when they start.
    pub(super) fn publish_endpoints(&self) {
        let endpoints: Vec<OwnedValue> = (0..self.slots.len())
            .filter_map(|slot| self.endpoint(slot))
            .collect();
        self.shared().endpoints = endpoints;
    }

    /// Restarts the feed of a placer that is about to start. The placer's configuration contains event 1, so the feed
    /// continues with event 2.
    pub(super) fn restart_feed(&mut self, placer: usize) {
        if let Some(feed) = self.feeds.get_mut(placer) {
            feed.events.clear();
            feed.generation += 1;
            feed.subscribers.clear();
        }
        self.publish_endpoints();
    }

    /// Appends an event to the feed of a placer and records when the placer counts as notified. Does nothing if the
    /// feed has been restarted since the event was scheduled.
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
