//! The endpoint list: the hosts that may get tasks, as service discovery reports them.

use super::{CellId, HostId, KindId, Micros, Resources, ZoneId};

/// The state of a host in the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The host is in service.
    #[default]
    Up,
    /// The host finishes its running tasks and takes no new ones.
    Draining,
    /// The host has been removed from service.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Id of the host that the entry describes.
    pub host: HostId,
    /// Zone that the host is in.
    pub zone: ZoneId,
    /// Cell that the host is in.
    pub cell: CellId,
    /// Kind of the host, which determines its cores and memory.
    pub kind: KindId,
    /// Whether the host is in service, draining or removed.
    pub state: EndpointState,
    /// When the host's process last started, in microseconds; 0 if that was too long ago to matter.
    pub started_at: Micros,
    /// Cores that no task has requested. The value is out of date by the lag of the list.
    pub free_cores: f64,
    /// Memory that no task has requested, in the unit of the settings. The value is out of date by the lag of the list.
    pub free_memory: f64,
}

impl Endpoint {
    /// Returns the cores and memory that no task has requested. They are out of date by the lag of the list.
    pub fn free(&self) -> Resources {
        Resources {
            cores: self.free_cores,
            memory: self.free_memory,
        }
    }
}

/// The kind of an update of the endpoint list, which says what it contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// The update contains only the endpoints that have changed.
    Delta,
    /// The update contains all endpoints. A host that is missing from it has been removed.
    Complete,
    /// The update contains all endpoints as this placer last knew them. They may be stale.
    Cached,
    /// The update contains no endpoints, because a poll failed or the subscription ended.
    Failed,
}
