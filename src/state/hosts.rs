//! State of the hosts: their endpoints, their load as last reported, and this placer's attempts at them.

use super::hash::hash_host;
use crate::types::{CellId, Endpoint, EndpointState, HostId, KindId, Micros, Resources, ZoneId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Index of a host in [`HostTable::hosts`]. It never changes, since hosts are never removed from the table.
pub(crate) type HostIndex = usize;

/// A change of the resources requested on a host that is due to this placer's own attempts and tasks.
#[derive(Debug, Clone, Copy)]
struct OwnChange {
    at: Micros,
    amount: Resources,
}

/// State of one host.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub id: HostId,
    /// Hash of the id, identical in every placer.
    pub hash: u64,
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
    pub state: EndpointState,
    /// Time at which the host's process started; 0 if it started too long ago to matter.
    pub started_at: Micros,
    /// Time as of which the newest report describes the load; `None` before the first report.
    pub load_known_as_of: Option<Micros>,
    /// Resources that tasks on the host request: the newest report plus this placer's own changes since then. Negative
    /// if a change of this placer subtracts resources that the report did not contain.
    requested: Resources,
    own_changes: VecDeque<OwnChange>,
    /// Times at which this placer sent attempts to the host, oldest first.
    pub attempts_sent: VecDeque<Micros>,
    /// Number of this placer's attempts at the host that are not answered yet.
    pub in_flight: u32,
    /// Time at which the host last started a task of this placer.
    pub last_task_start: Option<Micros>,
    /// Difference between the current concurrency window (the maximum number of this placer's attempts in flight at
    /// the host) and the initial one; negative if the window has shrunk.
    pub window_growth: f64,
    /// Maximum number of this placer's attempts in flight as imposed from outside; takes precedence over the window.
    pub max_in_flight: Option<u32>,
    pub last_health_check: Micros,
}

impl Host {
    fn new(endpoint: &Endpoint) -> Host {
        Host {
            id: endpoint.host.clone(),
            hash: hash_host(&endpoint.host),
            zone: endpoint.zone,
            cell: endpoint.cell,
            kind: endpoint.kind,
            state: endpoint.state,
            started_at: endpoint.started_at,
            load_known_as_of: None,
            requested: Resources::default(),
            own_changes: VecDeque::new(),
            attempts_sent: VecDeque::new(),
            in_flight: 0,
            last_task_start: None,
            window_growth: 0.0,
            max_in_flight: None,
            last_health_check: 0,
        }
    }

    /// Returns the resources that tasks on the host request, as far as known; never negative.
    pub fn requested(&self) -> Resources {
        self.requested.map(|amount| amount.max(0.0))
    }

    /// Records a report of the resources that tasks on the host request, unless a newer one is known. Changes that this
    /// placer caused after `as_of` are not contained in the report and are added to it.
    pub fn record_report(&mut self, requested: Resources, as_of: Micros) {
        if self.load_known_as_of.is_some_and(|known| known > as_of) {
            return;
        }
        self.load_known_as_of = Some(as_of);
        self.own_changes.retain(|change| change.at > as_of);
        self.requested = requested;
        for change in &self.own_changes {
            self.requested += change.amount;
        }
    }

    /// Records that this placer's tasks on the host request `amount` more, or less if it is negative. Forgets changes
    /// caused by this placer that happened before `forget_before`.
    pub fn record_own_change(&mut self, now: Micros, amount: Resources, forget_before: Micros) {
        while self
            .own_changes
            .front()
            .is_some_and(|change| change.at < forget_before)
        {
            self.own_changes.pop_front();
        }
        self.own_changes.push_back(OwnChange { at: now, amount });
        self.requested += amount;
    }

    /// Returns whether this placer may send the host another attempt. The limit on attempts in flight is the one
    /// imposed from outside if there is one, otherwise `window`.
    pub fn has_attempt_capacity(&self, window: f64) -> bool {
        match self.max_in_flight {
            Some(max_in_flight) => self.in_flight < max_in_flight,
            None => f64::from(self.in_flight) < window,
        }
    }

    /// Records an attempt that is sent now. Drops the send times before `forget_before`.
    pub fn record_attempt(&mut self, now: Micros, forget_before: Micros) {
        while self
            .attempts_sent
            .front()
            .is_some_and(|sent_at| *sent_at < forget_before)
        {
            self.attempts_sent.pop_front();
        }
        self.attempts_sent.push_back(now);
        self.in_flight += 1;
    }

    /// Resets the known load, because a new process without tasks runs on the host.
    fn forget_load(&mut self) {
        self.load_known_as_of = None;
        self.requested = Resources::default();
        self.own_changes.clear();
    }

    fn update(&mut self, endpoint: &Endpoint) {
        self.zone = endpoint.zone;
        self.cell = endpoint.cell;
        self.kind = endpoint.kind;
        self.state = endpoint.state;
        self.started_at = endpoint.started_at;
    }
}

/// Whether a host still runs the process that it ran before an update of its endpoint, or a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessChange {
    Same,
    Restarted,
}

/// All hosts that were ever in the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct HostTable {
    pub hosts: Vec<Host>,
    /// Number of this placer's attempts in flight at all hosts together.
    pub in_flight: u32,
    /// Hosts whose load or endpoint has changed since the working set was last updated.
    pub changed: BTreeSet<HostIndex>,
    indices: BTreeMap<HostId, HostIndex>,
}

impl HostTable {
    /// Returns the index of a host; `None` if it was never listed.
    pub fn index_of(&self, host: &HostId) -> Option<HostIndex> {
        self.indices.get(host).copied()
    }

    /// Returns a host whose load is about to be changed, and marks it so that the working set is updated with the new
    /// load.
    pub fn mark_changed(&mut self, index: HostIndex) -> &mut Host {
        self.changed.insert(index);
        &mut self.hosts[index]
    }

    /// Updates the host of an endpoint, adding it if it is new. Resets the known load if the host's process has
    /// restarted.
    pub fn update(&mut self, endpoint: &Endpoint) -> (HostIndex, ProcessChange) {
        let next = self.hosts.len();
        let index = *self.indices.entry(endpoint.host.clone()).or_insert(next);
        if index == next {
            self.hosts.push(Host::new(endpoint));
        }
        let host = self.mark_changed(index);
        let change = if host.started_at == endpoint.started_at {
            ProcessChange::Same
        } else {
            ProcessChange::Restarted
        };
        if change == ProcessChange::Restarted {
            host.forget_load();
        }
        host.update(endpoint);
        (index, change)
    }

    /// Marks every host as removed that is missing from a complete endpoint list.
    pub fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<HostIndex> = endpoints
            .iter()
            .filter_map(|endpoint| self.index_of(&endpoint.host))
            .collect();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if !listed.contains(&index) && host.state != EndpointState::Removed {
                host.state = EndpointState::Removed;
                self.changed.insert(index);
            }
        }
    }

    /// Sets or lifts the imposed maximum number of this placer's attempts in flight at a host. Returns whether it
    /// allows more attempts than before.
    pub fn limit_host(&mut self, host: &HostId, max_in_flight: Option<u32>) -> bool {
        let Some(index) = self.index_of(host) else {
            return false;
        };
        let before = std::mem::replace(&mut self.hosts[index].max_in_flight, max_in_flight);
        match (before, max_in_flight) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(before), Some(after)) => after > before,
        }
    }
}
