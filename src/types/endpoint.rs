//! The endpoint list: the hosts that may receive tasks, as service discovery reports them.

use super::{CellId, HostId, KindId, Micros, Resources, ZoneId};

/// State of a host in the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    #[default]
    Up,
    /// Finishes its running tasks and takes no new ones.
    Draining,
    /// Removed from service.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Which host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind.
    pub kind: KindId,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started; 0: before anything that matters now.
    pub started_at: Micros,
    /// Cores that no task has requested, as of some time ago.
    pub free_cores: f64,
    /// Memory that no task has requested, as of some time ago.
    pub free_memory: f64,
}

impl Endpoint {
    /// Resources that no task has requested, as of some time ago.
    pub fn free(&self) -> Resources {
        Resources {
            cores: self.free_cores,
            memory: self.free_memory,
        }
    }
}

/// What an update of the endpoint list contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// Changed endpoints only.
    Delta,
    /// All endpoints: a host that is missing has been removed.
    Complete,
    /// All endpoints as this placer last knew them, possibly stale.
    Cached,
    /// A poll failed or the subscription ended; no endpoints.
    Failed,
}
