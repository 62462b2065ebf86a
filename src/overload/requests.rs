//! The admitted requests whose task no host has started yet.

use super::admission::Backlog;
use crate::{HostId, Micros, RequestId};
use std::collections::BTreeMap;

/// An attempt in flight of a request.
#[derive(Debug, Clone)]
pub(super) struct InFlightAttempt {
    pub host: HostId,
    pub sent_at: Micros,
}

/// An admitted request whose task has not started.
#[derive(Debug, Clone)]
pub(super) struct OpenRequest {
    pub requested_at: Micros,
    pub latency_objective: Micros,
    pub task_hash: u64,
    pub is_client_retry: bool,
    /// The Retry-After to send to the client if the request is rejected, in microseconds.
    pub retry_after: Micros,
    /// The number of attempts sent so far.
    pub attempts: u32,
    pub in_flight: Option<InFlightAttempt>,
}

/// All admitted requests whose task has not started, by id.
#[derive(Debug, Clone, Default)]
pub(super) struct OpenRequests {
    by_id: BTreeMap<RequestId, OpenRequest>,
}

impl OpenRequests {
    pub fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.by_id.insert(id, request);
    }

    pub fn get_mut(&mut self, id: &RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(id)
    }

    pub fn remove(&mut self, id: &RequestId) -> Option<OpenRequest> {
        self.by_id.remove(id)
    }

    /// Returns the number and the longest wait of the requests received since `since` that have no attempt in flight.
    pub fn backlog(&self, now: Micros, since: Micros) -> Backlog {
        let waiting = self
            .by_id
            .values()
            .filter(|request| request.in_flight.is_none() && request.requested_at >= since);
        waiting.fold(Backlog::default(), |backlog, request| Backlog {
            tasks: backlog.tasks + 1,
            oldest_wait: backlog.oldest_wait.max(now - request.requested_at),
        })
    }
}
