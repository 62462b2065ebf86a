//! What is known of the hosts: their endpoint, their load as last reported, and this placer's attempts there.

use super::hash::hash_host;
use crate::types::{CellId, Endpoint, EndpointState, HostId, KindId, Micros, Resources, ZoneId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Index of a host in [`HostTable::hosts`], valid for the life of the placer.
pub(crate) type HostIndex = usize;

/// A change of the resources requested on a host that this placer caused itself.
#[derive(Debug, Clone, Copy)]
struct OwnChange {
    at: Micros,
    amount: Resources,
}

/// What is known of one host.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub id: HostId,
    /// Hash of the id, the same at every placer.
    pub hash: u64,
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
    pub state: EndpointState,
    /// When its process started; 0: before anything that matters now.
    pub started_at: Micros,
    /// The time as of which its load is known; `None` before the first report.
    pub load_known_as_of: Option<Micros>,
    /// Resources that tasks request: the newest report and own changes since.
    requested: Resources,
    own_changes: VecDeque<OwnChange>,
    /// When own attempts were sent, oldest first.
    pub attempts_sent: VecDeque<Micros>,
    /// Own attempts without an answer.
    pub in_flight: u32,
    /// When it last started a task of this placer.
    pub last_task_start: Option<Micros>,
    /// Own attempts that may be in flight beyond the initial window; negative if fewer.
    pub window_growth: f64,
    /// The most own attempts in flight as imposed from outside; takes precedence over the window.
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

    /// Resources that tasks request there, as far as known; never negative.
    pub fn requested(&self) -> Resources {
        self.requested.map(|amount| amount.max(0.0))
    }

    /// Takes a report of the requested resources unless a newer one is known.
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

    /// Records that own tasks request this much more (or less, if negative); changes before
    /// `forget_before` are dropped.
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

    /// Whether another own attempt may be in flight: by the imposed limit, otherwise by this window.
    pub fn has_attempt_capacity(&self, window: f64) -> bool {
        match self.max_in_flight {
            Some(max_in_flight) => self.in_flight < max_in_flight,
            None => f64::from(self.in_flight) < window,
        }
    }

    /// Records an attempt that is sent now; those before `forget_before` are dropped.
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

    /// Forgets the load: a new process runs on the host.
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

/// Whether an endpoint update reports another process than the one that was known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessChange {
    Same,
    Restarted,
}

/// All hosts that were ever listed.
#[derive(Debug, Default)]
pub(crate) struct HostTable {
    pub hosts: Vec<Host>,
    /// Own attempts in flight at all hosts together.
    pub in_flight: u32,
    /// Hosts whose load or endpoint has changed since the working set was last selected.
    pub changed: BTreeSet<HostIndex>,
    indices: BTreeMap<HostId, HostIndex>,
}

impl HostTable {
    /// The index of a host that was ever listed.
    pub fn index_of(&self, host: &HostId) -> Option<HostIndex> {
        self.indices.get(host).copied()
    }

    /// A host whose load is about to change: the working set looks at it again.
    pub fn mark_changed(&mut self, index: HostIndex) -> &mut Host {
        self.changed.insert(index);
        &mut self.hosts[index]
    }

    /// Brings the host of an endpoint up to date. A host whose process is new has its load forgotten.
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

    /// Marks every host as removed that a complete endpoint list does not contain.
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

    /// Imposes the most own attempts in flight at a host. Returns whether more are allowed than before.
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
